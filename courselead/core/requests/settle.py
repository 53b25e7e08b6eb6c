"""Settled offset that this host reports, and whether it is drained."""

from courselead.core.fleet.state import FleetState, WorkerPhase
from courselead.core.requests.state import RequestsState


def settled_offset(state: RequestsState, fleet: FleetState) -> int:
    """Return the highest offset up to which stops and share changes are settled.

    For every planned stop that began at or before this offset, this host has no
    request in flight on the worker and will send none. This host also uses no
    units beyond its shares under the host lists up to this offset.
    """
    settled = fleet.offset
    if state.synced_fleet is not None:
        settled = min(settled, state.synced_fleet.offset)
    for worker in state.in_flight_by_worker:
        known = fleet.workers.get(worker)
        if known is None or known.phase is not WorkerPhase.STOPPING:
            continue
        settled = min(settled, known.since - 1)
    if len(state.bases) > 1 and state.over_share:
        settled = min(settled, state.bases[1].after)
    return settled


def is_drained(state: RequestsState) -> bool:
    """Return whether every admitted request has had its final outcome."""
    return not state.in_flight_count and not state.waiting


def in_flight_total(state: RequestsState) -> int:
    """Return the number of requests in flight from this host."""
    return state.in_flight_count
