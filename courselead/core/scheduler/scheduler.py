"""Reducer of the schedule's owner: applies events and returns effects."""

from __future__ import annotations

from dataclasses import dataclass, replace

from courselead.core.scheduler import (
    const,
    crashes,
    evacuation,
    forgetting,
    jobs,
    left_starts,
    lives,
    minions,
    opening,
    placement,
    pools,
    tickets,
    waves,
)
from courselead.core.scheduler.book import OPEN_TASK_BYTES, JobBook
from courselead.core.scheduler.events import (
    AdviceAnswered,
    AdviceFailed,
    CloudOrderAnswered,
    ConfigChanged,
    EarlyCancelStored,
    Effect,
    Event,
    JobArrived,
    JobCancelRequested,
    LogAnswered,
    MinionListed,
    MinionUnlisted,
    OperatorLogRead,
    OrderAnswered,
    Outcome,
    PollAnswered,
    PollFailed,
    ProgressSaved,
    StartRun,
    Tick,
    WaveRequested,
    WorkersListed,
    ZonesEvacuated,
)
from courselead.core.scheduler.models import (
    Bounds,
    FleetConfig,
    Incarnation,
    WorkerPhase,
)
from courselead.core.scheduler.run_records import RemainingRuns
from courselead.core.scheduler.schedule import MinionPlace, Schedule

FORGET_PERIOD_MS = 10_000
"""Interval of sweeps for jobs that ended long ago, which bounds their cost."""

_ENDED_INCARNATION_PHASES = (
    WorkerPhase.DOWN,
    WorkerPhase.MOVING,
    WorkerPhase.MAINTENANCE,
)


@dataclass(frozen=True, slots=True)
class HoldCall:
    """Parameters of a poll of a minion; `lease_ms` 0 renews no lease."""

    lease_ms: int
    cursor: int
    wait_ms: int


