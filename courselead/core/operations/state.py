"""Local state of the fleet operations of one entry host."""

from dataclasses import dataclass, field

from immutables import Map

from courselead.core.events import AgentReport
from courselead.core.fleet.records import WorkerInfo

DEFAULT_MAINTENANCE_PERIOD_MS = 14 * 24 * 3_600_000
DEFAULT_POLL_INTERVAL_MS = 2_000
DEFAULT_DOWN_AFTER_MS = 6_000
DEFAULT_GONE_AFTER_MS = 10_000
DEFAULT_REBOOT_LIMIT_MS = 30 * 60_000
DEFAULT_REPLACE_AFTER_MS = 10 * 60_000
DEFAULT_UNSETTLED_LIMIT_MS = 10 * 60_000

PROPOSAL_TIMEOUT_MS = 5_000
CALL_TIMEOUT_MS = 5_000
SWEEP_INTERVAL_MS = 200
# A worker in a steady phase is checked in only one of this many sweeps.
SWEEPS_PER_STEADY_CHECK = 5
# Minimum average interval between two polls of any agents of steady workers; it
# bounds the calls per second of one entry host.
MIN_STEADY_POLL_INTERVAL_MS = 200
PLAN_INTERVAL_MS = 1_000
DRAIN_REPORT_AFTER_MS = 30_000
REPORT_INTERVAL_MS = 60_000


@dataclass(frozen=True, slots=True)
class OperationsConfig:
    """Settings of the fleet operations, identical on every entry host.

    Attributes:
        maintenance_period_ms: Time after the last maintenance reboot at which a
            worker is due again.
        wave_from_ms: Starts a maintenance wave on demand: every worker whose last
            reboot is before this wall clock time is due immediately; 0 for none.
        maintain: Whether maintenance is planned at all.
        policy: Name of the maintenance policy (see `maintenance.POLICIES`).
        poll_interval_ms: Interval between two polls of one agent.
        down_after_ms: A worker is down once its agent has failed for this long.
        gone_after_ms: A worker may be gone once it has been missing from the
            platform's list for this long.
        reboot_limit_ms: A worker is down if it has not come back this long after
            it was stopped for a reboot.
        replace_after_ms: A worker that has been down for this long is replaced in its
            pool if another worker is available.
        unsettled_limit_ms: A planned stop that entry hosts have not settled within
            this time is cancelled, and planned again later.
    """

    maintenance_period_ms: int = DEFAULT_MAINTENANCE_PERIOD_MS
    wave_from_ms: int = 0
    maintain: bool = True
    policy: str = "rack_by_rack"
    poll_interval_ms: int = DEFAULT_POLL_INTERVAL_MS
    down_after_ms: int = DEFAULT_DOWN_AFTER_MS
    gone_after_ms: int = DEFAULT_GONE_AFTER_MS
    reboot_limit_ms: int = DEFAULT_REBOOT_LIMIT_MS
    replace_after_ms: int = DEFAULT_REPLACE_AFTER_MS
    unsettled_limit_ms: int = DEFAULT_UNSETTLED_LIMIT_MS


