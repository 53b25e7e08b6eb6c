"""Figures of the scheduler: each with its unit and where it comes from."""

RUNS_PER_FENCE = 1_000_000
"""Run numbers an owner may give out: far above the starts of a task in a day."""

CLOCK_SLOWNESS = 0.98
"""A minion's steady clock may be 2% slow (the platform's protocol)."""

LEASE_MARGIN_MS = 300
"""Added to a lease's end before its runs count as gone: wake-up of a busy minion."""

UNREACHABLE_FAILURES = 2
"""Failed looks in a row until a minion gets no new work: one may be a lost answer."""

UNHEARD_MS = 100
"""Time without any word from a minion after a start was sent to it, until it gets no
more of them: ten times a calm answer. A look shows a cut after 1.8 s, and what was
sent into it waits for its lease: 10 tasks, not 16, where one of three minions of 16
cores is cut off under 80 starts a second (replay in virtual time)."""

QUARANTINE_FAILURES = 3
"""Failed runs in a row, of different jobs, until a minion gets no finite work."""

QUARANTINE_MS = 4_000
"""Rest of a minion that fails what it starts; a first guess, not yet tuned."""

STALL_MS = 2_500
"""A run whose percent stands still this long is stopped: two looks and a half."""

STALL_FACTOR = 3
"""A run is stalled only beyond this many times its expected time."""

RESTART_BACKOFF_MS = 200
"""First wait before a lasting task that failed is started again."""

RESTART_BACKOFF_MAX_MS = 2_000
"""Longest such wait: below the 3 s within which a lasting task must run again."""

ROOM_REFUSAL_MS = 400
"""Rest of a minion that refused a start for want of room: until the next look."""

SHED_MS = 500
"""Rest of a minion that answered 429 or 503: nothing was done there."""

MISFIT_LIMIT = 40
"""Gangs and other units with conditions of their own that are tried in a round of
placement, by turns: bounds its time."""

HOLD_WAIT_MS = 1_000
"""Time a look waits for an end: percent and tails are at most this old."""

HOLD_WAIT_IDLE_MS = 2_000
"""The same where nothing runs: the protocol's longest, as looks are priced."""

LOSSY_MS = 3_000
"""Time for which looks stay short after a minion has answered again that had not
answered one: at a share of a tenth, some minion does so in each second."""

LOSSY_WAIT_MS = 200
"""Wait of a look meanwhile: one that is lost costs its wait and 0.8 s, in which ends
are not seen."""

LOSSY_LOOKS_PER_S = 400
"""Most looks a second meanwhile at minions without ends, which lengthens the wait where
there are many: about as many as the owner of 349 minions makes in calm."""

UNKNOWN_LIFE_MS = 500
"""Time that a silent minion has been in the list until the cloud's list, which is
newer, is believed that no worker has it."""

LEARN_WEIGHT = 0.2
"""Weight of a new run time in the moving average of a queue's step."""

SILENT_OWNER_MS = 1_200
"""Silence of the owner in a log that answers until another host claims the schedule:
four missed beats."""

DOUBT_SLACK_MS = 1_500
"""Added to the longest lease after a takeover: the time that a deposed owner may
go on renewing leases. It stops by itself `RENEWAL_MS` after the log last answered."""

RENEWAL_MARGIN_MS = 400
"""Part of that slack kept for clocks and for the time between two looks at the log."""

RENEWAL_MS = SILENT_OWNER_MS + DOUBT_SLACK_MS - RENEWAL_MARGIN_MS
"""Time after the last answer of the log in which leases are renewed: a lease given
then is over before the earliest new owner takes its runs as gone."""

LEAST_LEASE_MS = 2_000
"""A run is not started with less of a lease: most would not end in it."""

UNCONFIRMED_MS = 900
"""Silence of the log from which another owner may exist, a margin below the time that
it needs: from then on no run counts as gone by what that owner may have caused."""

OWN_ZONE_SILENCE_MS = 700
"""Silence of the log from which nothing is started on minions of the owner's own zone,
as that has to be stored first: two missed beats and an append."""

ORDER_SLACK_MS = 500
"""Added to the time in which orders to the cloud must not change hands: the way of an
order that was stored last."""

STOP_SETTLE_MS = 200
"""Added to the time that a stop takes, until a run that an earlier owner may have
stopped counts as at work: the way of a report."""

