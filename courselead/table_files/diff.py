"""Differences of two tables by row and column, and the edit that they make."""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import StrEnum

from courselead.core.table import AccountRow
from courselead.table_files.document import Row, TableDocument, row_data, row_digest


class Change(StrEnum):
    """What became of a row."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class CellDiff:
    """One column of a row before and after; None where there is no row."""

    column: str
    before: object
    after: object


@dataclass(frozen=True, slots=True)
class RowDiff:
    """One row that differs."""

    key: str
    change: Change
    cells: tuple[CellDiff, ...]


@dataclass(frozen=True, slots=True)
class TableEditPlan:
    """What a file changes in the table.

    Attributes:
        base_version: Version that the file was exported from.
        rows: Rows to set, by row key.
        removed: Row keys to remove.
    """

    base_version: int
    rows: Mapping[str, Row]
    removed: tuple[str, ...]

    @property
    def empty(self) -> bool:
        """Return whether there is nothing to publish."""
        return not self.rows and not self.removed

    def data(self) -> dict[str, object]:
        """Return the edit as JSON has it."""
        accounts = []
        services = []
        for row in self.rows.values():
            kind = accounts if isinstance(row, AccountRow) else services
            kind.append(row_data(row))
        return {
            "base_version": self.base_version,
            "accounts": accounts,
            "services": services,
            "removed": list(self.removed),
        }


def diff_rows(
    before: Mapping[str, Row], after: Mapping[str, Row]
) -> tuple[RowDiff, ...]:
    """Return the rows that differ, those of `after` first, by row key."""
    found = []
    for key, row in after.items():
        cells = _cells(before.get(key), row)
        if not cells:
            continue
        change = Change.CHANGED if key in before else Change.ADDED
        found.append(RowDiff(key, change, cells))
    for key, row in before.items():
        if key not in after:
            found.append(RowDiff(key, Change.REMOVED, _cells(row, None)))
    return tuple(found)


def plan_edit(
    file: TableDocument, in_force: TableDocument, base_version: int
) -> TableEditPlan:
    """Return the edit that a file makes.

    Where the file knows its rows as exported, only rows edited since are set
    or removed: what others have published in between stays. Where it does not
    know, each row that differs from the table in force counts as edited, and
    rows that others have changed come back as conflicts.
    """
    mine = file.by_key()
    theirs = in_force.by_key()
    exported = file.exported
    rows: dict[str, Row] = {}
    for key, row in mine.items():
        if exported is not None and exported.get(key) == row_digest(row):
            continue
        if row != theirs.get(key):
            rows[key] = row
    removed = []
    for key in theirs:
        if key in mine:
            continue
        if exported is None or key in exported:
            removed.append(key)
    return TableEditPlan(base_version, rows, tuple(removed))


def plan_diff(plan: TableEditPlan, in_force: TableDocument) -> tuple[RowDiff, ...]:
    """Return what an edit changes in the table in force."""
    before = in_force.by_key()
    after = {key: row for key, row in before.items() if key not in plan.removed}
    after.update(plan.rows)
    return diff_rows(before, after)


def _cells(before: Row | None, after: Row | None) -> tuple[CellDiff, ...]:
    """Return the columns that differ."""
    row = after if after is not None else before
    found = []
    for attribute in fields(row):
        old = getattr(before, attribute.name, None)
        new = getattr(after, attribute.name, None)
        if old != new:
            found.append(CellDiff(attribute.name, old, new))
    return tuple(found)
