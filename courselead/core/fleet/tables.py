"""Handler for table edits, which merges single rows and rejects conflicts."""

import math
from dataclasses import replace

from immutables import Map
from returns.result import Failure

from courselead.core.fleet import verdicts
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.records import TablePublished
from courselead.core.fleet.state import FleetState, Verdict
from courselead.core.fleet.windows import parse_window
from courselead.core.table import (
    AccountRow,
    ServiceRow,
    Table,
    account_key,
    service_key,
)

ROW_KIND_ACCOUNT = "account"
ROW_KIND_SERVICE = "service"


def table_published(
    fleet: FleetState, origin: Origin, record: TablePublished
) -> tuple[FleetState, Verdict]:
    """Merge the rows of an edit into the current table."""
    table = fleet.table
    if record.base_version > table.version:
        return fleet, verdicts.rejected(verdicts.TABLE_AHEAD)
    keys = _edited_row_keys(record)
    reason = _edit_rejection(table, record, keys)
    if reason:
        return fleet, verdicts.rejected(reason)
    merged = _merge_edit(table, record, keys, origin.offset)
    reason = _merged_table_rejection(merged, record)
    if reason:
        return fleet, verdicts.rejected(reason)
    return replace(fleet, table=merged), verdicts.ACCEPTED


def _edited_row_keys(record: TablePublished) -> list[str]:
    """Return the keys of all rows that an edit sets or removes."""
    keys = [account_key(row.client_account) for row in record.accounts]
    keys.extend(service_key(row.pool) for row in record.services)
    keys.extend(record.removed)
    return keys


def _edit_rejection(table: Table, record: TablePublished, keys: list[str]) -> str:
    """Return the reason an edit cannot be merged, or "" if it can be."""
    if len(set(keys)) < len(keys):
        return verdicts.TABLE_ROW_TWICE
    for key in keys:
        if table.row_versions.get(key, -1) > record.base_version:
            return verdicts.TABLE_CONFLICT
    for key in record.removed:
        if not _has_row(table, key):
            return verdicts.TABLE_NO_ROW
    if not all(_is_valid_account(row) for row in record.accounts):
        return verdicts.TABLE_BAD_ROW
    if not all(_is_valid_service(row) for row in record.services):
        return verdicts.TABLE_BAD_ROW
    return ""


def _merge_edit(
    table: Table, record: TablePublished, keys: list[str], offset: int
) -> Table:
    """Return the table with the rows of an edit set and removed."""
    accounts = table.accounts.mutate()
    services = table.services.mutate()
    for account in record.accounts:
        accounts[account.client_account] = account
    for service in record.services:
        services[service.pool] = service
    for key in record.removed:
        kind, _, name = key.partition(":")
        rows = accounts if kind == ROW_KIND_ACCOUNT else services
        del rows[name]
    versions = table.row_versions.mutate()
    for key in keys:
        versions[key] = offset
    return Table(offset, accounts.finish(), services.finish(), versions.finish())


def _merged_table_rejection(table: Table, record: TablePublished) -> str:
    """Return the reason to reject an edit based on the merged table, or ""."""
    for row in record.services:
        if row.client_account not in table.accounts:
            return verdicts.TABLE_NO_ACCOUNT
    edited = {row.client_account for row in (*record.services, *record.accounts)}
    if any(_is_over_limit(table, name) for name in edited):
        return verdicts.TABLE_OVER_LIMIT
    if record.accounts and _has_shared_credential(table):
        return verdicts.TABLE_SHARED_CREDENTIAL
    removed_accounts = set()
    for key in record.removed:
        kind, _, name = key.partition(":")
        if kind == ROW_KIND_ACCOUNT:
            removed_accounts.add(name)
    if not removed_accounts:
        return ""
    if any(row.client_account in removed_accounts for row in table.services.values()):
        return verdicts.TABLE_ACCOUNT_IN_USE
    return ""


def _is_over_limit(table: Table, client_account: str) -> bool:
    """Return whether an account's services request more workers than its limit."""
    limit = table.accounts[client_account].workers_limit
    if not limit:
        return False
    requested = 0
    for row in table.services.values():
        if row.client_account == client_account:
            requested += row.workers
    return requested > limit


def _has_shared_credential(table: Table) -> bool:
    """Return whether two accounts share a credential.

    The API validates each edit on its own, but two valid edits can together give two
    accounts the same credential.
    """
    owners: dict[str, str] = {}
    for name, row in table.accounts.items():
        for digest in row.credential_hashes:
            if owners.setdefault(digest, name) != name:
                return True
    return False


def _has_row(table: Table, key: str) -> bool:
    """Return whether the table contains the row with a key."""
    kind, _, name = key.partition(":")
    rows: dict[str, Map] = {
        ROW_KIND_ACCOUNT: table.accounts,
        ROW_KIND_SERVICE: table.services,
    }
    return name in rows.get(kind, ())


def _is_valid_account(row: AccountRow) -> bool:
    """Return whether the values of an account row are valid."""
    return _is_valid_name(row.client_account) and _is_valid_share(row.weight)


def _is_valid_service(row: ServiceRow) -> bool:
    """Return whether the values of a service row are valid."""
    if not _is_valid_name(row.client_account) or not _is_valid_name(row.service):
        return False
    if not _is_valid_share(row.share) or row.workers < 0:
        return False
    if not 0.0 <= row.availability_budget <= 1.0:
        return False
    return not isinstance(parse_window(row.window), Failure)


def _is_valid_share(value: float) -> bool:
    """Return whether a value is valid as a share or weight."""
    return math.isfinite(value) and value > 0


def _is_valid_name(name: str) -> bool:
    """Return whether a name is valid; a slash would make pool names ambiguous."""
    return bool(name) and "/" not in name
