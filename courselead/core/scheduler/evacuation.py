"""Evacuated availability zones, in which nothing may be started.

The operator requests an evacuation with a record in the operator's log. That record is
the only state: every entry host folds the log, so a new owner knows the evacuated zones
before its first start.
"""

from __future__ import annotations

from courselead.core.scheduler import const
from courselead.core.scheduler.events import OperatorLogRead, ZonesEvacuated
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run


def zones_evacuated(schedule: Schedule, event: ZonesEvacuated) -> None:
    """Update the evacuated zones, and place the ready units anew."""
    for zone in sorted(event.zones - schedule.evacuated_zones.keys()):
        schedule.evacuated_zones[zone] = schedule.now_ms
        schedule.returned_zones.pop(zone, None)
        schedule.log_event(
            "zone_evacuation_in_force",
            zone=zone,
            runs=_run_count(schedule, zone),
            view_age_ms=schedule.operator_log_age_ms,
        )
    for zone in sorted(schedule.evacuated_zones.keys() - event.zones):
        since_ms = schedule.evacuated_zones.pop(zone)
        schedule.emptied_zones.discard(zone)
        schedule.returned_zones[zone] = schedule.now_ms
        schedule.log_event(
            "zone_returned", zone=zone, after_ms=schedule.now_ms - since_ms
        )
    schedule.dirty_pools.update(schedule.ready)


def operator_log_read(schedule: Schedule, event: OperatorLogRead) -> None:
    """Record a read of the operator's log; log when starts are paused or resumed."""
    schedule.operator_log_read_ms = max(schedule.operator_log_read_ms, event.sent_ms)
    is_old = schedule.operator_log_is_too_old
    if is_old == schedule.starts_paused:
        return
    schedule.starts_paused = is_old
    schedule.log_event(
        "evacuation_view_old" if is_old else "evacuation_view_current",
        age_ms=schedule.operator_log_age_ms,
    )
    schedule.dirty_pools.update(schedule.ready)


def tick(schedule: Schedule) -> None:
    """Log the evacuated zones that have become empty."""
    for zone, since_ms in schedule.evacuated_zones.items():
        if zone in schedule.emptied_zones or not _is_certainly_empty(schedule, zone):
            continue
        schedule.emptied_zones.add(zone)
        schedule.log_event(
            "zone_emptied", zone=zone, after_ms=schedule.now_ms - since_ms
        )


def run_begun(schedule: Schedule, minion: Minion, run: Run) -> None:
    """Log the first start in a zone after its return."""
    zone = minion.info.zone
    returned_ms = schedule.returned_zones.get(zone)
    if returned_ms is None or run.started_ms < returned_ms:
        return
    del schedule.returned_zones[zone]
    schedule.log_event(
        "zone_first_start",
        zone=zone,
        minion=minion.minion_id,
        task=run.task,
        after_ms=schedule.now_ms - returned_ms,
    )


def runs_left(schedule: Schedule) -> int:
    """Return the number of runs in all evacuated zones."""
    return sum(_run_count(schedule, zone) for zone in schedule.evacuated_zones)


def _is_certainly_empty(schedule: Schedule, zone: str) -> bool:
    """Return whether nothing runs in a zone.

    A minion that has not reported to this owner may have runs of an earlier one.
    """
    if _run_count(schedule, zone):
        return False
    if schedule.now_ms >= schedule.old_leases_end_ms:
        return True
    claimed_for_ms = schedule.now_ms - schedule.claimed_ms
    if schedule.workers_ms < 0 or claimed_for_ms < const.LISTS_SETTLE_MS:
        return False
    if any(item.zone == zone for item in schedule.unconfirmed_minions.values()):
        return False
    return all(
        minion.synced
        for minion in schedule.minions.values()
        if minion.info.zone == zone
    )


def _run_count(schedule: Schedule, zone: str) -> int:
    """Return the number of runs on the minions of a zone."""
    return sum(
        len(minion.runs)
        for minion in schedule.minions.values()
        if minion.info.zone == zone
    )
