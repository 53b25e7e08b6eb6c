"""Hosts driven by hand over a list that stands for the log."""

from dataclasses import dataclass, field

from courselead.core.effects import Append, Effect, WriteSnapshot
from courselead.core.events import (
    AppendEnded,
    AppendResult,
    BatchesRead,
    Event,
    LogReachable,
    SnapshotSplit,
    Tick,
)
from courselead.core.fleet.records import Batch
from courselead.core.fleet.snapshot import split
from courselead.core.identity import Identity
from courselead.core.reducer import CoreState, reduce

WALL_MS = 1_800_000_000_000


def identity(name="a", incarnation=1, zone="z1"):
    return Identity(name, incarnation, zone, f"{name}:1", seed=7)


@dataclass
class Log:
    batches: list[Batch] = field(default_factory=list)


@dataclass
class Host:
    """One host; `lose` is how its next appends end."""

    log: Log
    state: CoreState
    read: int = 0
    effects: list[Effect] = field(default_factory=list)
    lose: AppendResult | None = None

    def do(self, event: Event) -> list[Effect]:
        self.state, effects = reduce(self.state, event)
        self.effects.extend(effects)
        for effect in effects:
            if isinstance(effect, Append):
                self._append(effect)
            if isinstance(effect, WriteSnapshot):
                parts = split(effect.fleet, self.state.me.entry_host)
                self.do(SnapshotSplit(self.state.now_ms, parts))
        return list(effects)

    def up(self, now_ms=0):
        self.do(Tick(now_ms, WALL_MS + now_ms))
        self.do(LogReachable(now_ms, True))

    def tick(self, now_ms):
        self.do(Tick(now_ms, WALL_MS + now_ms))

    def catch_up(self, now_ms):
        new = self.log.batches[self.read :]
        numbered = tuple(enumerate(new, start=self.read))
        self.read = len(self.log.batches)
        self.do(BatchesRead(now_ms, numbered))

    def run(self, until_ms, step_ms=50):
        now_ms = self.state.now_ms
        while now_ms < until_ms:
            now_ms += step_ms
            self.tick(now_ms)
            self.catch_up(now_ms)

    def _append(self, effect):
        result = self.lose or AppendResult.STORED
        if result is not AppendResult.NOT_STORED:
            self.log.batches.append(effect.batch)
        offset = len(self.log.batches) - 1
        now_ms = self.state.now_ms
        self.do(AppendEnded(now_ms, effect.batch.seq, result, offset))

    def of(self, kind):
        return [effect for effect in self.effects if isinstance(effect, kind)]


def new_host(log, name="a", **args):
    host = Host(log, CoreState(identity(name, **args)))
    host.up()
    return host


def run_together(hosts, until_ms, step_ms=50):
    now_ms = max(host.state.now_ms for host in hosts)
    while now_ms < until_ms:
        now_ms += step_ms
        for host in hosts:
            host.tick(now_ms)
        for host in hosts:
            host.catch_up(now_ms)
