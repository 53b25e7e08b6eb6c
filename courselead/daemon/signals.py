"""Signal handling while a process shuts down."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator

import structlog

_LOGGER = structlog.get_logger(__name__)

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that an entry host handles while it runs."""


async def log_ignored_signals(received: AsyncIterator[signal.Signals]) -> None:
    """Log and ignore each signal that a leaving host receives.

    Without a handler, a further signal would end the process at once and break the
    exchanges that callers and peers still have with it.
    """
    async for number in received:
        _LOGGER.info("signal_ignored", number=int(number))


def ignore_all() -> None:
    """Ignore signals from now on, because the process is about to exit.

    The handlers end with the event loop. A signal after that would end the process
    with the exit code of a killed process.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
