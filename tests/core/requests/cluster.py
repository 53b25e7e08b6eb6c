"""Several entry hosts that share a log and exchange reports, in virtual time."""

from collections import Counter
from dataclasses import dataclass, field, replace

from courselead.core.effects import (
    Abort,
    Effect,
    ReplyProblem,
    ReplyReplay,
    RunState,
    Send,
    SendPeer,
)
from courselead.core.events import (
    AnswerBroken,
    AnswerEnded,
    AnswerStarted,
    BatchesRead,
    CallerGone,
    Event,
    NotRunReason,
    PeerReport,
    PeerReported,
    RequestArrived,
    SendNotRun,
    SendUnknown,
    Tick,
)
from courselead.core.fleet.state import FleetState, HostStatus
from courselead.core.requests.settle import settled_offset
from tests.core.requests.fixtures import Host, fleet_of, with_host


@dataclass
class Tale:
    """What was seen of one request, from outside."""

    arrived: RequestArrived
    sends: list[Send] = field(default_factory=list)
    not_run: set[int] = field(default_factory=set)
    unknown: set[int] = field(default_factory=set)
    ended: str = ""


@dataclass
class Cluster:
    """Hosts by name, reports under way, and what was seen of each request."""

    fleet: FleetState
    hosts: dict[str, Host]
    post: list[tuple[str, PeerReport]] = field(default_factory=list)
    tales: dict[str, Tale] = field(default_factory=dict)
    open: dict[tuple[str, str], Send] = field(default_factory=dict)

    @classmethod
    def of(cls, hosts: tuple, **parts: tuple) -> "Cluster":
        fleet = fleet_of(hosts=hosts, **parts)
        members = {
            one.entry_host: Host(fleet, one.entry_host, one.availability_zone)
            for one in hosts
        }
        return cls(fleet, members)

    # --- what happens -----------------------------------------------------

    def feed(self, name: str, event: Event) -> list[Effect]:
        effects = self.hosts[name].feed(event)
        for effect in effects:
            self._see(name, effect)
        return effects

    def arrive(self, name: str, **changes: object) -> str:
        event = self.hosts[name].request(**changes)
        self.tales[event.request_id] = Tale(event)
        self.feed(name, event)
        return event.request_id

    def tick(self, after_ms: int, *names: str) -> None:
        """Let time pass for all; only the named (or all) hosts notice."""
        for host in self.hosts.values():
            host.now_ms += after_ms
        for name in names or tuple(self.hosts):
            now_ms = self.hosts[name].now_ms
            self.feed(name, Tick(now_ms, now_ms))

    def read(self, name: str) -> None:
        """Let a host read the log to its end."""
        host = self.hosts[name]
        host.fleet = self.fleet
        self.feed(name, BatchesRead(host.now_ms, ()))

    def beat(self, name: str) -> None:
        """Let a live host write its heartbeat."""
        host = self.hosts[name]
        known = self.fleet.hosts[name]
        if known.status is not HostStatus.LIVE or known.incarnation != host.incarnation:
            return
        settled = settled_offset(host.state, host.fleet)
        settled = max(settled, known.settled)
        beat = replace(known, applied=host.fleet.offset, settled=settled)
        self.fleet = with_host(self.fleet, beat)

    def settle(self) -> None:
        """Let all hosts read, beat and read again until nothing changes."""
        for _ in range(3):
            for step in (self.read, self.beat):
                for name in self.hosts:
                    step(name)
        for name in self.hosts:
            self.read(name)

    def deliver(self, index: int = 0, lose: bool = False) -> None:
        """Deliver, or lose, a report that is under way."""
        receiver, report = self.post.pop(index)
        if lose:
            return
        now_ms = self.hosts[receiver].now_ms
        self.feed(receiver, PeerReported(now_ms, report))

    def deliver_all(self) -> None:
        while self.post:
            self.deliver()

    def rounds(self, count: int, step_ms: int = 200) -> None:
        """Let time pass with all reports delivered."""
        for _ in range(count):
            self.tick(step_ms)
            self.deliver_all()

    def lose_host(self, name: str) -> None:
        lost = replace(self.fleet.hosts[name], status=HostStatus.LOST)
        self.fleet = with_host(self.fleet, lost)

    def rejoin(self, name: str) -> None:
        host = self.hosts[name]
        host.incarnation += 1
        joined = replace(
            self.fleet.hosts[name],
            status=HostStatus.LIVE,
            incarnation=host.incarnation,
            joined=self.fleet.offset + 1,
            settled=-1,
        )
        self.fleet = with_host(self.fleet, joined)

    # --- what targets and callers do -----------------------------------------

    def answer(self, key: tuple[str, str], status: int = 200) -> None:
        name, request_id = key
        send = self.open.pop(key)
        now_ms = self.hosts[name].now_ms
        self.feed(name, AnswerStarted(now_ms, request_id, send.attempt, status))
        self.feed(name, AnswerEnded(now_ms, request_id, send.attempt, status))
        self._end(request_id, "answered")

    def refuse(self, key: tuple[str, str], reason: NotRunReason) -> None:
        name, request_id = key
        send = self.open.pop(key)
        self.tales[request_id].not_run.add(send.attempt)
        now_ms = self.hosts[name].now_ms
        self.feed(name, SendNotRun(now_ms, request_id, send.attempt, reason))

    def fail(self, key: tuple[str, str]) -> None:
        name, request_id = key
        send = self.open.pop(key)
        self.tales[request_id].unknown.add(send.attempt)
        now_ms = self.hosts[name].now_ms
        self.feed(name, SendUnknown(now_ms, request_id, send.attempt, "reset"))

    def break_off(self, key: tuple[str, str]) -> None:
        name, request_id = key
        send = self.open.pop(key)
        now_ms = self.hosts[name].now_ms
        self.feed(name, AnswerStarted(now_ms, request_id, send.attempt, 200))
        self.feed(name, AnswerBroken(now_ms, request_id, send.attempt, "reset"))
        self._end(request_id, "broken")

    def caller_gone(self, name: str, request_id: str) -> None:
        self._end(request_id, "gone")
        self.feed(name, CallerGone(self.hosts[name].now_ms, request_id))

    # --- what must hold -----------------------------------------------------

    def outstanding(self) -> Counter:
        return Counter(send.worker for send in self.open.values())

    def _see(self, name: str, effect: Effect) -> None:
        if isinstance(effect, SendPeer):
            self.post.append((effect.entry_host, effect.report))
        if isinstance(effect, Send):
            self._see_send(name, effect)
        if isinstance(effect, Abort):
            self.open.pop((name, effect.request_id), None)
        if isinstance(effect, ReplyProblem):
            self._see_problem(effect)
        if isinstance(effect, ReplyReplay):
            self._end(effect.request_id, "replayed")

    def _see_send(self, name: str, send: Send) -> None:
        tale = self.tales[send.request_id]
        assert not tale.ended, "sent after its final outcome"
        assert self.hosts[name].now_ms < tale.arrived.deadline_ms, "sent too late"
        earlier = {one.attempt for one in tale.sends}
        if not tale.arrived.idempotent:
            assert earlier <= tale.not_run, "sent again though it may have run"
        tale.sends.append(send)
        self.open[(name, send.request_id)] = send

    def _see_problem(self, reply: ReplyProblem) -> None:
        tale = self.tales[reply.request_id]
        all_not_run = {one.attempt for one in tale.sends} <= tale.not_run
        if reply.problem.run is RunState.NOT_RUN:
            assert all_not_run, "told not_run though it may have run"
        elif reply.problem.run is RunState.UNKNOWN and not tale.arrived.key:
            assert not all_not_run, "told unknown though it was not run"
        self._end(reply.request_id, "problem")

    def _end(self, request_id: str, how: str) -> None:
        tale = self.tales[request_id]
        assert not tale.ended, f"{request_id} has two final outcomes"
        tale.ended = how
