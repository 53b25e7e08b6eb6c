"""What one entry host costs at rest, against workers, hosts and pools."""

from dataclasses import dataclass
from statistics import median

from benchmarks.figures import Fit, table
from benchmarks.slopes.cluster import NS_PER_S, Cluster, Costs
from benchmarks.slopes.fleets import START_WALL_MS, Builder, Size

# An agent of a worker at rest is polled every half minute or so.
WARM_MS = 20_000
WINDOW_MS = 8_000
WINDOWS = 5
HOUR_MS = 3_600_000
# The services' window opens at 01:00.
OPEN_WALL_MS = START_WALL_MS + 2 * HOUR_MS
KINDS = (
    "Tick",
    "PeerReported",
    "BatchesRead",
    "AgentAnswered",
    "MembersListed",
    "encode report",
    "decode report",
)


@dataclass(frozen=True, slots=True)
class Steady:
    """Figures of one host, as the mean over all hosts of a run.

    Attributes:
        best: Per cent of a core, lowest of the windows.
        middle: The same, median of the windows.
        by_kind: Per cent of a core by kind of event, median of the windows.
        tick_ms: Longest tick of the quietest window.
    """

    size: Size
    best: float
    middle: float
    by_kind: dict[str, float]
    tick_us: float
    tick_ms: float
    calls_per_s: float
    appends_per_s: float
    append_bytes: float
    peer_bytes_per_s: float
    log_bytes_per_s: float


def measure(size: Size) -> Steady:
    """Run a fleet at rest, outside its maintenance windows."""
    builder = Builder.from_size(size)
    cluster = Cluster.from_builder(builder, START_WALL_MS)
    cluster.run(WARM_MS)
    windows = []
    for index in range(WINDOWS):
        cluster.start_over()
        cluster.run(WARM_MS + (index + 1) * WINDOW_MS)
        windows.append(cluster.costs)
    return _summary(size, windows)


def sweep_workers() -> list[Steady]:
    """Measure at three numbers of workers, pools in the same proportion."""
    return [
        measure(Size(workers=40, pools=6, accounts=2)),
        measure(Size(workers=250, pools=40, accounts=5)),
        measure(Size(workers=500, pools=80, accounts=10)),
        measure(Size()),
    ]


def sweep_hosts() -> list[Steady]:
    """Measure at three numbers of entry hosts, 1,000 workers."""
    return [measure(Size(hosts=count)) for count in (6, 12, 24)]


def sweep_pools() -> list[Steady]:
    """Measure at three numbers of pools, 1,000 workers and 6 hosts."""
    return [measure(Size(pools=count)) for count in (40, 160, 320)]


def rows_table(found: list[Steady]) -> str:
    """Return the figures as a table."""
    columns = (
        "workers",
        "pools",
        "hosts",
        "% of a core, best of 5",
        "median of 5",
        *[f"{kind}, %" for kind in KINDS],
        "mean tick, us",
        "longest tick, ms",
        "agent calls/s",
        "appends/s",
        "bytes an append",
        "peer bytes/s sent",
        "log bytes/s read",
    )
    rows = []
    for one in found:
        size = one.size
        rows.append(
            (
                size.workers,
                size.pools,
                size.hosts,
                one.best,
                one.middle,
                *[one.by_kind[kind] for kind in KINDS],
                one.tick_us,
                one.tick_ms,
                one.calls_per_s,
                one.appends_per_s,
                one.append_bytes,
                one.peer_bytes_per_s,
                one.log_bytes_per_s,
            )
        )
    return table(columns, rows)


def fits_table(found: list[Steady], attribute: str) -> str:
    """Return the lines of all costs against one attribute of the size."""
    rows = []
    for kind in ("all", *KINDS):
        points = []
        for one in found:
            value = one.middle if kind == "all" else one.by_kind[kind]
            points.append((float(getattr(one.size, attribute)), value))
        line = Fit.from_points(points)
        rows.append((kind, line.base, line.slope * 1_000, line.r2, line.worst))
    columns = (
        "% of a core",
        "at 0",
        f"for 1,000 {attribute}",
        "r2",
        "worst distance",
    )
    return table(columns, rows)


def _summary(size: Size, windows: list[Costs]) -> Steady:
    """Return the figures of one run's windows."""
    seconds = WINDOW_MS / 1_000 * size.hosts
    totals = [_percent(sum(one.took_ns.values()), seconds) for one in windows]
    by_kind = {}
    for kind in KINDS:
        by_kind[kind] = median(_percent(one.took_ns[kind], seconds) for one in windows)
    calls = sum(
        count
        for one in windows
        for name, count in one.count.items()
        if name.startswith("agent ")
    )
    all_s = seconds * len(windows)
    appends = sum(one.count["encode batch"] for one in windows)
    append_bytes = sum(one.sent_bytes["log append"] for one in windows)
    return Steady(
        size=size,
        best=min(totals),
        middle=median(totals),
        by_kind=by_kind,
        tick_us=min(one.took_ns["Tick"] / one.count["Tick"] for one in windows) / 1e3,
        tick_ms=min(one.most_ns["Tick"] for one in windows) / 1e6,
        calls_per_s=calls / all_s,
        appends_per_s=appends / all_s,
        append_bytes=append_bytes / max(1, appends),
        peer_bytes_per_s=sum(one.sent_bytes["peer report"] for one in windows) / all_s,
        log_bytes_per_s=sum(one.sent_bytes["log read"] for one in windows) / all_s,
    )


def _percent(took_ns: int, seconds: float) -> float:
    """Return processor time as per cent of a core."""
    return 100.0 * took_ns / (seconds * NS_PER_S)
