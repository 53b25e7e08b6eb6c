"""Placement: choose which unit starts next, and on which minion."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from courselead.core.scheduler import caps, const, crashes, jobs, lives, urgency
from courselead.core.scheduler.doubt import UnseenTasks, find_unseen_tasks
from courselead.core.scheduler.events import AskAdvice, StartRun
from courselead.core.scheduler.isolation import Isolation
from courselead.core.scheduler.models import Resources
from courselead.core.scheduler.schedule import Schedule, StepAdvice
from courselead.core.scheduler.shares import remaining_shares
from courselead.core.scheduler.state import Minion, Run, StepRun, Unit

MAX_ADVICE_MINIONS = 100
"""Maximum number of minions in one advice request (limit of the platform protocol)."""

ADVICE_MARGIN_MS = 300
"""Tickets this close to expiry are not used: a start may take that long to arrive."""

ADVICE_RETRY_MS = 500
"""Delay before the advice service is asked again after a failure."""

UNITS_PER_MS = 20
"""Ready units scanned by a placement round per millisecond of delay that it causes.

A round over a long ready list delays the next round of the pool accordingly.

Every finished run triggers a round, so without this limit a long ready list would use
the whole CPU.
"""

LONG_READY_LIST = 200
"""Length of a ready list from which rounds are rate-limited.

