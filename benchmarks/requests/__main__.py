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
    seed: Annotated[int, Parameter(help="Seed of arrivals and service times.")] = 1,
    only: Annotated[list[str] | None, Parameter(help="Scenarios to run.")] = None,
    fleet: Annotated[list[str] | None, Parameter(help="Fleets to run.")] = None,
    processes: Annotated[int, Parameter(help="Number of parallel runs.")] = 3,
    write: Annotated[bool, Parameter(help="Put the tables into the page.")] = False,
) -> None:
    """Run the named scenarios, or all of them, under every policy."""
    shapes = fleet or list(SHAPES)
    with Pool(processes) as pool:
        for name in only or [*SCENARIOS, "flood", "outage", "decision"]:
            recorder = Recorder(f"script/bench requests --seed {seed} --only {name}")
            text = _scenario_tables(pool, name, shapes, seed)
            source = recorder.source().line()
            block = f"{text}\n\n{source}"
            print(f"### {name}\n\n{block}\n", flush=True)
            if write:
                put_block(PAGE, name, block)
            print(f"{name} done", file=sys.stderr, flush=True)


def _scenario_tables(pool: Pool, name: str, shapes: Sequence[str], seed: int) -> str:
    """Return the tables of one scenario."""
    if name == "outage":
        return outage_table(seed)
    if name == "decision":
        return decisions_table(measure(TARGETS))
    if name in FLOODS:
        return _flood_tables(pool, shapes, seed)
    jobs = [Job(shape, name, policy, seed) for shape in shapes for policy in POLICIES]
    results = pool.map(run, jobs, chunksize=1)
    parts = []
    for shape in shapes:
        shape_results = [result for result in results if result.job.shape == shape]
        request_count = shape_results[0].request_count
        parts.append(f"{shape}, {request_count:,} requests counted:")
        parts.append(report.scenario_table(shape_results))
    if name == "batch_saturates":
        parts.append(report.urgent_table(results))
    if name == "log_down":
        parts.append(report.keyed_table(results))
    return "\n\n".join(parts)


def _flood_tables(pool: Pool, shapes: Sequence[str], seed: int) -> str:
    """Return the table that compares runs with and without the flood."""
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
