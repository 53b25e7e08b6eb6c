"""Two hosts and their agents, by a virtual clock, over the real fold."""

from dataclasses import dataclass, field, replace

from courselead.core.effects import CallAgent, Propose
from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    AgentOp,
    AgentReport,
    BatchesRead,
    MembersListed,
    Tick,
)
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.records import (
    Batch,
    HostBeat,
    HostJoined,
    HostLost,
    StopPlanned,
    TablePublished,
    WorkerInfo,
)
from courselead.core.fleet.state import FleetState, WorkerPhase
from courselead.core.operations import invariants
from courselead.core.operations.reducer import reduce
from courselead.core.operations.state import OperationsConfig, OperationsState
from courselead.core.table import AccountRow
from tests.core.operations.build import ctx, row

STEP_MS = 100
REBOOT_MS = 3_000
DRAIN_MS = 1_000
WALL_MS = 1_700_000_000_000


@dataclass
class Agent:
    """An agent by the protocol, with durations."""

    name: str
    epoch: int = 0
    minion: str = ""
    starts: int = 0
    boots: int = 1
    drained_ms: int = -1
    booted_ms: int = -1
    dead: bool = False

    def settle(self, now_ms):
        if self.minion == "stopping" and now_ms >= self.drained_ms:
            self.minion = "stopped"
        if 0 <= self.booted_ms <= now_ms:
            self.booted_ms = -1
            self.boots += 1
            self.minion = ""

    def call(self, call: CallAgent, now_ms: int):
        self.settle(now_ms)
        if self.dead or (self.booted_ms >= 0 and call.op is not AgentOp.STATE):
            return AgentFailed(now_ms, self.name, call.op, call.epoch, False)
        given = {}
        if call.op is AgentOp.STATE:
            given["report"] = AgentReport(
                self.epoch,
                self.minion,
                "web",
                f"{self.name}:{self.starts}",
                0,
                self.booted_ms >= 0,
                self.boots,
                (),
            )
        elif call.epoch < self.epoch:
            given["refused"] = "stale_epoch"
        else:
            self.epoch = call.epoch
            given |= self.act(call.op, now_ms)
        wall_ms = WALL_MS + now_ms
        return AgentAnswered(now_ms, wall_ms, self.name, call.op, call.epoch, **given)

    def act(self, op, now_ms):
        if op is AgentOp.START_MINION:
            if self.minion == "stopping":
                return {"refused": "busy"}
            if self.minion != "serving":
                self.starts += 1
            self.minion = "serving"
            return {"address": f"{self.name}:{self.starts}"}
        if op is AgentOp.STOP_MINION and self.minion == "serving":
            self.minion = "stopping"
            self.drained_ms = now_ms + DRAIN_MS
        if op is AgentOp.REBOOT:
            if self.minion in ("serving", "stopping"):
                return {"refused": "busy"}
            self.booted_ms = now_ms + REBOOT_MS
        return {}


