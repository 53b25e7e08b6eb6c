"""The schedule owner: runs the scheduler and executes its effects."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import structlog
from anyio.abc import TaskGroup
from returns.result import Failure

from courselead.core.scheduler import evacuation
from courselead.core.scheduler.events import (
    AskAdvice,
    ConfigChanged,
    EarlyCancelStored,
    Effect,
    Event,
    ForgetEarlyCancels,
    ForgetJob,
    JobArrived,
    JobCancelRequested,
    ListWorkers,
    LogAnswered,
    LogEvent,
    MaintainWorker,
    MinionListed,
    MinionUnlisted,
    MoveWorker,
    OperatorLogRead,
    PaceRun,
    ProgressSaved,
    SaveProgress,
    SaveWaveStatus,
    StartPolling,
    StartRun,
    StepDown,
    StopPolling,
    StopRun,
    StoreRuns,
    Tick,
    WaveRequested,
    ZonesEvacuated,
)
from courselead.core.scheduler.models import Bounds, FleetConfig, MaintenanceWave
from courselead.core.scheduler.records import (
    EarlyCancel,
    EarlyCancelForgotten,
    JobAccepted,
    JobCancelled,
    KeyedRecord,
    OwnerHeartbeat,
    Record,
    encode,
    forget,
    forget_duplicate,
)
from courselead.core.scheduler.run_records import RemainingRuns
from courselead.core.scheduler.schedule import old_leases_ms
from courselead.core.scheduler.scheduler import Scheduler
from courselead.daemon.scheduling.claims import Claim
from courselead.daemon.scheduling.clocks import now_ms, wall_ms
from courselead.daemon.scheduling.cloud_tasks import CloudTasks
from courselead.daemon.scheduling.fenced_log import APPEND_RETRY_S, FencedLog
from courselead.daemon.scheduling.follower import JobFollower, KeyedFollower
from courselead.daemon.scheduling.held_starts import HeldStarts
from courselead.daemon.scheduling.minion_tasks import MinionTasks
from courselead.daemon.scheduling.operator_config import OperatorConfigView
from courselead.daemon.scheduling.ports import HostCounters, Platform
from courselead.daemon.scheduling.start_log import StartLog
from courselead.daemon.scheduling.wait_publisher import WaitPublisher

_LOGGER = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.1
"""Interval between scheduler ticks; leases and waves need no finer resolution."""

HEARTBEAT_INTERVAL_S = 0.3
"""Maximum time between two records of the owner: a quarter of the time after which
another host takes over."""

PAUSE_THRESHOLD_S = 0.8
"""Gap between ticks from which the process counts as paused. Another host may have
taken over meanwhile, so no order is sent until the log has accepted a record under
this fence."""

MIN_SAVE_INTERVAL_S = 0.03
"""Minimum time between two saves that no caller waits for. Each call costs money, and
so does each poll of a minion, which is answered immediately until the run ends that it
reports are stored."""

MINION_LIST_PAUSE_S = 0.1
"""Pause between two reads of the minion list, where each heartbeat is a record."""

START_LOG_WAIT_S = 0.3
"""Maximum wait at a takeover for the previous owner's start records: two calls. Without
these records, jobs from before the takeover wait for every minion that does not
report."""

TIMED_JOB_LOG_EVENTS = ("job_begun", "job_ended")
"""Log events whose job age is recorded in the histograms by queue and account."""

COUNTERS_BY_LOG_EVENT = {
    "minion_dead": "minions_lost",
    "run_lost": "runs_lost",
    "task_crashed": "crashes_blamed",
    "task_given_up": "tasks_given_up",
    "suspect_cleared": "suspects_cleared",
    "account_at_cap": "waits_for_caps",
}
"""Counter to increment for each log event. Log lines may be dropped by the rate limit,
counters are not."""

FORGET_TIMEOUT_MS = 500
"""Timeout of the append that deletes an old job; the next sweep retries it."""


class Owner:
    """Owns the schedule from a won claim until a newer claim or a handover."""

    def __init__(
        self,
        claim: Claim,
        host: str,
        platform: Platform,
        follower: JobFollower,
        operator_config: OperatorConfigView,
        bounds: Bounds,
        counters: HostCounters,
        zone: str = "",
        max_job_bytes: int | None = None,
    ) -> None:
        """Set up the owner; `run` takes over the schedule."""
        self._zone = zone
        self._max_job_bytes = max_job_bytes
        self._claim = claim
        self.fence = claim.fence
        self._host = host
        self._platform = platform
        self._follower = follower
        self._operator_config = operator_config
        self._bounds = bounds
        self._counters = counters
        self._listed_minions: set[str] = set()
        # Cloud orders by worker id, sent once a record of them is stored.
        self._cloud_orders: dict[str, MoveWorker | MaintainWorker] = {}
        self._heartbeat_number = 0
        self._saved_at = 0.0
        self._waits = WaitPublisher(claim.fence)
        self._last_tick_ms = now_ms()
        self._pause_unconfirmed = False
        self._handing_over = False
        self._effects_wake = anyio.Event()
        self._save_wake = anyio.Event()
        self.saved = anyio.Event()
        self._ended = anyio.Event()
        self._claimed_at_ms = now_ms()
        self._log = FencedLog(platform.jobs, claim.fence, counters)
        self._minions = MinionTasks(self, platform.link, counters)
        self._start_log = StartLog(self, platform.starts, counters, self._send_start)
        self._held_starts = HeldStarts(self._store_or_send_start, self.handle)
        self._cloud = CloudTasks(self, platform, counters)
        self.scheduler: Scheduler | None = None
        self._tasks: TaskGroup | None = None
        self._register_evacuation_values()

    async def run(self) -> None:
        """Own the schedule until it is lost or handed over."""
        fence = self.fence
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._run_start_log)
                if await self._fence_log():
                    _LOGGER.info("schedule_owned", fence=fence, first=self._claim.first)
                    await self._run_owner(tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._follower.on_change = _ignore
            self._operator_config.on_config = _ignore
            self._operator_config.on_wave = _ignore
            self._operator_config.on_zones = _ignore
            self._follower.set_continuous(False)
            self._minions.close()
            _LOGGER.info(
                "schedule_left",
                fence=fence,
                handed=self._handing_over,
                claimed_ms=now_ms() - self._claimed_at_ms,
            )

    async def _run_owner(self, tasks: TaskGroup) -> None:
        self._follower.set_continuous(True)
        with anyio.move_on_after(START_LOG_WAIT_S):
            await self._start_log.fenced.wait()
        if self._ended.is_set():
            return
        self._start_scheduler()
        for work in (
            self._follow_minion_list,
            self._tick,
            self._save,
            self._execute_effects,
            self._start_log.expire_late_starts,
        ):
            tasks.start_soon(work)
        await self._ended.wait()

    async def _run_start_log(self) -> None:
        if not await self._start_log.run():
            self._lose_ownership("the log of starts has a newer owner")

    def reload(self, bounds: Bounds) -> None:
        """Apply changed deployment bounds."""
        self._bounds = bounds
        if self.scheduler is not None:
            self.scheduler.schedule.bounds = bounds

    async def hand_over(self) -> None:
        """Save pending state, release the schedule and stop."""
        self._handing_over = True
        if self.scheduler is None:
            self._ended.set()
            return
        self._save_wake.set()
        await self._ended.wait()

    # Taking over

    async def _fence_log(self) -> bool:
        """Append a heartbeat under the claim's fence and read the job log up to it.

        From then on the log refuses appends under older fences. Returns whether the
        newest heartbeat in the job log is of this owner.
        """
        offset = await self._log.append([self._heartbeat_record(False)])
        if offset is None:
            return False
        while self._follower.offset <= offset:
            if not await self._follower.catch_up():
                await anyio.sleep(APPEND_RETRY_S)
        # The same read may contain a heartbeat of a newer owner and jobs stored after
        # it. The newer owner assumes that nobody else has started these jobs: if this
        # one did, they would be started twice.
        newest = self._follower.book.owner
        return newest is not None and newest.fence == self.fence

    def _start_scheduler(self) -> None:
        previous_runs = self._previous_runs()
        _LOGGER.info(
            "schedule_begun",
            fence=self.fence,
            zone_before="" if previous_runs is None else previous_runs.zone,
            settled_before=previous_runs is not None and previous_runs.settled,
            minions_known=0 if previous_runs is None else len(previous_runs.by_minion),
        )
        self.scheduler = Scheduler(
            self.fence,
            self._claim.first,
            self._operator_config.fleet,
            self._bounds,
            self._follower.book,
            now_ms(),
            wall_ms(),
            self._zone,
            previous_runs,
            # Guaranteed by `MinionLink.start`.
            starts_are_bound=True,
            operator_log_age_ms=self._operator_log_age_ms(),
            max_job_bytes=self._max_job_bytes,
        )
        self._last_tick_ms = now_ms()
        self._follower.on_change = self._log_changed
        self._operator_config.on_config = self._config_changed
        self._operator_config.on_wave = self._wave_requested
        self._operator_config.on_zones = self._zones_evacuated
        self._zones_evacuated(self._operator_config.evacuated_zones)
        for wave in self._operator_config.waves.values():
            self._wave_requested(wave)

    def _previous_runs(self) -> RemainingRuns | None:
        """Return the runs that the previous owner may have left in its zone."""
        previous_owner = self._follower.book.previous_owner
        if previous_owner is None:
            return None
        runs = self._start_log.runs_by_minion(previous_owner.fence)
        if runs is None:
            return None
        return RemainingRuns.from_owner(
            previous_owner, runs, old_leases_ms(self._bounds)
        )

    # Events

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and wake the execution of its effects."""
        if self.scheduler is None:
            return
        self.scheduler.handle(event, now_ms())
        self._effects_wake.set()

    def _log_changed(self, record: Record) -> None:
        match record:
            case JobAccepted():
                self.handle(JobArrived(record.job_id))
            case JobCancelled():
                self.handle(JobCancelRequested(record.job_id))
            case EarlyCancel():
                self.handle(EarlyCancelStored(record.job_id))
            case OwnerHeartbeat() if record.fence > self.fence:
                self._lose_ownership("the log has a newer owner")

    def _config_changed(self, config: FleetConfig) -> None:
        self.handle(ConfigChanged(config))

    def _wave_requested(self, wave: MaintenanceWave) -> None:
        self.handle(WaveRequested(wave))

    def _zones_evacuated(self, zones: frozenset[str]) -> None:
        self.handle(ZonesEvacuated(zones))

    def _register_evacuation_values(self) -> None:
        config = self._operator_config
        self._counters.register("evacuated_zones", lambda: len(config.evacuated_zones))
        self._counters.register(
            "runs_in_evacuated_zones", self._runs_in_evacuated_zones
        )

    def _runs_in_evacuated_zones(self) -> int:
        if self.scheduler is None:
            return 0
        return evacuation.runs_left(self.scheduler.schedule)

    def _operator_log_age_ms(self) -> int:
        return int(self._operator_config.age_s() * 1000)

    def _lose_ownership(self, reason: str) -> None:
        if self._ended.is_set():
            return
        _LOGGER.warning("schedule_lost", fence=self.fence, reason=reason)
        self.scheduler = None
        self._ended.set()

    async def _follow_minion_list(self) -> None:
        await KeyedFollower(
            "minions",
            self._platform.minions,
            self._minion_record,
            self._minion_keys,
            pause_s=MINION_LIST_PAUSE_S,
            counters=self._counters,
        ).run()

    def _minion_record(self, record: KeyedRecord) -> None:
        decoded = self._platform.decode.decode_minion(record)
        if isinstance(decoded, str):
            self._listed_minions.discard(decoded)
            self.handle(MinionUnlisted(decoded))
            return
        self._listed_minions.add(decoded.minion_id)
        self.handle(MinionListed(decoded))

    def _minion_keys(self, keys: set[bytes]) -> None:
        names = {key.decode("utf-8", "replace") for key in keys}
        for minion_id in sorted(self._listed_minions - names):
            self._listed_minions.discard(minion_id)
            self.handle(MinionUnlisted(minion_id))

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self._check_pause()
            self._last_tick_ms = now_ms()
            self.handle(OperatorLogRead(now_ms() - self._operator_log_age_ms()))
            self.handle(Tick(wall_ms()))
            if self.scheduler is not None:
                self._held_starts.drop_all(self.scheduler.schedule)
            if anyio.current_time() - self._saved_at >= HEARTBEAT_INTERVAL_S:
                self._save_wake.set()

    def _check_pause(self) -> None:
        gap_ms = now_ms() - self._last_tick_ms
        if gap_ms < PAUSE_THRESHOLD_S * 1000 or self._pause_unconfirmed:
            return
        _LOGGER.warning("pause_noticed", gap_ms=gap_ms, fence=self.fence)
        self._pause_unconfirmed = True
        if self.scheduler is not None:
            # The age of the log's last answer counts from now, also before a tick.
            self.scheduler.schedule.now_ms = now_ms()
        self._save_wake.set()

    # Effects

    async def _execute_effects(self) -> None:
        while True:
            await self._effects_wake.wait()
            self._effects_wake = anyio.Event()
            self._check_pause()
            if self.scheduler is None:
                return
            if self._pause_unconfirmed or self._handing_over:
                continue
            self.scheduler.place(now_ms())
            for effect in self.scheduler.take_effects():
                self._execute(effect)
                if self.scheduler is None:
                    # The owner stepped down: the next owner decides anew, so the
                    # remaining effects are discarded.
                    return
            self._request_save()

    def _request_save(self) -> None:
        """Save now if a caller waits or the minimum interval has passed."""
        if self.scheduler is None or not self.scheduler.schedule.unsaved:
            return
        age_s = anyio.current_time() - self._saved_at
        if age_s >= MIN_SAVE_INTERVAL_S or self.scheduler.schedule.urgent:
            self._save_wake.set()

    def _execute(self, effect: Effect) -> None:
        match effect:
            case StartRun():
                assert self.scheduler is not None
                self._held_starts.start(self.scheduler.schedule, effect)
            case StoreRuns():
                self._start_log.record_runs(effect.minion_id)
            case StopRun():
                self._spawn(self._minions.stop, effect)
            case PaceRun():
                self._spawn(self._minions.set_pace, effect)
            case StartPolling():
                self._spawn(self._minions.follow, effect.incarnation)
            case StopPolling():
                self._minions.disconnect(effect.minion_id)
                self._start_log.delete_record(effect.minion_id)
            case AskAdvice():
                self._spawn(self._cloud.ask_advice, effect)
            case ListWorkers():
                self._spawn(self._cloud.list_workers)
            case MaintainWorker() | MoveWorker():
                self._cloud_orders[effect.worker_id] = effect
                self._save_wake.set()
            case SaveWaveStatus():
                self._spawn(self._cloud.save_wave, effect)
            case ForgetJob():
                self._spawn(self._forget, effect)
            case ForgetEarlyCancels():
                self._spawn(self._forget_early_cancels, effect)
            case StepDown():
                self._lose_ownership(effect.reason)
            case LogEvent():
                _LOGGER.info(effect.event, fence=self.fence, **effect.fields)
                self._count_log_event(effect)

    def _store_or_send_start(self, order: StartRun) -> None:
        assert self.scheduler is not None
        schedule = self.scheduler.schedule
        minion = schedule.minions.get(order.minion_id)
        if minion is not None and schedule.stores_starts_on(minion):
            self._start_log.start(order)
        else:
            self._send_start(order)

    def _send_start(self, order: StartRun) -> None:
        self._spawn(self._minions.start, order)

    def _count_log_event(self, log_event: LogEvent) -> None:
        counted = COUNTERS_BY_LOG_EVENT.get(log_event.event)
        if counted is not None:
            self._counters.add(counted)
        self._count_job(log_event)

    def _count_job(self, log_event: LogEvent) -> None:
        """Record a job's age at its start or end.

        Jobs that were submitted before this owner took over are left out.
        """
        if (
            log_event.event not in TIMED_JOB_LOG_EVENTS
            or log_event.fields["from_before"]
        ):
            return
        age_s = log_event.fields["age_ms"] / 1000
        self._counters.observe_job(log_event.fields["queue"], log_event.event, age_s)
        account = log_event.fields["account"]
        if account:
            self._counters.observe_account(account, log_event.event, age_s)

    def _spawn(self, work: Callable[..., object], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(work, *args)  # type: ignore[arg-type]

    async def _forget(self, order: ForgetJob) -> None:
        records = forget(order.job_id, order.account)
        if order.is_duplicate:
            records = [forget_duplicate(order.job_id, order.account)]
        result = await self._platform.jobs.append(records, FORGET_TIMEOUT_MS)
        if isinstance(result, Failure):
            _LOGGER.info("forget_failed", job_id=order.job_id)

    async def _forget_early_cancels(self, order: ForgetEarlyCancels) -> None:
        records = [encode(EarlyCancelForgotten(key)) for key in order.keys]
        result = await self._platform.jobs.append(records, FORGET_TIMEOUT_MS)
        if isinstance(result, Failure):
            _LOGGER.info("forget_early_cancels_failed", count=len(records))

    # Saving state

    def _heartbeat_record(self, released: bool) -> KeyedRecord:
        self._heartbeat_number += 1
        bursts = {}
        ordered: dict[str, int] = {}
        owned_ms = 0
        if self.scheduler is not None:
            owned_ms = self.scheduler.schedule.owned_ms(now_ms())
            ordered = self.scheduler.recent_orders(now_ms())
            for pool, known in self.scheduler.schedule.bursts.items():
                if known.seen:
                    bursts[pool] = known.memory
        return encode(
            OwnerHeartbeat(
                self.fence,
                self._host,
                self._heartbeat_number,
                released,
                bursts,
                ordered,
                self._zone,
                owned_ms,
                self._waits.waits,
            )
        )

    def _update_waits(self) -> bool:
        """Update the expected waits; return whether a heartbeat has to be stored.

        Without it, waits would expire while other records are saved without one.
        """
        if self.scheduler is None:
            return False
        return self._waits.update(self.scheduler.schedule, HEARTBEAT_INTERVAL_S)

    async def _save(self) -> None:
        while True:
            await self._save_wake.wait()
            self._save_wake = anyio.Event()
            if self.scheduler is None:
                return
            batch, saves = self.scheduler.take_saves()
            records = [
                encode(item.progress)
                for item in saves
                if isinstance(item, SaveProgress)
            ]
            cloud_orders, self._cloud_orders = self._cloud_orders, {}
            # Read before the append: a handover that is requested during the append
            # is saved by a record of its own.
            released = self._handing_over
            if released or cloud_orders or self._update_waits() or not records:
                records.append(self._heartbeat_record(released))
            # Time of the first attempt: the response to a retry may be the stored
            # response to that attempt.
            sent_ms = now_ms()
            if await self._log.append(records) is None:
                self._lose_ownership("the log has a newer owner")
                return
            self.handle(LogAnswered(sent_ms))
            self._on_saved(batch, saves)
            if released:
                self.scheduler = None
                self._ended.set()
                return
            for cloud_order in cloud_orders.values():
                self._spawn(self._cloud.order, cloud_order)

    def _on_saved(self, batch: int, saves: list[Effect]) -> None:
        self._saved_at = anyio.current_time()
        saved, self.saved = self.saved, anyio.Event()
        if self._pause_unconfirmed:
            _LOGGER.info("pause_over", fence=self.fence)
            self._pause_unconfirmed = False
            self._last_tick_ms = now_ms()
        for item in saves:
            if isinstance(item, SaveProgress):
                self._follower.book.apply(item.progress)
        if saves:
            self.handle(ProgressSaved(batch))
        if self.scheduler is not None:
            self._held_starts.stored(self.scheduler.schedule)
        saved.set()
        self._effects_wake.set()


def _ignore(_change: object) -> None:
    """Ignore a change while this host does not own the schedule."""
