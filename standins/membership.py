"""Stand-in for the membership list; its answers can lag behind `PUT /v1/members`."""

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
    """Keeps every version of the list, so that `lag_ms` can return an older one."""

    def __init__(self, clock_ms: Callable[[], float] = _monotonic_ms) -> None:
        """Start with an empty list at version 0."""
        self.endpoint = Endpoint(self.handle)
        self._clock_ms = clock_ms
        self._versions: list[tuple[float, list[Member]]] = [(clock_ms(), [])]

    def put(self, members: list[Member]) -> int:
        """Replace the list and return its version."""
        self._versions.append((self._clock_ms(), members))
        return len(self._versions) - 1

    async def handle(self, call: Call) -> Reply | None:
        """Answer one call; `PUT` takes `{"members": [...]}`."""
        match call.method, call.path:
            case "GET", "/v1/members":
                return self._answer_if_changed(call)
            case "GET", "/-/members":
                return self._answer(len(self._versions) - 1)
            case "PUT", "/v1/members":
                members = msgspec.convert(call.json().get("members"), list[Member])
                return json_reply(200, {"version": self.put(members)})
        return error_reply(404, "not_found")

    def _answer_if_changed(self, call: Call) -> Reply:
        """Answer 304 if the request's entity tag matches the visible version."""
        version = self._visible_version()
        tag = f'"{version}"'
        if call.headers.get("if-none-match") == tag:
            return Reply(304, b"", ((b"etag", tag.encode("ascii")),))
        reply = self._answer(version)
        headers = (*reply.headers, (b"etag", tag.encode("ascii")))
        return Reply(reply.status, reply.body, headers)

    def _answer(self, version: int) -> Reply:
        members = self._versions[version][1]
        return json_reply(200, {"version": version, "members": members})

    def _visible_version(self) -> int:
        """Return the version that was the newest `lag_ms` ago, else the first one."""
        until_ms = self._clock_ms() - self.endpoint.faults.lag_ms
        for version in reversed(range(len(self._versions))):
            if self._versions[version][0] <= until_ms:
                return version
        return 0
