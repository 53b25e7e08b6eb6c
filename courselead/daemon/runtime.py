"""The daemon's centre: events in, one reducer, effects out.

Events are taken one at a time; an effect that makes an event at once only
queues it, so a reduction never runs inside another.
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
    Measure,
    Metric,
    Note,
    Problem,
    ProblemKind,
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
from courselead.core.fleet.snapshot import split
from courselead.core.reducer import CoreState, reduce
from courselead.daemon.agents import Agents
from courselead.daemon.clock import now_ms
from courselead.daemon.exchanges import Exchanges
from courselead.daemon.handles import Handle, Waiter, replay
from courselead.daemon.watch import InvariantWatch

_LOGGER = structlog.get_logger(__name__)

SHARED_EVENTS = (BatchesRead, SnapshotLoaded)
FAULT_DETAIL = "a fault of the entry host; repeat the request only if it is idempotent"


class Ports(Protocol):
    """What the runtime needs of the rest of the daemon."""

    def append(self, effect: Append) -> None:
        """Append a batch to the log."""
        ...

    def send_peer(self, effect: SendPeer) -> None:
        """Send a report to a peer."""
        ...

    def measure(self, effect: Measure) -> None:
        """Take a measure."""
        ...

    def left(self) -> None:
        """End the daemon: the host has left in order."""
        ...


class Runtime:
    """Holds the core's state and performs its effects."""

    def __init__(self, state: CoreState, tasks: TaskGroup, ports: Ports) -> None:
        """Start from a state; nothing is performed yet.

        Args:
            state: Of the core.
            tasks: Task group for exchanges and calls.
            ports: The rest of the daemon.
        """
        self.state = state
        self.reductions = 0
        self._tasks = tasks
        self._ports = ports
        self._queue: deque[Event] = deque()
        self._running = False
        self._handles: dict[str, Handle] = {}
        self._waiters: dict[str, Waiter] = {}
        self._listeners: list[Callable[[Event], None]] = []
        self.exchanges = Exchanges(tasks, self.dispatch)
        self.agents = Agents(tasks, self.dispatch)
        self._watch = InvariantWatch()

    def dispatch(self, event: Event) -> None:
        """Take in an event, and all that it brings about at once."""
        self._queue.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._queue:
                self._step(self._queue.popleft())
        finally:
            self._running = False

    def listen(self, listener: Callable[[Event], None]) -> None:
        """Have a function called after each event."""
        self._listeners.append(listener)

    def submit(self, handle: Handle, event: RequestArrived) -> None:
        """Take in a caller's request."""
        self._handles[event.request_id] = handle
        self.dispatch(event)

    def ask(self, request_id: str, event: Event) -> Waiter:
        """Take in a call of the management interface."""
        waiter = Waiter()
        self._waiters[request_id] = waiter
        self.dispatch(event)
        return waiter

    def release(self, request_id: str) -> None:
        """Forget a request whose caller has been served or has left."""
        self._handles.pop(request_id, None)
        self._waiters.pop(request_id, None)

    def _step(self, event: Event) -> None:
        """Reduce one event and perform what it asks for."""
        self.reductions += 1
        try:
            self.state, effects = reduce(self.state, event)
        except Exception:
            if isinstance(event, SHARED_EVENTS):
                raise
            self._drop(event)
            return
        for effect in effects:
            self._perform(effect)
        for listener in self._listeners:
            listener(event)
        if isinstance(event, Tick) and self._watch.is_due(event.now_ms):
            self._tasks.start_soon(self._look)

    async def _look(self) -> None:
        """Count what is broken among the core's invariants."""
        for measure in await self._watch.look(self.state):
            self._ports.measure(measure)

    def _drop(self, event: Event) -> None:
        """Go on without a local event that the core failed on.

        The state is as it was before the event. A shared event is another
        matter: a host that skipped one would hold another state than the rest,
        so the daemon ends, and starts anew from the log.
        """
        kind = type(event).__name__
        _LOGGER.exception("event_failed", kind=kind)
        self._ports.measure(Measure(Metric.INVARIANT, 1, label=kind))
        request_id = getattr(event, "request_id", "")
        if not request_id:
            return
        problem = Problem(ProblemKind.OVERLOAD, RunState.UNKNOWN, FAULT_DETAIL)
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
                self._resolve_waiter(effect.request_id, effect)
            case Append():
                self._ports.append(effect)
            case SendPeer():
                self._ports.send_peer(effect)
            case CallAgent():
                self.agents.call(effect)
            case Measure():
                self._ports.measure(effect)
            case Note():
                _note(effect)
            case WriteSnapshot():
                self._tasks.start_soon(self._write_snapshot, effect)
            case Left():
                self._ports.left()

    def _send(self, effect: Send) -> None:
        """Start an exchange for a request that is still here."""
        handle = self._handles.get(effect.request_id)
        if handle is None:
            _LOGGER.error("send_without_request", request_id=effect.request_id)
            return
        self.exchanges.send(effect, handle)

    async def _write_snapshot(self, effect: WriteSnapshot) -> None:
        """Serialise a state in a thread: it takes a while when the state is large."""
        name = self.state.me.entry_host
        parts = await anyio.to_thread.run_sync(split, effect.fleet, name)
        self.dispatch(SnapshotSplit(now_ms(), parts))

    def _reply_problem(self, effect: ReplyProblem) -> None:
        """Give a request or a management call its final answer."""
        handle = self._handles.get(effect.request_id)
        if handle is not None:
            handle.resolve(effect.problem)
            return
        self._resolve_waiter(effect.request_id, effect.problem)

    def _reply_replay(self, effect: ReplyReplay) -> None:
        """Give a request the kept answer of an earlier run."""
        handle = self._handles.get(effect.request_id)
        if handle is None:
            return
        handle.resolve(replay(effect.status, effect.content_type, effect.body))

    def _resolve_waiter(self, request_id: str, reply: ReplyAccepted | Problem) -> None:
        """Give a management call its verdict."""
        waiter = self._waiters.get(request_id)
        if waiter is not None:
            waiter.resolve(reply)


def _note(effect: Note) -> None:
    """Write a line of the core to the log."""
    level = getattr(_LOGGER, effect.level)
    level(effect.event, **dict(effect.fields))
