"""Check of table edits and of whole tables, before anything is published.

Pure: decoded JSON goes in, typed rows or the list of all faults come out. What
depends on the table in force (versions of rows, services without an account)
is judged when the edit is applied.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from courselead.core.fleet.records import TablePublished
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
    IntColumn,
    is_name,
    shown,
)

MAX_ACCOUNTS = 1_000
MAX_SERVICES = 5_000
# One edit is one record of the log, which takes at most 1 MiB.
MAX_EDIT_ROWS = 1_000
MAX_AUTHOR = 64
MAX_VERSION = 2**63 - 1

ATTR_BASE_VERSION = "base_version"
ATTR_ACCOUNTS = "accounts"
ATTR_SERVICES = "services"
ATTR_REMOVED = "removed"
ATTR_AUTHOR = "author"

_EDIT_ATTRS = (
    ATTR_BASE_VERSION,
    ATTR_ACCOUNTS,
    ATTR_SERVICES,
    ATTR_REMOVED,
    ATTR_AUTHOR,
)
_TABLE_ATTRS = (ATTR_ACCOUNTS, ATTR_SERVICES)
_BASE_VERSION = IntColumn(ATTR_BASE_VERSION, -1, MAX_VERSION)
_ACCOUNT_PREFIX = account_key("")
_SERVICE_PREFIX = service_key("")


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


@dataclass(frozen=True, slots=True)
class TableRows:
    """Checked rows of a whole table, in the order given."""

    accounts: tuple[AccountRow, ...]
    services: tuple[ServiceRow, ...]


Faults = tuple[TableFault, ...]


def check_edit(data: object) -> Result[TablePublished, Faults]:
    """Check an operator's edit.

    Args:
        data: Decoded JSON: `base_version`, `accounts`, `services`, `removed`
            (row keys) and, if wanted, `author`. A column that a row leaves
            out takes its default.

    Returns:
        The edit as it goes to the log, or every fault of it.
    """
    if not isinstance(data, Mapping):
        return Failure((TableFault("", "", "not a JSON object; send an edit"),))
    faults = _unknown("", data, _EDIT_ATTRS)
    account_items = _list(data, ATTR_ACCOUNTS, faults)
    service_items = _list(data, ATTR_SERVICES, faults)
    removed_items = _list(data, ATTR_REMOVED, faults)
    count = len(account_items) + len(service_items) + len(removed_items)
    if count > MAX_EDIT_ROWS:
        message = f"{count} rows in one edit; at most {MAX_EDIT_ROWS}, publish in parts"
        return Failure((TableFault("", "", message),))
    if count == 0 and not faults:
        faults.append(TableFault("", "", "no row; set or remove at least one"))
    base_version = _base_version(data, faults)
    author = _author(data, faults)
    accounts = _accounts(account_items, faults)
    services = _services(service_items, faults)
    removed = _removed(removed_items, faults)
    keys = _keys(accounts, services)
    faults.extend(_duplicates(keys + removed))
    faults.extend(_shared_credentials(accounts))
    if faults:
        return Failure(tuple(faults))
    edit = TablePublished(
        base_version=base_version,
        accounts=tuple(accounts),
        services=tuple(services),
        removed=tuple(removed),
        author=author,
    )
    return Success(edit)


def check_table(data: object) -> Result[TableRows, Faults]:
    """Check a whole table.

    Args:
        data: Decoded JSON with `accounts` and `services`.

    Returns:
        The rows, or every fault of them.
    """
    if not isinstance(data, Mapping):
        return Failure((TableFault("", "", "not a JSON object; give a table"),))
    faults = _unknown("", data, _TABLE_ATTRS)
    account_items = _list(data, ATTR_ACCOUNTS, faults)
    service_items = _list(data, ATTR_SERVICES, faults)
    too_many = _too_many(len(account_items), len(service_items))
    if too_many:
        return Failure(too_many)
    accounts = _accounts(account_items, faults)
    services = _services(service_items, faults)
    faults.extend(_duplicates(_keys(accounts, services)))
    faults.extend(_shared_credentials(accounts))
    faults.extend(_without_account(accounts, services, account_items))
    if faults:
        return Failure(tuple(faults))
    return Success(TableRows(tuple(accounts), tuple(services)))


def is_row_key(value: object) -> bool:
    """Return whether a value is the key of an account's or service's row."""
    if not isinstance(value, str):
        return False
    if value.startswith(_ACCOUNT_PREFIX):
        return is_name(value.removeprefix(_ACCOUNT_PREFIX))
    if not value.startswith(_SERVICE_PREFIX):
        return False
    account, _, service = value.removeprefix(_SERVICE_PREFIX).partition("/")
    return is_name(account) and is_name(service)


def _unknown(row: str, data: Mapping, known: tuple[str, ...]) -> list[TableFault]:
    """Return a fault for each name that is not known."""
    faults = []
    allowed = ", ".join(known)
    for name in data:
        if name in known:
            continue
        column = str(name)[:MAX_AUTHOR]
        message = f"unknown; remove it or use one of {allowed}"
        faults.append(TableFault(row, column, message))
    return faults


def _list(data: Mapping, name: str, faults: list[TableFault]) -> list:
    """Return a list of the data, empty if it is left out or not a list."""
    value = data.get(name, [])
    if isinstance(value, list | tuple):
        return list(value)
    faults.append(TableFault("", name, "not a list; give a list"))
    return []


def _base_version(data: Mapping, faults: list[TableFault]) -> int:
    """Return the version that the edit was made from."""
    if ATTR_BASE_VERSION not in data:
        message = "missing; give the version of the table that was edited"
        faults.append(TableFault("", ATTR_BASE_VERSION, message))
        return -1
    checked = _BASE_VERSION.check(data[ATTR_BASE_VERSION])
    if isinstance(checked, Failure):
        faults.append(TableFault("", ATTR_BASE_VERSION, checked.failure()))
        return -1
    return data[ATTR_BASE_VERSION]


def _author(data: Mapping, faults: list[TableFault]) -> str:
    """Return the author, "" if none is named."""
    value = data.get(ATTR_AUTHOR, "")
    if isinstance(value, str) and len(value) <= MAX_AUTHOR and value.isprintable():
        return value
    message = f"not a text of at most {MAX_AUTHOR} printable characters; shorten it"
    faults.append(TableFault("", ATTR_AUTHOR, message))
    return ""


def _accounts(items: list, faults: list[TableFault]) -> list[AccountRow]:
    """Return the account rows without fault."""
    rows = []
    for index, item in enumerate(items):
        label = _account_label(item, f"{ATTR_ACCOUNTS}[{index}]")
        required = ("client_account",)
        values = _row(item, label, ACCOUNT_COLUMNS, required, faults)
        if values is not None:
            rows.append(AccountRow(**values))
    return rows


def _services(items: list, faults: list[TableFault]) -> list[ServiceRow]:
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
    found = _unknown(label, item, names)
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


def _removed(items: list, faults: list[TableFault]) -> list[str]:
    """Return the row keys to remove that are well formed."""
    keys = []
    for index, item in enumerate(items):
        if is_row_key(item):
            keys.append(item)
            continue
        got = shown(item)
        message = (
            f"{got} is not a row key; give account:NAME or service:ACCOUNT/SERVICE"
        )
        faults.append(TableFault(f"{ATTR_REMOVED}[{index}]", "", message))
    return keys


def _keys(accounts: list[AccountRow], services: list[ServiceRow]) -> list[str]:
    """Return the row keys of rows."""
    keys = [account_key(row.client_account) for row in accounts]
    keys.extend(service_key(row.pool) for row in services)
    return keys


def _duplicates(keys: list[str]) -> list[TableFault]:
    """Return a fault for each key that stands more than once."""
    faults = []
    for key, count in Counter(keys).items():
        if count > 1:
            message = f"stands {count} times; keep one"
            faults.append(TableFault(key, "", message))
    return faults


def _shared_credentials(accounts: list[AccountRow]) -> list[TableFault]:
    """Return a fault for each account that shares a credential with another."""
    owners: dict[str, str] = {}
    faults = []
    for row in accounts:
        for digest in row.credential_hashes:
            owner = owners.setdefault(digest, row.client_account)
            if owner == row.client_account:
                continue
            message = f"a digest is also that of {owner}; give each its own"
            key = account_key(row.client_account)
            faults.append(TableFault(key, "credential_hashes", message))
    return faults


def _too_many(accounts: int, services: int) -> Faults:
    """Return a fault for each kind of row that passes its limit."""
    faults = []
    if accounts > MAX_ACCOUNTS:
        message = f"{accounts} rows; at most {MAX_ACCOUNTS}, remove some"
        faults.append(TableFault("", ATTR_ACCOUNTS, message))
    if services > MAX_SERVICES:
        message = f"{services} rows; at most {MAX_SERVICES}, remove some"
        faults.append(TableFault("", ATTR_SERVICES, message))
    return tuple(faults)


def _without_account(
    accounts: list[AccountRow], services: list[ServiceRow], items: list
) -> list[TableFault]:
    """Return a fault for each service whose account has no row.

    Names of account rows with other faults count: their own faults are told.
    """
    names = {row.client_account for row in accounts}
    for item in items:
        if isinstance(item, Mapping) and is_name(item.get("client_account")):
            names.add(item["client_account"])
    faults = []
    for row in services:
        if row.client_account in names:
            continue
        message = f"no row for account {row.client_account}; add one"
        faults.append(TableFault(service_key(row.pool), "client_account", message))
    return faults
