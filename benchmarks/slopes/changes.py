"""Cost of one change of the table to the whole core of an entry host."""

from dataclasses import replace

from benchmarks.figures import Fit, best_in_rounds, table
from benchmarks.slopes.cluster import Cluster
from benchmarks.slopes.fleets import START_WALL_MS, Builder, Size, service_row
from courselead.core.events import BatchesRead
from courselead.core.fleet.records import TablePublished
from courselead.core.reducer import reduce

WARM_UP_MS = 2_000
WORKERS = (40, 250, 500, 1_000)


def changes_table() -> str:
    """Return the time of changing one row, by number of workers."""
    calls = {}
    for workers in WORKERS:
        pools = max(6, workers * 160 // 1_000)
        size = Size(workers=workers, pools=pools, accounts=2)
        builder = Builder.from_size(size)
        cluster = Cluster.from_builder(builder, START_WALL_MS)
        cluster.run(WARM_UP_MS)
        state = cluster.states[0]
        row = replace(service_row(size, 0), share=2.0)
        version = state.fleet.table.version
        batch = cluster.batch_of(0, TablePublished(version, (), (row,), (), "bench"))
        event = BatchesRead(cluster.now_ms, ((state.fleet.offset + 1, batch),))
        calls[workers] = lambda state=state, event=event: reduce(state, event)
    best = best_in_rounds(calls)
    points = [(float(workers), best[workers] / 1_000) for workers in WORKERS]
    fit = Fit.from_points(points)
    times = [took for _, took in points]
    headings = [f"{workers:,} workers, ms" for workers in WORKERS]
    columns = (*headings, "at 0, ms", "for 1,000 workers, ms", "r2")
    return table(columns, [(*times, fit.intercept, fit.slope * 1_000, fit.r2)])
