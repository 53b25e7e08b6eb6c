"""Signals that reach a daemon while it starts, before its event loop handles them.

The imports alone take some tenths of a second, in which the default actions of the
signals would end the process like a killed one.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

EXIT_OK = 0


class StartupSignals:
    """Handlers for the time from the start of the process to its event loop's own.

    SIGTERM and SIGINT end the process at once and cleanly, as it serves nobody yet.
    SIGHUP is remembered: the settings may have been read already.
    """

    def __init__(self) -> None:
        """Install nothing yet."""
        self._reload_requested = False

    @classmethod
    def install(cls) -> StartupSignals:
        """Install the handlers and return the object that remembers SIGHUP."""
        startup = cls()
        signal.signal(signal.SIGHUP, startup._remember_reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _exit)
        return startup

    def repeat(self) -> None:
        """Send this process the SIGHUP that came before its own handler was there."""
        if self._reload_requested:
            self._reload_requested = False
            os.kill(os.getpid(), signal.SIGHUP)

    def _remember_reload(self, number: int, frame: FrameType | None) -> None:
        self._reload_requested = True


def _exit(number: int, frame: FrameType | None) -> None:
    # An exception could be handled by whatever runs at the moment, such as an import.
    os._exit(EXIT_OK)
