"""Mutable working copy of the state during one reduction.

A draft lives for one call of the reducer only, so the reducer stays a pure
function for its caller.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from functools import lru_cache

from immutables import Map

from courselead.core import ranking
from courselead.core.context import Context
from courselead.core.effects import CallAgent, Effect, LogEvent, Propose
from courselead.core.events import AgentOp
from courselead.core.fleet.records import Record
from courselead.core.fleet.state import FleetState, HostStatus, WorkerPhase, WorkerState
from courselead.core.operations.state import (
    CALL_TIMEOUT_MS,
    MIN_STEADY_POLL_INTERVAL_MS,
    PROPOSAL_TIMEOUT_MS,
    AgentView,
    OperationsConfig,
    OperationsState,
    PendingPlan,
    Proposal,
)

MAX_CACHED_DELAYS = 65_536
PHASES_KEEPING_BOOTS = frozenset({WorkerPhase.STOPPING, WorkerPhase.STOPPED})


@lru_cache(maxsize=MAX_CACHED_DELAYS)
def _cached_delay_ms(key: str, me: str, names: tuple[str, ...], seed: int) -> int:
    """Return the cached result of `ranking.takeover_delay_ms`."""
    return ranking.takeover_delay_ms(key, me, names, seed)


def live_hosts_by_zone(fleet: FleetState) -> dict[str, tuple[str, ...]]:
    """Return the sorted live entry hosts of each zone, and of all zones under ""."""
    zones: dict[str, list[str]] = {"": []}
    for host in fleet.hosts.values():
        if host.status is not HostStatus.LIVE:
            continue
        zones[""].append(host.entry_host)
        zones.setdefault(host.availability_zone, []).append(host.entry_host)
    return {zone: tuple(sorted(names)) for zone, names in zones.items()}


@dataclass(slots=True)
class Draft:
    """State that one reduction changes, and the effects collected so far.

    Attributes:
        state: Local state; changes to its views and proposals are kept apart
            until `finish`.
        hosts: Live entry hosts by zone, and all of them under "".
        agents: Changed views by worker, None for a deleted one.
        proposals: New proposals by key.
        requested_plans: Keys passed to `should_propose_plan` so far.
        effects: Effects in the order in which they are to be carried out.
    """

    ctx: Context
    state: OperationsState
    hosts: dict[str, tuple[str, ...]]
    agents: dict[str, AgentView | None] = field(default_factory=dict)
    proposals: dict[str, Proposal] = field(default_factory=dict)
    requested_plans: set[str] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)

    @classmethod
    def from_state(cls, state: OperationsState, ctx: Context) -> "Draft":
        """Return a draft without changes."""
        return cls(ctx=ctx, state=state, hosts=live_hosts_by_zone(ctx.fleet))

    @property
    def cfg(self) -> OperationsConfig:
        """Return the settings."""
        return self.state.cfg

    @property
    def now_ms(self) -> int:
        """Return the monotonic time of this host, in milliseconds."""
        return self.ctx.now_ms

    @property
    def may_propose(self) -> bool:
        """Return whether this host can append records to the log now."""
        return self.ctx.member and self.ctx.log_up

    def finish(self) -> tuple[OperationsState, tuple[Effect, ...]]:
        """Return the new state and the effects."""
        state = self.state
        if self.agents:
            state = replace(state, agents=_merge_views(state.agents, self.agents))
        if self.proposals:
            state = replace(state, proposals=state.proposals.update(self.proposals))
        return state, tuple(self.effects)

    # --- ranking of the hosts ---------------------------------------------

    def takeover_delay_ms(self, key: str, zone: str = "") -> int:
        """Return how long this host leaves a key to higher-ranked hosts.

        Only the live hosts of the zone are ranked, or all live hosts if the zone
        has none or is not given.
        """
        names = self.hosts.get(zone) or self.hosts[""]
        me = self.ctx.me
        return _cached_delay_ms(key, me.entry_host, names, me.seed)

    def is_first_ranked(self, worker: WorkerState) -> bool:
        """Return whether this host is ranked first for a worker."""
        return self.takeover_delay_ms(worker.worker, worker.availability_zone) == 0

    def should_propose_plan(self, key: str, records: Sequence[Record]) -> bool:
        """Return whether this host proposes a plan now.

        The host ranked first for the key proposes it immediately. Any other host
        stores when it first requested the plan, and proposes it if the same plan
        is still requested after its delay.
        """
        self.requested_plans.add(key)
        delay = self.takeover_delay_ms(f"plan:{key}")
        if delay == 0:
            return True
        digest = ranking.rendezvous_score(key, ",".join(map(proposal_key, records)))
        known = self.state.pending_plans.get(key)
        if known is None or known.digest != digest:
            pending = self.state.pending_plans.set(
                key, PendingPlan(self.now_ms, digest)
            )
            self.state = replace(self.state, pending_plans=pending)
            return False
        return self.now_ms - known.since_ms >= delay

    def forget_unrequested_plans(self) -> None:
        """Delete the pending plans that were not requested in this reduction."""
        pending = self.state.pending_plans
        for key in tuple(pending):
            if key not in self.requested_plans:
                pending = pending.delete(key)
        self.state = replace(self.state, pending_plans=pending)

    # --- agents -----------------------------------------------------------

    def get_view(self, worker: WorkerState) -> AgentView:
        """Return the view of a worker's agent, reset if the phase has changed."""
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
            call_accepted=False,
            saw_reboot=False,
            recheck=False,
            reported_ms=-1,
            boots=view.boots if worker.phase in PHASES_KEEPING_BOOTS else -1,
        )
        self.agents[worker.worker] = fresh
        return fresh

    def put_view(self, worker: str, view: AgentView) -> None:
        """Store a view."""
        self.agents[worker] = view

    def drop_view(self, worker: str) -> None:
        """Delete the view of a worker."""
        self.agents[worker] = None
        self.mark_failing(worker, False)

    def mark_failing(self, worker: str, failing: bool) -> None:
        """Record whether the latest call to a worker failed."""
        if failing is (worker in self.state.failing):
            return
        names = self.state.failing ^ {worker}
        self.state = replace(self.state, failing=names)

    def enter_stage(self, worker: WorkerState, stage: str) -> AgentView:
        """Return the view in a step of the phase, recording when the step began."""
        view = self.get_view(worker)
        if view.stage == stage:
            return view
        view = replace(view, stage=stage, stage_ms=self.now_ms)
        self.put_view(worker.worker, view)
        return view

    def is_call_due(self, worker: WorkerState, view: AgentView) -> bool:
        """Return whether a call of this host to the agent is due.

        Lower-ranked hosts start later and call less often.
        """
        delay = self.takeover_delay_ms(worker.worker, worker.availability_zone)
        if self.now_ms - view.stage_ms < delay:
            return False
        if view.call_pending and self.now_ms - view.called_ms < CALL_TIMEOUT_MS:
            return False
        if view.called_since != worker.since or view.stage_ms > view.called_ms:
            return True
        return self.now_ms - view.called_ms >= self.poll_ms(worker) + delay

    def poll_ms(self, worker: WorkerState) -> int:
        """Return the interval between two polls, varied by worker up to 1/8.

        Agents of workers in a steady phase are polled less often the more agents
        this host polls, which bounds its calls per second. After a first failure
        the normal interval applies.
        """
        spread = ranking.rendezvous_score(worker.worker, "poll", self.ctx.me.seed)
        base = self.cfg.poll_interval_ms
        is_steady = worker.phase in (WorkerPhase.SERVING, WorkerPhase.FREE)
        if is_steady and not self.get_view(worker).failures:
            base = max(base, len(self.state.agents) * MIN_STEADY_POLL_INTERVAL_MS)
        return base - base // 8 + spread % (base // 4 + 1)

    def call(self, worker: WorkerState, op: AgentOp, **args: str | int) -> None:
        """Call a worker's agent with the epoch of the shared state."""
        view = replace(
            self.get_view(worker),
            called_ms=self.now_ms,
            called_since=worker.since,
            call_pending=True,
        )
        self.put_view(worker.worker, view)
        boots = max(0, view.boots)
        self.effects.append(
            CallAgent(
                worker.worker, worker.address, op, worker.epoch, boots=boots, **args
            )
        )

    # --- proposals --------------------------------------------------------

    def is_undecided(self, key: str) -> bool:
        """Return whether a proposal of this key is pending or was just refused."""
        found = self.proposals.get(key) or self.state.proposals.get(key)
        if found is None:
            return False
        return self.now_ms - found.at_ms < PROPOSAL_TIMEOUT_MS

    def is_group_undecided(self, group: str) -> bool:
        """Return whether any proposal of a group is still undecided."""
        for found in (*self.proposals.values(), *self.state.proposals.values()):
            if found.group != group or found.refused:
                continue
            if self.now_ms - found.at_ms < PROPOSAL_TIMEOUT_MS:
                return True
        return False

    def propose(self, record: Record, *, group: str = "") -> bool:
        """Propose a record unless the same record is undecided.

        Returns:
            Whether the record was proposed.
        """
        key = proposal_key(record)
        if not self.may_propose or self.is_undecided(key):
            return False
        self.proposals[key] = Proposal(self.now_ms, group)
        self.effects.append(Propose(record))
        return True

    def log_event(self, level: str, event: str, **fields: str | int | float) -> None:
        """Write a line to the host's own log output."""
        self.effects.append(LogEvent(level, event, tuple(fields.items())))


def proposal_key(record: Record) -> str:
    """Return the key that identifies a proposal among those of fleet operations."""
    kind = type(record).__name__
    worker = getattr(record, "worker", "")
    if worker:
        return f"{kind}:{worker}:{record.epoch}"
    workers = getattr(record, "workers", ())
    names = [getattr(item, "worker", None) or str(item[0]) for item in workers]
    digest = ranking.rendezvous_score(kind, ",".join(names))
    return f"{kind}:{digest}"


def _merge_views(
    kept: Map[str, AgentView], changed: dict[str, AgentView | None]
) -> Map[str, AgentView]:
    """Return the views with the changes applied; None deletes a view."""
    mutation = kept.mutate()
    for worker, view in changed.items():
        if view is not None:
            mutation[worker] = view
        elif worker in mutation:
            del mutation[worker]
    return mutation.finish()
