"""Selection of the target for a request."""

from dataclasses import replace

import xxhash

from courselead.core.requests import health, quota, targets
from courselead.core.requests.policies import Candidate
from courselead.core.requests.roster import TargetSet
from courselead.core.requests.state import PoolView, RequestState, Target
from courselead.core.requests.turn import Turn


def choose(turn: Turn, req: RequestState) -> Target | None:
    """Return the target for a request, None if no target has a free unit.

    Targets in this host's availability zone are preferred. Targets in other zones are
    used only when none of these has a unit that this host may use.
    Targets that this request was already sent to are chosen last. Targets in evacuated
    zones are in no target set and are never chosen.
    """
    view = turn.pools.get(req.pool)
    if view is None:
        return None
    hash_value = xxhash.xxh64_intdigest(
        req.arrived.request_id.encode(), seed=req.attempt
    )
    candidate = _choose_from_target_set(turn, req, hash_value, same_zone=True)
    if candidate is None:
        candidate = _choose_from_target_set(turn, req, hash_value, same_zone=False)
    if candidate is None:
        return None
    view = turn.pools[req.pool]
    turn.pools = turn.pools.set(
        req.pool, replace(view, choice_count=view.choice_count + 1)
    )
    return turn.targets[candidate.worker]


def _choose_from_target_set(
    turn: Turn, req: RequestState, hash_value: int, same_zone: bool
) -> Candidate | None:
    """Return a candidate from the target set of this zone or of the other zones.

    Targets without a free unit are removed from the target set when they are found,
    so that each is examined only once.
    """
    policy = turn.policies.routing
    while True:
        view = turn.pools[req.pool]
        target_set = view.same_zone if same_zone else view.other_zones
        if not target_set:
            return None
        positions = policy.sample_positions(
            len(target_set), hash_value, view.choice_count
        )
        candidates = _candidates(turn, view, target_set, positions)
        if not candidates:
            continue
        if req.tried_workers:
            untried = [one for one in candidates if one.worker not in req.tried_workers]
            candidates = (
                untried or _first_untried(turn, req, view, target_set) or candidates
            )
        return policy.choose(candidates)


def _candidates(
    turn: Turn, view: PoolView, target_set: TargetSet, positions: object
) -> list[Candidate]:
    """Return the candidates at some positions; drop targets without a free unit."""
    candidates = []
    for position in positions:
        worker = target_set.workers[position]
        candidate = _candidate(turn, view, worker)
        if candidate is None:
            targets.mark_unavailable(turn, worker)
            continue
        candidates.append(candidate)
    return candidates


def _first_untried(
    turn: Turn, req: RequestState, view: PoolView, target_set: TargetSet
) -> list[Candidate]:
    """Return a list with the first candidate not tried yet, or an empty list."""
    for worker in view.members:
        if worker in req.tried_workers or worker not in target_set:
            continue
        candidate = _candidate(turn, view, worker)
        if candidate is not None:
            return [candidate]
    return []


def _candidate(turn: Turn, view: PoolView, worker: str) -> Candidate | None:
    """Return the candidate for a worker, None if it may not be used now."""
    if worker in turn.leaving_workers:
        return None
    target = turn.targets[worker]
    policy = turn.policies.routing
    units = quota.usable_units(turn, target.quota)
    outstanding = turn.in_use.get(target.quota, 0)
    state = turn.health.get(worker)
    if state is None:
        state = health.NO_HISTORY
    elif policy.uses_health:
        units = health.units_allowed(state, turn.now, units)
    if outstanding >= units:
        return None
    latency = 1.0
    if state.ewma_ms and view.ewma_ms:
        latency = state.ewma_ms / view.ewma_ms
    peers = _peers_outstanding(turn, worker) if policy.uses_peers else 0
    return Candidate(worker, outstanding, units, peers, latency, state.failure_rate)


def _peers_outstanding(turn: Turn, worker: str) -> int:
    """Return how many requests all peers last reported in flight on a worker."""
    return sum(peer.in_flight.get(worker, 0) for peer in turn.peers.values())
