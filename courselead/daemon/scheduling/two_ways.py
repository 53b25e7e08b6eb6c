"""An append on a host's own way to the store and, if that is silent, on another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
from returns.result import Failure, Result, Success

from courselead.daemon.scheduling.ports import (
    Appended,
    AppendError,
    AppendFenced,
    AppendUnknown,
    EndMoved,
    NotAppended,
)

DETOUR_S = 0.5
"""Time without any answer on the own way until an append is made through another host
beside it: the calls of a slow store take 0.25 to 0.65 s, and several are under way."""

AppendResult = Result[Appended, AppendError]
AppendCall = Callable[[], Awaitable[AppendResult]]


class OwnWay(Protocol):
    """What is known of this host's own way to the store."""

    def answered_since(self, at: float) -> bool:
        """Return whether any call on it was answered after a moment."""
        ...

    def note(self, reached: bool) -> None:
        """Take how an attempt on it went."""
        ...


class TwoWays:
    """One append on the own way and, where that is silent, through another host too.

    Both may store it: records have keys, and an owner's append has a number. While
    other calls are answered on the own way, the store is slow: a detour would only be
    one more append in its line.
    """

    def __init__(self, ways: OwnWay) -> None:
        """Begin with neither way tried."""
        self._ways = ways
        self._begun = anyio.current_time()
        self._changed = anyio.Event()
        self._own: AppendResult | None = None
        self._other: AppendResult | None = None

    async def append(self, own: AppendCall, other: AppendCall) -> AppendResult:
        """Return the first answer of the store's, or why there is none."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._try_own, own)
            await self._until_lost()
            if not _is_answer(self._own):
                tasks.start_soon(self._try_other, other)
            while not self._is_over:
                self._changed = anyio.Event()
                await self._changed.wait()
            tasks.cancel_scope.cancel()
        return self._outcome()

    async def _until_lost(self) -> None:
        """Wait for the own way's end, or until nothing is answered on it any more."""
        since = self._begun
        while self._own is None:
            with anyio.move_on_after(DETOUR_S):
                await self._changed.wait()
            if self._own is None and not self._ways.answered_since(since):
                return
            since = anyio.current_time()

    @property
    def _is_over(self) -> bool:
        if _is_answer(self._own) or _is_answer(self._other):
            return True
        return self._own is not None and self._other is not None

    async def _try_own(self, own: AppendCall) -> None:
        self._own = await own()
        self._ways.note(_is_answer(self._own))
        self._changed.set()

    async def _try_other(self, other: AppendCall) -> None:
        self._other = await other()
        if _is_answer(self._other) and self._own is None:
            self._ways.note(False)
        self._changed.set()

    def _outcome(self) -> AppendResult:
        for result in (self._own, self._other):
            if result is not None and _is_answer(result):
                return result
        assert self._own is not None and self._other is not None
        own, other = self._own.failure(), self._other.failure()
        # What either way left open stays open, whatever the other says.
        for error in (own, other):
            if isinstance(error, AppendUnknown):
                return Failure(error)
        said = f"own way: {reason_of(own)}; other hosts: {reason_of(other)}"
        return Failure(NotAppended(said))


def _is_answer(result: AppendResult | None) -> bool:
    """Return whether the store itself has answered: stored, or refused for good."""
    if result is None:
        return False
    return isinstance(result, Success) or isinstance(
        result.failure(), AppendFenced | EndMoved
    )


def reason_of(error: AppendError) -> str:
    """Return why an append was not made, in short."""
    return error.reason if isinstance(error, NotAppended) else type(error).__name__
