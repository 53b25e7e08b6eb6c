"""Turns of demand are seen, and the next one is expected."""

from courselead.core.scheduler.turns import TurnMemory, Turns

TICK_MS = 100
PEAK = 300_000


def follow(turns: Turns, wall_ms: int, for_ms: int, jobs: int) -> int:
    for _ in range(for_ms // TICK_MS):
        wall_ms += TICK_MS
        turns.follow(wall_ms, jobs * PEAK // 20, jobs)
    return wall_ms


def two_turns() -> tuple[Turns, int]:
    turns = Turns(TurnMemory())
    wall_ms = follow(turns, 1_000_000, 5_000, 0)
    for _ in range(2):
        wall_ms = follow(turns, wall_ms, 5_000, 20)
        wall_ms = follow(turns, wall_ms, 15_000, 1)
    return turns, wall_ms


def test_the_time_between_two_turns_is_learned():
    turns, wall_ms = two_turns()
    assert turns.memory.period_ms == 20_000
    assert turns.memory.peak_milli == PEAK
    due_ms = turns.memory.onset_ms + 20_000
    assert turns.due_milli(due_ms - 2_000, 2_200) == PEAK
    assert turns.due_milli(due_ms - 3_000, 2_200) == 0


def test_a_guess_that_does_not_come_true_is_given_up():
    turns, _ = two_turns()
    due_ms = turns.memory.onset_ms + 20_000
    assert turns.due_milli(due_ms + 1_400, 2_200) == PEAK
    assert turns.due_milli(due_ms + 1_600, 2_200) == 0


def test_one_large_job_is_no_turn():
    turns = Turns(TurnMemory())
    wall_ms = follow(turns, 1_000_000, 5_000, 0)
    turns.follow(wall_ms + TICK_MS, PEAK, 1)
    assert not turns.seen


def test_a_short_lull_within_a_turn_does_not_end_it():
    turns = Turns(TurnMemory())
    wall_ms = follow(turns, 1_000_000, 2_000, 20)
    onset_ms = turns.memory.onset_ms
    wall_ms = follow(turns, wall_ms, 1_000, 0)
    follow(turns, wall_ms, 2_000, 20)
    assert turns.memory.onset_ms == onset_ms


def test_a_new_owner_goes_on_with_what_was_learned():
    from courselead.core.scheduler.book import JobBook
    from courselead.core.scheduler.records import OwnerBeat, decode, encode

    turns, _ = two_turns()
    book = JobBook()
    book.apply(decode(encode(OwnerBeat(1, "a", 1, False, {"p": turns.memory}))))
    assert book.turns["p"] == turns.memory
