"""Long-running tasks of the simulated world: start-up, work, and their budgets."""

from __future__ import annotations

import random

from tests.core.scheduler.fake_minions import FakeMinion, FakeRun

NOTICE_MS = 4_500
"""Time without work after which a task counts as missing, whatever the cause."""


class FakeServices:
    """Tells which long-running tasks are at work, and checks stops of them.

    Attributes:
        startup_ms: Range of the time that a task takes to be ready.
    """

    def __init__(self, minions: list[FakeMinion], seed: int) -> None:
        """Keep the list of all minions, which the world extends."""
        self.startup_ms = (0, 0)
        self._minions = minions
        # Drawn apart, so that the other draws of a seed stay as they are.
        self._random = random.Random(seed)
        # When each task last worked, and the tasks that were stopped by an order and
        # have not been at work since, delayed orders included.
        self._ended_work_ms: dict[str, int] = {}
        self._stopped_by_order: set[str] = set()

    def ready_ms(self, minion: FakeMinion, now_ms: int) -> int | None:
        """Return when a task that starts up on a minion now will be ready."""
        if minion.stands_still:
            return None
        if self.startup_ms == (0, 0):
            return now_ms
        startup_ms = self._random.randint(*self.startup_ms)
        return now_ms + int(startup_ms * minion.startup_factor)

    def stand_still(self, minion: FakeMinion, now_ms: int) -> None:
        """Let no task on a minion become ready until it goes on."""
        minion.stands_still = True
        for run in minion.runs.values():
            if not run.is_at_work(now_ms):
                run.ready_ms = None

    def go_on(self, minion: FakeMinion, now_ms: int) -> None:
        """Let the tasks of a minion that stood still start up anew."""
        minion.stands_still = False
        for run in minion.runs.values():
            if run.ready_ms is None:
                run.ready_ms = self.ready_ms(minion, now_ms)

    def note_end(self, run: FakeRun, now_ms: int) -> None:
        """Note that a run ends, or is being stopped."""
        if run.is_at_work(now_ms):
            self._ended_work_ms[run.task] = now_ms

    def check_stop(
        self, run: FakeRun, now_ms: int, count: int, may_miss: int, delayed: bool
    ) -> None:
        """Check that a stop leaves enough tasks of a step of `count` working.

        A task that is not at work may be stopped, and so may any by an order that was
        delayed. Both then count as missing until they are at work again.
        """
        is_checked = run.is_at_work(now_ms) and not delayed
        missing = self._missing_beside(run.task, count, now_ms) if is_checked else []
        self._stopped_by_order.add(run.task)
        assert len(missing) < may_miss, f"AVAIL: {run.task} stopped, missing: {missing}"

    def _missing_beside(self, task: str, count: int, now_ms: int) -> list[str]:
        """Return the other tasks of a step that count as missing."""
        prefix = task.rpartition(".")[0]
        names = [f"{prefix}.{index}" for index in range(count)]
        return [
            name for name in names if name != task and self._is_missing(name, now_ms)
        ]

    def _is_missing(self, task: str, now_ms: int) -> bool:
        """Return whether a task was stopped by an order or is missing for long."""
        if self.is_at_work(task, now_ms):
            # Stopped earlier, it works again.
            self._stopped_by_order.discard(task)
            return False
        if task in self._stopped_by_order:
            return True
        return now_ms - self._ended_work_ms.get(task, 0) >= NOTICE_MS

    def is_at_work(self, task: str, now_ms: int) -> bool:
        """Return whether a run of a task works that is not being stopped."""
        return any(
            run.task == task and run.stop_at_ms is None and run.is_at_work(now_ms)
            for minion in self._minions
            for run in minion.runs.values()
        )
