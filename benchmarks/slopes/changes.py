"""What one change of the table costs an entry host, all parts of its core."""

from dataclasses import replace

from benchmarks.figures import Fit, best_in_rounds, table
from benchmarks.slopes.cluster import Cluster
from benchmarks.slopes.fleets import START_WALL_MS, Builder, Size, service_row
from courselead.core.events import BatchesRead
from courselead.core.fleet.records import TablePublished
from courselead.core.reducer import reduce

WARM_MS = 2_000
WORKERS = (40, 250, 500, 1_000)


def changes_table() -> str:
    """Return the time of a change of one row against the workers."""
    calls = {}
    for workers in WORKERS:
        pools = max(6, workers * 160 // 1_000)
        size = Size(workers=workers, pools=pools, accounts=2)
        builder = Builder.from_size(size)
        cluster = Cluster.from_builder(builder, START_WALL_MS)
        cluster.run(WARM_MS)
        state = cluster.states[0]
        row = replace(service_row(size, 0), share=2.0)
        version = state.fleet.table.version
        batch = cluster.batch_of(0, TablePublished(version, (), (row,), (), "bench"))
        event = BatchesRead(cluster.now_ms, ((state.fleet.offset + 1, batch),))
        calls[workers] = lambda state=state, event=event: reduce(state, event)
    best = best_in_rounds(calls)
    points = [(float(workers), best[workers] / 1_000) for workers in WORKERS]
    line = Fit.from_points(points)
    times = [took for _, took in points]
    heads = [f"{workers:,} workers, ms" for workers in WORKERS]
    columns = (*heads, "at 0, ms", "for 1,000 workers, ms", "r2")
    return table(columns, [(*times, line.base, line.slope * 1_000, line.r2)])
