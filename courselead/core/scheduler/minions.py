"""Processes the reports of minions: runs, ends, and answers that did not arrive."""

from __future__ import annotations

from courselead.core.scheduler import (
    const,
    crashes,
    delayed_starts,
    evacuation,
    evacuation_moves,
    jobs,
    left_starts,
    lives,
    lost_runs,
    pace,
    ready_lists,
    reported_tasks,
    run_ends,
    service_stops,
    stalls,
    tickets,
)
from courselead.core.scheduler.events import (
    OrderAnswered,
    Outcome,
    PollAnswered,
    PollFailed,
    RunReport,
    StepDown,
    StoreRuns,
)
from courselead.core.scheduler.schedule import Schedule, add_use
from courselead.core.scheduler.state import (
    READY_PERCENT,
    Minion,
    Run,
    RunPhase,
)


def poll_answered(schedule: Schedule, event: PollAnswered) -> None:
    """Process a minion's answer to a poll."""
    minion = lives.current_minion(schedule, event.incarnation)
    if minion is None:
        return
    if event.answered_by is not None and not lives.is_answer_of_current_incarnation(
        minion, event.answered_by
    ):
        lives.switch_to_answering_incarnation(schedule, minion, event.answered_by)
        return
    _mark_responsive(schedule, minion)
    if minion.failures:
        schedule.log_event("minion_reached", minion=minion.minion_id)
        schedule.lossy_until_ms = schedule.now_ms + const.LOSSY_MS
        schedule.dirty_pools.add(minion.info.pool)
    minion.failures = 0
    minion.clock_ms = event.clock_ms
    minion.clock_at_ms = schedule.now_ms
    minion.seen_ms = schedule.now_ms
    reported: set[tuple[str, int]] = set()
    for report in event.running:
        reported.add((report.task, report.number))
        _process_run_report(schedule, minion, report)
    for end in event.ended:
        reported.add((end.task, end.number))
        run_ends.process_end(schedule, minion, end)
    if event.lists_all_ends:
        _drop_stopped_unreported(schedule, minion, event.sent_ms, reported)
    service_stops.minion_polled(schedule, minion, reported)
    delayed_starts.resend_pending_stops(schedule, minion, after_poll=True)
    stalls.stop_stalled_services(schedule, minion, event.sent_ms)
    if not minion.synced:
        _synced(schedule, minion, event)
    elif event.lists_all_ends and minion.minion_id in schedule.partly_reported:
        schedule.log_event(
            "minion_ends_listed", minion=minion.minion_id, ends=minion.ended_seen
        )
        _all_ends_listed(schedule, minion)
    pace.adjust(schedule, minion)


def _synced(schedule: Schedule, minion: Minion, event: PollAnswered) -> None:
    """Record the first answer of a minion to this owner."""
    minion.synced = True
    minion.synced_ms = schedule.now_ms
    schedule.dirty_pools.add(minion.info.pool)
    schedule.log_event(
        "minion_synced",
        minion=minion.minion_id,
        runs=len(event.running),
        ends=len(event.ended),
        all_ends=event.lists_all_ends,
    )
    left_starts.minion_synced(schedule, minion)
    crashes.withdraw(schedule, minion.info.incarnation)
    if event.lists_all_ends:
        _all_ends_listed(schedule, minion)
    else:
        schedule.partly_reported.add(minion.minion_id)


def _all_ends_listed(schedule: Schedule, minion: Minion) -> None:
    """Record that a minion has listed all of its run ends to this owner.

    Only then can its runs be recorded for the next owner: a task with an end that is
    not listed yet would be missing in the record.
    """
    schedule.partly_reported.discard(minion.minion_id)
    schedule.dirty_pools.add(minion.info.pool)
    if schedule.stores_starts_on(minion):
        schedule.emit(StoreRuns(minion.minion_id))


def poll_failed(schedule: Schedule, event: PollFailed) -> None:
    """Process a failed poll."""
    minion = lives.current_minion(schedule, event.incarnation)
    if minion is None:
        return
    if _handle_final_outcome(schedule, minion, event.outcome):
        return
    minion.failures += 1
    if minion.failures == const.UNREACHABLE_FAILURES:
        schedule.log_event(
            "minion_unreachable", minion=minion.minion_id, reason=event.reason
        )
    if minion.has_no_entry and lives.is_certainly_empty(schedule, minion):
        lives.drop_unreachable(schedule, minion, "left the list and does not answer")


def _mark_responsive(schedule: Schedule, minion: Minion) -> None:
    """Record that a minion has answered a poll or an order."""
    if minion.is_unresponsive(schedule.now_ms):
        schedule.dirty_pools.add(minion.info.pool)
    minion.unanswered_since_ms = 0


