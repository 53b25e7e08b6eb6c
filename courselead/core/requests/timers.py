"""Timer wheel for request deadlines and retry times."""

from courselead.core.requests.state import Phase, RequestState
from courselead.core.requests.turn import Turn

SLOT_MS = 32


def due_ms(req: RequestState) -> int:
    """Return the next time at which a request must be processed."""
    if req.phase is Phase.DELAYED:
        return min(req.due_ms, req.deadline_ms)
    return req.deadline_ms


def schedule(turn: Turn, request_id: str, at_ms: int) -> None:
    """Add a timer for a request."""
    slot = max(at_ms // SLOT_MS, turn.timer_slot)
    turn.timers = turn.timers.set(slot, (*turn.timers.get(slot, ()), request_id))


def pop_due(turn: Turn) -> list[RequestState]:
    """Return the requests that are due, and remove expired timer entries.

    An entry of a request that has ended or changed phase is dropped only when its
    slot is due, since removing it earlier would cost more than it saves.
    """
    now_slot = turn.now // SLOT_MS
    if turn.timer_slot < 0:
        turn.timer_slot = now_slot
    due: list[RequestState] = []
    for slot in _due_slots(turn, now_slot):
        ids = turn.timers.get(slot)
        if ids is None:
            continue
        kept = []
        for request_id in dict.fromkeys(ids):
            req = turn.requests.get(request_id)
            if req is None:
                continue
            at_ms = due_ms(req)
            if at_ms <= turn.now:
                due.append(req)
                # The deadline may be in the same slot as a retry that is due.
                at_ms = req.deadline_ms
            if at_ms > turn.now and slot == now_slot and at_ms // SLOT_MS == slot:
                kept.append(request_id)
        turn.timers = turn.timers.delete(slot)
        if kept:
            turn.timers = turn.timers.set(now_slot, tuple(kept))
    turn.timer_slot = now_slot
    return due


def _due_slots(turn: Turn, now_slot: int) -> list[int]:
    """Return the slots that are due, in ascending order."""
    if now_slot - turn.timer_slot <= len(turn.timers):
        return list(range(turn.timer_slot, now_slot + 1))
    return sorted(slot for slot in turn.timers if slot <= now_slot)
