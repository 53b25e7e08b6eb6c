"""Submissions and cancellations: proposing their records, answering callers."""

from dataclasses import replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.effects import (
    Effect,
    Problem,
    ProblemKind,
    Propose,
    ReplyAccepted,
    ReplyProblem,
    RunState,
)
from courselead.core.events import JobsCancelAsked, JobsOffered
from courselead.core.fleet import verdicts
from courselead.core.fleet.records import JobsCancelled, JobsSubmitted
from courselead.core.fleet.state import AppliedRecord, JobPhase
from courselead.core.jobs import admission, const
from courselead.core.jobs.index import OPEN_PHASES
from courselead.core.jobs.state import JobsState, PendingRequest

Step = tuple[JobsState, tuple[Effect, ...]]


def submit(state: JobsState, ctx: Context, event: JobsOffered) -> Step:
    """Check submitted jobs and propose their record."""
    problem = admission.check_submission(state, ctx, event)
    if problem is not None:
        return state, (ReplyProblem(event.request_id, problem),)
    request = PendingRequest(
        request_id=event.request_id,
        client_account=event.jobs[0].client_account,
        job_ids=tuple(spec.job_id for spec in event.jobs),
        specs=event.jobs,
        deadline_ms=event.deadline_ms,
    )
    if all(spec.job_id in ctx.fleet.jobs for spec in event.jobs):
        accepted = ReplyAccepted(event.request_id, ctx.fleet.offset, request.job_ids)
        return state, (accepted,)
    state = replace(
        state, pending_requests=state.pending_requests.set(event.request_id, request)
    )
    return state, (Propose(JobsSubmitted(event.jobs)),)


def cancel(state: JobsState, ctx: Context, event: JobsCancelAsked) -> Step:
    """Accept a cancellation; the next tick proposes one record per account."""
    found = []
    for job_id in event.job_ids:
        job = ctx.fleet.jobs.get(job_id)
        if job is None or job.spec.client_account != event.client_account:
            continue
        found.append(job_id)
    if not found:
        detail = "No such job of this account; check the job ids."
        problem = Problem(ProblemKind.NOT_FOUND, RunState.NOT_RUN, detail)
        return state, (ReplyProblem(event.request_id, problem),)
    if not ctx.log_up:
        return state, (ReplyProblem(event.request_id, admission.log_down_problem()),)
    is_open = any(ctx.fleet.jobs[job_id].phase in OPEN_PHASES for job_id in found)
    if not is_open:
        done = ReplyAccepted(event.request_id, ctx.fleet.offset, tuple(found))
        return state, (done,)
    request = PendingRequest(
        request_id=event.request_id,
        client_account=event.client_account,
        job_ids=tuple(found),
        specs=(),
        deadline_ms=event.deadline_ms,
        proposed=False,
    )
    return replace(
        state, pending_requests=state.pending_requests.set(event.request_id, request)
    ), ()


def propose_cancellations(state: JobsState, ctx: Context) -> Step:
    """Propose the collected cancellations, grouped by account."""
    if not ctx.log_up:
        return state, ()
    gathered: dict[str, dict[str, None]] = {}
    requests = state.pending_requests
    for request_id, request in state.pending_requests.items():
        if request.proposed:
            continue
        names = gathered.setdefault(request.client_account, {})
        names.update(dict.fromkeys(request.job_ids))
        requests = requests.set(request_id, replace(request, proposed=True))
    if not gathered:
        return state, ()
    effects: list[Effect] = []
    for account in sorted(gathered):
        job_ids = sorted(gathered[account])
        for first in range(0, len(job_ids), const.CANCELS_PER_RECORD):
            chunk = tuple(job_ids[first : first + const.CANCELS_PER_RECORD])
            effects.append(Propose(JobsCancelled(account, chunk)))
    return replace(state, pending_requests=requests), tuple(effects)


