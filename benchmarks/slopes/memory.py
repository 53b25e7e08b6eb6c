"""Memory of the shared state by what it holds, and of the rest of the core."""

import gc
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass, replace

from benchmarks.figures import Fit, table
from benchmarks.slopes.cluster import Cluster
from benchmarks.slopes.fleets import START_WALL_MS, Builder, Size
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.codec import decode_batch, encode_batch
from courselead.core.fleet.state import FleetState

BASE = Size(workers=250, pools=40, accounts=10, hosts=6)
SWEEPS: dict[str, tuple[int, ...]] = {
    "workers": (250, 500, 1_000, 2_000),
    "pools": (40, 80, 160, 250),
    "accounts": (1, 10, 20, 40),
    "hosts": (6, 12, 24),
    "claims": (0, 5_000, 10_000, 20_000),
    "jobs": (0, 1_000, 2_000, 4_000),
}
LOCAL_MS = 3_000
EMPTY = FleetState()


@dataclass(frozen=True, slots=True)
class Held:
    """Bytes held by one state."""

    size: Size
    held_bytes: int


def sweep(attribute: str) -> list[Held]:
    """Measure the shared state at some values of one attribute."""
    found = []
    for value in SWEEPS[attribute]:
        size = replace(BASE, **{attribute: value})
        found.append(Held(size, shared_bytes(size)))
    return found


def shared_bytes(size: Size) -> int:
    """Return the bytes of the state that a host folds from the log's bytes."""
    builder = Builder.from_size(size)
    log = [(offset, encode_batch(batch)) for offset, batch in builder.batches]
    del builder
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fleet = fold(log)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert fleet.offset == log[-1][0]
    return after - before


def local_bytes(size: Size) -> int:
    """Return the bytes that a host at rest holds beyond the shared state.

    Beyond what hosts of one process share here: views of agents, the
    membership list, targets, peers, indexes.
    """
    builder = Builder.from_size(size)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    cluster = Cluster.from_builder(builder, START_WALL_MS)
    cluster.run(LOCAL_MS)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) // len(cluster.states)


def fold(log: Sequence[tuple[int, bytes]], fleet: FleetState = EMPTY) -> FleetState:
    """Return the state that the bytes of a log fold to, on top of a state."""
    for offset, data in log:
        fleet, _ = apply_batch(fleet, offset, decode_batch(data).unwrap())
    return fleet


def slopes_table() -> str:
    """Return the bytes for one more of everything."""
    rows = []
    for attribute in SWEEPS:
        found = sweep(attribute)
        points = [
            (float(getattr(one.size, attribute)), float(one.held_bytes))
            for one in found
        ]
        line = Fit.from_points(points)
        measured = _shown(points)
        rows.append((attribute, measured, line.slope, line.r2, line.worst))
    columns = ("what", "shared state at", "bytes for one more", "r2", "worst distance")
    return table(columns, rows)


def local_table() -> str:
    """Return the bytes beyond the shared state against the workers."""
    points = []
    for workers in (40, 250, 1_000):
        pools = max(6, workers * 160 // 1_000)
        size = Size(workers=workers, pools=pools, accounts=2)
        points.append((float(workers), float(local_bytes(size))))
    line = Fit.from_points(points)
    measured = _shown(points)
    row = ("workers", measured, line.slope, line.r2, line.worst)
    columns = ("what", "a host beyond it at", "bytes for one more", "r2", "worst")
    return table(columns, [row])


def _shown(points: Sequence[tuple[float, float]]) -> str:
    """Return sizes with their bytes in KiB."""
    shown = []
    for size, held_bytes in points:
        held_kib = held_bytes / 1_024
        shown.append(f"{size:,.0f}: {held_kib:,.0f} KiB")
    return ", ".join(shown)
