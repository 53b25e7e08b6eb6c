"""Passive health checks of targets, and ejection of unhealthy ones.

A target that fails fast has free units and a low latency, so load balancing alone
would prefer it. Consecutive failures or a high failure rate eject it, and it is
readmitted with one probe request at a time. At most half of a pool is ejected for
failures: if most targets fail, the cause is elsewhere.
"""

from dataclasses import replace

from courselead.core.effects import LogEvent
from courselead.core.events import NotRunReason
from courselead.core.requests import targets
from courselead.core.requests.state import Health, Target
from courselead.core.requests.turn import Turn

EWMA_ALPHA = 0.2
EJECT_AFTER_FAILURES = 5
EJECT_FAILURE_RATE = 0.7
MAX_EJECTED_FRACTION = 0.5
FAILURE_EJECTION_MS = 1_000
REFUSAL_EJECTION_MS = 3_000
MAX_EJECTION_MS = 60_000
FOREVER_MS = 1 << 60
FULL_COOLDOWN_MS = 100
MIN_TIMEOUT_FAILURE_MS = 1_000
FIRST_ERROR_STATUS = 500
ESTIMATE_HALF_LIFE_MS = 1_000

NO_HISTORY = Health()


def get_health(turn: Turn, worker: str) -> Health:
    """Return the health data of a target, empty if nothing was recorded."""
    return turn.health.get(worker, NO_HISTORY)


def units_allowed(health: Health, now_ms: int, units: int) -> int:
    """Return how many of `units` may be used: none, one probe, or all of them."""
    if now_ms < health.ejected_until_ms or now_ms < health.full_until_ms:
        return 0
    if health.ejected_until_ms:
        return min(units, 1)
    return units


def record_success(turn: Turn, worker: str, pool: str, took_ms: int) -> None:
    """Record an answer that was not a failure."""
    if worker in turn.targets:
        health = get_health(turn, worker)
        ewma_ms = _update_ewma(health.ewma_ms, took_ms)
        failure_rate = health.failure_rate * (1.0 - EWMA_ALPHA)
        if health.refused and turn.now < health.ejected_until_ms:
            # Requests already in flight may succeed on a target that refuses new
            # ones, so this success does not end the ejection.
            health = replace(health, ewma_ms=ewma_ms, failure_rate=failure_rate)
        else:
            health = Health(ewma_ms, failure_rate)
        turn.health = turn.health.set(worker, health)
    record_service_time(turn, pool, took_ms)


def record_service_time(turn: Turn, pool: str, took_ms: int) -> None:
    """Update the estimated service time of a pool with a measured one."""
    view = turn.pools.get(pool)
    if view is None:
        return
    ewma_ms = _update_ewma(view.ewma_ms, took_ms)
    view = replace(view, ewma_ms=ewma_ms, sampled_ms=turn.now)
    turn.pools = turn.pools.set(pool, view)


def expected_service_ms(turn: Turn, pool: str) -> float:
    """Return the expected service time of a pool, 0.0 if not known.

    An estimate without new samples is halved every second. Otherwise one so high
    that all requests are refused would never be corrected by a new sample.
    """
    view = turn.pools.get(pool)
    if view is None:
        return 0.0
    age_ms = turn.now - view.sampled_ms
    if age_ms <= ESTIMATE_HALF_LIFE_MS:
        return view.ewma_ms
    return view.ewma_ms / (1 << min(age_ms // ESTIMATE_HALF_LIFE_MS, 30))


def record_failure(turn: Turn, worker: str) -> None:
    """Record a failure: an error answer, a broken connection or a timeout."""
    target = turn.targets.get(worker)
    if target is None:
        return
    health = get_health(turn, worker)
    failure_rate = health.failure_rate + EWMA_ALPHA * (1.0 - health.failure_rate)
    health = replace(
        health,
        failure_rate=failure_rate,
        consecutive_failures=health.consecutive_failures + 1,
    )
    turn.health = turn.health.set(worker, health)
    if health.ejected_until_ms:
        _eject(turn, target, health, FAILURE_EJECTION_MS, refused=health.refused)
        return
    if (
        health.consecutive_failures < EJECT_AFTER_FAILURES
        and health.failure_rate < EJECT_FAILURE_RATE
    ):
        return
    if _may_eject(turn, target.pool):
        _eject(turn, target, health, FAILURE_EJECTION_MS, refused=False)


def record_not_run(turn: Turn, worker: str, reason: NotRunReason) -> None:
    """Record that a target did not accept a request."""
    target = turn.targets.get(worker)
    if target is None:
        return
    health = get_health(turn, worker)
    if reason is NotRunReason.FULL:
        until_ms = turn.now + FULL_COOLDOWN_MS
        turn.health = turn.health.set(worker, replace(health, full_until_ms=until_ms))
        start_cooldown(turn, worker, until_ms)
        return
    if reason is NotRunReason.LEAVING:
        # A leaving minion never returns: its successor has another address, and a
        # worker that is brought back has another epoch.
        health = replace(health, ejected_until_ms=FOREVER_MS, refused=True)
        turn.health = turn.health.set(worker, health)
        fields = (("worker", worker), ("reason", str(reason)))
        turn.emit(LogEvent("warning", "target_ejected", fields))
        return
    _eject(turn, target, health, REFUSAL_EJECTION_MS, refused=True)


def start_cooldown(turn: Turn, worker: str, until_ms: int) -> None:
    """Set the time from which a target may be tried again, never an earlier one."""
    until_ms = max(until_ms, turn.cooldowns.get(worker, 0))
    turn.cooldowns = turn.cooldowns.set(worker, until_ms)


def pop_expired_cooldowns(turn: Turn) -> list[str]:
    """Remove and return the targets whose cooldown has ended."""
    due = sorted(name for name, at in turn.cooldowns.items() if at <= turn.now)
    for worker in due:
        turn.cooldowns = turn.cooldowns.delete(worker)
    return due


def _may_eject(turn: Turn, pool: str) -> bool:
    """Return whether another target of a pool may be ejected for failures.

    Targets of evacuated zones are not counted, since they serve nothing.
    """
    members = [
        name
        for name in turn.pools[pool].members
        if not targets.is_evacuated(turn, turn.targets[name])
    ]
    ejected = sum(1 for name in members if get_health(turn, name).ejected_until_ms)
    return ejected + 1 <= len(members) * MAX_EJECTED_FRACTION


def _eject(
    turn: Turn, target: Target, health: Health, base_ms: int, refused: bool
) -> None:
    """Eject a target for a time that doubles with each successive ejection."""
    backoff_ms = min(base_ms << min(health.ejections, 10), MAX_EJECTION_MS)
    if turn.now < health.ejected_until_ms:
        # Several requests in flight may fail for the same fault: count one ejection.
        backoff_ms = max(health.ejected_until_ms - turn.now, base_ms)
        ejections = health.ejections
    else:
        ejections = health.ejections + 1
    until_ms = turn.now + backoff_ms
    health = replace(
        health,
        ejected_until_ms=until_ms,
        ejections=ejections,
        refused=refused or health.refused,
    )
    turn.health = turn.health.set(target.worker, health)
    start_cooldown(turn, target.worker, until_ms)
    fields = (("worker", target.worker), ("rest_ms", backoff_ms))
    turn.emit(LogEvent("warning", "target_ejected", fields))


def _update_ewma(before: float, sample_ms: float) -> float:
    """Return the EWMA updated with a sample; 0.0 means that there was none yet."""
    if before <= 0.0:
        return max(float(sample_ms), 0.1)
    return before + EWMA_ALPHA * (max(sample_ms, 0.1) - before)
