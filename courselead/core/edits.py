"""Changes by operators: each is proposed and answered with its verdict.

These are table edits and the commands that evacuate and restore zones.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.effects import (
    Effect,
    LogEvent,
    Problem,
    ProblemKind,
    Propose,
    ReplyAccepted,
    ReplyProblem,
    RunState,
)
from courselead.core.events import BatchesRead, Event, TableEdit, Tick, ZoneCommand
from courselead.core.fleet import verdicts
from courselead.core.fleet.records import (
    TablePublished,
    ZoneEvacuated,
    ZoneRestored,
)

LOG_RETRY_MS = 2_000
_CHANGE_RECORDS = (TablePublished, ZoneEvacuated, ZoneRestored)
_ZONE_LOG_EVENTS = {
    ZoneEvacuated: "zone_evacuation_requested",
    ZoneRestored: "zone_returned",
}


@dataclass(frozen=True, slots=True)
class WaitingChange:
    """A change that waits for its verdict.

    Attributes:
        deadline_ms: Deadline, in monotonic milliseconds.
        is_edit: Whether it is a table edit and not a zone command.
    """

    deadline_ms: int
    is_edit: bool


@dataclass(frozen=True, slots=True)
class EditsState:
    """Changes that wait for their verdict, by request ID."""

    waiting: Map[str, WaitingChange] = field(default_factory=Map)


def reduce(
    state: EditsState, ctx: Context, event: Event
) -> tuple[EditsState, tuple[Effect, ...]]:
    """Handle one event."""
    if isinstance(event, TableEdit):
        change = WaitingChange(event.deadline_ms, is_edit=True)
        return _propose(state, ctx, change, event.request_id, event.edit)
    if isinstance(event, ZoneCommand):
        change = WaitingChange(event.deadline_ms, is_edit=False)
        return _propose(state, ctx, change, event.request_id, event.change)
    if isinstance(event, BatchesRead):
        state, replies = _answer_applied(state, ctx)
        return state, replies + _log_zone_changes(ctx)
    if isinstance(event, Tick):
        return _expire_changes(state, ctx)
    return state, ()


def _propose(
    state: EditsState,
    ctx: Context,
    change: WaitingChange,
    request_id: str,
    record: TablePublished | ZoneEvacuated | ZoneRestored,
) -> tuple[EditsState, tuple[Effect, ...]]:
    """Propose a change, or reject it at once while the log is unreachable."""
    if not ctx.log_up or not ctx.member:
        return state, (ReplyProblem(request_id, _log_down_problem(change)),)
    waiting = state.waiting.set(request_id, change)
    record = replace(record, request_id=request_id)
    if not isinstance(record, TablePublished):
        record = replace(record, read_offset=ctx.fleet.offset)
    proposal = Propose(record)
    return replace(state, waiting=waiting), (proposal,)


def _log_down_problem(change: WaitingChange) -> Problem:
    """Return the answer to a change that cannot be proposed now."""
    if change.is_edit:
        detail = (
            "The platform's log cannot be reached from here; the table is "
            "unchanged. Publish again later or through another entry host."
        )
    else:
        detail = (
            "The platform's log cannot be reached from here; no zone has changed. "
            "Send the command again later or through another entry host."
        )
    return Problem(ProblemKind.LOG_DOWN, RunState.NOT_RUN, detail, LOG_RETRY_MS)


def _answer_applied(
    state: EditsState, ctx: Context
) -> tuple[EditsState, tuple[Effect, ...]]:
    """Answer the changes whose verdicts are among the applied records."""
    effects: list[Effect] = []
    waiting = state.waiting
    for applied in ctx.applied:
        record = applied.record
        if not isinstance(record, _CHANGE_RECORDS) or record.request_id not in waiting:
            continue
        change = waiting[record.request_id]
        waiting = waiting.delete(record.request_id)
        if applied.verdict.accepted:
            effects.append(ReplyAccepted(record.request_id, applied.offset))
            continue
        problem = _rejection_problem(change, applied.verdict.reason)
        effects.append(ReplyProblem(record.request_id, problem))
    return replace(state, waiting=waiting), tuple(effects)


def _log_zone_changes(ctx: Context) -> tuple[LogEvent, ...]:
    """Return a log line for each accepted command that evacuates or restores a zone.

    Each host logs a command when it reads the record, since it applies it from then
    on. A repeated command is logged again.
    """
    lines = []
    for applied in ctx.applied:
        record = applied.record
        event = _ZONE_LOG_EVENTS.get(type(record))
        if event is None or not applied.verdict.accepted:
            continue
        fields = (
            ("zone", record.availability_zone),
            ("operator", record.operator),
            ("offset", applied.offset),
        )
        lines.append(LogEvent("info", event, fields))
    return tuple(lines)


def _rejection_problem(change: WaitingChange, reason: str) -> Problem:
    """Return the final answer to a change that was rejected when it was applied."""
    if reason == verdicts.TABLE_CONFLICT:
        return Problem(
            ProblemKind.CONFLICT,
            RunState.NOT_RUN,
            "A row of this edit was changed after the version it was edited "
            "from. Read the table again, and repeat the edit on top of it.",
        )
    message = verdicts.message(reason)
    if not change.is_edit:
        detail = f"No zone has changed: {message}"
        return Problem(ProblemKind.ZONE_REFUSED, RunState.NOT_RUN, detail)
    return Problem(
        ProblemKind.TABLE_REFUSED,
        RunState.NOT_RUN,
        f"The table is unchanged: {message}",
    )


def _expire_changes(
    state: EditsState, ctx: Context
) -> tuple[EditsState, tuple[Effect, ...]]:
    """Answer changes whose deadline has passed with an unknown outcome."""
    expired = [
        request_id
        for request_id, change in state.waiting.items()
        if change.deadline_ms <= ctx.now_ms
    ]
    if not expired:
        return state, ()
    waiting = state.waiting
    effects: list[Effect] = []
    for request_id in expired:
        effects.append(ReplyProblem(request_id, _expiry_problem(waiting[request_id])))
        waiting = waiting.delete(request_id)
    return replace(state, waiting=waiting), tuple(effects)


def _expiry_problem(change: WaitingChange) -> Problem:
    """Return the answer to a change without a verdict by its deadline."""
    if change.is_edit:
        detail = (
            "The log did not answer in time; the edit may still come into force. "
            "Look at the table's history before publishing it again."
        )
    else:
        detail = (
            "The log did not answer in time; the command may still take effect. "
            "Look at the list of zones; sending it again does no harm."
        )
    return Problem(ProblemKind.LOG_DOWN, RunState.UNKNOWN, detail, LOG_RETRY_MS)
