"""The check of LOST: accepted work that waits though there is room for it."""

from __future__ import annotations

from dataclasses import dataclass

from standin.ledger import Ledger
from standin.minion import Minion, Needs

IDLE_S = 3.0
"""For so long a job has nothing running while a task's turn has come."""

ROOM_FACTOR = 2
"""There is capacity for the job this many times over."""

IN_USE_SHARE = 0.5
"""Less than this share of the service's capacity is in use."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """An accepted job of one step, so that the turn of all its tasks has come.

    Attributes:
        tasks: How many tasks it has.
        label: The label that a minion must have for it, "" if any may run it.
    """

    job_id: str
    tasks: int
    label: str = ""


def lost_jobs(
    jobs: list[Waiting],
    needs: Needs,
    minions: list[Minion],
    ledger: Ledger,
    asked_s: float,
    answered: dict[str, str],
) -> list[str]:
    """Return how the jobs break LOST that are asked for `finish_s` after the traffic.

    A job breaks it if it gets no answer or isn't known, or if in the 3 s before the
    question none of its tasks ran, some are not done, the minions that may run them
    had room for these twice over, and less than half of the service was in use. What
    ran at any time of the 3 s counts as in use for all of them.
    """
    runs = ledger.running(asked_s - IDLE_S, asked_s)
    used = {minion.minion_id: 0 for minion in minions}
    for _, minion_id in runs:
        used[minion_id] += needs.cpu
    in_use = sum(used.values()) / sum(minion.cpu for minion in minions)
    done = {task for (task, _), end in ledger.ends.items() if end[3] == "done"}
    found = []
    for job in jobs:
        if not answered.get(job.job_id):
            found.append(f"{job.job_id}: not known, or no answer")
            continue
        left = job.tasks - sum(task.startswith(job.job_id) for task in done)
        is_running = any(task.startswith(job.job_id) for task, _ in runs)
        room = sum(
            (minion.cpu - used[minion.minion_id]) // needs.cpu
            for minion in minions
            if not job.label or job.label in minion.labels
        )
        if not left or is_running or in_use >= IN_USE_SHARE:
            continue
        if room >= ROOM_FACTOR * left:
            found.append(
                f"{job.job_id}: {left} of {job.tasks} tasks left, none ran for "
                f"{IDLE_S:.0f} s, room for {room}, {in_use:.0%} of the service in use, "
                f"shown as {answered[job.job_id]}"
            )
    return found
