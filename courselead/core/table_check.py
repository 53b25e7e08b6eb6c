"""Validates table edits and whole tables before anything is published.

The functions have no side effects: they take decoded JSON and return typed rows
or a list of all errors. Rules that depend on the current table (row versions,
services without an account) are checked when the edit is applied.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from courselead.core.fleet.records import TablePublished
from courselead.core.table import AccountRow, ServiceRow, account_key, service_key
from courselead.core.table_columns import IntColumn, format_value, is_valid_name
from courselead.core.table_rows import (
    ATTR_ACCOUNTS,
    ATTR_SERVICES,
    TableError as TableError,
    collect_row_keys,
    find_unknown_names,
    parse_account_rows,
    parse_service_rows,
    read_list,
)

MAX_ACCOUNTS = 1_000
MAX_SERVICES = 5_000
# An edit is a single log record, which is limited to 1 MiB.
MAX_EDIT_ROWS = 1_000
MAX_AUTHOR_CHARS = 64
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
_BASE_VERSION_COLUMN = IntColumn(ATTR_BASE_VERSION, -1, MAX_VERSION)
_ACCOUNT_PREFIX = account_key("")
_SERVICE_PREFIX = service_key("")


@dataclass(frozen=True, slots=True)
class TableRows:
    """Validated rows of a whole table, in the given order."""

    accounts: tuple[AccountRow, ...]
    services: tuple[ServiceRow, ...]


Faults = tuple[TableError, ...]


def check_edit(data: object) -> Result[TablePublished, Faults]:
    """Validate an operator's edit.

    Args:
        data: Decoded JSON: `base_version`, `accounts`, `services`, `removed`
            (row keys) and, optionally, `author`. A column that is missing from
            a row gets its default.

    Returns:
        The edit as it is written to the log, or all errors in it.
    """
    if not isinstance(data, Mapping):
        return Failure((TableError("", "", "not a JSON object; send an edit"),))
    faults = find_unknown_names("", data, _EDIT_ATTRS)
    account_items = read_list(data, ATTR_ACCOUNTS, faults)
    service_items = read_list(data, ATTR_SERVICES, faults)
    removed_items = read_list(data, ATTR_REMOVED, faults)
    count = len(account_items) + len(service_items) + len(removed_items)
    if count > MAX_EDIT_ROWS:
        message = f"{count} rows in one edit; at most {MAX_EDIT_ROWS}, publish in parts"
        return Failure((TableError("", "", message),))
    if count == 0 and not faults:
        faults.append(TableError("", "", "no row; set or remove at least one"))
    base_version = _parse_base_version(data, faults)
    author = _parse_author(data, faults)
    accounts = parse_account_rows(account_items, faults)
    services = parse_service_rows(service_items, faults)
    removed = _parse_removed(removed_items, faults)
    keys = collect_row_keys(account_items, service_items)
    faults.extend(_find_duplicates(keys + removed))
    faults.extend(_find_shared_credentials(account_items))
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
    """Validate a whole table.

    Args:
        data: Decoded JSON with `accounts` and `services`.

    Returns:
        The rows, or all errors in them.
    """
    if not isinstance(data, Mapping):
        return Failure((TableError("", "", "not a JSON object; give a table"),))
    faults = find_unknown_names("", data, _TABLE_ATTRS)
    account_items = read_list(data, ATTR_ACCOUNTS, faults)
    service_items = read_list(data, ATTR_SERVICES, faults)
    count_faults = _check_row_counts(len(account_items), len(service_items))
    if count_faults:
        return Failure(count_faults)
    accounts = parse_account_rows(account_items, faults)
    services = parse_service_rows(service_items, faults)
    keys = collect_row_keys(account_items, service_items)
    faults.extend(_find_duplicates(keys))
    faults.extend(_find_shared_credentials(account_items))
    faults.extend(_find_missing_accounts(keys))
    if faults:
        return Failure(tuple(faults))
    return Success(TableRows(tuple(accounts), tuple(services)))


def is_row_key(value: object) -> bool:
    """Return whether a value is the key of an account row or a service row."""
    if not isinstance(value, str):
        return False
    if value.startswith(_ACCOUNT_PREFIX):
        return is_valid_name(value.removeprefix(_ACCOUNT_PREFIX))
    if not value.startswith(_SERVICE_PREFIX):
        return False
    account, _, service = value.removeprefix(_SERVICE_PREFIX).partition("/")
    return is_valid_name(account) and is_valid_name(service)


def _parse_base_version(data: Mapping, faults: list[TableError]) -> int:
    """Return the table version that the edit is based on, -1 if it is invalid."""
    if ATTR_BASE_VERSION not in data:
        message = "missing; give the version of the table that was edited"
        faults.append(TableError("", ATTR_BASE_VERSION, message))
        return -1
    checked = _BASE_VERSION_COLUMN.check(data[ATTR_BASE_VERSION])
    if isinstance(checked, Failure):
        faults.append(TableError("", ATTR_BASE_VERSION, checked.failure()))
        return -1
    return data[ATTR_BASE_VERSION]


def _parse_author(data: Mapping, faults: list[TableError]) -> str:
    """Return the author, "" if none is given or it is invalid."""
    value = data.get(ATTR_AUTHOR, "")
    if (
        isinstance(value, str)
        and len(value) <= MAX_AUTHOR_CHARS
        and value.isprintable()
    ):
        return value
    message = (
        f"not a text of at most {MAX_AUTHOR_CHARS} printable characters; shorten it"
    )
    faults.append(TableError("", ATTR_AUTHOR, message))
    return ""


def _parse_removed(items: list, faults: list[TableError]) -> list[str]:
    """Return the valid row keys among the rows to remove."""
    keys = []
    for index, item in enumerate(items):
        if is_row_key(item):
            keys.append(item)
            continue
        shown = format_value(item)
        message = (
            f"{shown} is not a row key; give account:NAME or service:ACCOUNT/SERVICE"
        )
        faults.append(TableError(f"{ATTR_REMOVED}[{index}]", "", message))
    return keys


def _find_duplicates(keys: list[str]) -> list[TableError]:
    """Return an error for each key that occurs more than once."""
    faults = []
    for key, count in Counter(keys).items():
        if count > 1:
            message = f"stands {count} times; keep one"
            faults.append(TableError(key, "", message))
    return faults


def _find_shared_credentials(items: list) -> list[TableError]:
    """Return an error for each digest that an earlier account already has."""
    owners: dict[str, str] = {}
    faults = []
    for item in items:
        for key in collect_row_keys([item], []):
            for digest in _digests(item):
                owner = owners.setdefault(digest, key)
                if owner == key:
                    continue
                message = f"a digest is also that of {owner}; give each its own"
                faults.append(TableError(key, "credential_hashes", message))
    return faults


def _digests(item: Mapping) -> list[str]:
    """Return the strings among the digests of a decoded account row."""
    value = item.get("credential_hashes")
    if not isinstance(value, list | tuple):
        return []
    return [digest for digest in value if isinstance(digest, str)]


def _check_row_counts(accounts: int, services: int) -> Faults:
    """Return an error for each type of row that exceeds its limit."""
    faults = []
    if accounts > MAX_ACCOUNTS:
        message = f"{accounts} rows; at most {MAX_ACCOUNTS}, remove some"
        faults.append(TableError("", ATTR_ACCOUNTS, message))
    if services > MAX_SERVICES:
        message = f"{services} rows; at most {MAX_SERVICES}, remove some"
        faults.append(TableError("", ATTR_SERVICES, message))
    return tuple(faults)


def _find_missing_accounts(keys: list[str]) -> list[TableError]:
    """Return an error for each service whose account has no row."""
    present = set(keys)
    faults = []
    for key in keys:
        if not key.startswith(_SERVICE_PREFIX):
            continue
        account = key.removeprefix(_SERVICE_PREFIX).partition("/")[0]
        if account_key(account) in present:
            continue
        message = f"no row for account {account}; add one"
        faults.append(TableError(key, "client_account", message))
    return faults
