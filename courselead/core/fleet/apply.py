"""Applies the batches of the log in order, deterministically on every entry host."""

from collections.abc import Callable
from dataclasses import replace

import xxhash

from courselead.core.fleet import (
    claims,
    hosts,
    jobs,
    snapshot,
    stops,
    tables,
    verdicts,
    workers,
    zones,
)
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.queries import is_live
from courselead.core.fleet.records import (
    Batch,
    ClaimsEnded,
    ClaimsMade,
    HostBeat,
    HostJoined,
    HostLeft,
    HostLost,
    JobPlaced,
    JobsCancelled,
    JobsEnded,
    JobsSubmitted,
    MinionStopped,
    MinionUp,
    Record,
    SnapshotPart,
    StopCancelled,
    StopPlanned,
    TablePublished,
    WorkerAssigned,
    WorkerBack,
    WorkerDown,
    WorkerQuarantined,
    WorkerRebooted,
    WorkersGone,
    WorkersSeen,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.fleet.state import AppliedRecord, FleetState, Verdict

MAX_RECENT_DIGESTS = 64

Handler = Callable[[FleetState, Origin, Record], tuple[FleetState, Verdict]]

HANDLERS: dict[type, Handler] = {
    HostJoined: hosts.host_joined,
    HostBeat: hosts.host_beat,
    HostLeft: hosts.host_left,
    HostLost: hosts.host_lost,
    TablePublished: tables.table_published,
    ZoneEvacuated: zones.zone_evacuated,
    ZoneRestored: zones.zone_restored,
    WorkersSeen: workers.workers_seen,
    WorkersGone: workers.workers_gone,
    WorkerAssigned: workers.worker_assigned,
    MinionUp: workers.minion_up,
    WorkerDown: workers.worker_down,
    WorkerBack: workers.worker_back,
    WorkerQuarantined: workers.worker_quarantined,
    StopPlanned: stops.stop_planned,
    StopCancelled: stops.stop_cancelled,
    MinionStopped: stops.minion_stopped,
    WorkerRebooted: stops.worker_rebooted,
    ClaimsMade: claims.claims_made,
    ClaimsEnded: claims.claims_ended,
    JobsSubmitted: jobs.jobs_submitted,
    JobPlaced: jobs.job_placed,
    JobsEnded: jobs.jobs_ended,
    JobsCancelled: jobs.jobs_cancelled,
    SnapshotPart: snapshot.snapshot_part,
}


class LogGapError(Exception):
    """Batches between the newest applied one and the received one are missing."""

    def __init__(self, applied_offset: int, received_offset: int) -> None:
        super().__init__(
            f"received offset {received_offset} but applied only up to "
            f"{applied_offset}: read the log from {applied_offset + 1} on, or load a "
            "snapshot if the log has been truncated"
        )
        self.applied_offset = applied_offset
        self.received_offset = received_offset


def apply_batch(
    fleet: FleetState, offset: int, batch: Batch | None
) -> tuple[FleetState, tuple[AppliedRecord, ...]]:
    """Apply one batch of the log.

    Args:
        fleet: State after all earlier batches.
        offset: Offset of the batch in the log.
        batch: The batch, or None if its bytes could not be decoded. An undecodable
            batch only advances the offset and the digest.

    Returns:
        The new state and each record of the batch with its verdict, rejected records
        included. There are none in two cases. If the offset has been applied before,
        the state is returned unchanged. If the batch is a second copy at a new offset
        (sent again because the response to its append was lost), only the offset and
        the digest advance, as for an undecodable batch.

    Raises:
        LogGapError: Earlier batches have not been applied.
    """
    if offset <= fleet.offset:
        return fleet, ()
    if offset != fleet.offset + 1:
        raise LogGapError(fleet.offset, offset)
    if batch is None or _is_duplicate(fleet, batch):
        return _advance(fleet, offset, ()), ()
    origin = Origin(offset, batch.entry_host, batch.incarnation, batch.seq, batch.at_ms)
    applied = []
    for record in batch.records:
        fleet, verdict = _apply_record(fleet, origin, record)
        applied.append(
            AppliedRecord(
                offset,
                batch.entry_host,
                batch.incarnation,
                batch.seq,
                record,
                verdict,
            )
        )
    results = tuple(applied)
    fleet = _with_last_seq(fleet, batch)
    return _advance(fleet, offset, results), results


def _apply_record(
    fleet: FleetState, origin: Origin, record: Record
) -> tuple[FleetState, Verdict]:
    """Apply one record if the host that appended it is a live member.

    `HostJoined` is passed to its handler without this check.
    """
    record_type = type(record)
    if record_type is not HostJoined and not is_live(
        fleet, origin.entry_host, origin.incarnation
    ):
        return fleet, verdicts.rejected(verdicts.NOT_MEMBER)
    handler = HANDLERS.get(record_type)
    if handler is None:
        return fleet, verdicts.rejected(verdicts.RECORD_UNKNOWN)
    return handler(fleet, origin, record)


def _is_duplicate(fleet: FleetState, batch: Batch) -> bool:
    """Return whether a batch with this sequence number has been applied before."""
    host = fleet.hosts.get(batch.entry_host)
    if host is None or host.incarnation != batch.incarnation:
        return False
    return batch.seq <= host.last_seq


def _with_last_seq(fleet: FleetState, batch: Batch) -> FleetState:
    """Return the fleet state with the last sequence number of a host updated."""
    host = fleet.hosts.get(batch.entry_host)
    if host is None or host.incarnation != batch.incarnation:
        return fleet
    if host.last_seq == batch.seq:
        # Already set by the handler of a join or a heartbeat.
        return fleet
    host = replace(host, last_seq=batch.seq)
    return replace(fleet, hosts=fleet.hosts.set(batch.entry_host, host))


def _advance(
    fleet: FleetState, offset: int, applied: tuple[AppliedRecord, ...]
) -> FleetState:
    """Return the fleet state at a new offset, with the chained digest updated."""
    lines = [fleet.digest, str(offset)]
    for entry in applied:
        verdict = entry.verdict
        lines.append(type(entry.record).__name__)
        lines.append(verdict.reason or str(verdict.accepted))
        lines.extend(verdict.items)
    text = "\n".join(lines)
    digest = xxhash.xxh3_64_hexdigest(text.encode())
    recent = fleet.digests[1 - MAX_RECENT_DIGESTS :]
    return replace(
        fleet, offset=offset, digest=digest, digests=(*recent, (offset, digest))
    )
