"""Quarantine of workers that fail jobs which succeed on other workers."""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import Effect, LogEvent, Propose
from courselead.core.fleet import budgets, queries
from courselead.core.fleet.records import WorkerQuarantined
from courselead.core.fleet.state import WorkerPhase, WorkerState
from courselead.core.jobs import const, drivers
from courselead.core.jobs.evidence import Evidence, WorkerEvidence
from courselead.core.jobs.index import OPEN_PHASES
from courselead.core.jobs.state import JobsState
from courselead.core.ranking import takeover_delay_ms

Step = tuple[JobsState, tuple[Effect, ...]]


def propose_due(state: JobsState, ctx: Context) -> Step:
    """Propose the due quarantines of faulty workers, within the pools' budgets."""
    if not ctx.log_up or not ctx.member:
        return state, ()
    effects: list[Effect] = []
    next_due_ms = state.quarantine_due_ms
    proposed: dict[str, int] = {}
    for name, worker_evidence in state.evidence.workers.items():
        worker = ctx.fleet.workers.get(name)
        reason = _reason(state.evidence, ctx, worker, worker_evidence)
        if not reason:
            if name in next_due_ms:
                next_due_ms = next_due_ms.delete(name)
            continue
        due_ms = next_due_ms.get(name)
        if due_ms is None:
            due_ms = ctx.now_ms + _delay_ms(state, ctx, name)
            next_due_ms = next_due_ms.set(name, due_ms)
        if ctx.now_ms < due_ms:
            continue
        next_due_ms = next_due_ms.set(name, ctx.now_ms + const.QUARANTINE_RETRY_MS)
        spare = budgets.spare(ctx.fleet, worker.pool) - proposed.get(worker.pool, 0)
        if spare < 1:
            effects.append(_held_by_budget(worker, reason))
            continue
        proposed[worker.pool] = proposed.get(worker.pool, 0) + 1
        effects.append(Propose(WorkerQuarantined(name, worker.epoch, reason)))
    return replace(state, quarantine_due_ms=next_due_ms), tuple(effects)


def _reason(
    evidence: Evidence,
    ctx: Context,
    worker: WorkerState | None,
    worker_evidence: WorkerEvidence,
) -> str:
    """Return why a worker should be quarantined, "" if it should not."""
    if worker is None or worker.phase is not WorkerPhase.SERVING:
        return ""
    if worker.epoch != worker_evidence.epoch:
        return ""
    blamed = worker_evidence.count_blamed()
    succeeded_elsewhere = worker_evidence.count_succeeded_elsewhere()
    if blamed < const.QUARANTINE_FAILURES:
        return ""
    if succeeded_elsewhere >= const.QUARANTINE_SUCCEEDED_ELSEWHERE:
        return (
            f"{blamed} jobs in a row failed on it, {succeeded_elsewhere} of them then "
            "succeeded elsewhere"
        )
    if blamed >= const.RATE_MIN_FAILURES and _fails_more_than_peers(
        evidence, ctx, worker, worker_evidence
    ):
        return f"{blamed} jobs in a row failed on it, and few fail elsewhere"
    return ""


def _fails_more_than_peers(
    evidence: Evidence,
    ctx: Context,
    worker: WorkerState,
    worker_evidence: WorkerEvidence,
) -> bool:
    """Return whether a worker fails while the pool's other workers do not.

    The result is false while one of the failed jobs is still open, since a
    retry on another worker is better evidence.
    """
    for failure in worker_evidence.failures:
        job = ctx.fleet.jobs.get(failure.job_id)
        if job is not None and job.phase in OPEN_PHASES:
            return False
    done = 0.0
    failed = 0.0
    for name in queries.serving_workers(ctx.fleet, worker.pool):
        if name == worker.worker:
            continue
        other = evidence.for_worker(name, ctx.fleet.workers[name].epoch)
        done += other.done
        failed += other.failed
    ended = done + failed
    return (
        ended >= const.RATE_MIN_PEER_ENDS
        and failed <= const.RATE_MAX_PEER_FAILED * ended
    )


def _delay_ms(state: JobsState, ctx: Context, worker: str) -> int:
    """Return how long this host waits for another one to propose."""
    names = drivers.hosts_of_zone(state, drivers.ALL_ZONES)
    return takeover_delay_ms(
        f"quarantine:{worker}", ctx.me.entry_host, names, ctx.me.seed
    )


def _held_by_budget(worker: WorkerState, reason: str) -> LogEvent:
    """Return the log event for a quarantine that the budget does not allow."""
    fields = (("worker", worker.worker), ("pool", worker.pool), ("reason", reason))
    return LogEvent("warning", "quarantine_held_by_budget", fields)
