"""What minions report: runs, ends, silence and the end of their lives."""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, jobs, pace
from courselead.core.scheduler.events import (
    EndKind,
    EndReport,
    FollowMinion,
    HoldAnswered,
    HoldFailed,
    LeaveMinion,
    NoteRuns,
    OrderAnswered,
    Outcome,
    RunReport,
    StepDown,
    StopRun,
)
from courselead.core.scheduler.models import Life, MinionInfo
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, RunPhase, Unit, UnsavedEnd

STARTED_AGAIN = "its minion started again"
"""Why a run is over, or stopped, that a life before had or was to have."""


def listed(schedule: Schedule, info: MinionInfo) -> None:
    """Take a minion of the platform's list."""
    present = schedule.minions.get(info.minion_id)
    if present is None:
        if schedule.is_over(info.life):
            return
    elif not present.info.life.may_be(info.life):
        _another_life_listed(schedule, present, info)
        return
    elif not info.born_ms:
        info = replace(info, born_ms=present.info.born_ms)
    if info.pool not in schedule.config.pools:
        # Perhaps of another writer: nothing is sent there before a configuration
        # names its pool.
        schedule.strangers[info.minion_id] = info
        schedule.note("minion_of_no_pool", minion=info.minion_id, pool=info.pool)
        unlisted(schedule, info.minion_id)
        return
    schedule.strangers.pop(info.minion_id, None)
    minion = schedule.minions.get(info.minion_id)
    if minion is None:
        minion = _follow(schedule, info)
        schedule.note(
            "minion_listed",
            minion=info.minion_id,
            pool=info.pool,
            born_ms=info.born_ms,
        )
    if info.draining and not minion.info.draining:
        schedule.note("minion_draining", minion=info.minion_id)
    minion.info = info
    minion.listed = True
    schedule.doubted_lives.pop(info.minion_id, None)
    schedule.dirty_pools.add(info.pool)


def _follow(schedule: Schedule, info: MinionInfo) -> Minion:
    """Take up a life of a minion that knows nothing of any before."""
    now_ms = schedule.now_ms
    minion = Minion(info, idle_ms=now_ms, listed_ms=now_ms)
    schedule.minions[info.minion_id] = minion
    schedule.emit(FollowMinion(info.minion_id, info.born_ms))
    _bar_stray_starts(schedule, info.life)
    return minion


def _bar_stray_starts(schedule: Schedule, life: Life) -> None:
    """Stop on a new life what may yet begin there though a life before was meant.

    A run that was stopped never begins there later.
    """
    strays = schedule.stray_starts.get(life.minion_id, {})
    for (task, number), until_ms in list(strays.items()):
        if schedule.now_ms >= until_ms:
            del strays[(task, number)]
            continue
        schedule.emit(
            StopRun(life.minion_id, task, number, STARTED_AGAIN, life.born_ms)
        )


def _note_stray_start(schedule: Schedule, run: Run) -> None:
    """Remember a start of which a copy may be carried out yet."""
    strays = schedule.stray_starts.setdefault(run.minion_id, {})
    strays[run.key] = schedule.now_ms + const.STRAY_START_MS


def _another_life_listed(schedule: Schedule, minion: Minion, info: MinionInfo) -> None:
    """Take an entry of another life of a minion that is known.

    A later start is the newer life. An earlier one may be an entry that was held up,
    or the newer life of a minion whose clock was set back: a look tells, if it reaches
    that life, and otherwise its turn comes once nothing can run on this one.
    """
    if schedule.is_over(info.life):
        return
    if info.born_ms > minion.info.born_ms:
        _started_again(schedule, minion, info, listed_now=True)
        return
    schedule.note(
        "minion_entry_older",
        minion=info.minion_id,
        born_ms=info.born_ms,
        known_born_ms=minion.info.born_ms,
    )
    minion.rival = info
    if minion.failures and _known_empty(schedule, minion):
        dead(schedule, minion, "an older life is listed, and it does not answer")


def _may_run_on_next_life(schedule: Schedule, run: Run) -> bool:
    """Return whether a task may run on the next life of its minion.

    What the life before has reported went with it, but for copies of its start, or of
    an earlier start of the task there, that are still under way.
    """
    if not run.confirmed or run.start_repeated:
        return True
    strays = schedule.stray_starts.get(run.minion_id, {})
    return any(
        task == run.task and schedule.now_ms < until_ms
        for (task, _), until_ms in strays.items()
    )


