"""Lives that ended with a task on them: what counts, and until when.

A task may crash each minion that starts it. All that ran on a crashed life is suspect,
and most of it is innocent; what tells them apart is the next start, apart from others.
"""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, jobs, losses, verdicts
from courselead.core.scheduler.models import Life
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Crash, LostLife, Minion, Run, Suspect, Unit


def life_ended(schedule: Schedule, minion: Minion, reason: str) -> None:
    """Count a life's end against all that ran on it or may have begun there.

    Ends that were ordered or announced count against nothing. A run whose start was not
    answered counts: it may have begun. That a life is told of twice changes nothing.
    """
    if _was_expected(schedule, minion):
        return
    runs = [run for run in minion.runs.values() if _may_be_to_blame(run)]
    lost = LostLife(
        minion.info.life,
        schedule.now_ms,
        minion.info.zone,
        minion.info.rack,
        minion.worker_id or minion.info.address,
        frozenset(run.unit.job.job_id for run in minion.runs.values()),
        any(
            run.unit.crash_count >= const.TRIAL_CRASHES for run in minion.runs.values()
        ),
        frozenset(
            run.unit.job.queue
            for run in minion.runs.values()
            if run.is_fresh(schedule.now_ms) and not run.unit.spec.long_running
        ),
    )
    if all(known.life != lost.life for known in schedule.lost_lives):
        schedule.lost_lives.append(lost)
    for run in runs:
        if minion.seen_ms - run.started_ms >= const.FORGOTTEN_MS:
            _forget(schedule, run.unit)
            continue
        crash = Crash(run.number, lost.life, schedule.now_ms - run.started_ms)
        blame(schedule, run.unit, crash, lost, reason)


def _may_be_to_blame(run: Run) -> bool:
    """Return whether a life may have ended by a run.

    One that the life before had, and that no look has shown on this one, has counted.
    """
    if run.carried_over and not run.confirmed:
        return False
    return not run.unit.is_over


def _was_expected(schedule: Schedule, minion: Minion) -> bool:
    """Return whether a life's end was ordered or announced."""
    if minion.info.draining:
        return True
    move = schedule.moves.get(minion.worker_id)
    if move is not None and move.sent_ms >= minion.listed_ms:
        return True
    for wave in schedule.waves.values():
        if wave.down.get(minion.worker_id, -1) >= minion.listed_ms:
            return True
    return False


def blame(
    schedule: Schedule, unit: Unit, crash: Crash, lost: LostLife | None, reason: str
) -> None:
    """Count a crash against a unit.

    Args:
        schedule: Changed in place.
        unit: That ran there or may have begun there.
        crash: What is known of it.
        lost: The life, nothing if an earlier owner saw its last.
        reason: What tells that the life is over.
    """
    if crash.key in unit.crashes:
        return
    unit.crashes[crash.key] = crash
    unit.learn_start(crash.number)
    _must_be_stored(schedule, unit)
    schedule.cleared.pop(unit.name, None)
    suspect = schedule.suspects.setdefault(unit.name, Suspect(unit))
    suspect.at_ms = schedule.now_ms
    suspect.tried_ms = 0
    if lost is not None:
        suspect.unsettled.append((crash.key, lost))
    schedule.note(
        "task_crashed",
        job_id=unit.job.job_id,
        task=unit.name,
        run=crash.number,
        minion=crash.life.minion_id,
        born_ms=crash.life.born_ms,
        age_ms=crash.age_ms,
        crashes=len(unit.crashes),
        other_jobs=len(lost.job_ids) - 1 if lost is not None else "unknown",
        reason=reason,
    )


def _must_be_stored(schedule: Schedule, unit: Unit) -> None:
    """Let the unit wait until its crashes are stored: a next owner counts on."""
    jobs.save(schedule, unit.job)
    unit.stored_batch = schedule.open_batch


