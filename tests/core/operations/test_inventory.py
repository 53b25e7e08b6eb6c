"""Tests of how changes of the platform's list of workers are proposed."""

from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    AgentOp,
    BatchesRead,
    MembersListed,
    Tick,
)
from courselead.core.fleet.records import WorkerInfo, WorkersGone, WorkersSeen
from courselead.core.fleet.state import AppliedRecord, Verdict, WorkerPhase
from courselead.core.operations.health import MIN_FAILURES
from courselead.core.operations.reducer import reduce
from courselead.core.operations.state import OperationsState
from tests.core.operations.build import ctx, fleet, proposed, report, worker


def info(name: str, **changes) -> WorkerInfo:
    fields = {
        "availability_zone": "a",
        "rack": "r1",
        "address": f"{name}:1",
        "cores": 8.0,
        "memory_mb": 4096,
        **changes,
    }
    return WorkerInfo(name, **fields)


def listed(now_ms, *infos, version=1, leaving=()):
    return MembersListed(now_ms, version, tuple(infos), tuple(leaving), ())


def test_only_new_and_changed_workers_are_proposed_in_records_of_200():
    state = fleet([worker("w000"), worker("w001")])
    infos = [info(f"w{index:03}") for index in range(450)]
    infos[1] = info("w001", rack="r2")
    _, effects = reduce(OperationsState(), ctx(state, 0), listed(0, *infos))
    records = proposed(effects)
    assert [len(record.workers) for record in records] == [200, 200, 49]
    names = [item.worker for record in records for item in record.workers]
    assert names == [f"w{index:03}" for index in range(1, 450)]


def test_older_list_does_not_replace_newer_one():
    state = fleet([worker("w1")])
    own, _ = reduce(OperationsState(), ctx(state, 0), listed(0, info("w1"), version=7))
    stale = listed(10, info("w1", rack="old"), version=6)
    own, effects = reduce(own, ctx(state, 10), stale)
    assert proposed(effects) == []


def test_refused_record_is_proposed_again_only_after_the_proposal_timeout():
    state = fleet([])
    own, effects = reduce(OperationsState(), ctx(state, 0), listed(0, info("w1")))
    (record,) = proposed(effects)
    assert isinstance(record, WorkersSeen)
    refusal = AppliedRecord(101, "h1", 1, 1, record, Verdict(False, "not_member"))
    context = ctx(state, 100, applied=(refusal,))
    own, _ = reduce(own, context, BatchesRead(100, ()))
    again_ms = []
    for now_ms in range(200, 8_000, 200):
        own, effects = reduce(own, ctx(state, now_ms), Tick(now_ms, 0))
        if proposed(effects):
            again_ms.append(now_ms)
    assert again_ms[0] >= 5_000


def gone_at(state, answers):
    """Return the first proposal for the absent worker w1 and its time.

    `answers` tells at which times the agent of w1 answers.
    """
    own, _ = reduce(OperationsState(), ctx(state, 0), listed(0))
    for now_ms in range(200, 30_000, 200):
        context = ctx(state, now_ms)
        own, effects = reduce(own, context, Tick(now_ms, 0))
        if proposed(effects):
            return now_ms, proposed(effects)
        if answers(now_ms):
            event = AgentAnswered(
                now_ms, 0, "w1", AgentOp.STATE, 0, report=report(epoch=0)
            )
        else:
            event = AgentFailed(now_ms, "w1", AgentOp.STATE, 0, False)
        own, _ = reduce(own, context, event)
    return None


def test_worker_is_gone_only_if_missing_for_ten_seconds_and_not_answering():
    state = fleet([worker("w1")], rows=())
    now_ms, records = gone_at(state, lambda now_ms: False)
    assert records == [WorkersGone((("w1", 0),))]
    assert now_ms >= 10_000
    assert gone_at(state, lambda now_ms: True) is None
    now_ms, _ = gone_at(state, lambda now_ms: now_ms < 15_000)
    assert now_ms >= 21_000


def test_a_missing_worker_is_not_gone_because_a_single_call_has_failed():
    # A call that was lost long ago made a worker gone that was not called since.
    state = fleet([worker("w1")], rows=())
    own, _ = reduce(OperationsState(), ctx(state, 0), listed(0))
    own, _ = reduce(own, ctx(state, 200), Tick(200, 0))
    for failures in range(1, MIN_FAILURES + 1):
        event = AgentFailed(200, "w1", AgentOp.STATE, 0, False)
        own, _ = reduce(own, ctx(state, 200), event)
        _, effects = reduce(own, ctx(state, 29_000), Tick(29_000, 0))
        gone = WorkersGone((("w1", 0),)) in proposed(effects)
        assert gone is (failures == MIN_FAILURES)


def test_gone_worker_that_is_listed_again_is_proposed_as_seen():
    state = fleet([worker("w1", phase=WorkerPhase.GONE)])
    _, effects = reduce(OperationsState(), ctx(state, 0), listed(0, info("w1")))
    assert proposed(effects) == [WorkersSeen((info("w1"),))]
