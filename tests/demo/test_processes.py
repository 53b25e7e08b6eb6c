"""A process that ends while signals are sent to it keeps its exit code.

A host that was told to end twice was reported with exit code 255 in place of 0, beside
"Unknown child process pid, will report returncode 255". Signals went through asyncio's
process, which polls before it sends one. A child that has just ended is reaped by that
poll, and the thread that waits for it finds nothing. Of 300 children whose signals were
repeated at once 236 were reported so, none of 300 whose signals went by their ids.
"""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from demo.processes import Processes

pytestmark = pytest.mark.anyio

CHILDREN = 30
REPEATS = 200
SLEEP = ("/bin/sh", "-c", "exec sleep 30")


async def end(processes: Processes, name: str) -> int:
    return await processes.end(name)


async def kill(processes: Processes, name: str) -> int:
    [code] = await processes.kill(name)
    return code


@pytest.mark.parametrize("stop", [end, kill])
async def test_signals_to_a_process_that_ends_leave_its_exit_code(
    tmp_path: Path, stop: Callable[[Processes, str], Awaitable[int]]
) -> None:
    processes = Processes(SLEEP, tmp_path)
    codes = []
    for number in range(CHILDREN):
        name = f"child-{number}"
        await processes.start_daemon(name, tmp_path)
        for _ in range(REPEATS):
            processes.signal(name, signal.SIGTERM)
        codes.append(await stop(processes, name))
    assert codes == [-signal.SIGTERM] * CHILDREN
