from courselead.core.effects import (
    Left,
    LogEvent,
    ProblemKind,
    ReplyAccepted,
    ReplyProblem,
    RunState,
)
from courselead.core.events import (
    AppendResult,
    LeaveAsked,
    LogReachable,
    TableEdit,
    ZoneCommand,
)
from courselead.core.fleet.records import TablePublished, ZoneEvacuated, ZoneRestored
from courselead.core.table import AccountRow
from tests.core.helpers import FakeLog, create_host, run_all_until


def edit(base, weight=1.0, name="aloisi"):
    row = AccountRow(name, weight=weight)
    return TablePublished(base, (row,), (), (), "ops")


def create_member_host():
    host = create_host(FakeLog())
    host.run_until(1_000)
    return host


def test_an_edit_is_answered_with_its_verdict():
    a = create_member_host()
    a.handle(TableEdit(1_000, "r1", edit(-1), 9_000))
    a.run_until(1_500)
    (reply,) = a.effects_of(ReplyAccepted)
    assert (reply.request_id, reply.offset) == ("r1", a.state.fleet.table.version)
    a.handle(TableEdit(1_500, "r2", edit(-1, weight=2.0), 9_000))
    a.run_until(2_000)
    (problem,) = a.effects_of(ReplyProblem)
    assert problem.problem.kind is ProblemKind.CONFLICT
    assert a.state.fleet.table.accounts["aloisi"].weight == 1.0


def test_the_first_of_two_concurrent_edits_of_a_row_is_accepted():
    log = FakeLog()
    a, b = create_host(log, "a"), create_host(log, "b")
    run_all_until((a, b), 1_000)
    a.handle(TableEdit(1_000, "ra", edit(-1, 3.0), 9_000))
    b.handle(TableEdit(1_000, "rb", edit(-1, 4.0), 9_000))
    run_all_until((a, b), 2_000)
    assert len(a.effects_of(ReplyAccepted)) + len(b.effects_of(ReplyAccepted)) == 1
    assert len(a.effects_of(ReplyProblem)) + len(b.effects_of(ReplyProblem)) == 1
    assert a.state.fleet.table == b.state.fleet.table
    assert a.state.fleet.table.accounts["aloisi"].weight == 3.0


def test_an_edit_is_rejected_at_once_as_not_run_while_the_log_is_down():
    a = create_member_host()
    a.handle(LogReachable(1_000, False))
    a.handle(TableEdit(1_000, "r1", edit(-1), 9_000))
    (reply,) = a.effects_of(ReplyProblem)
    assert reply.problem.run is RunState.NOT_RUN
    assert reply.problem.retry_after_ms > 0


def test_an_edit_without_a_verdict_by_its_deadline_is_unknown():
    a = create_member_host()
    a.append_result = AppendResult.NOT_STORED
    a.handle(TableEdit(1_000, "r1", edit(-1), 3_000))
    a.run_until(2_950)
    assert a.effects_of(ReplyProblem) == []
    a.run_until(3_050)
    (reply,) = a.effects_of(ReplyProblem)
    assert reply.problem.run is RunState.UNKNOWN


def evacuate(host, zone="z1", request_id="r1", deadline_ms=9_000):
    change = ZoneEvacuated(zone, "ops", 5)
    host.handle(ZoneCommand(host.state.now_ms, request_id, change, deadline_ms))


def test_a_zone_command_is_answered_with_its_verdict():
    a = create_member_host()
    evacuate(a)
    a.run_until(1_500)
    (reply,) = a.effects_of(ReplyAccepted)
    evacuation = a.state.fleet.evacuations["z1"]
    assert (reply.request_id, reply.offset) == ("r1", evacuation.since)
    assert (evacuation.operator, evacuation.at_ms) == ("ops", 5)
    restore = ZoneRestored("z1", "ops", 6)
    a.handle(ZoneCommand(1_500, "r2", restore, 9_000))
    a.run_until(2_000)
    assert not a.state.fleet.evacuations
    assert a.effects_of(ReplyProblem) == []


def test_each_host_logs_an_evacuation_and_its_end_when_it_reads_them():
    """An operator follows from the logs when each host stopped using the zone."""
    log = FakeLog()
    a, b = create_host(log, "a"), create_host(log, "b")
    run_all_until((a, b), 1_000)
    evacuate(a)
    evacuate(a, "z9", request_id="r2")
    run_all_until((a, b), 1_500)
    restore = ZoneRestored("z1", "ops", 6)
    a.handle(ZoneCommand(1_500, "r3", restore, 9_000))
    run_all_until((a, b), 2_000)
    for host in (a, b):
        lines = [
            (line.event, dict(line.fields)["zone"], dict(line.fields)["operator"])
            for line in host.effects_of(LogEvent)
            if line.event.startswith("zone_")
        ]
        assert lines == [
            ("zone_evacuation_requested", "z1", "ops"),
            ("zone_returned", "z1", "ops"),
        ]


