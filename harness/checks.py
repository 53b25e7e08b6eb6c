"""Checks of the nine promises at every step of a run.

The checks keep a small model of their own of the pools and their minimum sizes, and
observe the workers directly, so that they detect a fault of the core.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from courselead.core.effects import CallAgent, Send
from courselead.core.events import MembersListed, NotRunReason
from courselead.core.fleet.records import (
    JobPlaced,
    MinionUp,
    StopCancelled,
    StopPlanned,
    TablePublished,
    WorkerDown,
    WorkerQuarantined,
    WorkersGone,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.fleet.state import (
    AppliedRecord,
    FleetState,
    HostStatus,
    WorkerPhase,
)
from courselead.core.reducer import CoreState
from courselead.core.table import ServiceRow, account_key, service_key
from harness.workers import STOPPED, TaskRun, Worker

LEAVING_LIMIT_MS = 3_000
CONFIG_LIMIT_MS = 5_000
ANSWER_TOLERANCE_MS = 160
CHECK_PERIOD_MS = 100
NEVER_MS = 1 << 60


class Promise(StrEnum):
    """A promise that courselead makes to its users."""

    BUDGET = "budget"
    ONE_POOL = "one_pool"
    OWN_ANSWER = "own_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING = "leaving"
    NO_CUT = "no_cut"
    CONFIG = "config"
    FINAL_ANSWER = "final_answer"


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: Promise
    at_ms: int
    text: str


class Checks:
    """Checks of the promises in one run.

    Attributes:
        violations: Broken promises.
        exercised: Number of times that each promise was put to the test since `arm`.
    """

    def __init__(self, world: object) -> None:
        self.world = world
        self.violations: list[Violation] = []
        self.exercised: Counter[Promise] = Counter()
        self._armed = False
        self._rows: dict[str, ServiceRow] = {}
        self._versions: dict[str, int] = {}
        self._pools: dict[tuple[str, int], str] = {}
        self._serving: dict[str, str] = {}
        self._edits: set[str] = set()
        self._digests: dict[int, str] = {}
        self._served: dict[str, int] = {}
        self._leaving_ms: dict[str, int] = {}
        self._seen_listings: dict[str, tuple[int, dict[str, int]]] = {}
        self._task_runs: Counter[str] = Counter()
        world.log.listeners.append(self.check_batch)

    def arm(self) -> None:
        """Start to count in `exercised`."""
        self._armed = True

    def fail(self, promise: Promise, text: str) -> None:
        """Record a broken promise."""
        now_ms = self.world.sched.now_ms
        self.violations.append(Violation(promise, now_ms, text))
        self.world.note("check", f"{promise} broken: {text}")

    def _count(self, promise: Promise) -> None:
        if self._armed:
            self.exercised[promise] += 1

    # --- the log ------------------------------------------------------------

    def check_batch(
        self, before: FleetState, applied: tuple[AppliedRecord, ...]
    ) -> None:
        """Check the verdicts of one batch against the model."""
        agreed_state = self.world.log.agreed_state
        self._digests[agreed_state.offset] = agreed_state.digest
        for item in applied:
            if not item.verdict.accepted:
                continue
            handler = _HANDLERS.get(type(item.record))
            if handler is not None:
                handler(self, item)
            name = getattr(item.record, "worker", "")
            if name:
                self._note_pool(agreed_state, name)
        self.world.note_applied(applied)

    def _note_pool(self, agreed_state: FleetState, name: str) -> None:
        worker = agreed_state.workers.get(name)
        if worker is not None and worker.pool:
            self._pools[(name, worker.epoch)] = worker.pool

    def _on_minion_up(self, item: AppliedRecord) -> None:
        name, epoch = item.record.worker, item.record.epoch
        self._note_pool(self.world.log.agreed_state, name)
        self._serving[name] = self._pools.get((name, epoch), "")

    def _on_worker_out(self, item: AppliedRecord) -> None:
        self._serving.pop(item.record.worker, None)

    def _on_workers_gone(self, item: AppliedRecord) -> None:
        workers = self.world.log.agreed_state.workers
        for name, _ in item.record.workers:
            if workers[name].phase is WorkerPhase.GONE:
                self._serving.pop(name, None)

    def _on_stop_planned(self, item: AppliedRecord) -> None:
        pool = self._serving.pop(item.record.worker, "")
        self._count(Promise.BUDGET)
        serving = sum(1 for one in self._serving.values() if one == pool)
        if serving < self._min_serving(pool):
            record = item.record
            text = f"{pool}: {serving} serve after the stop of {record.worker}"
            self.fail(Promise.BUDGET, f"{text}, {self._min_serving(pool)} must")

    def _min_serving(self, pool: str) -> int:
        row = self._rows.get(pool)
        if row is None:
            return 0
        return row.workers - math.floor(row.availability_budget * row.workers)

    def _on_table_published(self, item: AppliedRecord) -> None:
        record = item.record
        keys = [account_key(row.client_account) for row in record.accounts]
        keys += [service_key(row.pool) for row in record.services]
        for key in (*keys, *record.removed):
            if self._versions.get(key, -1) > record.base_version:
                self.fail(Promise.CONFIG, f"the edit of {key} overwrote a newer one")
            self._versions[key] = item.offset
        self._edits.add(record.request_id)
        req = self.world.callers.requests.get(record.request_id)
        if req is not None and req.not_run:
            text = f"the edit {req.request_id} came into force after its refusal"
            self.fail(Promise.CONFIG, text)
        for row in record.services:
            self._rows[row.pool] = row
        for key in record.removed:
            self._rows.pop(key.partition(":")[2], None)
        now_ms = self.world.sched.now_ms
        self.world.sched.after(
            CONFIG_LIMIT_MS, self._check_table_version, item.offset, now_ms
        )

    def _check_table_version(self, version: int, since_ms: int) -> None:
        for host in self.world.hosts.values():
            if not host.alive or host.connected_since_ms > since_ms or host.frozen:
                continue
            self._count(Promise.CONFIG)
            held_version = host.state.fleet.table.version
            if held_version < version:
                text = f"{host.name} has table {held_version} after 5 s of {version}"
                self.fail(Promise.CONFIG, text)

    def _on_zone_changed(self, item: AppliedRecord) -> None:
        self._edits.add(item.record.request_id)
        req = self.world.callers.requests.get(item.record.request_id)
        if req is not None and req.not_run:
            text = f"the command {req.request_id} took effect after its refusal"
            self.fail(Promise.CONFIG, text)

    def _on_job_placed(self, item: AppliedRecord) -> None:
        host = self.world.hosts[item.entry_host]
        self._check_not_leaving(host, item.record.worker, f"job {item.record.job_id}")

    # --- the hosts ----------------------------------------------------------

    def check_state(self, host: object, before: CoreState) -> None:
        """Check the state of a host after an event."""
        state = host.state
        if state.fleet is before.fleet:
            return
        offset = state.fleet.offset
        known = self._digests.get(offset)
        if known is not None and known != state.fleet.digest:
            text = f"{host.name} holds another state at offset {offset}"
            self.fail(Promise.ONE_POOL, text)
        version = state.fleet.table.version
        if version < before.fleet.table.version:
            text = f"{host.name} went from table {before.fleet.table.version}"
            self.fail(Promise.CONFIG, f"{text} to {version}")
        if not state.member:
            return
        if version < self._served.get(host.name, -1):
            served = self._served[host.name]
            text = f"{host.name} serves with table {version} after {served}"
            self.fail(Promise.CONFIG, text)
        self._served[host.name] = max(version, self._served.get(host.name, -1))

    # --- callers ------------------------------------------------------------

    def check_outcome(self, req: object) -> None:
        """Check that a caller gets one final answer, and in time."""
        if len(req.outcomes) > 1:
            self.fail(Promise.FINAL_ANSWER, f"{req.request_id} was told {req.outcomes}")
        now_ms = self.world.sched.now_ms
        limit_ms = max(req.deadline_ms, req.host.thawed_at_ms) + ANSWER_TOLERANCE_MS
        if now_ms > limit_ms and req.outcomes[0] not in ("closed", "gone"):
            text = (
                f"{req.request_id} was told {req.outcomes} {now_ms - limit_ms} ms late"
            )
            self.fail(Promise.FINAL_ANSWER, text)
        if not req.outcomes[0].startswith(("answered", "gone")):
            self._count(Promise.FINAL_ANSWER)

    def check_edit_outcome(self, req: object, accepted: bool) -> None:
        """Check that an operator's answer to an edit agrees with the log."""
        if req.is_edit and accepted is not (req.request_id in self._edits):
            what = "accepted" if accepted else "refused"
            text = f"the edit {req.request_id} was told as {what}"
            self.fail(Promise.CONFIG, f"{text}, and the log says otherwise")

    def check_not_run(self, req: object) -> None:
        """Check that a request reported as not run has not run."""
        self._count(Promise.NOT_RUN)
        if req.runs:
            self.fail(Promise.NOT_RUN, f"{req.request_id} had run {req.runs} times")

    def check_answer(self, req: object, text: bytes) -> None:
        """Check that an answer of a target belongs to the request."""
        self._count(Promise.OWN_ANSWER)
        if text != req.answer_to(req.request_id):
            self.fail(Promise.OWN_ANSWER, f"{req.request_id} was given {text}")
        if req.heads != 1:
            text = f"{req.request_id} was given {req.heads} heads"
            self.fail(Promise.OWN_ANSWER, text)

    def check_replay(self, req: object, text: bytes) -> None:
        """Check that a replayed answer is one of the ticket, of any attempt."""
        self._count(Promise.OWN_ANSWER)
        own = req.answer_to("")
        if not text.startswith(own):
            self.fail(Promise.OWN_ANSWER, f"{req.request_id} was replayed {text}")

    def finish(self) -> None:
        """Check at the end of a run that all requests due have a final answer."""
        now_ms = self.world.sched.now_ms
        for req in self.world.callers.requests.values():
            if not req.outcomes and req.deadline_ms + ANSWER_TOLERANCE_MS < now_ms:
                text = f"{req.request_id} was never given a final answer"
                self.fail(Promise.FINAL_ANSWER, text)

    # --- sends and runs -----------------------------------------------------

    def track_leaving_workers(self) -> None:
        """Record since when the membership list shows workers as leaving."""
        shown = self.world.membership.shown()
        leaving = shown[1].leaving if shown is not None else ()
        for name in leaving:
            self._leaving_ms.setdefault(name, self.world.sched.now_ms)
        for name in tuple(self._leaving_ms):
            if name not in leaving:
                del self._leaving_ms[name]

    def note_listing(self, host: object, event: MembersListed) -> None:
        """Record the leaving workers in the newest list that a process has read."""
        key = f"{host.name}:{host.process_number}"
        version, since = self._seen_listings.get(key, (-1, {}))
        if event.version < version:
            return
        now_ms = self.world.sched.now_ms
        leaving_since = {
            name: since.get(name, now_ms) for name in event.leaving_workers
        }
        listed = {info.worker for info in event.workers}
        # A leaving worker that is no longer listed has left.
        leaving_since.update(
            (name, at) for name, at in since.items() if name not in listed
        )
        self._seen_listings[key] = (event.version, leaving_since)

    def check_send(self, host: object, send: Send) -> None:
        """Check that a request is not sent to a leaving worker."""
        self._check_not_leaving(host, send.worker, f"request {send.request_id}")

    def _check_not_leaving(self, host: object, worker: str, what: str) -> None:
        now_ms = self.world.sched.now_ms
        _, leaving_since = self._seen_listings.get(
            f"{host.name}:{host.process_number}", (-1, {})
        )
        for since_ms in (*self._leaving_ms.values(), *leaving_since.values()):
            if now_ms - since_ms > LEAVING_LIMIT_MS:
                self._count(Promise.LEAVING)
        since_ms = min(
            max(self._leaving_ms.get(worker, NEVER_MS), host.connected_since_ms),
            max(leaving_since.get(worker, NEVER_MS), host.thawed_at_ms),
        )
        if now_ms - since_ms > LEAVING_LIMIT_MS:
            text = f"{what} went to {worker}, leaving for {now_ms - since_ms} ms"
            self.fail(Promise.LEAVING, f"{text}, from {host.name}")

    def check_target_refusal(
        self, host: object, send: Send, reason: NotRunReason
    ) -> None:
        """Check that a host no longer uses a target that said it is leaving."""
        minion = self.world.workers[send.worker].minion
        if reason is not NotRunReason.LEAVING or minion is None:
            return
        first_ms = minion.first_leaving_ms.get(
            f"{host.name}:{host.process_number}", NEVER_MS
        )
        first_ms = max(first_ms, host.connected_since_ms)
        now_ms = self.world.sched.now_ms
        self._count(Promise.LEAVING)
        if now_ms - first_ms > LEAVING_LIMIT_MS:
            text = f"{host.name} tried {send.worker} {now_ms - first_ms} ms after"
            self.fail(Promise.LEAVING, f"{text} its own word")

    def check_run(self, minion: object, exchange: object) -> None:
        """Check the run of a request on a minion."""
        req = exchange.request
        ticket = req.ticket
        req.runs += 1
        ticket.runs.append(req.request_id)
        self._count(Promise.ONE_POOL)
        if ticket.pool != minion.pool:
            text = f"{req.request_id} of {ticket.pool} ran on a minion of"
            self.fail(Promise.ONE_POOL, f"{text} {minion.pool}, {minion.address}")
        if req.not_run:
            text = f"{req.request_id} ran after its caller was told it had not"
            self.fail(Promise.NOT_RUN, text)
        if ticket.idempotent:
            return
        self._count(Promise.AT_MOST_ONCE)
        if len(ticket.runs) > 1:
            text = f"ticket {ticket.number} (key {ticket.key!r}) ran as"
            self.fail(Promise.AT_MOST_ONCE, f"{text} {ticket.runs}")

    # --- workers ------------------------------------------------------------

    def pool_at(self, worker: str, epoch: int) -> str:
        """Return the pool of a worker at an epoch, according to the log."""
        return self._pools.get((worker, epoch), "")

    def check_minion_start(self, worker: Worker) -> None:
        """Check the start of a minion."""
        self._check_one_pool(worker)

    def check_task_start(self, worker: Worker, task: TaskRun) -> None:
        """Check the start of a task."""
        self._check_one_pool(worker)
        spec = self.world.job_specs[task.job_id]
        self._task_runs[task.job_id] += 1
        if spec.idempotent:
            return
        self._count(Promise.AT_MOST_ONCE)
        if self._task_runs[task.job_id] > 1:
            text = f"job {task.job_id} ran {self._task_runs[task.job_id]} times"
            self.fail(Promise.AT_MOST_ONCE, text)

    def _check_one_pool(self, worker: Worker) -> None:
        self._count(Promise.ONE_POOL)
        pools = set()
        if worker.minion is not None and worker.minion.state != STOPPED:
            pools.add(worker.minion.pool)
        for task in worker.tasks.values():
            spec = self.world.job_specs[task.job_id]
            if task.state == "running":
                pools.add(f"{spec.client_account}/{spec.service}")
        if len(pools) > 1:
            self.fail(Promise.ONE_POOL, f"{worker.name} runs work of {sorted(pools)}")

    def check_minion_stop(self, worker: Worker, call: CallAgent) -> None:
        """Check a call that stops a serving minion."""
        agreed_state = self.world.log.agreed_state
        agreed = agreed_state.workers[worker.name]
        minion = worker.minion
        if agreed.epoch != minion.epoch:
            return
        if agreed.phase is WorkerPhase.SERVING:
            text = f"{worker.name} serves {agreed.pool} and was stopped"
            self.fail(Promise.BUDGET, f"{text} without a claim")
        if agreed.phase is not WorkerPhase.STOPPING:
            return
        self._count(Promise.NO_CUT)
        for host in self.world.hosts.values():
            known = agreed_state.hosts.get(host.name)
            if known is None or known.status is not HostStatus.LIVE:
                continue
            if known.joined >= agreed.since or not host.alive:
                continue
            for exchange in host.exchanges.values():
                if exchange.send.address == minion.address and not exchange.closed:
                    text = f"{worker.name} was stopped while {host.name} had"
                    what = exchange.send.request_id
                    self.fail(Promise.NO_CUT, f"{text} {what} in flight")

    def check_reboot(self, worker: Worker, call: CallAgent) -> None:
        """Check a call that reboots a worker."""
        self._count(Promise.NO_CUT)
        agreed = self.world.log.agreed_state.workers[worker.name]
        if agreed.phase is WorkerPhase.SERVING:
            text = f"{worker.name} serves {agreed.pool} and is rebooted"
            self.fail(Promise.BUDGET, text)

    def note_refused_reboot(self, worker: Worker, call: CallAgent) -> None:
        """Record that an agent refused to reboot while work runs on it."""
        self._count(Promise.NO_CUT)

    def check_abort(self, worker: Worker, why: str) -> None:
        """Check that a reboot has not aborted a request or a task."""
        if why == "reboot":
            self.fail(Promise.NO_CUT, f"{worker.name} rebooted with work in it")


_HANDLERS: dict[type, Callable[[Checks, AppliedRecord], None]] = {
    MinionUp: Checks._on_minion_up,
    WorkerDown: Checks._on_worker_out,
    WorkerQuarantined: Checks._on_worker_out,
    WorkersGone: Checks._on_workers_gone,
    StopPlanned: Checks._on_stop_planned,
    StopCancelled: Checks._on_minion_up,
    TablePublished: Checks._on_table_published,
    JobPlaced: Checks._on_job_placed,
    ZoneEvacuated: Checks._on_zone_changed,
    ZoneRestored: Checks._on_zone_changed,
}
