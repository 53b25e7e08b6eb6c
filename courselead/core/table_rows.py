"""Parses rows of the operators' table from decoded JSON and collects all errors."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure

from courselead.core.table import (
    AccountRow,
    ServiceRow,
    account_key,
    pool_name,
    service_key,
)
from courselead.core.table_columns import (
    ACCOUNT_COLUMNS,
    SERVICE_COLUMNS,
    Column,
    format_value,
    is_valid_name,
)

ATTR_ACCOUNTS = "accounts"
ATTR_SERVICES = "services"
MAX_SHOWN_NAME_CHARS = 64


@dataclass(frozen=True, slots=True)
class TableError:
    """One validation error of an edit or a table.

    Attributes:
        row: Row key, a position such as `services[3]` if the row has no valid
            name, or "" for the whole document.
        column: Name of the column, "" for the whole row.
        message: What is wrong and how to fix it.
    """

    row: str
    column: str
    message: str


def find_unknown_names(
    row: str, data: Mapping, known: tuple[str, ...]
) -> list[TableError]:
    """Return an error for each name in the data that is not known."""
    faults = []
    allowed = ", ".join(known)
    for name in data:
        if name in known:
            continue
        column = str(name)[:MAX_SHOWN_NAME_CHARS]
        message = f"unknown; remove it or use one of {allowed}"
        faults.append(TableError(row, column, message))
    return faults


def read_list(data: Mapping, name: str, faults: list[TableError]) -> list:
    """Return the list with the given name, empty if it is missing or not a list."""
    value = data.get(name, [])
    if isinstance(value, list | tuple):
        return list(value)
    faults.append(TableError("", name, "not a list; give a list"))
    return []


def parse_account_rows(items: list, faults: list[TableError]) -> list[AccountRow]:
    """Return the valid account rows; append the errors of the others to `faults`."""
    rows = []
    for index, item in enumerate(items):
        label = _account_label(item, f"{ATTR_ACCOUNTS}[{index}]")
        required = ("client_account",)
        values = _parse_row(item, label, ACCOUNT_COLUMNS, required, faults)
        if values is not None:
            rows.append(AccountRow(**values))
    return rows


def parse_service_rows(items: list, faults: list[TableError]) -> list[ServiceRow]:
    """Return the parsed service rows; append all errors to `faults`."""
    rows = []
    for index, item in enumerate(items):
        label = _service_label(item, f"{ATTR_SERVICES}[{index}]")
        required = ("client_account", "service")
        values = _parse_row(item, label, SERVICE_COLUMNS, required, faults)
        if values is None:
            continue
        row = ServiceRow(**values)
        rows.append(row)
        if row.connections < row.slots:
            message = (
                f"{row.connections} is below slots ({row.slots}); "
                f"raise connections or lower slots"
            )
            faults.append(TableError(label, "connections", message))
    return rows


def _parse_row(
    item: object,
    label: str,
    columns: tuple[Column, ...],
    required: tuple[str, ...],
    faults: list[TableError],
) -> dict[str, object] | None:
    """Return the validated values of a row, None if it has an error."""
    if not isinstance(item, Mapping):
        shown = format_value(item)
        faults.append(TableError(label, "", f"{shown} is not an object; give a row"))
        return None
    names = tuple(column.name for column in columns)
    found = find_unknown_names(label, item, names)
    values = {}
    for column in columns:
        if column.name not in item:
            if column.name in required:
                message = f"missing; give {column.allowed}"
                found.append(TableError(label, column.name, message))
            continue
        checked = column.check(item[column.name])
        if isinstance(checked, Failure):
            found.append(TableError(label, column.name, checked.failure()))
            continue
        values[column.name] = checked.unwrap()
    faults.extend(found)
    return None if found else values


def _account_label(item: object, position: str) -> str:
    """Return the row key of a decoded account row, or its position if unnamed."""
    name = item.get("client_account") if isinstance(item, Mapping) else None
    return account_key(name) if is_valid_name(name) else position


def _service_label(item: object, position: str) -> str:
    """Return the row key of a decoded service row, or its position if unnamed."""
    if not isinstance(item, Mapping):
        return position
    account = item.get("client_account")
    service = item.get("service")
    if is_valid_name(account) and is_valid_name(service):
        return service_key(pool_name(account, service))
    return position


def collect_row_keys(account_items: list, service_items: list) -> list[str]:
    """Return the row keys of the decoded rows that have valid names."""
    labels = [_account_label(item, "") for item in account_items]
    labels.extend(_service_label(item, "") for item in service_items)
    return [label for label in labels if label]
