"""Handlers for the evacuation of availability zones and for its end."""

from dataclasses import replace

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
    evacuation = EvacuationState(zone, record.operator, record.at_ms, origin.offset)
    evacuations = fleet.evacuations.set(zone, evacuation)
    return replace(fleet, evacuations=evacuations), verdicts.ACCEPTED


def zone_restored(
    fleet: FleetState, origin: Origin, record: ZoneRestored
) -> _HandlerResult:
    """End the evacuation of a zone; no effect on a zone that is not evacuated."""
    zone = record.availability_zone
    if zone in fleet.evacuations:
        evacuations = fleet.evacuations.delete(zone)
        return replace(fleet, evacuations=evacuations), verdicts.ACCEPTED
    if zone not in known_zones(fleet):
        return fleet, verdicts.rejected(verdicts.ZONE_UNKNOWN)
    return fleet, verdicts.ACCEPTED
