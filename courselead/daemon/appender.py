"""Performs the `Append` effect: appends batches to the log, one at a time."""

from collections.abc import Callable

import anyio
import structlog
from returns.result import Success

from courselead.core.events import AppendEnded, AppendResult, Event
from courselead.core.fleet.codec import encode_batch
from courselead.core.fleet.records import Batch
from courselead.daemon.clock import now_ms
from courselead.integrations.platform_log import AppendRefused, LogClient

_LOGGER = structlog.get_logger(__name__)

APPEND_TIMEOUT_S = 3.0


class Appender:
    """Appends batches and dispatches the result of each append."""

    def __init__(self, client: LogClient, dispatch: Callable[[Event], None]) -> None:
        """Initialize; nothing is appended before `run`.

        Args:
            client: Client of the log that nothing else uses for appends.
            dispatch: Receives the result of each append as an event.
        """
        self._client = client
        self._dispatch = dispatch
        self._send, self._receive = anyio.create_memory_object_stream[Batch](16)

    def append(self, batch: Batch) -> None:
        """Queue a batch; the core has only one in flight at a time."""
        self._send.send_nowait(batch)

    async def run(self) -> None:
        """Append queued batches for as long as the daemon runs."""
        async for batch in self._receive:
            event = await self._append(batch)
            self._dispatch(event)

    async def _append(self, batch: Batch) -> AppendEnded:
        """Append one batch and return its result as an event."""
        data = encode_batch(batch)
        result = await self._client.append(data, APPEND_TIMEOUT_S)
        if isinstance(result, Success):
            offset = result.unwrap()
            return AppendEnded(now_ms(), batch.seq, AppendResult.STORED, offset)
        failure = result.failure()
        outcome = AppendResult.UNKNOWN
        if isinstance(failure, AppendRefused):
            outcome = AppendResult.NOT_STORED
        _LOGGER.warning(
            "append_failed", seq=batch.seq, outcome=outcome, reason=failure.reason
        )
        return AppendEnded(now_ms(), batch.seq, outcome)
