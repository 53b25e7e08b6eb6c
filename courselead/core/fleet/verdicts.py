"""Reasons for rejecting a record, with a message and a suggested action for each."""

from collections.abc import Sequence

from courselead.core.fleet.state import Verdict

NOT_MEMBER = "not_member"
NOT_AUTHOR = "not_author"
HOST_NOT_NEWER = "host_not_newer"
BEAT_AHEAD = "beat_ahead"
HOST_HEARD = "host_heard"
HOST_UNKNOWN = "host_unknown"
HOST_ITSELF = "host_itself"

TABLE_CONFLICT = "table_conflict"
TABLE_AHEAD = "table_ahead"
TABLE_ROW_TWICE = "table_row_twice"
TABLE_NO_ROW = "table_no_row"
TABLE_NO_ACCOUNT = "table_no_account"
TABLE_ACCOUNT_IN_USE = "table_account_in_use"
TABLE_BAD_ROW = "table_bad_row"
TABLE_OVER_LIMIT = "table_over_limit"
TABLE_SHARED_CREDENTIAL = "table_shared_credential"

ZONE_UNKNOWN = "zone_unknown"
ZONE_EVACUATED = "zone_evacuated"
ZONE_CHANGED = "zone_changed"

WORKER_UNKNOWN = "worker_unknown"
STALE_EPOCH = "stale_epoch"
WRONG_PHASE = "wrong_phase"
POOL_UNKNOWN = "pool_unknown"
WRONG_POOL = "wrong_pool"
NO_ADDRESS = "no_address"
WINDOW_CLOSED = "window_closed"
BUDGET_SPENT = "budget_spent"
NOT_SETTLED = "not_settled"
JOBS_REMAIN = "jobs_remain"

CLAIM_TAKEN = "claim_taken"
CLAIM_CONFLICT = "claim_conflict"
CLAIM_UNKNOWN = "claim_unknown"
CLAIM_ENDED = "claim_ended"
CLAIM_NO_OUTCOME = "claim_no_outcome"
CLAIM_TOO_LONG = "claim_too_long"

JOB_UNKNOWN = "job_unknown"
JOB_ID_TAKEN = "job_id_taken"
JOBS_LIMIT = "jobs_limit"
JOB_BAD_SIZE = "job_bad_size"
STALE_ATTEMPT = "stale_attempt"
NO_ROOM = "no_room"

SNAPSHOT_OLD = "snapshot_old"
SNAPSHOT_BAD_PART = "snapshot_bad_part"
RECORD_UNKNOWN = "record_unknown"

# Messages for submissions, table edits and zone commands are returned to API clients.
MESSAGES = {
    NOT_MEMBER: "the entry host is not a member; join with a new incarnation",
    NOT_AUTHOR: "the record belongs to another entry host; propose it from that host",
    HOST_NOT_NEWER: "an equal or newer incarnation has joined; restart with a higher "
    "one",
    BEAT_AHEAD: "the heartbeat contains offsets that are not in the log yet; check "
    "the end of the log",
    HOST_HEARD: "the entry host has sent a newer heartbeat; keep monitoring it",
    HOST_UNKNOWN: "no live entry host has this incarnation; read the newest state",
    HOST_ITSELF: "an entry host cannot report itself as lost; let it leave instead",
    TABLE_CONFLICT: "a row has been changed since; load the table and edit it again",
    TABLE_AHEAD: "the edit is of a table not yet in force; load the table again",
    TABLE_ROW_TWICE: "the edit touches a row twice; name each row once",
    TABLE_NO_ROW: "the row to be removed is not in the table; load it again",
    TABLE_NO_ACCOUNT: "the service's account has no row; add the account's row",
    TABLE_ACCOUNT_IN_USE: "the account has services; remove their rows first",
    TABLE_BAD_ROW: "a row has a value out of range; check the edit before sending",
    TABLE_OVER_LIMIT: "an account's services ask for more workers than its "
    "workers_limit; lower their numbers or have the limit raised",
    TABLE_SHARED_CREDENTIAL: "two accounts have one credential; make a new one",
    ZONE_UNKNOWN: "no worker and no entry host is in this availability zone; take "
    "its name from the list of zones",
    ZONE_CHANGED: "the zone was changed after this command was given; look at the list "
    "of zones, and repeat the command if it still applies",
    ZONE_EVACUATED: "the worker's availability zone is evacuated; use a worker of "
    "another zone, or wait until the zone is restored",
    WORKER_UNKNOWN: "the worker is unknown; wait until the platform lists it",
    STALE_EPOCH: "the epoch of the worker has changed; decide again using its current "
    "epoch",
    WRONG_PHASE: "the worker's current phase does not allow this change; decide again",
    POOL_UNKNOWN: "the table has no such pool; add a row for its service",
    WRONG_POOL: "the worker is moving to another pool; assign it to that pool",
    NO_ADDRESS: "the minion has no address; query the worker's agent again",
    WINDOW_CLOSED: "the maintenance window is closed; wait until it opens",
    BUDGET_SPENT: "the pool's availability budget is used up; wait until more workers "
    "are serving",
    NOT_SETTLED: "an entry host has not settled the stop; wait for its heartbeat",
    JOBS_REMAIN: "jobs are still placed on the worker; wait until they have ended",
    CLAIM_TAKEN: "the key is in use; wait for the outcome of the first request",
    CLAIM_CONFLICT: "the key is in use by a different request; use a new key",
    CLAIM_UNKNOWN: "the request does not hold the key; its outcome is too late",
    CLAIM_ENDED: "the request already has an outcome; keep the first one",
    CLAIM_NO_OUTCOME: "the record contains no final outcome; use ran, not_run or "
    "unknown",
    CLAIM_TOO_LONG: "the claim lasts more than 30 days or has expired; correct its "
    "expiry time",
    JOB_UNKNOWN: "the job is unknown; submit it first",
    JOB_ID_TAKEN: "the id is in use for another job; use a new id",
    JOBS_LIMIT: "the account's limit of jobs is reached; wait or raise it",
    JOB_BAD_SIZE: "the job's size is no number from 0 up; mend it",
    STALE_ATTEMPT: "the attempt is not the newest of the job or has ended; discard it",
    NO_ROOM: "the worker has too little free capacity for the job; place it elsewhere",
    SNAPSHOT_OLD: "a newer snapshot is complete; write the next snapshot later",
    SNAPSHOT_BAD_PART: "the index, total or offset of the part is invalid; write the "
    "snapshot again",
    RECORD_UNKNOWN: "this version does not support the record type; update this host",
}

ACCEPTED = Verdict(True)
_REJECTED = {reason: Verdict(False, reason) for reason in MESSAGES}


def rejected(reason: str) -> Verdict:
    """Return the verdict for a rejection reason."""
    return _REJECTED[reason]


def message(reason: str) -> str:
    """Return the human-readable message for a reason, with a suggested action."""
    return MESSAGES.get(reason, reason)


def from_item_reasons(reasons: Sequence[str]) -> Verdict:
    """Return the verdict of a record with several items.

    Args:
        reasons: Rejection reason of each item, "" for an accepted item.
    """
    rejections = [reason for reason in reasons if reason]
    if not rejections:
        return ACCEPTED
    items = tuple(reasons)
    if len(rejections) < len(items):
        return Verdict(True, "", items)
    return Verdict(False, rejections[0], items)
