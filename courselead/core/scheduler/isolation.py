"""Where a task may start under which lives have crashed, and what runs beside it.

A crash takes all that runs on its minion with it, so a suspect starts beside as little
of others as there is room for. One under which several lives have crashed starts where
nothing else runs: if that minion crashes, too, it is the task's fault.
"""

from __future__ import annotations

from collections import defaultdict

from courselead.core.scheduler import const, losses
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Suspect, Unit


class Isolation:
    """Suspects that run, for one round of placement.

    `Isolation.of` returns one that costs nothing while there are none.
    """

    def __init__(self, schedule: Schedule) -> None:
        """Find what runs of suspects."""
        self._schedule = schedule
        # Minions with a suspect, those where one is tried alone, and its job by pool.
        self._near_suspects: set[str] = set()
        self._trial_minions: set[str] = set()
        self._on_trial: dict[str, set[str]] = defaultdict(set)
        self._weights: dict[str, int] = {}
        # The jobs on the lives that each worker has lost.
        self._lost_there: dict[str, list[frozenset[str]]] = defaultdict(list)
        self._lost_anywhere = [lost.job_ids for lost in schedule.lost_lives]
        for lost in schedule.lost_lives:
            self._lost_there[lost.place].append(lost.job_ids)
        for suspect in schedule.suspects.values():
            for run in suspect.unit.runs:
                self._add(suspect.unit, run.minion_id, run.started_ms)
        self._most_trials: dict[str, int] = {}
        self._reserve()

    @classmethod
    def of(cls, schedule: Schedule) -> Isolation | None:
        """Return what is known of suspects, nothing if there are none."""
        if not schedule.suspects and not schedule.risky_queues:
            return None
        return cls(schedule)

    def _reserve(self) -> None:
        """Keep others off minions for the suspects that wait for one of their own.

        In a busy pool none is ever without work otherwise.
        """
        waiting: dict[str, set[str]] = defaultdict(set)
        for suspect in self._schedule.suspects.values():
            unit = suspect.unit
            if suspect.tried_ms and not unit.runs and not unit.job.state.final:
                waiting[self._schedule.pool_of(unit.job)].add(unit.job.job_id)
        for pool, job_ids in waiting.items():
            free = self._trials_of(pool) - len(self._on_trial[pool])
            wanted = min(len(job_ids), free)
            minions = [
                item
                for item in self._schedule.minions.values()
                if item.info.pool == pool and item.listed and not item.info.draining
                if item.minion_id not in self._trial_minions
                if not any(run.unit.is_dear for run in item.runs.values())
            ]
            minions.sort(key=lambda item: (len(item.runs), item.minion_id))
            for minion in minions[: max(0, wanted)]:
                self._trial_minions.add(minion.minion_id)

    def started(self, unit: Unit, minion_id: str) -> None:
        """Reckon with a start of this round."""
        if unit.crashes:
            self._add(unit, minion_id, self._schedule.now_ms)

    def _weight(self, unit: Unit) -> int:
        """Return how many crashes speak against a unit, reckoned once a round."""
        if not unit.crashes:
            return 0
        weight = self._weights.get(unit.name)
        if weight is None:
            weight = self._weights[unit.name] = unit.weight
        return weight

    def _add(self, unit: Unit, minion_id: str, started_ms: int) -> None:
        weight = self._weight(unit)
        if not weight:
            return
        self._near_suspects.add(minion_id)
        age_ms = self._schedule.now_ms - started_ms
        # A lasting task is tried until it is cleared: none of others ends it meanwhile.
        lasting = unit.spec.long_running
        trial_ms = const.OUTLIVED_MOST_MS if lasting else const.TRIAL_MS
        if weight >= const.TRIAL_CRASHES and age_ms < trial_ms:
            self._trial_minions.add(minion_id)
            pool = self._schedule.pool_of(unit.job)
            self._on_trial[pool].add(unit.job.job_id)

    def may_start(self, unit: Unit) -> bool:
        """Return whether a unit's turn has come: so many suspects are tried at once.

        After three crashes the remaining starts wait until no minion is lost to others
        for a while: what loses many passes, and a task that has lost three is late.
        """
        caution = unit.caution
        if caution < const.TRIAL_CRASHES:
            return True
        schedule = self._schedule
        suspect = schedule.suspects.setdefault(unit.name, Suspect(unit))
        age_ms = schedule.now_ms - suspect.at_ms
        has_few_left = caution >= const.CALM_CRASHES
        waits = has_few_left and age_ms < const.CALM_WAIT_MS
        if waits and self._lost_without_ms(unit) < const.CALM_MS:
            return False
        is_tried = self._weight(unit) >= const.TRIAL_CRASHES
        if age_ms < const.CRASH_SETTLE_MS and (is_tried or has_few_left):
            return False
        if not is_tried:
            return True
        suspect.tried_ms = suspect.tried_ms or schedule.now_ms
        if self._has_waited(suspect):
            return True
        pool = schedule.pool_of(unit.job)
        others = self._on_trial[pool] - {unit.job.job_id}
        return len(others) < self._trials_of(pool)

    def _trials_of(self, pool: str) -> int:
        """Return how many jobs of a pool may have a minion of their own at once."""
        most = self._most_trials.get(pool)
        if most is None:
            minions = self._schedule.minions.values()
            count = sum(item.info.pool == pool for item in minions)
            most = self._most_trials[pool] = max(1, count // const.TRIAL_PART)
        return most

    def _lost_without_ms(self, unit: Unit) -> int:
        """Return how long ago the last life was lost without a unit's job on it."""
        for lost in reversed(self._schedule.lost_lives):
            if unit.job.job_id not in lost.job_ids:
                return self._schedule.now_ms - lost.at_ms
        return const.LOST_LIVES_MS

    def _has_waited(self, suspect: Suspect) -> bool:
        """Return whether a suspect has waited long enough for a minion of its own."""
        if not suspect.tried_ms:
            return False
        waited_ms = self._schedule.now_ms - suspect.tried_ms
        if suspect.unit.caution >= const.CALM_CRASHES:
            return waited_ms >= const.CALM_WAIT_MS
        return waited_ms >= const.ISOLATION_WAIT_MS

    def places(self, unit: Unit, minions: list[Minion]) -> list[Minion]:
        """Return the minions on which a unit may start."""
        weight = self._weight(unit)
        if weight >= const.TRIAL_CRASHES:
            if self._has_waited(self._schedule.suspects[unit.name]):
                return minions
            return [item for item in minions if not _of_others(unit, item)]
        if not self._trial_minions:
            return minions
        return [item for item in minions if item.minion_id not in self._trial_minions]

    def score(self, unit: Unit, minion: Minion) -> int:
        """Return how little a unit should start on a minion: 0 is best."""
        if not self._weight(unit):
            return self._score_of_unsuspected(unit, minion)
        total = 0
        for other in _of_others(unit, minion):
            total += 1
            if other.is_dear:
                total += const.DEAR_NEIGHBOURS
            if other.crash_count:
                total += const.SUSPECT_NEIGHBOURS
        lost_there = self._lost_there.get(minion.worker_id or minion.info.address, [])
        own = frozenset((unit.job.job_id,))
        unsteady = losses.is_unsteady(lost_there, self._lost_anywhere, own)
        return total + const.DEAR_NEIGHBOURS * unsteady

    def _score_of_unsuspected(self, unit: Unit, minion: Minion) -> int:
        """Return the same for a unit under which nothing has crashed.

        Many jobs of a queue may be such that crash their minions: fresh starts of it
        are kept apart from what is dear.
        """
        near = int(minion.minion_id in self._near_suspects)
        if unit.is_dear:
            return near + const.DEAR_NEIGHBOURS * self._has_risky_start(minion)
        if unit.job.queue not in self._schedule.risky_queues:
            return near
        return near + const.DEAR_NEIGHBOURS * sum(
            other.is_dear for other in _of_others(unit, minion)
        )

    def _has_risky_start(self, minion: Minion) -> bool:
        """Return whether a queue whose tasks crash minions has a fresh start there."""
        schedule = self._schedule
        return any(
            run.unit.job.queue in schedule.risky_queues
            and run.is_fresh(schedule.now_ms)
            for run in minion.runs.values()
        )


def _of_others(unit: Unit, minion: Minion) -> list[Unit]:
    """Return the units of other jobs that have a run on a minion."""
    return [run.unit for run in minion.runs.values() if run.unit.job is not unit.job]
