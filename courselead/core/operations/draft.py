"""The working copy of one reduction, and who acts on what.

The reducer is pure to its caller: a draft lives for one call only.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from functools import lru_cache

from immutables import Map

from courselead.core import ranking
from courselead.core.context import Context
from courselead.core.effects import CallAgent, Effect, Note, Propose
from courselead.core.events import AgentOp
from courselead.core.fleet.records import Record
from courselead.core.fleet.state import FleetState, HostStatus, WorkerPhase, WorkerState
from courselead.core.operations.state import (
    CALL_TIMEOUT_MS,
    POLL_GAP_MS,
    PROPOSAL_TIMEOUT_MS,
    AgentView,
    OperationsConfig,
    OperationsState,
    Proposal,
    Wanted,
)

CACHED_RANKS = 65_536
KEEPS_BOOTS = frozenset({WorkerPhase.STOPPING, WorkerPhase.STOPPED})


@lru_cache(maxsize=CACHED_RANKS)
def _delay_ms(key: str, me: str, names: tuple[str, ...], seed: int) -> int:
    """Return `ranking.step_in_ms`, remembered while the hosts stay the same."""
    return ranking.step_in_ms(key, me, names, seed)


def live_hosts(fleet: FleetState) -> dict[str, tuple[str, ...]]:
    """Return the live entry hosts by zone, and all of them under ""."""
    zones: dict[str, list[str]] = {"": []}
    for host in fleet.hosts.values():
        if host.status is not HostStatus.LIVE:
            continue
        zones[""].append(host.entry_host)
        zones.setdefault(host.availability_zone, []).append(host.entry_host)
    return {zone: tuple(sorted(names)) for zone, names in zones.items()}


@dataclass(slots=True)
class Draft:
    """State being changed by one reduction, and the effects so far."""

    ctx: Context
    state: OperationsState
    hosts: dict[str, tuple[str, ...]]
    agents: dict[str, AgentView | None] = field(default_factory=dict)
    proposed: dict[str, Proposal] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)

    @classmethod
    def from_state(cls, state: OperationsState, ctx: Context) -> "Draft":
        """Return a draft with nothing changed."""
        return cls(ctx=ctx, state=state, hosts=live_hosts(ctx.fleet))

    @property
    def cfg(self) -> OperationsConfig:
        """Return the settings."""
        return self.state.cfg

    @property
    def now_ms(self) -> int:
        """Return the host's monotonic time, milliseconds."""
        return self.ctx.now_ms

    @property
    def may_propose(self) -> bool:
        """Return whether proposals of this host can be stored now."""
        return self.ctx.member and self.ctx.log_up

    def finish(self) -> tuple[OperationsState, tuple[Effect, ...]]:
        """Return the new state and the effects."""
        state = self.state
        if self.agents:
            state = replace(state, agents=_merged(state.agents, self.agents))
        if self.proposed:
            state = replace(state, proposed=state.proposed.update(self.proposed))
        return state, tuple(self.effects)

    # --- who acts ---------------------------------------------------------

    def delay_ms(self, key: str, zone: str = "") -> int:
        """Return how long this host leaves a key to hosts ranked before it."""
        names = self.hosts.get(zone) or self.hosts[""]
        me = self.ctx.me
        return _delay_ms(key, me.entry_host, names, me.seed)

    def preferred(self, worker: WorkerState) -> bool:
        """Return whether this host is the first to deal with a worker."""
        return self.delay_ms(worker.worker, worker.availability_zone) == 0

    def plans(self, key: str, records: Sequence[Record]) -> bool:
        """Return whether this host is the one that proposes a plan now.

        The plan is remembered from the first time of asking, so the host steps
        in if the same plan is still wanted after the delay.
        """
        self.asked.add(key)
        delay = self.delay_ms(f"plan:{key}")
        if delay == 0:
            return True
        token = ranking.score(key, ",".join(map(proposal_key, records)))
        known = self.state.wanted.get(key)
        if known is None or known.token != token:
            wanted = self.state.wanted.set(key, Wanted(self.now_ms, token))
            self.state = replace(self.state, wanted=wanted)
            return False
        return self.now_ms - known.since_ms >= delay

    def forget_unasked(self) -> None:
        """Forget the plans that were not asked about in this reduction."""
        wanted = self.state.wanted
        for key in tuple(wanted):
            if key not in self.asked:
                wanted = wanted.delete(key)
        self.state = replace(self.state, wanted=wanted)

    # --- agents -----------------------------------------------------------

    def view(self, worker: WorkerState) -> AgentView:
        """Return the view of a worker's agent, renewed if the phase changed."""
        view = self.agents.get(worker.worker)
        if view is None:
            view = self.state.agents.get(worker.worker, AgentView())
        if view.since == worker.since and view.phase_ms >= 0:
            return view
        fresh = replace(
            view,
            since=worker.since,
            stage="",
            stage_ms=self.now_ms,
            phase_ms=self.now_ms,
            report=None,
            taken=False,
            saw_reboot=False,
            recheck=False,
            noted_ms=-1,
            boots=view.boots if worker.phase in KEEPS_BOOTS else -1,
        )
        self.agents[worker.worker] = fresh
        return fresh

    def put(self, worker: str, view: AgentView) -> None:
        """Keep a view."""
        self.agents[worker] = view

    def drop(self, worker: str) -> None:
        """Forget a view."""
        self.agents[worker] = None
        self.note_failing(worker, False)

    def note_failing(self, worker: str, failing: bool) -> None:
        """Note whether the newest call to a worker failed."""
        if failing is (worker in self.state.failing):
            return
        names = self.state.failing ^ {worker}
        self.state = replace(self.state, failing=names)

    def stage(self, worker: WorkerState, stage: str) -> AgentView:
        """Return the view at a step of the phase, noting when it began."""
        view = self.view(worker)
        if view.stage == stage:
            return view
        view = replace(view, stage=stage, stage_ms=self.now_ms)
        self.put(worker.worker, view)
        return view

    def may_call(self, worker: WorkerState, view: AgentView) -> bool:
        """Return whether a call to the agent is due for this host.

        Hosts ranked later start later and call less often.
        """
        delay = self.delay_ms(worker.worker, worker.availability_zone)
        if self.now_ms - view.stage_ms < delay:
            return False
        if view.waiting and self.now_ms - view.asked_ms < CALL_TIMEOUT_MS:
            return False
        if view.asked_since != worker.since or view.stage_ms > view.asked_ms:
            return True
        return self.now_ms - view.asked_ms >= self.poll_ms(worker) + delay

    def poll_ms(self, worker: WorkerState) -> int:
        """Return the pause between two polls, spread over the workers.

        Agents of workers that rest are polled more slowly the more of them
        this host has, so that its calls per second are bounded; after a first
        failure the pace is the usual one.
        """
        spread = ranking.score(worker.worker, "poll", self.ctx.me.seed)
        base = self.cfg.poll_ms
        rests = worker.phase in (WorkerPhase.SERVING, WorkerPhase.FREE)
        if rests and not self.view(worker).failures:
            base = max(base, len(self.state.agents) * POLL_GAP_MS)
        return base - base // 8 + spread % (base // 4 + 1)

    def call(self, worker: WorkerState, op: AgentOp, **args: str | int) -> None:
        """Call a worker's agent with the agreed epoch."""
        view = replace(
            self.view(worker),
            asked_ms=self.now_ms,
            asked_since=worker.since,
            waiting=True,
        )
        self.put(worker.worker, view)
        boots = max(0, view.boots)
        self.effects.append(
            CallAgent(
                worker.worker, worker.address, op, worker.epoch, boots=boots, **args
            )
        )

    # --- proposals --------------------------------------------------------

    def undecided(self, key: str) -> bool:
        """Return whether a proposal under this key waits or was just refused."""
        found = self.proposed.get(key) or self.state.proposed.get(key)
        if found is None:
            return False
        return self.now_ms - found.at_ms < PROPOSAL_TIMEOUT_MS

    def group_waits(self, group: str) -> bool:
        """Return whether proposals of a plan are still undecided."""
        for found in (*self.proposed.values(), *self.state.proposed.values()):
            if found.group != group or found.refused:
                continue
            if self.now_ms - found.at_ms < PROPOSAL_TIMEOUT_MS:
                return True
        return False

    def propose(self, record: Record, *, group: str = "") -> bool:
        """Propose a record unless the same one is undecided.

        Returns:
            Whether it was proposed.
        """
        key = proposal_key(record)
        if not self.may_propose or self.undecided(key):
            return False
        self.proposed[key] = Proposal(self.now_ms, group)
        self.effects.append(Propose(record))
        return True

    def note(self, level: str, event: str, **fields: str | int | float) -> None:
        """Write a line to the log."""
        self.effects.append(Note(level, event, tuple(fields.items())))


def proposal_key(record: Record) -> str:
    """Return what tells a proposal of this part from others."""
    kind = type(record).__name__
    worker = getattr(record, "worker", "")
    if worker:
        return f"{kind}:{worker}:{record.epoch}"
    workers = getattr(record, "workers", ())
    names = [getattr(item, "worker", None) or str(item[0]) for item in workers]
    digest = ranking.score(kind, ",".join(names))
    return f"{kind}:{digest}"


def _merged(
    kept: Map[str, AgentView], changed: dict[str, AgentView | None]
) -> Map[str, AgentView]:
    """Return the views with the changed ones put in or dropped."""
    mutation = kept.mutate()
    for worker, view in changed.items():
        if view is not None:
            mutation[worker] = view
        elif worker in mutation:
            del mutation[worker]
    return mutation.finish()
