"""The fault switch that every stand-in carries at `/-/fault`, or at `/+/fault`.

`POST /-/fault` replaces all faults by the JSON object sent; `{}` resets. `only` keeps
the faults to paths that begin with it. Paths under `/-/` never meet a fault.

| field | effect |
|---|---|
| `down` | `503` with `Retry-After`; nothing is done |
| `dead` | the connection is cut; nothing is done |
| `freeze` | the call is accepted and never answered; nothing is done |
| `slow_ms` | waits before the call is handled |
| `lose_answers` | the next N calls are done, then the connection is cut unanswered |
| `cut_answers` | the next N answers stop in the middle of the body |
| `extra_answers` | the next N answers are followed by a second one nobody asked for |
| `lag_ms` | the membership list answers as it was that long ago |
| `fail_all` | a minion answers `500` at once; a worker fails every task at once |
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import anyio
import msgspec

from standins.asgi import (
    Call,
    Handler,
    Receive,
    Reply,
    Scope,
    Send,
    error_reply,
    json_reply,
    read_call,
    send_reply,
    wait_for_hang_up,
)

CONTROL_PREFIX = "/-/"
"""Where a stand-in's own paths begin, unless its interface uses them itself."""

_EXTRA_ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n"
    b"courselead-request-id: unasked\r\n\r\nextra"
)


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults that are on; the default is none."""

    down: bool = False
    dead: bool = False
    freeze: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    cut_answers: int = 0
    extra_answers: int = 0
    lag_ms: int = 0
    fail_all: bool = False
    only: str = ""

    def applies_to(self, path: str, control_prefix: str) -> bool:
        """Return whether calls to a path meet these faults."""
        return not path.startswith(control_prefix) and path.startswith(self.only)


NO_FAULTS = Faults()


class Endpoint:
    """An ASGI app: reads calls, applies the faults and sends the handler's replies."""

    def __init__(self, handler: Handler, control_prefix: str = CONTROL_PREFIX) -> None:
        """Serve one handler, without any fault at first."""
        self.faults = NO_FAULTS
        self._handler = handler
        self._control_prefix = control_prefix
        self._scopes: set[anyio.CancelScope] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        call = await read_call(scope, receive)
        if call is None:
            return
        transport = scope["state"]["transport"]
        reply = await self._reply(call, receive)
        if reply is None:
            transport.abort()
            await wait_for_hang_up(receive)
            return
        cut = self._spend(call, "cut_answers")
        await send_reply(send, reply, cut)
        if cut:
            transport.close()
            await wait_for_hang_up(receive)
            return
        if self._spend(call, "extra_answers"):
            transport.write(_EXTRA_ANSWER)

    def cut(self) -> None:
        """Stop every call that is being handled; none of them gets an answer."""
        for scope in list(self._scopes):
            scope.cancel()

    async def _reply(self, call: Call, receive: Receive) -> Reply | None:
        if call.path == f"{self._control_prefix}fault":
            return self._set_faults(call)
        reply = None
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                reply = await self._with_faults(call, receive)
            finally:
                self._scopes.discard(scope)
        return reply

    async def _with_faults(self, call: Call, receive: Receive) -> Reply | None:
        if not self.faults.applies_to(call.path, self._control_prefix):
            return await self._handle(call)
        if self.faults.dead:
            return None
        if self.faults.freeze:
            await wait_for_hang_up(receive)
            return None
        if self.faults.down:
            return replace(error_reply(503, "down"), headers=((b"retry-after", b"1"),))
        await anyio.sleep(self.faults.slow_ms / 1000)
        reply = await self._handle(call)
        return None if self._spend(call, "lose_answers") else reply

    async def _handle(self, call: Call) -> Reply | None:
        try:
            return await self._handler(call)
        except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as exc:
            return error_reply(400, "bad_request", detail=str(exc))

    def _set_faults(self, call: Call) -> Reply:
        if call.method == "POST":
            try:
                self.faults = msgspec.json.decode(call.body or b"{}", type=Faults)
            except (msgspec.ValidationError, msgspec.DecodeError) as exc:
                return error_reply(400, "bad_request", detail=str(exc))
        return json_reply(200, self.faults)

    def _spend(self, call: Call, name: str) -> bool:
        """Return whether a counted fault strikes this call, and count it down."""
        left = getattr(self.faults, name)
        if left <= 0 or not self.faults.applies_to(call.path, self._control_prefix):
            return False
        self.faults = replace(self.faults, **{name: left - 1})
        return True
