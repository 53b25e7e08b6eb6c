"""Simulated entry host that drives the core like the daemon does.

A frozen host handles no events, while time passes and its calls in progress go on.
Effects that are pending when the host freezes are performed after it thaws, like a
process that is paused between a check and a send.
"""

from collections.abc import Callable
from functools import partial

from courselead.core import reducer
from courselead.core.effects import (
    Abort,
    Append,
    CallAgent,
    Effect,
    Left,
    LogEvent,
    Propose,
    RecordMetric,
    ReplyAccepted,
    ReplyProblem,
    ReplyReplay,
    Send,
    SendPeer,
    WriteSnapshot,
)
from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    AppendEnded,
    BatchesRead,
    Event,
    LeaveAsked,
    LogReachable,
    MembersListed,
    PeerReachable,
    PeerReported,
    SnapshotLoaded,
    SnapshotSplit,
    Tick,
)
from courselead.core.fleet.snapshot import split_state
from courselead.core.identity import Identity
from courselead.core.operations.state import OperationsConfig, OperationsState
from courselead.core.presence import PresenceState
from courselead.core.reducer import CoreState
from courselead.core.snapshots import SnapshotsState
from harness.exchange import Exchange

TICK_MS = 100
PULL_PERIOD_MS = 150
LIST_PERIOD_MS = 1_000
AGENT_TIMEOUT_MS = 600
STREAM_CHECK_PERIOD_MS = 300
BEAT_MS = 400
LOST_AFTER_MS = 2_500
SNAPSHOT_EVERY = 150
OPERATIONS = OperationsConfig(
    poll_interval_ms=400, down_after_ms=1_200, gone_after_ms=2_000
)
# Handled within the reduction, or only recorded: no fault can strike in between.
NON_STEP_EFFECTS = (Propose, RecordMetric, LogEvent)
EventFactory = Callable[[int], Event | None]


