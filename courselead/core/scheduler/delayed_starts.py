"""Delayed starts: those that may be carried out on a later incarnation of a minion."""

from __future__ import annotations

from courselead.core.scheduler import const
from courselead.core.scheduler.events import StopRun
from courselead.core.scheduler.models import Incarnation
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, StrayStart

STARTED_AGAIN = "its minion started again"
"""Reason given for runs of an earlier incarnation that are lost or stopped."""


def stop_on_incarnation(schedule: Schedule, incarnation: Incarnation) -> None:
    """Send stops to a new incarnation for delayed starts of its minion id.

    These starts were sent before the incarnation was known and may still arrive.

    A minion never begins a run after it has received the stop for it.
    """
    delayed_starts = schedule.stray_starts.get(incarnation.minion_id, {})
    for key, delayed in delayed_starts.items():
        if schedule.now_ms >= delayed.until_ms:
            continue
        schedule.minions[incarnation.minion_id].unanswered_stray_stops.add(key)
    resend_pending_stops(schedule, schedule.minions[incarnation.minion_id])


def resend_pending_stops(
    schedule: Schedule, minion: Minion, after_poll: bool = False
) -> None:
    """Resend the stops of delayed starts that this incarnation has not answered.

    A single stop is not enough: it may be delayed as well, and arrive after the start.
    A long-running task that is still wanted may work by now, so its stop is sent only
    after a poll that did not report it.

    Args:
        schedule: Changed in place.
        minion: The incarnation.
        after_poll: Whether its report has just been processed: then those of services
            are sent, otherwise all others.
    """
    delayed_starts = schedule.stray_starts.get(minion.minion_id, {})
    for key in sorted(minion.unanswered_stray_stops):
        if key not in delayed_starts or schedule.now_ms >= delayed_starts[key].until_ms:
            minion.unanswered_stray_stops.discard(key)
            continue
        task, number = key
        unit = schedule.units.get(task)
        is_service = unit is not None and unit.is_wanted_service
        if is_service != after_poll:
            continue
        schedule.emit(
            StopRun(
                minion.minion_id,
                task,
                number,
                STARTED_AGAIN,
                minion.info.born_ms,
                schedule.now_ms + const.STOP_EXPIRES_MS if is_service else 0,
            )
        )


def drop_expired_starts(schedule: Schedule) -> None:
    """Remove delayed starts that have expired, also those of unknown minions."""
    for minion_id, delayed_starts in list(schedule.stray_starts.items()):
        for key, delayed in list(delayed_starts.items()):
            if schedule.now_ms >= delayed.until_ms:
                del delayed_starts[key]
        if not delayed_starts:
            del schedule.stray_starts[minion_id]


def tasks_with_pending_starts(schedule: Schedule) -> frozenset[str]:
    """Return the tasks that may still begin because their stops are not answered.

    If starts are not bound to an incarnation, a delayed start may also be carried out
    by an incarnation that the owner does not know yet.
    """
    pending: set[str] = set()
    # Only minions with delayed starts have pending stops.
    for minion_id, delayed_starts in schedule.stray_starts.items():
        minion = schedule.minions.get(minion_id)
        if minion is not None:
            pending.update(task for task, _ in minion.unanswered_stray_stops)
        if schedule.starts_are_bound:
            continue
        for (task, _), delayed in delayed_starts.items():
            if schedule.now_ms < delayed.until_ms and _may_reach_unknown_incarnation(
                minion, delayed
            ):
                pending.add(task)
    return frozenset(pending)


def _may_reach_unknown_incarnation(minion: Minion | None, delayed: StrayStart) -> bool:
    """Return whether a delayed start may reach an incarnation that is not known yet.

    If a later incarnation is known, the start is stopped there instead.
    """
    if not delayed.born_ms:
        # No start time is known: such incarnations have minion ids of their own, and
        # the order contains the id.
        return False
    return minion is None or minion.info.born_ms == delayed.born_ms
