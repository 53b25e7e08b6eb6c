"""Signals to an entry host that has only just been started."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from courselead.startup_signals import StartupSignals
from demo.job_site import JobSite, running_site
from tests.processes.system import COURSELEAD

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

MOMENTS_S = (0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0)
"""Times after a process has begun to handle its signals."""

STARTUP_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

LIBRARY = "anyio"
"""Stands for all libraries; their imports take some tenths of a second."""

CAUGHT_SIGNALS = re.compile(r"SigCgt:\s*([0-9a-f]+)")


@pytest.fixture
async def site(tmp_path) -> JobSite:
    async with running_site(COURSELEAD, tmp_path) as site:
        yield site


def handles(pid: int, number: int) -> bool:
    """Return whether a process has a handler for a signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    caught = int(CAUGHT_SIGNALS.search(status)[1], 16)
    return bool(caught >> (number - 1) & 1)


async def start_and_signal(site: JobSite, number: int, after_s: float) -> str:
    """Restart a host and send it a signal once it handles it; return its name."""
    host = site.hosts[0]
    await site.processes.kill(host.name)
    await site.start(host)
    with anyio.fail_after(30):
        while not handles(site.processes.pid(host.name), number):
            await anyio.sleep(0.001)
    await anyio.sleep(after_s)
    site.processes.signal(host.name, number)
    return host.name


async def test_sighup_during_the_start_does_not_end_a_host(site: JobSite) -> None:
    # A host that got SIGHUP in its first 0.3 s ended.
    for after_s in MOMENTS_S:
        await start_and_signal(site, signal.SIGHUP, after_s)
        await site.wait_until_ready(site.hosts[0])


async def test_sigterm_during_the_start_ends_a_host_cleanly(site: JobSite) -> None:
    # A host that got SIGTERM before it served ended like a killed one.
    for after_s in MOMENTS_S:
        name = await start_and_signal(site, signal.SIGTERM, after_s)
        assert await site.processes.end(name) == 0
        await site.start(site.hosts[0])


def test_signals_are_handled_before_the_libraries_are_loaded() -> None:
    # Until then, a signal has its default action and ends the process.
    code = f"""
import runpy, signal, sys
set_handler = signal.signal
def record(*args):
    print(int(args[0]), "{LIBRARY}" in sys.modules)
    return set_handler(*args)
signal.signal = record
sys.argv = ["courselead", "serve", "--platform"]
runpy.run_module("courselead", run_name="__main__", alter_sys=True)
"""
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
    )
    first_lines = result.stdout.splitlines()[: len(STARTUP_SIGNALS)]
    assert first_lines == [f"{int(number)} False" for number in STARTUP_SIGNALS]


def test_a_sighup_that_came_too_early_is_repeated() -> None:
    received = []
    kept = {number: signal.getsignal(number) for number in STARTUP_SIGNALS}
    try:
        startup = StartupSignals.install()
        os.kill(os.getpid(), signal.SIGHUP)
        signal.signal(signal.SIGHUP, lambda number, frame: received.append(number))
        startup.repeat()
        startup.repeat()
    finally:
        for number, handler in kept.items():
            signal.signal(number, handler)
    assert received == [signal.SIGHUP]
