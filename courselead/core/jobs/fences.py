"""Fencing of lost workers: when the leases of their tasks have surely expired.

A lost worker may run its tasks until their leases expire. A live host stops
renewing leases there once it has applied the record of the loss, and a lost host
stops on its own clock. Two lease durations later, on this host's clock, no task
runs on the worker any more.
"""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.fleet.state import FleetState, HostState, HostStatus, WorkerState
from courselead.core.jobs import const, drivers, ends
from courselead.core.jobs.leases import UNREACHABLE_PHASES
from courselead.core.jobs.state import Fence, JobsState
from courselead.core.ranking import takeover_delay_ms


def end_expired(state: JobsState, ctx: Context) -> JobsState:
    """End the jobs on lost workers whose leases have expired."""
    fences = state.fences
    for name in state.fences:
        if name not in ctx.fleet.jobs_on:
            fences = fences.delete(name)
    for name, job_ids in ctx.fleet.jobs_on.items():
        worker = ctx.fleet.workers.get(name)
        fence = fences.get(name)
        if worker is None or worker.phase not in UNREACHABLE_PHASES:
            if fence is not None:
                fences = fences.delete(name)
            continue
        if fence is None or fence.since != worker.since:
            if not have_renewals_ended(ctx, worker):
                continue
            fence = Fence(worker.since, ctx.now_ms)
            fences = fences.set(name, fence)
        if ctx.now_ms - fence.renewals_ended_ms >= _expiry_ms(
            state, ctx, name, job_ids
        ):
            state = _end_jobs(state, ctx, job_ids)
    return replace(state, fences=fences)


def have_renewals_ended(ctx: Context, worker: WorkerState) -> bool:
    """Return whether no other host renews leases on a lost worker any more."""
    for host in ctx.fleet.hosts.values():
        if host.entry_host == ctx.me.entry_host:
            continue
        if not _has_stopped_renewing(ctx.fleet, host, worker.since):
            return False
    return True


def _has_stopped_renewing(fleet: FleetState, host: HostState, since: int) -> bool:
    """Return whether a host has applied the loss or timed out while isolated."""
    if host.status is HostStatus.LEFT:
        return True
    if host.status is HostStatus.LIVE:
        return host.applied >= since or host.joined >= since
    return fleet.now_ms - host.last_beat_ms >= const.ISOLATED_RENEW_MS


def _expiry_ms(
    state: JobsState, ctx: Context, worker: str, job_ids: tuple[str, ...]
) -> int:
    """Return the time from the end of all renewals to the proposal of the ends."""
    lease_ms = max(ctx.fleet.jobs[job_id].lease_ms for job_id in job_ids)
    names = drivers.hosts_of_zone(state, drivers.ALL_ZONES)
    step_in = takeover_delay_ms(
        f"lapse:{worker}", ctx.me.entry_host, names, ctx.me.seed
    )
    return lease_ms * const.LEASES_UNTIL_STOPPED + step_in


def _end_jobs(state: JobsState, ctx: Context, job_ids: tuple[str, ...]) -> JobsState:
    """Add the ends of jobs whose leases have expired."""
    for job_id in job_ids:
        end = ends.unreported_end(ctx.fleet.jobs[job_id], "the worker was lost")
        state = ends.add(state, end, ctx.now_ms)
    return state
