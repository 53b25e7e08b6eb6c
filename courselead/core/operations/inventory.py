"""Records changes of the platform's list of workers in the log.

The list lags and may come from an outdated source, so a worker counts as gone only
if it has been missing for some time and its agent does not answer.
"""

from dataclasses import replace

from immutables import Map

from courselead.core.events import MembersListed
from courselead.core.fleet.records import WorkerInfo, WorkersGone, WorkersSeen
from courselead.core.fleet.state import WorkerPhase, WorkerState
from courselead.core.operations.draft import Draft
from courselead.core.operations.health import is_unresponsive
from courselead.core.operations.state import NoOpInputs

MAX_WORKERS_PER_RECORD = 200
IGNORE_OLDER_LIST_MS = 30_000
INVENTORY_PLAN_KEY = "inventory"
GROUP_SEEN = "seen"


def handle_list(draft: Draft, event: MembersListed) -> None:
    """Store a received list unless it is older than the current one.

    An older list is accepted once the current one is `IGNORE_OLDER_LIST_MS` old.
    """
    state = draft.state
    older = event.version < state.list_version
    if older and draft.now_ms - state.list_received_ms < IGNORE_OLDER_LIST_MS:
        return
    inputs = (event.version, draft.ctx.fleet.workers)
    fresh = draft.now_ms - state.list_received_ms < IGNORE_OLDER_LIST_MS
    if fresh and state.list_inputs.matches(*inputs):
        return
    members = Map({info.worker: info for info in event.workers})
    leaving = frozenset(event.leaving_workers)
    absent: dict[str, int] = {}
    for worker in draft.ctx.fleet.workers.values():
        name = worker.worker
        present = name in members or name in leaving
        if present or worker.phase is WorkerPhase.GONE:
            continue
        absent[name] = state.absent_since_ms.get(name, draft.now_ms)
    draft.state = replace(
        state,
        listed_workers=members,
        leaving=leaving,
        list_version=event.version,
        list_received_ms=draft.now_ms,
        absent_since_ms=Map(absent),
        list_inputs=NoOpInputs(inputs),
    )


def propose_changes(draft: Draft) -> None:
    """Propose the differences between the list and the shared state."""
    _propose_gone(draft)
    inputs = (draft.state.listed_workers, draft.state.leaving, draft.ctx.fleet.workers)
    if draft.state.inventory_inputs.matches(*inputs):
        return
    changed = _changed_workers(draft)
    if not changed:
        draft.state = replace(draft.state, inventory_inputs=NoOpInputs(inputs))
        return
    if draft.is_group_undecided(GROUP_SEEN):
        return
    records = []
    for start in range(0, len(changed), MAX_WORKERS_PER_RECORD):
        records.append(
            WorkersSeen(tuple(changed[start : start + MAX_WORKERS_PER_RECORD]))
        )
    if not draft.should_propose_plan(INVENTORY_PLAN_KEY, records):
        return
    for record in records:
        draft.propose(record, group=GROUP_SEEN)


def _changed_workers(draft: Draft) -> list[WorkerInfo]:
    """Return the workers that are new or whose properties differ, sorted by ID."""
    workers = draft.ctx.fleet.workers
    changed = []
    for name, info in draft.state.listed_workers.items():
        worker = workers.get(name)
        if worker is not None and _is_unchanged(worker, info):
            continue
        if worker is None and name in draft.state.leaving:
            continue
        changed.append(info)
    return sorted(changed, key=lambda info: info.worker)


def _is_unchanged(worker: WorkerState, info: WorkerInfo) -> bool:
    """Return whether a listed worker is not gone and has the same properties."""
    if worker.phase is WorkerPhase.GONE:
        return False
    known = WorkerInfo(
        worker.worker,
        worker.availability_zone,
        worker.rack,
        worker.address,
        worker.cores,
        worker.memory_mb,
    )
    return known == info


def _propose_gone(draft: Draft) -> None:
    """Propose as gone the workers that are missing and do not answer."""
    gone = []
    for name, since in draft.state.absent_since_ms.items():
        worker = draft.ctx.fleet.workers.get(name)
        if worker is None or worker.phase is WorkerPhase.GONE:
            continue
        if draft.now_ms - since < draft.cfg.gone_after_ms:
            continue
        view = draft.state.agents.get(name)
        if view is None or not is_unresponsive(draft, view):
            continue
        gone.append((name, worker.epoch))
    for start in range(0, len(gone), MAX_WORKERS_PER_RECORD):
        draft.propose(
            WorkersGone(tuple(sorted(gone)[start : start + MAX_WORKERS_PER_RECORD]))
        )
