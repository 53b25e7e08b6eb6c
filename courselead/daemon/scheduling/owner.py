"""The owner of the schedule: carries out what the scheduler decides."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import structlog
from anyio.abc import TaskGroup
from returns.result import Failure, Success

from courselead.core.scheduler.events import (
    AdviceFailed,
    AdviceGiven,
    AskAdvice,
    ConfigChanged,
    DutyAnswered,
    Effect,
    Event,
    FollowMinion,
    ForgetJob,
    HoldAnswered,
    HoldFailed,
    JobArrived,
    JobCancelRequested,
    LeaveMinion,
    ListWorkers,
    MaintainWorker,
    MinionListed,
    MinionUnlisted,
    MoveWorker,
    Note,
    OrderAnswered,
    PaceRun,
    ProgressSaved,
    SaveProgress,
    SaveWaveStatus,
    StartRun,
    StepDown,
    StopRun,
    Tick,
    WaveRequested,
    WorkersListed,
)
from courselead.core.scheduler.models import Bounds, FleetConfig, MaintenanceWave
from courselead.core.scheduler.records import (
    JobAccepted,
    JobCancelled,
    KeyedRecord,
    OwnerBeat,
    Record,
    encode,
    forget,
)
from courselead.core.scheduler.scheduler import Scheduler
from courselead.daemon.scheduling.claims import Claim
from courselead.daemon.scheduling.directions import DirectionsView
from courselead.daemon.scheduling.follower import JobFollower, KeyedFollower
from courselead.daemon.scheduling.ports import (
    AppendFenced,
    HostCounters,
    MinionLink,
    OrderAnswer,
    Platform,
    ProducerMark,
)

_LOGGER = structlog.get_logger(__name__)

TICK_S = 0.1
"""Period of the scheduler's own clock: leases and waves need no finer one."""

BEAT_S = 0.4
"""Longest time between two of the owner's records: a quarter of the time after which
another host takes over."""

PAUSE_S = 0.8
"""A gap between ticks from which this process may have stood still while another took
over: no order goes out before the log has taken a record under this fence."""

SAVE_GAP_S = 0.03
"""Least time between two saves that no caller waits for: calls are priced, and so are
looks at minions, which answer at once until the ends that they report are stored."""

SAVED_WAIT_S = 0.2
"""Longest wait for that before the next look, for the time of the log's outages."""

LIST_GAP_S = 0.1
"""Pause between two reads of the minions' list, in which each beat is a record."""

APPEND_TIMEOUT_MS = 500
"""Time until the same append is sent again: repeats are told apart by their number."""

APPEND_RETRY_S = 0.1
HOLD_PAUSE_S = 0.004
"""Pause between two looks at a minion: ends come in bunches and share a look."""

HOLD_RETRY_S = 0.25
ADVICE_SLACK_MS = 2_000
STATUS_RETRY_S = 0.2
_PRODUCER = "owner"


def now_ms() -> int:
    """Return the steady clock."""
    return int(time.monotonic() * 1000)


def wall_ms() -> int:
    """Return the time since 1970."""
    return int(time.time() * 1000)


