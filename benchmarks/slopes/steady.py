"""Cost of an idle entry host by number of workers, hosts and pools."""

from dataclasses import dataclass
from statistics import median

from benchmarks.figures import Fit, table
from benchmarks.slopes.cluster import NS_PER_S, Cluster, Costs
from benchmarks.slopes.fleets import START_WALL_MS, Builder, Size

# Agents of idle workers are polled about every 30 s.
WARM_UP_MS = 20_000
WINDOW_MS = 8_000
WINDOWS = 5
HOUR_MS = 3_600_000
# The maintenance window of the services opens at 01:00.
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
class IdleCost:
    """Cost of one idle host, as the mean over all hosts of a run.

    Attributes:
        min_percent: Percentage of a core, lowest of the windows.
        median_percent: Percentage of a core, median of the windows.
        by_kind: Percentage of a core by kind of event, median of the windows.
        tick_us: Mean tick, lowest of the windows.
        tick_ms: Longest tick, lowest of the windows.
    """

    size: Size
    min_percent: float
    median_percent: float
    by_kind: dict[str, float]
    tick_us: float
    tick_ms: float
    calls_per_s: float
    appends_per_s: float
    append_bytes: float
    peer_bytes_per_s: float
    log_bytes_per_s: float


def measure(size: Size) -> IdleCost:
    """Measure an idle fleet outside its maintenance windows."""
    builder = Builder.from_size(size)
    cluster = Cluster.from_builder(builder, START_WALL_MS)
    cluster.run(WARM_UP_MS)
    windows = []
    for index in range(WINDOWS):
        cluster.reset_costs()
        cluster.run(WARM_UP_MS + (index + 1) * WINDOW_MS)
        windows.append(cluster.costs)
    return _summary(size, windows)


def sweep_workers() -> list[IdleCost]:
    """Measure at several numbers of workers, with pools in proportion."""
    return [
        measure(Size(workers=40, pools=6, accounts=2)),
        measure(Size(workers=250, pools=40, accounts=5)),
        measure(Size(workers=500, pools=80, accounts=10)),
        measure(Size()),
    ]


def sweep_hosts() -> list[IdleCost]:
    """Measure at three numbers of entry hosts, with 1,000 workers."""
    return [measure(Size(hosts=count)) for count in (6, 12, 24)]


def sweep_pools() -> list[IdleCost]:
    """Measure at three numbers of pools, with 1,000 workers and 6 hosts."""
    return [measure(Size(pools=count)) for count in (40, 160, 320)]


def rows_table(costs: list[IdleCost]) -> str:
    """Return the costs as a table."""
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
    for cost in costs:
        size = cost.size
        rows.append(
            (
                size.workers,
                size.pools,
                size.hosts,
                cost.min_percent,
                cost.median_percent,
                *[cost.by_kind[kind] for kind in KINDS],
                cost.tick_us,
                cost.tick_ms,
                cost.calls_per_s,
                cost.appends_per_s,
                cost.append_bytes,
                cost.peer_bytes_per_s,
                cost.log_bytes_per_s,
            )
        )
    return table(columns, rows)


def fits_table(costs: list[IdleCost], attribute: str) -> str:
    """Return linear fits of all costs against one attribute of the size."""
    rows = []
    for kind in ("all", *KINDS):
        points = []
        for cost in costs:
            value = cost.median_percent if kind == "all" else cost.by_kind[kind]
            points.append((float(getattr(cost.size, attribute)), value))
        fit = Fit.from_points(points)
        rows.append((kind, fit.intercept, fit.slope * 1_000, fit.r2, fit.max_deviation))
    columns = (
        "% of a core",
        "at 0",
        f"for 1,000 {attribute}",
        "r2",
        "worst distance",
    )
    return table(columns, rows)


def _summary(size: Size, windows: list[Costs]) -> IdleCost:
    """Return the costs from the windows of a run."""
    seconds = WINDOW_MS / 1_000 * size.hosts
    totals = [_percent(sum(window.total_ns.values()), seconds) for window in windows]
    by_kind = {}
    for kind in KINDS:
        by_kind[kind] = median(
            _percent(window.total_ns[kind], seconds) for window in windows
        )
    calls = sum(
        count
        for window in windows
        for name, count in window.count.items()
        if name.startswith("agent ")
    )
    total_s = seconds * len(windows)
    appends = sum(window.count["encode batch"] for window in windows)
    append_bytes = sum(window.sent_bytes["log append"] for window in windows)
    return IdleCost(
        size=size,
        min_percent=min(totals),
        median_percent=median(totals),
        by_kind=by_kind,
        tick_us=min(
            window.total_ns["Tick"] / window.count["Tick"] for window in windows
        )
        / 1e3,
        tick_ms=min(window.max_ns["Tick"] for window in windows) / 1e6,
        calls_per_s=calls / total_s,
        appends_per_s=appends / total_s,
        append_bytes=append_bytes / max(1, appends),
        peer_bytes_per_s=sum(window.sent_bytes["peer report"] for window in windows)
        / total_s,
        log_bytes_per_s=sum(window.sent_bytes["log read"] for window in windows)
        / total_s,
    )


def _percent(took_ns: int, seconds: float) -> float:
    """Return processor time as a percentage of a core."""
    return 100.0 * took_ns / (seconds * NS_PER_S)
