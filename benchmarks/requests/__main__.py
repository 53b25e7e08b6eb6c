"""Command line: `python -m benchmarks.requests [--seed S] [--write]`."""

import sys
from collections.abc import Sequence
from multiprocessing import Pool
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.figures import DOCS, Recorder, put_block
from benchmarks.requests import report
from benchmarks.requests.outage import outage_table
from benchmarks.requests.run import CHOSEN, POLICIES, SHAPES, Job, Result, run
from benchmarks.requests.scenarios import FLOODS, SCENARIOS
from benchmarks.slopes.decisions import decisions_table, measure

PAGE = DOCS / "requests.md"
TARGETS = (10, 100, 1_000)
COMPARED = "power_of_two"

app = App(name="requests", help="Compare request policies in virtual time.")


@app.default
def main(
    *,
    seed: Annotated[int, Parameter(help="Of arrivals and service times.")] = 1,
    only: Annotated[list[str] | None, Parameter(help="Scenarios to run.")] = None,
    fleet: Annotated[list[str] | None, Parameter(help="Fleets to run.")] = None,
    processes: Annotated[int, Parameter(help="Runs at a time.")] = 3,
    write: Annotated[bool, Parameter(help="Put the tables into the page.")] = False,
) -> None:
    """Run all scenarios under all policies, or those named."""
    shapes = fleet or list(SHAPES)
    with Pool(processes) as pool:
        for name in only or [*SCENARIOS, "flood", "outage", "decision"]:
            recorder = Recorder(f"script/bench requests --seed {seed} --only {name}")
            text = _part(pool, name, shapes, seed)
            source = recorder.source().line()
            block = f"{text}\n\n{source}"
            print(f"### {name}\n\n{block}\n", flush=True)
            if write:
                put_block(PAGE, name, block)
            print(f"{name} done", file=sys.stderr, flush=True)


def _part(pool: Pool, name: str, shapes: Sequence[str], seed: int) -> str:
    """Return the tables of one scenario."""
    if name == "outage":
        return outage_table(seed)
    if name == "decision":
        return decisions_table(measure(TARGETS))
    if name in FLOODS:
        return _flood(pool, shapes, seed)
    jobs = [Job(shape, name, policy, seed) for shape in shapes for policy in POLICIES]
    results = pool.map(run, jobs, chunksize=1)
    parts = []
    for shape in shapes:
        found = [one for one in results if one.job.shape == shape]
        asked = found[0].asked
        parts.append(f"{shape}, {asked:,} requests counted:")
        parts.append(report.scenario_table(found))
    if name == "batch_saturates":
        parts.append(report.urgent_table(results))
    if name == "log_down":
        parts.append(report.keyed_table(results))
    return "\n\n".join(parts)


def _flood(pool: Pool, shapes: Sequence[str], seed: int) -> str:
    """Return the tables with and without a flood."""
    jobs = []
    for shape in shapes:
        for policy in (COMPARED, CHOSEN):
            for name in ("no_flood", "flood"):
                jobs.append(Job(shape, name, policy, seed))
    results = pool.map(run, jobs, chunksize=1)
    pairs: list[tuple[Result, Result]] = []
    for index in range(0, len(results), 2):
        pairs.append((results[index], results[index + 1]))
    return report.flood_table(pairs)


if __name__ == "__main__":
    app()
