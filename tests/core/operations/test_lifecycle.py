"""Tests of the phases of a worker: which calls are made, and what ends a phase."""

from dataclasses import replace

from immutables import Map

from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    AgentOp,
    TaskReport,
    Tick,
)
from courselead.core.fleet.records import (
    MinionStopped,
    MinionUp,
    StopCancelled,
    StopPurpose,
    WorkerAssigned,
    WorkerRebooted,
)
from courselead.core.fleet.state import EvacuationState, HostStatus, WorkerPhase
from courselead.core.operations.reducer import reduce
from courselead.core.operations.state import DEFAULT_UNSETTLED_LIMIT_MS, OperationsState
from tests.core.operations.build import (
    calls,
    ctx,
    fleet,
    host,
    notes,
    proposed,
    report,
    row,
    serving,
)

# One worker, which the budget allows to be unavailable; with a smaller budget, its
# stop would not have been accepted.
WITHIN_BUDGET = [row(workers=1, availability_budget=1.0)]


def step(state, context, event=None):
    event = event or Tick(context.now_ms, context.wall_ms)
    return reduce(state, context, event)


def answer(op, now_ms, epoch=3, **fields):
    return AgentAnswered(now_ms, 1_000_000 + now_ms, "w1", op, epoch, **fields)


def stopping(**changes):
    fields = {
        "phase": WorkerPhase.STOPPING,
        "purpose": StopPurpose.MAINTENANCE,
        "since": 50,
        **changes,
    }
    return serving("w1", **fields)


def test_starting_worker_gets_a_minion_with_the_rows_limits():
    starting = serving("w1", phase=WorkerPhase.STARTING, minion_address="")
    state = fleet([starting], [row(slots=5, connections=9)])
    own, effects = step(OperationsState(), ctx(state, 0))
    (call,) = calls(effects)
    assert (call.op, call.epoch) == (AgentOp.START_MINION, 3)
    assert (call.service, call.slots, call.connections) == ("aloisi/web", 5, 9)
    own, effects = step(
        own, ctx(state, 50), answer(AgentOp.START_MINION, 50, address="w1:81")
    )
    assert proposed(effects) == [MinionUp("w1", 3, "w1:81")]
    own, effects = step(
        own, ctx(state, 60), answer(AgentOp.START_MINION, 60, address="w1:81")
    )
    assert proposed(effects) == [], "the same record is still undecided"


def test_older_minion_is_stopped_before_the_new_one_starts():
    starting = serving("w1", phase=WorkerPhase.STARTING, minion_address="")
    state = fleet([starting])
    own, _ = step(OperationsState(), ctx(state, 0))
    busy = answer(AgentOp.START_MINION, 50, refused="busy")
    own, _ = step(own, ctx(state, 50), busy)
    own, effects = step(own, ctx(state, 3_000))
    assert [call.op for call in calls(effects)] == [AgentOp.STOP_MINION]
    own, _ = step(own, ctx(state, 3_050), answer(AgentOp.STOP_MINION, 3_050))
    own, effects = step(own, ctx(state, 6_000))
    assert [call.op for call in calls(effects)] == [AgentOp.START_MINION]


def test_stop_waits_for_every_live_host_that_may_have_sent_requests():
    hosts = [
        host("h1", settled=50),
        host("h2", settled=49),
        host("lost", status=HostStatus.LOST),
        host("newer", joined=51),
    ]
    state = fleet([stopping()], hosts=hosts)
    own = OperationsState()
    for now_ms in range(0, 10_000, 500):
        own, effects = step(own, ctx(state, now_ms))
        assert calls(effects) == []
    settled = fleet([stopping()], hosts=[host("h1", settled=50)])
    own, effects = step(own, ctx(settled, 10_000))
    assert [call.op for call in calls(effects)] == [AgentOp.STOP_MINION]


def test_minion_counts_as_stopped_only_when_its_agent_reports_it():
    state = fleet([stopping()], hosts=[host("h1", settled=50)])
    own, _ = step(OperationsState(), ctx(state, 0))
    own, effects = step(own, ctx(state, 10), answer(AgentOp.STOP_MINION, 10))
    assert proposed(effects) == []
    own, effects = step(own, ctx(state, 3_000))
    assert [call.op for call in calls(effects)] == [AgentOp.STATE]
    draining = report(minion_state="stopping", minion_in_flight=2)
    own, effects = step(
        own, ctx(state, 3_010), answer(AgentOp.STATE, 3_010, report=draining)
    )
    assert proposed(effects) == []
    ended = report(minion_state="stopped")
    own, effects = step(
        own, ctx(state, 3_020), answer(AgentOp.STATE, 3_020, report=ended)
    )
    assert proposed(effects) == [MinionStopped("w1", 3)]


def test_long_drain_is_logged_once_a_minute_and_never_cut_short():
    hosts = [host("h1", settled=50), host("h2", zone="b", settled=1)]
    state = fleet([stopping()], WITHIN_BUDGET, hosts=hosts)
    own = OperationsState()
    found = []
    for now_ms in range(0, 150_000, 1_000):
        own, effects = step(own, ctx(state, now_ms))
        found += [(now_ms, note) for note in notes(effects)]
        assert proposed(effects) == []
    assert [now_ms for now_ms, _ in found] == [30_000, 90_000]
    assert dict(found[0][1].fields)["cause"] == "entry hosts not settled: h2"


def test_stop_that_hosts_do_not_settle_is_cancelled_after_the_limit():
    hosts = [host("h1", settled=50), host("h2", zone="b", settled=1)]
    state = fleet([stopping()], WITHIN_BUDGET, hosts=hosts)
    own, found = OperationsState(), []
    for now_ms in range(0, DEFAULT_UNSETTLED_LIMIT_MS + 1_000, 1_000):
        own, effects = step(own, ctx(state, now_ms))
        found += [(now_ms, record) for record in proposed(effects)]
    ((now_ms, record),) = found
    assert now_ms == DEFAULT_UNSETTLED_LIMIT_MS
    assert isinstance(record, StopCancelled)


