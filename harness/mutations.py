"""Mutations that disable one guard of the core, to show that the cells detect it.

A mutation patches functions of the core in the process that runs the matrix, and
restores them after.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from courselead.core import reducer
from courselead.core.effects import ReplyProblem, RunState
from courselead.core.events import MembersListed, NotRunReason, SendNotRun, SendUnknown
from courselead.core.fleet import stops, tables, workers
from courselead.core.operations import lifecycle as operations, maintenance, planner
from courselead.core.requests import (
    attempts,
    claims,
    dispatch,
    lifecycle,
    reducer as requests,
)
from harness.checks import Promise

PLENTY = 100


@dataclass(frozen=True, slots=True)
class Mutation:
    """A guard that can be disabled.

    Attributes:
        promise: The promise that depends on the guard.
        what: Description of the guard.
        patches: Module or dict, name or key, and replacement.
        faults: Faults most likely to detect it, tried first.
        seed: Seed of the runs, 0 for that of the matrix.
    """

    promise: Promise
    what: str
    patches: tuple[tuple[Any, str, Any], ...]
    faults: tuple[str, ...] = ()
    seed: int = 0


class _AccountlessDraft:
    """Wraps a draft so that calls name the service without its client account."""

    def __init__(self, draft: Any) -> None:
        self._draft = draft

    def __getattr__(self, name: str) -> Any:
        return getattr(self._draft, name)

    def call(self, worker: Any, op: Any, **args: Any) -> None:
        """Call an agent."""
        if "service" in args:
            args["service"] = args["service"].rpartition("/")[2]
        self._draft.call(worker, op, **args)


def _start_without_account(draft: Any, worker: Any) -> None:
    """Start a minion by its service name only."""
    _start(_AccountlessDraft(draft), worker)


def _ignore_fingerprint(turn: Any, event: Any) -> Any:
    """Look up a key without comparing the request fingerprint."""
    pending_calls = turn.ctx.fleet.claims.get(claims.key_of(event))
    if pending_calls is not None:
        event = replace(event, fingerprint=pending_calls.fingerprint)
    return _earlier(turn, event)


def _treat_as_not_run(turn: Any, event: SendUnknown) -> None:
    """Treat an attempt that may have run as not run."""
    reason = NotRunReason.REFUSED
    attempts.handle_send_not_run(
        turn, SendNotRun(event.now_ms, event.request_id, event.attempt, reason)
    )


def _drop_final_answer(turn: Any, req: Any) -> None:
    """Give up on a request without an answer to its caller."""
    before = len(turn.effects)
    _late(turn, req)
    told = turn.effects[before:]
    kept = [effect for effect in told if not isinstance(effect, ReplyProblem)]
    turn.effects = turn.effects[:before] + kept


class _AlwaysNotRun:
    """Run states of a core that reports every request as not run."""

    UNKNOWN = RunState.NOT_RUN
    NOT_RUN = RunState.NOT_RUN


_start = operations._start
_earlier = claims.find_earlier_reply
_late = dispatch.fail_past_deadline

MUTATIONS: dict[str, Mutation] = {
    "budget_at_apply": Mutation(
        Promise.BUDGET,
        "a planned stop is judged against the budget when it is applied",
        (
            (stops, "can_stop_worker", lambda fleet, worker: True),
            (planner, "can_stop_worker", lambda fleet, worker: True),
            (maintenance, "spare", lambda fleet, pool: PLENTY),
        ),
    ),
    "account_of_minion": Mutation(
        Promise.ONE_POOL,
        "the start of a minion names its client account",
        ((operations, "_start", _start_without_account),),
        ("kill", "freeze"),
        seed=3,
    ),
    "jobs_before_move": Mutation(
        Promise.ONE_POOL,
        "a worker goes to its next pool when no job is left on it",
        (
            (operations, "jobs_on", lambda fleet, worker: ()),
            (workers, "jobs_on", lambda fleet, worker: ()),
        ),
        ("freeze",),
    ),
    "fingerprint": Mutation(
        Promise.OWN_ANSWER,
        "a kept answer is replayed only to the same request",
        ((claims, "find_earlier_reply", _ignore_fingerprint),),
    ),
    "unknown_told_as_not_run": Mutation(
        Promise.NOT_RUN,
        "what may have run is told as unknown",
        ((lifecycle, "RunState", _AlwaysNotRun),),
    ),
    "unknown_tried_again": Mutation(
        Promise.AT_MOST_ONCE,
        "an attempt that may have run is not taken for one that has not",
        ((requests._HANDLERS, SendUnknown, _treat_as_not_run),),
        ("answer_lost", "failure_wave"),
    ),
    "claims": Mutation(
        Promise.AT_MOST_ONCE,
        "a key is claimed in the log before its request is sent",
        ((claims, "needs_claim", lambda event: False),),
    ),
    "leaving_ignored": Mutation(
        Promise.LEAVING,
        "workers that the list shows as leaving are not chosen",
        ((requests._HANDLERS, MembersListed, lambda turn, event: None),),
        ("list_lagging",),
    ),
    "settled_always": Mutation(
        Promise.NO_CUT,
        "a host tells a stop as settled once nothing of it is in flight there",
        ((reducer, "settled_offset", lambda state, fleet: fleet.offset),),
        ("slow",),
    ),
    "older_snapshot": Mutation(
        Promise.CONFIG,
        "a snapshot older than the state at hand is not taken",
        (
            (
                reducer,
                "_load_snapshot",
                lambda state, fleet: replace(state, fleet=fleet),
            ),
        ),
        ("cut_platform",),
    ),
    "row_versions": Mutation(
        Promise.CONFIG,
        "an edit of a row that has been changed since is refused",
        ((tables, "_edit_rejection", lambda table, record, keys: ""),),
        ("operators_racing",),
    ),
    "deadline_answer": Mutation(
        Promise.FINAL_ANSWER,
        "a request whose deadline passes is given its final answer",
        (
            (dispatch, "fail_past_deadline", _drop_final_answer),
            (requests, "fail_past_deadline", _drop_final_answer),
        ),
    ),
}


@contextmanager
def without_guard(name: str) -> Iterator[Mutation]:
    """Disable one guard within the context."""
    mutation = MUTATIONS[name]
    before = [(owner, key, _get(owner, key)) for owner, key, _ in mutation.patches]
    for owner, key, value in mutation.patches:
        _put(owner, key, value)
    try:
        yield mutation
    finally:
        for owner, key, value in before:
            _put(owner, key, value)


def _get(owner: Any, key: Any) -> Callable:
    """Return the value of a dict key or an attribute."""
    return owner[key] if isinstance(owner, dict) else getattr(owner, key)


def _put(owner: Any, key: Any, value: Any) -> None:
    """Set a dict key or an attribute."""
    if isinstance(owner, dict):
        owner[key] = value
    else:
        setattr(owner, key, value)
