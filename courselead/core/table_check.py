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
from courselead.core.table import AccountRow, ServiceRow, account_key, service_key
from courselead.core.table_columns import IntColumn, is_name, shown
from courselead.core.table_rows import (
    ATTR_ACCOUNTS,
    ATTR_SERVICES,
    TableFault as TableFault,
    account_rows,
    item_keys,
    list_of,
    service_rows,
    unknown_faults,
)

MAX_ACCOUNTS = 1_000
MAX_SERVICES = 5_000
# One edit is one record of the log, which takes at most 1 MiB.
MAX_EDIT_ROWS = 1_000
MAX_AUTHOR = 64
MAX_VERSION = 2**63 - 1

ATTR_BASE_VERSION = "base_version"
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
    faults = unknown_faults("", data, _EDIT_ATTRS)
    account_items = list_of(data, ATTR_ACCOUNTS, faults)
    service_items = list_of(data, ATTR_SERVICES, faults)
    removed_items = list_of(data, ATTR_REMOVED, faults)
    count = len(account_items) + len(service_items) + len(removed_items)
    if count > MAX_EDIT_ROWS:
        message = f"{count} rows in one edit; at most {MAX_EDIT_ROWS}, publish in parts"
        return Failure((TableFault("", "", message),))
    if count == 0 and not faults:
        faults.append(TableFault("", "", "no row; set or remove at least one"))
    base_version = _base_version(data, faults)
    author = _author(data, faults)
    accounts = account_rows(account_items, faults)
    services = service_rows(service_items, faults)
    removed = _removed(removed_items, faults)
    keys = item_keys(account_items, service_items)
    faults.extend(_duplicates(keys + removed))
    faults.extend(_shared_credentials(account_items))
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
    faults = unknown_faults("", data, _TABLE_ATTRS)
    account_items = list_of(data, ATTR_ACCOUNTS, faults)
    service_items = list_of(data, ATTR_SERVICES, faults)
    too_many = _too_many(len(account_items), len(service_items))
    if too_many:
        return Failure(too_many)
    accounts = account_rows(account_items, faults)
    services = service_rows(service_items, faults)
    keys = item_keys(account_items, service_items)
    faults.extend(_duplicates(keys))
    faults.extend(_shared_credentials(account_items))
    faults.extend(_without_account(keys))
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


def _duplicates(keys: list[str]) -> list[TableFault]:
    """Return a fault for each key that stands more than once."""
    faults = []
    for key, count in Counter(keys).items():
        if count > 1:
            message = f"stands {count} times; keep one"
            faults.append(TableFault(key, "", message))
    return faults


def _shared_credentials(items: list) -> list[TableFault]:
    """Return a fault for each account that shares a credential with another."""
    owners: dict[str, str] = {}
    faults = []
    for item in items:
        for key in item_keys([item], []):
            for digest in _digests(item):
                owner = owners.setdefault(digest, key)
                if owner == key:
                    continue
                message = f"a digest is also that of {owner}; give each its own"
                faults.append(TableFault(key, "credential_hashes", message))
    return faults


def _digests(item: Mapping) -> list[str]:
    """Return the texts among a decoded account row's digests."""
    value = item.get("credential_hashes")
    if not isinstance(value, list | tuple):
        return []
    return [digest for digest in value if isinstance(digest, str)]


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


def _without_account(keys: list[str]) -> list[TableFault]:
    """Return a fault for each service whose account has no row."""
    present = set(keys)
    faults = []
    for key in keys:
        if not key.startswith(_SERVICE_PREFIX):
            continue
        account = key.removeprefix(_SERVICE_PREFIX).partition("/")[0]
        if account_key(account) in present:
            continue
        message = f"no row for account {account}; add one"
        faults.append(TableFault(key, "client_account", message))
    return faults