def _started_again(
    schedule: Schedule, minion: Minion, info: MinionInfo, listed_now: bool
) -> None:
    """Take a minion's life as over whose next one has begun under the same id.

    What the life before has reported is gone with it, and starts again at once. What
    it has not may run on the next one, or begin there later: an order to a minion that
    has just started again reaches its next life. Such runs are stopped there, and
    count until that life has answered the stop and a look.
    """
    doubtful = [
        run for run in minion.runs.values() if _may_run_on_next_life(schedule, run)
    ]
    for run in doubtful:
        del minion.runs[run.key]
        _note_stray_start(schedule, run)
    schedule.note(
        "minion_started_again",
        minion=minion.minion_id,
        born_ms=info.born_ms,
        before_born_ms=minion.info.born_ms,
        runs=len(minion.runs),
        doubtful=len(doubtful),
    )
    minion.rival = None
    dead(schedule, minion, STARTED_AGAIN)
    following = _follow(schedule, info)
    following.listed = listed_now
    following.worker_id = minion.worker_id
    # A move or a wave that takes the worker goes on.
    following.cordoned = minion.cordoned
    longest_ms = int(schedule.bounds.lease_max_ms / const.CLOCK_SLOWNESS)
    following.stray_lease_ms = schedule.now_ms + longest_ms + const.LEASE_MARGIN_MS
    for run in doubtful:
        following.runs[run.key] = run
        following.used = following.used.plus(run.unit.spec.charge)
        run.confirmed = False
        run.phase = RunPhase.STOPPING
        run.stop_reason = STARTED_AGAIN
        run.stop_sent_ms = schedule.now_ms
        run.stop_answered_ms = None
    if doubtful and schedule.is_noted(following):
        schedule.emit(NoteRuns(following.minion_id))
    if info.pool not in schedule.config.pools:
        listed(schedule, info)


def pools_changed(schedule: Schedule) -> None:
    """Take the minions whose pools a new configuration names."""
    for info in list(schedule.strangers.values()):
        if info.pool in schedule.config.pools:
            listed(schedule, info)


def left(schedule: Schedule, minion_id: str) -> None:
    """Note that an entry is gone from the platform's list."""
    schedule.strangers.pop(minion_id, None)
    unlisted(schedule, minion_id)


def unlisted(schedule: Schedule, minion_id: str) -> None:
    """Note that the platform's list has a minion no more; it may still run."""
    minion = schedule.minions.get(minion_id)
    if minion is None:
        return
    minion.listed = False
    schedule.note("minion_unlisted", minion=minion_id, runs=len(minion.runs))
    if minion.failures and _known_empty(schedule, minion):
        dead(schedule, minion, "left the list")


def hold_answered(schedule: Schedule, event: HoldAnswered) -> None:
    """Take a minion's whole report."""
    minion = _present(schedule, event.life)
    if minion is None:
        return
    if event.answered_by is not None and not _is_by(minion, event.answered_by):
        # Looks are made one after the other, so what this one tells is the present.
        info = replace(minion.info, born_ms=event.answered_by.born_ms)
        rival = minion.rival
        entry_is_there = rival is not None and rival.life == info.life
        if entry_is_there:
            info = rival
        _started_again(schedule, minion, info, listed_now=entry_is_there)
        return
    _heard(schedule, minion)
    if minion.failures:
        schedule.note("minion_reached", minion=minion.minion_id)
        schedule.lossy_until_ms = schedule.now_ms + const.LOSSY_MS
        schedule.dirty_pools.add(minion.info.pool)
    minion.failures = 0
    minion.clock_ms = event.clock_ms
    minion.clock_at_ms = schedule.now_ms
    minion.seen_ms = schedule.now_ms
    reported: set[tuple[str, int]] = set()
    for report in event.running:
        reported.add((report.task, report.number))
        _running(schedule, minion, report)
    for end in event.ended:
        reported.add((end.task, end.number))
        _ended(schedule, minion, end)
    _vanished(schedule, minion, event.sent_ms, reported)
    if not minion.synced:
        minion.synced = True
        minion.synced_ms = schedule.now_ms
        schedule.dirty_pools.add(minion.info.pool)
        schedule.note("minion_synced", minion=minion.minion_id, runs=len(event.running))
        if schedule.is_noted(minion):
            schedule.emit(NoteRuns(minion.minion_id))
    pace.adjust(schedule, minion)


def _present(schedule: Schedule, life: Life) -> Minion | None:
    """Return a minion if the life that was asked is still its present one."""
    minion = schedule.minions.get(life.minion_id)
    if minion is None or not minion.info.life.may_be(life):
        return None
    return minion


