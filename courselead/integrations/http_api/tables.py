"""Table endpoints: read, publish and history."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure

from courselead.core.effects import Problem, ProblemKind
from courselead.core.fleet.records import TablePublished
from courselead.core.table import (
    AccountRow,
    ServiceRow,
    Table,
    account_key,
    service_key,
)
from courselead.core.table_check import check_edit
from courselead.integrations.http_api.admission import Admission
from courselead.integrations.http_api.auth import Principal
from courselead.integrations.http_api.documents import (
    ManagementCalls,
    decode_strict,
    read_limit,
    respond_json,
)
from courselead.integrations.http_api.errors import Refusal
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import Host, TableChange
from courselead.integrations.http_api.problems import (
    ApiProblem,
    FieldFault,
    RowConflict,
    forbidden,
)
from courselead.settings import LimitSettings

_DEFAULT_HISTORY = 100
_MAX_HISTORY = 1_000

Row = dict[str, object]


@dataclass(frozen=True, slots=True)
class TableView:
    """The rows of the table that a principal may see."""

    version: int
    accounts: list[Row]
    services: list[Row]


@dataclass(frozen=True, slots=True)
class ChangeView:
    """The part of a published edit that a principal may see."""

    version: int
    at_ms: int
    author: str
    accounts: list[Row]
    services: list[Row]
    removed: list[str]


class TablesApi:
    """Serves `/v1/table` and `/v1/table/history`."""

    def __init__(self, host: Host, limits: LimitSettings, admission: Admission) -> None:
        """Keep the daemon, the limits and the admission shared by all exchanges."""
        self._host = host
        self._limits = limits
        self._admission = admission
        self._calls = ManagementCalls(host)

    async def read(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/table`."""
        await respond_json(exchange, table_view(self._host.fleet.table, principal))

    async def history(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/table/history`."""
        limit = read_limit(exchange, _DEFAULT_HISTORY, _MAX_HISTORY)
        changes = []
        # The limit counts visible changes only, so it is applied after the filter.
        for change in await self._host.history(_MAX_HISTORY):
            view = change_view(change, principal)
            if principal.is_operator or view.accounts or view.services or view.removed:
                changes.append(view)
        await respond_json(exchange, {"changes": changes[-limit:]})

    async def publish(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `POST /v1/table`."""
        with self._admission.hold(principal.client_account):
            body = await exchange.read_body(self._limits.body_timeout_ms)
            checked = check_edit(decode_strict(body))
            if isinstance(checked, Failure):
                raise Refusal(_invalid_edit(checked.failure()))
            edit = checked.unwrap()
            _check_scope(edit, principal)
            edit = replace(
                edit,
                author=principal.author_for_record(edit.author),
                request_id=exchange.request_id,
            )
            await self._publish(exchange, edit)

    async def _publish(self, exchange: Exchange, edit: TablePublished) -> None:
        deadline_ms = self._calls.deadline_ms()
        reply = await self._calls.wait(self._host.publish(edit, deadline_ms))
        if isinstance(reply, Problem):
            problem = ApiProblem.from_core(reply)
            if reply.kind is ProblemKind.CONFLICT:
                conflicts = row_conflicts(edit, self._host.fleet.table)
                problem = replace(problem, conflicts=conflicts)
            raise Refusal(problem)
        await respond_json(exchange, {"version": reply.offset})


def table_view(table: Table, principal: Principal) -> TableView:
    """Return the rows that the principal may see, sorted by name."""
    accounts = []
    for name, row in sorted(table.accounts.items()):
        if principal.can_see(name):
            accounts.append(_account_view(row, principal))
    services = []
    for _, row in sorted(table.services.items()):
        if principal.can_see(row.client_account):
            services.append(msgspec.to_builtins(row))
    return TableView(table.version, accounts, services)


def change_view(change: TableChange, principal: Principal) -> ChangeView:
    """Return the part of a published edit that the principal may see."""
    edit = change.edit
    accounts = []
    for row in edit.accounts:
        if principal.can_see(row.client_account):
            accounts.append(_account_view(row, principal))
    services = []
    for row in edit.services:
        if principal.can_see(row.client_account):
            services.append(msgspec.to_builtins(row))
    removed = [
        key for key in edit.removed if principal.can_see(_client_account_of(key))
    ]
    return ChangeView(
        version=change.offset,
        at_ms=change.at_ms,
        author=edit.author,
        accounts=accounts,
        services=services,
        removed=removed,
    )


def row_conflicts(edit: TablePublished, table: Table) -> tuple[RowConflict, ...]:
    """Return the rows of an edit that changed after the edit's base version."""
    yours: dict[str, AccountRow | ServiceRow | None] = {}
    for account in edit.accounts:
        yours[account_key(account.client_account)] = account
    for service in edit.services:
        yours[service_key(service.pool)] = service
    for key in edit.removed:
        yours[key] = None
    found = []
    for key, row in yours.items():
        if table.row_versions.get(key, -1) <= edit.base_version:
            continue
        theirs = _current_row(key, table)
        found.append(RowConflict(key, _to_builtins(row), _to_builtins(theirs)))
    return tuple(found)


def _check_scope(edit: TablePublished, principal: Principal) -> None:
    if principal.is_operator:
        return
    touched = [row.client_account for row in edit.services]
    for key in edit.removed:
        kind, _, _ = key.partition(":")
        touched.append(_client_account_of(key) if kind == "service" else "")
    # The response is the same whether or not the rows exist.
    if edit.accounts or any(name != principal.client_account for name in touched):
        raise Refusal(forbidden("publish service rows of your own account only"))


def _invalid_edit(faults: tuple) -> ApiProblem:
    listed = []
    for fault in faults:
        listed.append(FieldFault(fault.row, fault.column, fault.message))
    detail = "the edit has faults; mend them and publish it again"
    return ApiProblem(ProblemKind.TABLE_REFUSED, detail, faults=tuple(listed))


def _account_view(row: AccountRow, principal: Principal) -> Row:
    view = msgspec.to_builtins(row)
    if not principal.is_operator:
        del view["credential_hashes"]
    return view


def _current_row(key: str, table: Table) -> AccountRow | ServiceRow | None:
    kind, _, name = key.partition(":")
    rows = table.accounts if kind == "account" else table.services
    return rows.get(name)


def _to_builtins(row: AccountRow | ServiceRow | None) -> Row | None:
    return None if row is None else msgspec.to_builtins(row)


def _client_account_of(key: str) -> str:
    _, _, name = key.partition(":")
    return name.partition("/")[0]
