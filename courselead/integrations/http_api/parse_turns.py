"""Limits the time that each iteration of the event loop spends on parsing bodies."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

LINES_PER_ITERATION = 512
"""Lines of chunked bodies parsed at once in an iteration: about 2 ms. The parser is
written in Python, and its cost is that of the chunks, not that of their bytes."""

TURN_BYTES = 2_048
"""Bytes that are parsed in one turn: up to 340 chunks of a byte."""


class TurnTaker(Protocol):
    """A connection with received data that it has not parsed."""

    def take_turn(self) -> bool:
        """Parse up to `TURN_BYTES` and return whether more is left."""
        ...


class ParseTurns:
    """Spreads the parsing of costly data over iterations of the event loop.

    Connections whose data does not fit into the iteration in which it was read parse it
    in turns, one turn an iteration. While several connections wait, the loop is left
    idle for as long as each turn took, so that they use half of its time at most.
    """

    def __init__(self) -> None:
        """Initialize without waiting connections."""
        self._lines = 0
        self._waiting: deque[TurnTaker] = deque()
        self._scheduled = False
        self._reset_scheduled = False

    def admit(self, lines: int) -> bool:
        """Return whether lines may be parsed in this iteration, and count them."""
        if self._waiting or self._lines + lines > LINES_PER_ITERATION:
            return False
        self._lines += lines
        if not self._reset_scheduled:
            self._reset_scheduled = True
            asyncio.get_running_loop().call_soon(self._reset)
        return True

    def add(self, taker: TurnTaker) -> None:
        """Let a connection parse its data in turns; it must not wait already."""
        self._waiting.append(taker)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _reset(self) -> None:
        self._reset_scheduled = False
        self._lines = 0

    def _run_turn(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        taker = self._waiting.popleft()
        if taker.take_turn():
            self._waiting.append(taker)
        if not self._waiting:
            self._scheduled = False
            return
        if len(self._waiting) == 1:
            loop.call_soon(self._run_turn)
            return
        loop.call_later(loop.time() - began, self._run_turn)