At this length the delay is 10 ms, about the response time of a start request.
"""


def place_all(schedule: Schedule) -> None:
    """Start all units that fit, in every pool that changed since the last round."""
    if schedule.lease_left_ms < const.LEAST_LEASE_MS:
        return
    pools, schedule.dirty_pools = schedule.dirty_pools, set()
    if schedule.config.accounts:
        # Renews the cached estimate of the unseen use if it is too old, so that the
        # whole round uses the same one.
        caps.unseen_use(schedule)
    for pool in sorted(pools):
        ready_units = schedule.ready.get(pool)
        if not ready_units:
            continue
        if schedule.now_ms < schedule.place_after_ms.get(pool, 0):
            schedule.dirty_pools.add(pool)
            continue
        if len(ready_units) > LONG_READY_LIST:
            gap_ms = len(ready_units) // UNITS_PER_MS
            schedule.place_after_ms[pool] = schedule.now_ms + gap_ms
        _place_pool(schedule, pool)


def _place_pool(schedule: Schedule, pool: str) -> None:
    ready_units = _pending_units(schedule, pool)
    minions = _eligible_minions(schedule, pool)
    if not minions:
        schedule.ready[pool] = ready_units
        return
    ready_units = _in_start_order(schedule, pool, ready_units, minions)
    waiting: list[Unit] = []
    unplaceable = _UnplaceableNeeds(_skipped_ids(schedule, pool, ready_units))
    unseen = find_unseen_tasks(schedule, pool).with_pending(
        lives.tasks_with_pending_starts(schedule)
    )
    isolation = Isolation.create(schedule)
    # Ids of steps that start nothing more in this round: their units have equal needs.
    blocked_steps: set[int] = set()
    for unit in ready_units:
        if id(unit.step) in blocked_steps and not unit.crashes:
            waiting.append(unit)
            continue
        if not _may_start(schedule, unit, unseen, isolation):
            waiting.append(unit)
            continue
        if not caps.has_capacity(schedule, unit):
            waiting.append(unit)
            blocked_steps.add(id(unit.step))
            continue
        if unplaceable.covers(unit) or not _try_start(
            schedule, unit, minions, isolation
        ):
            waiting.append(unit)
            unplaceable.add(unit)
            if not _is_constrained(unit):
                blocked_steps.add(id(unit.step))
    schedule.ready[pool] = waiting


class _UnplaceableNeeds:
    """Resource needs that did not fit in this round.

    A unit that needs at least as much is skipped. Units with extra constraints (gangs,
    a limit per minion, tickets, trials of suspects) are not recorded, since other units
    of the same need may still fit. At most `MAX_CONSTRAINED_TRIES` of them are tried in
    a round, in rotation.
    """

    def __init__(self, skipped_ids: set[int]) -> None:
        """Start empty; `skipped_ids` has the ids of the units to skip in this round."""
        self._needs: dict[str, list[Resources]] = defaultdict(list)
        self._skipped_ids = skipped_ids

    def covers(self, unit: Unit) -> bool:
        """Return whether a unit can be skipped without trying to place it."""
        if id(unit) in self._skipped_ids:
            return True
        charge = unit.spec.charge
        for label in {"", unit.spec.required_label}:
            if any(need.fits(charge) for need in self._needs[label]):
                return True
        return False

    def add(self, unit: Unit) -> None:
        """Record a unit that could not be placed."""
        if _is_constrained(unit):
            return
        needs = self._needs[unit.spec.required_label]
        charge = unit.spec.charge
        if not any(need.fits(charge) for need in needs):
            needs.append(charge)


def _skipped_ids(schedule: Schedule, pool: str, ready_units: list[Unit]) -> set[int]:
    """Return the ids of the constrained units that are skipped in this round."""
    constrained = [unit for unit in ready_units if _is_constrained(unit)]
    if len(constrained) <= const.MAX_CONSTRAINED_TRIES:
        return set()
    first = schedule.constrained_from.get(pool, 0) % len(constrained)
    schedule.constrained_from[pool] = first + const.MAX_CONSTRAINED_TRIES
    ordered = constrained[first:] + constrained[:first]
    return {id(unit) for unit in ordered[const.MAX_CONSTRAINED_TRIES :]}


def _is_constrained(unit: Unit) -> bool:
    spec = unit.spec
    if spec.gang or spec.max_per_minion > 0 or unit.job.advised:
        return True
    return unit.placement_crash_count >= const.TRIAL_CRASHES


def _pending_units(schedule: Schedule, pool: str) -> list[Unit]:
    """Return a pool's ready list without units that need no start.

    Units whose queue now belongs to another pool are moved to that pool's ready list.
    """
    ready_units: list[Unit] = []
    # The pool of each job by its id(), None if the job has ended.
    pools: dict[int, str | None] = {}
    for unit in schedule.ready.get(pool, []):
        if unit.done or unit.runs:
            continue
        job = unit.job
        if id(job) not in pools:
            pools[id(job)] = None if job.state.final else schedule.pool_of(job)
        current = pools[id(job)]
        if current is None:
            continue
        if current != pool:
            schedule.ready.setdefault(current, []).append(unit)
            schedule.dirty_pools.add(current)
            continue
        ready_units.append(unit)
    return ready_units


def _eligible_minions(schedule: Schedule, pool: str) -> list[Minion]:
    minions = []
    for minion in schedule.minions.values():
        if minion.info.pool != pool or minion.info.draining or not minion.listed:
            continue
        if not minion.synced or minion.cordoned or minion.failures:
            continue
        if schedule.stores_starts_on(minion) and not schedule.log_accepts_records:
            continue
        if minion.is_unresponsive(schedule.now_ms):
            continue
        if schedule.now_ms < minion.rest_until_ms:
            continue
        if not schedule.may_start_in(minion.info.zone):
            continue
        minions.append(minion)
    return minions


def _may_start(
    schedule: Schedule, unit: Unit, unseen: UnseenTasks, isolation: Isolation | None
) -> bool:
    if unit.not_before_ms > schedule.now_ms or not schedule.may_restart(unit):
        return False
    if not crashes.may_start(schedule, unit):
        return False
    if isolation is not None and not isolation.may_start(unit):
        return False
    return not unseen.blocks(unit)


_LONG_RUNNING, _FINITE, _OVER_SHARE = range(3)
"""Start order within a priority: long-running tasks first, then finite tasks, then
finite tasks beyond their account's fair share."""


