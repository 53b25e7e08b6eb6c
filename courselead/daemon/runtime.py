"""Passes events to the reducer and performs the effects that it returns.

Events are handled one at a time. An event that is dispatched while an effect is
performed is queued, so that reductions are never nested.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.to_thread
import structlog
from anyio.abc import TaskGroup

from courselead.core.effects import (
    Abort,
    Append,
    CallAgent,
    Effect,
    Left,
    LogEvent,
    Metric,
    Problem,
    ProblemKind,
    RecordMetric,
    ReplyAccepted,
    ReplyProblem,
    ReplyReplay,
    RunState,
    Send,
    SendPeer,
    WriteSnapshot,
)
from courselead.core.events import (
    BatchesRead,
    Event,
    RequestArrived,
    SnapshotLoaded,
    SnapshotSplit,
    Tick,
)
from courselead.core.fleet.snapshot import split_state
from courselead.core.reducer import CoreState, reduce
from courselead.daemon.agents import AgentClients
from courselead.daemon.clock import now_ms
from courselead.daemon.exchanges import Exchanges
from courselead.daemon.handles import PendingCall, RequestHandle, make_replay
from courselead.daemon.watch import InvariantMonitor

_LOGGER = structlog.get_logger(__name__)

SHARED_EVENTS = (BatchesRead, SnapshotLoaded)
INTERNAL_ERROR_DETAIL = (
    "a fault of the entry host; repeat the request only if it is idempotent"
)


class Ports(Protocol):
    """Connects the runtime to the other parts of the daemon."""

    def append(self, effect: Append) -> None:
        """Append a batch to the log."""
        ...

    def send_peer(self, effect: SendPeer) -> None:
        """Send a report to a peer."""
        ...

    def measure(self, effect: RecordMetric) -> None:
        """Record a metric."""
        ...

    def left(self) -> None:
        """End the daemon after a graceful leave."""
        ...


class Runtime:
    """Holds the core's state and performs its effects."""

    def __init__(self, state: CoreState, tasks: TaskGroup, ports: Ports) -> None:
        """Initialize with a state; nothing is performed before the first event.

        Args:
            state: Initial state of the core.
            tasks: Task group for exchanges and agent calls.
            ports: Performs the effects that other parts of the daemon handle.
        """
        self.state = state
        self.reductions = 0
        self._tasks = tasks
        self._ports = ports
        self._queue: deque[Event] = deque()
        self._running = False
        self._handles: dict[str, RequestHandle] = {}
        self._pending_calls: dict[str, PendingCall] = {}
        self._listeners: list[Callable[[Event], None]] = []
        self.exchanges = Exchanges(tasks, self.dispatch)
        self.agents = AgentClients(tasks, self.dispatch)
        self._invariant_monitor = InvariantMonitor()

    def dispatch(self, event: Event) -> None:
        """Handle an event and all events that are dispatched meanwhile."""
        self._queue.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._queue:
                self._process(self._queue.popleft())
        finally:
            self._running = False

    def add_listener(self, listener: Callable[[Event], None]) -> None:
        """Register a function to be called after each event."""
        self._listeners.append(listener)

    def submit(self, handle: RequestHandle, event: RequestArrived) -> None:
        """Submit a caller's request."""
        self._handles[event.request_id] = handle
        self.dispatch(event)

    def submit_call(self, request_id: str, event: Event) -> PendingCall:
        """Submit a call to the management interface."""
        call = PendingCall()
        self._pending_calls[request_id] = call
        self.dispatch(event)
        return call

    def release(self, request_id: str) -> None:
        """Remove a request that has been answered or whose caller disconnected."""
        self._handles.pop(request_id, None)
        self._pending_calls.pop(request_id, None)

    def _process(self, event: Event) -> None:
        """Reduce one event, perform its effects and notify the listeners."""
        self.reductions += 1
        try:
            self.state, effects = reduce(self.state, event)
        except Exception:
            if isinstance(event, SHARED_EVENTS):
                raise
            self._drop_event(event)
            return
        for effect in effects:
            self._perform(effect)
        for listener in self._listeners:
            listener(event)
        if isinstance(event, Tick) and self._invariant_monitor.is_due(event.now_ms):
            self._tasks.start_soon(self._check_invariants)

    async def _check_invariants(self) -> None:
        """Check the core's invariants and count the violations."""
        for measure in await self._invariant_monitor.run_check(self.state):
            self._ports.measure(measure)

    def _drop_event(self, event: Event) -> None:
        """Drop a local event for which the reducer raised an exception.

        The state remains as it was before the event. Shared events must not be
        dropped: a host that skipped one would diverge from the other hosts. The
        daemon ends instead and restores its state from the log when restarted.
        """
        kind = type(event).__name__
        _LOGGER.exception("event_failed", kind=kind)
        self._ports.measure(RecordMetric(Metric.INVARIANT, 1, label=kind))
        request_id = getattr(event, "request_id", "")
        if not request_id:
            return
        problem = Problem(ProblemKind.OVERLOAD, RunState.UNKNOWN, INTERNAL_ERROR_DETAIL)
        self._reply_problem(ReplyProblem(request_id, problem))

    def _perform(self, effect: Effect) -> None:
        """Perform one effect."""
        match effect:
            case Send():
                self._send(effect)
            case Abort():
                self.exchanges.abort(effect)
            case ReplyProblem():
                self._reply_problem(effect)
            case ReplyReplay():
                self._reply_replay(effect)
            case ReplyAccepted():
                self._resolve_call(effect.request_id, effect)
            case Append():
                self._ports.append(effect)
            case SendPeer():
                self._ports.send_peer(effect)
            case CallAgent():
                self.agents.call(effect)
            case RecordMetric():
                self._ports.measure(effect)
            case LogEvent():
                _write_log_line(effect)
            case WriteSnapshot():
                self._tasks.start_soon(self._write_snapshot, effect)
            case Left():
                self._ports.left()

    def _send(self, effect: Send) -> None:
        """Start an exchange for a request that has not been released."""
        handle = self._handles.get(effect.request_id)
        if handle is None:
            _LOGGER.error("send_without_request", request_id=effect.request_id)
            return
        self.exchanges.send(effect, handle)

    async def _write_snapshot(self, effect: WriteSnapshot) -> None:
        """Serialise a state in a thread, because a large state takes long."""
        name = self.state.me.entry_host
        parts = await anyio.to_thread.run_sync(split_state, effect.fleet, name)
        self.dispatch(SnapshotSplit(now_ms(), parts))

    def _reply_problem(self, effect: ReplyProblem) -> None:
        """Answer a request or a management call with a problem."""
        handle = self._handles.get(effect.request_id)
        if handle is not None:
            handle.resolve(effect.problem)
            return
        self._resolve_call(effect.request_id, effect.problem)

    def _reply_replay(self, effect: ReplyReplay) -> None:
        """Answer a request with the stored answer of an earlier run."""
        handle = self._handles.get(effect.request_id)
        if handle is None:
            return
        handle.resolve(make_replay(effect.status, effect.content_type, effect.body))

    def _resolve_call(self, request_id: str, reply: ReplyAccepted | Problem) -> None:
        """Answer a management call with its verdict."""
        call = self._pending_calls.get(request_id)
        if call is not None:
            call.resolve(reply)


def _write_log_line(effect: LogEvent) -> None:
    """Write a line from the core to the process log."""
    log = getattr(_LOGGER, effect.level)
    log(effect.event, **dict(effect.fields))
