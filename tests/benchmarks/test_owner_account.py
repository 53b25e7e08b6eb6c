"""Which part of the owner's process a stack belongs to."""

import pytest

from benchmarks.owner.account import each_start_us, merged, part_of


@pytest.mark.parametrize(
    ("modules", "part"),
    [
        (["courselead.core.scheduler.placement", "anyio._core"], "decision"),
        (["structlog._base", "courselead.daemon.scheduling.owner"], "logs"),
        (["httptools.parser", "courselead.platform.minions"], "minion calls"),
        (["courselead.integrations.lean_http.pool", "asyncio.events"], "connections"),
        (["selectors", "courselead.daemon.scheduling.main", "runpy"], "event loop"),
        (["anyio.abc", "courselead.daemon.scheduling.owner"], "owner"),
        (["courselead.daemon.scheduling.relay_app", "uvicorn"], "callers"),
        (["json.encoder"], "other"),
    ],
)
def test_a_stack_belongs_to_the_innermost_part_of_the_program(modules, part):
    assert part_of(modules) == part


def test_samples_share_the_processor_time_of_all_starts():
    samples = merged([{"decision": 30, "logs": 5}, {"logs": 15}])
    assert each_start_us(samples, 0.5, 1_000) == {"decision": 300.0, "logs": 200.0}