def tick(schedule: Schedule) -> None:
    """Settle what crashes mean: give tasks up, and clear others of suspicion."""
    oldest_ms = schedule.now_ms - const.LOST_LIVES_MS
    if schedule.lost_lives and schedule.lost_lives[0].at_ms < oldest_ms:
        schedule.lost_lives = [
            lost for lost in schedule.lost_lives if lost.at_ms >= oldest_ms
        ]
    schedule.risky_queues = losses.risky_queues(schedule)
    # Whether it is explained, by life: many tasks are lost with one.
    known: dict[Life, bool] = {}
    for suspect in list(schedule.suspects.values()):
        unit = suspect.unit
        if unit.is_over:
            del schedule.suspects[unit.name]
            if unit.done:
                _note_cleared(schedule, unit, "it is done")
            continue
        _explain(schedule, suspect, known)
        if any(_has_outlived(schedule, unit, run) for run in unit.runs):
            _clear(schedule, unit)
            continue
        if schedule.now_ms - suspect.at_ms >= const.CRASH_SETTLE_MS:
            verdicts.settle(schedule, suspect)
    for unit in list(schedule.cleared.values()):
        if unit.is_over:
            del schedule.cleared[unit.name]
        elif any(_has_run_for(schedule, run, const.FORGOTTEN_MS) for run in unit.runs):
            _forget(schedule, unit)


def _has_run_for(schedule: Schedule, run: Run, for_ms: int) -> bool:
    """Return whether a run is there, and has gone on for so long."""
    minion = schedule.minions.get(run.minion_id)
    if not run.confirmed or minion is None or minion.failures:
        return False
    return schedule.now_ms - run.started_ms >= for_ms


def _forget(schedule: Schedule, unit: Unit) -> None:
    """Count from none what a unit loses from now on.

    What it has lost in a long life says nothing of it: machines are lost now and then.
    """
    unit.has_lasted = True
    if not unit.crashes:
        return
    schedule.note(
        "crashes_forgotten",
        job_id=unit.job.job_id,
        task=unit.name,
        crashes=len(unit.crashes),
    )
    unit.crashes.clear()
    schedule.suspects.pop(unit.name, None)
    schedule.cleared.pop(unit.name, None)
    jobs.save(schedule, unit.job)


def _has_outlived(schedule: Schedule, unit: Unit, run: Run) -> bool:
    """Return whether a run has gone far past the age at which one has crashed.

    Ages are known from above: a task that crashes its minion so long after its start
    each time never comes there.
    """
    ages = [crash.age_ms for crash in unit.crashes.values() if not crash.cleared]
    age_ms = min(ages, default=0)
    needed_ms = const.OUTLIVED_FACTOR * age_ms + const.OUTLIVED_MS
    return _has_run_for(schedule, run, min(needed_ms, const.OUTLIVED_MOST_MS))


def _clear(schedule: Schedule, unit: Unit) -> None:
    """Keep a unit apart from others no more; what it lost still counts."""
    _note_cleared(schedule, unit, "it ran on")
    for key, crash in unit.crashes.items():
        unit.crashes[key] = replace(crash, cleared=True)
    jobs.save(schedule, unit.job)
    del schedule.suspects[unit.name]
    schedule.cleared[unit.name] = unit


def _note_cleared(schedule: Schedule, unit: Unit, reason: str) -> None:
    schedule.note(
        "suspect_cleared",
        job_id=unit.job.job_id,
        task=unit.name,
        crashes=len(unit.crashes),
        reason=reason,
    )


def _explain(schedule: Schedule, suspect: Suspect, known: dict[Life, bool]) -> None:
    unit = suspect.unit
    for key, lost in suspect.unsettled:
        crash = unit.crashes[key]
        if crash.explained:
            continue
        if lost.life not in known:
            known[lost.life] = losses.is_explained(schedule, lost)
        if known[lost.life]:
            unit.crashes[key] = replace(crash, explained=True)
            jobs.save(schedule, unit.job)


def may_start(schedule: Schedule, unit: Unit) -> bool:
    """Return whether all that a unit's next start depends on is known and stored."""
    if unit.left_starts or unit.stored_batch > schedule.saved_batch:
        return False
    if not unit.crashes:
        return True
    if verdicts.is_at_limit(unit):
        # What the newest crash means is settled, and the task given up, on a tick.
        schedule.suspects.setdefault(unit.name, Suspect(unit))
        return False
    return schedule.may_note
