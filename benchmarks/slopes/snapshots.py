"""Cost of snapshots, and of building the state of a new host."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.figures import Fit, best_in_rounds, table
from benchmarks.slopes.fleets import Builder, Size
from benchmarks.slopes.memory import replay
from courselead.core.fleet.codec import encode_batch
from courselead.core.fleet.snapshot import decode_state, encode_state

ROUNDS = 5
NS_PER_MS = 1_000_000
TAIL_BATCHES = 10_000


@dataclass(frozen=True, slots=True)
class SnapshotCost:
    """Size of a snapshot and time to encode and decode it."""

    size: Size
    snapshot_bytes: int
    encode_ms: float
    decode_ms: float


def measure(size: Size) -> SnapshotCost:
    """Encode and decode a snapshot of a state."""
    fleet = Builder.from_size(size).fleet
    data = encode_state(fleet)
    assert decode_state(data).unwrap() == fleet
    calls: dict[str, Callable[[], object]] = {
        "encode": lambda: encode_state(fleet),
        "decode": lambda: decode_state(data),
    }
    best = best_in_rounds(calls, ROUNDS, 1.0)
    return SnapshotCost(size, len(data), best["encode"] / 1e3, best["decode"] / 1e3)


def sweep_workers() -> list[SnapshotCost]:
    """Measure at several numbers of workers, without claims."""
    costs = []
    for workers in (40, 250, 1_000):
        pools = max(6, workers * 160 // 1_000)
        costs.append(measure(Size(workers=workers, pools=pools)))
    return costs


def sweep_claims() -> list[SnapshotCost]:
    """Measure at several numbers of claims, with 1,000 workers."""
    return [measure(Size(claims=count)) for count in (0, 10_000, 50_000, 100_000)]


def snapshots_table(costs: list[SnapshotCost], attribute: str) -> str:
    """Return the figures with their linear fits."""
    rows = []
    for cost in costs:
        count = getattr(cost.size, attribute)
        rows.append(
            (
                f"{count:,}",
                cost.snapshot_bytes,
                cost.encode_ms,
                cost.decode_ms,
            )
        )
    fits = []
    for name in ("snapshot_bytes", "encode_ms", "decode_ms"):
        points = [
            (float(getattr(cost.size, attribute)), float(getattr(cost, name)))
            for cost in costs
        ]
        fits.append(Fit.from_points(points))
    slopes = [f"{fit.slope:.4g} (r2 {fit.r2:.3f})" for fit in fits]
    rows.append(("for one more", *slopes))
    columns = (attribute, "bytes, compressed", "encode, ms", "decode, ms")
    return table(columns, rows)


def replay_table() -> str:
    """Return the time to replay a log from its first record, by its length."""
    points = []
    rows = []
    for beats in (1_000, 3_000, 10_000):
        builder = Builder.from_size(Size())
        for index in range(beats):
            builder.beat(index % builder.size.hosts)
        log = [(offset, encode_batch(batch)) for offset, batch in builder.batches]
        took_ms = _best_ms(lambda log=log: replay(log))
        log_bytes = sum(len(data) for _, data in log)
        points.append((float(len(log)), took_ms))
        count = len(log)
        rows.append((f"{count:,}", log_bytes, took_ms, took_ms * 1e3 / count))
    fit = Fit.from_points(points)
    slope_us = fit.slope * 1e3
    rows.append(("for one more", "", f"{fit.slope:.4g}", f"{slope_us:.1f}"))
    columns = ("batches (heartbeats)", "bytes", "fold, ms", "us a batch")
    return table(columns, rows)


def new_host_table() -> str:
    """Return the time a new host needs to build its state, in a full-size fleet."""
    rows = []
    for claims in (0, 10_000, 100_000):
        size = Size(claims=claims)
        cost = measure(size)
        builder = Builder.from_size(size)
        fleet = builder.fleet
        first = len(builder.batches)
        for index in range(TAIL_BATCHES):
            builder.beat(index % size.hosts)
        tail = [(at, encode_batch(batch)) for at, batch in builder.batches[first:]]
        tail_ms = _best_ms(lambda tail=tail, fleet=fleet: replay(tail, fleet))
        total_s = (cost.decode_ms + tail_ms) / 1e3
        rows.append((f"{claims:,}", cost.decode_ms, tail_ms, total_s))
    columns = (
        "claims held",
        "snapshot decoded, ms",
        f"tail of {TAIL_BATCHES:,} batches folded, ms",
        "in all, s of processor time",
    )
    return table(columns, rows)


def _best_ms(call: Callable[[], object], rounds: int = 5) -> float:
    """Return the lowest processor time of a long call, in milliseconds."""
    took = []
    for _ in range(rounds):
        start = time.process_time_ns()
        call()
        took.append((time.process_time_ns() - start) / NS_PER_MS)
    return min(took)
