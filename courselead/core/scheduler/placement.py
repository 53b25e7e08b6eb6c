"""Placement: choose which unit starts next, and on which minion."""

from __future__ import annotations

from courselead.core.scheduler import (
    caps,
    const,
    crashes,
    gangs,
    jobs,
    minion_filters,
    minion_scores,
    ready_lists,
    start_order,
    tickets,
)
from courselead.core.scheduler.doubt import UnseenTasks, find_unseen_tasks
from courselead.core.scheduler.events import StartRun
from courselead.core.scheduler.isolation import Isolation
from courselead.core.scheduler.job_zone import zone_for
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.selection import Selection
from courselead.core.scheduler.shares import remaining_shares
from courselead.core.scheduler.state import Minion, Run, Unit
from courselead.core.scheduler.unplaceable import (
    UnplaceableNeeds,
    is_constrained,
    skipped_ids,
)

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

FittingMinions = dict[int, list[Minion]]
"""Minions that the last unit of a step did fit on in this round, by the step's id().

Minions only fill up during a round, so the step's next unit fits on no others. It is
not used while suspects are kept apart, as units of a step may then differ.
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
    # Placing units changes nothing about what is unseen.
    unseen: UnseenTasks | None = None
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
        if unseen is None:
            unseen = find_unseen_tasks(schedule)
        _place_pool(schedule, pool, unseen)


def _place_pool(schedule: Schedule, pool: str, unseen: UnseenTasks) -> None:
    ready_units = _pending_units(schedule, pool)
    minions = minion_filters.eligible_minions(schedule, pool)
    if not minions:
        ready_lists.reorder(schedule, pool, ready_units)
        return
    ready_units = _in_start_order(schedule, pool, ready_units, minions)
    waiting: list[Unit] = []
    unplaceable = UnplaceableNeeds(skipped_ids(schedule, pool, ready_units))
    isolation = Isolation.create(schedule)
    warming_up = frozenset(
        item.minion_id for item in minions if item.is_warming_up(schedule.now_ms)
    )
    # Ids of steps that start nothing more in this round: their units have equal needs.
    blocked_steps: set[int] = set()
    fitting_by_step: FittingMinions = {}
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
            Selection(schedule, unit, isolation, warming_up), minions, fitting_by_step
        ):
            waiting.append(unit)
            unplaceable.add(unit)
            if not is_constrained(unit):
                blocked_steps.add(id(unit.step))
    ready_lists.reorder(schedule, pool, waiting)


def _pending_units(schedule: Schedule, pool: str) -> list[Unit]:
    """Return a pool's ready list without units that need no start.

    Units whose queue now belongs to another pool are moved to that pool's ready list.
    """
    ready_units: list[Unit] = []
    # The pool of each job by its id(), None if the job has ended.
    pools: dict[int, str | None] = {}
    for unit in list(schedule.ready.get(pool, ())):
        if unit.done or unit.runs:
            ready_lists.remove(schedule, unit)
            continue
        job = unit.job
        if id(job) not in pools:
            pools[id(job)] = None if job.state.final else job.pool
        current = pools[id(job)]
        if current is None:
            ready_lists.remove(schedule, unit)
            continue
        if current != pool:
            ready_lists.move(schedule, unit)
            continue
        ready_units.append(unit)
    return ready_units


def _in_start_order(
    schedule: Schedule, pool: str, ready_units: list[Unit], minions: list[Minion]
) -> list[Unit]:
    """Return a ready list in start order, with fair shares between accounts."""
    groups = start_order.group_units(schedule, ready_units)
    if schedule.config.accounts:
        free_milli = sum(max(0, minion.free_capacity.cpu_milli) for minion in minions)
        waiting = start_order.waiting_by_account(groups)
        remaining_milli = remaining_shares(schedule, pool, free_milli, waiting)
        groups = start_order.with_shares(groups, remaining_milli)
    return [unit for group in groups for unit in group.units]


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


def _try_start(
    selection: Selection, minions: list[Minion], fitting_by_step: FittingMinions
) -> bool:
    if not selection.unit.job.advised:
        return _try_start_on(selection, minions, fitting_by_step, {})
    valid = tickets.valid_tickets(selection.schedule, selection.unit, minions)
    allowed = [item for item in minions if item.minion_id in valid]
    if allowed and _try_start_on(selection, allowed, fitting_by_step, valid):
        return True
    _ask_advice(selection, minions)
    return False


def _ask_advice(selection: Selection, minions: list[Minion]) -> None:
    """Ask which of the minions that a unit would use may run its step."""
    schedule, unit = selection.schedule, selection.unit
    if not tickets.may_ask(schedule, unit):
        return
    if selection.isolation is not None:
        minions = selection.isolation.allowed_minions(unit, minions)
    # A gang that has found no places may have left some reserved.
    selection.reserved = None
    tickets.ask(schedule, unit, minion_filters.fitting_minions(selection, minions))


def _try_start_on(
    selection: Selection,
    minions: list[Minion],
    fitting_by_step: FittingMinions,
    ticket_by_minion: dict[str, str],
) -> bool:
    """Start a unit on some of the minions; returns False if it does not fit."""
    schedule, unit = selection.schedule, selection.unit
    if not unit.job.zone or unit.job.zone in schedule.evacuated_zones:
        unit.job.zone = zone_for(unit, minions)
    if selection.isolation is not None:
        minions = selection.isolation.allowed_minions(unit, minions)
    if selection.spec.gang:
        places = gangs.find_places(selection, minions)
    else:
        places = _find_place(selection, minions, fitting_by_step)
    if places is None:
        return False
    _start_unit(selection, places, ticket_by_minion)
    return True


def _start_unit(
    selection: Selection,
    places: list[tuple[int, Minion]],
    ticket_by_minion: dict[str, str],
) -> None:
    """Start the tasks of a unit, each on the minion found for it."""
    schedule, unit = selection.schedule, selection.unit
    ready_lists.remove(schedule, unit)
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
        ticket = ticket_by_minion.get(minion.minion_id, "")
        _start(schedule, unit, index, minion, number, ticket)
        if selection.isolation is not None:
            selection.isolation.record_start(unit, minion.minion_id)


def _find_place(
    selection: Selection, minions: list[Minion], fitting_by_step: FittingMinions
) -> list[tuple[int, Minion]] | None:
    """Return a minion for a unit that is not a gang, None if it does not fit."""
    unit = selection.unit
    if selection.isolation is None:
        minions = fitting_by_step.get(id(unit.step), minions)
    minions = minion_filters.fitting_minions(selection, minions)
    if selection.isolation is None:
        fitting_by_step[id(unit.step)] = minions
    minion = minion_scores.best_minion(selection, minions)
    return None if minion is None else [(unit.indexes[0], minion)]


def _start(
    schedule: Schedule, unit: Unit, index: int, minion: Minion, number: int, ticket: str
) -> None:
    run = Run(unit, index, number, minion.minion_id, schedule.now_ms)
    run.percent_ms = schedule.now_ms
    run.born_ms = minion.info.born_ms
    schedule.add_run(minion, run)
    is_suspect = bool(unit.crashes)
    batch = jobs.record_pool(schedule, unit.job, minion.info.pool)
    if unit.starts_stored:
        jobs.save(schedule, unit.job)
    if is_suspect:
        batch = schedule.open_batch
    if batch > schedule.saved_batch:
        # The start is held back until the batch is stored.
        schedule.starts_wait = True
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