STOP_RETRY_MS = 700
"""Time until an unanswered stop is sent again."""

STRAY_START_MS = 10_000
"""Time after which an order without an answer is no longer carried out: minions do so
some seconds late at most (the platform's protocol), and the longest lease is over."""

NAMED_TASKS = 20
"""Tasks that the line of a life's end names: about a kilobyte."""

CRASHES_ALLOWED = 5
"""Lives that crash under a task until it is given up, whatever else may explain them:
after three of them it is started twice more."""

UNSEEN_CRASHES = 1
"""Crashes that an earlier owner may have had no time to store: counted in for jobs that
were there before this owner."""

WITNESSED_CRASHES_ALLOWED = 3
"""Lives that crash under a task until it is given up if nothing but its own job
explains the newest one and `WITNESSES` of them in all."""

WITNESSES = 2
"""One may be bad luck."""

GUILTY_MS = 20_000
"""Time after a task was given up with witnesses; one is enough in its queue then."""

CRASH_SETTLE_MS = 1_000
"""Time until what else was lost at the same moment is known, by looks and the cloud's
list; a suspect's next start waits for it."""

OUTLIVED_FACTOR = 2
"""A run that has gone on for this many times the least age at which one crashed, and
`OUTLIVED_MS` more, clears its task of suspicion."""

OUTLIVED_MS = 2_000
"""Added for tasks that crash their minions at changing times."""

OUTLIVED_MOST_MS = 10_000
"""Run time that clears any task: lasting tasks lose minions now and then, each long
after its start."""

FORGOTTEN_MS = 45_000
"""Run time that ends the count of what a task has lost before: over weeks a service
loses more machines than `CRASHES_ALLOWED`. A task that crashes its minions so late
costs one in that time at most."""

LOST_LIVES_MS = 60_000
"""Time for which lost lives are remembered, to tell a bad worker from a bad task."""

UNSTEADY_LIVES = 2
"""Lives that a worker has lost in that time without a task, until it may be the worker
that explains the next one."""

UNSTEADY_PART = 3
"""A worker's losses must be one in so many of all at least, for that."""

TRIAL_CRASHES = 2
"""Crashes from which a task starts where nothing of another job runs, and nothing is
started beside it."""

TRIAL_PART = 2
"""One in so many minions of a pool may be kept for such tasks."""

TRIAL_MS = 3_000
"""Time after the start of such a task in which the next one waits."""

ISOLATION_WAIT_MS = 2_000
"""Longest wait for a minion without other work, and for the trials of others: below
the 3 s within which work that has room must run."""

COMPANIONS_WAIT_MS = 5_000
"""Longest wait of a task at its limit for what others on its lost lives turn out to be:
within 6 s a lasting task runs again, or its job is known to have failed."""

CALM_CRASHES = 3
"""Crashes from which a task waits until minions are no longer lost."""

CALM_MS = 2_000
"""Time without a loss that counts as calm: a rack's minions are back by then."""

CALM_WAIT_MS = 10_000
"""Longest wait for that."""

RISKY_MS = 10_000
"""Time for which lives that were lost with fresh starts of a queue speak against it."""

RISKY_LIVES = 2
"""Lives lost so until the queue is kept apart from lasting tasks and gangs."""

FRESH_MS = 5_000
"""Age up to which a run counts as a fresh start: that a life is over is learned some
seconds late."""

DEAR_NEIGHBOURS = 1_000
"""Weight of a lasting task or a gang beside a suspect, against one of other tasks."""

SUSPECT_NEIGHBOURS = 30
"""The same of another suspect: one of the two may be the one that crashes minions."""

LEAST_LOST_AT_ONCE = 2
"""Other lives of a rack or zone that are lost at the same moment, until that is what
explains a life's end: one may be another task's."""

LISTS_READ_MS = 500
"""Age of a takeover from which a life in neither list counts as over: both are read."""

CAP_REPORT_MS = 1_000
"""Time between two lines on an account whose work waits for its cap."""

UNSEEN_MS = 100
"""Time for which what may run unseen is not reckoned anew: one tick."""

OPEN_OCCURRENCES = 200
"""Occurrences of a job that are open at once. One whose intervals are shorter than its
tasks opens the next ones as earlier ones close: all at once they would end each owner
in turn, by time or memory."""
