from courselead.core import outbox
from courselead.core.context import Context
from courselead.core.effects import Append
from courselead.core.events import AppendEnded, AppendResult
from courselead.core.fleet.records import HostLeft, SnapshotPart
from courselead.core.fleet.state import FleetState
from courselead.core.outbox import OutboxState
from tests.core.helpers import identity


def ctx(now_ms=0):
    fleet = FleetState()
    return Context(identity(), fleet, (), True, True, False, now_ms, now_ms)


def records(count, first=0):
    return tuple(HostLeft("a", number) for number in range(first, first + count))


def flushed(state, now_ms=0):
    state, effects = outbox.flush(state, ctx(now_ms))
    appends = [effect for effect in effects if isinstance(effect, Append)]
    return state, appends[0].batch if appends else None


def test_a_lone_proposal_leaves_at_once_and_the_next_waits_for_its_end():
    state, batch = flushed(outbox.add(OutboxState(), records(1)))
    assert (batch.seq, batch.records) == (1, records(1))
    state, second = flushed(outbox.add(state, records(2, 1)))
    assert second is None
    state = outbox.ended(state, AppendEnded(5, 1, AppendResult.STORED, 9))
    state, second = flushed(state)
    assert (second.seq, second.records) == (2, records(2, 1))


def test_an_append_with_a_lost_answer_is_sent_again_under_the_same_number():
    state, first = flushed(outbox.add(OutboxState(), records(1)))
    state = outbox.add(state, records(1, 1))
    state = outbox.ended(state, AppendEnded(10, 1, AppendResult.UNKNOWN))
    assert flushed(state, 10)[1] is None
    state, again = flushed(state, 10 + outbox.RETRY_MS)
    assert again == first
    state = outbox.seen(state, 1)
    state, second = flushed(state, 1_000)
    assert second.seq == 2


def test_an_end_of_another_batch_changes_nothing():
    state, _ = flushed(outbox.add(OutboxState(), records(1)))
    assert outbox.ended(state, AppendEnded(1, 7, AppendResult.STORED)) == state
    assert outbox.seen(state, 0) == state


def test_appends_are_paced_and_grouped():
    state = OutboxState()
    sent = []
    for now_ms in range(0, 2_000, 5):
        state = outbox.add(state, records(1, now_ms))
        state, batch = flushed(state, now_ms)
        if batch is None:
            continue
        sent.extend(batch.records)
        state = outbox.ended(state, AppendEnded(now_ms, batch.seq, AppendResult.STORED))
    appends = state.next_seq - 1
    assert appends <= outbox.BURST + 2 * outbox.LOG_APPENDS_PER_S
    assert len(sent) + len(state.pending) == 400


def test_a_snapshot_part_ends_its_batch_and_the_outbox_is_bounded():
    part = SnapshotPart(1, 0, 1, "d", "a", b"x")
    state = outbox.add(OutboxState(), (*records(2), part, *records(3, 2)))
    _, batch = flushed(state)
    assert batch.records == (*records(2), part)
    state = outbox.add(OutboxState(), records(outbox.MAX_PENDING + 5))
    assert (len(state.pending), state.dropped) == (outbox.MAX_PENDING, 5)


def test_a_new_incarnation_counts_from_one_again():
    state, _ = flushed(outbox.add(OutboxState(), records(1)))
    assert outbox.idle(outbox.renew(state))
    assert outbox.renew(state).next_seq == 1
