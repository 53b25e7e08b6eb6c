"""Shared state from the log alone: find the newest snapshot and start there.

Every batch names the newest whole snapshot that its writer knew, so the last
record of the log says where to look. Without one the log is read from its
first record, which must then be offset 0.
"""

from dataclasses import dataclass

import anyio
import structlog
from returns.result import Failure, Success

from courselead.core.fleet.codec import decode_batch
from courselead.core.fleet.records import Batch, SnapshotPart
from courselead.core.fleet.snapshot import SnapshotLoader
from courselead.core.fleet.state import FleetState
from courselead.integrations.platform_log import LogClient, LogPage, OffsetGone

_LOGGER = structlog.get_logger(__name__)

TAIL_RECORDS = 64
PAGE_RECORDS = 500
RETRY_S = 0.5


class StateOutOfReachError(Exception):
    """The log keeps neither its first record nor a whole snapshot.

    Remedy: raise the log's retention above the interval between snapshots
    (`snapshot_every` in the settings), then publish the table anew.
    """


@dataclass(frozen=True, slots=True)
class Start:
    """Where to begin.

    Attributes:
        fleet: State rebuilt so far.
        read_from: Offset to read from.
        end: Offset after the log's last record when this was found.
    """

    fleet: FleetState
    read_from: int
    end: int


@dataclass(frozen=True, slots=True)
class _Bounds:
    """First offset kept, and the one after the last."""

    first: int
    next: int


async def find_start(client: LogClient) -> Start:
    """Return the newest state that the log gives without folding all of it.

    Waits for as long as the log cannot be reached.

    Raises:
        StateOutOfReachError: See there.
    """
    bounds = await _bounds(client)
    pointer = await _newest_pointer(client, bounds)
    if pointer >= bounds.first:
        start = await _load(client, pointer, bounds.next)
        if start is not None:
            return start
    if bounds.first == 0:
        return Start(FleetState(), 0, bounds.next)
    start = await _load(client, bounds.first, bounds.next)
    if start is None:
        raise StateOutOfReachError(
            f"the log begins at offset {bounds.first} and holds no whole "
            "snapshot: raise its retention or lower snapshot_every"
        )
    return start


async def _read(client: LogClient, offset: int) -> LogPage | OffsetGone:
    """Read one page, trying again until the log answers."""
    while True:
        result = await client.read(offset, PAGE_RECORDS, 0)
        if isinstance(result, Success):
            return result.unwrap()
        failure = result.failure()
        if isinstance(failure, OffsetGone):
            return failure
        _LOGGER.warning("log_unavailable", reason=failure.reason)
        await anyio.sleep(RETRY_S)


async def _bounds(client: LogClient) -> _Bounds:
    """Return which offsets the log keeps."""
    page = await _read(client, 0)
    return _Bounds(page.first, page.next)


async def _newest_pointer(client: LogClient, bounds: _Bounds) -> int:
    """Return the newest snapshot offset that the last records name, or -1."""
    offset = max(bounds.first, bounds.next - TAIL_RECORDS)
    page = await _read(client, offset)
    if isinstance(page, OffsetGone):
        return -1
    pointer = -1
    for _, data in page.records:
        batch = decode(data)
        if batch is not None:
            pointer = max(pointer, batch.snapshot)
    return pointer


async def _load(client: LogClient, offset: int, end: int) -> Start | None:
    """Return the newest whole snapshot found from an offset on."""
    loader = SnapshotLoader()
    found: FleetState | None = None
    while offset < end:
        page = await _read(client, offset)
        if isinstance(page, OffsetGone):
            return None
        if not page.records:
            break
        for position, data in page.records:
            loaded = _feed(loader, position, data)
            if loaded is not None:
                found = loaded
        if found is not None:
            return Start(found, found.offset + 1, end)
        offset = page.records[-1][0] + 1
    return None


def _feed(loader: SnapshotLoader, offset: int, data: bytes) -> FleetState | None:
    """Give the snapshot parts of one record to the loader."""
    batch = decode(data)
    if batch is None:
        return None
    found = None
    for record in batch.records:
        if not isinstance(record, SnapshotPart):
            continue
        loaded = loader.add(offset, record)
        if loaded is not None:
            found = loaded
    return found


def decode(data: bytes) -> Batch | None:
    """Return the batch, or None for bytes that are none: they change nothing."""
    result = decode_batch(data)
    if isinstance(result, Failure):
        _LOGGER.error("record_malformed", reason=str(result.failure()))
        return None
    return result.unwrap()
