"""Rows of the operators' table from decoded JSON, with every fault of them."""

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
    is_name,
    shown,
)

ATTR_ACCOUNTS = "accounts"
ATTR_SERVICES = "services"
MAX_NAME_SHOWN = 64


@dataclass(frozen=True, slots=True)
class TableFault:
    """One fault of an edit or a table.

    Attributes:
        row: Row key, a place such as `services[3]` where the row has no valid
            name, or "" for the whole.
        column: Column, "" for the whole row.
        message: What is wrong and what to do.
    """

    row: str
    column: str
    message: str


def unknown_faults(row: str, data: Mapping, known: tuple[str, ...]) -> list[TableFault]:
    """Return a fault for each name that is not known."""
    faults = []
    allowed = ", ".join(known)
    for name in data:
        if name in known:
            continue
        column = str(name)[:MAX_NAME_SHOWN]
        message = f"unknown; remove it or use one of {allowed}"
        faults.append(TableFault(row, column, message))
    return faults


def list_of(data: Mapping, name: str, faults: list[TableFault]) -> list:
    """Return a list of the data, empty if it is left out or not a list."""
    value = data.get(name, [])
    if isinstance(value, list | tuple):
        return list(value)
    faults.append(TableFault("", name, "not a list; give a list"))
    return []


def account_rows(items: list, faults: list[TableFault]) -> list[AccountRow]:
    """Return the account rows without fault."""
    rows = []
    for index, item in enumerate(items):
        label = _account_label(item, f"{ATTR_ACCOUNTS}[{index}]")
        required = ("client_account",)
        values = _row(item, label, ACCOUNT_COLUMNS, required, faults)
        if values is not None:
            rows.append(AccountRow(**values))
    return rows


def service_rows(items: list, faults: list[TableFault]) -> list[ServiceRow]:
    """Return the service rows without fault."""
    rows = []
    for index, item in enumerate(items):
        label = _service_label(item, f"{ATTR_SERVICES}[{index}]")
        required = ("client_account", "service")
        values = _row(item, label, SERVICE_COLUMNS, required, faults)
        if values is None:
            continue
        row = ServiceRow(**values)
        rows.append(row)
        if row.connections < row.slots:
            message = (
                f"{row.connections} is below slots ({row.slots}); "
                f"raise connections or lower slots"
            )
            faults.append(TableFault(label, "connections", message))
    return rows


def _row(
    item: object,
    label: str,
    columns: tuple[Column, ...],
    required: tuple[str, ...],
    faults: list[TableFault],
) -> dict[str, object] | None:
    """Return the checked values of a row, None if it has a fault."""
    if not isinstance(item, Mapping):
        got = shown(item)
        faults.append(TableFault(label, "", f"{got} is not an object; give a row"))
        return None
    names = tuple(column.name for column in columns)
    found = unknown_faults(label, item, names)
    values = {}
    for column in columns:
        if column.name not in item:
            if column.name in required:
                message = f"missing; give {column.allowed}"
                found.append(TableFault(label, column.name, message))
            continue
        checked = column.check(item[column.name])
        if isinstance(checked, Failure):
            found.append(TableFault(label, column.name, checked.failure()))
            continue
        values[column.name] = checked.unwrap()
    faults.extend(found)
    return None if found else values


def _account_label(item: object, place: str) -> str:
    """Return the row key of a decoded account row, else its place."""
    name = item.get("client_account") if isinstance(item, Mapping) else None
    return account_key(name) if is_name(name) else place


def _service_label(item: object, place: str) -> str:
    """Return the row key of a decoded service row, else its place."""
    if not isinstance(item, Mapping):
        return place
    account = item.get("client_account")
    service = item.get("service")
    if is_name(account) and is_name(service):
        return service_key(pool_name(account, service))
    return place


def item_keys(account_items: list, service_items: list) -> list[str]:
    """Return the row keys of decoded rows, whatever else is wrong with them."""
    labels = [_account_label(item, "") for item in account_items]
    labels.extend(_service_label(item, "") for item in service_items)
    return [label for label in labels if label]