def _is_by(minion: Minion, life: Life) -> bool:
    """Return whether a minion's present life has answered; learn its start."""
    if not minion.info.life.may_be(life):
        return False
    if not minion.info.born_ms:
        minion.info = replace(minion.info, born_ms=life.born_ms)
    return True


def hold_failed(schedule: Schedule, event: HoldFailed) -> None:
    """Take a failed look."""
    minion = _present(schedule, event.life)
    if minion is None:
        return
    if _ends_it(schedule, minion, event.outcome):
        return
    minion.failures += 1
    if minion.failures == const.UNREACHABLE_FAILURES:
        schedule.note(
            "minion_unreachable", minion=minion.minion_id, reason=event.reason
        )
    left_its_entry = not minion.listed or minion.rival is not None
    if left_its_entry and _known_empty(schedule, minion):
        dead(schedule, minion, "left the list and does not answer")


def _heard(schedule: Schedule, minion: Minion) -> None:
    """Note that a minion has answered something."""
    if minion.is_unheard(schedule.now_ms):
        schedule.dirty_pools.add(minion.info.pool)
    minion.unheard_ms = 0


def _ends_it(schedule: Schedule, minion: Minion, outcome: Outcome) -> bool:
    """Return whether an answer ends this ownership or the minion's life."""
    if outcome is Outcome.FENCED:
        schedule.emit(StepDown("a minion has seen a newer fence"))
        return True
    if outcome is Outcome.OTHER_LIFE:
        dead(schedule, minion, "another life answers at its address")
        return True
    return False


def _known_empty(schedule: Schedule, minion: Minion) -> bool:
    """Return whether nothing can run on a minion that does not answer.

    Before its first report to this owner it may have runs of an earlier one.
    """
    if minion.runs:
        return False
    return minion.synced or schedule.now_ms >= schedule.doubt_until_ms


def order_answered(schedule: Schedule, event: OrderAnswered) -> None:
    """Take the answer to a start, stop or pace order, or its lack."""
    minion = _present(schedule, event.life)
    if minion is None:
        return
    if _ends_it(schedule, minion, event.outcome):
        return
    if event.outcome is not Outcome.UNKNOWN:
        _heard(schedule, minion)
    run = minion.runs.get((event.task, event.number))
    if run is None:
        return
    if event.verb == "start":
        run.start_repeated = run.start_repeated or event.repeated
        if event.repeated or event.outcome is Outcome.UNKNOWN:
            _note_stray_start(schedule, run)
        _start_answered(schedule, minion, run, event)
    elif event.verb == "stop" and event.outcome is Outcome.OK:
        run.stop_answered_ms = schedule.now_ms


def dead(schedule: Schedule, minion: Minion, reason: str) -> None:
    """Take a life as over: its runs are gone for certain."""
    schedule.note(
        "minion_dead",
        minion=minion.minion_id,
        reason=reason,
        runs=len(minion.runs),
    )
    for run in list(minion.runs.values()):
        _lost_unseen(schedule, run, reason)
    schedule.minions.pop(minion.minion_id, None)
    schedule.dead.setdefault(minion.minion_id, set()).add(minion.info.life)
    schedule.doubted_lives.pop(minion.minion_id, None)
    schedule.dirty_pools.add(minion.info.pool)
    schedule.emit(LeaveMinion(minion.minion_id))
    if minion.rival is not None:
        # Its clock was set back, or nobody answers there: a look tells.
        listed(schedule, minion.rival)


def lost(schedule: Schedule, run: Run, reason: str = "") -> None:
    """Take a run as gone for certain without a report of its end.

    Args:
        schedule: Changed in place.
        run: Whose end is proved.
        reason: What proves it, for a run that was not being stopped.
    """
    unit = run.unit
    if run.checkpoint:
        unit.checkpoint = run.checkpoint
    schedule.note(
        "run_lost",
        job_id=unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=run.minion_id,
        reason=run.stop_reason or reason,
        age_ms=schedule.now_ms - run.started_ms,
    )
    schedule.drop_run(run)
    _gang_broken(schedule, unit)
    jobs.requeue(schedule, unit)


def _lost_unseen(schedule: Schedule, run: Run, reason: str) -> None:
    """Take a run as gone that its minion has not reported on."""
    run.unit.lost_ms = schedule.now_ms
    lost(schedule, run, reason)