def test_a_command_for_an_unknown_zone_is_answered_with_the_remedy():
    a = create_member_host()
    evacuate(a, "z9")
    a.run_until(1_500)
    (reply,) = a.effects_of(ReplyProblem)
    assert reply.problem.kind is ProblemKind.ZONE_REFUSED
    assert reply.problem.run is RunState.NOT_RUN
    assert "list of zones" in reply.problem.detail


def test_a_command_sent_twice_through_two_hosts_is_accepted_twice():
    """A caller that got no answer sends its command to the next entry host."""
    log = FakeLog()
    a, b = create_host(log, "a"), create_host(log, "b")
    run_all_until((a, b), 1_000)
    evacuate(a, request_id="ra")
    evacuate(b, request_id="rb")
    run_all_until((a, b), 2_000)
    assert len(a.effects_of(ReplyAccepted)) == len(b.effects_of(ReplyAccepted)) == 1
    assert a.state.fleet == b.state.fleet
    assert a.state.fleet.evacuations["z1"].since == min(
        one.offset for host in (a, b) for one in host.effects_of(ReplyAccepted)
    )


def test_a_zone_command_is_rejected_at_once_as_not_run_while_the_log_is_down():
    """The operator must know at once that another entry host is needed."""
    a = create_member_host()
    a.handle(LogReachable(1_000, False))
    evacuate(a)
    (reply,) = a.effects_of(ReplyProblem)
    assert reply.problem.kind is ProblemKind.LOG_DOWN
    assert reply.problem.run is RunState.NOT_RUN
    assert "no zone has changed" in reply.problem.detail


def test_a_zone_command_on_a_slow_log_is_unknown_and_takes_effect_later():
    a = create_member_host()
    a.append_result = AppendResult.NOT_STORED
    evacuate(a, deadline_ms=3_000)
    a.run_until(3_050)
    (reply,) = a.effects_of(ReplyProblem)
    assert reply.problem.run is RunState.UNKNOWN
    assert "list of zones" in reply.problem.detail
    assert not a.state.fleet.evacuations
    a.append_result = None
    a.run_until(6_000)
    assert "z1" in a.state.fleet.evacuations


def test_a_late_command_does_not_undo_a_newer_one():
    """Guards against an evacuation that comes back after the zone was restored.

    A host that cannot append keeps the command in its outbox after its caller was
    told that the outcome is unknown, and has sent it to another host.
    """
    log = FakeLog()
    a, b = create_host(log, "a"), create_host(log, "b")
    run_all_until((a, b), 1_000)
    a.append_result = AppendResult.NOT_STORED
    evacuate(a, request_id="ra", deadline_ms=2_000)
    run_all_until((a, b), 2_100)
    assert a.effects_of(ReplyProblem)[0].problem.run is RunState.UNKNOWN
    evacuate(b, request_id="rb")
    run_all_until((a, b), 2_500)
    restore = ZoneRestored("z1", "ops", 6)
    b.handle(ZoneCommand(2_500, "rc", restore, 9_000))
    run_all_until((a, b), 2_900)
    assert not b.state.fleet.evacuations
    a.append_result = None
    run_all_until((a, b), 7_000)
    assert not b.state.fleet.evacuations


def test_hosts_that_are_restarted_in_turn_keep_the_evacuation():
    """One host leaves with the command in its outbox; both return from the log."""
    log = FakeLog()
    a, b = create_host(log, "a"), create_host(log, "b")
    run_all_until((a, b), 1_000)
    evacuate(a)
    a.handle(LeaveAsked(1_000))
    run_all_until((a, b), 4_000)
    assert a.effects_of(ReplyAccepted)
    assert a.effects_of(Left)
    again = create_host(log, "a", incarnation=2)
    run_all_until((again, b), 8_000)
    b.handle(LeaveAsked(8_000))
    run_all_until((again, b), 12_000)
    assert b.effects_of(Left)
    last = create_host(log, "b", incarnation=2)
    run_all_until((again, last), 16_000)
    for host in (again, last):
        assert host.state.member
        assert host.state.fleet.evacuations["z1"].operator == "ops"
