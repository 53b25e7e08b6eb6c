"""Client for orders to minions and for their reports."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import msgspec
from returns.result import Failure, Result, Success

from courselead.core.scheduler.events import (
    EndKind,
    EndReport,
    Outcome,
    RunReport,
    StartRun,
    StopRun,
)
from courselead.core.scheduler.models import MinionInfo
from courselead.daemon.scheduling.ports import MinionReport, OrderResult
from courselead.decoding import JsonDecoder
from courselead.integrations.http.errors import ExchangeError, NotSent
from courselead.integrations.lean_http import (
    Answer,
    Call,
    LeanConnection,
    LeanPool,
    MaySend,
    VerifyPeer,
)
from courselead.platform import const, ranges
from courselead.platform.order_results import result_if_overloaded, result_of_error

_OUTCOMES_BY_REASON = {
    "fence": Outcome.FENCED,
    "old": Outcome.SUPERSEDED,
    "late": Outcome.LEASE_OVER,
    "room": Outcome.NO_CAPACITY,
    "ticket": Outcome.NO_TICKET,
}
_ENCODER = msgspec.json.Encoder()


class _OrderResponse(msgspec.Struct, rename="camel"):
    clock_ms: ranges.TimeMs = 0
    reason: str = ""


class _RunRow(msgspec.Struct, array_like=True):
    task: ranges.TaskName
    number: ranges.RunNumber
    checkpoint: ranges.Checkpoint | None
    percent: ranges.Percent
    # Of the last half second.
    figure: ranges.Figure = 0


class _EndRow(msgspec.Struct, array_like=True, order=True):
    sequence: ranges.RunNumber
    task: ranges.TaskName
    number: ranges.RunNumber
    kind: str
    checkpoint: ranges.Checkpoint


class _PollResponse(msgspec.Struct, rename="camel"):
    clock_ms: ranges.TimeMs
    born: ranges.TimeMs = 0
    running: list[_RunRow] = []
    finished: list[_EndRow] = []


_ORDER_DECODER = JsonDecoder(_OrderResponse)
_POLL_DECODER = JsonDecoder(_PollResponse)


class HttpMinionLink:
    """Client of one incarnation of a minion: one connection for polls, some for orders.

    A connection ends with the minion's process, so a request on a connection on which
    an incarnation has responded reaches that incarnation or none. Starts are sent on
    such connections only: the next incarnation knows no fence yet and would carry out a
    delayed start that was meant for the previous one.
    """

    def __init__(self, info: MinionInfo) -> None:
        """Store the address; connections are opened on demand."""
        # Start time of the incarnation; 0 if it is not reported, so that only the id
        # identifies it.
        self._born_ms = info.born_ms
        self._poll_connection = LeanConnection(info.address)
        self._order_pool = LeanPool(info.address, const.ORDER_CONNECTIONS)
        # For orders that expire, which must not wait behind others.
        self._prompt_pool = LeanPool(info.address, const.PROMPT_CONNECTIONS)
        self._headers = (
            ("Content-Type", "application/json"),
            (const.HEADER_EXPECT_INSTANCE, info.minion_id),
        )

    async def poll(
        self, fence: int, cursor: int, lease_ms: int, wait_ms: int
    ) -> Result[MinionReport, OrderResult]:
        """Poll the minion and renew its lease; a `lease_ms` of 0 does not renew it."""
        # On a new connection the next incarnation may respond under the same id. Its
        # sequence numbers of ended runs begin anew, so that the cursor would make it
        # discard ends that no poll has returned.
        acknowledged = cursor if self._poll_connection.is_verified else 0
        body: dict[str, int] = {"fence": fence, "ackCursor": acknowledged}
        if lease_ms:
            body["deadlineMs"] = lease_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        result = await self._poll_connection.call(
            self._make_call(const.PATH_HOLD, body), wait_ms + const.POLL_GRACE_MS
        )
        if isinstance(result, Failure):
            self._order_pool.close_idle()
            self._prompt_pool.close_idle()
            return Failure(result_of_error(result.failure()))
        self._poll_connection.mark_verified()
        decoded = decode_report(result.unwrap())
        if isinstance(decoded, Success):
            self._born_ms = self._born_ms or decoded.unwrap().born_ms
        return decoded

    async def start(
        self, order: StartRun, fence: int, may_send: MaySend
    ) -> OrderResult:
        """Start a run; the order is sent again if there is no response.

        It is not sent, or not again, if `may_send` returns False at that moment.

        An order with `once` is sent a single time, with the total of all timeouts.
        """
        body: dict[str, object] = {
            "task": order.task,
            "run": order.number,
            "spec": order.payload,
            "deadlineMs": order.lease_ms,
            "fence": fence,
        }
        if order.checkpoint:
            body["lastCheckpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        call = self._make_call(const.PATH_START, body)
        timeouts_ms = const.START_TIMEOUTS_MS
        if order.once:
            timeouts_ms = (sum(timeouts_ms),)
        first_timeout_ms, *retry_timeouts_ms = timeouts_ms
        answer = await self._send_start(call, fence, first_timeout_ms, may_send)
        if answer.outcome is not Outcome.UNKNOWN:
            return answer
        for timeout_ms in retry_timeouts_ms:
            answer = await self._send_start(call, fence, timeout_ms, may_send)
            if answer.outcome in (
                Outcome.OK,
                Outcome.FENCED,
                Outcome.OTHER_INCARNATION,
            ):
                return replace(answer, repeated=True)
            if answer.outcome is not Outcome.UNKNOWN:
                break
        # The first order may still be carried out, whatever the response to the retry.
        repeated = not order.once
        return OrderResult(Outcome.UNKNOWN, answer.clock_ms, answer.reason, repeated)

    async def stop(self, order: StopRun, fence: int, may_send: MaySend) -> OrderResult:
        """Stop a run, unless `may_send` returns False at the moment of sending."""
        body = {"task": order.task, "run": order.number, "fence": fence}
        call = self._make_call(const.PATH_STOP, body)
        pool = self._prompt_pool if order.expires_ms else self._order_pool
        result = await pool.call(call, const.ORDER_TIMEOUT_MS, may_send=may_send)
        return _result_of_order(result)

    async def pace(
        self, task: str, number: int, percent: int, fence: int
    ) -> OrderResult:
        """Set the pace of a run."""
        body = {"task": task, "run": number, "percent": percent, "fence": fence}
        return await self._send_order(
            self._make_call(const.PATH_PACE, body), const.ORDER_TIMEOUT_MS
        )

    def close(self) -> None:
        """Close all connections."""
        self._poll_connection.close()
        self._order_pool.close()
        self._prompt_pool.close()

    def _make_call(self, path: str, body: object) -> Call:
        return Call("POST", path, _ENCODER.encode(body), self._headers)

    async def _send_start(
        self, call: Call, fence: int, timeout_ms: int, may_send: MaySend
    ) -> OrderResult:
        """Send a start on a connection on which this incarnation has responded."""
        if not self._born_ms:
            return await self._send_order(call, timeout_ms, may_send=may_send)
        verify_peer = partial(self._verify_incarnation, fence)
        return await self._send_order(call, timeout_ms, verify_peer, may_send)

    async def _verify_incarnation(
        self, fence: int, conn: LeanConnection
    ) -> ExchangeError | None:
        """Check which incarnation responds on a connection; changes nothing on it."""
        poll = self._make_call(const.PATH_HOLD, {"fence": fence, "ackCursor": 0})
        result = await conn.call(poll, const.INCARNATION_CHECK_TIMEOUT_MS)
        if isinstance(result, Failure):
            return NotSent(f"incarnation unknown: {result.failure().reason}")
        decoded = _decode_poll_response(result.unwrap())
        if isinstance(decoded, Failure):
            return NotSent(f"incarnation unknown: {decoded.failure().reason}")
        if decoded.unwrap().born != self._born_ms:
            return NotSent("another incarnation responded")
        return None

    async def _send_order(
        self,
        call: Call,
        timeout_ms: int,
        verify_peer: VerifyPeer | None = None,
        may_send: MaySend | None = None,
    ) -> OrderResult:
        result = await self._order_pool.call(call, timeout_ms, verify_peer, may_send)
        return _result_of_order(result)


def _result_of_order(result: Result[Answer, ExchangeError]) -> OrderResult:
    if isinstance(result, Failure):
        return result_of_error(result.failure())
    return _decode_order_response(result.unwrap())


def _decode_order_response(answer: Answer) -> OrderResult:
    if answer.status == 421:
        return OrderResult(
            Outcome.OTHER_INCARNATION, 0, "another incarnation responded"
        )
    overload_result = result_if_overloaded(answer)
    if overload_result is not None:
        return overload_result
    decoded = _ORDER_DECODER.decode(answer.body or b"{}")
    if isinstance(decoded, Failure):
        reason = f"malformed response: {decoded.failure()}"
        return OrderResult(Outcome.UNKNOWN, 0, reason)
    response = decoded.unwrap()
    if answer.status == 200:
        return OrderResult(Outcome.OK, response.clock_ms)
    if answer.status == 409:
        outcome = _OUTCOMES_BY_REASON.get(response.reason, Outcome.UNKNOWN)
        return OrderResult(outcome, response.clock_ms, response.reason)
    if answer.status == 400:
        return OrderResult(Outcome.REFUSED, response.clock_ms, "status 400")
    return OrderResult(Outcome.UNKNOWN, response.clock_ms, f"status {answer.status}")


def decode_report(answer: Answer) -> Result[MinionReport, OrderResult]:
    """Return the report in the response to a poll, or the result of a failure."""
    decoded = _decode_poll_response(answer)
    if isinstance(decoded, Failure):
        return decoded
    try:
        return Success(_to_report(decoded.unwrap()))
    except ValueError as exc:
        return Failure(_malformed_report(exc))


def _decode_poll_response(answer: Answer) -> Result[_PollResponse, OrderResult]:
    """Return the decoded response to a poll, or the result of a failure."""
    if answer.status != 200:
        return Failure(_decode_order_response(answer))
    return _POLL_DECODER.decode(answer.body).alt(_malformed_report)


def _malformed_report(reason: object) -> OrderResult:
    return OrderResult(Outcome.UNKNOWN, 0, f"malformed report: {reason}")


def _to_report(wire_report: _PollResponse) -> MinionReport:
    running = []
    for row in wire_report.running:
        checkpoint = row.checkpoint or ""
        running.append(
            RunReport(
                row.task, row.number, checkpoint, int(row.percent), int(row.figure)
            )
        )
    ended = []
    for end in sorted(wire_report.finished):
        kind = EndKind(end.kind)
        ended.append(
            EndReport(end.sequence, end.task, end.number, kind, end.checkpoint)
        )
    return MinionReport(
        wire_report.clock_ms,
        tuple(running),
        tuple(ended),
        len(ended) < const.MAX_LISTED_ENDS,
        wire_report.born,
    )