class SimHost:
    """An entry host that can be killed, frozen, thawed and disconnected.

    Attributes:
        alive: Whether the process runs.
        frozen: Whether it runs but handles no events.
        connected_since_ms: Since when it has run and reached the platform without
            interruption.
        thawed_at_ms: When it was last thawed, -1 if never.
    """

    def __init__(self, world: object, name: str, zone: str, seed: int) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.seed = seed
        self.state: CoreState | None = None
        self.alive = False
        self.frozen = False
        self.process_number = 0
        self.connected_since_ms = 0
        self.thawed_at_ms = -1
        self.lag_ms = 0
        self.exchanges: dict[tuple[str, int], Exchange] = {}
        self._inbox: list[tuple[str, EventFactory, Callable | None]] = []
        self._pending_calls: list[Callable[[], None]] = []
        self._next = 0
        self._log_reachable = False
        self._streams: set[str] = set()
        self._last_arrival_ms: dict[str, int] = {}

    # --- process ------------------------------------------------------------

    def start(self) -> None:
        """Start a new process without any local state."""
        sched = self.world.sched
        self.process_number += 1
        self.alive, self.frozen, self._log_reachable = True, False, False
        self.connected_since_ms = sched.now_ms
        self._inbox, self._pending_calls, self._streams = [], [], set()
        me = Identity(self.name, sched.wall_ms, self.zone, f"{self.name}:1", self.seed)
        self.state = CoreState(
            me=me,
            presence=PresenceState(beat_ms=BEAT_MS, lost_after_ms=LOST_AFTER_MS),
            snapshots=SnapshotsState(interval=SNAPSHOT_EVERY),
            operations=OperationsState(cfg=OPERATIONS),
        )
        self._next = 0
        self.every(TICK_MS, self._tick)
        self.every(PULL_PERIOD_MS, self._pull)
        self.every(LIST_PERIOD_MS, self._read_membership)
        self.every(STREAM_CHECK_PERIOD_MS, self._watch_streams)
        self.later(1, self.load_snapshot)

    def kill(self) -> None:
        """Kill the process; its local state is lost."""
        if not self.alive:
            return
        self.world.note(self.name, "killed")
        self.process_number += 1
        self.alive = self.frozen = False
        self.world.callers.host_gone(self)
        for exchange in tuple(self.exchanges.values()):
            exchange.close()
        self.exchanges = {}

    def freeze(self) -> None:
        """Queue all events until thawed."""
        if self.alive and not self.frozen:
            self.world.note(self.name, "frozen")
            self.frozen = True

    def thaw(self) -> None:
        """Perform the pending effects, then handle the queued events."""
        if not self.frozen:
            return
        self.world.note(self.name, "thawed")
        sched = self.world.sched
        self.frozen = False
        self.thawed_at_ms = self.connected_since_ms = sched.now_ms
        pending_calls, self._pending_calls = self._pending_calls, []
        for call in pending_calls:
            if self.alive:
                call()
        inbox, self._inbox = self._inbox, []
        due: dict[str, int] = {}
        for source, make, on_done in inbox:
            due[source] = due.get(source, 0) + sched.rng.randint(1, 30)
            self.later(due[source], self.deliver, source, make, on_done)

    def later(self, delay_ms: int, call: Callable, *args: object) -> None:
        """Call a function after a delay, if this process still runs by then."""
        self.world.sched.after(
            delay_ms, self._call_if_running, self.process_number, call, args
        )

    def every(self, period_ms: int, call: Callable) -> None:
        """Call a function periodically while this process runs, except while frozen."""

        def turn() -> None:
            if not self.frozen:
                call()
            self.later(period_ms + self.world.sched.rng.randint(0, 4), turn)

        self.later(self.world.sched.rng.randint(0, period_ms), turn)

    def _call_if_running(
        self, process_number: int, call: Callable, args: tuple
    ) -> None:
        if self.alive and process_number == self.process_number:
            call(*args)

    # --- events -------------------------------------------------------------

    def deliver(
        self, source: str, make: EventFactory, on_done: Callable[[], None] | None = None
    ) -> None:
        """Deliver an event to the core, now or after the thaw.

        Args:
            source: Events of one source stay in order.
            make: Creates the event for the time at which it is handled, or None.
            on_done: Called once the event's effects have been performed.
        """
        if not self.alive:
            return
        if self.frozen:
            self._inbox.append((source, make, on_done))
            return
        event = make(self.world.sched.now_ms)
        if event is not None:
            self._handle_event(event, on_done)

    def _handle_event(self, event: Event, on_done: Callable[[], None] | None) -> None:
        """Reduce one event and perform its effects."""
        kind = type(event).__name__
        process_number = self.process_number
        self.world.step(self, f"event:{kind}", "before")
        if process_number != self.process_number:
            return
        if self.frozen:
            # The time of the event is that of before the freeze.
            self._pending_calls.append(partial(self._handle_event, event, on_done))
            return
        before = self.state
        self.state, effects = reducer.reduce(before, event)
        self.world.checks.check_state(self, before)
        if isinstance(event, MembersListed):
            self.world.checks.note_listing(self, event)
        records = {type(item.record).__name__ for item in self.state.applied}
        for name in sorted(records):
            self.world.step(self, f"record:{name}", "after")
        self.world.step(self, f"event:{kind}", "after")
        calls = [partial(self._perform, effect) for effect in effects]
        if on_done is not None:
            calls.append(on_done)
        for index, call in enumerate(calls):
            name = step_name(effects[index]) if index < len(effects) else ""
            if name and process_number == self.process_number and not self.frozen:
                self.world.step(self, name, "before")
            if process_number != self.process_number:
                return
            if self.frozen:
                self._pending_calls.extend(calls[index:])
                return
            call()
            if name:
                self.world.step(self, name, "after")

    def _tick(self) -> None:
        wall_ms = self.world.sched.wall_ms
        self.deliver("tick", lambda now_ms: Tick(now_ms, wall_ms))

    def leave(self) -> None:
        """Deliver the request to leave the fleet in order."""
        self.deliver("signal", LeaveAsked)

    # --- log and membership list --------------------------------------------

    def load_snapshot(self) -> None:
        """Load the newest snapshot, like the daemon does after a gap in the log."""
        if self.frozen or not self.world.net.reaches_platform(self.name):
            self.later(PULL_PERIOD_MS, self.load_snapshot)
            return
        fleet = self.world.log.start_state()
        self._next = fleet.offset + 1
        self._set_log_reachable(False)
        self.deliver("log", lambda now_ms: SnapshotLoaded(now_ms, fleet))

    def wake(self) -> None:
        """Schedule a read of the log after an append."""
        if self.alive and self.world.net.reaches_platform(self.name):
            delay = self.world.net.delay_ms(self.name) + self.lag_ms
            self.later(delay, self._pull)

    def _pull(self) -> None:
        if self.frozen:
            return
        if not self.world.net.reaches_platform(self.name):
            self._set_log_reachable(False)
            return
        while True:
            batches = self.world.log.read(self._next)
            if not batches:
                break
            self._next = batches[-1][0] + 1
            process_number = self.process_number
            self.deliver("log", lambda now_ms, b=batches: BatchesRead(now_ms, b))
            if process_number != self.process_number or self.frozen:
                return
        self._set_log_reachable(True)

    def _set_log_reachable(self, up: bool) -> None:
        if up is self._log_reachable:
            return
        self._log_reachable = up
        self.deliver("log", lambda now_ms: LogReachable(now_ms, up))

    def _read_membership(self) -> None:
        if self.world.net.reaches_platform(self.name):
            self.deliver("list", self.world.membership.event)

    # --- peers --------------------------------------------------------------

    def _watch_streams(self) -> None:
        """Report streams to peers that opened or broke."""
        for peer in self.world.hosts.values():
            if peer is self:
                continue
            up = peer.alive and self.world.net.zones_connected(self.zone, peer.zone)
            if up is (peer.name in self._streams):
                continue
            self._streams ^= {peer.name}
            name = peer.name
            self.deliver(
                f"peer:{name}",
                lambda now_ms, n=name, u=up: PeerReachable(now_ms, n, u),
            )

    def _send_peer(self, effect: SendPeer) -> None:
        peer = self.world.hosts.get(effect.entry_host)
        if peer is None or not self.world.net.zones_connected(self.zone, peer.zone):
            return
        delay = self.world.net.delay_ms(self.name)
        at_ms = self.world.sched.now_ms + delay
        at_ms = max(at_ms, self._last_arrival_ms.get(peer.name, 0))
        self._last_arrival_ms[peer.name] = at_ms
        report = effect.report
        peer.later(
            at_ms - self.world.sched.now_ms,
            peer.deliver,
            f"peer:{self.name}",
            lambda now_ms: PeerReported(now_ms, report),
        )

    # --- effects ------------------------------------------------------------

    def _perform(self, effect: Effect) -> None:
        """Perform one effect."""
        match effect:
            case Send():
                exchange = Exchange(self.world, self, effect)
                self.exchanges[(effect.request_id, effect.attempt)] = exchange
                exchange.begin()
            case Abort():
                key = (effect.request_id, effect.attempt)
                exchange = self.exchanges.pop(key, None)
                if exchange is not None:
                    exchange.abort()
            case ReplyProblem() | ReplyReplay() | ReplyAccepted():
                self.world.callers.reply(self, effect)
            case Append():
                self._append(effect)
            case SendPeer():
                self._send_peer(effect)
            case CallAgent():
                self._call(effect)
            case WriteSnapshot():
                self._split(effect)
            case Left():
                self.kill()

    def _split(self, effect: WriteSnapshot) -> None:
        """Serialize a state, with the delay that this takes."""
        parts = split_state(effect.fleet, self.name)
        delay = self.world.sched.rng.randint(1, 200)
        args = ("split", lambda now_ms: SnapshotSplit(now_ms, parts))
        self.later(delay, self.deliver, *args)

    def _append(self, effect: Append) -> None:
        seq = effect.batch.seq
        process_number = self.process_number

        def done(result: object) -> None:
            self._call_if_running(
                process_number,
                self.deliver,
                ("append", lambda now_ms: AppendEnded(now_ms, seq, result)),
            )

        self.world.log.append(self.name, effect.batch, done)

    def _call(self, call: CallAgent) -> None:
        delay = self.world.net.delay_ms(self.name)
        self.world.sched.after(delay, self._deliver_call, self.process_number, call)

    def _deliver_call(self, process_number: int, call: CallAgent) -> None:
        """Deliver a call to an agent, even if the calling process has ended."""
        worker = self.world.workers[call.worker]
        zones_connected = self.world.net.zones_connected(
            self.zone, worker.info.availability_zone
        )
        if not worker.answers or not zones_connected:
            self._fail_call(process_number, call, unknown=False)
            return
        parts = worker.call(call)
        if self.world.net.loses(self.name):
            self._fail_call(process_number, call, unknown=True)
            return
        delay = self.world.net.delay_ms(self.name)
        wall_ms = self.world.sched.wall_ms
        source = f"agent:{call.worker}"

        def make(now_ms: int) -> Event:
            return AgentAnswered(
                now_ms,
                wall_ms,
                call.worker,
                call.op,
                call.epoch,
                job_id=call.job_id,
                **parts,
            )

        args = (process_number, self.deliver, (source, make))
        self.world.sched.after(delay, self._call_if_running, *args)

    def _fail_call(self, process_number: int, call: CallAgent, unknown: bool) -> None:
        def make(now_ms: int) -> Event:
            return AgentFailed(
                now_ms, call.worker, call.op, call.epoch, unknown, call.job_id
            )

        args = (process_number, self.deliver, (f"agent:{call.worker}", make))
        self.world.sched.after(AGENT_TIMEOUT_MS, self._call_if_running, *args)


def step_name(effect: Effect) -> str:
    """Return the step name of an effect, "" if it is not a step."""
    if isinstance(effect, NON_STEP_EFFECTS):
        return ""
    if isinstance(effect, CallAgent):
        return f"effect:CallAgent:{effect.op}"
    return f"effect:{type(effect).__name__}"
