"""Cost of applying a record, by kind and by size of the state."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from benchmarks.figures import Fit, best_in_rounds, table
from benchmarks.slopes.fleets import (
    START_WALL_MS,
    Builder,
    Size,
    claim_end,
    host_name,
    service_row,
    worker_info,
)
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.records import (
    Batch,
    ClaimsEnded,
    ClaimsMade,
    HostBeat,
    JobEnd,
    JobOutcome,
    JobsEnded,
    JobsSubmitted,
    MinionStopped,
    MinionUp,
    Record,
    SnapshotPart,
    StopPlanned,
    StopPurpose,
    TablePublished,
    WorkerBack,
    WorkerDown,
    WorkerRebooted,
    WorkersSeen,
)
from courselead.core.fleet.state import FleetState
from courselead.core.table import WINDOW_ALWAYS, AccountRow

ITEMS = 100
EMPTY = "(empty batch)"

HASH = "0123456789abcdef" * 4


@dataclass(frozen=True, slots=True)
class RecordStep:
    """Records of one kind that are applied in one batch.

    Attributes:
        kind: Name of the kind, "" if the batch is not timed.
        items: Divisor of the time: number of records, or of items in one record.
        host: Index of the entry host that writes them.
    """

    kind: str
    records: tuple[Record, ...]
    items: int
    host: int = 0


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of one record (or item) of a kind, in microseconds."""

    kind: str
    size: Size
    us: float


def measure(sizes: Sequence[Size]) -> list[Cost]:
    """Return the cost of every kind at each size, and that of an empty batch."""
    calls = {}
    items = {}
    for size in sizes:
        builder = Builder.from_size(size)
        fleet = _with_open_windows(builder)
        calls[size, EMPTY] = _timed_call(fleet, RecordStep(EMPTY, (), 1))
        items[size, EMPTY] = 1
        for make_steps in _SEQUENCES:
            current = fleet
            for step in make_steps(builder, fleet):
                if step.kind:
                    calls[size, step.kind] = _timed_call(current, step)
                    items[size, step.kind] = step.items
                current = _apply_accepted(current, step)
    best = best_in_rounds(calls)
    costs = []
    for (size, kind), us in best.items():
        overhead = 0.0 if kind == EMPTY else best[size, EMPTY]
        costs.append(Cost(kind, size, max(0.0, us - overhead) / items[size, kind]))
    return costs


