from courselead.core.effects import (
    ProblemKind,
    ReplyAccepted,
    ReplyProblem,
    RunState,
)
from courselead.core.events import AppendResult, LogReachable, TableEdit
from courselead.core.fleet.records import TablePublished
from courselead.core.table import AccountRow
from tests.core.helpers import Log, new_host, run_together


def edit(base, weight=1.0, name="aloisi"):
    row = AccountRow(name, weight=weight)
    return TablePublished(base, (row,), (), (), "ops")


def host():
    made = new_host(Log())
    made.run(1_000)
    return made


def test_an_edit_is_answered_by_its_verdict():
    a = host()
    a.do(TableEdit(1_000, "r1", edit(-1), 9_000))
    a.run(1_500)
    (reply,) = a.of(ReplyAccepted)
    assert (reply.request_id, reply.offset) == ("r1", a.state.fleet.table.version)
    a.do(TableEdit(1_500, "r2", edit(-1, weight=2.0), 9_000))
    a.run(2_000)
    (problem,) = a.of(ReplyProblem)
    assert problem.problem.kind is ProblemKind.CONFLICT
    assert a.state.fleet.table.accounts["aloisi"].weight == 1.0


def test_of_two_racing_edits_of_one_row_the_first_by_offset_stands():
    log = Log()
    a, b = new_host(log, "a"), new_host(log, "b")
    run_together((a, b), 1_000)
    a.do(TableEdit(1_000, "ra", edit(-1, 3.0), 9_000))
    b.do(TableEdit(1_000, "rb", edit(-1, 4.0), 9_000))
    run_together((a, b), 2_000)
    assert len(a.of(ReplyAccepted)) + len(b.of(ReplyAccepted)) == 1
    assert len(a.of(ReplyProblem)) + len(b.of(ReplyProblem)) == 1
    assert a.state.fleet.table == b.state.fleet.table
    assert a.state.fleet.table.accounts["aloisi"].weight == 3.0


def test_with_the_log_down_an_edit_is_refused_at_once_as_not_run():
    a = host()
    a.do(LogReachable(1_000, False))
    a.do(TableEdit(1_000, "r1", edit(-1), 9_000))
    (reply,) = a.of(ReplyProblem)
    assert reply.problem.run is RunState.NOT_RUN
    assert reply.problem.retry_after_ms > 0


def test_an_edit_with_no_verdict_in_time_is_unknown():
    a = host()
    a.lose = AppendResult.NOT_STORED
    a.do(TableEdit(1_000, "r1", edit(-1), 3_000))
    a.run(2_950)
    assert a.of(ReplyProblem) == []
    a.run(3_050)
    (reply,) = a.of(ReplyProblem)
    assert reply.problem.run is RunState.UNKNOWN
