"""Fetches the membership list and checks it strictly."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from courselead.integrations.http import HttpClient, HttpLimits, HttpRequest
from courselead.integrations.http.headers import header

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


class MembershipClient:
    """Reads the list over a kept connection."""

    def __init__(self, address: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Keep the `ip:port` address; nothing is opened yet."""
        limits = HttpLimits(max_answer_bytes=MAX_ANSWER_BYTES)
        self._http = HttpClient(address, limits)
        self._timeout_ms = timeout_ms
        self._tag = b""
        self._newest: MembershipList | None = None

    async def fetch(self) -> Result[MembershipList, MembershipError]:
        """Read the list as it is now answered, whole only if it has changed."""
        headers = ((ATTR_IF_NONE_MATCH, self._tag),) if self._tag else ()
        req = HttpRequest(b"GET", MEMBERS_TARGET, headers)
        fetched = await self._http.fetch(req, self._timeout_ms)
        if isinstance(fetched, Failure):
            return Failure(MembershipUnavailable(fetched.failure().reason))
        answer = fetched.unwrap()
        if answer.status == STATUS_NOT_MODIFIED and self._newest is not None:
            return Success(self._newest)
        if answer.status != STATUS_OK:
            reason = f"the list answered {answer.status}"
            return Failure(MembershipUnavailable(reason))
        checked = _checked(answer.body)
        if isinstance(checked, Success):
            self._newest = checked.unwrap()
            self._tag = header(answer.headers, ATTR_ETAG) or b""
        return checked

    def close(self) -> None:
        """Close the idle connection."""
        self._http.close()


def _checked(body: bytes) -> Result[MembershipList, MembershipError]:
    try:
        data = msgspec.json.decode(body)
        found = msgspec.convert(data, MembershipList, strict=True)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        return Failure(MembershipMalformed(str(exc)))
    seen: set[str] = set()
    for member in found.members:
        if member.id in seen:
            return Failure(MembershipMalformed(f"member {member.id} is listed twice"))
        seen.add(member.id)
    return Success(found)
