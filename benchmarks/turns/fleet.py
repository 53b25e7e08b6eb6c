"""A scheduler with workers that move between pools and minions that run all tasks.

Virtual time advances in steps of `STEP_MS`; nothing fails.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from benchmarks.turns.load import JobArrival, QueueLoad
from courselead.core.scheduler import events as ev
from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.models import (
    Bounds,
    FleetConfig,
    JobSpec,
    JobState,
    MinionInfo,
    Pool,
    Queue,
    Resources,
    StepSpec,
    Worker,
    WorkerPhase,
)
from courselead.core.scheduler.records import JobAccepted
from courselead.core.scheduler.scheduler import Scheduler

STEP_MS = 10
TICK_MS = 100
POLL_INTERVAL_MS = 1_000
"""Time between polls of a minion on which no run ends."""

CALL_LATENCY_MS = 10
"""Latency of an order or a report."""

LONG_RUNNING_GAP_MS = 1_200
"""Time between submissions of long-running jobs, so that they do not form a burst."""

MOVE_MS = 1_500
JOIN_MS = 500
"""Duration of a move, and from its end until the new minion is listed."""

SPARE = "spare"
SPARE_WORKERS = 44
MINION_CAPACITY = Resources(32_000, 131_072)
WORKERS_PER_RACK = 12
ZONES = 6

OBJECTIVE_FACTOR = 1.6
ALLOWANCE_MS = 600
"""Objective of the queues: a multiple of the longest chain plus an allowance."""

START_WALL_MS = 1_700_000_000_000


@dataclass(slots=True)
class _Machine:
    """A worker and the start times of the runs on it, by task and number."""

    worker: Worker
    running: dict[tuple[str, int], int] = field(default_factory=dict)
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class JobResult:
    """A job that has ended or was left unfinished.

    Attributes:
        at_ms: Arrival time since the start of the load.
        work: Work in core-milliseconds.
        late_ms: Time beyond the objective, negative if it was met, infinite if the job
            did not end.
    """

    queue: str
    at_ms: int
    work: int
    late_ms: float


class VirtualFleet:
    """One owner and all workers of several pools."""

    def __init__(self, queues: tuple[QueueLoad, ...]) -> None:
        """Start all workers of the pools and schedule the long-running jobs."""
        pools = {queue.pool: Pool(queue.pool) for queue in queues}
        pools[SPARE] = Pool(SPARE, spare=True)
        configured = {}
        for queue in queues:
            configured[queue.pool] = Queue(
                queue.pool,
                queue.pool,
                queue.priority,
                3,
                OBJECTIVE_FACTOR,
                ALLOWANCE_MS,
            )
        config = FleetConfig(1, configured, pools)
        self.now_ms = 1_000
        self.book = JobBook()
        self.scheduler = Scheduler(
            1,
            True,
            config,
            Bounds(),
            self.book,
            self.now_ms,
            START_WALL_MS + self.now_ms,
        )
        self.worker_ms = 0
        self.moves = 0
        self.starts = 0
        self.results: list[JobResult] = []
        self._machines: dict[str, _Machine] = {}
        self._timers: list[tuple[int, int, object]] = []
        self._timer_numbers = itertools.count()
        self._minion_numbers = itertools.count()
        self._unfinished: dict[str, tuple[JobArrival, int]] = {}
        self._run_ms: dict[str, tuple[tuple[int, ...], ...]] = {}
        self._job_numbers = itertools.count(1)
        numbers = itertools.count()
        for queue in queues:
            for _ in range(queue.workers):
                self._add_worker(next(numbers), queue.pool)
        for _ in range(SPARE_WORKERS):
            self._add_worker(next(numbers), SPARE)
        for queue in queues:
            for number in range(queue.long_running_jobs):
                self._schedule(
                    number * LONG_RUNNING_GAP_MS,
                    self._long_running_submission(queue.pool),
                )

    def run(self, jobs: Iterable[JobArrival], for_ms: int) -> None:
        """Advance virtual time by `for_ms` while `jobs` arrive."""
        start_ms = self.now_ms
        arrivals = iter(jobs)
        next_job = next(arrivals, None)
        while self.now_ms < start_ms + for_ms:
            self.now_ms += STEP_MS
            while next_job is not None and start_ms + next_job.at_ms <= self.now_ms:
                job_id = self._submit(next_job.queue, next_job.spec, next_job.run_ms)
                self._unfinished[job_id] = (next_job, self.now_ms)
                next_job = next(arrivals, None)
            self._step()

    def close(self) -> None:
        """Add results for the jobs that have not ended."""
        for job, _ in self._unfinished.values():
            work = _work(job)
            self.results.append(JobResult(job.queue, job.at_ms, work, float("inf")))
        self._unfinished.clear()

    # Time

    def _step(self) -> None:
        while self._timers and self._timers[0][0] <= self.now_ms:
            callback = heapq.heappop(self._timers)[2]
            callback()  # type: ignore[operator]
        if self.now_ms % TICK_MS == 0:
            self._handle(ev.Tick(START_WALL_MS + self.now_ms))
            self._handle(ev.LogAnswered(self.now_ms))
        if self.now_ms % POLL_INTERVAL_MS == 0:
            for machine in self._machines.values():
                if machine.running:
                    self._poll(machine)
        self.scheduler.place(self.now_ms)
        for effect in self.scheduler.take_effects():
            self._execute(effect)
        self._save()
        for machine in self._machines.values():
            spare = machine.worker.pool == SPARE
            if not spare or machine.worker.phase is not WorkerPhase.UP:
                self.worker_ms += STEP_MS

    def _schedule(self, delay_ms: int, callback: object) -> None:
        timer = (self.now_ms + delay_ms, next(self._timer_numbers), callback)
        heapq.heappush(self._timers, timer)

    def _handle(self, event: ev.Event) -> None:
        self.scheduler.handle(event, self.now_ms)

    def _save(self) -> None:
        batch, saves = self.scheduler.take_saves()
        if not saves:
            return
        for item in saves:
            assert isinstance(item, ev.SaveProgress)
            self.book.apply(item.progress)
            self._record_end(item.progress)
        self._schedule(CALL_LATENCY_MS, lambda: self._handle(ev.ProgressSaved(batch)))

    def _record_end(self, progress: object) -> None:
        job_id = getattr(progress, "job_id", "")
        if job_id not in self._unfinished:
            return
        if self.book.jobs[job_id].state is not JobState.COMPLETED:
            return
        job, at_ms = self._unfinished.pop(job_id)
        objective_ms = (
            OBJECTIVE_FACTOR * sum(max(times) for times in job.run_ms) + ALLOWANCE_MS
        )
        late_ms = self.now_ms - at_ms - objective_ms
        self.results.append(JobResult(job.queue, job.at_ms, _work(job), late_ms))

    # Orders

    def _execute(self, effect: ev.Effect) -> None:
        match effect:
            case ev.StartRun():
                self._schedule(CALL_LATENCY_MS, lambda: self._start_run(effect))
            case ev.MoveWorker():
                self._schedule(CALL_LATENCY_MS, lambda: self._move(effect))
            case ev.ListWorkers():
                self._schedule(CALL_LATENCY_MS, self._list_workers)
            case ev.StopRun():
                raise AssertionError("this benchmark expects no stopped runs")

    def _start_run(self, order: ev.StartRun) -> None:
        machine = self._by_minion(order.minion_id)
        if machine is None:
            return
        job_id, _, step, index = order.task.split(".")
        self.starts += 1
        run_ms = self._run_ms.get(job_id)
        if run_ms:
            length_ms = run_ms[int(step)][int(index)]
            self._schedule(length_ms, lambda: self._end_run(machine, order))
        machine.running[(order.task, order.number)] = self.now_ms
        self._handle(
            ev.OrderAnswered(
                order.minion_id, order.task, order.number, "start", ev.Outcome.OK
            )
        )

    def _end_run(self, machine: _Machine, order: ev.StartRun) -> None:
        if machine.worker.minion_id != order.minion_id:
            return
        machine.running.pop((order.task, order.number))
        machine.sequence += 1
        end = ev.EndReport(
            machine.sequence, order.task, order.number, ev.EndKind.DONE, ""
        )
        self._poll(machine, (end,))

    def _poll(self, machine: _Machine, ended: tuple[ev.EndReport, ...] = ()) -> None:
        running = []
        for (task, number), start_ms in machine.running.items():
            long_running = not self._run_ms[task.partition(".")[0]]
            percent = (
                100 if long_running else (self.now_ms - start_ms) // POLL_INTERVAL_MS
            )
            running.append(ev.RunReport(task, number, "", percent, 0))
        self._handle(
            ev.PollAnswered(
                machine.worker.minion_id,
                self.now_ms - CALL_LATENCY_MS,
                self.now_ms,
                tuple(running),
                ended,
                lists_all_ends=True,
            )
        )

    def _move(self, order: ev.MoveWorker) -> None:
        machine = self._machines[order.worker_id]
        self.moves += 1
        machine.worker = replace(
            machine.worker, pool=order.pool, phase=WorkerPhase.MOVING, minion_id=""
        )
        machine.running.clear()
        answer = ev.CloudOrderAnswered(order.worker_id, ev.Outcome.OK, "", order.pool)
        self._handle(answer)
        self._schedule(MOVE_MS, lambda: self._arrive(machine))

    def _arrive(self, machine: _Machine) -> None:
        minion_id = f"i-{next(self._minion_numbers)}"
        machine.worker = replace(
            machine.worker, phase=WorkerPhase.UP, minion_id=minion_id
        )
        machine.sequence = 0
        if machine.worker.pool != SPARE:
            self._schedule(JOIN_MS, lambda: self._join(machine))

    def _join(self, machine: _Machine) -> None:
        worker = machine.worker
        info = MinionInfo(
            worker.minion_id,
            "",
            worker.pool,
            worker.zone,
            MINION_CAPACITY,
            worker.labels,
        )
        self._handle(ev.MinionListed(info))
        self._poll(machine)

    def _list_workers(self) -> None:
        workers = tuple(machine.worker for machine in self._machines.values())
        self._handle(ev.WorkersListed(self.now_ms - CALL_LATENCY_MS, workers))

    # Set-up

    def _add_worker(self, number: int, pool: str) -> None:
        labels = ("a", f"r{number // WORKERS_PER_RACK}")
        minion_id = f"i-{next(self._minion_numbers)}"
        zone = f"z{number % ZONES}"
        worker = Worker(
            f"w{number}",
            pool,
            WorkerPhase.UP,
            zone,
            MINION_CAPACITY,
            labels,
            minion_id,
        )
        machine = self._machines[worker.worker_id] = _Machine(worker)
        if pool != SPARE:
            self._join(machine)

    def _long_running_submission(self, queue: str) -> Callable[[], object]:
        spec = StepSpec(
            8, Resources(4_800, 25_000), 0, max_per_minion=1, long_running=True
        )
        return lambda: self._submit(queue, JobSpec("x", (spec,)), ())

    def _submit(
        self, queue: str, spec: JobSpec, run_ms: tuple[tuple[int, ...], ...]
    ) -> str:
        job_id = f"{next(self._job_numbers):016x}"
        self._run_ms[job_id] = run_ms
        self.book.apply(JobAccepted(job_id, queue, spec))
        self._handle(ev.JobArrived(job_id))
        return job_id

    def _by_minion(self, minion_id: str) -> _Machine | None:
        for machine in self._machines.values():
            if machine.worker.minion_id == minion_id:
                return machine
        return None


def _work(job: JobArrival) -> int:
    """Return the work of a job in core-milliseconds."""
    work = 0
    for step, times in zip(job.spec.steps, job.run_ms, strict=True):
        work += step.need.cpu_milli * sum(times) // 1_000
    return work
