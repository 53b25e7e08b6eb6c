"""What applying one record costs, by kind and by the size of the state."""

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
class Step:
    """Records of one kind that are applied in a row.

    Attributes:
        kind: "" if its time is of no interest.
        items: What the time is divided by: records, or items of one record.
        host: Which entry host writes them.
    """

    kind: str
    records: tuple[Record, ...]
    items: int
    host: int = 0


@dataclass(frozen=True, slots=True)
class Cost:
    """Time of one record (or item) of a kind, in microseconds."""

    kind: str
    size: Size
    us: float


def measure(sizes: Sequence[Size]) -> list[Cost]:
    """Return the cost of every kind at some sizes, and of an empty batch."""
    calls = {}
    items = {}
    for size in sizes:
        builder = Builder.from_size(size)
        fleet = _with_open_windows(builder)
        calls[size, EMPTY] = _call(fleet, Step(EMPTY, (), 1))
        items[size, EMPTY] = 1
        for make in _LINES:
            now = fleet
            for step in make(builder, fleet):
                if step.kind:
                    calls[size, step.kind] = _call(now, step)
                    items[size, step.kind] = step.items
                now = _applied(now, step)
    best = best_in_rounds(calls)
    costs = []
    for (size, kind), us in best.items():
        rest = 0.0 if kind == EMPTY else best[size, EMPTY]
        costs.append(Cost(kind, size, max(0.0, us - rest) / items[size, kind]))
    return costs


