"""Starts that wait for a connection to their minion while others are not answered.

Regression test: whether a start was still wanted was asked before that wait, so it
could leave seconds after its zone had been evacuated or its job cancelled.
"""

import anyio
import pytest

from courselead.core.scheduler.events import Outcome, StartRun
from courselead.platform import const
from tests.platform.serving import always
from tests.platform.test_bound_starts import Address, Incarnation

pytestmark = pytest.mark.anyio

FENCE = 7


def order(task: str) -> StartRun:
    return StartRun("i-1", task, 1, "text", 9_000, "", "")


async def test_a_start_that_is_not_wanted_after_its_wait_is_not_sent():
    minion, finished, address = Incarnation(0, silent=True), anyio.Event(), Address()
    outcomes = []
    wanted = True
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, minion, finished)
        link = address.link(born_ms=0)

        async def start_late() -> None:
            answer = await link.start(order("late"), FENCE, lambda: wanted)
            outcomes.append(answer.outcome)

        async with anyio.create_task_group() as starts:
            for number in range(const.ORDER_CONNECTIONS):
                starts.start_soon(link.start, order(f"s.{number}"), FENCE, always)
            while len(minion.starts) < const.ORDER_CONNECTIONS:
                await anyio.sleep(0)
            starts.start_soon(start_late)
            await anyio.sleep(0)
            wanted = False
        assert outcomes == [Outcome.NOT_SENT]
        assert "late" not in {body["task"] for body in minion.starts}
        finished.set()
        link.close()
