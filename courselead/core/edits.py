"""Table edits of operators: proposed, then answered by their verdict."""

from dataclasses import dataclass, field, replace

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
from courselead.core.events import BatchesRead, Event, TableEdit, Tick
from courselead.core.fleet import verdicts
from courselead.core.fleet.records import TablePublished

LOG_RETRY_MS = 2_000


@dataclass(frozen=True, slots=True)
class EditsState:
    """Edits waiting for their verdict: request id to deadline."""

    waiting: Map[str, int] = field(default_factory=Map)


def reduce(
    state: EditsState, ctx: Context, event: Event
) -> tuple[EditsState, tuple[Effect, ...]]:
    """Take in one event."""
    if isinstance(event, TableEdit):
        return _propose(state, ctx, event)
    if isinstance(event, BatchesRead):
        return _answer(state, ctx)
    if isinstance(event, Tick):
        return _expire(state, ctx)
    return state, ()


def _propose(
    state: EditsState, ctx: Context, event: TableEdit
) -> tuple[EditsState, tuple[Effect, ...]]:
    """Propose an edit, or refuse it at once while the log is out of reach."""
    if not ctx.log_up or not ctx.member:
        problem = Problem(
            ProblemKind.LOG_DOWN,
            RunState.NOT_RUN,
            "The platform's log cannot be reached from here; the table is "
            "unchanged. Publish again later or through another entry host.",
            LOG_RETRY_MS,
        )
        return state, (ReplyProblem(event.request_id, problem),)
    record = replace(event.edit, request_id=event.request_id)
    waiting = state.waiting.set(event.request_id, event.deadline_ms)
    return replace(state, waiting=waiting), (Propose(record),)


def _answer(state: EditsState, ctx: Context) -> tuple[EditsState, tuple[Effect, ...]]:
    """Answer the edits whose verdict has come."""
    effects: list[Effect] = []
    waiting = state.waiting
    for applied in ctx.applied:
        record = applied.record
        if not isinstance(record, TablePublished) or record.request_id not in waiting:
            continue
        waiting = waiting.delete(record.request_id)
        if applied.verdict.accepted:
            effects.append(ReplyAccepted(record.request_id, applied.offset))
            continue
        effects.append(
            ReplyProblem(record.request_id, _refusal(applied.verdict.reason))
        )
    return replace(state, waiting=waiting), tuple(effects)


def _refusal(reason: str) -> Problem:
    """Return the final answer to an edit that was refused at apply."""
    if reason == verdicts.TABLE_CONFLICT:
        return Problem(
            ProblemKind.CONFLICT,
            RunState.NOT_RUN,
            "A row of this edit was changed after the version it was edited "
            "from. Read the table again, and repeat the edit on top of it.",
        )
    remedy = verdicts.message(reason)
    return Problem(
        ProblemKind.TABLE_REFUSED,
        RunState.NOT_RUN,
        f"The table is unchanged: {remedy}",
    )


def _expire(state: EditsState, ctx: Context) -> tuple[EditsState, tuple[Effect, ...]]:
    """Give up on edits whose verdict did not come in time."""
    late = [rid for rid, at_ms in state.waiting.items() if at_ms <= ctx.now_ms]
    if not late:
        return state, ()
    waiting = state.waiting
    effects: list[Effect] = []
    problem = Problem(
        ProblemKind.LOG_DOWN,
        RunState.UNKNOWN,
        "The log did not answer in time; the edit may still come into force. "
        "Look at the table's history before publishing it again.",
        LOG_RETRY_MS,
    )
    for request_id in late:
        waiting = waiting.delete(request_id)
        effects.append(ReplyProblem(request_id, problem))
    return replace(state, waiting=waiting), tuple(effects)