class Scheduler:
    """The owner of the schedule under one fence."""

    def __init__(
        self,
        fence: int,
        first_owner: bool,
        config: FleetConfig,
        bounds: Bounds,
        book: JobBook,
        now_ms: int,
        wall_ms: int,
        own_zone: str = "",
        remaining_runs: RemainingRuns | None = None,
        starts_are_bound: bool = False,
        operator_log_age_ms: int = 0,
        max_job_bytes: int | None = None,
    ) -> None:
        """Take over the schedule as recorded in the log.

        Args:
            fence: Fencing token of the claim, sent with all orders.
            first_owner: Whether there was no claim before.
            config: The newest configuration.
            bounds: Bounds of the deployment.
            book: State built from the log, kept up to date by the host.
            now_ms: Time on the monotonic clock.
            wall_ms: Time since 1970.
            own_zone: Availability zone of this host, "" if it stores no starts.
            remaining_runs: Runs that the previous owner may have left, None if unknown.
            starts_are_bound: Whether a start order can only reach the incarnation that
                it was sent to.
            operator_log_age_ms: Age of what is known of the operator's log.
            max_job_bytes: Memory for the jobs of the log, None if it is unknown.
        """
        schedule = Schedule(
            fence, bounds, config, book, now_ms, now_ms, now_ms, wall_ms
        )
        schedule.own_zone = own_zone
        schedule.remaining_runs = remaining_runs
        schedule.starts_are_bound = starts_are_bound
        schedule.operator_log_read_ms = now_ms - operator_log_age_ms
        before = book.previous_owner
        if before is not None:
            # The previous owner sent no orders that are missing from this record.
            for worker_id, age_ms in before.ordered.items():
                left_ms = schedule.order_block_ms - age_ms
                schedule.orders_blocked_until_ms[worker_id] = now_ms + left_ms
        elif not first_owner:
            schedule.cloud_orders_after_ms = now_ms + bounds.cloud_order_lease_ms
        self.schedule = schedule
        self._forgot_ms = now_ms
        if max_job_bytes is not None:
            schedule.max_open_tasks = max_job_bytes // OPEN_TASK_BYTES
        for entry in list(book.jobs.values()):
            if not entry.state.final:
                opening.add_job(schedule, entry, from_before=True)
        opening.open_due(schedule)

    def handle(self, event: Event, now_ms: int) -> None:
        """Apply an event; its effects are returned by `take_effects`."""
        schedule = self.schedule
        schedule.now_ms = now_ms
        match event:
            case PollAnswered():
                minions.poll_answered(schedule, event)
            case OrderAnswered():
                minions.order_answered(schedule, event)
            case PollFailed():
                minions.poll_failed(schedule, event)
            case JobArrived():
                self._job_arrived(event.job_id)
            case JobCancelRequested():
                jobs.cancel(schedule, event.job_id)
            case EarlyCancelStored():
                jobs.cancel_early(schedule, event.job_id)
            case ProgressSaved():
                self._saved(event.batch)
            case MinionListed():
                lives.handle_listed(schedule, event.info)
            case MinionUnlisted():
                lives.handle_removed(schedule, event.minion_id)
            case ConfigChanged():
                before, schedule.config = schedule.config, event.config
                jobs.config_changed(schedule, before)
                lives.add_minions_of_new_pools(schedule)
                schedule.dirty_pools.update(schedule.ready)
            case LogAnswered():
                schedule.confirmed_ms = max(schedule.confirmed_ms, event.sent_ms)
            case AdviceAnswered():
                tickets.advice_given(
                    schedule, event.step, event.tickets, event.valid_ms
                )
            case AdviceFailed():
                tickets.advice_failed(schedule, event.step)
            case WorkersListed():
                self._workers_listed(event)
            case CloudOrderAnswered():
                self._cloud_order_answered(event)
            case WaveRequested():
                waves.requested(schedule, event.wave)
            case ZonesEvacuated():
                evacuation.zones_evacuated(schedule, event)
            case OperatorLogRead():
                evacuation.operator_log_read(schedule, event)
            case Tick():
                self._tick(event.wall_ms)

    def place(self, now_ms: int) -> None:
        """Start the units that fit; to be called after a batch of events."""
        self.schedule.now_ms = now_ms
        placement.place_all(self.schedule)

    def may_send(self, order: StartRun, now_ms: int) -> bool:
        """Return whether a start order that is about to be sent is still allowed."""
        self.schedule.now_ms = now_ms
        return self.schedule.may_send(order)

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call, except records to store."""
        effects, self.schedule.effects = self.schedule.effects, []
        return effects

    def take_saves(self) -> tuple[int, list[Effect]]:
        """Close the open batch and return its number and records."""
        schedule = self.schedule
        schedule.starts_wait = False
        if not schedule.unsaved:
            return schedule.open_batch, []
        kept, schedule.effects = schedule.effects, []
        jobs.flush(schedule)
        saves, schedule.effects = schedule.effects, kept
        batch = schedule.open_batch
        schedule.open_batch += 1
        return batch, saves

    def recent_orders(self, now_ms: int) -> dict[str, int]:
        """Return by worker the ages of orders that may still affect the next owner."""
        schedule = self.schedule
        longest_ms = schedule.order_block_ms
        ages = {}
        for worker_id, at_ms in schedule.ordered_ms.items():
            if now_ms - at_ms < longest_ms:
                ages[worker_id] = now_ms - at_ms
        for worker_id, at_ms in schedule.orders_blocked_until_ms.items():
            left_ms = at_ms - now_ms
            if left_ms > 0 and worker_id not in ages:
                ages[worker_id] = longest_ms - left_ms
        for worker_id, move in schedule.moves.items():
            if not move.accepted_ms:
                ages[worker_id] = 0
        for wave in schedule.waves.values():
            for worker_id in wave.down:
                if worker_id not in wave.begun:
                    ages[worker_id] = 0
        return ages

    def poll_call(
        self, minion_id: str, now_ms: int, born_ms: int = 0
    ) -> HoldCall | None:
        """Return the next poll of a minion, None if the minion is no longer tracked.

        Args:
            minion_id: Id of the minion.
            now_ms: Time on the owner's monotonic clock.
            born_ms: Start time of the incarnation that is polled, 0 if unknown.
        """
        schedule = self.schedule
        schedule.now_ms = now_ms
        minion = lives.current_minion(schedule, Incarnation(minion_id, born_ms))
        if minion is None:
            return None
        lease_ms = 0
        # A poll may arrive and renew a lease even if its answer is lost, so an
        # unreachable minion gets no lease.
        reached = minion.synced and minion.failures < const.UNREACHABLE_FAILURES
        if reached and schedule.lease_left_ms > 0:
            lease_ms = schedule.grant_lease(minion)
        wait_ms = const.POLL_WAIT_MS
        if not minion.synced or minion.failures:
            wait_ms = 0
        elif not minion.runs:
            wait_ms = const.POLL_WAIT_IDLE_MS
        return HoldCall(lease_ms, minion.cursor, min(wait_ms, self._longest_wait_ms()))

    def _longest_wait_ms(self) -> int:
        """Return the maximum wait of a poll, which is short while answers are lost."""
        schedule = self.schedule
        if schedule.now_ms >= schedule.lossy_until_ms:
            return const.POLL_WAIT_IDLE_MS
        rate_limit_ms = len(schedule.minions) * 1_000 // const.LOSSY_POLLS_PER_S
        return max(const.LOSSY_WAIT_MS, rate_limit_ms)

    def _job_arrived(self, job_id: str) -> None:
        schedule = self.schedule
        entry = schedule.book.jobs.get(job_id)
        if entry is None or job_id in schedule.jobs:
            return
        if entry.cancelled:
            jobs.add_cancelled(schedule, entry, from_before=False)
        elif job_id not in schedule.waiting_jobs:
            opening.add_job(schedule, entry, from_before=False)

    def _saved(self, batch: int) -> None:
        self.schedule.saved_batch = batch
        for suspect in self.schedule.suspects.values():
            self.schedule.dirty_pools.add(suspect.unit.job.pool)
        for minion in self.schedule.minions.values():
            unsaved = minion.unsaved
            while unsaved and unsaved[0].batch <= batch:
                minion.cursor = unsaved.pop(0).sequence

    def _workers_listed(self, event: WorkersListed) -> None:
        schedule = self.schedule
        first = schedule.workers_ms < 0
        schedule.workers_ms = schedule.now_ms
        schedule.workers = {item.worker_id: item for item in event.workers}
        for worker_id, move in schedule.moves.items():
            # The list may have been requested before the move was ordered.
            worker = schedule.workers.get(worker_id)
            if worker is not None and event.asked_ms <= move.sent_ms:
                moving = replace(worker, phase=WorkerPhase.MOVING)
                schedule.workers[worker_id] = moving
        on_workers: set[str] = set()
        for worker in event.workers:
            on_workers.add(worker.minion_id)
            minion = schedule.minions.get(worker.minion_id)
            if minion is not None:
                minion.worker_id = worker.worker_id
            elif first and worker.phase is WorkerPhase.UP and worker.minion_id:
                unconfirmed = MinionPlace(worker.pool, worker.zone)
                schedule.unconfirmed_minions[worker.minion_id] = unconfirmed
        for minion_id in list(schedule.unconfirmed_minions):
            if minion_id not in on_workers:
                del schedule.unconfirmed_minions[minion_id]
        self._end_replaced_incarnations(event, on_workers)
        waves.workers_listed(schedule, event.asked_ms)
        pools.workers_listed(schedule, event.asked_ms)

    def _end_replaced_incarnations(
        self, event: WorkersListed, on_workers: set[str]
    ) -> None:
        """End the incarnations of silent minions that are over according to the cloud.

        Only the cloud's list counts, not an ordered move. The list must have been
        requested after the incarnation became known: a worker that has moved has a new
        incarnation.
        """
        schedule = self.schedule
        listed_workers = {worker.worker_id: worker for worker in event.workers}
        for minion in list(schedule.minions.values()):
            if not minion.failures or event.asked_ms <= minion.listed_ms:
                continue
            if not minion.worker_id:
                known_ms = event.asked_ms - minion.listed_ms
                unknown = minion.minion_id not in on_workers
                if unknown and known_ms > const.UNKNOWN_INCARNATION_MS:
                    lives.drop_unreachable(schedule, minion, "cloud: no worker has it")
                continue
            worker = listed_workers.get(minion.worker_id)
            if worker is None:
                continue
            replaced = worker.minion_id and worker.minion_id != minion.minion_id
            if replaced or worker.phase in _ENDED_INCARNATION_PHASES:
                lives.end_incarnation(
                    schedule, minion, f"cloud: worker is {worker.phase}"
                )

    def _cloud_order_answered(self, event: CloudOrderAnswered) -> None:
        schedule = self.schedule
        schedule.log_event(
            "duty_answered",
            worker=event.worker_id,
            pool=event.pool,
            wave=event.wave,
            outcome=str(event.outcome),
            reason=event.reason,
        )
        if event.outcome is Outcome.FENCED:
            return
        if event.pool:
            pools.answered(schedule, event)
            return
        waves.answered(schedule, event)

    def _tick(self, wall_ms: int) -> None:
        schedule = self.schedule
        schedule.wall_ms = wall_ms
        opening.open_waiting(schedule)
        opening.open_due(schedule)
        minions.tick(schedule)
        left_starts.tick(schedule)
        crashes.tick(schedule)
        waves.tick(schedule)
        pools.tick(schedule)
        schedule.dirty_pools.update(schedule.ready)
        if schedule.now_ms - self._forgot_ms >= FORGET_PERIOD_MS:
            self._forgot_ms = schedule.now_ms
            forgetting.forget_old(schedule)
            forgetting.drop_units_of_ended_jobs(schedule)
            forgetting.forget_early_cancels(schedule)
