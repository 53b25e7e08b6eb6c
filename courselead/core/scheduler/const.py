"""Constants of the scheduler.

An incarnation is one process lifetime of a minion. A poll is a
request that asks a minion for its report. A witnessed crash is one for which the task's
own job is the only explanation.
"""

RUNS_PER_FENCE = 1_000_000
"""Run numbers available to one owner: far more than the starts of a task in a day."""

CLOCK_SLOWNESS = 0.98
"""Lowest rate of a minion's monotonic clock: 2% slow (platform protocol)."""

LEASE_MARGIN_MS = 300
"""Margin after a lease's end until its runs count as gone.

It allows for the wake-up delay of a busy minion.
"""

UNREACHABLE_FAILURES = 2
"""Consecutive failed polls until a minion counts as unreachable.

A single failure may be a lost answer.
"""

START_RESPONSE_TIMEOUT_MS = 100
"""Time without an answer after a start was sent, until a minion gets no more starts.

It is ten times a normal response time. A poll detects a cut connection only after
1.8 s, and tasks that were sent meanwhile wait until their lease ends. With this limit,
10 tasks instead of 16 are affected when one of three minions of 16 cores is cut off at
80 starts per second (replay in virtual time).
"""

QUARANTINE_FAILURES = 3
"""Consecutive failed runs of different jobs until a minion gets no finite work."""

QUARANTINE_MS = 4_000
"""Duration of the quarantine of a minion on which runs keep failing."""

RESTART_BACKOFF_MS = 200
"""Initial delay before a long-running task that ended by itself is restarted."""

RESTART_BACKOFF_MAX_MS = 2_000
"""Maximum restart delay: below the 3 s in which a long-running task must be back."""

CAPACITY_REFUSAL_MS = 400
"""Pause after a minion refused a start for lack of resources: until the next poll."""

SHED_MS = 500
"""Pause after a minion answered 429 or 503, which means that it did nothing."""

MAX_CONSTRAINED_TRIES = 40
"""Gangs and other constrained units that are tried in one placement round, in rotation.

This bounds the duration of a round.
"""

POLL_WAIT_MS = 1_000
"""Time that a poll waits for a run end: the maximum age of progress and tail data."""

REPORT_VALID_MS = 2_500
"""Age of a minion's report from which its tasks are not assumed to work any more.

A poll that is answered takes less. A task that is lost just after a report counts as
missing, for the users, no earlier than 4.5 s later.
"""

POLL_WAIT_IDLE_MS = 2_000
"""Wait of a poll if nothing runs: the protocol's maximum, as each poll has a cost."""

LOSSY_MS = 3_000
"""Time for which polls stay short after a minion that missed one has answered again.

If a tenth of the answers is lost, this happens to some minion in every second.
"""

LOSSY_WAIT_MS = 200
"""Wait of a poll while answers are being lost.

A lost poll costs its wait and another 0.8 s in which run ends are not seen.
"""

LOSSY_POLLS_PER_S = 400
"""Maximum polls per second of minions without run ends while answers are being lost.

With many minions this lengthens the wait. It is about the normal poll rate of an owner
of 349 minions.
"""

UNKNOWN_INCARNATION_MS = 500
"""Minimum time in the minion list until the cloud's list can prove a minion gone.

If the minion is silent and no worker of the newer cloud list has it, it counts as gone.
"""

LEARN_WEIGHT = 0.2
"""Weight of a new run time in the moving average of a queue's run times."""

SILENT_OWNER_MS = 1_200
"""Time without an owner's record, in a log that answers, until another host takes over.

This is four missed heartbeats.
"""

OLD_LEASES_SLACK_MS = 1_500
"""Time after a takeover in which a replaced owner may still renew leases.

It is added to the longest lease. A replaced owner stops by itself `RENEWAL_MS` after
the last answer of the log.
"""

RENEWAL_MARGIN_MS = 400
"""Part of `OLD_LEASES_SLACK_MS` reserved for clock drift and the read interval."""

RENEWAL_MS = SILENT_OWNER_MS + OLD_LEASES_SLACK_MS - RENEWAL_MARGIN_MS
"""Time after the last answer of the log for which leases are renewed.

A lease granted by then ends before the earliest new owner counts its runs as gone.
"""

LEAST_LEASE_MS = 2_000
"""Minimum lease for starting a run: most runs would not finish within less."""

UNCONFIRMED_MS = 900
"""Silence of the log after which another owner may exist.

It is a margin below the time that a takeover needs. After it, a run does not count as
gone for reasons that the other owner may have caused.
"""

OWN_ZONE_SILENCE_MS = 700
"""Silence of the log after which nothing is started on minions in the owner's zone.

Such starts have to be stored first. The time is two missed heartbeats and an append.
"""

ORDER_SLACK_MS = 500
"""Margin added to the time in which a new owner must not send orders to the cloud.

It allows for the transit time of the previous owner's last stored order.
"""

STOP_SETTLE_MS = 200
"""Margin added to the duration of a stop until an adopted run counts as working.

An earlier owner may have stopped it; the margin is the transit time of a report.
"""

STOP_EXPIRES_MS = 200
"""Time within which the stop of a wanted long-running task is sent, or not at all.

No task that was not there when it was decided is ready that soon.
"""

STOP_RETRY_MS = 700
"""Time after which an unanswered stop order is repeated."""

STRAY_START_MS = 13_000
"""Time after which an unanswered start order can no longer be carried out.

Minions carry out orders up to 12 s late. A minion that was cut off for most of that
time is sent the stop of a stray start as soon as it answers again, which takes a poll.
"""