@dataclass(slots=True)
class _Group:
    """Units of one step that are adjacent in the start order.

    Long-running tasks of a step may start to wait at different times, so each of them
    is a group of its own.
    """

    order: tuple[int, ...]
    units: list[Unit]

    @property
    def account(self) -> str:
        """Return the account that the units belong to, "" if there is none."""
        return self.units[0].job.account

    @property
    def finite_unit_milli(self) -> int:
        """Return the CPU need of one unit of the group, 0 if it is long-running.

        The need is that of all tasks of the unit, in thousandths of a core.
        """
        unit = self.units[0]
        if unit.spec.long_running:
            return 0
        return unit.spec.need.cpu_milli * len(unit.indexes)


def _in_start_order(
    schedule: Schedule, pool: str, ready_units: list[Unit], minions: list[Minion]
) -> list[Unit]:
    """Return a ready list in start order, with fair shares between accounts."""
    groups = _groups(schedule, ready_units)
    if schedule.config.accounts:
        groups = _by_shares(schedule, pool, groups, minions)
    return [unit for group in groups for unit in group.units]


def _groups(schedule: Schedule, ready_units: list[Unit]) -> list[_Group]:
    """Return the groups of a ready list in start order, regardless of accounts."""
    group_by_step: dict[int, _Group] = {}
    groups: list[_Group] = []
    for unit in ready_units:
        group = group_by_step.get(id(unit.step))
        if group is not None:
            group.units.append(unit)
            continue
        group = _Group((*_start_order(schedule, unit.step), unit.ready_ms), [unit])
        groups.append(group)
        if not unit.spec.long_running:
            group_by_step[id(unit.step)] = group
    return sorted(groups, key=lambda group: group.order)


