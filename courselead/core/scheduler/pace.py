"""Pace of tasks that fill, so that tasks that serve keep their target tails."""

from __future__ import annotations

from courselead.core.scheduler.events import PaceRun
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, RunPhase

SLOW_RATIO = 0.85
"""Tail over target from which fillers are slowed: tails are half-second figures."""

FULL_RATIO = 0.6
"""Tail over target below which fillers may speed up again."""

SLOW_FACTOR = 0.5
"""Share that is kept at each slow-down: two looks take it to a quarter."""

SPEED_UP_PERCENT = 10
"""Added at each look below `FULL_RATIO`."""

LOWEST_PERCENT = 5
"""Below this a filler is set to rest."""


def adjust(schedule: Schedule, minion: Minion) -> None:
    """Set the pace of the fillers by the worst tail beside them."""
    fillers: list[Run] = []
    worst = 0.0
    for run in minion.runs.values():
        if run.phase is not RunPhase.RUNNING:
            continue
        spec = run.unit.spec
        if spec.fills:
            fillers.append(run)
        elif spec.target_tail_ms > 0:
            worst = max(worst, run.figure / spec.target_tail_ms)
    for run in fillers:
        percent = _next_percent(run.pace, worst)
        if percent == run.pace:
            continue
        run.pace = percent
        born_ms = minion.info.born_ms
        schedule.emit(PaceRun(run.minion_id, run.task, run.number, percent, born_ms))


def _next_percent(percent: int, worst: float) -> int:
    if worst >= 1.0:
        return 0
    if worst >= SLOW_RATIO:
        slower = int(percent * SLOW_FACTOR)
        return slower if slower >= LOWEST_PERCENT else 0
    if worst < FULL_RATIO:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
