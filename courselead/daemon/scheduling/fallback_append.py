"""Appends on the direct path to the store, with a fallback to another host."""

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
    NotAppended,
    UnexpectedEnd,
)

RELAY_FALLBACK_S = 0.5
"""Time without any response on the direct path until an append is also relayed. Calls
to a slow store take 0.25 to 0.65 s, and several are in progress at a time."""

AppendResult = Result[Appended, AppendError]
AppendCall = Callable[[], Awaitable[AppendResult]]


class DirectPath(Protocol):
    """State of this host's direct path to the store."""

    def answered_since(self, at: float) -> bool:
        """Return whether a call on the direct path was answered after a given time."""
        ...

    def note_direct_attempt(self, reached: bool) -> None:
        """Record whether an attempt on the direct path reached the store."""
        ...


class FallbackAppend:
    """One append on the direct path that is also relayed if that path is silent.

    It is safe if both succeed: records have keys, and an owner's append has a sequence
    number. While other calls on the direct path are answered the store is only slow,
    and a relayed append would be one more in its queue.
    """

    def __init__(self, direct_path: DirectPath) -> None:
        """Initialize without sending the append."""
        self._direct_path = direct_path
        self._begun = anyio.current_time()
        self._changed = anyio.Event()
        self._direct_result: AppendResult | None = None
        self._relayed_result: AppendResult | None = None

    async def append(self, direct: AppendCall, relayed: AppendCall) -> AppendResult:
        """Return the first response of the store, or the reason why there is none."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._append_direct, direct)
            await self._wait_for_direct()
            if not _is_answer(self._direct_result):
                tasks.start_soon(self._append_relayed, relayed)
            while not self._is_finished:
                self._changed = anyio.Event()
                await self._changed.wait()
            tasks.cancel_scope.cancel()
        return self._outcome()

    async def _wait_for_direct(self) -> None:
        """Wait for the direct append, or until the direct path answers no call."""
        since = self._begun
        while self._direct_result is None:
            with anyio.move_on_after(RELAY_FALLBACK_S):
                await self._changed.wait()
            if self._direct_result is None and not self._direct_path.answered_since(
                since
            ):
                return
            since = anyio.current_time()

    @property
    def _is_finished(self) -> bool:
        if _is_answer(self._direct_result) or _is_answer(self._relayed_result):
            return True
        return self._direct_result is not None and self._relayed_result is not None

    async def _append_direct(self, direct: AppendCall) -> None:
        self._direct_result = await direct()
        self._direct_path.note_direct_attempt(_is_answer(self._direct_result))
        self._changed.set()

    async def _append_relayed(self, relayed: AppendCall) -> None:
        self._relayed_result = await relayed()
        if _is_answer(self._relayed_result) and self._direct_result is None:
            self._direct_path.note_direct_attempt(False)
        self._changed.set()

    def _outcome(self) -> AppendResult:
        for result in (self._direct_result, self._relayed_result):
            if result is not None and _is_answer(result):
                return result
        assert self._direct_result is not None and self._relayed_result is not None
        direct, relayed = self._direct_result.failure(), self._relayed_result.failure()
        # If either outcome is unknown, the result is unknown.
        for error in (direct, relayed):
            if isinstance(error, AppendUnknown):
                return Failure(error)
        message = (
            f"own way: {failure_reason(direct)}; other hosts: {failure_reason(relayed)}"
        )
        return Failure(NotAppended(message))


def _is_answer(result: AppendResult | None) -> bool:
    """Return whether the store has responded: stored, or permanently refused."""
    if result is None:
        return False
    return isinstance(result, Success) or isinstance(
        result.failure(), AppendFenced | UnexpectedEnd
    )


def failure_reason(error: AppendError) -> str:
    """Return a short reason why an append failed."""
    return error.reason if isinstance(error, NotAppended) else type(error).__name__
