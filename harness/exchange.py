"""A request from an entry host to a minion, until it is answered, broken or aborted."""

from courselead.core.effects import Send
from courselead.core.events import (
    AnswerBroken,
    AnswerEnded,
    AnswerStarted,
    NotRunReason,
    SendNotRun,
    SendUnknown,
)
from harness.workers import SERVING, STOPPED

CONNECT_TIMEOUT_MS = 800
BODY_DELAY_MS = 15
BREAK_SHARE = 0.01
RESET_SHARE = 0.01


class Exchange:
    """One request and its response on one connection.

    Attributes:
        head_forwarded: Whether the response head was forwarded to the caller.
        closed: Whether the exchange may emit no more events.
    """

    def __init__(self, world: object, host: object, send: Send) -> None:
        self.world = world
        self.host = host
        self.send = send
        self.request = world.callers.request(send.request_id)
        self.head_forwarded = False
        self.closed = False
        self.minion = None
        self._end_ms = world.sched.now_ms + send.timeout_ms

    def begin(self) -> None:
        """Connect to the minion and send the request."""
        self.world.checks.check_send(self.host, self.send)
        self._after(self.world.net.delay_ms(self.host.name), self._arrive)

    def close(self) -> None:
        """Emit no more events; the minion may go on working."""
        self.closed = True

    def abort(self) -> None:
        """Close for the core; a caller that got the head sees a broken response."""
        self.close()
        if self.head_forwarded:
            self.world.callers.broken(self.send.request_id)

    def reset(self) -> None:
        """Break the connection because the minion is gone."""
        self._after(self.world.net.delay_ms(self.host.name), self._broken, "reset")

    def _after(self, delay_ms: int, call: object, *args: object) -> None:
        self.world.sched.after(delay_ms, self._call_unless_closed, call, args)

    def _call_unless_closed(self, call: object, args: tuple) -> None:
        if not self.closed:
            call(*args)

    def _is_reachable(self) -> bool:
        worker = self.world.workers[self.send.worker]
        zone = worker.info.availability_zone
        return worker.answers and self.world.net.zones_connected(self.host.zone, zone)

    def _arrive(self) -> None:
        minion = self.world.workers[self.send.worker].minion
        if not self._is_reachable():
            self._after(CONNECT_TIMEOUT_MS, self._not_run, NotRunReason.REFUSED)
            return
        gone = minion is None or minion.address != self.send.address
        if gone or minion.state == STOPPED:
            stale = not self.send.new_connection and self.world.sched.rng.random() < 0.3
            if stale:
                # Written to a pooled connection that the minion had just closed.
                self._after(2, self._broken, "closed")
                return
            self._after(2, self._not_run, NotRunReason.REFUSED)
            return
        if minion.state != SERVING:
            key = f"{self.host.name}:{self.host.process_number}"
            minion.first_leaving_ms.setdefault(key, self.world.sched.now_ms)
            self._after(2, self._not_run, NotRunReason.LEAVING)
            return
        if len(minion.runs) >= minion.slots:
            self._after(2, self._not_run, NotRunReason.FULL)
            return
        self._run(minion)

    def _run(self, minion: object) -> None:
        """Run the request on the minion."""
        self.minion = minion
        self.world.checks.check_run(minion, self)
        if minion.failing:
            self._after(3, self._answer, 500)
            return
        minion.runs.append(self)
        work_ms = self.request.work_ms * minion.slow
        self.world.sched.after(work_ms, self._finish_work)

    def _finish_work(self) -> None:
        """Send the response; the slot is freed even if the exchange was closed."""
        if self not in self.minion.runs:
            return
        self.minion.runs.remove(self)
        self.minion.stop_if_idle()
        if self.closed:
            return
        if self.world.sched.rng.random() < RESET_SHARE:
            self.reset()
            return
        if not self._is_reachable() or self.world.net.loses(self.host.name):
            left_ms = max(0, self._end_ms - self.world.sched.now_ms)
            self._after(left_ms, self._broken, "no answer in time")
            return
        self._after(self.world.net.delay_ms(self.host.name), self._answer, 200)

    def _answer(self, status: int) -> None:
        request_id, attempt = self.send.request_id, self.send.attempt
        source = f"exchange:{request_id}"

        def head(now_ms: int) -> AnswerStarted | None:
            if self.closed:
                return None
            return AnswerStarted(now_ms, request_id, attempt, status)

        def body(now_ms: int) -> AnswerEnded | AnswerBroken | None:
            if self.closed:
                return None
            self._remove()
            if self.world.sched.rng.random() < BREAK_SHARE:
                self.world.callers.broken(request_id)
                return AnswerBroken(now_ms, request_id, attempt, "cut short")
            text = self.request.answer_to(request_id)
            self.world.callers.answered(request_id, status, text)
            kept = self.request.small
            return AnswerEnded(
                now_ms, request_id, attempt, status, "text/plain", text, kept
            )

        def resolve() -> None:
            # The core handles the head first: it may have aborted at this moment.
            if not self.closed:
                self.head_forwarded = True
                self.world.callers.head(request_id)
                self._after(BODY_DELAY_MS, self.host.deliver, source, body)

        self.host.deliver(source, head, resolve)

    def _not_run(self, reason: NotRunReason) -> None:
        self.world.checks.check_target_refusal(self.host, self.send, reason)
        self._event(SendNotRun, reason)

    def _broken(self, detail: str) -> None:
        if self.head_forwarded:
            self._event(AnswerBroken, detail)
            return
        self._event(SendUnknown, detail)

    def _event(self, kind: type, detail: object) -> None:
        """Report the end of the exchange to the core, once."""
        request_id, attempt = self.send.request_id, self.send.attempt

        def make(now_ms: int) -> object:
            if self.closed:
                return None
            self._remove()
            if kind is AnswerBroken:
                self.world.callers.broken(request_id)
            return kind(now_ms, request_id, attempt, detail)

        self.host.deliver(f"exchange:{request_id}", make)

    def _remove(self) -> None:
        self.closed = True
        self.host.exchanges.pop((self.send.request_id, self.send.attempt), None)
