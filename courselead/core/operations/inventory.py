"""Brings the platform's list of workers into the log.

The list lags and may come from a source that is behind, so a worker is gone
only if it has been missing for some time and its agent does not answer.
"""

from dataclasses import replace

from immutables import Map

from courselead.core.events import MembersListed
from courselead.core.fleet.records import WorkerInfo, WorkersGone, WorkersSeen
from courselead.core.fleet.state import WorkerPhase, WorkerState
from courselead.core.operations.draft import Draft
from courselead.core.operations.state import Settled

CHUNK = 200
OLD_LIST_MS = 30_000
KEY_INVENTORY = "inventory"
GROUP_SEEN = "seen"


def listed(draft: Draft, event: MembersListed) -> None:
    """Keep a newly read list unless it is older than the one at hand."""
    state = draft.state
    older = event.version < state.list_version
    if older and draft.now_ms - state.listed_ms < OLD_LIST_MS:
        return
    seen = (event.version, draft.ctx.fleet.workers)
    fresh = draft.now_ms - state.listed_ms < OLD_LIST_MS
    if fresh and state.listing.holds(*seen):
        return
    members = Map({info.worker: info for info in event.workers})
    leaving = frozenset(event.leaving_workers)
    absent: dict[str, int] = {}
    for worker in draft.ctx.fleet.workers.values():
        name = worker.worker
        present = name in members or name in leaving
        if present or worker.phase is WorkerPhase.GONE:
            continue
        absent[name] = state.absent.get(name, draft.now_ms)
    draft.state = replace(
        state,
        listed=members,
        leaving=leaving,
        list_version=event.version,
        listed_ms=draft.now_ms,
        absent=Map(absent),
        listing=Settled(seen),
    )


def propose(draft: Draft) -> None:
    """Propose what the list has and the agreed state has not."""
    _propose_gone(draft)
    seen = (draft.state.listed, draft.state.leaving, draft.ctx.fleet.workers)
    if draft.state.inventory.holds(*seen):
        return
    changed = _changed(draft)
    if not changed:
        draft.state = replace(draft.state, inventory=Settled(seen))
        return
    if draft.group_waits(GROUP_SEEN):
        return
    records = []
    for start in range(0, len(changed), CHUNK):
        records.append(WorkersSeen(tuple(changed[start : start + CHUNK])))
    if not draft.plans(KEY_INVENTORY, records):
        return
    for record in records:
        draft.propose(record, group=GROUP_SEEN)


def _changed(draft: Draft) -> list[WorkerInfo]:
    """Return the workers that are new or whose facts differ, by name."""
    workers = draft.ctx.fleet.workers
    changed = []
    for name, info in draft.state.listed.items():
        worker = workers.get(name)
        if worker is not None and _same_facts(worker, info):
            continue
        if worker is None and name in draft.state.leaving:
            continue
        changed.append(info)
    return sorted(changed, key=lambda info: info.worker)


def _same_facts(worker: WorkerState, info: WorkerInfo) -> bool:
    """Return whether the agreed facts of a worker are those of the list."""
    if worker.phase is WorkerPhase.GONE:
        return False
    agreed = WorkerInfo(
        worker.worker,
        worker.availability_zone,
        worker.rack,
        worker.address,
        worker.cores,
        worker.memory_mb,
    )
    return agreed == info


def _propose_gone(draft: Draft) -> None:
    """Propose the workers that are missing and do not answer."""
    gone = []
    for name, since in draft.state.absent.items():
        worker = draft.ctx.fleet.workers.get(name)
        if worker is None or worker.phase is WorkerPhase.GONE:
            continue
        if draft.now_ms - since < draft.cfg.absent_ms:
            continue
        view = draft.state.agents.get(name)
        if view is None or view.failing_ms < 0:
            continue
        if draft.now_ms - view.failing_ms < draft.cfg.failing_ms:
            continue
        gone.append((name, worker.epoch))
    for start in range(0, len(gone), CHUNK):
        draft.propose(WorkersGone(tuple(sorted(gone)[start : start + CHUNK])))
