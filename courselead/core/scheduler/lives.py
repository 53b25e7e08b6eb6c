"""Lives of minions: their begin, their end, and the next one under the same id."""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, crashes
from courselead.core.scheduler.events import (
    FollowMinion,
    LeaveMinion,
    NoteRuns,
    StopRun,
)
from courselead.core.scheduler.lost_runs import lost_unseen, note_stray_start
from courselead.core.scheduler.models import Life, MinionInfo
from courselead.core.scheduler.schedule import Schedule, longest_lease_ms
from courselead.core.scheduler.state import Minion, Run, RunPhase, StrayStart

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
    if info.pool != minion.info.pool:
        # A look had told of this life, which began after a move, before its entry.
        minion.cordoned = False
    minion.info = info
    minion.listed = True
    schedule.doubted_lives.pop(info.minion_id, None)
    schedule.dirty_pools.add(info.pool)


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
    if minion.failures and known_empty(schedule, minion):
        dead(schedule, minion, "left the list")


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
    for key, stray in strays.items():
        if schedule.now_ms >= stray.until_ms:
            continue
        schedule.minions[life.minion_id].bars.add(key)
    bar_again(schedule, schedule.minions[life.minion_id])


def bar_again(schedule: Schedule, minion: Minion) -> None:
    """Send the stops of stray starts that this life has not answered.

    A stop may be held up as well as the start, which arrives first then.
    """
    strays = schedule.stray_starts.get(minion.minion_id, {})
    for key in sorted(minion.bars):
        if key not in strays or schedule.now_ms >= strays[key].until_ms:
            minion.bars.discard(key)
            continue
        task, number = key
        schedule.emit(
            StopRun(minion.minion_id, task, number, STARTED_AGAIN, minion.info.born_ms)
        )


def forget_stray_starts(schedule: Schedule) -> None:
    """Drop starts that are carried out no more; most of their minions are gone."""
    for minion_id, strays in list(schedule.stray_starts.items()):
        for key, stray in list(strays.items()):
            if schedule.now_ms >= stray.until_ms:
                del strays[key]
        if not strays:
            del schedule.stray_starts[minion_id]


def barred_tasks(schedule: Schedule) -> frozenset[str]:
    """Return the tasks that may begin on a life that has not answered their stop.

    Where starts are not bound to a life, that may be one of which nothing is known yet.
    """
    barred: set[str] = set()
    # Only a minion with stray starts has any.
    for minion_id, strays in schedule.stray_starts.items():
        minion = schedule.minions.get(minion_id)
        if minion is not None:
            barred.update(task for task, _ in minion.bars)
        if schedule.starts_are_bound:
            continue
        for (task, _), stray in strays.items():
            if schedule.now_ms < stray.until_ms and _may_reach_next(minion, stray):
                barred.add(task)
    return frozenset(barred)


def _may_reach_next(minion: Minion | None, stray: StrayStart) -> bool:
    """Return whether a start may yet begin on a life that is not known.

    Once a later life than its own is known it is stopped there.
    """
    if not stray.born_ms:
        # Each life has an id of its own, which the order names.
        return False
    return minion is None or minion.info.born_ms == stray.born_ms


def _another_life_listed(schedule: Schedule, minion: Minion, info: MinionInfo) -> None:
    """Take an entry of another life of a minion that is known.

    A later start is the newer life. An earlier one may be an entry that was held up,
    or the newer life of a minion whose clock was set back: a look tells, if it reaches
    that life, and otherwise its turn comes once nothing can run on this one.
    """
    if schedule.is_over(info.life):
        return
    if info.born_ms > minion.info.born_ms:
        started_again(schedule, minion, info, listed_now=True)
        return
    schedule.note(
        "minion_entry_older",
        minion=info.minion_id,
        born_ms=info.born_ms,
        known_born_ms=minion.info.born_ms,
    )
    minion.rival = info
    if minion.failures and known_empty(schedule, minion):
        dead(schedule, minion, "an older life is listed, and it does not answer")


def another_life_answered(schedule: Schedule, minion: Minion, life: Life) -> None:
    """Take up the life that answered a look at the one that is known.

    Looks are made one after the other, so what an answer tells is the present.
    """
    rival = minion.rival
    if rival is not None and rival.life == life:
        started_again(schedule, minion, rival, listed_now=True)
        return
    info = replace(minion.info, born_ms=life.born_ms)
    # Its room and its pool may be others: it gets no work before its entry.
    started_again(schedule, minion, info, listed_now=False)


