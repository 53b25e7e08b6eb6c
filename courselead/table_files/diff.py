"""Differences between two tables by row and column, and the edit to publish."""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import StrEnum

from courselead.core.table import AccountRow
from courselead.table_files.document import Row, TableDocument, row_data, row_digest


class Change(StrEnum):
    """Kind of change of a row."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class CellDiff:
    """Values of one column before and after a change; None without a row."""

    column: str
    before: object
    after: object


@dataclass(frozen=True, slots=True)
class RowDiff:
    """Differences of one row."""

    key: str
    change: Change
    cells: tuple[CellDiff, ...]


@dataclass(frozen=True, slots=True)
class TableEditPlan:
    """The edit of the table that a file makes.

    Attributes:
        base_version: Version of the table from which the file was exported.
        rows: Rows to set, by row key.
        removed: Keys of the rows to remove.
    """

    base_version: int
    rows: Mapping[str, Row]
    removed: tuple[str, ...]

    @property
    def empty(self) -> bool:
        """Return whether there is nothing to publish."""
        return not self.rows and not self.removed

    def data(self) -> dict[str, object]:
        """Return the edit as JSON data."""
        accounts = []
        services = []
        for row in self.rows.values():
            row_list = accounts if isinstance(row, AccountRow) else services
            row_list.append(row_data(row))
        return {
            "base_version": self.base_version,
            "accounts": accounts,
            "services": services,
            "removed": list(self.removed),
        }


def diff_rows(
    before: Mapping[str, Row], after: Mapping[str, Row]
) -> tuple[RowDiff, ...]:
    """Return the rows that differ: first those of `after`, then removed ones."""
    diffs = []
    for key, row in after.items():
        cells = _cell_diffs(before.get(key), row)
        if not cells:
            continue
        change = Change.CHANGED if key in before else Change.ADDED
        diffs.append(RowDiff(key, change, cells))
    for key, row in before.items():
        if key not in after:
            diffs.append(RowDiff(key, Change.REMOVED, _cell_diffs(row, None)))
    return tuple(diffs)


def plan_edit(
    file: TableDocument, in_force: TableDocument, base_version: int
) -> TableEditPlan:
    """Return the edit that a file makes.

    If the file contains digests of its rows as exported, only rows edited since then
    are set or removed, so that rows published by others in between are kept. Without
    digests each row that differs from the table in force counts as edited, and rows
    that others have changed are reported as conflicts.
    """
    file_rows = file.by_key()
    current_rows = in_force.by_key()
    exported = file.exported
    rows: dict[str, Row] = {}
    for key, row in file_rows.items():
        if exported is not None and exported.get(key) == row_digest(row):
            continue
        if row != current_rows.get(key):
            rows[key] = row
    removed = []
    for key in current_rows:
        if key in file_rows:
            continue
        if exported is None or key in exported:
            removed.append(key)
    return TableEditPlan(base_version, rows, tuple(removed))


def plan_diff(plan: TableEditPlan, in_force: TableDocument) -> tuple[RowDiff, ...]:
    """Return the differences that an edit makes in the table in force."""
    before = in_force.by_key()
    after = {key: row for key, row in before.items() if key not in plan.removed}
    after.update(plan.rows)
    return diff_rows(before, after)


def _cell_diffs(before: Row | None, after: Row | None) -> tuple[CellDiff, ...]:
    """Return the columns that differ."""
    row = after if after is not None else before
    diffs = []
    for attribute in fields(row):
        old = getattr(before, attribute.name, None)
        new = getattr(after, attribute.name, None)
        if old != new:
            diffs.append(CellDiff(attribute.name, old, new))
    return tuple(diffs)
