"""The membership list, set by `PUT /v1/members` and answered with a lag."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins.asgi import Call, Reply, error_reply, json_reply
from standins.faults import Endpoint

Member = dict[str, Any]


def _monotonic_ms() -> float:
    return time.monotonic() * 1000


class MembershipStandin:
    """Keeps every list it was given, so that it can answer with an older one."""

    def __init__(self, clock_ms: Callable[[], float] = _monotonic_ms) -> None:
        """Start with an empty list at version 0."""
        self.endpoint = Endpoint(self.handle)
        self._clock_ms = clock_ms
        self._lists: list[tuple[float, list[Member]]] = [(clock_ms(), [])]

    def put(self, members: list[Member]) -> int:
        """Replace the list and return its version."""
        self._lists.append((self._clock_ms(), members))
        return len(self._lists) - 1

    async def handle(self, call: Call) -> Reply | None:
        """Answer one call; `PUT` takes `{"members": [...]}`."""
        match call.method, call.path:
            case "GET", "/v1/members":
                return self._answer_if_changed(call)
            case "GET", "/-/members":
                return self._answer(len(self._lists) - 1)
            case "PUT", "/v1/members":
                members = msgspec.convert(call.json().get("members"), list[Member])
                return json_reply(200, {"version": self.put(members)})
        return error_reply(404, "not_found")

    def _answer_if_changed(self, call: Call) -> Reply:
        """Answer 304 to a caller that names the entity tag of this list."""
        version = self._seen_version()
        tag = f'"{version}"'
        if call.headers.get("if-none-match") == tag:
            return Reply(304, b"", ((b"etag", tag.encode("ascii")),))
        reply = self._answer(version)
        headers = (*reply.headers, (b"etag", tag.encode("ascii")))
        return Reply(reply.status, reply.body, headers)

    def _answer(self, version: int) -> Reply:
        members = self._lists[version][1]
        return json_reply(200, {"version": version, "members": members})

    def _seen_version(self) -> int:
        """Return the version that was the newest `lag_ms` ago, or the first."""
        until_ms = self._clock_ms() - self.endpoint.faults.lag_ms
        for version in reversed(range(len(self._lists))):
            if self._lists[version][0] <= until_ms:
                return version
        return 0
