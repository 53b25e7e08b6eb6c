"""Command line: `python -m benchmarks.jobs --seed S`."""

from cyclopts import App

from benchmarks.figures import Recorder
from benchmarks.jobs import report
from benchmarks.jobs.driver import Driver, Run
from benchmarks.jobs.load import FLEETS, arrivals
from benchmarks.jobs.report import Figures
from courselead.core.jobs.placement import (
    BestFit,
    CalmFit,
    FirstFit,
    RandomFit,
    WorstFit,
)

POLICIES = {
    "first_fit": FirstFit(),
    "random": RandomFit(),
    "best_fit": BestFit(),
    "worst_fit": WorstFit(),
    "calm": CalmFit(),
}

app = App(name="jobs", help="Measure placement and learned sizes in virtual time.")


@app.default
def main(
    *,
    seed: int = 1,
    error: float = 0.6,
    fleet: list[str] | None = None,
    policy: list[str] | None = None,
    wave: bool = True,
) -> None:
    """Run every policy with and without learned sizes, and print the table.

    Args:
        seed: Of all draws.
        error: Standard deviation of the logarithm of declared over true; 0
            makes declared sizes true.
        fleet: Fleets to run, all if none is named.
        policy: Policies to run, all if none is named.
        wave: Whether a maintenance wave goes over the fleet meanwhile.
    """
    command = f"python -m benchmarks.jobs --seed {seed} --error {error:g}"
    recorder = Recorder(command if wave else f"{command} --no-wave")
    print(report.header())
    for name in fleet or list(FLEETS):
        shape = FLEETS[name]
        jobs = arrivals(shape, seed, error)
        for kind in policy or list(POLICIES):
            for learning in (False, True):
                driver = Driver(Run(shape, POLICIES[kind], learning, wave), jobs)
                driver.finish()
                figures = Figures.from_driver(driver)
                print(report.row(name, kind, learning, figures), flush=True)
    print()
    print(recorder.source().line())


if __name__ == "__main__":
    app()
