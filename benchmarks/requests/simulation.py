"""Simulates entry hosts, minions and callers in virtual time.

Each entry host runs the complete core.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from benchmarks.requests.minions import FAILURE_DELAY_MS, SLOTS, Minion
from benchmarks.slopes.fleets import START_WALL_MS, Builder, host_name
from courselead.core.effects import (
    Abort,
    Append,
    Effect,
    ReplyProblem,
    ReplyReplay,
    Send,
    SendPeer,
)
from courselead.core.events import (
    AnswerEnded,
    AnswerStarted,
    AppendEnded,
    AppendResult,
    BatchesRead,
    Event,
    LogReachable,
    NotRunReason,
    PeerReachable,
    PeerReported,
    RequestArrived,
    SendNotRun,
    Tick,
)
from courselead.core.fleet.records import Batch
from courselead.core.identity import Identity
from courselead.core.operations.state import OperationsConfig, OperationsState
from courselead.core.outbox import OutboxState
from courselead.core.reducer import CoreState, reduce
from courselead.core.requests.policies import Policies
from courselead.core.requests.state import RequestsState
from courselead.core.table import RequestClass

TICK_INTERVAL_MS = 50
LOG_DELAY_MS = 3
PEER_DELAY_MS = 1
SAME_ZONE_DELAY_MS = 1
CROSS_ZONE_DELAY_MS = 2
CONNECT_TIMEOUT_MS = 1_000
STREAM_DETECTION_MS = 100
LOG_DETECTION_MS = 2_000
STATUS_FAILED = 500


@dataclass(slots=True)
class CallerRequest:
    """One request as seen by its caller."""

    host: int
    account: str
    request_class: RequestClass
    at_ms: int
    keyed: bool
    sent_ms: int = -1
    sends: int = 0
    ended_ms: int = -1
    outcome: str = ""
    run_status: str = ""


@dataclass(frozen=True, slots=True)
class Exchange:
    """One send that is in progress."""

    host: int
    send: Send


@dataclass(slots=True)
class Simulation:
    """State of one simulation run.

    Attributes:
        mean_ms: Mean service time.
        count_from_ms: Start of the measurement of minion load.
        dead_hosts: Entry hosts that have died.
        isolated_zones: Zones that cannot reach the other zones and the log.
    """

    builder: Builder
    seed: int
    mean_ms: float
    count_from_ms: int
    states: list[CoreState] = field(default_factory=list)
    minions: dict[str, Minion] = field(default_factory=dict)
    requests: dict[str, CallerRequest] = field(default_factory=dict)
    now_ms: int = 0
    dead_hosts: set[int] = field(default_factory=set)
    isolated_zones: set[str] = field(default_factory=set)
    log_down: bool = False
    _log: list[tuple[int, Batch]] = field(default_factory=list)
    _read_positions: dict[int, int] = field(default_factory=dict)
    _open_exchanges: dict[str, Exchange] = field(default_factory=dict)
    _sent_to_minion: set[str] = field(default_factory=set)
    _event_queue: list[tuple[int, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _sequence: int = 0
    _request_count: int = 0

    @classmethod
    def from_builder(
        cls,
        builder: Builder,
        policies: Policies,
        seed: int,
        mean_ms: float,
        count_from_ms: int,
    ) -> "Simulation":
        """Return a simulation with no requests yet."""
        simulation = cls(builder, seed, mean_ms, count_from_ms)
        fleet = builder.fleet
        for worker in fleet.workers.values():
            minion = Minion(worker.worker, worker.availability_zone)
            minion.seed_rng(f"{seed}:{worker.worker}")
            simulation.minions[worker.worker] = minion
        for index in range(builder.size.hosts):
            simulation.states.append(_member_state(builder, index, policies))
            simulation._read_positions[index] = 0
            simulation.handle_event(index, LogReachable(0, True))
            simulation.schedule(
                index * 7 % TICK_INTERVAL_MS,
                lambda index=index: simulation._tick(index),
            )
        return simulation

    # --- time --------------------------------------------------------------

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._sequence += 1
        heapq.heappush(
            self._event_queue, (self.now_ms + delay_ms, self._sequence, action)
        )

    def run(self, until_ms: int) -> None:
        """Run all actions that are due until a time."""
        while self._event_queue and self._event_queue[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._event_queue)
            action()
        self.now_ms = until_ms

    # --- operations for scenarios -------------------------------------------

    def submit_request(
        self,
        host: int,
        pool: str,
        request_class: RequestClass,
        deadline_ms: int,
        keyed: bool = False,
    ) -> None:
        """Submit a request to an entry host."""
        self._request_count += 1
        request_id = f"{self._request_count:08x}"
        account, _, service = pool.partition("/")
        request = CallerRequest(host, account, request_class, self.now_ms, keyed)
        self.requests[request_id] = request
        if host in self.dead_hosts:
            self._record_outcome(request_id, "dead host")
            return
        event = RequestArrived(
            now_ms=self.now_ms,
            request_id=request_id,
            client_account=account,
            service=service,
            request_class=request_class,
            idempotent=not keyed,
            key=request_id if keyed else "",
            fingerprint="f",
            deadline_ms=self.now_ms + deadline_ms,
            body_bytes=0,
        )
        self.handle_event(host, event)

    def kill_host(self, host: int) -> None:
        """Kill an entry host; the connections of its callers break."""
        self.dead_hosts.add(host)
        for request_id, request in self.requests.items():
            if request.host == host and not request.outcome:
                self._record_outcome(request_id, "dead host")
        self._set_streams(lambda other: other == host, False)

    def isolate_zone(self, zone: str) -> None:
        """Cut the connections of a zone to the other zones and to the log."""
        self.isolated_zones.add(zone)
        self._set_streams(lambda other: self._zone(other) == zone, False)
        for host in self._in_zone(zone):
            event = LogReachable(self.now_ms + LOG_DETECTION_MS, False)
            self.schedule(
                LOG_DETECTION_MS,
                lambda host=host, event=event: self.handle_event(host, event),
            )

    def reconnect_zone(self, zone: str) -> None:
        """Restore the connections of a zone."""
        self.isolated_zones.discard(zone)
        self._set_streams(lambda other: self._zone(other) == zone, True)
        for host in self._in_zone(zone):
            self._read_log(host)
            self.handle_event(host, LogReachable(self.now_ms, True))

    def set_log_available(self, up: bool) -> None:
        """Make the log available or unavailable."""
        self.log_down = not up
        for host in range(len(self.states)):
            delay_ms = LOG_DELAY_MS if up else LOG_DETECTION_MS
            event = LogReachable(self.now_ms + delay_ms, up)
            self.schedule(
                delay_ms, lambda host=host, event=event: self.handle_event(host, event)
            )

    # --- entry hosts -----------------------------------------------------------

    def handle_event(self, host: int, event: Event) -> None:
        """Reduce an event on an entry host and perform the resulting effects."""
        if host in self.dead_hosts:
            return
        if event.now_ms < self.now_ms:
            event = replace(event, now_ms=self.now_ms)
        self.states[host], effects = reduce(self.states[host], event)
        for effect in effects:
            self._perform(host, effect)

    def _tick(self, host: int) -> None:
        """Send a periodic tick to an entry host."""
        if host in self.dead_hosts:
            return
        self.handle_event(host, Tick(self.now_ms, START_WALL_MS + self.now_ms))
        self.schedule(TICK_INTERVAL_MS, lambda: self._tick(host))

    def _perform(self, host: int, effect: Effect) -> None:
        """Perform one effect.

        Calls to agents are ignored: missing answers do not affect requests.
        """
        if isinstance(effect, Send):
            self._send(host, effect)
        elif isinstance(effect, Abort):
            self._abort(effect)
        elif isinstance(effect, ReplyProblem):
            problem = effect.problem
            self._record_outcome(effect.request_id, str(problem.kind), str(problem.run))
        elif isinstance(effect, ReplyReplay):
            self._record_outcome(effect.request_id, "replayed")
        elif isinstance(effect, SendPeer):
            self._deliver_report(host, effect)
        elif isinstance(effect, Append):
            self._append(host, effect)

    def _deliver_report(self, host: int, effect: SendPeer) -> None:
        """Deliver a report to a peer."""
        peer = int(effect.entry_host.rpartition("-")[2])
        if self._unreachable(self._zone(host), self._zone(peer)):
            return
        event = PeerReported(self.now_ms + PEER_DELAY_MS, effect.report)
        self.schedule(PEER_DELAY_MS, lambda: self.handle_event(peer, event))

    def _append(self, host: int, effect: Append) -> None:
        """Store a batch and schedule its read by all hosts."""
        seq = effect.batch.seq
        if self.log_down or self._zone(host) in self.isolated_zones:
            ended = AppendEnded(
                self.now_ms + LOG_DELAY_MS, seq, AppendResult.NOT_STORED
            )
            self.schedule(LOG_DELAY_MS, lambda: self.handle_event(host, ended))
            return
        offset = self.builder.fleet.offset + len(self._log) + 1
        self._log.append((offset, effect.batch))
        ended = AppendEnded(
            self.now_ms + LOG_DELAY_MS, seq, AppendResult.STORED, offset
        )
        self.schedule(LOG_DELAY_MS, lambda: self.handle_event(host, ended))
        for reader in range(len(self.states)):
            self.schedule(LOG_DELAY_MS, lambda reader=reader: self._read_log(reader))

    def _read_log(self, host: int) -> None:
        """Deliver the unread batches to a host that can reach the log."""
        if self.log_down or self._zone(host) in self.isolated_zones:
            return
        batches = tuple(self._log[self._read_positions[host] :])
        if batches:
            self._read_positions[host] = len(self._log)
            self.handle_event(host, BatchesRead(self.now_ms, batches))

    def _set_streams(self, is_endpoint: Callable[[int], bool], up: bool) -> None:
        """Open or break the streams between the selected hosts and all others."""
        hosts = range(len(self.states))
        pairs = [
            (a, b) for a in hosts for b in hosts if is_endpoint(a) != is_endpoint(b)
        ]
        for host, peer in pairs:
            event = PeerReachable(
                self.now_ms + STREAM_DETECTION_MS, host_name(peer), up
            )
            self.schedule(
                STREAM_DETECTION_MS,
                lambda host=host, event=event: self.handle_event(host, event),
            )

    # --- exchanges -------------------------------------------------------------

    def _send(self, host: int, send: Send) -> None:
        """Send a request to a minion."""
        request = self.requests[send.request_id]
        request.sends += 1
        if request.sent_ms < 0:
            request.sent_ms = self.now_ms
        exchange = Exchange(host, send)
        self._open_exchanges[send.request_id] = exchange
        minion = self.minions[send.worker]
        zone = self._zone(host)
        if self._unreachable(zone, minion.zone):
            self.schedule(
                CONNECT_TIMEOUT_MS, lambda: self._deliver_not_run(exchange, False)
            )
            return
        minion.record_send(1, self.now_ms, self.count_from_ms)
        self._sent_to_minion.add(send.request_id)
        delay_ms = SAME_ZONE_DELAY_MS if zone == minion.zone else CROSS_ZONE_DELAY_MS
        self.schedule(
            delay_ms, lambda: self._start_on_minion(exchange, minion, delay_ms)
        )

    def _start_on_minion(
        self, exchange: Exchange, minion: Minion, delay_ms: int
    ) -> None:
        """Start a request on a minion, which fails or refuses it if it has to."""
        if minion.failing:
            self.schedule(
                FAILURE_DELAY_MS, lambda: self._deliver_answer(exchange, STATUS_FAILED)
            )
            return
        if minion.running >= SLOTS:
            minion.refused += 1
            self.schedule(delay_ms, lambda: self._deliver_not_run(exchange, True))
            return
        minion.running += 1
        took_ms = minion.draw_service_ms(self.mean_ms)
        self.schedule(
            took_ms, lambda: self._finish_on_minion(exchange, minion, delay_ms)
        )

    def _finish_on_minion(
        self, exchange: Exchange, minion: Minion, delay_ms: int
    ) -> None:
        """Finish a request on a minion, even if the exchange is already closed."""
        minion.running -= 1
        self.schedule(delay_ms, lambda: self._deliver_answer(exchange, 200))

    def _deliver_answer(self, exchange: Exchange, status: int) -> None:
        """Deliver an answer to the entry host and record it for the caller."""
        minion = self.minions[exchange.send.worker]
        if self._unreachable(self._zone(exchange.host), minion.zone):
            # The answer is lost; the deadline ends the exchange.
            self._count_send_end(exchange)
            return
        if not self._close_exchange(exchange):
            return
        send = exchange.send
        at = (self.now_ms, send.request_id, send.attempt, status)
        self.handle_event(exchange.host, AnswerStarted(*at))
        self.handle_event(exchange.host, AnswerEnded(*at))
        self._record_outcome(send.request_id, "served" if status == 200 else "failed")

    def _deliver_not_run(self, exchange: Exchange, full: bool) -> None:
        """Tell an entry host that the request was not run."""
        if not self._close_exchange(exchange):
            return
        send = exchange.send
        reason = NotRunReason.FULL if full else NotRunReason.REFUSED
        event = SendNotRun(self.now_ms, send.request_id, send.attempt, reason)
        self.handle_event(exchange.host, event)

    def _abort(self, effect: Abort) -> None:
        """Close an exchange; the minion still finishes the request."""
        exchange = self._open_exchanges.get(effect.request_id)
        if exchange is not None and exchange.send.attempt == effect.attempt:
            self._close_exchange(exchange)

    def _close_exchange(self, exchange: Exchange) -> bool:
        """Close an exchange and return whether it was still open."""
        send = exchange.send
        if self._open_exchanges.get(send.request_id) is not exchange:
            return False
        del self._open_exchanges[send.request_id]
        self._count_send_end(exchange)
        return True

    def _count_send_end(self, exchange: Exchange) -> None:
        """Decrement the outstanding sends of the minion, once for each send."""
        send = exchange.send
        if self._open_exchanges.get(send.request_id, exchange) is not exchange:
            return
        if send.request_id not in self._sent_to_minion:
            return
        self._sent_to_minion.discard(send.request_id)
        minion = self.minions[send.worker]
        minion.record_send(-1, self.now_ms, self.count_from_ms)

    def _record_outcome(
        self, request_id: str, outcome: str, run_status: str = ""
    ) -> None:
        """Record the first outcome that the caller sees."""
        request = self.requests[request_id]
        if request.outcome:
            return
        request.outcome = outcome
        request.run_status = run_status
        request.ended_ms = self.now_ms

    # --- zones -----------------------------------------------------------------

    def _zone(self, host: int) -> str:
        return self.states[host].me.availability_zone

    def _in_zone(self, zone: str) -> list[int]:
        return [host for host in range(len(self.states)) if self._zone(host) == zone]

    def _unreachable(self, zone: str, other: str) -> bool:
        """Return whether two zones cannot reach each other."""
        return zone != other and bool({zone, other} & self.isolated_zones)


def _member_state(builder: Builder, index: int, policies: Policies) -> CoreState:
    """Return the initial state of an entry host that has joined the fleet."""
    fleet = builder.fleet
    name = host_name(index)
    host = fleet.hosts[name]
    me = Identity(name, 1, host.availability_zone, host.peer_address, 1_000 + index)
    operations = OperationsState(cfg=OperationsConfig(maintain=False))
    return CoreState(
        me=me,
        fleet=fleet,
        outbox=OutboxState(next_seq=host.last_seq + 1),
        requests=RequestsState.from_policies(policies),
        operations=operations,
    )
