"""Command line: `python -m benchmarks.jobs --seed S`."""

import sys

from cyclopts import App

from benchmarks.figures import Recorder
from benchmarks.jobs import report
from benchmarks.jobs.driver import Driver, Run
from benchmarks.jobs.load import FLEETS, arrivals
from benchmarks.jobs.report import Figures
from courselead.core.jobs.placement import (
    BestFit,
    FirstFit,
    MaintenanceAwareFit,
    RandomFit,
    WorstFit,
)

POLICIES = {
    "first_fit": FirstFit(),
    "random": RandomFit(),
    "best_fit": BestFit(),
    "worst_fit": WorstFit(),
    "calm": MaintenanceAwareFit(),
}

app = App(name="jobs", help="Measure placement and learned sizes in virtual time.")


@app.default
def main(
    *,
    seed: int = 1,
    error: float = 0.6,
    fleet: list[str] | None = None,
    policy: list[str] | None = None,
    learning: bool | None = None,
    reserve: bool = True,
    wave: bool = True,
) -> None:
    """Run every policy with and without learned sizes, and print the table.

    Args:
        seed: Seed of all random draws.
        error: Standard deviation of the logarithm of the ratio of declared
            to true sizes; with 0 the declared sizes are the true ones.
        fleet: Fleets to run; all by default.
        policy: Policies to run; all by default.
        learning: Whether to use learned sizes; both by default.
        reserve: Whether capacity is reserved for urgent jobs.
        wave: Whether a maintenance wave takes place during the run.
    """
    recorder = Recorder(" ".join(["python -m benchmarks.jobs", *sys.argv[1:]]))
    print(report.header())
    for name in fleet or list(FLEETS):
        shape = FLEETS[name]
        jobs = arrivals(shape, seed, error)
        for policy_name in policy or list(POLICIES):
            for uses_learning in (False, True) if learning is None else (learning,):
                run = Run(shape, POLICIES[policy_name], uses_learning, reserve, wave)
                driver = Driver(run, jobs)
                driver.run_to_end()
                figures = Figures.from_driver(driver)
                print(report.row(name, policy_name, uses_learning, figures), flush=True)
    print()
    print(recorder.source().line())


if __name__ == "__main__":
    app()
