"""The smallest tests of the faults that the matrix found."""

from courselead.core.effects import Abort, ReplyProblem, Send
from courselead.core.events import SendUnknown
from courselead.core.requests.timers import SLOT_MS
from tests.core.requests.fixtures import Host, fleet_of, worker_state


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