class Owner:
    """Owns the schedule from a won claim until a newer one or the handover."""

    def __init__(
        self,
        claim: Claim,
        host: str,
        platform: Platform,
        follower: JobFollower,
        directions: DirectionsView,
        bounds: Bounds,
        counters: HostCounters,
        quiet_ms: int,
    ) -> None:
        """Keep the parts; `run` takes over."""
        self._quiet_ms = quiet_ms
        self._claim = claim
        self._host = host
        self._platform = platform
        self._follower = follower
        self._directions = directions
        self._bounds = bounds
        self._counters = counters
        self._links: dict[str, MinionLink] = {}
        self._listed: set[str] = set()
        self._sequence = 0
        self._beat = 0
        self._saved_at = 0.0
        self._alive_ms = now_ms()
        self._unsure = False
        self._handing_over = False
        self._wake = anyio.Event()
        self._save_wake = anyio.Event()
        self._saved = anyio.Event()
        self._ended = anyio.Event()
        self._advice_turn = anyio.Lock()
        self._status_turn = anyio.Lock()
        self._scheduler: Scheduler | None = None
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Own the schedule until it is lost or handed over."""
        fence = self._claim.fence
        try:
            if not await self._fence_the_log():
                return
            _LOGGER.info("schedule_owned", fence=fence, first=self._claim.first)
            self._follower.follow_closely(True)
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._begin()
                for work in (self._follow_list, self._tick, self._save, self._pump):
                    tasks.start_soon(work)
                await self._ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._follower.on_change = _ignore
            self._directions.on_config = _ignore
            self._directions.on_wave = _ignore
            self._follower.follow_closely(False)
            for link in self._links.values():
                link.close()
            _LOGGER.info("schedule_left", fence=fence, handed=self._handing_over)

    def reload(self, bounds: Bounds) -> None:
        """Take changed bounds of the deployment."""
        self._bounds = bounds
        if self._scheduler is not None:
            self._scheduler.schedule.bounds = bounds

    async def hand_over(self) -> None:
        """Store what is open, release the schedule and end."""
        self._handing_over = True
        if self._scheduler is None:
            self._ended.set()
            return
        self._save_wake.set()
        await self._ended.wait()

    # Taking over

    async def _fence_the_log(self) -> bool:
        """Write under the claim's fence, and read the log up to that record."""
        result = await self._append([self._beat_record(False)])
        if result is None:
            return False
        while self._follower.offset <= result:
            if not await self._follower.catch_up():
                await anyio.sleep(APPEND_RETRY_S)
        # The same read may have brought a newer claim and jobs stored after it,
        # which that owner takes for untouched.
        newest = self._follower.book.owner
        return newest is not None and newest.fence == self._claim.fence

    def _begin(self) -> None:
        self._scheduler = Scheduler(
            self._claim.fence,
            self._claim.first,
            self._directions.fleet,
            self._bounds,
            self._follower.book,
            now_ms(),
            wall_ms(),
            self._quiet_ms,
        )
        self._alive_ms = now_ms()
        self._follower.on_change = self._log_changed
        self._directions.on_config = self._config_changed
        self._directions.on_wave = self._wave_requested
        for wave in self._directions.waves.values():
            self._wave_requested(wave)

    # Events

    def _handle(self, event: Event) -> None:
        if self._scheduler is None:
            return
        self._scheduler.handle(event, now_ms())
        self._wake.set()

    def _log_changed(self, record: Record) -> None:
        match record:
            case JobAccepted():
                self._handle(JobArrived(record.job_id))
            case JobCancelled():
                self._handle(JobCancelRequested(record.job_id))
            case OwnerBeat() if record.fence > self._claim.fence:
                self._lose("the log has a newer owner")

    def _config_changed(self, config: FleetConfig) -> None:
        self._handle(ConfigChanged(config))

    def _wave_requested(self, wave: MaintenanceWave) -> None:
        self._handle(WaveRequested(wave))

    def _lose(self, reason: str) -> None:
        if self._ended.is_set():
            return
        _LOGGER.warning("schedule_lost", fence=self._claim.fence, reason=reason)
        self._scheduler = None
        self._ended.set()

    async def _follow_list(self) -> None:
        await KeyedFollower(
            "minions",
            self._platform.minions,
            self._minion_record,
            self._minion_keys,
            gap_s=LIST_GAP_S,
            counters=self._counters,
        ).run()

    def _minion_record(self, record: KeyedRecord) -> None:
        decoded = self._platform.decode.minion(record)
        if isinstance(decoded, str):
            self._listed.discard(decoded)
            self._handle(MinionUnlisted(decoded))
            return
        self._listed.add(decoded.minion_id)
        self._handle(MinionListed(decoded))

    def _minion_keys(self, keys: set[bytes]) -> None:
        names = {key.decode("utf-8", "replace") for key in keys}
        for minion_id in sorted(self._listed - names):
            self._listed.discard(minion_id)
            self._handle(MinionUnlisted(minion_id))

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            self._check_pause()
            self._alive_ms = now_ms()
            self._handle(Tick(wall_ms()))
            if anyio.current_time() - self._saved_at >= BEAT_S:
                self._save_wake.set()

    def _check_pause(self) -> None:
        gap_ms = now_ms() - self._alive_ms
        if gap_ms < PAUSE_S * 1000 or self._unsure:
            return
        _LOGGER.warning("pause_noticed", gap_ms=gap_ms, fence=self._claim.fence)
        self._unsure = True
        self._save_wake.set()

    # Effects

    async def _pump(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            self._check_pause()
            if self._scheduler is None:
                return
            if self._unsure or self._handing_over:
                continue
            self._scheduler.place(now_ms())
            for effect in self._scheduler.take_effects():
                self._carry_out(effect)
            self._save_soon()

    def _save_soon(self) -> None:
        """Store at once what callers wait for, the rest with it or a little later."""
        if self._scheduler is None or not self._scheduler.schedule.unsaved:
            return
        age_s = anyio.current_time() - self._saved_at
        if age_s >= SAVE_GAP_S or self._scheduler.schedule.urgent:
            self._save_wake.set()

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case StartRun():
                self._spawn(self._start, effect)
            case StopRun():
                self._spawn(self._stop, effect)
            case PaceRun():
                self._spawn(self._set_pace, effect)
            case FollowMinion():
                self._spawn(self._follow_minion, effect.minion_id)
            case LeaveMinion():
                link = self._links.pop(effect.minion_id, None)
                if link is not None:
                    link.close()
            case AskAdvice():
                self._spawn(self._ask_advice, effect)
            case ListWorkers():
                self._spawn(self._list_workers)
            case MaintainWorker():
                self._spawn(self._maintain, effect)
            case MoveWorker():
                self._spawn(self._move, effect)
            case SaveWaveStatus():
                self._spawn(self._save_wave, effect)
            case ForgetJob():
                self._spawn(self._forget, effect)
            case StepDown():
                self._lose(effect.reason)
            case Note():
                _LOGGER.info(effect.event, fence=self._claim.fence, **effect.fields)

    def _observe(self, call: str, outcome: str, begun: float) -> None:
        """Take the time of a call that was begun at `begun` on the steady clock."""
        self._counters.observe(call, outcome, anyio.current_time() - begun)

    def _spawn(self, work: Callable[..., object], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(work, *args)  # type: ignore[arg-type]

    def _link(self, minion_id: str) -> MinionLink | None:
        if self._scheduler is None:
            return None
        minion = self._scheduler.schedule.minions.get(minion_id)
        if minion is None:
            return None
        link = self._links.get(minion_id)
        if link is None:
            link = self._links[minion_id] = self._platform.link(minion.info)
        return link

    async def _start(self, order: StartRun) -> None:
        self._counters.add("starts")
        link = self._link(order.minion_id)
        if link is None:
            return
        begun = anyio.current_time()
        answer = await link.start(order, self._claim.fence)
        self._observe("start", str(answer.outcome), begun)
        self._answered(order, "start", answer)

    async def _stop(self, order: StopRun) -> None:
        self._counters.add("stops")
        link = self._link(order.minion_id)
        if link is None:
            return
        answer = await link.stop(order.task, order.number, self._claim.fence)
        self._answered(order, "stop", answer)

    async def _set_pace(self, order: PaceRun) -> None:
        self._counters.add("paces")
        link = self._link(order.minion_id)
        if link is None:
            return
        answer = await link.pace(
            order.task, order.number, order.percent, self._claim.fence
        )
        self._answered(order, "pace", answer)

    def _answered(
        self, order: StartRun | StopRun | PaceRun, verb: str, answer: OrderAnswer
    ) -> None:
        self._handle(
            OrderAnswered(
                order.minion_id,
                order.task,
                order.number,
                verb,
                answer.outcome,
                answer.clock_ms,
                answer.reason,
            )
        )

    async def _follow_minion(self, minion_id: str) -> None:
        while self._scheduler is not None:
            call = self._scheduler.hold_call(minion_id, now_ms())
            link = self._link(minion_id)
            if call is None or link is None:
                return
            sent_ms = now_ms()
            self._counters.add("holds")
            result = await link.hold(
                self._claim.fence, call.cursor, call.lease_ms, call.wait_ms
            )
            if isinstance(result, Success):
                hold = result.unwrap()
                self._observe("hold", "ok", sent_ms / 1000)
                self._handle(
                    HoldAnswered(
                        minion_id, sent_ms, hold.clock_ms, hold.running, hold.ended
                    )
                )
                await anyio.sleep(HOLD_PAUSE_S)
                await self._wait_saved(minion_id)
                continue
            failed = result.failure()
            self._observe("hold", str(failed.outcome), sent_ms / 1000)
            self._handle(HoldFailed(minion_id, failed.outcome, failed.reason))
            await anyio.sleep(HOLD_RETRY_S)

    async def _wait_saved(self, minion_id: str) -> None:
        """Wait until the minion may forget the ends that it has just reported."""
        with anyio.move_on_after(SAVED_WAIT_S):
            while self._scheduler is not None:
                minion = self._scheduler.schedule.minions.get(minion_id)
                if minion is None or not minion.unsaved:
                    return
                await self._saved.wait()

    async def _ask_advice(self, ask: AskAdvice) -> None:
        wait_ms = ADVICE_SLACK_MS
        async with self._advice_turn:
            self._counters.add("advice_calls")
            result = await self._platform.advice.ask(ask.step, ask.minion_ids, wait_ms)
        if isinstance(result, Failure):
            _LOGGER.info("advice_failed", step=ask.step, reason=result.failure())
            self._handle(AdviceFailed(ask.step, result.failure()))
            return
        given = result.unwrap()
        self._handle(AdviceGiven(ask.step, given.tickets, given.valid_ms))

    async def _list_workers(self) -> None:
        asked_ms = now_ms()
        self._counters.add("cloud_lists")
        result = await self._platform.cloud.workers()
        if isinstance(result, Failure):
            _LOGGER.warning("cloud_list_failed", reason=result.failure())
            return
        self._handle(WorkersListed(asked_ms, result.unwrap()))

    async def _maintain(self, order: MaintainWorker) -> None:
        answer = await self._platform.cloud.maintain(
            order.worker_id, order.wave, self._claim.fence
        )
        self._handle(DutyAnswered(order.worker_id, answer.outcome, answer.reason))

    async def _move(self, order: MoveWorker) -> None:
        answer = await self._platform.cloud.move(
            order.worker_id, order.pool, self._claim.fence
        )
        self._handle(DutyAnswered(order.worker_id, answer.outcome, answer.reason))

    async def _save_wave(self, order: SaveWaveStatus) -> None:
        record = self._platform.decode.wave_status(order.wave, order.completed)
        # One at a time, so that `running` never comes after `completed`.
        async with self._status_turn:
            while True:
                result = await self._platform.status.append([record], APPEND_TIMEOUT_MS)
                if isinstance(result, Success):
                    return
                _LOGGER.warning(
                    "wave_status_failed", wave=order.wave, reason=str(result.failure())
                )
                await anyio.sleep(STATUS_RETRY_S)

    async def _forget(self, order: ForgetJob) -> None:
        result = await self._platform.jobs.append(
            forget(order.job_id), APPEND_TIMEOUT_MS
        )
        if isinstance(result, Failure):
            _LOGGER.info("forget_failed", job_id=order.job_id)

    # Saving

    def _beat_record(self, released: bool) -> KeyedRecord:
        self._beat += 1
        turns = {}
        ordered: dict[str, int] = {}
        if self._scheduler is not None:
            if released:
                ordered = self._scheduler.recent_orders(now_ms())
            for pool, known in self._scheduler.schedule.turns.items():
                if known.seen:
                    turns[pool] = known.memory
        return encode(
            OwnerBeat(
                self._claim.fence, self._host, self._beat, released, turns, ordered
            )
        )

    async def _save(self) -> None:
        while True:
            await self._save_wake.wait()
            self._save_wake = anyio.Event()
            if self._scheduler is None:
                return
            batch, saves = self._scheduler.take_saves()
            records = [
                encode(item.progress)
                for item in saves
                if isinstance(item, SaveProgress)
            ]
            if self._handing_over or not records:
                records.append(self._beat_record(self._handing_over))
            if await self._append(records) is None:
                self._lose("the log has a newer owner")
                return
            self._stored(batch, saves)
            if self._handing_over:
                self._scheduler = None
                self._ended.set()
                return

    def _stored(self, batch: int, saves: list[Effect]) -> None:
        self._saved_at = anyio.current_time()
        saved, self._saved = self._saved, anyio.Event()
        if self._unsure:
            _LOGGER.info("pause_over", fence=self._claim.fence)
            self._unsure = False
            self._alive_ms = now_ms()
        for item in saves:
            if isinstance(item, SaveProgress):
                self._follower.book.apply(item.progress)
        if saves:
            self._handle(ProgressSaved(batch))
        saved.set()
        self._wake.set()

    async def _append(self, records: list[KeyedRecord]) -> int | None:
        """Store records until they are; nothing if a newer owner has written."""
        mark = ProducerMark(_PRODUCER, self._claim.fence, self._sequence)
        failures = 0
        while True:
            self._counters.add("save_calls")
            begun = anyio.current_time()
            result = await self._platform.jobs.append(
                records, APPEND_TIMEOUT_MS, mark=mark
            )
            outcome = "ok" if isinstance(result, Success) else "failed"
            self._observe("save", outcome, begun)
            if isinstance(result, Success):
                if failures:
                    _LOGGER.info("log_writable", failures=failures)
                self._sequence += 1
                return result.unwrap().offset
            error = result.failure()
            if isinstance(error, AppendFenced):
                return None
            failures += 1
            if failures == 1:
                _LOGGER.warning("log_not_writable", reason=str(error))
            await anyio.sleep(APPEND_RETRY_S)


def _ignore(_change: object) -> None:
    """Take no notice: this host owns nothing."""
