"""Demand by turns in virtual time: what is served in time."""

from benchmarks.turns.fleet import TurnFleet
from benchmarks.turns.load import QueueLoad, Turns, draw_jobs
from benchmarks.turns.measure import in_time, worst_windows

QUEUES = (
    QueueLoad("long", 14, 0.7, 2.0, 8, 1_700, 9_800, priority=1),
    QueueLoad("short", 15, 4.6, 1.6, 8, 800, 4_500),
)
SEEDS = range(1, 7)
CALM_MS = 6_000
TURN_MS = 8_000
TAIL_MS = 6_000


def replay(seed: int) -> TurnFleet:
    fleet = TurnFleet(QUEUES)
    fleet.run((), CALM_MS)
    jobs = draw_jobs(QUEUES, Turns(TURN_MS), 2 * TURN_MS, seed)
    fleet.run(jobs, 2 * TURN_MS + TAIL_MS)
    fleet.close()
    return fleet


def test_a_turns_first_seconds_are_served():
    # A quarter of the users' largest load, two turns: 0.860 of it was served in time,
    # and 0.47 in the worst 2 s, before demand was reckoned ahead and a turn's begin
    # left the workers of its pool; 0.878 and 0.56 after.
    fleets = [replay(seed) for seed in SEEDS]
    shares = [in_time(fleet.served) for fleet in fleets]
    worst = [worst_windows(fleet.served, 1) for fleet in fleets]
    assert sum(shares) / len(shares) > 0.87
    assert sum(worst) / len(worst) > 0.52


def test_all_jobs_of_a_replay_end():
    fleet = replay(1)
    assert fleet.starts > 0
    assert all(job.late_ms < float("inf") for job in fleet.served)
