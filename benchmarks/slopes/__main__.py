"""Command line: `python -m benchmarks.slopes [--only NAME] [--write]`."""

import sys
from collections.abc import Callable
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.figures import DOCS, Recorder, plot, put_block
from benchmarks.slopes import apply, changes, decisions, memory, snapshots, steady, wire

PAGE = DOCS / "slopes.md"
PLOT = DOCS / "slopes.svg"

app = App(name="slopes", help="Measure costs against sizes, in one process.")


def steady_workers() -> str:
    """Return the cost of idle hosts by number of workers, and plot it."""
    costs = steady.sweep_workers()
    lines = {}
    for kind in ("Tick", "AgentAnswered", "MembersListed", "PeerReported"):
        lines[kind] = [(float(cost.size.workers), cost.by_kind[kind]) for cost in costs]
    axes = ("workers", "% of a core")
    PLOT.write_text(plot("One of six entry hosts at rest, by event", axes, lines))
    rows = steady.rows_table(costs)
    fits = steady.fits_table(costs, "workers")
    return f"{rows}\n\n{fits}"


def steady_hosts() -> str:
    """Return the cost of idle hosts by number of entry hosts."""
    costs = steady.sweep_hosts()
    rows = steady.rows_table(costs)
    fits = steady.fits_table(costs, "hosts")
    return f"{rows}\n\n{fits}"


def steady_pools() -> str:
    """Return the cost of idle hosts by number of pools."""
    costs = steady.sweep_pools()
    rows = steady.rows_table(costs)
    fits = steady.fits_table(costs, "pools")
    return f"{rows}\n\n{fits}"


def apply_workers() -> str:
    """Return the cost of records by number of workers."""
    return apply.costs_table(apply.sweep_workers(), "workers")


def apply_claims() -> str:
    """Return the cost of records by number of stored claims."""
    return apply.costs_table(apply.sweep_claims(), "claims")


def snapshot_workers() -> str:
    """Return the cost of snapshots by number of workers."""
    return snapshots.snapshots_table(snapshots.sweep_workers(), "workers")


def snapshot_claims() -> str:
    """Return the cost of snapshots by number of stored claims."""
    return snapshots.snapshots_table(snapshots.sweep_claims(), "claims")


def decision() -> str:
    """Return the cost of the routing decisions of a request."""
    return decisions.decisions_table(decisions.measure())


PARTS: dict[str, Callable[[], str]] = {
    "steady-workers": steady_workers,
    "steady-hosts": steady_hosts,
    "steady-pools": steady_pools,
    "apply-workers": apply_workers,
    "apply-claims": apply_claims,
    "changes": changes.changes_table,
    "memory-shared": memory.slopes_table,
    "memory-local": memory.local_table,
    "snapshot-workers": snapshot_workers,
    "snapshot-claims": snapshot_claims,
    "replay": snapshots.replay_table,
    "new-host": snapshots.new_host_table,
    "decision": decision,
    "reports": wire.reports_table,
    "batches": wire.batches_table,
}


@app.default
def main(
    *,
    only: Annotated[list[str] | None, Parameter(help="Parts to run.")] = None,
    write: Annotated[bool, Parameter(help="Write the tables to the page.")] = False,
) -> None:
    """Run the named parts, or all of them; they are deterministic."""
    for name in only or list(PARTS):
        recorder = Recorder(f"script/bench slopes --only {name}")
        text = PARTS[name]()
        source = recorder.source().line()
        block = f"{text}\n\n{source}"
        print(f"### {name}\n\n{block}\n", flush=True)
        if write:
            put_block(PAGE, name, block)
        print(f"{name} done", file=sys.stderr, flush=True)


if __name__ == "__main__":
    app()
