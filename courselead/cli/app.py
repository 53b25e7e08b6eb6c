"""The command line: its commands and its exit codes."""

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter

from courselead import __version__
from courselead.cli import call, explain, fleet, jobs, local, table
from courselead.cli.errors import CliError, ExitCode, Faults
from courselead.cli.output import emit_json, warn
from courselead.table_files.grid import fault_text

OPTION_JSON = "--json"
SERVE_HELP = "Run the daemon of an entry host."
INTERRUPTED = 130

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
APP.command(call.call)
APP.command(local.CONFIG)
APP.command(local.CREDENTIAL)
APP.command(explain.explain)


@APP.command
def serve(*, config: Annotated[Path, Parameter(help="Settings file.")]) -> int:
    """Run the daemon of an entry host.

    Listed here for the help; `courselead.__main__` takes this command before
    the command line's libraries are loaded.
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
        _tell(exc, OPTION_JSON in args)
        return exc.exit_code
    except KeyboardInterrupt:
        return INTERRUPTED
    except BrokenPipeError:
        # The reader of standard output has gone; what is left to flush at the
        # end of the process goes nowhere.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.REFUSED
    return code if isinstance(code, int) else ExitCode.OK


def _tell(exc: CliError, as_json: bool) -> None:
    """Write an error; faults also as JSON where that was asked for."""
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
