"""What must hold of a host's whole state after every event, in one place."""

from courselead.core.fleet.invariants import check_fleet
from courselead.core.jobs import invariants as jobs
from courselead.core.operations import invariants as operations
from courselead.core.reducer import CoreState
from courselead.core.requests.invariants import check_requests


def check(state: CoreState) -> tuple[str, ...]:
    """Return what is wrong with a state, one sentence each; () if nothing is.

    It walks everything, so it is meant for tests and for a look now and then.
    What an operator or the platform may bring about by rights is no fault here:
    a raised floor while workers are stopped, or a worker that has shrunk.
    """
    faults = [f"fleet: {fault}" for fault in check_fleet(state.fleet)]
    if state.requests.seen is state.fleet:
        # Before that, the local books are of an older shared state.
        found = check_requests(state.requests, state.fleet, state.me)
        faults.extend(f"requests: {fault}" for fault in found)
    found = operations.local_faults(state.operations, state.fleet)
    faults.extend(f"operations: {fault}" for fault in found)
    if state.jobs.index.offset == state.fleet.offset:
        found = jobs.local_faults(state.jobs, state.fleet)
        found += jobs.queue_faults(state.jobs, state.fleet)
        faults.extend(f"jobs: {fault}" for fault in found)
    return tuple(faults)