NAMED_TASKS = 20
"""Maximum number of tasks named in the log event of a lost incarnation: about 1 kB."""

CRASHES_ALLOWED = 5
"""Crashes until a task is given up, even if something else may explain them.

After three crashes it is started two more times.
"""

UNSEEN_CRASHES = 1
"""Crashes that an earlier owner may not have stored.

They are added for jobs that are older than this owner.
"""

WITNESSED_CRASHES_ALLOWED = 3
"""Crashes until a task is given up if the newest one is witnessed.

At least `MIN_WITNESSED_CRASHES` of them must be: the task's own job is their only
explanation.
"""

MIN_WITNESSED_CRASHES = 2
"""Minimum number of witnessed crashes, as a single one may be a coincidence."""

GIVEN_UP_QUEUE_MS = 20_000
"""Time after a task was given up with witnessed crashes.

During this time one witnessed crash is enough for other tasks of the queue.
"""

CRASH_SETTLE_MS = 1_000
"""Time until other minions lost at the same moment are known from polls and lists.

A suspect's next start waits for this time.
"""

OUTLIVED_FACTOR = 2
"""Factor on the lowest run age at a crash, after which a run clears its task.

A run clears its task of suspicion after this many times that age plus `OUTLIVED_MS`.
"""

OUTLIVED_MS = 2_000
"""Margin for tasks that crash their minions after varying times."""

OUTLIVED_MAX_MS = 10_000
"""Run time that clears any task.

Long-running tasks occasionally lose minions, but long after each start.
"""

FORGOTTEN_MS = 45_000
"""Run time after which a task's earlier crashes no longer count.

Over weeks a service loses more machines than `CRASHES_ALLOWED`. A task that crashes its
minions this late costs at most one minion in that time.
"""

LOST_INCARNATIONS_MS = 60_000
"""Time for which lost incarnations are kept, to tell a bad worker from a bad task."""

UNSTEADY_INCARNATIONS = 2
"""Losses on a worker within `LOST_INCARNATIONS_MS` that explain a further loss.

Incarnations with a task of the job in question do not count.
"""

UNSTEADY_SHARE_DIVISOR = 3
"""Minimum share of all losses for an unsteady worker: one in this many."""

TRIAL_CRASHES = 2
"""Crashes from which a task is started in isolation (a trial).

It starts on a minion without tasks of other jobs, and none are started beside it.
"""

TRIAL_SHARE_DIVISOR = 2
"""Share of a pool's minions that may be reserved for trials: one in this many."""

TRIAL_MS = 3_000
"""Time after the start of a trial for which the next trial waits."""

ISOLATION_WAIT_MS = 2_000
"""Maximum wait for an empty minion and for other trials.

It is below the 3 s within which work that fits must run.
"""

COMPANIONS_WAIT_MS = 5_000
"""Maximum wait of a task at its limit for tasks on the same lost incarnations.

A long-running task must run again within 6 s, or its job must be known to have failed.
"""

CALM_CRASHES = 3
"""Crashes from which a task's next start waits until no more minions are being lost."""

CALM_MS = 2_000
"""Time without a loss that counts as calm.

The minions of a rack are back by then.
"""

CALM_WAIT_MS = 10_000
"""Maximum wait until no more minions are being lost."""

SERVICE_CALM_WAIT_MS = 2_500
"""The same for a long-running task."""

SERVICE_SUSPECT_WAIT_MS = 5_000
"""Maximum wait of a long-running suspect from its newest crash on, in all.

It must run again within 6 s. After that time it starts beside others.
"""

SUSPECT_WAIT_MS = 10_000
"""The same for a finite suspect that has crashed `CALM_CRASHES` times or more."""

RISKY_MS = 10_000
"""Time for which incarnations lost with fresh starts of a queue count against it."""

RISKY_INCARNATIONS = 2
"""Such losses until the queue is kept apart from long-running tasks and gangs."""

FRESH_MS = 5_000
"""Age up to which a run counts as a fresh start.

The end of an incarnation is learned some seconds late.
"""

COSTLY_NEIGHBOUR_SCORE = 1_000
"""Placement cost of a long-running task or gang beside a suspect; others cost 1."""

SUSPECT_NEIGHBOUR_SCORE = 30
"""Placement cost of another suspect, as either of the two may crash the minion."""

LEAST_LOST_AT_ONCE = 2
"""Other losses in a rack or zone at the same moment that explain a loss.

A single one may be caused by another task.
"""

LISTS_SETTLE_MS = 500
"""Time after a takeover until an incarnation in neither list counts as over.

Both the minion list and the cloud's list have been read by then.
"""

CAP_REPORT_MS = 1_000
"""Minimum interval of log lines about an account whose work waits for its cap."""

UNSEEN_MS = 100
"""Time for which the estimate of unseen use is cached: one tick."""

EARLY_CANCEL_MS = 60_000
"""Time for which the cancel of an unknown job holds for a submission that follows.

A submission may wait in a host that stands still, and in an append that is carried out
seconds later.
"""

FORGOTTEN_AT_ONCE = 1_000
"""Maximum number of early cancels that are removed from the log by one append."""

OPEN_OCCURRENCES = 200
"""Maximum number of open occurrences of a job.

If a job's intervals are shorter than its tasks, further occurrences open as earlier
ones close. Opening all of them at once would exhaust the time or memory of one owner
after the other.
"""

ZONE_EVACUATED_REASON = "its zone is evacuated"
"""Reason given when a run is stopped to be moved out of an evacuated zone."""
