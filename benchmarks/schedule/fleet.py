"""A scheduler whose minions carry out all orders at once, without any I/O."""

from __future__ import annotations

import time
from collections import defaultdict

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.models import (
    Bounds,
    FleetConfig,
    JobSpec,
    MinionInfo,
    Pool,
    Queue,
    Resources,
    StepSpec,
)
from courselead.core.scheduler.records import JobAccepted
from courselead.core.scheduler.scheduler import Scheduler

MINION_CAPACITY = Resources(32_000, 131_072)
TASKS = 6
STEPS = 2
RUN_MS = 700
NS_PER_US = 1_000


class Meter:
    """Processor time in nanoseconds and number of items, by kind of work."""

    def __init__(self) -> None:
        """Create an empty meter."""
        self.total_ns: dict[str, int] = defaultdict(int)
        self.counts: dict[str, int] = defaultdict(int)

    def add(self, kind: str, start_ns: int, count: int = 1) -> None:
        """Add the processor time since `start_ns`, spent on `count` items."""
        self.total_ns[kind] += time.process_time_ns() - start_ns
        self.counts[kind] += count

    def mean_us(self, kind: str) -> float:
        """Return the mean processor time of an item, in microseconds."""
        return self.total_ns[kind] / max(1, self.counts[kind]) / NS_PER_US


class Fleet:
    """Pools of minions under one scheduler."""

    def __init__(self, pools: int, minions: int) -> None:
        """Create `pools` pools of `minions` minions each."""
        names = [f"pool-{number}" for number in range(pools)]
        queues = {name: Queue(name, name, 0, 3, 1.6, 600) for name in names}
        self._queues = queues
        config = FleetConfig(1, queues, {name: Pool(name) for name in names})
        self.now_ms = 1_000
        self.meter = Meter()
        self.book = JobBook()
        self.scheduler = Scheduler(
            1, True, config, Bounds(), self.book, self.now_ms, self.now_ms
        )
        self._running: dict[str, dict[tuple[str, int], int]] = {}
        self._sequence: dict[str, int] = defaultdict(int)
        self._jobs = 0
        self.starts = 0
        for name in names:
            for number in range(minions):
                minion_id = f"{name}-{number}"
                self._running[minion_id] = {}
                info = MinionInfo(
                    minion_id, "", name, "z", MINION_CAPACITY, ("a", f"r{number}")
                )
                self._handle("list", ev.MinionListed(info))
                self._poll(minion_id)

    def submit(self, pool: str) -> None:
        """Submit a job to a pool."""
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        need = Resources(1_800, 5_100)
        steps = [
            StepSpec(TASKS, need, RUN_MS, tuple(range(number)))
            for number in range(STEPS)
        ]
        spec = JobSpec("x" * 150, tuple(steps))
        settings = self._queues[pool]
        self.book.apply(JobAccepted(job_id, pool, spec, settings=settings))
        self._handle("intake", ev.JobArrived(job_id))

    def pass_time(self, for_ms: int) -> None:
        """Advance virtual time in steps of ten milliseconds."""
        for _ in range(for_ms // 10):
            self.now_ms += 10
            if self.now_ms % 100 == 0:
                self._handle("tick", ev.Tick(self.now_ms))
            self._place()
            for minion_id, running in self._running.items():
                if any(end <= self.now_ms for end in running.values()):
                    self._poll(minion_id)
            self._save()

    def _place(self) -> None:
        start_ns = time.process_time_ns()
        self.scheduler.place(self.now_ms)
        effects = self.scheduler.take_effects()
        starts = [item for item in effects if isinstance(item, ev.StartRun)]
        self.meter.add("place", start_ns, len(starts))
        for order in starts:
            self.starts += 1
            running = self._running[order.minion_id]
            running[(order.task, order.number)] = self.now_ms + RUN_MS
            self._handle(
                "answer",
                ev.OrderAnswered(
                    order.minion_id, order.task, order.number, "start", ev.Outcome.OK
                ),
            )

    def _poll(self, minion_id: str) -> None:
        running = self._running[minion_id]
        ended = []
        for key, end_ms in list(running.items()):
            if end_ms > self.now_ms:
                continue
            del running[key]
            self._sequence[minion_id] += 1
            sequence = self._sequence[minion_id]
            ended.append(ev.EndReport(sequence, *key, ev.EndKind.DONE, ""))
        reports = tuple(ev.RunReport(*key, "", 50, 0) for key in running)
        self._handle(
            "look",
            ev.PollAnswered(
                minion_id, self.now_ms, self.now_ms, reports, tuple(ended), True
            ),
        )

    def _save(self) -> None:
        start_ns = time.process_time_ns()
        batch, saves = self.scheduler.take_saves()
        self.meter.add("save", start_ns, len(saves))
        for effect in saves:
            if isinstance(effect, ev.SaveProgress):
                self.book.apply(effect.progress)
        if saves:
            self._handle("saved", ev.ProgressSaved(batch))

    def _handle(self, kind: str, event: ev.Event) -> None:
        start_ns = time.process_time_ns()
        self.scheduler.handle(event, self.now_ms)
        self.meter.add(kind, start_ns)
