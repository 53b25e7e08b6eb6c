"""Targets by pool, derived from the workers in the shared state."""

from dataclasses import replace

from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState
from courselead.core.requests import quota
from courselead.core.requests.roster import TargetSet
from courselead.core.requests.state import PoolView, Target
from courselead.core.requests.turn import Turn

EMPTY_POOL = PoolView()


def sync_targets(turn: Turn, before: FleetState | None) -> list[str]:
    """Update targets from changed workers and evacuations.

    Returns:
        The affected pools, sorted.
    """
    pools = _sync_evacuations(turn, before)
    after = turn.ctx.fleet.workers
    if before is not None and before.workers is after:
        return sorted(pools)
    known = before.workers if before is not None else None
    changed = [
        name
        for name, worker in after.items()
        if known is None or known.get(name) is not worker
    ]
    # Sorted, because the iteration order of a map differs between processes.
    for name in sorted(changed):
        pools.update(_sync_one(turn, name, after[name]))
    if len(turn.targets) <= len(after):
        return sorted(pools)
    for name in sorted(turn.targets):
        if name not in after:
            pools.update(_sync_one(turn, name, None))
    return sorted(pools)


def _sync_evacuations(turn: Turn, before: FleetState | None) -> set[str]:
    """Update the target sets after a change of the evacuations.

    Targets of an evacuated zone stay known, with their shares and loans, because
    requests to them are still in flight. They only leave their target sets.

    Returns:
        The pools with targets in the zones that were evacuated or restored.
    """
    after = turn.ctx.fleet.evacuations
    known = before.evacuations if before is not None else {}
    if known is after:
        return set()
    changed_zones = set(known) ^ set(after)
    pools = set()
    for name in sorted(turn.targets):
        target = turn.targets[name]
        if target.availability_zone not in changed_zones:
            continue
        pools.add(target.pool)
        if is_evacuated(turn, target):
            mark_unavailable(turn, name)
        else:
            mark_available(turn, name)
    return pools


def is_evacuated(turn: Turn, target: Target) -> bool:
    """Return whether a target gets no new requests because of an evacuation."""
    return target.availability_zone in turn.ctx.fleet.evacuations


def _sync_one(turn: Turn, name: str, worker: WorkerState | None) -> set[str]:
    """Add, remove or replace one worker's target; return the affected pools."""
    new = _target(turn, worker)
    old = turn.targets.get(name)
    if new == old:
        return set()
    pools = set()
    if old is not None:
        _remove(turn, old)
        pools.add(old.pool)
    if new is not None:
        _insert(turn, new)
        pools.add(new.pool)
    return pools


def _target(turn: Turn, worker: WorkerState | None) -> Target | None:
    """Return the target for a worker, None if it has no serving minion."""
    if worker is None or worker.phase is not WorkerPhase.SERVING:
        return None
    if not worker.minion_address or not worker.pool:
        return None
    return quota.build_target(worker, turn.ctx.me.availability_zone)


def _remove(turn: Turn, target: Target) -> None:
    """Remove a target and all data kept about it."""
    turn.targets = turn.targets.delete(target.worker)
    view = turn.pools[target.pool]
    members = tuple(name for name in view.members if name != target.worker)
    same_zone = view.same_zone.drop(target.worker)
    other_zones = view.other_zones.drop(target.worker)
    view = replace(view, same_zone=same_zone, other_zones=other_zones, members=members)
    turn.pools = turn.pools.set(target.pool, view)
    if target.worker in turn.health:
        turn.health = turn.health.delete(target.worker)
    if target.worker in turn.cooldowns:
        turn.cooldowns = turn.cooldowns.delete(target.worker)
    if target.quota in turn.shares:
        turn.shares = turn.shares.delete(target.quota)
    # Borrowed units in use are still reported as held. A lender that has not read of
    # the minion's stop would otherwise use them again. What is lent stays on record
    # until it is reported as returned, as the stop may be cancelled.
    if target.quota in turn.borrowed and target.quota not in turn.in_use:
        turn.borrowed = turn.borrowed.delete(target.quota)


def _insert(turn: Turn, target: Target) -> None:
    """Add a target to its pool and mark it as available."""
    turn.targets = turn.targets.set(target.worker, target)
    if target.quota in turn.shares:
        turn.shares = turn.shares.delete(target.quota)
    view = turn.pools.get(target.pool, EMPTY_POOL)
    members = tuple(sorted((*view.members, target.worker)))
    turn.pools = turn.pools.set(target.pool, replace(view, members=members))
    mark_available(turn, target.worker)


def mark_available(turn: Turn, worker: str) -> None:
    """Add a target to its set, since it may have a free unit.

    Targets of evacuated zones are in no set.
    """
    target = turn.targets.get(worker)
    if target is None or is_evacuated(turn, target):
        return
    view = turn.pools[target.pool]
    target_set = view.same_zone if target.same_zone else view.other_zones
    if worker in target_set:
        return
    _set_target_set(turn, target, view, target_set.add(worker))


def mark_unavailable(turn: Turn, worker: str) -> None:
    """Remove a target from its set, since it has no free unit."""
    target = turn.targets[worker]
    view = turn.pools[target.pool]
    target_set = view.same_zone if target.same_zone else view.other_zones
    _set_target_set(turn, target, view, target_set.drop(worker))


def mark_all_available(turn: Turn) -> None:
    """Add all targets to their rosters after a change of the shares."""
    for pool in sorted(turn.pools):
        view = turn.pools[pool]
        same_zone = TargetSet()
        other_zones = TargetSet()
        for worker in view.members:
            target = turn.targets[worker]
            if is_evacuated(turn, target):
                continue
            if target.same_zone:
                same_zone = same_zone.add(worker)
            else:
                other_zones = other_zones.add(worker)
        turn.pools = turn.pools.set(
            pool, replace(view, same_zone=same_zone, other_zones=other_zones)
        )


def _set_target_set(
    turn: Turn, target: Target, view: PoolView, target_set: TargetSet
) -> None:
    """Store the changed target set of a target in its pool."""
    if target.same_zone:
        view = replace(view, same_zone=target_set)
    else:
        view = replace(view, other_zones=target_set)
    turn.pools = turn.pools.set(target.pool, view)
