"""Idle entry hosts in virtual time: the whole core, a log, and agents that answer.

The processor time of every reduction is measured. Nothing is sent; messages are encoded
and decoded only to count their bytes and to measure the cost of the codec.
"""

import heapq
import time
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.slopes.fleets import START_WALL_MS, Builder, host_name, worker_info
from courselead.core import outbox
from courselead.core.effects import Append, CallAgent, Effect, SendPeer
from courselead.core.events import (
    AgentAnswered,
    AgentOp,
    AgentReport,
    AppendEnded,
    AppendResult,
    BatchesRead,
    Event,
    LogReachable,
    MembersListed,
    PeerReported,
    Tick,
)
from courselead.core.fleet.codec import decode_batch, encode_batch
from courselead.core.fleet.records import Batch, Record
from courselead.core.fleet.state import FleetState
from courselead.core.identity import Identity
from courselead.core.outbox import OutboxState
from courselead.core.reducer import CoreState, reduce
from courselead.core.requests.settle import is_drained
from courselead.daemon.main import IDLE_TICK_FACTOR
from courselead.integrations.peers.codec import FrameDecoder, encode

TICK_MS = 50
LIST_INTERVAL_MS = 1_000
LOG_LATENCY_MS = 3
PEER_LATENCY_MS = 1
AGENT_LATENCY_MS = 2
NS_PER_S = 1_000_000_000


@dataclass(slots=True)
class Costs:
    """Costs of a run, summed over all hosts.

    Attributes:
        total_ns: Processor time by kind of work.
        max_ns: Longest single item of each kind of work.
        count: Number of items of each kind of work.
        sent_bytes: Bytes that were sent or read, by kind of message.
        records: Number of appended records by kind.
    """

    total_ns: Counter[str] = field(default_factory=Counter)
    max_ns: Counter[str] = field(default_factory=Counter)
    count: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    records: Counter[str] = field(default_factory=Counter)

    def add(self, name: str, took_ns: int) -> None:
        """Add one item of work."""
        self.total_ns[name] += took_ns
        self.count[name] += 1
        self.max_ns[name] = max(self.max_ns[name], took_ns)