def sweep_workers() -> list[Cost]:
    """Measure at three numbers of workers."""
    sizes = []
    for workers in (40, 250, 1_000):
        pools = max(6, workers * 160 // 1_000)
        sizes.append(Size(workers=workers, pools=pools, jobs=200))
    return measure(sizes)


def sweep_claims() -> list[Cost]:
    """Measure at three numbers of claims held."""
    sizes = []
    for claims in (1_000, 10_000, 100_000):
        sizes.append(Size(workers=250, pools=40, claims=claims, jobs=200))
    return measure(sizes)


def costs_table(costs: Sequence[Cost], attribute: str) -> str:
    """Return the costs by kind against one attribute, with their lines."""
    sizes = sorted({getattr(cost.size, attribute) for cost in costs})
    rows = []
    for kind in dict.fromkeys(cost.kind for cost in costs):
        by_size = {
            getattr(cost.size, attribute): cost.us
            for cost in costs
            if cost.kind == kind
        }
        points = [(float(size), by_size[size]) for size in sizes]
        line = Fit.from_points(points)
        row = (kind, *[by_size[size] for size in sizes])
        rows.append((*row, line.base, line.slope * 1_000, line.r2))
    heads = [f"{size:,} {attribute}, us" for size in sizes]
    columns = ("record", *heads, "at 0, us", f"for 1,000 {attribute}, us", "r2")
    return table(columns, rows)


def _call(fleet: FleetState, step: Step) -> Callable[[], object]:
    """Return the application of a step to a fleet."""
    batch = _batch(fleet, step)
    offset = fleet.offset + 1
    return lambda: apply_batch(fleet, offset, batch)


def _applied(fleet: FleetState, step: Step) -> FleetState:
    """Return the fleet after a step, all of which must be accepted.

    Raises:
        ValueError: A record was refused: the bench is wrong.
    """
    batch = _batch(fleet, step)
    fleet, applied = apply_batch(fleet, fleet.offset + 1, batch)
    for item in applied:
        if not item.verdict.accepted or item.verdict.items:
            raise ValueError(f"{step.kind} refused: {item.verdict}")
    return fleet


def _batch(fleet: FleetState, step: Step) -> Batch:
    """Return a step as the next batch of its host."""
    name = host_name(step.host)
    seq = fleet.hosts[name].last_seq + 1
    wall_ms = START_WALL_MS + fleet.offset + 1
    return Batch(name, 1, seq, wall_ms, -1, step.records)


def _with_open_windows(builder: Builder) -> FleetState:
    """Return the fleet with every maintenance window open."""
    rows = []
    for index in range(builder.size.pools):
        rows.append(replace(service_row(builder.size, index), window=WINDOW_ALWAYS))
    base = builder.fleet.table.version
    builder.append(0, TablePublished(base, (), tuple(rows), (), "bench"))
    return builder.fleet


def _losses(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return workers that are lost and come back."""
    count = min(ITEMS, builder.size.workers)
    infos = [worker_info(builder.size, index) for index in range(count)]
    down = tuple(WorkerDown(info.worker, 1, "bench") for info in infos)
    back = tuple(WorkerBack(info.worker, 1) for info in infos)
    up = tuple(MinionUp(info.worker, 2, "10.9.9.9:9") for info in infos)
    return [
        Step("WorkerDown", down, count),
        Step("WorkerBack", back, count),
        Step("MinionUp", up, count),
        Step("WorkersSeen, a worker", (WorkersSeen(tuple(infos)),), count),
    ]


def _beats(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return a heartbeat."""
    last = fleet.offset
    beat = HostBeat(host_name(0), 1, last, last, last, fleet.digest)
    return [Step("HostBeat", (beat,), 1)]


def _reboots(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return planned stops that every host settles, and the reboots."""
    size = builder.size
    count = min(20, size.pools)
    names = [worker_info(size, index).worker for index in range(count)]
    version = fleet.table.version
    at_ms = START_WALL_MS + fleet.offset + 1
    why = StopPurpose.MAINTENANCE
    stops = tuple(StopPlanned(name, 1, why, "", version, at_ms) for name in names)
    stopped = tuple(MinionStopped(name, 1) for name in names)
    rebooted = tuple(WorkerRebooted(name, 1, at_ms) for name in names)
    steps = [Step("StopPlanned", stops, count)]
    settled = fleet.offset + 1
    for host in range(size.hosts):
        beat = HostBeat(host_name(host), 1, settled, settled, -1, "")
        steps.append(Step("", (beat,), 1, host))
    steps.append(Step("MinionStopped", stopped, count))
    steps.append(Step("WorkerRebooted", rebooted, count))
    return steps


def _tables(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return a publish of one row."""
    row = replace(service_row(builder.size, 0), share=2.0, window=WINDOW_ALWAYS)
    account = AccountRow("account-00", (HASH,))
    version = fleet.table.version
    one = TablePublished(version, (), (row,), (), "bench")
    two = TablePublished(version, (account,), (), (), "bench")
    return [
        Step("TablePublished, a service row", (one,), 1),
        Step("TablePublished, an account row", (two,), 1),
    ]


def _claims(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return claims and their ends."""
    first = 10_000_000
    claims = tuple(builder.claim(first + index) for index in range(ITEMS))
    ends = tuple(claim_end(claim) for claim in claims)
    made = ClaimsMade(host_name(0), 1, claims)
    return [
        Step("ClaimsMade, a claim", (made,), ITEMS),
        Step("ClaimsEnded, an end", (ClaimsEnded(ends),), ITEMS),
    ]


def _jobs(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return jobs that are taken in, placed and ended."""
    first = 10_000_000
    jobs = tuple(builder.job(first + index) for index in range(ITEMS))
    placed = tuple(builder.placed(first + index) for index in range(ITEMS))
    ends = tuple(JobEnd(job.job_id, 1, JobOutcome.DONE) for job in jobs)
    return [
        Step("JobsSubmitted, a job", (JobsSubmitted(jobs),), ITEMS),
        Step("JobPlaced", placed, ITEMS),
        Step("JobsEnded, an end", (JobsEnded(ends),), ITEMS),
    ]


def _snapshots(builder: Builder, fleet: FleetState) -> list[Step]:
    """Return a part of a snapshot."""
    part = SnapshotPart(fleet.offset, 0, 2, HASH[:32], host_name(0), b"x" * 1_024)
    return [Step("SnapshotPart", (part,), 1)]


_LINES: tuple[Callable[[Builder, FleetState], list[Step]], ...] = (
    _beats,
    _losses,
    _reboots,
    _tables,
    _claims,
    _jobs,
    _snapshots,
)