def _by_shares(
    schedule: Schedule, pool: str, groups: list[_Group], minions: list[Minion]
) -> list[_Group]:
    """Return the groups with units beyond an account's fair share moved back.

    These units come after all other units of the same priority. Long-running tasks and
    accounts without a limit are never moved back.
    """
    waiting: dict[str, int] = defaultdict(int)
    for group in groups:
        need = group.finite_unit_milli
        if need:
            waiting[group.account] += need * len(group.units)
    free_milli = sum(max(0, minion.free_capacity.cpu_milli) for minion in minions)
    remaining_milli = remaining_shares(schedule, pool, free_milli, waiting)
    if not remaining_milli:
        return groups
    reordered: list[_Group] = []
    for group in groups:
        account, need = group.account, group.finite_unit_milli
        if not need or account not in remaining_milli:
            reordered.append(group)
            continue
        count = max(0, remaining_milli[account] // need)
        remaining_milli[account] -= need * len(group.units)
        if count:
            reordered.append(_Group(group.order, group.units[:count]))
        over_share = group.units[count:]
        if over_share:
            priority, _, *rest = group.order
            reordered.append(_Group((priority, _OVER_SHARE, *rest), over_share))
    return sorted(reordered, key=lambda group: group.order[:2])


def _start_order(schedule: Schedule, step: StepRun) -> tuple[int, int, int, int]:
    """Return the sort key of a step's units; the lowest starts first."""
    queue = schedule.queue(step.job.queue)
    priority = queue.priority if queue is not None else 0
    if step.spec.long_running:
        return (priority, _LONG_RUNNING, 0, 0)
    late = urgency.is_late(schedule, step)
    return (priority, _FINITE, int(late), urgency.remaining_work(schedule, step).work)


def _try_start(
    schedule: Schedule,
    unit: Unit,
    minions: list[Minion],
    isolation: Isolation | None,
) -> bool:
    queue = schedule.queue(unit.job.queue)
    tickets: dict[str, str] | None = None
    if queue is not None and queue.advice is not None:
        tickets = _tickets(schedule, unit, minions)
        if tickets is None:
            return False
        minions = [item for item in minions if item.minion_id in tickets]
    if not unit.job.zone or unit.job.zone in schedule.evacuated_zones:
        unit.job.zone = _zone_for(unit, minions)
    if isolation is not None:
        minions = isolation.allowed_minions(unit, minions)
    places = _places(schedule, unit, minions, isolation)
    if places is None:
        return False
    number = max(schedule.first_run_number, unit.next_number)
    unit.next_number = number + 1
    schedule.log_event(
        "unit_started",
        job_id=unit.job.job_id,
        task=unit.task_name(unit.indexes[0]),
        run=number,
        minion=places[0][1].minion_id,
        tasks=len(places),
        waited_ms=schedule.now_ms - unit.ready_ms,
        capped_ms=unit.step.capped_ms,
        report_age_ms=schedule.now_ms - places[0][1].seen_ms,
        version=schedule.config.version,
        resumed=bool(unit.checkpoint),
    )
    for index, minion in places:
        ticket = tickets[minion.minion_id] if tickets is not None else ""
        _start(schedule, unit, index, minion, number, ticket)
        if isolation is not None:
            isolation.record_start(unit, minion.minion_id)
    return True


def _start(
    schedule: Schedule, unit: Unit, index: int, minion: Minion, number: int, ticket: str
) -> None:
    run = Run(unit, index, number, minion.minion_id, schedule.now_ms)
    run.percent_ms = schedule.now_ms
    run.born_ms = minion.info.born_ms
    schedule.add_run(minion, run)
    is_suspect = bool(unit.crashes)
    batch = 0
    if unit.starts_stored:
        jobs.save(schedule, unit.job)
    if is_suspect:
        schedule.starts_wait = True
        batch = schedule.open_batch
    else:
        minion.unanswered_since_ms = minion.unanswered_since_ms or schedule.now_ms
    lease_ms = schedule.grant_lease(minion)
    schedule.emit(
        StartRun(
            minion.minion_id,
            run.task,
            number,
            unit.job.spec.payload,
            lease_ms,
            unit.checkpoint,
            ticket,
            minion.info.born_ms,
            batch,
            once=is_suspect,
        )
    )


def _zone_for(unit: Unit, minions: list[Minion]) -> str:
    """Return the zone with the least free capacity that fits a step.

    If it fits in no zone, the zone with the most free capacity is returned. Keeping a
    job in one zone limits the damage when a zone is cut off: jobs of 6 to 16 tasks that
    are spread over three zones nearly all lose a task, while in a single zone only a
    third of the jobs do. Jobs submitted in the two seconds before a zone was cut off
    earned 0.60 of their value instead of 0.53 (mean of 20 simulations).
    """
    free: dict[str, int] = defaultdict(int)
    for minion in minions:
        free[minion.info.zone] += minion.free_capacity.cpu_milli
    need = unit.step.open_units * unit.spec.charge.cpu_milli
    fitting = [zone for zone in sorted(free) if free[zone] >= need]
    if fitting:
        return min(fitting, key=free.__getitem__)
    return max(sorted(free), key=free.__getitem__, default="")


def _places(
    schedule: Schedule,
    unit: Unit,
    minions: list[Minion],
    isolation: Isolation | None,
) -> list[tuple[int, Minion]] | None:
    """Return a minion for each task of a unit, None if any task does not fit."""
    if not unit.spec.gang:
        minion = _choose(schedule, unit, minions, {}, {}, isolation)
        return None if minion is None else [(unit.indexes[0], minion)]
    if unit.spec.rack_local:
        racks: dict[str, list[Minion]] = defaultdict(list)
        for minion in minions:
            racks[minion.info.rack].append(minion)
        ordered = sorted(racks, key=lambda rack: rack != unit.spec.preferred_rack)
        for rack in ordered:
            places = _gang_places(schedule, unit, racks[rack], isolation)
            if places is not None:
                return places
    return _gang_places(schedule, unit, minions, isolation)


def _gang_places(
    schedule: Schedule,
    unit: Unit,
    minions: list[Minion],
    isolation: Isolation | None,
) -> list[tuple[int, Minion]] | None:
    taken: dict[str, Resources] = {}
    counts: dict[str, int] = {}
    places = []
    for index in unit.indexes:
        minion = _choose(schedule, unit, minions, taken, counts, isolation)
        if minion is None:
            return None
        key = minion.minion_id
        taken[key] = taken.get(key, Resources()).plus(unit.spec.charge)
        counts[key] = counts.get(key, 0) + 1
        places.append((index, minion))
    return places


def _choose(
    schedule: Schedule,
    unit: Unit,
    minions: list[Minion],
    taken: dict[str, Resources],
    counts: dict[str, int],
    isolation: Isolation | None,
) -> Minion | None:
    spec = unit.spec
    need = spec.charge
    best: Minion | None = None
    best_score: tuple[int, ...] | None = None
    for minion in minions:
        free_capacity = minion.free_capacity
        if taken:
            free_capacity = free_capacity.minus(
                taken.get(minion.minion_id, Resources())
            )
        if not need.fits(free_capacity):
            continue
        if spec.required_label and spec.required_label not in minion.info.labels:
            continue
        if spec.max_per_minion:
            step_count = _count_of_step(unit, minion) + counts.get(minion.minion_id, 0)
            if step_count >= spec.max_per_minion:
                continue
        score = _score(schedule, unit, minion, free_capacity)
        if isolation is not None:
            score = (isolation.penalty(unit, minion), *score)
        if best_score is None or score < best_score:
            best, best_score = minion, score
    return best


def _count_of_step(unit: Unit, minion: Minion) -> int:
    return sum(run.unit.step is unit.step for run in minion.runs.values())


def _score(
    schedule: Schedule, unit: Unit, minion: Minion, free_capacity: Resources
) -> tuple[int, int, int, int, int]:
    spec = unit.spec
    avoided = minion.minion_id in unit.avoid
    avoided = avoided or schedule.now_ms < minion.quarantine_until_ms
    off_rack = bool(spec.preferred_rack) and minion.info.rack != spec.preferred_rack
    if not spec.long_running:
        off_zone = minion.info.zone != unit.job.zone
        return (avoided, off_rack, off_zone, 0, free_capacity.cpu_milli)
    # A worker with a long-running task cannot change pools, so these tasks are packed
    # onto few workers. Filler tasks (`fills`) and other long-running tasks slow each
    # other down, so they are kept apart where possible.
    long_running_count = conflicting_count = 0
    for run in minion.runs.values():
        long_running_count += run.unit.spec.long_running
        conflicting_count += run.unit.spec.fills != spec.fills
    return (
        avoided,
        off_rack,
        not long_running_count,
        conflicting_count,
        -free_capacity.cpu_milli,
    )


def _tickets(
    schedule: Schedule, unit: Unit, minions: list[Minion]
) -> dict[str, str] | None:
    """Return the step's tickets by minion, None if it has no usable ones.

    In that case tickets are requested, unless a request is open or the delay after a
    failed one has not passed.
    """
    advice = schedule.advice.setdefault(unit.step.name, StepAdvice())
    if advice.tickets and schedule.now_ms < advice.until_ms - ADVICE_MARGIN_MS:
        return advice.tickets
    if not advice.asked and schedule.now_ms >= advice.retry_ms:
        advice.asked = True
        ids = tuple(item.minion_id for item in minions[:MAX_ADVICE_MINIONS])
        schedule.emit(AskAdvice(unit.step.name, ids))
    return None


def advice_given(
    schedule: Schedule, step: str, tickets: dict[str, str], valid_ms: int
) -> None:
    """Store the tickets that the advice service returned for a step."""
    advice = schedule.advice.get(step)
    if advice is None:
        return
    advice.asked = False
    advice.tickets = tickets
    advice.until_ms = schedule.now_ms + valid_ms
    if not tickets:
        advice.retry_ms = schedule.now_ms + ADVICE_RETRY_MS
    schedule.dirty_pools.update(schedule.ready)


def advice_failed(schedule: Schedule, step: str) -> None:
    """Schedule another advice request for a step after a failure."""
    advice = schedule.advice.get(step)
    if advice is not None:
        advice.asked = False
        advice.retry_ms = schedule.now_ms + ADVICE_RETRY_MS
