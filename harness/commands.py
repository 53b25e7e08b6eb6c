"""Command line of `script/matrix` and `script/soak`."""

import argparse
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

from harness.checks import Promise
from harness.faults import FAULTS
from harness.matrix import Matrix, Outcome, Pair, Run, pairs, sliced, steps
from harness.mutations import MUTATIONS, without_guard
from harness.plans import Plan, shrink

MAX_FAILURES_SHOWN = 12
TRACE_LINES = 60
RUNS_PER_MUTATION = 40
EXIT_OK = 0
EXIT_FAILED = 1


def matrix(argv: list[str]) -> int:
    """Run the matrix and print its table; return the exit code."""
    args = _matrix_args(argv)
    lines: list[str] = []
    printer = _Printer(lines)
    if args.mutate:
        with without_guard(args.mutate):
            runs = _run_all(args)
    else:
        runs = _run_all(args)
    chosen = [one for one in Promise if not args.promise or one == args.promise]
    totals = _table(printer, runs, chosen)
    _failures(printer, runs)
    _uncovered(printer, runs)
    bad = 0
    if not args.mutate and not args.no_mutations:
        bad = _mutations(printer, args)
    passed = totals[Outcome.PASSED]
    failed = totals[Outcome.FAILED]
    rest = totals[Outcome.NOT_COVERED]
    printer(f"{passed} cells passed, {failed} failed, {rest} not covered")
    if args.markdown:
        text = "\n".join(lines)
        Path(args.markdown).write_text(f"{text}\n")
    return EXIT_FAILED if failed or bad else EXIT_OK


class _Printer:
    """Prints lines and collects them in a list."""

    def __init__(self, lines: list[str]) -> None:
        self._lines = lines

    def __call__(self, line: str = "") -> None:
        """Print and collect one line."""
        self._lines.append(line)
        sys.stdout.write(f"{line}\n")
        sys.stdout.flush()


def _matrix_args(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="script/matrix")
    parser.add_argument("--promise", choices=[one.value for one in Promise])
    parser.add_argument("--fault", choices=list(FAULTS))
    parser.add_argument("--step", choices=list(steps()), metavar="STEP")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slice", default="1/1", help="i/n: one of n equal parts")
    parser.add_argument("--mutate", choices=list(MUTATIONS), help="take a guard out")
    parser.add_argument("--no-mutations", action="store_true")
    parser.add_argument("--markdown", help="write what is printed to a file, too")
    return parser.parse_args(argv)


def _chosen_pairs(args: argparse.Namespace) -> list[Pair]:
    """Return the pairs selected by the arguments."""
    found = pairs()
    if args.fault:
        found = tuple(pair for pair in found if pair.fault == args.fault)
    if args.step:
        found = tuple(pair for pair in found if pair.step == args.step)
    index, _, count = args.slice.partition("/")
    return list(sliced(found, int(index), int(count)))


def _run_all(args: argparse.Namespace) -> list[Run]:
    table = Matrix.from_seed(args.seed)
    return [table.run(pair) for pair in _chosen_pairs(args)]


def _table(printer: _Printer, runs: list[Run], chosen: list[Promise]) -> Counter:
    """Print passed/failed/not covered for each promise under each fault."""
    totals: Counter = Counter()
    names = [fault for fault in FAULTS if any(run.pair.fault == fault for run in runs)]
    head = " | ".join(names)
    rule = "|---" * (len(names) + 1)
    printer("Cells passed/failed/not covered, over all steps:")
    printer()
    printer(f"| promise | {head} |")
    printer(f"{rule}|")
    for promise in chosen:
        cells = []
        for fault in names:
            count = Counter(
                run.outcome(promise) for run in runs if run.pair.fault == fault
            )
            totals.update(count)
            values = [count[outcome] for outcome in Outcome]
            cells.append("/".join(map(str, values)))
        row = " | ".join(cells)
        printer(f"| {promise} | {row} |")
    printer()
    return totals


def _failures(printer: _Printer, runs: list[Run]) -> None:
    """Print the failed runs."""
    bad = [run for run in runs if run.violations or run.broken]
    for run in bad[:MAX_FAILURES_SHOWN]:
        printer(f"FAILED {run.pair.fault} at {run.pair.step}, seed {run.seed}:")
        for one in run.violations[:3]:
            printer(f"  {one.at_ms} ms {one.promise}: {one.text}")
        for text in run.broken[:3]:
            printer(f"  broken state: {text}")
    if len(bad) > MAX_FAILURES_SHOWN:
        more = len(bad) - MAX_FAILURES_SHOWN
        printer(f"and {more} more runs with failures")


def _uncovered(printer: _Printer, runs: list[Run]) -> None:
    """Print the steps that did not occur in any run."""
    occurred = {run.pair.step for run in runs if run.injected_ms >= 0}
    missing_steps = [step for step in steps() if step not in occurred]
    missing_steps = [
        step for step in missing_steps if any(run.pair.step == step for run in runs)
    ]
    if missing_steps:
        names = ", ".join(missing_steps)
        printer(f"Not covered, since they never came: {names}")
        printer()


def _mutations(printer: _Printer, args: argparse.Namespace) -> int:
    """Disable each guard in turn; return the number that no cell detected."""
    printer("| guard taken out | promise | cells run | caught by |")
    printer("|---|---|---|---|")
    missed = 0
    for name, mutation in MUTATIONS.items():
        if args.promise and mutation.promise != args.promise:
            continue
        with without_guard(name):
            caught, count = _first_caught(mutation.seed or args.seed, mutation)
        where = f"{caught.fault} at {caught.step}" if caught else "NOTHING"
        printer(
            f"| {mutation.what} (`{name}`) | {mutation.promise} | {count} | {where} |"
        )
        missed += caught is None
    printer()
    return missed


def _first_caught(seed: int, mutation: object) -> tuple[Pair | None, int]:
    """Return the first cell that fails without a guard, and the number of runs."""
    table = Matrix.from_seed(seed)
    found = list(pairs())
    Random(seed).shuffle(found)
    found.sort(key=lambda pair: pair.fault not in mutation.faults)
    for count, pair in enumerate(found[:RUNS_PER_MUTATION], 1):
        run = table.run(pair)
        if run.outcome(mutation.promise) is Outcome.FAILED and run.violations:
            return pair, count
    return None, RUNS_PER_MUTATION


def soak(argv: list[str]) -> int:
    """Run random plans for some minutes; return the exit code."""
    parser = argparse.ArgumentParser(prog="script/soak")
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    printer = _Printer([])
    end_s = time.monotonic() + args.minutes * 60
    seed = args.seed
    reductions = 0
    failed = 0
    while time.monotonic() < end_s:
        plan = Plan.from_seed(seed)
        result = plan.run()
        reductions += result.steps
        if result.bad:
            failed += 1
            _report(printer, shrink(plan))
        seed += 1
    count = seed - args.seed
    last = seed - 1
    printer(
        f"seeds {args.seed} to {last}: {count} runs, {reductions} events, {failed} bad"
    )
    return EXIT_FAILED if failed else EXIT_OK


def _report(printer: _Printer, plan: Plan) -> None:
    """Print a failing plan with the end of its trace."""
    result = plan.run()
    printer(f"FAILED seed {plan.seed}, shrunk to {len(plan.actions)} faults:")
    for action in plan.actions:
        printer(f"  {action.at_ms} ms {action.fault} at {action.host}")
    for text in result.bad[:4]:
        printer(f"  {text}")
    for line in result.trace[-TRACE_LINES:]:
        printer(f"    {line}")
