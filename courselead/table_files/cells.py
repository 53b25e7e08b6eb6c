"""Cells of a CSV file, safe to open and save in a spreadsheet.

A spreadsheet interprets a cell that starts with `=`, `+`, `-` or `@` as a formula and
converts texts such as `007`, `1e5` or `mar-1` to numbers and dates. Such texts are
written with a leading apostrophe, which is removed when the file is read.
"""

import re

from courselead.core.table_columns import Column, DigestsColumn, FloatColumn, IntColumn

GUARD = "'"
DECIMAL_POINT = "."

_NEEDS_GUARD = re.compile(
    r"[=+\-@\t\r\n']"
    r"|\s*[=+\-@]"
    r"|\s*[0-9]"
    r"|(?:jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec)[a-z]*-?[0-9]"
    r"|(?:true|false)\Z",
    re.IGNORECASE,
)
# Where the comma is the decimal mark, `1.000` may mean one thousand.
_THOUSANDS = re.compile(r"\.[0-9]{3}\Z")
_INT = re.compile(r"[+-]?[0-9]{1,30}")
_FLOAT = re.compile(
    r"[+-]?(?:[0-9]{1,30}(?:\.[0-9]{0,30})?|\.[0-9]{1,30})(?:[eE][+-]?[0-9]{1,3})?"
)


def guard(text: str) -> str:
    """Return a text as a cell that a spreadsheet does not interpret or convert."""
    if _NEEDS_GUARD.match(text):
        return f"{GUARD}{text}"
    return text


def unguard(cell: str) -> str:
    """Return the text of a cell, without the guard."""
    return cell.removeprefix(GUARD)


def write_cell(value: object, decimal: str) -> str:
    """Return the cell of a row's value.

    Args:
        value: Value as in JSON.
        decimal: Decimal mark of numbers, `.` or `,`.
    """
    if isinstance(value, list | tuple):
        return guard(" ".join(value))
    if isinstance(value, float):
        return _float_text(value).replace(".", decimal)
    if isinstance(value, int):
        return str(value)
    return guard(str(value))


def read_cell(column: Column, cell: str, decimal: str) -> object:
    """Return a cell's value as in JSON.

    In a column of numbers, a text that is not a number is returned unchanged; the check
    of the column then refuses it.
    """
    text = unguard(cell.strip())
    if isinstance(column, DigestsColumn):
        return text.split()
    if isinstance(column, IntColumn):
        return read_integer(text)
    if isinstance(column, FloatColumn):
        return _read_float(text, decimal)
    return text


def read_integer(text: str) -> object:
    """Return an integer, or the text itself if it is not one."""
    if _INT.fullmatch(text):
        return int(text)
    return text


def _read_float(text: str, decimal: str) -> object:
    """Return a number, or the text itself if it is not one."""
    if decimal != DECIMAL_POINT and _THOUSANDS.search(text):
        return text
    normalized = text.replace(decimal, DECIMAL_POINT)
    if _FLOAT.fullmatch(normalized):
        return float(normalized)
    return text


def _float_text(value: float) -> str:
    """Return the shortest text that parses to the same number."""
    if value.is_integer():
        return str(int(value))
    return repr(value)