def sweep_workers() -> list[Cost]:
    """Measure at three numbers of workers."""
    sizes = []
    for workers in (40, 250, 1_000):
        pools = max(6, workers * 160 // 1_000)
        sizes.append(Size(workers=workers, pools=pools, jobs=200))
    return measure(sizes)


def sweep_claims() -> list[Cost]:
    """Measure at three numbers of stored claims."""
    sizes = []
    for claims in (1_000, 10_000, 100_000):
        sizes.append(Size(workers=250, pools=40, claims=claims, jobs=200))
    return measure(sizes)


def costs_table(costs: Sequence[Cost], attribute: str) -> str:
    """Return the costs by kind and by one attribute, with linear fits."""
    sizes = sorted({getattr(cost.size, attribute) for cost in costs})
    rows = []
    for kind in dict.fromkeys(cost.kind for cost in costs):
        by_size = {
            getattr(cost.size, attribute): cost.us
            for cost in costs
            if cost.kind == kind
        }
        points = [(float(size), by_size[size]) for size in sizes]
        fit = Fit.from_points(points)
        row = (kind, *[by_size[size] for size in sizes])
        rows.append((*row, fit.intercept, fit.slope * 1_000, fit.r2))
    headings = [f"{size:,} {attribute}, us" for size in sizes]
    columns = ("record", *headings, "at 0, us", f"for 1,000 {attribute}, us", "r2")
    return table(columns, rows)


def _timed_call(fleet: FleetState, step: RecordStep) -> Callable[[], object]:
    """Return a call that applies the records of a step to a fleet."""
    batch = _batch(fleet, step)
    offset = fleet.offset + 1
    return lambda: apply_batch(fleet, offset, batch)


def _apply_accepted(fleet: FleetState, step: RecordStep) -> FleetState:
    """Apply a step, all of whose records must be accepted, and return the fleet.

    Raises:
        ValueError: A record was rejected, which is an error of the benchmark.
    """
    batch = _batch(fleet, step)
    fleet, applied = apply_batch(fleet, fleet.offset + 1, batch)
    for item in applied:
        if not item.verdict.accepted or item.verdict.items:
            raise ValueError(f"{step.kind} rejected: {item.verdict}")
    return fleet


def _batch(fleet: FleetState, step: RecordStep) -> Batch:
    """Return the records of a step as the next batch of its host."""
    name = host_name(step.host)
    seq = fleet.hosts[name].last_seq + 1
    wall_ms = START_WALL_MS + fleet.offset + 1
    return Batch(name, 1, seq, wall_ms, -1, step.records)


def _with_open_windows(builder: Builder) -> FleetState:
    """Return the fleet with all maintenance windows open."""
    rows = []
    for index in range(builder.size.pools):
        rows.append(replace(service_row(builder.size, index), window=WINDOW_ALWAYS))
    base = builder.fleet.table.version
    builder.append(0, TablePublished(base, (), tuple(rows), (), "bench"))
    return builder.fleet


def _worker_losses(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return steps in which workers are lost and come back."""
    count = min(ITEMS, builder.size.workers)
    infos = [worker_info(builder.size, index) for index in range(count)]
    down = tuple(WorkerDown(info.worker, 1, "bench") for info in infos)
    back = tuple(WorkerBack(info.worker, 1) for info in infos)
    up = tuple(MinionUp(info.worker, 2, "10.9.9.9:9") for info in infos)
    return [
        RecordStep("WorkerDown", down, count),
        RecordStep("WorkerBack", back, count),
        RecordStep("MinionUp", up, count),
        RecordStep("WorkersSeen, a worker", (WorkersSeen(tuple(infos)),), count),
    ]


def _heartbeats(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return a step with a heartbeat of a host."""
    last = fleet.offset
    beat = HostBeat(host_name(0), 1, last, last, last, fleet.digest)
    return [RecordStep("HostBeat", (beat,), 1)]


def _reboots(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return planned stops, heartbeats of all hosts that settle them, and reboots."""
    size = builder.size
    count = min(20, size.pools)
    names = [worker_info(size, index).worker for index in range(count)]
    version = fleet.table.version
    at_ms = START_WALL_MS + fleet.offset + 1
    why = StopPurpose.MAINTENANCE
    stops = tuple(StopPlanned(name, 1, why, "", version, at_ms) for name in names)
    stopped = tuple(MinionStopped(name, 1) for name in names)
    rebooted = tuple(WorkerRebooted(name, 1, at_ms) for name in names)
    steps = [RecordStep("StopPlanned", stops, count)]
    settled = fleet.offset + 1
    for host in range(size.hosts):
        beat = HostBeat(host_name(host), 1, settled, settled, -1, "")
        steps.append(RecordStep("", (beat,), 1, host))
    steps.append(RecordStep("MinionStopped", stopped, count))
    steps.append(RecordStep("WorkerRebooted", rebooted, count))
    return steps


def _table_changes(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return steps that publish a single changed row."""
    row = replace(service_row(builder.size, 0), share=2.0, window=WINDOW_ALWAYS)
    account = AccountRow("account-00", (HASH,))
    version = fleet.table.version
    one = TablePublished(version, (), (row,), (), "bench")
    two = TablePublished(version, (account,), (), (), "bench")
    return [
        RecordStep("TablePublished, a service row", (one,), 1),
        RecordStep("TablePublished, an account row", (two,), 1),
    ]


def _claims(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return steps with claims and their ends."""
    first = 10_000_000
    claims = tuple(builder.claim(first + index) for index in range(ITEMS))
    ends = tuple(claim_end(claim) for claim in claims)
    made = ClaimsMade(host_name(0), 1, claims)
    return [
        RecordStep("ClaimsMade, a claim", (made,), ITEMS),
        RecordStep("ClaimsEnded, an end", (ClaimsEnded(ends),), ITEMS),
    ]


def _jobs(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return steps in which jobs are submitted, placed and ended."""
    first = 10_000_000
    jobs = tuple(builder.job(first + index) for index in range(ITEMS))
    placed = tuple(builder.placed(first + index) for index in range(ITEMS))
    ends = tuple(JobEnd(job.job_id, 1, JobOutcome.DONE) for job in jobs)
    return [
        RecordStep("JobsSubmitted, a job", (JobsSubmitted(jobs),), ITEMS),
        RecordStep("JobPlaced", placed, ITEMS),
        RecordStep("JobsEnded, an end", (JobsEnded(ends),), ITEMS),
    ]


def _snapshots(builder: Builder, fleet: FleetState) -> list[RecordStep]:
    """Return a step with a part of a snapshot."""
    part = SnapshotPart(fleet.offset, 0, 2, HASH[:32], host_name(0), b"x" * 1_024)
    return [RecordStep("SnapshotPart", (part,), 1)]


_SEQUENCES: tuple[Callable[[Builder, FleetState], list[RecordStep]], ...] = (
    _heartbeats,
    _worker_losses,
    _reboots,
    _table_changes,
    _claims,
    _jobs,
    _snapshots,
)
