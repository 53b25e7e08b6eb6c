"""Fetches and strictly validates the membership list."""

from __future__ import annotations

from typing import Any

from returns.result import Failure, Result, Success

from courselead.decoding import JsonDecoder, ValueDecoder
from courselead.integrations.http import HttpClient, HttpLimits, HttpRequest
from courselead.integrations.http.headers import first_header_value

from .const import (
    ATTR_ETAG,
    ATTR_IF_NONE_MATCH,
    DEFAULT_TIMEOUT_MS,
    MAX_ANSWER_BYTES,
    MEMBERS_TARGET,
    STATUS_NOT_MODIFIED,
    STATUS_OK,
)
from .errors import MembershipError, MembershipMalformed, MembershipUnavailable
from .models import MembershipList

_JSON_DECODER = JsonDecoder(Any)
_LIST_DECODER = ValueDecoder(MembershipList)


class MembershipClient:
    """Fetches the list over a persistent connection."""

    def __init__(self, address: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Store the `ip:port` address; no connection is opened yet."""
        limits = HttpLimits(max_answer_bytes=MAX_ANSWER_BYTES)
        self._http = HttpClient(address, limits)
        self._timeout_ms = timeout_ms
        self._etag = b""
        self._last_list: MembershipList | None = None

    async def fetch(self) -> Result[MembershipList, MembershipError]:
        """Return the current list; it is transferred only if its ETag has changed."""
        headers = ((ATTR_IF_NONE_MATCH, self._etag),) if self._etag else ()
        req = HttpRequest(b"GET", MEMBERS_TARGET, headers)
        result = await self._http.fetch(req, self._timeout_ms)
        if isinstance(result, Failure):
            return Failure(MembershipUnavailable(result.failure().reason))
        answer = result.unwrap()
        if answer.status == STATUS_NOT_MODIFIED and self._last_list is not None:
            return Success(self._last_list)
        if answer.status != STATUS_OK:
            reason = f"the membership service responded with status {answer.status}"
            return Failure(MembershipUnavailable(reason))
        decoded_list = _decode_list(answer.body)
        if isinstance(decoded_list, Success):
            self._last_list = decoded_list.unwrap()
            self._etag = first_header_value(answer.headers, ATTR_ETAG) or b""
        return decoded_list

    def close(self) -> None:
        """Close the idle connection."""
        self._http.close()


def _decode_list(body: bytes) -> Result[MembershipList, MembershipError]:
    # Decoding JSON directly into the list would skip the content of unknown members
    # without a check.
    result = _JSON_DECODER.decode(body).bind(_LIST_DECODER.decode)
    if isinstance(result, Failure):
        return Failure(MembershipMalformed(result.failure().reason))
    decoded = result.unwrap()
    seen: set[str] = set()
    for member in decoded.members:
        if member.id in seen:
            return Failure(MembershipMalformed(f"member {member.id} is listed twice"))
        seen.add(member.id)
    return Success(decoded)
