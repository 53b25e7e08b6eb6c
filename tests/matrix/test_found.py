"""The smallest tests of the faults that the matrix found."""

from courselead.core.effects import Abort, ReplyProblem, Send
from courselead.core.events import MembersListed, SendUnknown
from courselead.core.requests.state import OLD_LIST_MS
from courselead.core.requests.timers import SLOT_MS
from tests.core.requests.fixtures import Host, fleet_of, sends, worker_state


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