def _may_run_on_next_life(schedule: Schedule, run: Run) -> bool:
    """Return whether a task may run on the next life of its minion.

    What the life before has reported went with it, but for copies of its start, or of
    an earlier start of the task there, that are still under way.
    """
    if not run.confirmed or run.start_repeated:
        return True
    strays = schedule.stray_starts.get(run.minion_id, {})
    return any(
        task == run.task and schedule.now_ms < stray.until_ms
        for (task, _), stray in strays.items()
    )


def started_again(
    schedule: Schedule, minion: Minion, info: MinionInfo, listed_now: bool
) -> None:
    """Take a minion's life as over whose next one has begun under the same id.

    What the life before has reported is gone with it, and starts again at once. What
    it has not may run on the next one, or begin there later: an order to a minion that
    has just started again reaches its next life. Such runs are stopped there, and
    count until that life has answered the stop and a look.
    """
    crashes.life_ended(schedule, minion, STARTED_AGAIN)
    doubtful = [
        run for run in minion.runs.values() if _may_run_on_next_life(schedule, run)
    ]
    for run in doubtful:
        del minion.runs[run.key]
        note_stray_start(schedule, run)
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
    # A wave or a move that takes the worker goes on, unless this life is moved.
    following.cordoned = minion.cordoned and info.pool == minion.info.pool
    longest_ms = longest_lease_ms(schedule.bounds)
    following.stray_lease_ms = schedule.now_ms + longest_ms + const.LEASE_MARGIN_MS
    for run in doubtful:
        _count_on(schedule, following, run)
    if doubtful and schedule.is_noted(following):
        schedule.emit(NoteRuns(following.minion_id))
    if info.pool not in schedule.config.pools:
        listed(schedule, info)


def _count_on(schedule: Schedule, following: Minion, run: Run) -> None:
    """Count a run on its minion's next life, where its stop has just been sent."""
    following.runs[run.key] = run
    run.born_ms = following.info.born_ms
    run.carried_over = True
    following.used = following.used.plus(run.unit.spec.charge)
    run.confirmed = False
    run.phase = RunPhase.STOPPING
    run.stop_reason = STARTED_AGAIN
    run.stop_sent_ms = schedule.now_ms
    run.stop_answered_ms = None


def present(schedule: Schedule, life: Life) -> Minion | None:
    """Return a minion if the life that was asked is still its present one."""
    minion = schedule.minions.get(life.minion_id)
    if minion is None or not minion.info.life.may_be(life):
        return None
    return minion


def is_by(minion: Minion, life: Life) -> bool:
    """Return whether a minion's present life has answered; learn its start."""
    if not minion.info.life.may_be(life):
        return False
    if not minion.info.born_ms:
        minion.info = replace(minion.info, born_ms=life.born_ms)
    return True


def known_empty(schedule: Schedule, minion: Minion) -> bool:
    """Return whether nothing can run on a minion that does not answer.

    Before its first report to this owner it may have runs of an earlier one.
    """
    if minion.runs:
        return False
    return minion.synced or schedule.now_ms >= schedule.doubt_until_ms


def dead(schedule: Schedule, minion: Minion, reason: str) -> None:
    """Take a life as over: its runs are gone for certain."""
    _note_end(schedule, minion, reason)
    crashes.life_ended(schedule, minion, reason)
    for run in list(minion.runs.values()):
        lost_unseen(schedule, run, reason)
    schedule.minions.pop(minion.minion_id, None)
    schedule.dead.setdefault(minion.minion_id, set()).add(minion.info.life)
    schedule.doubted_lives.pop(minion.minion_id, None)
    schedule.dirty_pools.add(minion.info.pool)
    schedule.emit(LeaveMinion(minion.minion_id))
    if minion.rival is not None:
        # Its clock was set back, or nobody answers there: a look tells.
        listed(schedule, minion.rival)


def _note_end(schedule: Schedule, minion: Minion, reason: str) -> None:
    """Tell of a life's end, and what was lost with it.

    The tasks are named here, too: where many lives end at once, the lines of the
    single runs are the first to be dropped.
    """
    runs = list(minion.runs.values())
    schedule.note(
        "minion_dead",
        minion=minion.minion_id,
        born_ms=minion.info.born_ms,
        pool=minion.info.pool,
        zone=minion.info.zone,
        rack=minion.info.rack,
        reason=reason,
        seen_age_ms=schedule.now_ms - minion.seen_ms,
        draining=minion.info.draining,
        runs=len(runs),
        jobs=len({run.unit.job.job_id for run in runs}),
        tasks=[run.task for run in runs[: const.NAMED_TASKS]],
    )
