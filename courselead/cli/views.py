"""Converts answers of an entry host to tables, and differences to JSON data."""

from collections.abc import Iterable, Mapping

from returns.result import Failure

from courselead.cli.errors import CliError
from courselead.core.table_columns import ACCOUNT_COLUMNS, SERVICE_COLUMNS, Column
from courselead.table_files.diff import RowDiff
from courselead.table_files.document import TableDocument, document_from
from courselead.table_files.grid import fault_text, grid


def document_of(data: Mapping) -> TableDocument:
    """Return the table in an answer, without members unknown to this release.

    Raises:
        CliError: The answer contains no valid table.
    """
    known = {
        "version": data.get("version"),
        "accounts": _known_columns(data.get("accounts"), ACCOUNT_COLUMNS),
        "services": _known_columns(data.get("services"), SERVICE_COLUMNS),
    }
    checked = document_from(known)
    if isinstance(checked, Failure):
        faults = fault_text(checked.failure())
        raise CliError(
            f"the entry host's table is not valid here; use the command line of "
            f"its release\n{faults}"
        )
    return checked.unwrap()


def diff_data(diffs: Iterable[RowDiff]) -> list[dict[str, object]]:
    """Return differences as JSON data."""
    found = []
    for diff in diffs:
        columns = {}
        for cell in diff.cells:
            columns[cell.column] = {"before": cell.before, "after": cell.after}
        found.append({"row": diff.key, "change": diff.change, "columns": columns})
    return found


def objects_grid(items: object, names: Iterable[str]) -> str:
    """Return a list of objects as a grid with the named members as columns."""
    columns = list(names)
    lines = []
    for item in objects(items):
        lines.append([item.get(name) for name in columns])
    return grid(columns, lines)


def objects(items: object) -> list[Mapping]:
    """Return the objects in a decoded list, none if it is not a list."""
    if not isinstance(items, list):
        return []
    return [item for item in items if isinstance(item, dict)]


def _known_columns(items: object, columns: tuple[Column, ...]) -> object:
    """Return decoded rows with only the columns known to this release."""
    if not isinstance(items, list):
        return items
    names = [column.name for column in columns]
    rows = []
    for item in items:
        if not isinstance(item, dict):
            rows.append(item)
            continue
        rows.append({name: item[name] for name in names if name in item})
    return rows
