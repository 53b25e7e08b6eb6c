"""Exit codes, and the errors that end a command."""

from collections.abc import Mapping
from enum import IntEnum

from courselead.core.table_check import TableError


class ExitCode(IntEnum):
    """Exit codes of every command; docs/CLI.md has the same table."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5


class CliError(Exception):
    """A command failed; the message says what to do."""

    exit_code = ExitCode.REFUSED


class UsageError(CliError):
    """An argument, option, environment variable or file is missing or invalid."""

    exit_code = ExitCode.USAGE


class Faults(CliError):
    """A file or an edit contains faults."""

    def __init__(self, source: str, faults: tuple[TableError, ...]) -> None:
        """Store the faults; `source` names the file or edit."""
        count = len(faults)
        super().__init__(f"{source}: {count} faults; correct them and try again")
        self.faults = faults


class Refused(CliError):
    """An entry host refused the request, which had no effect."""


class Conflict(CliError):
    """Others have published rows of the edit since its base version."""

    exit_code = ExitCode.CONFLICT

    def __init__(self, message: str, conflicts: tuple[Mapping, ...]) -> None:
        """Store the conflicts, each with `row`, `yours` and `theirs`."""
        super().__init__(message)
        self.conflicts = conflicts


class Unreachable(CliError):
    """No entry host could be reached, or none answered a read."""

    exit_code = ExitCode.UNREACHABLE


class UnknownOutcome(CliError):
    """The request was sent, and it is unknown whether it took effect."""

    exit_code = ExitCode.UNKNOWN