def test_unsettled_stop_is_cancelled_at_once_if_losses_exhaust_the_budget():
    hosts = [host("h1", settled=50), host("h2", zone="b", settled=1)]
    lost = serving("w2", phase=WorkerPhase.DOWN)
    rows = [row(workers=2, availability_budget=0.5)]
    state = fleet([stopping(), lost], rows, hosts=hosts)
    _, effects = step(OperationsState(), ctx(state, 0))
    assert [type(record) for record in proposed(effects)] == [StopCancelled]
    settled = fleet([stopping(), lost], rows, hosts=[host("h1", settled=50)])
    _, effects = step(OperationsState(), ctx(settled, 0))
    assert proposed(effects) == []


def test_unsettled_stop_is_cancelled_if_an_evacuation_exhausts_the_budget():
    """The stopping worker would serve; a worker in the zone would not."""
    hosts = [host("h1", settled=50), host("h2", zone="b", settled=1)]
    rows = [row(workers=2, availability_budget=0.5)]
    state = fleet([stopping(), serving("w2", "c")], rows, hosts=hosts)
    expected = {(): [], ("c",): [StopCancelled], ("a", "c"): []}
    for zones, records in expected.items():
        evacuations = Map({zone: EvacuationState(zone, "op", 0, 1) for zone in zones})
        context = ctx(replace(state, evacuations=evacuations), 0)
        _, effects = step(OperationsState(), context)
        assert [type(record) for record in proposed(effects)] == records


def test_reboot_waits_for_tasks_and_ends_with_a_higher_boot_count():
    stopped = stopping(phase=WorkerPhase.STOPPED, since=60)
    state = fleet([stopped])
    task = TaskReport("job", 1, "running", 0.0, "", "", 0.0, 0, 0)
    before = report(minion_state="stopped", tasks=(task,))
    own, effects = step(OperationsState(), ctx(state, 0))
    assert [call.op for call in calls(effects)] == [AgentOp.STATE]
    own, effects = step(own, ctx(state, 10), answer(AgentOp.STATE, 10, report=before))
    assert calls(effects) == [], "a reboot would be refused while a task runs"
    own, effects = step(own, ctx(state, 3_000))
    assert [call.op for call in calls(effects)] == [AgentOp.STATE]
    free = replace(before, tasks=())
    own, effects = step(
        own, ctx(state, 9_000), answer(AgentOp.STATE, 9_000, report=free)
    )
    assert [call.op for call in calls(effects)] == [AgentOp.REBOOT]
    own, _ = step(own, ctx(state, 9_010), answer(AgentOp.REBOOT, 9_010))
    own, _ = step(own, ctx(state, 12_000))
    down = AgentFailed(12_010, "w1", AgentOp.STATE, 3, False)
    own, effects = step(own, ctx(state, 12_010), down)
    own, _ = step(own, ctx(state, 15_000))
    after = report(minion_state="", boots=2)
    own, effects = step(
        own, ctx(state, 15_010), answer(AgentOp.STATE, 15_010, report=after)
    )
    assert proposed(effects) == [WorkerRebooted("w1", 3, 1_015_010)]


def test_host_that_takes_over_does_not_reboot_a_worker_that_has_just_rebooted():
    hosts = [host("h1"), host("h2")]
    state = fleet([stopping(phase=WorkerPhase.STOPPED, since=60)], hosts=hosts)
    after = report(minion_state="", boots=2)
    found = {}
    for name in ("h1", "h2"):
        own = OperationsState()
        for now_ms in range(0, 12_000, 100):
            context = ctx(state, now_ms, me=name)
            own, effects = step(own, context)
            if not calls(effects):
                continue
            own, effects = step(
                own, context, answer(AgentOp.STATE, now_ms, report=after)
            )
            found.setdefault(name, []).append([call.op for call in calls(effects)])
    firsts = sorted(found[name][0] for name in found)
    assert firsts == [[], [AgentOp.REBOOT]]


def test_moved_worker_joins_its_next_pool_or_none_if_its_row_was_removed():
    moved = stopping(
        phase=WorkerPhase.STOPPED, purpose=StopPurpose.MOVE, next_pool="aloisi/api"
    )
    rows = [row(workers=0), row("api")]
    _, effects = step(OperationsState(), ctx(fleet([moved], rows), 0))
    assert proposed(effects) == [WorkerAssigned("w1", 3, "aloisi/api", 5)]
    _, effects = step(OperationsState(), ctx(fleet([moved], rows[:1]), 0))
    assert proposed(effects) == [WorkerAssigned("w1", 3, "", 5)]


def test_lower_ranked_hosts_take_over_when_no_record_ends_the_phase():
    starting = serving("w1", phase=WorkerPhase.STARTING, minion_address="")
    hosts = [host("h1"), host("h2"), host("far", zone="b")]
    state = fleet([starting], hosts=hosts)
    first_ms = {}
    for name in ("h1", "h2", "far"):
        own = OperationsState()
        for now_ms in range(0, 8_000, 250):
            own, effects = step(own, ctx(state, now_ms, me=name))
            if calls(effects):
                first_ms.setdefault(name, now_ms)
    assert sorted(first_ms) == ["far", "h1", "h2"]
    near = sorted([first_ms["h1"], first_ms["h2"]])
    assert near[0] == 0
    assert 1_500 <= near[1] <= 2_250
    assert first_ms["far"] > near[1], "hosts of another zone must come last"