def tick(schedule: Schedule) -> None:
    """Act on leases that ran out, stops without an answer and stalled runs."""
    for minion in list(schedule.minions.values()):
        if minion.failures and minion.runs:
            _lapse(schedule, minion)
        for run in list(minion.runs.values()):
            if run.phase is RunPhase.STOPPING:
                _stop_again(schedule, run)
            elif _stalled(schedule, run):
                run.unit.avoid.add(run.minion_id)
                schedule.stop_run(run, "stands still")
        if minion.info.draining:
            _leave_draining(schedule, minion)


def _leave_draining(schedule: Schedule, minion: Minion) -> None:
    """Take what would be lost away from a minion that is about to leave."""
    for run in list(minion.runs.values()):
        if run.phase is not RunPhase.RUNNING:
            continue
        spec = run.unit.spec
        if spec.long_running or (spec.checkpoints and not spec.gang):
            schedule.stop_run(run, "its minion drains")


def _lapse(schedule: Schedule, minion: Minion) -> None:
    if schedule.now_ms < minion.lease_over_ms():
        return
    schedule.note("lease_over", minion=minion.minion_id, runs=len(minion.runs))
    for run in list(minion.runs.values()):
        _lost_unseen(schedule, run, "its lease is over")
    minion.synced = False
    if not minion.listed or minion.rival is not None:
        dead(schedule, minion, "left the list and its lease is over")


def _stop_again(schedule: Schedule, run: Run) -> None:
    if run.stop_answered_ms is not None:
        return
    if schedule.now_ms - run.stop_sent_ms < const.STOP_RETRY_MS:
        return
    schedule.order_stop(run)


def _stalled(schedule: Schedule, run: Run) -> bool:
    if run.phase is not RunPhase.RUNNING:
        return False
    unit = run.unit
    if unit.spec.gang or run.pace < 100:
        return False
    still_ms = schedule.now_ms - max(run.percent_ms, run.started_ms)
    if still_ms < const.STALL_MS or schedule.minions[run.minion_id].failures:
        return False
    if unit.spec.long_running:
        return run.percent < 100 and not unit.spec.fills
    expected = schedule.expected_ms(unit.job.queue, unit.spec)
    age_ms = schedule.now_ms - run.started_ms
    return age_ms > const.STALL_FACTOR * expected


def _running(schedule: Schedule, minion: Minion, report: RunReport) -> None:
    run = minion.runs.get((report.task, report.number))
    if run is None:
        run = _adopt(schedule, minion, report)
        if run is None:
            return
    run.confirmed = True
    if run.phase is RunPhase.SENT:
        run.phase = RunPhase.RUNNING
        run.running_ms = schedule.now_ms
        jobs.begin(schedule, run.unit.job)
    if report.checkpoint:
        run.checkpoint = report.checkpoint
    if report.percent != run.percent:
        run.percent = report.percent
        run.percent_ms = schedule.now_ms
    run.figure = report.figure


def _adopt(schedule: Schedule, minion: Minion, report: RunReport) -> Run | None:
    """Take over a run that an earlier owner started."""
    unit = jobs.unit_of(schedule, report.task)
    if unit is None:
        schedule.emit(
            StopRun(
                minion.minion_id,
                report.task,
                report.number,
                "unknown job",
                minion.info.born_ms,
            )
        )
        return None
    index = int(report.task.rpartition(".")[2])
    run = Run(
        unit, index, report.number, minion.minion_id, schedule.now_ms, RunPhase.RUNNING
    )
    run.percent_ms = schedule.now_ms
    rival = [other for other in unit.runs if other.index == index]
    schedule.add_run(minion, run)
    unit.next_number = max(unit.next_number, report.number + 1)
    unit.job.zone = unit.job.zone or minion.info.zone
    line = schedule.ready.get(schedule.pool_of(unit.job), [])
    if unit in line:
        line.remove(unit)
    jobs.begin(schedule, unit.job)
    schedule.note(
        "run_adopted",
        job_id=unit.job.job_id,
        task=report.task,
        run=report.number,
        minion=minion.minion_id,
    )
    if unit.done or unit.job.state.final:
        schedule.stop_run(run, "its job or task has ended")
    elif rival and not unit.spec.speculative:
        schedule.stop_run(run, "another run of the task is known")
    return run


