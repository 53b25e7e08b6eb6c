"""Constants for scheduling long jobs; times are in milliseconds."""

# Leases.
LEASE_MS = 15_000
RENEWALS_PER_LEASE = 3
# The backup host's renewal interval is this many times the primary's, so that
# no lease expires if the primary cannot reach the worker.
BACKUP_INTERVAL_FACTOR = 2
FIRST_RENEW_URGENT_MS = 500
CALL_TIMEOUT_MS = 3_000
CALL_RETRY_MS = 1_000
START_TRIES = 5
# Consecutive "no such task" responses after which a task that must not be
# started again, such as that of a non-idempotent job, counts as lost.
NOT_FOUND_LIMIT = 3
PEER_TIMEOUT_MS = 2_000
# How long a host renews leases while only it is cut off from the log.
ISOLATED_RENEW_MS = 60_000
# Lease durations without a renewal after which the tasks of a lost worker have
# stopped.
LEASES_UNTIL_STOPPED = 2
WORKER_CHECK_INTERVAL_MS = 1_000
MAX_CALLS_PER_TICK = 100

# Proposals.
PROPOSAL_TIMEOUT_MS = 5_000
ENDS_PER_RECORD = 500
CANCELS_PER_RECORD = 5_000

# Admission.
MAX_JOBS_PER_SUBMISSION = 1_000
MAX_SUBMISSION_BYTES = 512 * 1_024
JOB_OVERHEAD_BYTES = 256
ACCOUNT_FULL_RETRY_MS = 30_000
LOG_DOWN_RETRY_MS = 5_000

# Placement.
# Share of the cores and memory of each worker that jobs may use; the rest is left to
# its minion.
JOBS_SHARE = 0.5
PLAN_RETRY_MS = 1_000
MAX_PLACEMENTS_PER_PASS = 200
MAX_MISSES_PER_PASS = 24
# Capacity is reserved for the recent peak of concurrent urgent jobs. The peak
# decays with this half-life, and the reserve is limited to a share of the pool.
URGENT_HALF_LIFE_MS = 600_000
MAX_RESERVE_SHARE = 0.25
# How long this host places no jobs on a worker whose agent refused a start.
REFUSED_START_BACKOFF_MS = 5_000
# A batch job is evicted for an urgent one only if it is expected to run for at
# least this long yet; otherwise the urgent job waits for it to end.
MIN_EVICTION_GAIN_MS = 5_000
MAX_MOVES = 3
EVICTION_TIMEOUT_MS = 3_000
# Divides the step-in delay of pools whose first waiting job is urgent.
URGENT_STEP_IN_DIVISOR = 5

# Refusals by an agent, as named in PLATFORM.md.
REFUSED_NOT_FOUND = "not_found"
REFUSED_STALE_ATTEMPT = "stale_attempt"
REFUSED_STALE_EPOCH = "stale_epoch"

# Quarantine.
SUSPECT_FAILURES = 2
QUARANTINE_FAILURES = 3
QUARANTINE_SUCCEEDED_ELSEWHERE = 2
# Jobs that cannot be retried on another worker leave only the failure rate to
# compare: the pool's other workers must have ended this many attempts with at
# most this share of failures.
RATE_MIN_FAILURES = 3
RATE_MIN_PEER_ENDS = 10
RATE_MAX_PEER_FAILED = 0.1
FAILURES_KEPT = 16
ENDS_BEFORE_DECAY = 50
# Minimum time from the last job of a suspect worker, or from when it became a suspect,
# to a trial job on it. The second is for jobs that cannot be retried elsewhere: those
# that are not idempotent or have one attempt left.
TRIAL_INTERVAL_MS = 5_000
NO_RETRY_TRIAL_INTERVAL_MS = 60_000
QUARANTINE_RETRY_MS = 10_000

# States of a task, as named in PLATFORM.md.
TASK_RUNNING = "running"
TASK_DONE = "done"
TASK_FAILED = "failed"
TASK_CHECKPOINTED = "checkpointed"
TASK_STOPPED = "stopped"
TASK_LAPSED = "lapsed"

# Interval between maintenance reboots of a worker.
MAINTENANCE_INTERVAL_MS = 14 * 24 * 3_600_000
