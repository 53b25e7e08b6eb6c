"""Places suspects, which are tasks whose minions crashed, apart from other tasks.

A crash ends everything on the minion, so a suspect starts beside as few other tasks as
possible. After several crashes it starts on a minion without other work (a trial): if
that minion crashes as well, the task is the cause.
"""

from __future__ import annotations

from collections import defaultdict

from courselead.core.scheduler import const, losses
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Suspect, Unit


class Isolation:
    """The running suspects, for one round of placement.

    `Isolation.create` returns None while there are no suspects and no risky queues, so
    that placement has no extra cost.
    """

    def __init__(self, schedule: Schedule) -> None:
        """Collect the running suspects and reserve minions for waiting ones."""
        self._schedule = schedule
        # Minions with a suspect, minions with a trial, and the jobs on trial by pool.
        self._minions_with_suspects: set[str] = set()
        self._trial_minions: set[str] = set()
        self._on_trial: dict[str, set[str]] = defaultdict(set)
        self._weights: dict[str, int] = {}
        # Per worker, the jobs on each minion that it has lost.
        self._lost_on_worker: dict[str, list[frozenset[str]]] = defaultdict(list)
        self._lost_on_any_worker = [lost.job_ids for lost in schedule.lost_incarnations]
        for lost in schedule.lost_incarnations:
            self._lost_on_worker[lost.place].append(lost.job_ids)
        for suspect in schedule.suspects.values():
            for run in suspect.unit.runs:
                self._add_suspect_run(suspect.unit, run.minion_id, run.started_ms)
        self._max_trials: dict[str, int] = {}
        self._reserve_minions()

    @classmethod
    def create(cls, schedule: Schedule) -> Isolation | None:
        """Return the isolation state, None if there are no suspects or risky queues."""
        if not schedule.suspects and not schedule.risky_queues:
            return None
        return cls(schedule)

    def _reserve_minions(self) -> None:
        """Reserve minions for the suspects that wait for one without other work.

        In a busy pool no minion would ever become idle otherwise.
        """
        waiting: dict[str, set[str]] = defaultdict(set)
        for suspect in self._schedule.suspects.values():
            unit = suspect.unit
            if suspect.tried_ms and not unit.runs and not unit.job.state.final:
                waiting[unit.job.pool].add(unit.job.job_id)
        for pool, job_ids in waiting.items():
            free = self._max_trials_of(pool) - len(self._on_trial[pool])
            wanted = min(len(job_ids), free)
            minions = [
                item
                for item in self._schedule.minions.values()
                if item.info.pool == pool and item.listed and not item.info.draining
                if item.info.zone not in self._schedule.evacuated_zones
                if item.minion_id not in self._trial_minions
                if not any(run.unit.is_costly for run in item.runs.values())
            ]
            minions.sort(key=lambda item: (len(item.runs), item.minion_id))
            for minion in minions[: max(0, wanted)]:
                self._trial_minions.add(minion.minion_id)

    def record_start(self, unit: Unit, minion_id: str) -> None:
        """Take a start of this round into account."""
        if unit.crashes:
            self._add_suspect_run(unit, minion_id, self._schedule.now_ms)

    def _weight(self, unit: Unit) -> int:
        """Return how many crashes are evidence against a unit, cached for a round."""
        if not unit.crashes:
            return 0
        weight = self._weights.get(unit.name)
        if weight is None:
            weight = self._weights[unit.name] = unit.evidence_count
        return weight

    def _add_suspect_run(self, unit: Unit, minion_id: str, started_ms: int) -> None:
        weight = self._weight(unit)
        if not weight:
            return
        self._minions_with_suspects.add(minion_id)
        age_ms = self._schedule.now_ms - started_ms
        # The trial of a long-running task lasts until the task is cleared, so that no
        # task of another job can crash its minion in the meantime.
        long_running = unit.spec.long_running
        trial_ms = const.OUTLIVED_MAX_MS if long_running else const.TRIAL_MS
        if weight >= const.TRIAL_CRASHES and age_ms < trial_ms:
            self._trial_minions.add(minion_id)
            pool = unit.job.pool
            self._on_trial[pool].add(unit.job.job_id)

    def may_start(self, unit: Unit) -> bool:
        """Return whether a unit may start now; limits the number of parallel trials.

        After three crashes, further starts wait until no minion has been lost for a
        while under other jobs. Causes of many losses are usually temporary, and a task
        that has crashed three times is late anyway.
        """
        placement_crash_count = unit.placement_crash_count
        if placement_crash_count < const.TRIAL_CRASHES:
            return True
        schedule = self._schedule
        suspect = schedule.suspects.setdefault(unit.name, Suspect(unit))
        age_ms = schedule.now_ms - suspect.at_ms
        has_few_left = placement_crash_count >= const.CALM_CRASHES
        is_service = unit.spec.long_running
        calm_wait_ms = const.SERVICE_CALM_WAIT_MS if is_service else const.CALM_WAIT_MS
        may_wait = has_few_left and age_ms < calm_wait_ms
        if may_wait and self._since_unrelated_loss_ms(unit) < const.CALM_MS:
            self._log_wait(suspect, "minions are being lost")
            return False
        needs_trial = self._weight(unit) >= const.TRIAL_CRASHES
        if age_ms < const.CRASH_SETTLE_MS and (needs_trial or has_few_left):
            return False
        if not needs_trial:
            return True
        suspect.tried_ms = suspect.tried_ms or schedule.now_ms
        if self._has_reached_max_wait(suspect):
            return True
        pool = unit.job.pool
        others = self._on_trial[pool] - {unit.job.job_id}
        if len(others) < self._max_trials_of(pool):
            return True
        self._log_wait(suspect, "other suspects are on trial")
        return False

    def _waited_ms(self, suspect: Suspect) -> int:
        """Return the time since a suspect's newest crash.

        If that was under an earlier owner, it counts from the takeover for a
        long-running task, and for a finite one from when it could first start again.
        """
        schedule = self._schedule
        since_ms = suspect.at_ms or schedule.claimed_ms
        if not suspect.at_ms and not suspect.unit.spec.long_running:
            since_ms = suspect.tried_ms or schedule.now_ms
        return schedule.now_ms - since_ms

    def _log_wait(self, suspect: Suspect, reason: str) -> None:
        """Log what a suspect waits for, once for each reason."""
        if reason in suspect.logged_waits:
            return
        suspect.logged_waits.add(reason)
        unit = suspect.unit
        self._schedule.log_event(
            "suspect_waits",
            job_id=unit.job.job_id,
            task=unit.name,
            crashes=unit.placement_crash_count,
            reason=reason,
            waited_ms=self._waited_ms(suspect),
        )

    def _max_trials_of(self, pool: str) -> int:
        """Return how many jobs of a pool may have a trial at the same time."""
        limit = self._max_trials.get(pool)
        if limit is None:
            evacuated_zones = self._schedule.evacuated_zones
            count = sum(
                item.info.pool == pool and item.info.zone not in evacuated_zones
                for item in self._schedule.minions.values()
            )
            limit = self._max_trials[pool] = max(1, count // const.TRIAL_SHARE_DIVISOR)
        return limit

    def _since_unrelated_loss_ms(self, unit: Unit) -> int:
        """Return the time since the last loss of a minion without the unit's job."""
        for lost in reversed(self._schedule.lost_incarnations):
            if unit.job.job_id not in lost.job_ids:
                return self._schedule.now_ms - lost.at_ms
        return const.LOST_INCARNATIONS_MS

    def _has_reached_max_wait(self, suspect: Suspect) -> bool:
        """Return whether a suspect has reached its maximum wait, and starts anywhere.

        The wait for calm and the wait for a minion without other work share one limit
        from the newest crash on, so that they do not add up.
        """
        return self._waited_ms(suspect) >= max_wait_ms(suspect.unit)

    def allowed_minions(self, unit: Unit, minions: list[Minion]) -> list[Minion]:
        """Return the minions on which a unit may start."""
        weight = self._weight(unit)
        if weight >= const.TRIAL_CRASHES:
            if self._has_reached_max_wait(self._schedule.suspects[unit.name]):
                return minions
            empty = [item for item in minions if not _units_of_other_jobs(unit, item)]
            if not empty:
                suspect = self._schedule.suspects[unit.name]
                self._log_wait(suspect, "no minion is without tasks of other jobs")
            return empty
        if not self._trial_minions:
            return minions
        return [item for item in minions if item.minion_id not in self._trial_minions]

    def penalty(self, unit: Unit, minion: Minion) -> int:
        """Return the penalty for starting a unit on a minion; 0 is best."""
        if not self._weight(unit):
            return self._score_of_unit_without_crashes(unit, minion)
        total = 0
        for other in _units_of_other_jobs(unit, minion):
            total += 1
            if other.is_costly:
                total += const.COSTLY_NEIGHBOUR_SCORE
            if other.crash_count:
                total += const.SUSPECT_NEIGHBOUR_SCORE
        lost_on_worker = self._lost_on_worker.get(
            minion.worker_id or minion.info.address, []
        )
        own = frozenset((unit.job.job_id,))
        unsteady = losses.is_unsteady(lost_on_worker, self._lost_on_any_worker, own)
        return total + const.COSTLY_NEIGHBOUR_SCORE * unsteady

    def _score_of_unit_without_crashes(self, unit: Unit, minion: Minion) -> int:
        """Return the penalty for a unit without incriminating crashes.

        Many jobs of one queue may crash their minions, so recent starts of such a queue
        are kept apart from long-running tasks and gangs.
        """
        suspect_penalty = int(minion.minion_id in self._minions_with_suspects)
        if unit.is_costly:
            return (
                suspect_penalty
                + const.COSTLY_NEIGHBOUR_SCORE * self._has_recent_risky_start(minion)
            )
        if unit.job.queue not in self._schedule.risky_queues:
            return suspect_penalty
        return suspect_penalty + const.COSTLY_NEIGHBOUR_SCORE * sum(
            other.is_costly for other in _units_of_other_jobs(unit, minion)
        )

    def _has_recent_risky_start(self, minion: Minion) -> bool:
        """Return whether a minion has a recent start of a risky queue."""
        schedule = self._schedule
        return any(
            run.unit.job.queue in schedule.risky_queues
            and run.is_fresh(schedule.now_ms)
            for run in minion.runs.values()
        )


def max_wait_ms(unit: Unit) -> int:
    """Return the time from its newest crash in which a suspect is started if it fits.

    A finite task with few starts left may wait longest: each start beside others that
    crash their minions costs it one of them.
    """
    if unit.placement_crash_count < const.CALM_CRASHES:
        return const.CRASH_SETTLE_MS + const.ISOLATION_WAIT_MS
    if unit.spec.long_running:
        return const.SERVICE_SUSPECT_WAIT_MS
    return const.SUSPECT_WAIT_MS


def _units_of_other_jobs(unit: Unit, minion: Minion) -> list[Unit]:
    """Return the units of other jobs with a run on a minion, one entry per run."""
    return [run.unit for run in minion.runs.values() if run.unit.job is not unit.job]
