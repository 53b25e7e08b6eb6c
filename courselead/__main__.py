"""Entry point: `courselead serve` starts the daemon, all else the command line.

`serve` is handled here, before the command line is imported, so that the daemon never
loads the command line's libraries.
"""

import sys
from collections.abc import Sequence

from courselead.startup_signals import StartupSignals

COMMAND_SERVE = "serve"
CONFIG_OPTION = "--config"
HELP_OPTIONS = ("-h", "--help")
PLATFORM_OPTION = "--platform"
SERVE_USAGE = "usage: courselead serve --config FILE | courselead serve --platform"
RICH_LIBRARY = "rich"
EXIT_OK = 0
EXIT_USAGE = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    Args:
        argv: Arguments without the program's name; by default `sys.argv[1:]`.

    Returns:
        The exit code.
    """
    args = list(sys.argv[1:] if argv is None else argv)
    if args and args[0] == COMMAND_SERVE:
        return _serve(args[1:])
    from courselead.cli.app import run

    return run(args)


def _serve(args: list[str]) -> int:
    """Run the daemon until it exits and return the exit code."""
    if args and args[0] in HELP_OPTIONS:
        sys.stdout.write(f"{SERVE_USAGE}\n")
        return EXIT_OK
    if args == [PLATFORM_OPTION]:
        startup_signals = StartupSignals.install()
        sys.modules.setdefault(RICH_LIBRARY, None)
        from courselead.daemon.scheduling.main import run as run_on_platform

        return run_on_platform(startup_signals)
    path = _config_path(args)
    if not path:
        sys.stderr.write(f"{SERVE_USAGE}\n")
        return EXIT_USAGE
    # This daemon reads its settings once, so a SIGHUP need not be repeated to it.
    StartupSignals.install()
    # structlog imports rich, for coloured output, wherever it is installed. With None
    # in `sys.modules` that import fails, and structlog does without.
    sys.modules.setdefault(RICH_LIBRARY, None)
    from courselead.daemon.main import run

    return run(path)


def _config_path(args: list[str]) -> str:
    """Return the path given with `--config`, "" if the arguments are invalid."""
    if len(args) == 2 and args[0] == CONFIG_OPTION:
        return args[1]
    if len(args) == 1 and args[0].startswith(f"{CONFIG_OPTION}="):
        return args[0].removeprefix(f"{CONFIG_OPTION}=")
    return ""


if __name__ == "__main__":
    sys.exit(main())