def _handle_final_outcome(schedule: Schedule, minion: Minion, outcome: Outcome) -> bool:
    """Handle an answer that ends this ownership or the minion's incarnation.

    Returns whether it did; the answer needs no further processing then.
    """
    if outcome is Outcome.FENCED:
        schedule.emit(StepDown("a minion has seen a newer fencing token"))
        return True
    if outcome is Outcome.OTHER_INCARNATION:
        lives.end_incarnation(
            schedule, minion, "another incarnation answers at its address"
        )
        return True
    return False


def order_answered(schedule: Schedule, event: OrderAnswered) -> None:
    """Process the answer to a start, stop or pace order, or the lack of one."""
    minion = lives.current_minion(schedule, event.incarnation)
    if minion is None:
        return
    if _handle_final_outcome(schedule, minion, event.outcome):
        return
    if event.outcome is not Outcome.UNKNOWN:
        _mark_responsive(schedule, minion)
    stopped = event.verb == "stop" and event.outcome is Outcome.OK
    if stopped:
        minion.unanswered_stray_stops.discard((event.task, event.number))
    run = minion.runs.get((event.task, event.number))
    if run is None:
        return
    if event.verb == "start":
        run.start_repeated = run.start_repeated or event.repeated
        if event.repeated or event.outcome is Outcome.UNKNOWN:
            lost_runs.remember_delayed_start(schedule, run)
        _handle_start_answer(schedule, minion, run, event)
    elif stopped:
        service_stops.stop_answered(schedule, run)
    elif event.verb == "stop" and event.outcome is Outcome.NOT_SENT:
        service_stops.stop_not_sent(schedule, run, event.reason)


def tick(schedule: Schedule) -> None:
    """Handle expired leases, unanswered stops, stalled runs and draining minions."""
    for minion in list(schedule.minions.values()):
        has_unlisted_ends = minion.minion_id in schedule.partly_reported
        if minion.failures and (minion.runs or has_unlisted_ends):
            _expire_lease(schedule, minion)
        service_stops.tick(schedule, minion)
        stalls.stop_stalled_finite_runs(schedule, minion)
        if minion.unanswered_stray_stops:
            delayed_starts.resend_pending_stops(schedule, minion)
        if minion.info.draining:
            _stop_runs_on_draining(schedule, minion)
    evacuation_moves.tick(schedule)
    evacuation.tick(schedule)
    delayed_starts.drop_expired_starts(schedule)


def _stop_runs_on_draining(schedule: Schedule, minion: Minion) -> None:
    """Stop long-running and checkpointed runs on a minion that is about to leave.

    They are started again elsewhere instead of being lost with the minion.
    """
    for run in list(minion.runs.values()):
        if run.phase is not RunPhase.RUNNING:
            continue
        spec = run.unit.spec
        if spec.long_running or (spec.checkpoints and not spec.gang):
            schedule.stop_run(run, "its minion is draining")


def _expire_lease(schedule: Schedule, minion: Minion) -> None:
    """Drop the runs of a silent minion once its lease is over.

    Run ends that it has not listed count no more, since its lease was over in between.
    """
    if schedule.now_ms < minion.lease_over_ms():
        return
    schedule.log_event("lease_over", minion=minion.minion_id, runs=len(minion.runs))
    if minion.has_no_entry:
        # No entry of this incarnation announced that it was draining.
        crashes.record_incarnation_end(schedule, minion, "its lease is over")
    for run in list(minion.runs.values()):
        lost_runs.lost_with_minion(schedule, run, "its lease is over")
    minion.synced = False
    schedule.partly_reported.discard(minion.minion_id)
    if minion.has_no_entry:
        lives.drop_unreachable(schedule, minion, "left the list, its lease is over")


def _process_run_report(schedule: Schedule, minion: Minion, report: RunReport) -> None:
    run = minion.runs.get((report.task, report.number))
    if run is None:
        run = _adopt_run(schedule, minion, report)
    elif (
        isinstance(run.unit, reported_tasks.StrayUnit) and run.stop_answered_ms is None
    ):
        # Its stop may have been lost.
        schedule.order_stop(run)
    service_stops.run_reported(schedule, minion, run)
    run.confirmed = True
    if run.phase is RunPhase.SENT:
        run.phase = RunPhase.RUNNING
        run.running_ms = schedule.now_ms
        evacuation.run_begun(schedule, minion, run)
        jobs.begin(schedule, run.unit.job)
    if report.checkpoint:
        run.checkpoint = report.checkpoint
    _update_percent(schedule, run, report.percent)
    run.figure = report.figure


