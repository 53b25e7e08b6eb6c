"""A short seeded run of the soak of hosts that are told to end."""

import json
from random import Random

import pytest

from harness.stops import HOSTS, SERIES, draw_strikes, run_stops

pytestmark = pytest.mark.processes

SEEDS = (1, 2)


@pytest.mark.anyio
@pytest.mark.parametrize("seed", SEEDS)
async def test_hosts_that_end_leave_no_request_without_an_answer(
    seed: int, tmp_path
) -> None:
    report = await run_stops(seed, tmp_path)
    assert report.stops > 0
    assert report.broken == [], json.dumps(report.broken)


def test_a_seed_is_a_run() -> None:
    assert draw_strikes(Random(3)) == draw_strikes(Random(3))


def test_every_series_and_every_host_is_drawn() -> None:
    strikes = [strike for seed in range(20) for strike in draw_strikes(Random(seed))]
    assert {strike.series for strike in strikes} == set(SERIES)
    assert {strike.host for strike in strikes} == set(range(HOSTS))
