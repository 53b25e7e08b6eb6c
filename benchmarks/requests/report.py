"""Tables of the runs."""

from collections.abc import Sequence

from benchmarks.figures import table
from benchmarks.requests.run import Result

CLASSES = ("urgent", "normal", "batch")
COLUMNS = (
    "policy",
    "served/s",
    "served",
    "late",
    "refused",
    "failed",
    *[f"{name} p50/p99/p99.9, ms" for name in CLASSES],
    "sends a request",
    "refused by minions, a request",
    "most on a minion",
    "time over 8",
    "Jain",
)


def scenario_table(results: Sequence[Result]) -> str:
    """Return all policies under one scenario."""
    rows = []
    for one in results:
        rows.append(
            (
                one.job.policy,
                one.served_per_s,
                _part(one.served),
                _part(one.late),
                _part(one.refused),
                _part(one.failed),
                *[_times(one.latency_ms.get(name, ())) for name in CLASSES],
                f"{one.sends:.3f}",
                f"{one.minion_refusals:.3f}",
                one.overshoot,
                _part(one.over_part),
                f"{one.fairness:.4f}",
            )
        )
    return table(COLUMNS, rows)


def urgent_table(results: Sequence[Result]) -> str:
    """Return how long urgent requests waited for their first send."""
    rows = []
    for one in results:
        name = (one.job.shape, one.job.policy)
        rows.append((*name, _times(one.start_ms.get("urgent", ()))))
    columns = ("fleet", "policy", "urgent: until sent, p50/p99/p99.9, ms")
    return table(columns, rows)


def keyed_table(results: Sequence[Result]) -> str:
    """Return which part of keyed requests met the log's outage."""
    rows = []
    for one in results:
        name = (one.job.shape, one.job.policy)
        rows.append((*name, _part(one.keyed_refused), _part(one.served)))
    columns = (
        "fleet",
        "policy",
        "keyed requests refused as the log was down",
        "all requests served",
    )
    return table(columns, rows)


def flood_table(pairs: Sequence[tuple[Result, Result]]) -> str:
    """Return what a flood of one account does to the others."""
    rows = []
    for without, flooded in pairs:
        rows.append(
            (
                without.job.shape,
                without.job.policy,
                _part(without.others_served),
                _part(flooded.others_served),
                without.others_p99_ms,
                flooded.others_p99_ms,
                _part(flooded.by_account["account-00"]),
            )
        )
    columns = (
        "fleet",
        "policy",
        "others served without",
        "with",
        "others p99 without, ms",
        "with, ms",
        "of the flood served",
    )
    return table(columns, rows)


def _part(value: float) -> str:
    """Return a part as per cent."""
    return f"{value:.2%}"


def _times(values: Sequence[float]) -> str:
    """Return percentiles in one cell."""
    return " / ".join(f"{value:,.0f}" for value in values) or "none"
