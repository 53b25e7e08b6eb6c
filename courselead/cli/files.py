"""Reads and writes the files of commands."""

import os
from pathlib import Path

from returns.result import Failure

from courselead.cli.const import MAX_BODY_BYTES
from courselead.cli.errors import CliError, Faults, UsageError
from courselead.table_files.const import MAX_FILE_BYTES
from courselead.table_files.csv_file import read_csv, write_csv
from courselead.table_files.document import TableDocument
from courselead.table_files.json_file import read_json, write_json

CSV_SUFFIXES = (".csv", ".tsv", ".txt")
STDIN = "-"
STDIN_FD = 0


def read_table(path: Path) -> TableDocument:
    """Read a table from a file, as CSV or JSON by its suffix.

    Raises:
        Faults: The file has faults.
        UsageError: The file cannot be read.
    """
    content = read_bounded(path, MAX_FILE_BYTES)
    read = read_csv if is_csv(path) else read_json
    checked = read(content)
    if isinstance(checked, Failure):
        raise Faults(str(path), checked.failure())
    return checked.unwrap()


def write_table(path: Path, document: TableDocument) -> None:
    """Write a table as CSV or JSON by the file's suffix, in one step."""
    write = write_csv if is_csv(path) else write_json
    replace_file(path, write(document))


def is_csv(path: Path) -> bool:
    """Return whether a file has a CSV suffix."""
    return path.suffix.lower() in CSV_SUFFIXES


def read_body(path: Path) -> bytes:
    """Return a request body from a file, or from standard input for `-`."""
    if str(path) != STDIN:
        return read_bounded(path, MAX_BODY_BYTES)
    with open(STDIN_FD, "rb", closefd=False) as file:
        return _check_size(file.read(MAX_BODY_BYTES + 1), MAX_BODY_BYTES, STDIN)


def read_bounded(path: Path, limit: int) -> bytes:
    """Return a file's bytes, at most `limit` of them.

    Raises:
        UsageError: The file cannot be read, or is larger.
    """
    try:
        with path.open("rb") as file:
            content = file.read(limit + 1)
    except OSError as exc:
        raise UsageError(f"{path}: {exc.strerror}; check the path") from exc
    return _check_size(content, limit, str(path))


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically, so that a reader sees the old or the new content.

    Raises:
        CliError: The file cannot be written.
    """
    temporary = path.with_name(f"{path.name}.new")
    try:
        temporary.write_bytes(content)
        os.replace(temporary, path)
    except OSError as exc:
        raise CliError(f"{path}: {exc.strerror}; check the path") from exc


def _check_size(content: bytes, limit: int, name: str) -> bytes:
    """Return the content if it is within the limit."""
    if len(content) <= limit:
        return content
    raise UsageError(f"{name}: more than {limit} bytes; give a smaller file")
