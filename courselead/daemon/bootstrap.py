"""Restores the fleet state from the log, starting at the newest snapshot.

Every batch contains the offset of the newest complete snapshot that its writer
knew, so the last records of the log point to it. Without a snapshot the log is
read from its first record, which must then have offset 0.
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
RETRY_DELAY_S = 0.5


class StateUnrecoverableError(Exception):
    """The log contains neither its first record nor a complete snapshot.

    To recover, raise the log's retention above the interval between snapshots
    (`snapshot_every` in the settings), then publish the table again.
    """


@dataclass(frozen=True, slots=True)
class StartPoint:
    """State and offset from which to follow the log.

    Attributes:
        fleet: Fleet state restored so far.
        read_from: Offset of the next record to read.
        end: Offset after the log's last record at the time of the search.
    """

    fleet: FleetState
    read_from: int
    end: int


@dataclass(frozen=True, slots=True)
class _Bounds:
    """First offset that the log retains, and the offset after its last record."""

    first: int
    next: int


async def find_start(client: LogClient) -> StartPoint:
    """Return the newest state that can be loaded without replaying the whole log.

    Waits for as long as the log cannot be reached.

    Raises:
        StateUnrecoverableError: The log contains neither its first record nor a
            complete snapshot.
    """
    bounds = await _bounds(client)
    snapshot_offset = await _find_newest_snapshot(client, bounds)
    if snapshot_offset >= bounds.first:
        start = await _load_snapshot(client, snapshot_offset, bounds.next)
        if start is not None:
            return start
    if bounds.first == 0:
        return StartPoint(FleetState(), 0, bounds.next)
    start = await _load_snapshot(client, bounds.first, bounds.next)
    if start is None:
        raise StateUnrecoverableError(
            f"the log begins at offset {bounds.first} and contains no complete "
            "snapshot: raise its retention or lower snapshot_every"
        )
    return start


async def _read(client: LogClient, offset: int) -> LogPage | OffsetGone:
    """Read one page; retry until the log answers."""
    while True:
        result = await client.read(offset, PAGE_RECORDS, 0)
        if isinstance(result, Success):
            return result.unwrap()
        failure = result.failure()
        if isinstance(failure, OffsetGone):
            return failure
        _LOGGER.warning("log_unavailable", reason=failure.reason)
        await anyio.sleep(RETRY_DELAY_S)


async def _bounds(client: LogClient) -> _Bounds:
    """Return the range of offsets that the log retains."""
    page = await _read(client, 0)
    return _Bounds(page.first, page.next)


async def _find_newest_snapshot(client: LogClient, bounds: _Bounds) -> int:
    """Return the newest snapshot offset in the last records, -1 if none."""
    offset = max(bounds.first, bounds.next - TAIL_RECORDS)
    page = await _read(client, offset)
    if isinstance(page, OffsetGone):
        return -1
    snapshot_offset = -1
    for _, data in page.records:
        batch = decode_record(data)
        if batch is not None:
            snapshot_offset = max(snapshot_offset, batch.snapshot)
    return snapshot_offset


async def _load_snapshot(client: LogClient, offset: int, end: int) -> StartPoint | None:
    """Load the newest complete snapshot from the first page that completes one."""
    loader = SnapshotLoader()
    newest: FleetState | None = None
    while offset < end:
        page = await _read(client, offset)
        if isinstance(page, OffsetGone):
            return None
        if not page.records:
            break
        for record_offset, data in page.records:
            loaded = _add_snapshot_parts(loader, record_offset, data)
            if loaded is not None:
                newest = loaded
        if newest is not None:
            return StartPoint(newest, newest.offset + 1, end)
        offset = page.records[-1][0] + 1
    return None


def _add_snapshot_parts(
    loader: SnapshotLoader, offset: int, data: bytes
) -> FleetState | None:
    """Pass the snapshot parts of one record to the loader.

    Returns:
        The state of the newest snapshot that they complete, None if none.
    """
    batch = decode_record(data)
    if batch is None:
        return None
    newest = None
    for record in batch.records:
        if not isinstance(record, SnapshotPart):
            continue
        loaded = loader.add(offset, record)
        if loaded is not None:
            newest = loaded
    return newest


def decode_record(data: bytes) -> Batch | None:
    """Decode a batch; return None for malformed data, which changes nothing."""
    result = decode_batch(data)
    if isinstance(result, Failure):
        _LOGGER.error("record_malformed", reason=str(result.failure()))
        return None
    return result.unwrap()
