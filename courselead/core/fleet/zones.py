"""Handlers for the evacuation of availability zones and for its end."""

from dataclasses import replace

from immutables import Map

from courselead.core.fleet import verdicts
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.queries import known_zones
from courselead.core.fleet.records import ZoneEvacuated, ZoneRestored
from courselead.core.fleet.state import EvacuationState, FleetState, Verdict

_HandlerResult = tuple[FleetState, Verdict]


def zone_evacuated(
    fleet: FleetState, origin: Origin, record: ZoneEvacuated
) -> _HandlerResult:
    """Evacuate a zone; a repeated record keeps the first operator and time."""
    zone = record.availability_zone
    if zone in fleet.evacuations:
        return fleet, verdicts.ACCEPTED
    if zone not in known_zones(fleet):
        return fleet, verdicts.rejected(verdicts.ZONE_UNKNOWN)
    if _is_outdated(fleet, record):
        return fleet, verdicts.rejected(verdicts.ZONE_CHANGED)
    evacuation = EvacuationState(zone, record.operator, record.at_ms, origin.offset)
    evacuations = fleet.evacuations.set(zone, evacuation)
    return _with_change(fleet, zone, evacuations, origin), verdicts.ACCEPTED


def zone_restored(
    fleet: FleetState, origin: Origin, record: ZoneRestored
) -> _HandlerResult:
    """End the evacuation of a zone; no effect on a zone that is not evacuated."""
    zone = record.availability_zone
    if zone in fleet.evacuations:
        if _is_outdated(fleet, record):
            return fleet, verdicts.rejected(verdicts.ZONE_CHANGED)
        evacuations = fleet.evacuations.delete(zone)
        return _with_change(fleet, zone, evacuations, origin), verdicts.ACCEPTED
    if zone not in known_zones(fleet):
        return fleet, verdicts.rejected(verdicts.ZONE_UNKNOWN)
    return fleet, verdicts.ACCEPTED


def _is_outdated(fleet: FleetState, record: ZoneEvacuated | ZoneRestored) -> bool:
    """Return whether the zone has changed since its command was given."""
    if record.read_offset is None:
        return False
    return fleet.zone_changes.get(record.availability_zone, -1) > record.read_offset


def _with_change(
    fleet: FleetState, zone: str, evacuations: Map[str, EvacuationState], origin: Origin
) -> FleetState:
    """Return the state with new evacuations, and the offset of the zone's change."""
    changes = fleet.zone_changes.set(zone, origin.offset)
    return replace(fleet, evacuations=evacuations, zone_changes=changes)