def answer_applied(state: JobsState, ctx: Context) -> Step:
    """Answer the callers of records that have just been applied."""
    if not state.pending_requests:
        return state, ()
    effects: list[Effect] = []
    requests = state.pending_requests
    for applied in ctx.applied:
        if applied.entry_host != ctx.me.entry_host:
            continue
        if applied.incarnation != ctx.me.incarnation:
            continue
        match applied.record:
            case JobsSubmitted():
                requests = _answer_submission(requests, ctx, applied, effects)
            case JobsCancelled():
                requests = _answer_cancellations(requests, ctx, applied, effects)
    return replace(state, pending_requests=requests), tuple(effects)


def answer_expired(state: JobsState, ctx: Context) -> Step:
    """Answer requests whose deadline passed before their verdict was known."""
    effects: list[Effect] = []
    requests = state.pending_requests
    for request_id, request in state.pending_requests.items():
        if ctx.now_ms < request.deadline_ms:
            continue
        requests = requests.delete(request_id)
        effects.append(ReplyProblem(request_id, _unknown_outcome(request)))
    return replace(state, pending_requests=requests), tuple(effects)


def _answer_submission(
    requests: Map[str, PendingRequest],
    ctx: Context,
    applied: AppliedRecord,
    effects: list[Effect],
) -> Map[str, PendingRequest]:
    """Answer the submission that an applied record came from."""
    for request_id, request in requests.items():
        if request.specs != applied.record.jobs:
            continue
        requests = requests.delete(request_id)
        reasons = [reason for reason in applied.verdict.items if reason]
        if applied.verdict.accepted and not reasons:
            reply = ReplyAccepted(request_id, applied.offset, request.job_ids)
            effects.append(reply)
            continue
        effects.append(
            ReplyProblem(request_id, _refused_submission(request, ctx, applied))
        )
    return requests


def _refused_submission(
    request: PendingRequest, ctx: Context, applied: AppliedRecord
) -> Problem:
    """Return the answer to a submission that was refused in part or as a whole."""
    reason = applied.verdict.reason
    refused_ids = []
    for job_id, refusal in zip(request.job_ids, applied.verdict.items, strict=False):
        if not refusal:
            continue
        reason = reason or refusal
        refused_ids.append(job_id)
    taken = [job_id for job_id in request.job_ids if job_id in ctx.fleet.jobs]
    named = ", ".join(refused_ids[:10])
    detail = f"{verdicts.message(reason)}."
    if named:
        detail = f"{detail} Jobs concerned: {named}."
    run = RunState.NOT_RUN
    if applied.verdict.accepted and taken:
        detail = f"{detail} The others were taken; submitting them again is safe."
        run = RunState.UNKNOWN
    retry_after_ms = 0
    if reason == verdicts.JOBS_LIMIT:
        retry_after_ms = const.ACCOUNT_FULL_RETRY_MS
    return Problem(ProblemKind.JOB_REFUSED, run, detail, retry_after_ms)


def _answer_cancellations(
    requests: Map[str, PendingRequest],
    ctx: Context,
    applied: AppliedRecord,
    effects: list[Effect],
) -> Map[str, PendingRequest]:
    """Answer the cancellations of which no job waits or runs any more."""
    record = applied.record
    named = frozenset(record.job_ids)
    for request_id, request in requests.items():
        if request.specs or not request.proposed:
            continue
        if request.client_account != record.client_account:
            continue
        if named.isdisjoint(request.job_ids) or not _is_cancelled(request, ctx):
            continue
        requests = requests.delete(request_id)
        effects.append(ReplyAccepted(request_id, applied.offset, request.job_ids))
    return requests


def _is_cancelled(request: PendingRequest, ctx: Context) -> bool:
    """Return whether no job of a cancellation is still waiting or placed."""
    for job_id in request.job_ids:
        job = ctx.fleet.jobs.get(job_id)
        if job and job.phase in (JobPhase.WAITING, JobPhase.PLACED):
            return False
    return True


def _unknown_outcome(request: PendingRequest) -> Problem:
    """Return the answer to a caller whose record may or may not be in the log."""
    if not request.proposed:
        return admission.log_down_problem()
    detail = (
        "The log has not confirmed it in time and may yet take effect; "
        "the same request again, with the same job ids, is safe."
    )
    return Problem(
        ProblemKind.LOG_DOWN, RunState.UNKNOWN, detail, const.LOG_DOWN_RETRY_MS
    )
