"""Throttling of filler tasks, so that serving tasks keep their target tail latency."""

from __future__ import annotations

from courselead.core.scheduler.events import PaceRun
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, RunPhase

SLOW_RATIO = 0.85
"""Ratio of tail latency to target from which fillers are slowed down.

The margin is needed as tail latencies are measured over half a second.
"""

SPEED_UP_RATIO = 0.6
"""Ratio of tail latency to target below which fillers may speed up again."""

SLOW_FACTOR = 0.5
"""Factor on the pace at each slow-down: two polls reduce it to a quarter."""

SPEED_UP_PERCENT = 10
"""Percentage points added to the pace at each poll below `SPEED_UP_RATIO`."""

MIN_PERCENT = 5
"""Minimum pace; below it a filler is paused."""


def adjust(schedule: Schedule, minion: Minion) -> None:
    """Set the pace of a minion's fillers by the worst tail latency on the minion."""
    fillers: list[Run] = []
    worst_ratio = 0.0
    for run in minion.runs.values():
        if run.phase is not RunPhase.RUNNING:
            continue
        spec = run.unit.spec
        if spec.fills:
            fillers.append(run)
        elif spec.target_tail_ms > 0:
            worst_ratio = max(worst_ratio, run.figure / spec.target_tail_ms)
    for run in fillers:
        percent = _next_percent(run.pace, worst_ratio)
        if percent == run.pace:
            continue
        run.pace = percent
        born_ms = minion.info.born_ms
        schedule.emit(PaceRun(run.minion_id, run.task, run.number, percent, born_ms))


def _next_percent(percent: int, worst_ratio: float) -> int:
    if worst_ratio >= 1.0:
        return 0
    if worst_ratio >= SLOW_RATIO:
        slower = int(percent * SLOW_FACTOR)
        return slower if slower >= MIN_PERCENT else 0
    if worst_ratio < SPEED_UP_RATIO:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
