"""Markdown tables of the results."""

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
    """Return the table of all policies under one scenario."""
    rows = []
    for result in results:
        rows.append(
            (
                result.job.policy,
                result.served_per_s,
                _percent(result.served),
                _percent(result.late),
                _percent(result.refused),
                _percent(result.failed),
                *[_percentiles(result.latency_ms.get(name, ())) for name in CLASSES],
                f"{result.sends:.3f}",
                f"{result.minion_refusals:.3f}",
                result.max_outstanding,
                _percent(result.overload_fraction),
                f"{result.fairness:.4f}",
            )
        )
    return table(COLUMNS, rows)


def urgent_table(results: Sequence[Result]) -> str:
    """Return the table of the waiting time of urgent requests before the first send."""
    rows = []
    for result in results:
        name = (result.job.shape, result.job.policy)
        rows.append((*name, _percentiles(result.start_ms.get("urgent", ()))))
    columns = ("fleet", "policy", "urgent: until sent, p50/p99/p99.9, ms")
    return table(columns, rows)


def keyed_table(results: Sequence[Result]) -> str:
    """Return the table of keyed requests refused because the log was down."""
    rows = []
    for result in results:
        name = (result.job.shape, result.job.policy)
        rows.append((*name, _percent(result.keyed_refused), _percent(result.served)))
    columns = (
        "fleet",
        "policy",
        "keyed requests refused as the log was down",
        "all requests served",
    )
    return table(columns, rows)


def flood_table(pairs: Sequence[tuple[Result, Result]]) -> str:
    """Return the table of the effect of a flood by one account on the others."""
    rows = []
    for without, flooded in pairs:
        rows.append(
            (
                without.job.shape,
                without.job.policy,
                _percent(without.others_served),
                _percent(flooded.others_served),
                without.others_p99_ms,
                flooded.others_p99_ms,
                _percent(flooded.served_by_account["account-00"]),
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


def _percent(value: float) -> str:
    """Format a fraction as a percentage."""
    return f"{value:.2%}"


def _percentiles(values: Sequence[float]) -> str:
    """Format percentiles as one table cell."""
    return " / ".join(f"{value:,.0f}" for value in values) or "none"
