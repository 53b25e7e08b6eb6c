"""A table as read from a file or an entry host, and its rows as JSON data."""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field, fields

from returns.result import Failure, Result, Success

from courselead.core.table import AccountRow, ServiceRow, account_key, service_key
from courselead.core.table_check import (
    MAX_VERSION,
    Faults,
    TableError,
    TableRows,
    check_table,
    is_row_key,
)
from courselead.core.table_columns import IntColumn
from courselead.table_files.const import (
    ATTR_EXPORTED,
    ATTR_VERSION,
    DIGEST_CHARS,
    DIGEST_PREFIX,
)

Row = AccountRow | ServiceRow

_VERSION = IntColumn(ATTR_VERSION, -1, MAX_VERSION)


@dataclass(frozen=True, slots=True)
class TableDocument:
    """A validated table and the version from which it was exported.

    Attributes:
        version: Version of the table from which it was exported, None if unknown.
        rows: The current rows.
        exported: Digest of each row as exported, by row key, None if unknown. A row
            that still has its digest was not edited since, even if others changed it.
    """

    version: int | None
    rows: TableRows
    exported: Mapping[str, str] | None = field(default=None)

    def by_key(self) -> dict[str, Row]:
        """Return the rows by row key, accounts first."""
        rows: dict[str, Row] = {}
        for account in self.rows.accounts:
            rows[account_key(account.client_account)] = account
        for service in self.rows.services:
            rows[service_key(service.pool)] = service
        return rows

    def digests(self) -> dict[str, str]:
        """Return the digest of each row by row key."""
        return {key: row_digest(row) for key, row in self.by_key().items()}


def row_data(row: Row) -> dict[str, object]:
    """Return a row as JSON data."""
    data: dict[str, object] = {}
    for attribute in fields(row):
        value = getattr(row, attribute.name)
        if isinstance(value, tuple):
            value = list(value)
        elif isinstance(value, str):
            value = str(value)
        data[attribute.name] = value
    return data


def row_digest(row: Row) -> str:
    """Return the digest of a row's values."""
    text = json.dumps(row_data(row), sort_keys=True, separators=(",", ":"))
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]
    return f"{DIGEST_PREFIX}{digest}"


def document_from(data: object) -> Result[TableDocument, Faults]:
    """Check decoded JSON with `accounts`, `services`, `version` and `exported`.

    Returns:
        The document, or all its faults.
    """
    if not isinstance(data, Mapping):
        return Failure((TableError("", "", "not a JSON object; give a table"),))
    faults: list[TableError] = []
    version = _version(data, faults)
    exported = _exported(data, faults)
    metadata = (ATTR_VERSION, ATTR_EXPORTED)
    rows = {name: value for name, value in data.items() if name not in metadata}
    checked = check_table(rows)
    if isinstance(checked, Failure):
        return Failure((*faults, *checked.failure()))
    if faults:
        return Failure(tuple(faults))
    return Success(TableDocument(version, checked.unwrap(), exported))


def _version(data: Mapping, faults: list[TableError]) -> int | None:
    """Return the version in the data, None if it is missing or invalid."""
    if data.get(ATTR_VERSION) is None:
        return None
    checked = _VERSION.check(data[ATTR_VERSION])
    if isinstance(checked, Failure):
        faults.append(TableError("", ATTR_VERSION, checked.failure()))
        return None
    return data[ATTR_VERSION]


def _exported(data: Mapping, faults: list[TableError]) -> dict[str, str] | None:
    """Return the digests of the exported rows, None if missing or invalid."""
    value = data.get(ATTR_EXPORTED)
    if value is None:
        return None
    message = "not row keys with digests; export the table again"
    if not isinstance(value, Mapping):
        faults.append(TableError("", ATTR_EXPORTED, message))
        return None
    for key, digest in value.items():
        if is_row_key(key) and _is_digest(digest):
            continue
        faults.append(TableError("", ATTR_EXPORTED, message))
        return None
    return dict(value)


def _is_digest(value: object) -> bool:
    """Return whether a value has the format of a row's digest."""
    return isinstance(value, str) and len(value) == DIGEST_CHARS + len(DIGEST_PREFIX)