@dataclass(frozen=True, slots=True)
class AgentView:
    """What this host knows about the agent of one worker.

    All times are monotonic, in milliseconds.

    Attributes:
        since: Offset at which the worker's phase began that the view belongs to.
        stage: Step within the phase that is in progress.
        stage_ms: When this host entered that step.
        phase_ms: When this host first saw the phase.
        called_ms: When the latest call was sent, -1 before the first.
        called_since: Offset at which the phase began in which the latest
            call was sent.
        call_pending: Whether the latest call is still unanswered.
        first_failure_ms: Time of the first of the consecutive failures, -1 if
            there are none.
        failures: Number of consecutive failures.
        last_answer_ms: Time of the latest answer of any kind.
        boots: Boot count that the agent last reported, -1 if unknown.
        report: Latest state that the agent reported in this phase.
        call_accepted: Whether the agent accepted this host's stop or reboot call;
            in the phase STARTING, whether an older minion must be stopped first.
        saw_reboot: Whether the agent was seen rebooting in this phase.
        recheck: Whether the state must be read before the next action.
        reported_ms: When a stuck drain or a refused start was last logged, -1 if
            not in this phase.
    """

    since: int = -1
    stage: str = ""
    stage_ms: int = -1
    phase_ms: int = -1
    called_ms: int = -1
    called_since: int = -1
    call_pending: bool = False
    first_failure_ms: int = -1
    failures: int = 0
    last_answer_ms: int = -1
    boots: int = -1
    report: AgentReport | None = None
    call_accepted: bool = False
    saw_reboot: bool = False
    recheck: bool = False
    reported_ms: int = -1


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record proposed by this host.

    Attributes:
        at_ms: When it was proposed.
        group: Group of proposals that it belongs to, "" for none.
        refused: Whether the record was refused; the proposal is then kept only
            to prevent the same record from being proposed again immediately.
    """

    at_ms: int
    group: str = ""
    refused: bool = False


@dataclass(frozen=True, slots=True)
class PendingPlan:
    """A plan that this host proposes if no higher-ranked host does so in time.

    Attributes:
        since_ms: When this host first computed the plan.
        digest: Digest of the planned records; a different plan under the same
            key restarts the delay.
    """

    since_ms: int
    digest: int


@dataclass(frozen=True, slots=True)
class NoOpInputs:
    """Inputs of a step for which running it again has no effect.

    The step is skipped as long as its inputs are equal to these.
    """

    inputs: tuple[object, ...] = ()

    def matches(self, *inputs: object) -> bool:
        """Return whether the step would again have no effect."""
        if len(inputs) != len(self.inputs):
            return False
        pairs = zip(inputs, self.inputs, strict=True)
        return all(new is old or new == old for new, old in pairs)


@dataclass(frozen=True, slots=True)
class OperationsState:
    """Local state of the fleet operations.

    Attributes:
        listed_workers: Workers of the latest membership list, by ID.
        leaving: Workers that the platform is reclaiming.
        list_version: Version of the latest list, -1 before the first.
        list_received_ms: When that list was received.
        absent_since_ms: Since when a worker of the shared state has been missing
            from the list, by worker.
        down_since_ms: Since when this host has seen a worker down, by worker.
        agents: Views of the agents that this host calls, by worker.
        proposals: Proposals by key, until they are accepted or time out.
        pending_plans: Plans that a higher-ranked host may still propose, by key.
        sweep_count: Number of sweeps so far.
        failing: Workers whose latest call failed; they are checked in every sweep.
        list_inputs: List version and workers when a list was last processed.
        inventory_inputs: Inputs for which the list last contained no change.
        plan_inputs: Inputs for which there was last nothing to plan.
        last_sweep_ms: Time of the latest sweep over all workers.
        last_plan_ms: Time of the latest planning pass.
    """

    cfg: OperationsConfig = field(default_factory=OperationsConfig)
    listed_workers: Map[str, WorkerInfo] = field(default_factory=Map)
    leaving: frozenset[str] = frozenset()
    list_version: int = -1
    list_received_ms: int = -1
    absent_since_ms: Map[str, int] = field(default_factory=Map)
    down_since_ms: Map[str, int] = field(default_factory=Map)
    agents: Map[str, AgentView] = field(default_factory=Map)
    proposals: Map[str, Proposal] = field(default_factory=Map)
    pending_plans: Map[str, PendingPlan] = field(default_factory=Map)
    sweep_count: int = 0
    failing: frozenset[str] = frozenset()
    list_inputs: NoOpInputs = NoOpInputs()
    inventory_inputs: NoOpInputs = NoOpInputs()
    plan_inputs: NoOpInputs = NoOpInputs()
    last_sweep_ms: int = -SWEEP_INTERVAL_MS
    last_plan_ms: int = -PLAN_INTERVAL_MS