def _ended(schedule: Schedule, minion: Minion, end: EndReport) -> None:
    if end.sequence <= minion.ended_seen:
        return
    minion.ended_seen = end.sequence
    unsaved = UnsavedEnd(end.sequence, schedule.open_batch, end.task)
    minion.unsaved.append(unsaved)
    run = minion.runs.get((end.task, end.number))
    unit = run.unit if run is not None else jobs.unit_of(schedule, end.task)
    if unit is None:
        return
    unit.next_number = max(unit.next_number, end.number + 1)
    if end.checkpoint and end.kind is not EndKind.DONE:
        unit.checkpoint = end.checkpoint
        if not unit.job.state.final:
            jobs.save(schedule, unit.job)
    if run is not None:
        _learn(schedule, run, end.kind)
        schedule.drop_run(run)
    if end.kind is EndKind.DONE:
        minion.failures_in_row.clear()
        jobs.unit_done(schedule, unit)
        return
    schedule.note(
        "run_ended",
        job_id=unit.job.job_id,
        task=end.task,
        run=end.number,
        minion=minion.minion_id,
        how=str(end.kind),
        reason=run.stop_reason if run is not None else "",
    )
    if end.kind is EndKind.FAILED:
        _failed(schedule, minion, unit, end.number)
    else:
        _gang_broken(schedule, unit)
    jobs.requeue(schedule, unit)


def _learn(schedule: Schedule, run: Run, kind: EndKind) -> None:
    if kind is not EndKind.DONE or run.unit.checkpoint or not run.running_ms:
        return
    queue = run.unit.job.queue
    took_ms = schedule.now_ms - run.running_ms
    known = schedule.run_ms.get(queue, took_ms)
    schedule.run_ms[queue] = known + const.LEARN_WEIGHT * (took_ms - known)


def _failed(schedule: Schedule, minion: Minion, unit: Unit, number: int) -> None:
    unit.avoid.add(minion.minion_id)
    if unit.spec.long_running:
        backoff = unit.backoff_ms * 2 or const.RESTART_BACKOFF_MS
        unit.backoff_ms = min(backoff, const.RESTART_BACKOFF_MAX_MS)
        unit.not_before_ms = schedule.now_ms + unit.backoff_ms
    else:
        _suspect(schedule, minion, unit)
    jobs.unit_failed(schedule, unit, number)
    schedule.note(
        "run_failed",
        job_id=unit.job.job_id,
        task=unit.task_name(unit.indexes[0]),
        minion=minion.minion_id,
        failed=unit.failed,
    )
    _gang_broken(schedule, unit)


def _suspect(schedule: Schedule, minion: Minion, unit: Unit) -> None:
    """Rest a minion on which different jobs failed one after the other."""
    row = minion.failures_in_row
    if unit.job.job_id not in row:
        row.append(unit.job.job_id)
    if len(row) < const.QUARANTINE_FAILURES:
        return
    row.clear()
    minion.quarantine_until_ms = schedule.now_ms + const.QUARANTINE_MS
    schedule.note("minion_quarantined", minion=minion.minion_id)


def _gang_broken(schedule: Schedule, unit: Unit) -> None:
    """Stop the other members of a gang that has lost one."""
    if not unit.spec.gang or unit.done:
        return
    for run in unit.runs:
        schedule.stop_run(run, "a member of its gang ended")


def _vanished(
    schedule: Schedule, minion: Minion, sent_ms: int, reported: set[tuple[str, int]]
) -> None:
    """Take stopped runs as gone that a later look does not show."""
    for run in list(minion.runs.values()):
        if run.key in reported or run.stop_answered_ms is None:
            continue
        if sent_ms > run.stop_answered_ms:
            lost(schedule, run)


def _start_answered(
    schedule: Schedule, minion: Minion, run: Run, event: OrderAnswered
) -> None:
    unit = run.unit
    match event.outcome:
        case Outcome.OK:
            if run.phase is RunPhase.SENT:
                run.phase = RunPhase.RUNNING
                run.running_ms = schedule.now_ms
                run.percent_ms = schedule.now_ms
            jobs.begin(schedule, unit.job)
            return
        case Outcome.UNKNOWN | Outcome.SUPERSEDED:
            schedule.note(
                "start_unknown",
                job_id=unit.job.job_id,
                task=run.task,
                run=run.number,
                minion=minion.minion_id,
                reason=event.reason,
            )
            schedule.stop_run(run, "its start was not answered")
            return
        case Outcome.NO_ROOM:
            minion.rest_until_ms = schedule.now_ms + const.ROOM_REFUSAL_MS
        case Outcome.NO_TICKET:
            schedule.advice.pop(unit.step.name, None)
        case _:
            minion.rest_until_ms = schedule.now_ms + const.SHED_MS
    schedule.note(
        "start_refused",
        job_id=unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=minion.minion_id,
        outcome=str(event.outcome),
        reason=event.reason,
    )
    lost(schedule, run)
