"""The smallest tests of the faults that the matrix found."""

import pytest

from courselead.core.effects import Abort, CallAgent, ReplyProblem, Send
from courselead.core.events import AgentOp, MembersListed, SendUnknown
from courselead.core.fleet import verdicts
from courselead.core.fleet.records import (
    MinionUp,
    StopCancelled,
    StopPlanned,
    StopPurpose,
    WorkerBack,
    WorkerDown,
)
from courselead.core.fleet.state import WorkerPhase
from courselead.core.requests.state import OLD_LIST_MS
from courselead.core.requests.timers import SLOT_MS
from harness.workers import SERVING
from harness.world import World
from tests.core.fleet.logs import START_MS, three_hosts
from tests.core.requests.fixtures import Host, fleet_of, sends, worker_state

MAINTENANCE = StopPurpose.MAINTENANCE


def test_a_retry_in_the_slot_of_the_deadline_keeps_the_deadline() -> None:
    fleet = fleet_of(workers=(worker_state("w1"), worker_state("w2")))
    host = Host(fleet)
    host.tick()
    slot_ms = (host.now_ms // SLOT_MS + 2) * SLOT_MS
    host.now_ms = slot_ms - SLOT_MS // 2
    request = host.request(deadline_ms=slot_ms + SLOT_MS - 1)
    host.feed(request)
    unknown = SendUnknown(host.now_ms, request.request_id, 1, "reset")
    host.feed(unknown)
    sent = []
    while not sent:
        sent = [eff for eff in host.tick(1) if isinstance(eff, Send)]
    assert slot_ms <= host.now_ms < request.deadline_ms
    told = host.tick(request.deadline_ms - host.now_ms)
    assert [type(eff) for eff in told if isinstance(eff, Abort | ReplyProblem)] == [
        Abort,
        ReplyProblem,
    ]


def listed(host: Host, version: int, *leaving: str) -> MembersListed:
    return MembersListed(host.now_ms, version, (), leaving, ())


def test_an_older_list_does_not_let_a_leaving_worker_be_used_again() -> None:
    host = Host(fleet_of(workers=(worker_state("w1"), worker_state("w2"))))
    host.tick()
    host.feed(listed(host, 2, "w1"))
    host.tick(1_000)
    host.feed(listed(host, 1))
    for _ in range(6):
        for send in sends(host.arrive()):
            assert send.worker == "w2"
            host.answer(send)
    host.tick(OLD_LIST_MS)
    host.feed(listed(host, 1))
    used = {send.worker for _ in range(6) for send in sends(host.arrive())}
    assert used == {"w1", "w2"}


@pytest.mark.parametrize(
    ("out", "back"),
    [
        (StopPlanned("w1", 1, MAINTENANCE, "", 0, START_MS), StopCancelled),
        (WorkerDown("w1", 1, "unreachable"), WorkerBack),
    ],
)
def test_what_was_to_be_stopped_comes_back_at_another_epoch(out, back) -> None:
    log = three_hosts()
    log.take("h1", out)
    assert log.one("h1", MinionUp("w1", 1, "w1:80")).reason == verdicts.WRONG_PHASE
    record = back("w1", 1) if back is WorkerBack else back("w1", 1, "unsettled")
    log.take("h1", record)
    worker = log.fleet.workers["w1"]
    assert (worker.epoch, worker.phase) == (2, WorkerPhase.STARTING)


def test_a_stop_left_over_from_before_is_refused_by_the_agent() -> None:
    world = World(1)
    worker = world.workers["wa1"]

    def call(op: AgentOp, epoch: int) -> dict:
        return worker.call(CallAgent("wa1", "wa1:1", op, epoch, service="web", slots=1))

    began = call(AgentOp.START_MINION, 1)
    assert call(AgentOp.START_MINION, 2) == began
    assert call(AgentOp.STOP_MINION, 1) == {"refused": "stale_epoch"}
    assert worker.minion.state == SERVING
