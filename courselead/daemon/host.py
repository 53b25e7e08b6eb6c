"""The daemon's implementation of the HTTP interface's `Host` protocol."""

from collections import deque
from dataclasses import replace

from courselead.core.effects import Problem, ReplyAccepted
from courselead.core.events import (
    BatchesRead,
    CallerGone,
    Event,
    JobsCancelAsked,
    JobsOffered,
    RequestArrived,
    TableEdit,
    ZoneCommand,
)
from courselead.core.fleet.records import (
    JobSpec,
    TablePublished,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.fleet.state import FleetState
from courselead.core.requests.settle import in_flight_total
from courselead.daemon import clock
from courselead.daemon.alarms import find_alarms
from courselead.daemon.handles import RequestHandle
from courselead.daemon.runtime import Runtime
from courselead.daemon.status import (
    drain_statuses,
    pool_statuses,
    queued_total,
    zone_statuses,
)
from courselead.integrations.http_api.host import (
    IncomingRequest,
    PeerStatus,
    StatusReport,
    TableChange,
    ZoneStatus,
)

MAX_TABLE_CHANGES = 1_000
LIVENESS_TIMEOUT_MS = 5_000


class DaemonHost:
    """Implements `Host` on top of the runtime."""

    def __init__(self, runtime: Runtime) -> None:
        """Register for the runtime's events, to record table changes and lag."""
        self._runtime = runtime
        self._changes: deque[TableChange] = deque(maxlen=MAX_TABLE_CHANGES)
        self._apply_lag_ms = 0
        self._reachable_peers: dict[str, bool] = {}
        runtime.add_listener(self._handle_event)

    @property
    def fleet(self) -> FleetState:
        """Return the fleet state as applied by this host."""
        return self._runtime.state.fleet

    @property
    def ready(self) -> bool:
        """Return whether new requests should be sent to this host.

        A host that cannot reach the log stays ready and serves with its current
        state.
        """
        state = self._runtime.state
        return state.ever_member and not state.leaving

    @property
    def live(self) -> bool:
        """Return whether the daemon's event loop is running."""
        return clock.now_ms() - self._runtime.state.now_ms < LIVENESS_TIMEOUT_MS

    def now_ms(self) -> int:
        """Return the host's monotonic clock in milliseconds."""
        return clock.now_ms()

    def set_peer_reachable(self, entry_host: str, up: bool) -> None:
        """Record whether the stream to a peer is open, for the status report."""
        self._reachable_peers[entry_host] = up

    def status(self) -> StatusReport:
        """Return this host's status, covering all accounts."""
        state = self._runtime.state
        return StatusReport(
            entry_host=state.me.entry_host,
            incarnation=state.me.incarnation,
            availability_zone=state.me.availability_zone,
            member=state.member,
            leaving=state.leaving,
            log_up=state.log_up,
            offset=state.fleet.offset,
            table_version=state.fleet.table.version,
            apply_lag_ms=self._apply_lag_ms,
            in_flight=in_flight_total(state.requests),
            queued=queued_total(state.requests),
            peers=self._peer_statuses(),
            pools=pool_statuses(state),
            alarms=find_alarms(state, clock.wall_ms()),
            drains=drain_statuses(state.fleet),
        )

    async def submit(self, req: IncomingRequest) -> RequestHandle:
        """Accept a request to a minion."""
        handle = RequestHandle(req, self._caller_gone)
        event = RequestArrived(
            now_ms=clock.now_ms(),
            request_id=req.request_id,
            client_account=req.client_account,
            service=req.service,
            request_class=req.request_class,
            idempotent=req.idempotent,
            key=req.key,
            fingerprint=req.fingerprint,
            deadline_ms=req.deadline_ms,
            body_bytes=len(req.body),
        )
        self._runtime.submit(handle, event)
        return handle

    async def publish(
        self, edit: TablePublished, deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Publish a validated edit, whose `request_id` must be set."""
        event = TableEdit(clock.now_ms(), edit.request_id, edit, deadline_ms)
        return await self._wait_for_verdict(edit.request_id, event)

    def zones(self) -> tuple[ZoneStatus, ...]:
        """Return the state of all availability zones, sorted by name."""
        return zone_statuses(self._runtime.state)

    async def change_zone(
        self, change: ZoneEvacuated | ZoneRestored, deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Evacuate or restore a zone.

        Args:
            change: The record, with its `request_id` set. The daemon sets its time.
            deadline_ms: When to give up waiting for the verdict.
        """
        change = replace(change, at_ms=clock.wall_ms())
        event = ZoneCommand(clock.now_ms(), change.request_id, change, deadline_ms)
        return await self._wait_for_verdict(change.request_id, event)

    async def submit_jobs(
        self, request_id: str, jobs: tuple[JobSpec, ...], deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Submit jobs of one account."""
        event = JobsOffered(clock.now_ms(), request_id, jobs, deadline_ms)
        return await self._wait_for_verdict(request_id, event)

    async def cancel_jobs(
        self,
        request_id: str,
        client_account: str,
        job_ids: tuple[str, ...],
        deadline_ms: int,
    ) -> ReplyAccepted | Problem:
        """Cancel jobs of one account, all in one record."""
        event = JobsCancelAsked(
            clock.now_ms(), request_id, client_account, job_ids, deadline_ms
        )
        return await self._wait_for_verdict(request_id, event)

    async def history(self, limit: int) -> tuple[TableChange, ...]:
        """Return the newest table edits that took effect, of all accounts."""
        return tuple(self._changes)[-limit:] if limit > 0 else ()

    async def _wait_for_verdict(
        self, request_id: str, event: Event
    ) -> ReplyAccepted | Problem:
        """Submit a management call and wait for its verdict."""
        call = self._runtime.submit_call(request_id, event)
        try:
            return await call.reply()
        finally:
            self._runtime.release(request_id)

    def _caller_gone(self, request_id: str) -> None:
        """Tell the core that the caller has disconnected."""
        self._runtime.dispatch(CallerGone(clock.now_ms(), request_id))
        self._runtime.release(request_id)

    def _handle_event(self, event: Event) -> None:
        """Record table changes and the lag of applying the log."""
        if not isinstance(event, BatchesRead) or not event.batches:
            return
        at_ms = {offset: batch.at_ms for offset, batch in event.batches if batch}
        for applied in self._runtime.state.applied:
            record = applied.record
            if not isinstance(record, TablePublished) or not applied.verdict.accepted:
                continue
            change = TableChange(applied.offset, at_ms.get(applied.offset, 0), record)
            self._changes.append(change)
        newest = event.batches[-1][1]
        if newest is not None:
            self._apply_lag_ms = max(0, clock.wall_ms() - newest.at_ms)

    def _peer_statuses(self) -> tuple[PeerStatus, ...]:
        """Return the status of each peer as seen by this host."""
        state = self._runtime.state
        statuses = []
        for name, host in sorted(state.fleet.hosts.items()):
            if name == state.me.entry_host:
                continue
            last_report_ms = state.last_report_ms.get(name)
            age_ms = -1 if last_report_ms is None else clock.now_ms() - last_report_ms
            statuses.append(
                PeerStatus(
                    entry_host=name,
                    availability_zone=host.availability_zone,
                    reachable=self._reachable_peers.get(name, False),
                    heard_ms_ago=age_ms,
                    applied=host.applied,
                    standing=host.status,
                )
            )
        return tuple(statuses)
