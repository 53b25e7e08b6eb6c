"""What a process does with signals while it ends."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator

import structlog

_LOGGER = structlog.get_logger(__name__)

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that an entry host handles for as long as it runs."""


async def ignore(received: AsyncIterator[signal.Signals]) -> None:
    """Note each signal to a host that is leaving, and go on.

    Without a handler a second signal would end the process at once, with all that
    callers and peers have under way on it.
    """
    async for number in received:
        _LOGGER.info("signal_ignored", number=int(number))


def ignore_all() -> None:
    """Ignore signals from here on, as the process has nothing left to do but to exit.

    Its handlers go with the event loop; a signal in its last moments would end it with
    the exit code of a process that was killed.
    """
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
