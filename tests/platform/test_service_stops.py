"""Stops of long-running tasks while starts on the same minion are not answered.

Regression tests: all connections to a minion were waiting for answers to starts, so a
stop left two seconds after it had been decided, and ended a task that had begun late
and worked by then, while others of its step were missing.
"""

import anyio
import pytest

from courselead.core.scheduler.events import Outcome, StartRun, StopRun
from courselead.platform import const
from tests.platform.serving import always
from tests.platform.test_bound_starts import Address, Incarnation

pytestmark = pytest.mark.anyio

FENCE = 7
STARTS = 3 * const.ORDER_CONNECTIONS
SERVICE_STOP = StopRun("i-1", "t.0.0.0", 1, "no progress", expires_ms=1)


def never() -> bool:
    return False


async def test_a_stop_of_a_service_does_not_wait_behind_unanswered_starts():
    minion, finished, address = Incarnation(0, silent=True), anyio.Event(), Address()
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, minion, finished)
        link = address.link(born_ms=0)
        async with anyio.create_task_group() as starts:
            for number in range(STARTS):
                order = StartRun("i-1", f"s.0.0.{number}", 1, "text", 9_000, "", "")
                starts.start_soon(link.start, order, FENCE, always)
            while len(minion.starts) < const.ORDER_CONNECTIONS:
                await anyio.sleep(0)
            answer = await link.stop(SERVICE_STOP, FENCE, always)
            # No further start has found a free connection yet.
            assert len(minion.starts) == const.ORDER_CONNECTIONS
            starts.cancel_scope.cancel()
        assert answer.outcome is Outcome.OK
        finished.set()
        link.close()


async def test_a_stop_that_may_not_be_sent_any_more_is_not_sent():
    minion, finished, address = Incarnation(0), anyio.Event(), Address()
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, minion, finished)
        link = address.link(born_ms=0)
        answer = await link.stop(SERVICE_STOP, FENCE, never)
        assert answer.outcome is Outcome.NOT_SENT
        finished.set()
        link.close()
