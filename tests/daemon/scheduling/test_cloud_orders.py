"""Orders to the cloud that are stored first, which may take seconds.

Regression test: a worker that lost its minion in the meantime was maintained although
its next minion had been given a task of a service.
"""

from types import SimpleNamespace

import pytest

from courselead.core.scheduler import events as ev
from courselead.daemon.scheduling.cloud_tasks import CloudTasks
from courselead.daemon.scheduling.ports import OrderResult
from tests.core.scheduler.test_service_plays import make_world, restart_with_service

pytestmark = pytest.mark.anyio


class FakeCloud:
    """Carries out all orders."""

    def __init__(self) -> None:
        self.ordered: list[str] = []

    async def maintain(self, worker_id: str, wave: int, fence: int) -> OrderResult:
        self.ordered.append(worker_id)
        return OrderResult(ev.Outcome.OK)

    async def move(self, worker_id: str, pool: str, fence: int) -> OrderResult:
        self.ordered.append(worker_id)
        return OrderResult(ev.Outcome.OK)


class FakeOwner:
    """An owner that keeps the answers to its orders."""

    fence = 1

    def __init__(self, scheduler) -> None:
        self.scheduler = scheduler
        self.answers: list[ev.CloudOrderAnswered] = []

    def handle(self, event) -> None:
        self.answers.append(event)


ORDERS = [ev.MaintainWorker("w0", 1), ev.MoveWorker("w0", "other")]


@pytest.mark.parametrize("order", ORDERS)
async def test_an_order_is_not_sent_once_an_unknown_minion_may_serve(order):
    world = make_world()
    cloud, owner = FakeCloud(), FakeOwner(world.owner)
    tasks = CloudTasks(owner, SimpleNamespace(cloud=cloud), SimpleNamespace())
    await tasks.order(order)
    assert cloud.ordered == ["w0"]
    restart_with_service(world)
    await tasks.order(order)
    assert cloud.ordered == ["w0"]
    assert [item.outcome for item in owner.answers] == [
        ev.Outcome.OK,
        ev.Outcome.NOT_SENT,
    ]


@pytest.mark.parametrize("order", ORDERS)
async def test_an_order_of_an_owner_that_stepped_down_is_not_sent(order):
    world = make_world()
    cloud, owner = FakeCloud(), FakeOwner(world.owner)
    owner.scheduler = None
    tasks = CloudTasks(owner, SimpleNamespace(cloud=cloud), SimpleNamespace())
    await tasks.order(order)
    assert not cloud.ordered
