"""The command-line application: registers the commands and returns exit codes."""

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter

from courselead import __version__
from courselead.cli import call, explain, fleet, jobs, local, table, zones
from courselead.cli.errors import CliError, ExitCode, Faults
from courselead.cli.output import emit_json, warn
from courselead.table_files.grid import fault_text

OPTION_JSON = "--json"
SERVE_HELP = "Run the daemon of an entry host."
EXIT_INTERRUPTED = 130

APP = App(
    name="courselead",
    help="Fleet capacity and maintenance manager.",
    version=__version__,
    help_format="plaintext",
)
APP.command(table.APP)
APP.command(fleet.status)
APP.command(jobs.APP)
APP.command(fleet.WORKERS)
APP.command(zones.APP)
APP.command(call.call)
APP.command(local.CONFIG)
APP.command(local.CREDENTIAL)
APP.command(explain.explain)


@APP.command
def serve(*, config: Annotated[Path, Parameter(help="Settings file.")]) -> int:
    """Run the daemon of an entry host.

    Registered here for the help only; `courselead.__main__` handles this command
    before the command line's libraries are loaded.
    """
    from courselead.daemon.main import run as run_daemon

    return run_daemon(str(config))


def run(argv: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    args = list(argv)
    try:
        code = APP(
            args,
            exit_on_error=False,
            print_error=False,
            result_action="return_value",
        )
    except CycloptsError as exc:
        warn(f"{exc}\nsee courselead --help")
        return ExitCode.USAGE
    except CliError as exc:
        _write_error(exc, OPTION_JSON in args)
        return exc.exit_code
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader closed standard output. Point it to the null device, so that the
        # flush at the end of the process does not fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.REFUSED
    return code if isinstance(code, int) else ExitCode.OK


def _write_error(exc: CliError, as_json: bool) -> None:
    """Write an error, and its faults as text or, with `--json`, as JSON."""
    warn(str(exc))
    if not isinstance(exc, Faults):
        return
    if not as_json:
        warn(fault_text(exc.faults))
        return
    faults = []
    for fault in exc.faults:
        item = {"row": fault.row, "column": fault.column, "message": fault.message}
        faults.append(item)
    emit_json({"faults": faults})
