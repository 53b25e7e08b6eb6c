"""Evacuated availability zones, in which nothing may be started.

The operator requests an evacuation with a record in the operator's log. That record is
the only state: every entry host folds the log, so a new owner knows the evacuated zones
before its first start.
"""

from __future__ import annotations

from courselead.core.scheduler.events import OperatorLogRead, ZonesEvacuated
from courselead.core.scheduler.schedule import Schedule


def zones_evacuated(schedule: Schedule, event: ZonesEvacuated) -> None:
    """Update the evacuated zones; both kinds of change trigger placement."""
    for zone in sorted(event.zones - schedule.evacuated_zones.keys()):
        schedule.evacuated_zones[zone] = schedule.now_ms
        schedule.log_event(
            "zone_evacuation_in_force",
            zone=zone,
            runs=_run_count(schedule, zone),
            view_age_ms=schedule.operator_log_age_ms,
        )
    for zone in sorted(schedule.evacuated_zones.keys() - event.zones):
        since_ms = schedule.evacuated_zones.pop(zone)
        schedule.log_event(
            "zone_returned", zone=zone, after_ms=schedule.now_ms - since_ms
        )
    schedule.dirty_pools.update(schedule.ready)


def operator_log_read(schedule: Schedule, event: OperatorLogRead) -> None:
    """Record a read of the operator's log, after which placement may continue."""
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


def _run_count(schedule: Schedule, zone: str) -> int:
    """Return the number of runs on the minions of a zone."""
    return sum(
        len(minion.runs)
        for minion in schedule.minions.values()
        if minion.info.zone == zone
    )
