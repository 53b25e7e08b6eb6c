"""Entry point: `courselead serve` starts the daemon, all else the command line.

`serve` is told apart here, so that the libraries of the command line are never
loaded into a daemon.
"""

import sys
from collections.abc import Sequence

COMMAND_SERVE = "serve"
CONF_OPTION = "--config"
HELP_OPTIONS = ("-h", "--help")
PLATFORM_OPTION = "--platform"
SERVE_USAGE = "usage: courselead serve --config FILE | courselead serve --platform"
LIBRARY_OF_COLOURS = "rich"
EXIT_OK = 0
EXIT_USAGE = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    Args:
        argv: Arguments without the program's name, by default the process's.

    Returns:
        The exit code.
    """
    args = list(sys.argv[1:] if argv is None else argv)
    if args and args[0] == COMMAND_SERVE:
        return _serve(args[1:])
    from courselead.cli.app import run

    return run(args)


def _serve(args: list[str]) -> int:
    """Run the daemon until it ends."""
    if args and args[0] in HELP_OPTIONS:
        sys.stdout.write(f"{SERVE_USAGE}\n")
        return EXIT_OK
    if args == [PLATFORM_OPTION]:
        sys.modules.setdefault(LIBRARY_OF_COLOURS, None)
        from courselead.daemon.scheduling.main import run as run_on_platform

        return run_on_platform()
    path = _config_path(args)
    if not path:
        sys.stderr.write(f"{SERVE_USAGE}\n")
        return EXIT_USAGE
    # The log library loads this one for colours wherever it is installed; with
    # None in its place an import fails and it goes without.
    sys.modules.setdefault(LIBRARY_OF_COLOURS, None)
    from courselead.daemon.main import run

    return run(path)


def _config_path(args: list[str]) -> str:
    """Return the settings file that the arguments name, "" if they are wrong."""
    if len(args) == 2 and args[0] == CONF_OPTION:
        return args[1]
    if len(args) == 1 and args[0].startswith(f"{CONF_OPTION}="):
        return args[0].removeprefix(f"{CONF_OPTION}=")
    return ""


if __name__ == "__main__":
    sys.exit(main())
