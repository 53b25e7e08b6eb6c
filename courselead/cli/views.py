"""Answers of an entry host as tables, and differences as JSON."""

from collections.abc import Iterable, Mapping

from returns.result import Failure

from courselead.cli.errors import CliError
from courselead.core.table_columns import ACCOUNT_COLUMNS, SERVICE_COLUMNS, Column
from courselead.table_files.diff import RowDiff
from courselead.table_files.document import TableDocument, document_from
from courselead.table_files.grid import fault_text, grid


def document_of(data: Mapping) -> TableDocument:
    """Return the table in an answer; members that it does not know are left out.

    Raises:
        CliError: The answer holds no sound table.
    """
    known = {
        "version": data.get("version"),
        "accounts": _known(data.get("accounts"), ACCOUNT_COLUMNS),
        "services": _known(data.get("services"), SERVICE_COLUMNS),
    }
    checked = document_from(known)
    if isinstance(checked, Failure):
        faults = fault_text(checked.failure())
        raise CliError(
            f"the entry host's table is not sound here; use the command line of "
            f"its release\n{faults}"
        )
    return checked.unwrap()


def diff_data(diffs: Iterable[RowDiff]) -> list[dict[str, object]]:
    """Return differences as JSON has them."""
    found = []
    for diff in diffs:
        columns = {}
        for cell in diff.cells:
            columns[cell.column] = {"before": cell.before, "after": cell.after}
        found.append({"row": diff.key, "change": diff.change, "columns": columns})
    return found


def objects_grid(items: object, names: Iterable[str]) -> str:
    """Return a grid of a list of objects, the named members as columns."""
    columns = list(names)
    lines = []
    for item in objects(items):
        lines.append([item.get(name) for name in columns])
    return grid(columns, lines)


def objects(items: object) -> list[Mapping]:
    """Return the objects of a decoded list, none if it is no list."""
    if not isinstance(items, list):
        return []
    return [item for item in items if isinstance(item, dict)]


def _known(items: object, columns: tuple[Column, ...]) -> object:
    """Return decoded rows with the columns that this release knows."""
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
