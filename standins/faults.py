"""Fault injection, controlled at `/-/fault` of every stand-in, or at `/+/fault`.

`POST /-/fault` replaces all faults by the JSON object sent; `{}` resets them. `only`
restricts the faults to paths that begin with it. Faults never apply to paths
under the control prefix, which is `/-/` or `/+/`.

| field | effect |
|---|---|
| `down` | answers `503` with `Retry-After`; the call is not handled |
| `dead` | aborts the connection; the call is not handled |
| `freeze` | accepts the call but neither handles nor answers it |
| `slow_ms` | waits before the call is handled |
| `lose_answers` | handles the next N calls, then aborts the connection unanswered |
| `cut_answers` | cuts off the next N answers in the middle of the body |
| `extra_answers` | sends a second, unrequested answer after the next N answers |
| `lag_ms` | the membership list answers with the list of that time ago |
| `fail_all` | a minion answers `500` at once; a worker fails every task at once |
| `malformed_answer` | replaces the body of each `200` answer; in base64 |
| `malformed_field` | replaces only this field by `malformed_answer`; empty drops it |
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
    wait_for_disconnect,
)

STATUS_OK = 200

CONTROL_PREFIX = "/-/"
"""Default prefix of control paths; `/+/` is used if the interface has `/-/` paths."""

_UNREQUESTED_ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n"
    b"courselead-request-id: unasked\r\n\r\nextra"
)


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults that are active; by default none."""

    down: bool = False
    dead: bool = False
    freeze: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    cut_answers: int = 0
    extra_answers: int = 0
    lag_ms: int = 0
    fail_all: bool = False
    malformed_answer: bytes = b""
    malformed_field: str = ""
    only: str = ""

    def applies_to(self, path: str, control_prefix: str) -> bool:
        """Return whether the faults apply to calls to a path."""
        return not path.startswith(control_prefix) and path.startswith(self.only)


NO_FAULTS = Faults()


class Endpoint:
    """An ASGI app that passes calls to a handler and injects the faults."""

    def __init__(self, handler: Handler, control_prefix: str = CONTROL_PREFIX) -> None:
        """Serve a handler, initially without faults."""
        self.faults = NO_FAULTS
        self._handler = handler
        self._control_prefix = control_prefix
        self._call_scopes: set[anyio.CancelScope] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        call = await read_call(scope, receive)
        if call is None:
            return
        transport = scope["state"]["transport"]
        reply = await self._reply(call, receive)
        if reply is None:
            transport.abort()
            await wait_for_disconnect(receive)
            return
        truncate = self._consume_fault(call, "cut_answers")
        await send_reply(send, reply, truncate)
        if truncate:
            transport.close()
            await wait_for_disconnect(receive)
            return
        if self._consume_fault(call, "extra_answers"):
            transport.write(_UNREQUESTED_ANSWER)

    def cancel_calls(self) -> None:
        """Cancel all calls in progress, without an answer."""
        for scope in list(self._call_scopes):
            scope.cancel()

    async def _reply(self, call: Call, receive: Receive) -> Reply | None:
        if call.path == f"{self._control_prefix}fault":
            return self._set_faults(call)
        reply = None
        with anyio.CancelScope() as scope:
            self._call_scopes.add(scope)
            try:
                reply = await self._handle_with_faults(call, receive)
            finally:
                self._call_scopes.discard(scope)
        return reply

    async def _handle_with_faults(self, call: Call, receive: Receive) -> Reply | None:
        if not self.faults.applies_to(call.path, self._control_prefix):
            return await self._handle(call)
        if self.faults.dead:
            return None
        if self.faults.freeze:
            await wait_for_disconnect(receive)
            return None
        if self.faults.down:
            return replace(error_reply(503, "down"), headers=((b"retry-after", b"1"),))
        await anyio.sleep(self.faults.slow_ms / 1000)
        reply = self._with_malformed_answer(call, await self._handle(call))
        return None if self._consume_fault(call, "lose_answers") else reply

    async def _handle(self, call: Call) -> Reply | None:
        try:
            return await self._handler(call)
        except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as exc:
            return error_reply(400, "bad_request", detail=str(exc))

    def _with_malformed_answer(self, call: Call, reply: Reply | None) -> Reply | None:
        # The faults may have changed while the call was handled.
        faults = self.faults
        if not faults.applies_to(call.path, self._control_prefix):
            return reply
        if reply is None or reply.status != STATUS_OK:
            return reply
        if faults.malformed_field:
            return replace(reply, body=_with_malformed_field(reply.body, faults))
        return (
            replace(reply, body=faults.malformed_answer)
            if faults.malformed_answer
            else reply
        )

    def _set_faults(self, call: Call) -> Reply:
        if call.method == "POST":
            try:
                self.faults = msgspec.json.decode(call.body or b"{}", type=Faults)
            except (msgspec.ValidationError, msgspec.DecodeError) as exc:
                return error_reply(400, "bad_request", detail=str(exc))
        return json_reply(200, self.faults)

    def _consume_fault(self, call: Call, name: str) -> bool:
        """Return whether a counted fault applies to the call; decrement its count."""
        remaining = getattr(self.faults, name)
        if remaining <= 0 or not self.faults.applies_to(
            call.path, self._control_prefix
        ):
            return False
        self.faults = replace(self.faults, **{name: remaining - 1})
        return True


def _with_malformed_field(body: bytes, faults: Faults) -> bytes:
    """Return a JSON object with the malformed answer as the value of its field."""
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields.pop(faults.malformed_field, None)
    if faults.malformed_answer:
        fields[faults.malformed_field] = msgspec.Raw(faults.malformed_answer)
    return msgspec.json.encode(fields)
