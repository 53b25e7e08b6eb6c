"""Size and codec cost of messages between entry hosts and of log batches."""

from collections.abc import Sequence

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
from courselead.core.events import Loan, PeerReport
from courselead.core.fleet.codec import decode_batch, encode_batch
from courselead.core.fleet.records import (
    Batch,
    ClaimsEnded,
    ClaimsMade,
    HostBeat,
    MinionUp,
    Record,
    StopPlanned,
    StopPurpose,
    TablePublished,
)
from courselead.integrations.peers.codec import FrameDecoder, encode


def report_of(size: Size, minions: int, wanted: int, loans: int = 0) -> PeerReport:
    """Return a report with numbers of minions in use, units wanted and loans."""
    in_flight = []
    lent = []
    for index in range(minions):
        in_flight.append((worker_info(size, index).worker, 3))
    for index in range(loans):
        name = worker_info(size, index).worker
        lent.append(Loan(f"minion:{name}:3", 2, 123_456))
    wants = []
    for index in range(wanted):
        name = worker_info(size, index).worker
        wants.append((f"minion:{name}:3", 2))
    return PeerReport(
        entry_host=host_name(0),
        incarnation=START_WALL_MS,
        availability_zone="region-0-zone-0",
        serial=123_456,
        applied=1_234_567,
        in_flight=tuple(in_flight),
        wants=tuple(wants),
        loans=tuple(lent),
        holding=(("heard", 123_456),),
    )


def reports_table() -> str:
    """Return the size and cost of a report by its contents."""
    size = Size()
    shapes = {
        "minions in use": [(count, 0, 0) for count in (0, 40, 250, 1_000)],
        "units wanted": [(0, count, 0) for count in (0, 40, 160)],
        "loans": [(0, 0, count) for count in (0, 40, 160)],
    }
    rows = []
    for name, shape in shapes.items():
        points = []
        calls = {}
        for counts in shape:
            report = report_of(size, *counts)
            data = encode(report)
            points.append((float(sum(counts)), float(len(data))))
            calls[sum(counts), "encode"] = lambda report=report: encode(report)
            calls[sum(counts), "decode"] = lambda data=data: FrameDecoder().feed(data)
        best = best_in_rounds(calls)
        fit = Fit.from_points(points)
        measured = ", ".join(f"{x:,.0f}: {y:,.0f}" for x, y in points)
        costs = []
        for kind in ("encode", "decode"):
            timed = [(x, best[int(x), kind]) for x, _ in points]
            cost = Fit.from_points(timed)
            costs.append(
                f"{cost.intercept:.1f} + {cost.slope:.3f} n (r2 {cost.r2:.3f})"
            )
        rows.append((name, measured, fit.intercept, fit.slope, fit.r2, *costs))
    columns = (
        "n",
        "bytes at",
        "bytes at 0",
        "for one more",
        "r2",
        "encode, us",
        "decode, us",
    )
    return table(columns, rows)


def batches_table() -> str:
    """Return the size of a batch by its contents, and the size of one more item."""
    builder = Builder.from_size(Size(workers=250, pools=40))
    fleet = builder.fleet
    name = host_name(0)
    last = fleet.offset + 1_000_000
    beat = HostBeat(name, START_WALL_MS, last, last, last, fleet.digest)
    claims = [builder.claim(number) for number in range(100)]
    row = service_row(builder.size, 0)
    stop = StopPlanned(
        "worker-0001", 3, StopPurpose.MAINTENANCE, "", last, START_WALL_MS
    )
    batches: dict[str, tuple[tuple[Record, ...], tuple[Record, ...]]] = {
        "HostBeat": ((beat,), (beat, beat)),
        "TablePublished, a service row": (
            (TablePublished(last, (), (row,), (), "operator"),),
            (TablePublished(last, (), (row, row), (), "operator"),),
        ),
        "MinionUp": (_minions_up(1), _minions_up(2)),
        "StopPlanned": ((stop,), (stop, stop)),
        "ClaimsMade": (
            (ClaimsMade(name, 1, tuple(claims[:1])),),
            (ClaimsMade(name, 1, tuple(claims[:2])),),
        ),
        "ClaimsEnded, small answer": (
            (ClaimsEnded((claim_end(claims[0]),)),),
            (ClaimsEnded((claim_end(claims[0]), claim_end(claims[1]))),),
        ),
    }
    calls = {}
    sizes = {}
    for kind, (single, double) in batches.items():
        data = encode_batch(_batch(single))
        sizes[kind] = (len(data), len(encode_batch(_batch(double))) - len(data))
        calls[kind, "encode"] = lambda single=single: encode_batch(_batch(single))
        calls[kind, "decode"] = lambda data=data: decode_batch(data)
    best = best_in_rounds(calls)
    rows = []
    for kind, (total, additional) in sizes.items():
        costs = (best[kind, "encode"], best[kind, "decode"])
        rows.append((kind, total, additional, *costs))
    columns = (
        "batch of one",
        "bytes",
        "bytes for one more",
        "encode, us",
        "decode, us",
    )
    return table(columns, rows)


def _minions_up(count: int) -> tuple[Record, ...]:
    """Return `count` records of the same minion that is up."""
    return (MinionUp("worker-0001", 3, "10.2.0.2:9001"),) * count


def _batch(records: Sequence[Record]) -> Batch:
    """Return a batch with the sequence numbers of a long-running host."""
    wall_ms = START_WALL_MS + 86_400_000
    return Batch(
        host_name(0), START_WALL_MS, 123_456, wall_ms, 1_230_000, tuple(records)
    )