@dataclass(slots=True)
class Cluster:
    """Entry hosts that start from the same shared state."""

    builder: Builder
    states: list[CoreState]
    wall_start_ms: int = START_WALL_MS
    now_ms: int = 0
    costs: Costs = field(default_factory=Costs)
    _offset: int = 0
    _event_count: int = 0
    _events: list[tuple[int, int, int, Event]] = field(default_factory=list)

    @classmethod
    def from_builder(cls, builder: Builder, wall_from_ms: int) -> "Cluster":
        """Return a cluster whose hosts have all joined and can reach the log."""
        fleet = builder.fleet
        states = [_host_state(fleet, index) for index in range(builder.size.hosts)]
        cluster = cls(builder, states, wall_from_ms)
        cluster._offset = fleet.offset
        for index in range(len(states)):
            # The ticks of different hosts are not aligned.
            phase_ms = index * 7 % TICK_MS
            cluster._schedule(index, LogReachable(0, True), 0)
            cluster._schedule(index, cluster._tick(phase_ms), phase_ms)
            cluster._schedule(index, cluster._members_listed(phase_ms), phase_ms + 100)
        return cluster

    def run(self, until_ms: int) -> None:
        """Advance virtual time to `until_ms`."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, index, event = heapq.heappop(self._events)
            self._handle(index, event)
        self.now_ms = until_ms

    def batch_of(self, index: int, *records: Record) -> Batch:
        """Return records as the next batch of a host."""
        state = self.states[index]
        name = state.me.entry_host
        seq = state.fleet.hosts[name].last_seq + 1
        wall_ms = self.wall_start_ms + self.now_ms
        return Batch(name, state.me.incarnation, seq, wall_ms, -1, records)

    def reset_costs(self) -> None:
        """Reset the costs."""
        self.costs = Costs()

    def _handle(self, index: int, event: Event) -> None:
        """Reduce an event on a host and perform its effects."""
        start = time.process_time_ns()
        state, effects = reduce(self.states[index], event)
        took_ns = time.process_time_ns() - start
        self.states[index] = state
        self.costs.add(type(event).__name__, took_ns)
        for effect in effects:
            self._perform(index, effect)
        if isinstance(event, Tick):
            delay_ms = self._tick_delay_ms(index)
            self._schedule(index, self._tick(self.now_ms + delay_ms), delay_ms)
        if isinstance(event, MembersListed):
            self._schedule(
                index,
                self._members_listed(self.now_ms + LIST_INTERVAL_MS),
                LIST_INTERVAL_MS,
            )

    def _tick_delay_ms(self, index: int) -> int:
        """Return the time until a host's next tick, as the daemon computes it."""
        state = self.states[index]
        busy = not is_drained(state.requests) or not outbox.is_idle(state.outbox)
        return TICK_MS if busy else TICK_MS * IDLE_TICK_FACTOR

    def _perform(self, index: int, effect: Effect) -> None:
        """Schedule the response of the log, a peer or an agent."""
        if isinstance(effect, Append):
            self._append(index, effect)
        elif isinstance(effect, SendPeer):
            self._send_peer(effect)
        elif isinstance(effect, CallAgent):
            self._call_agent(index, effect)

    def _append(self, index: int, effect: Append) -> None:
        """Store a batch and deliver it to every host."""
        start = time.process_time_ns()
        data = encode_batch(effect.batch)
        self.costs.add("encode batch", time.process_time_ns() - start)
        self._offset += 1
        self.costs.sent_bytes["log append"] += len(data)
        for record in effect.batch.records:
            self.costs.records[type(record).__name__] += 1
        at_ms = self.now_ms + LOG_LATENCY_MS
        ended = AppendEnded(at_ms, effect.batch.seq, AppendResult.STORED, self._offset)
        self._schedule(index, ended, LOG_LATENCY_MS)
        for reader in range(len(self.states)):
            start = time.process_time_ns()
            batch = decode_batch(data).unwrap()
            self.costs.add("decode batch", time.process_time_ns() - start)
            self.costs.sent_bytes["log read"] += len(data)
            read = BatchesRead(at_ms, ((self._offset, batch),))
            self._schedule(reader, read, LOG_LATENCY_MS)

    def _send_peer(self, effect: SendPeer) -> None:
        """Deliver a report to a peer."""
        start = time.process_time_ns()
        data = encode(effect.report)
        self.costs.add("encode report", time.process_time_ns() - start)
        self.costs.sent_bytes["peer report"] += len(data)
        start = time.process_time_ns()
        report = FrameDecoder().feed(data)[0]
        self.costs.add("decode report", time.process_time_ns() - start)
        receiver = int(effect.entry_host.rpartition("-")[2])
        event = PeerReported(self.now_ms + PEER_LATENCY_MS, report)
        self._schedule(receiver, event, PEER_LATENCY_MS)

    def _call_agent(self, index: int, effect: CallAgent) -> None:
        """Let an agent answer; its report says that the minion serves."""
        self.costs.count[f"agent {effect.op}"] += 1
        worker = self.states[index].fleet.workers[effect.worker]
        report = None
        if effect.op is AgentOp.STATE:
            service = worker.pool.partition("/")[2]
            report = AgentReport(
                effect.epoch,
                "serving" if service else "",
                service,
                worker.minion_address,
                0,
                False,
                1,
                (),
            )
        at_ms = self.now_ms + AGENT_LATENCY_MS
        answered = AgentAnswered(
            now_ms=at_ms,
            wall_ms=self.wall_start_ms + at_ms,
            worker=effect.worker,
            op=effect.op,
            epoch=effect.epoch,
            report=report,
            address=worker.minion_address,
        )
        self._schedule(index, answered, AGENT_LATENCY_MS)

    def _tick(self, at_ms: int) -> Tick:
        return Tick(at_ms, self.wall_start_ms + at_ms)

    def _members_listed(self, at_ms: int) -> MembersListed:
        """Return the membership list as new objects, as the daemon does."""
        size = self.builder.size
        workers = tuple(worker_info(size, number) for number in range(size.workers))
        return MembersListed(at_ms, 1, workers, (), ())

    def _schedule(self, index: int, event: Event, delay_ms: int) -> None:
        """Schedule an event for a host after a delay."""
        self._event_count += 1
        item = (self.now_ms + delay_ms, self._event_count, index, event)
        heapq.heappush(self._events, item)


def _host_state(fleet: FleetState, index: int) -> CoreState:
    """Return the core state of a host that has joined a fleet."""
    name = host_name(index)
    host = fleet.hosts[name]
    me = Identity(name, 1, host.availability_zone, host.peer_address, 1_000 + index)
    return CoreState(me=me, fleet=fleet, outbox=OutboxState(next_seq=host.last_seq + 1))
