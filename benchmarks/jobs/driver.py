"""Runs the reducer and the fold of the core over simulated workers, in virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, replace

from immutables import Map

from benchmarks.jobs.load import SERVICES, Arrival, FleetShape, service_name
from benchmarks.jobs.workers import Worker
from courselead.core.context import Context
from courselead.core.effects import CallAgent, Effect, Propose, ReplyProblem
from courselead.core.events import (
    AgentAnswered,
    AgentOp,
    AgentReport,
    BatchesRead,
    Event,
    JobsOffered,
    Tick,
)
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.records import (
    Batch,
    HostBeat,
    HostJoined,
    JobsEnded,
    MinionStopped,
    MinionUp,
    Record,
    StopPlanned,
    StopPurpose,
    TablePublished,
    WorkerAssigned,
    WorkerInfo,
    WorkerRebooted,
    WorkersSeen,
)
from courselead.core.fleet.state import FleetState, JobPhase, WorkerPhase
from courselead.core.identity import Identity
from courselead.core.jobs import const, reducer
from courselead.core.jobs.placement import Policy
from courselead.core.jobs.sizes import Sizes
from courselead.core.jobs.state import JobsState
from courselead.core.table import AccountRow, ServiceRow, pool_name

# APPEND_MS covers an append and its read; AGENT_DELAY_MS is one way.
APPEND_MS = 10
AGENT_DELAY_MS = 2
TICK_INTERVAL_MS = 250
POLL_INTERVAL_MS = 2_000
REBOOT_MS = 180_000
WAVE_START_MS = 300_000
WAVE_INTERVAL_MS = 1_000
MAX_RUN_MS = 6 * 3_600_000
# Wall time at the start, when no worker has been maintained yet.
START_WALL_MS = 1_700_000_000_000

_OPEN_PHASES = (JobPhase.WAITING, JobPhase.PLACED, JobPhase.CANCELLING)


@dataclass(frozen=True, slots=True)
class Run:
    """Parameters of one run.

    Attributes:
        learning: Whether learned sizes are used.
        reserve: Whether capacity is reserved for urgent jobs.
        wave: Whether a maintenance wave takes place during the run.
    """

    shape: FleetShape
    policy: Policy
    learning: bool
    reserve: bool
    wave: bool


class Driver:
    """Simulates one entry host that proposes records, one log and the workers."""

    def __init__(self, run: Run, arrivals: list[Arrival]) -> None:
        """Create the fleet and schedule the arrivals."""
        self.run = run
        self.now_ms = START_WALL_MS
        self.me = Identity("host-0", 1, "zone-0", "127.0.0.1:1", 0)
        self.fleet = FleetState()
        self.jobs = JobsState()
        self.workers: dict[str, Worker] = {}
        self.arrivals = {arrival.spec.job_id: arrival for arrival in arrivals}
        self.started_ms: dict[str, int] = {}
        self.ended_ms: dict[str, int] = {}
        self.refused: list[str] = []
        self.evictions = 0
        self._offset = -1
        self._seq = 0
        self._unfinished_jobs = len(arrivals)
        self._event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._proposals: list[Record] = []
        self._appending = False
        self._in_maintenance: dict[str, str] = {}
        for record in self._initial_records():
            self._append_batch(record)
        for arrival in arrivals:
            self._schedule_at(
                START_WALL_MS + arrival.at_ms,
                lambda arrival=arrival: self._submit(arrival),
            )

    def run_to_end(self) -> None:
        """Run until all jobs have ended or MAX_RUN_MS has passed."""
        self._schedule_at(self.now_ms, self._tick)
        for number, name in enumerate(sorted(self.workers)):
            offset_ms = number * POLL_INTERVAL_MS // len(self.workers)
            self._schedule_at(
                self.now_ms + offset_ms, lambda name=name: self._poll(name)
            )
        if self.run.wave:
            self._schedule_at(START_WALL_MS + WAVE_START_MS, self._advance_wave)
        while self._unfinished_jobs and self.now_ms < START_WALL_MS + MAX_RUN_MS:
            self.now_ms, _, action = heapq.heappop(self._event_queue)
            action()
        for worker in self.workers.values():
            worker.advance_to(self.now_ms)

    def _schedule_at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._sequence += 1
        heapq.heappush(self._event_queue, (at_ms, self._sequence, action))

    def _initial_records(self) -> list[Record]:
        """Return the records that create the fleet."""
        shape = self.run.shape
        me = self.me
        joined = HostJoined(me.entry_host, 1, me.availability_zone, me.peer_address)
        account = AccountRow(shape.name, move_cost=shape.move_cost)
        rows = []
        worker_infos = []
        records: list[Record] = []
        for service in range(SERVICES):
            name = service_name(service)
            rows.append(ServiceRow(shape.name, name, workers=shape.pool_workers))
            for number in range(shape.pool_workers):
                worker = f"{name}-worker-{number}"
                zone = f"zone-{number % shape.zones}"
                info = WorkerInfo(
                    worker, zone, "rack", "127.0.0.1:2", shape.cores, shape.memory_mb
                )
                worker_infos.append(info)
                job_fraction = const.JOBS_SHARE
                self.workers[worker] = Worker(
                    worker,
                    shape.cores * job_fraction,
                    int(shape.memory_mb * job_fraction),
                )
                pool = pool_name(shape.name, name)
                records.append(WorkerAssigned(worker, 0, pool, 1))
                records.append(MinionUp(worker, 1, "127.0.0.1:3"))
        table = TablePublished(-1, (account,), tuple(rows), (), "bench")
        return [joined, table, WorkersSeen(tuple(worker_infos)), *records]

    def _append_batch(self, *records: Record) -> None:
        """Append a batch to the log and fold it immediately."""
        self._seq += 1
        self._offset += 1
        me = self.me
        batch = Batch(
            me.entry_host, me.incarnation, self._seq, self.now_ms, -1, records
        )
        self.fleet, applied = apply_batch(self.fleet, self._offset, batch)
        self._record_job_ends(records)
        event = BatchesRead(self.now_ms, ((self._offset, batch),))
        self._reduce(event, applied)

    def _record_job_ends(self, records: tuple[Record, ...]) -> None:
        """Record the end times of jobs."""
        for record in records:
            if not isinstance(record, JobsEnded):
                continue
            for end in record.ends:
                job = self.fleet.jobs[end.job_id]
                if job.phase in _OPEN_PHASES or end.job_id in self.ended_ms:
                    continue
                self.ended_ms[end.job_id] = self.now_ms - START_WALL_MS
                self._unfinished_jobs -= 1

    def _reduce(self, event: Event, applied: tuple = ()) -> None:
        """Reduce one event and perform the resulting effects."""
        ctx = Context(
            me=self.me,
            fleet=self.fleet,
            applied=applied,
            log_up=True,
            member=True,
            leaving=False,
            now_ms=self.now_ms,
            wall_ms=self.now_ms,
        )
        self.jobs, effects = reducer.reduce(self.jobs, ctx, event, self.run.policy)
        if not self.run.learning:
            self.jobs = replace(self.jobs, sizes=Sizes())
        if not self.run.reserve:
            self.jobs = replace(self.jobs, urgent=Map())
        for effect in effects:
            self._perform(effect)
        if self._proposals and not self._appending:
            self._appending = True
            self._schedule_at(self.now_ms + APPEND_MS, self._append_proposals)

    def _append_proposals(self) -> None:
        """Append all records proposed since the previous append."""
        records = tuple(self._proposals)
        self._proposals = []
        self._appending = False
        self._append_batch(*records)

    def _perform(self, effect: Effect) -> None:
        """Perform one effect."""
        match effect:
            case Propose(record=record):
                self._proposals.append(record)
            case CallAgent():
                self._schedule_at(
                    self.now_ms + AGENT_DELAY_MS, lambda: self._answer_call(effect)
                )
            case ReplyProblem(request_id=job_id):
                self.refused.append(job_id)
                self._unfinished_jobs -= 1

    def _answer_call(self, call: CallAgent) -> None:
        """Carry out an agent call on a worker and schedule the answer."""
        true_demand = self.arrivals[call.job_id].true_demand
        refused, task = self.workers[call.worker].call(call, true_demand, self.now_ms)
        if call.op is AgentOp.START_TASK:
            self.started_ms.setdefault(call.job_id, self.now_ms - START_WALL_MS)
        if call.op is AgentOp.CHECKPOINT_TASK and call.job_id in self.jobs.evictions:
            self.evictions += 1
        answer = AgentAnswered(
            now_ms=self.now_ms + AGENT_DELAY_MS,
            wall_ms=self.now_ms,
            worker=call.worker,
            op=call.op,
            epoch=call.epoch,
            refused=refused,
            task=task.to_report(self.now_ms) if task else None,
            job_id=call.job_id,
        )
        self._schedule_at(self.now_ms + AGENT_DELAY_MS, lambda: self._reduce(answer))

    def _tick(self) -> None:
        """Send a periodic tick to the entry host."""
        self._reduce(Tick(self.now_ms, self.now_ms))
        self._schedule_at(self.now_ms + TICK_INTERVAL_MS, self._tick)

    def _poll(self, name: str) -> None:
        """Poll a worker's state, as the operations part of the core does."""
        worker = self.workers[name]
        worker.advance_to(self.now_ms)
        job_ids = self.fleet.jobs_on.get(name, ())
        tasks = [worker.tasks[job_id] for job_id in job_ids if job_id in worker.tasks]
        report = AgentReport(
            epoch=self.fleet.workers[name].epoch,
            minion_state="serving",
            minion_service="",
            minion_address="",
            minion_in_flight=0,
            rebooting=False,
            boots=0,
            tasks=tuple(task.to_report(self.now_ms) for task in tasks),
        )
        self._reduce(
            AgentAnswered(
                now_ms=self.now_ms,
                wall_ms=self.now_ms,
                worker=name,
                op=AgentOp.STATE,
                epoch=report.epoch,
                report=report,
            )
        )
        self._schedule_at(self.now_ms + POLL_INTERVAL_MS, lambda: self._poll(name))

    def _submit(self, arrival: Arrival) -> None:
        """Submit one job, with its deadline converted to wall time."""
        spec = arrival.spec
        if spec.deadline_ms:
            spec = replace(spec, deadline_ms=spec.deadline_ms + START_WALL_MS)
        until_ms = self.now_ms + 60_000
        self._reduce(JobsOffered(self.now_ms, spec.job_id, (spec,), until_ms))

    def _advance_wave(self) -> None:
        """Advance the maintenance wave, one worker of each pool at a time."""
        self._schedule_at(self.now_ms + WAVE_INTERVAL_MS, self._advance_wave)
        for service in range(SERVICES):
            name = service_name(service)
            worker = self._in_maintenance.get(name)
            if worker is None:
                worker = self._next_unmaintained(name)
                if worker is None:
                    continue
                self._in_maintenance[name] = worker
                self._plan_stop(worker)
                continue
            state = self.fleet.workers[worker]
            if state.phase is WorkerPhase.STOPPING:
                if worker not in self.fleet.jobs_on:
                    self._reboot(worker)
                continue
            if self.now_ms - state.maintained_ms >= REBOOT_MS:
                self._append_batch(MinionUp(worker, state.epoch, "127.0.0.1:3"))
                del self._in_maintenance[name]

    def _next_unmaintained(self, service: str) -> str | None:
        """Return the pool's next worker that has not been maintained yet."""
        for name in sorted(self.workers):
            state = self.fleet.workers[name]
            if name.startswith(f"{service}-") and not state.maintained_ms:
                return name
        return None

    def _plan_stop(self, name: str) -> None:
        """Append the planned stop of a worker."""
        state = self.fleet.workers[name]
        version = self.fleet.table.version
        purpose = StopPurpose.MAINTENANCE
        self._append_batch(
            StopPlanned(name, state.epoch, purpose, "", version, self.now_ms)
        )

    def _reboot(self, name: str) -> None:
        """Stop the minion and reboot the worker, which has no jobs left."""
        at = self.fleet.offset
        beat = HostBeat(self.me.entry_host, 1, at, at, -1, "")
        epoch = self.fleet.workers[name].epoch
        rebooted = WorkerRebooted(name, epoch, self.now_ms)
        self._append_batch(beat, MinionStopped(name, epoch), rebooted)