@dataclass
class Cluster:
    """Hosts over one log that is read at once."""

    hosts: dict[str, OperationsState]
    agents: dict[str, Agent]
    fleet: FleetState = field(default_factory=FleetState)
    now_ms: int = 0
    seqs: dict[str, int] = field(default_factory=dict)
    refused: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    silent: set = field(default_factory=set)

    def append(self, name, *records):
        self.seqs[name] = self.seqs.get(name, 0) + 1
        batch = Batch(name, 1, self.seqs[name], WALL_MS + self.now_ms, -1, records)
        offset = self.fleet.offset + 1
        self.fleet, applied = apply_batch(self.fleet, offset, batch)
        assert invariants.over_budget(self.fleet, applied) == []
        assert invariants.out_by_plan(self.fleet) == []
        assert invariants.zones_in_maintenance(self.fleet) == []
        for item in applied:
            if not item.verdict.accepted:
                self.refused.append(item)
            elif isinstance(item.record, StopPlanned):
                self.stops.append(item.record)
        for host in self.hosts:
            event = BatchesRead(self.now_ms, ((offset, batch),))
            self.reduce(host, event, applied)

    def reduce(self, name, event, applied=()):
        if name in self.silent:
            return
        context = ctx(self.fleet, self.now_ms, me=name, applied=applied)
        context = replace(context, wall_ms=WALL_MS + self.now_ms)
        self.hosts[name], effects = reduce(self.hosts[name], context, event)
        assert invariants.local_faults(self.hosts[name], self.fleet) == []
        records = [item.record for item in effects if isinstance(item, Propose)]
        if records:
            self.append(name, *records)
        for item in effects:
            if isinstance(item, CallAgent):
                answer = self.agents[item.worker].call(item, self.now_ms)
                self.reduce(name, answer)

    def run(self, until, limit_ms=120_000):
        """Run until a condition holds; return whether it did."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name in self.hosts:
                if name not in self.silent and self.now_ms % 500 == 0:
                    last = self.fleet.offset
                    self.append(name, HostBeat(name, 1, last, last, -1, ""))
                self.reduce(name, Tick(self.now_ms, WALL_MS + self.now_ms))
            if until():
                return True
        return False

    def all_serve(self):
        phases = {item.phase for item in self.fleet.workers.values()}
        return phases == {WorkerPhase.SERVING}


def cluster(workers=6, cfg=None, **changes):
    cfg = cfg or OperationsConfig(maintain=False)
    names = [f"w{index}" for index in range(workers)]
    made = Cluster(
        {"h1": OperationsState(cfg), "h2": OperationsState(cfg)},
        {name: Agent(name) for name in names},
    )
    for name in made.hosts:
        made.append(name, HostJoined(name, 1, "a", ""))
    table_row = row(workers=workers, **changes)
    accounts = (AccountRow("aloisi", ("0" * 64,)),)
    made.append("h1", TablePublished(-1, accounts, (table_row,), (), "test"))
    infos = tuple(
        WorkerInfo(name, "abc"[index % 3], "r1", f"{name}:1", 8.0, 4096)
        for index, name in enumerate(names)
    )
    for name in made.hosts:
        made.reduce(name, MembersListed(0, 1, infos, (), ()))
    return made


def test_a_wave_reboots_every_worker_once_within_the_budget():
    made = cluster(cfg=OperationsConfig(), availability_budget=0.34)

    def done():
        workers = made.fleet.workers.values()
        return made.all_serve() and all(item.maintained_ms for item in workers)

    assert made.run(done)
    assert [item.boots for item in made.agents.values()] == [2] * 6
    assert len(made.stops) == 6


def test_a_dead_worker_is_noticed_and_starts_anew_when_it_is_back():
    made = cluster()
    assert made.run(lambda: len(made.fleet.workers) == 6 and made.all_serve())
    assert made.refused == [], "two hosts do not get in each other's way"
    assert all(item.starts == 1 for item in made.agents.values())
    agent = made.agents["w3"]
    agent.dead = True
    assert made.run(lambda: made.fleet.workers["w3"].phase is WorkerPhase.DOWN)
    agent.dead, agent.minion, agent.boots = False, "", 2
    assert made.run(made.all_serve)
    assert agent.starts == 2


def test_the_other_host_takes_over_from_a_silent_one():
    made = cluster()
    made.silent.add("h1")
    # Half of the hosts settle no stop any more, so no drain could end.
    assert made.run(lambda: len(made.fleet.workers) == 6 and made.all_serve())
    made.run(lambda: False, 1_000)
    beat = made.fleet.hosts["h1"].last_beat
    made.append("h2", HostLost("h1", 1, beat, "h2"))
    made.agents["w0"].dead = True
    made.agents["w1"].dead = True

    def lost():
        phases = [made.fleet.workers[name].phase for name in ("w0", "w1")]
        return phases == [WorkerPhase.DOWN] * 2

    assert made.run(lost)
