"""Text output for a terminal: aligned grids, differences and faults."""

from collections.abc import Iterable, Sequence
from dataclasses import fields

from courselead.core.table import AccountRow, ServiceRow
from courselead.core.table_check import TableError
from courselead.table_files.diff import CellDiff, Change, RowDiff
from courselead.table_files.document import TableDocument

COLUMN_GAP = "  "
SHOWN_HASH_CHARS = 8
HASH_CHARS = 64
NO_VALUE = "-"

_CHANGE_MARKS = {Change.ADDED: "+", Change.REMOVED: "-", Change.CHANGED: "~"}


def grid(header: Sequence[str], lines: Iterable[Sequence[object]]) -> str:
    """Return aligned columns; columns of numbers are aligned to the right."""
    rows = [list(line) for line in lines]
    widths = [len(name) for name in header]
    for row in rows:
        for index, value in enumerate(row):
            widths[index] = max(widths[index], len(cell_text(value)))
    align_right = (
        [_is_number(value) for value in rows[0]] if rows else [False] * len(widths)
    )
    out = [_align_row(header, widths, align_right)]
    for row in rows:
        out.append(_align_row(row, widths, align_right))
    return "\n".join(out)


def table_grid(document: TableDocument) -> str:
    """Return a table as text: accounts, then services."""
    parts = [
        f"version {document.version}",
        _row_grid(AccountRow, document.rows.accounts),
        _row_grid(ServiceRow, document.rows.services),
    ]
    return "\n\n".join(parts)


def diff_text(diffs: Iterable[RowDiff]) -> str:
    """Return differences as text, with a block for each row."""
    lines = []
    for diff in diffs:
        lines.append(f"{_CHANGE_MARKS[diff.change]} {diff.key}")
        for cell in diff.cells:
            lines.append(_cell_line(diff.change, cell))
    return "\n".join(lines)


def fault_text(faults: Iterable[TableError]) -> str:
    """Return faults as text, one in each line."""
    lines = []
    for fault in faults:
        location = COLUMN_GAP.join(part for part in (fault.row, fault.column) if part)
        lines.append(f"{location}: {fault.message}" if location else fault.message)
    return "\n".join(lines)


def cell_text(value: object) -> str:
    """Return a value as text; credential hashes are shortened."""
    if value is None or value == "":
        return NO_VALUE
    if isinstance(value, list | tuple):
        return ",".join(_item_text(str(item)) for item in value) or NO_VALUE
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def _item_text(text: str) -> str:
    """Return an item of a list; a credential hash is shortened."""
    return text[:SHOWN_HASH_CHARS] if len(text) == HASH_CHARS else text


def _row_grid(kind: type, rows: Sequence[AccountRow | ServiceRow]) -> str:
    """Return the grid for one kind of rows."""
    names = [attribute.name for attribute in fields(kind)]
    lines = [[getattr(row, name) for name in names] for row in rows]
    return grid(names, lines)


def _is_number(value: object) -> bool:
    """Return whether a value is a number, but not a boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def _align_row(
    row: Sequence[object], widths: Sequence[int], align_right: Sequence[bool]
) -> str:
    """Return a line of a grid."""
    cells = []
    for value, width, right in zip(row, widths, align_right, strict=True):
        text = cell_text(value)
        cells.append(text.rjust(width) if right else text.ljust(width))
    return COLUMN_GAP.join(cells).rstrip()


def _cell_line(change: Change, cell: CellDiff) -> str:
    """Return the line for one column that differs."""
    before = cell_text(cell.before)
    after = cell_text(cell.after)
    if change is Change.ADDED:
        return f"    {cell.column}: {after}"
    if change is Change.REMOVED:
        return f"    {cell.column}: {before}"
    return f"    {cell.column}: {before} -> {after}"
