"""The runtime's order of events, its faults, and exchanges with minions."""

import anyio
import pytest

from courselead.core.effects import (
    Abort,
    Note,
    Problem,
    ProblemKind,
    ReplyProblem,
    RunState,
    Send,
)
from courselead.core.events import (
    AnswerBroken as BrokenEvent,
    AnswerEnded,
    AnswerStarted,
    BatchesRead,
    CallerGone,
    NotRunReason,
    SendNotRun,
    Tick,
)
from courselead.core.reducer import CoreState
from courselead.core.table import RequestClass
from courselead.daemon import runtime as module
from courselead.daemon.exchanges import Exchanges
from courselead.daemon.handles import Handle
from courselead.daemon.runtime import Runtime
from courselead.integrations.http_api.errors import AnswerBroken
from courselead.integrations.http_api.host import Answer, IncomingRequest
from standins.minion import Minion, MinionSpec
from tests.core.helpers import identity

pytestmark = pytest.mark.anyio


class Ports:
    def __init__(self):
        self.measures = []

    def measure(self, effect):
        self.measures.append(effect)


def request(rid="r1", headers=(), deadline_ms=5_000):
    return IncomingRequest(
        request_id=rid,
        client_account="aloisi",
        service="port",
        method="POST",
        target=b"/echo",
        headers=headers,
        body=b"manifest",
        request_class=RequestClass.NORMAL,
        idempotent=False,
        key="",
        fingerprint="f",
        deadline_ms=deadline_ms,
    )


def new_runtime(reduce, monkeypatch):
    monkeypatch.setattr(module, "reduce", reduce)
    return Runtime(CoreState(identity()), None, Ports())


def test_an_event_made_by_an_effect_waits_for_the_present_one(monkeypatch):
    order = []

    def reduce(state, event):
        order.append(event.now_ms)
        return state, (Note("info", "x"),) if event.now_ms == 1 else ()

    runtime = new_runtime(reduce, monkeypatch)
    monkeypatch.setattr(
        module, "_note", lambda effect: runtime.dispatch(Tick(2, 2)) or order.append(0)
    )
    runtime.dispatch(Tick(1, 1))
    assert order == [1, 0, 2]


def test_a_local_event_that_fails_is_dropped_counted_and_answered(monkeypatch):
    def reduce(state, event):
        raise ValueError("a fault of the core")

    runtime = new_runtime(reduce, monkeypatch)
    handle = Handle(request(), lambda rid: None)
    runtime._handles["r1"] = handle
    runtime.dispatch(CallerGone(1, "r1"))
    assert [one.label for one in runtime._ports.measures] == ["CallerGone"]
    assert handle.resolved


def test_a_shared_event_that_fails_ends_the_daemon(monkeypatch):
    def reduce(state, event):
        raise ValueError("a fault of the core")

    runtime = new_runtime(reduce, monkeypatch)
    with pytest.raises(ValueError, match="a fault"):
        runtime.dispatch(BatchesRead(1, ()))


def test_a_request_has_one_final_answer(monkeypatch):
    runtime = new_runtime(lambda state, event: (state, ()), monkeypatch)
    handle = Handle(request(), lambda rid: None)
    runtime._handles["r1"] = handle
    first = Problem(ProblemKind.DEADLINE, RunState.NOT_RUN, "late")
    second = Problem(ProblemKind.DEADLINE, RunState.UNKNOWN, "later")
    runtime._perform(ReplyProblem("r1", first))
    runtime._perform(ReplyProblem("r1", second))
    assert handle._reply is first


@pytest.fixture
async def bench():
    """Yield a minion with the exchanges to it and the events that come of them."""
    minion = Minion(MinionSpec("port", "w1", 1))
    events = []
    async with anyio.create_task_group() as group:
        await group.start(minion.listener.run)
        exchanges = Exchanges(group, events.append)
        yield minion, exchanges, events
        exchanges.close()
        minion.listener.abort()


def send(minion, timeout_ms=5_000, attempt=1):
    return Send("r1", attempt, "w1", minion.listener.address, True, timeout_ms)


async def until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


async def test_an_answer_is_passed_on_whole(bench):
    minion, exchanges, events = bench
    handle = Handle(request(), lambda rid: None)
    exchanges.send(send(minion), handle)
    reply = await handle.reply()
    assert isinstance(reply, Answer)
    body = b"".join([chunk async for chunk in reply.body])
    await until(lambda: len(events) == 2)
    started, ended = events
    assert isinstance(started, AnswerStarted)
    assert isinstance(ended, AnswerEnded)
    assert ended.body == body
    assert ended.body_kept


async def test_a_large_answer_is_not_kept(bench):
    minion, exchanges, events = bench
    headers = ((b"x-standin-answer-bytes", b"9000"),)
    handle = Handle(request(headers=headers), lambda rid: None)
    exchanges.send(send(minion), handle)
    reply = await handle.reply()
    size = sum([len(chunk) async for chunk in reply.body])
    await until(lambda: len(events) == 2)
    assert size >= 9_000
    assert (events[1].body, events[1].body_kept) == (b"", False)


async def test_an_abort_leaves_no_answer_and_no_event(bench):
    minion, exchanges, events = bench
    headers = ((b"x-standin-work-ms", b"60000"),)
    handle = Handle(request(headers=headers), lambda rid: None)
    exchanges.send(send(minion), handle)
    await until(lambda: minion.runs.executions == 1)
    exchanges.abort(Abort("r1", 1))
    await until(lambda: not exchanges._scopes)
    assert events == []
    assert not handle.resolved


async def test_a_body_cut_short_looks_broken_to_the_caller(bench):
    minion, exchanges, events = bench
    headers = ((b"x-standin-answer-bytes", b"900000"),)
    handle = Handle(request(headers=headers), lambda rid: None)
    exchanges.send(send(minion), handle)
    reply = await handle.reply()
    exchanges.abort(Abort("r1", 1))
    with pytest.raises(AnswerBroken):
        async for _ in reply.body:
            pass


async def test_an_answer_for_a_caller_that_had_its_final_one_goes_nowhere(bench):
    minion, exchanges, events = bench
    handle = Handle(request(), lambda rid: None)
    handle.resolve(Problem(ProblemKind.DEADLINE, RunState.UNKNOWN, "late"))
    exchanges.send(send(minion), handle)
    await until(lambda: len(events) == 2)
    assert isinstance(events[1], BrokenEvent)


async def test_a_refused_connection_is_not_run(bench):
    minion, exchanges, events = bench
    minion.listener.abort()
    handle = Handle(request(), lambda rid: None)
    exchanges.send(send(minion), handle)
    await until(lambda: len(events) == 1)
    (event,) = events
    assert isinstance(event, SendNotRun)
    assert event.reason is NotRunReason.REFUSED
