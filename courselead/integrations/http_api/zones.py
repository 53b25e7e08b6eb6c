"""Zone endpoints: list, evacuate and restore availability zones."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure

from courselead.core.effects import Problem
from courselead.core.fleet.records import ZoneEvacuated, ZoneRestored
from courselead.core.table_check import MAX_AUTHOR_CHARS
from courselead.decoding import JsonDecoder
from courselead.integrations.http_api.admission import Admission
from courselead.integrations.http_api.auth import Principal
from courselead.integrations.http_api.documents import ManagementCalls, respond_json
from courselead.integrations.http_api.errors import Refusal
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import Host
from courselead.integrations.http_api.problems import (
    ApiProblem,
    bad_request,
    forbidden,
)
from courselead.settings import LimitSettings

_MAX_ZONE_CHARS = 256


class ZoneBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of `POST /v1/zones/evacuate` and `POST /v1/zones/restore`."""

    availability_zone: Annotated[
        str, msgspec.Meta(min_length=1, max_length=_MAX_ZONE_CHARS)
    ]
    author: Annotated[str, msgspec.Meta(max_length=MAX_AUTHOR_CHARS)] = ""


_BODY_DECODER = JsonDecoder(ZoneBody)


class ZonesApi:
    """Serves `/v1/zones` and the paths below it, for operators only."""

    def __init__(self, host: Host, limits: LimitSettings, admission: Admission) -> None:
        """Keep the daemon, the limits and the admission shared by all exchanges."""
        self._host = host
        self._limits = limits
        self._admission = admission
        self._calls = ManagementCalls(host)

    async def list(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/zones`."""
        _require_operator(principal)
        await respond_json(exchange, {"zones": self._host.zones()})

    async def evacuate(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `POST /v1/zones/evacuate`."""
        await self._change(exchange, principal, ZoneEvacuated)

    async def restore(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `POST /v1/zones/restore`."""
        await self._change(exchange, principal, ZoneRestored)

    async def _change(
        self,
        exchange: Exchange,
        principal: Principal,
        record_type: type[ZoneEvacuated] | type[ZoneRestored],
    ) -> None:
        _require_operator(principal)
        with self._admission.hold(principal.client_account):
            body = await self._decode_body(exchange)
            change = record_type(
                availability_zone=body.availability_zone,
                operator=principal.author_for_record(body.author),
                at_ms=0,  # Set by the daemon.
                request_id=exchange.request_id,
            )
            deadline_ms = self._calls.deadline_ms()
            reply = await self._calls.wait(self._host.change_zone(change, deadline_ms))
            if isinstance(reply, Problem):
                raise Refusal(ApiProblem.from_core(reply))
            await respond_json(exchange, {"offset": reply.offset})

    async def _decode_body(self, exchange: Exchange) -> ZoneBody:
        body = await exchange.read_body(self._limits.body_timeout_ms)
        result = _BODY_DECODER.decode(body)
        if isinstance(result, Failure):
            reason = result.failure().reason
            detail = f"give a JSON object with availability_zone and author: {reason}"
            raise Refusal(bad_request(detail))
        decoded = result.unwrap()
        if not decoded.author.isprintable():
            raise Refusal(bad_request("give author as printable characters"))
        return decoded


def _require_operator(principal: Principal) -> None:
    if not principal.is_operator:
        raise Refusal(forbidden("use an operator's credential here"))
