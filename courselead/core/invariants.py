"""Checks the invariants that a host's complete state satisfies after every event."""

from courselead.core.fleet.invariants import check_fleet
from courselead.core.jobs import invariants as jobs
from courselead.core.operations import invariants as operations
from courselead.core.reducer import CoreState
from courselead.core.requests.invariants import check_requests


def find_violations(state: CoreState) -> tuple[str, ...]:
    """Return a description of each violated invariant, () if there is none.

    It traverses the whole state, so it is meant for tests and periodic checks.
    Conditions that operators or the platform may legitimately cause are not
    violations: for example a higher minimum of serving workers while workers are
    stopped, or a worker whose capacity has been reduced.
    """
    violations = [f"fleet: {violation}" for violation in check_fleet(state.fleet)]
    if state.requests.synced_fleet is state.fleet:
        # Otherwise the requests state still refers to an older fleet state.
        found = check_requests(state.requests, state.fleet, state.me)
        violations.extend(f"requests: {violation}" for violation in found)
    found = operations.find_local_violations(state.operations, state.fleet)
    violations.extend(f"operations: {violation}" for violation in found)
    if state.jobs.index.offset == state.fleet.offset:
        found = jobs.find_local_violations(state.jobs, state.fleet)
        found += jobs.find_queue_violations(state.jobs, state.fleet)
        violations.extend(f"jobs: {violation}" for violation in found)
    return tuple(violations)