def _update_percent(schedule: Schedule, run: Run, percent: int) -> None:
    if percent == run.percent:
        return
    was_ready = run.percent >= READY_PERCENT
    run.percent = percent
    run.percent_ms = schedule.now_ms
    if not run.unit.spec.long_running or was_ready or percent < READY_PERCENT:
        return
    stalls.record_ready(schedule, run)
    schedule.log_event(
        "service_task_ready",
        job_id=run.unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=run.minion_id,
        age_ms=schedule.now_ms - run.started_ms,
    )


def _adopt_run(schedule: Schedule, minion: Minion, report: RunReport) -> Run:
    """Track a reported run, which an earlier owner started or whose task has ended.

    It uses its minion until it is known to have ended, also if it is stopped at once.
    """
    stop_reason = reported_tasks.ENDED
    unit = reported_tasks.unit_of(schedule, report.task)
    if unit is None:
        unit, stop_reason = reported_tasks.stray_unit(
            schedule, report.task, minion.info
        )
        index = unit.indexes[0]
    else:
        index = int(report.task.rpartition(".")[2])
    run = Run(
        unit, index, report.number, minion.minion_id, schedule.now_ms, RunPhase.RUNNING
    )
    run.percent_ms = schedule.now_ms
    run.born_ms = minion.info.born_ms
    other_runs = [other for other in unit.runs if other.index == index]
    schedule.add_run(minion, run)
    add_use(schedule.adopted_use, unit.job.account, unit.spec.need)
    unit.next_number = max(unit.next_number, report.number + 1)
    unit.record_start(report.number)
    unit.job.zone = unit.job.zone or minion.info.zone
    ready_lists.remove(schedule, unit)
    jobs.record_pool(schedule, unit.job, minion.info.pool)
    jobs.begin(schedule, unit.job)
    schedule.log_event(
        "run_adopted",
        job_id=unit.job.job_id,
        task=report.task,
        run=report.number,
        minion=minion.minion_id,
    )
    if not unit.keeps_running:
        schedule.stop_run(run, stop_reason)
    elif other_runs and not unit.spec.speculative:
        schedule.stop_run(run, "another run of the task is known")
    elif unit.spec.long_running and run.key in minion.unanswered_stray_stops:
        # It began late on this incarnation. It goes on, but a stop is in transit.
        minion.unanswered_stray_stops.discard(run.key)
        run.stop_sent_ms = schedule.now_ms
    return run


def _drop_stopped_unreported(
    schedule: Schedule, minion: Minion, sent_ms: int, reported: set[tuple[str, int]]
) -> None:
    """Drop stopped runs that a poll sent after the stop does not report."""
    for run in list(minion.runs.values()):
        if run.key in reported or run.stop_answered_ms is None:
            continue
        if sent_ms > run.stop_answered_ms:
            lost_runs.drop_lost_run(schedule, run)


def _handle_start_answer(
    schedule: Schedule, minion: Minion, run: Run, event: OrderAnswered
) -> None:
    unit = run.unit
    match event.outcome:
        case Outcome.OK:
            if run.phase is RunPhase.SENT:
                run.phase = RunPhase.RUNNING
                run.running_ms = schedule.now_ms
                evacuation.run_begun(schedule, minion, run)
                run.percent_ms = schedule.now_ms
            jobs.begin(schedule, unit.job)
            return
        case Outcome.UNKNOWN | Outcome.SUPERSEDED:
            schedule.log_event(
                "start_unknown",
                job_id=unit.job.job_id,
                task=run.task,
                run=run.number,
                minion=minion.minion_id,
                reason=event.reason,
            )
            if not run.confirmed:
                # The run may still begin later. A run that a poll has reported exists,
                # and goes on.
                service_stops.stop_unanswered_start(schedule, run)
            return
        case Outcome.NO_CAPACITY:
            minion.rest_until_ms = schedule.now_ms + const.CAPACITY_REFUSAL_MS
        case Outcome.NO_TICKET:
            tickets.ticket_refused(schedule, unit, minion.minion_id)
        case Outcome.NOT_SENT if run.phase is RunPhase.STOPPING:
            # It was stopped while it waited; nothing is wrong with the minion.
            pass
        case _:
            minion.rest_until_ms = schedule.now_ms + const.SHED_MS
    schedule.log_event(
        "start_refused",
        job_id=unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=minion.minion_id,
        outcome=str(event.outcome),
        reason=event.reason,
    )
    lost_runs.drop_lost_run(schedule, run)
