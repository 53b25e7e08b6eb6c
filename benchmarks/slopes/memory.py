"""Memory of the shared state by its contents, and memory of the rest of the core."""

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
IDLE_MS = 3_000
EMPTY = FleetState()


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Memory of a shared state of one size."""

    size: Size
    held_bytes: int


def sweep(attribute: str) -> list[MemoryUse]:
    """Measure the shared state at several values of one attribute."""
    uses = []
    for value in SWEEPS[attribute]:
        size = replace(BASE, **{attribute: value})
        uses.append(MemoryUse(size, shared_bytes(size)))
    return uses


def shared_bytes(size: Size) -> int:
    """Return the bytes of the state that a host builds from an encoded log."""
    builder = Builder.from_size(size)
    log = [(offset, encode_batch(batch)) for offset, batch in builder.batches]
    del builder
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fleet = replay(log)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert fleet.offset == log[-1][0]
    return after - before


def local_bytes(size: Size) -> int:
    """Return the bytes that an idle host holds in addition to the shared state.

    These are views of agents, the membership list, targets, peers and indexes. What the
    hosts of this process share is not counted.
    """
    builder = Builder.from_size(size)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    cluster = Cluster.from_builder(builder, START_WALL_MS)
    cluster.run(IDLE_MS)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) // len(cluster.states)


def replay(log: Sequence[tuple[int, bytes]], fleet: FleetState = EMPTY) -> FleetState:
    """Apply an encoded log to a state and return the resulting state."""
    for offset, data in log:
        fleet, _ = apply_batch(fleet, offset, decode_batch(data).unwrap())
    return fleet


def slopes_table() -> str:
    """Return the bytes for one more object of each kind."""
    rows = []
    for attribute in SWEEPS:
        uses = sweep(attribute)
        points = [
            (float(getattr(use.size, attribute)), float(use.held_bytes)) for use in uses
        ]
        fit = Fit.from_points(points)
        measured = _format_points(points)
        rows.append((attribute, measured, fit.slope, fit.r2, fit.max_deviation))
    columns = ("what", "shared state at", "bytes for one more", "r2", "worst distance")
    return table(columns, rows)


def local_table() -> str:
    """Return the bytes in addition to the shared state, by number of workers."""
    points = []
    for workers in (40, 250, 1_000):
        pools = max(6, workers * 160 // 1_000)
        size = Size(workers=workers, pools=pools, accounts=2)
        points.append((float(workers), float(local_bytes(size))))
    fit = Fit.from_points(points)
    measured = _format_points(points)
    row = ("workers", measured, fit.slope, fit.r2, fit.max_deviation)
    columns = ("what", "a host beyond it at", "bytes for one more", "r2", "worst")
    return table(columns, [row])


def _format_points(points: Sequence[tuple[float, float]]) -> str:
    """Format sizes with their memory in KiB."""
    parts = []
    for size, held_bytes in points:
        held_kib = held_bytes / 1_024
        parts.append(f"{size:,.0f}: {held_kib:,.0f} KiB")
    return ", ".join(parts)
