"""Constants of the decisions on long jobs; times in milliseconds."""

# Leases.
LEASE_MS = 15_000
RENEWALS_PER_LEASE = 3
# The second host in order renews at this part of the first one's pace, so that
# a first host that cannot reach the worker costs no lease.
WATCH_PACE = 2
FIRST_RENEW_URGENT_MS = 500
CALL_TIMEOUT_MS = 3_000
CALL_RETRY_MS = 1_000
START_TRIES = 5
# Answers "no such task" in a row before a non-idempotent job counts as lost.
MISSING_NEEDED = 3
PEER_SILENT_MS = 2_000
# How long a host that is cut off by itself goes on renewing.
RENEW_ALONE_MS = 60_000
# Leases that pass before a worker that nobody reaches has stopped its tasks.
LAPSE_LEASES = 2
FENCE_CHECK_MS = 1_000
CALLS_PER_TICK = 100

# Proposals.
PROPOSAL_TIMEOUT_MS = 5_000
ENDS_PER_RECORD = 500
CANCELS_PER_RECORD = 5_000

# Admission.
JOBS_PER_OFFER = 1_000
OFFER_BYTES = 512 * 1_024
JOB_BYTES = 256
ACCOUNT_FULL_RETRY_MS = 30_000
LOG_DOWN_RETRY_MS = 5_000

# Placement.
# Part of each worker that jobs may use; the rest is headroom for its minion.
JOBS_PART = 0.5
PLACE_RETRY_MS = 1_000
PLACE_PER_TURN = 200
SCAN_LIMIT = 24
# Room kept free for urgent jobs follows their most at once lately; the
# memory of it fades by half in this time, and it never takes more than a part.
URGENT_HALF_LIFE_MS = 600_000
RESERVE_PART = 0.25
# How long this host leaves a worker alone whose agent refused a start.
AVOID_MS = 5_000
# An urgent job displaces batch work only if it would else wait about this long.
MIN_GAIN_MS = 5_000
MOVES_LIMIT = 3
EVICTION_TIMEOUT_MS = 3_000
# Step-in delays of urgent work are divided by this.
URGENT_STEP_IN_DIVISOR = 5

# Refusals of an agent, as PLATFORM.md names them.
REFUSED_NOT_FOUND = "not_found"
REFUSED_STALE_ATTEMPT = "stale_attempt"
REFUSED_STALE_EPOCH = "stale_epoch"

# Quarantine.
SUSPECT_FAILURES = 2
QUARANTINE_FAILURES = 3
QUARANTINE_DISPROVED = 2
# Without a second try elsewhere to tell by, the pool's other workers must
# have ended this many attempts with no more than this part failed.
RATE_FAILURES = 3
RATE_ENDS = 10
RATE_LIMIT = 0.1
FAILURES_KEPT = 16
ENDS_KEPT = 50
# A suspect gets a trial job now and then, and seldom one that cannot be tried
# again elsewhere.
TRIAL_EVERY_MS = 5_000
LAST_TRIAL_EVERY_MS = 60_000
QUARANTINE_RETRY_MS = 10_000

# States of a task, as PLATFORM.md names them.
TASK_RUNNING = "running"
TASK_DONE = "done"
TASK_FAILED = "failed"
TASK_CHECKPOINTED = "checkpointed"
TASK_STOPPED = "stopped"
TASK_LAPSED = "lapsed"

# How often a worker is rebooted for maintenance.
MAINTENANCE_EVERY_MS = 14 * 24 * 3_600_000
