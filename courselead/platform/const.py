"""Names and bounds of the platform's protocol."""

ENV_SETTINGS = "COURSELEAD_NODE_FILE"

PATH_READY = "/-/ready"
PATH_APPEND = "/-/log-append"
PATH_READ = "/-/log-read"
PATH_NEWEST = "/-/log-newest"
PATH_START = "/-/run-start"
PATH_STOP = "/-/run-stop"
PATH_HOLD = "/-/hold"
PATH_PACE = "/-/pace"
PATH_ADVISE = "/-/advise"
PATH_MACHINES = "/-/machines"
PATH_MOVE = "/-/machine-move"
PATH_UPKEEP = "/-/machine-upkeep"

HEADER_CREDENTIAL = b"x-api-key"
CONTRACT_ACCOUNTS = "tenants"
"""Names the part of the rules that client accounts and their credentials belong to."""

HEADER_EXPECT_INSTANCE = "X-Courselead-Expect-Instance"
HEADER_HOLDER = "X-Courselead-Lease-Holder"
HEADER_FENCE = "X-Courselead-Fencing-Token"

TOPIC_JOBS = "keyed.jobs"
TOPIC_CLAIMS = "keyed.claims"
TOPIC_STARTS = "keyed.starts"
TOPIC_OPERATOR = "keyed.op"
TOPIC_SERVERS = "keyed.servers"
TOPIC_STATUS = "keyed.status"

KEY_CONFIG = "config"
KEY_WAVE = "wave/"

ADDRESS_PATTERN = (
    r"^[^\s:]+:([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])$"
)
"""A host and a port from 1 to 65,535: anything else cannot be called."""

MINION_ID_PATTERN = r"[!-~]+"
"""Visible ASCII: what a header can hold, in which each order names the minion."""

STATE_READY = "ready"
STATE_DRAINING = "draining"
STATE_RUNNING = "running"
STATE_COMPLETED = "completed"

READ_SLACK_MS = 800
"""Time beyond the wait of a read until it counts as lost if nothing of it has come, and
the longest pause in it after that: store answers begin after 4 ms, after some hundred
where the store is slow, while a whole configuration takes seconds on a slow link."""

READ_LEAST_MS = 1_500
"""Least time of a read without a wait, for the same reason."""

MOST_BEHIND = 1_000_000
"""Records that a reader may be behind: far more than are stored in the time for which
the store keeps them, and far less than the text of an error reads as."""

READ_KB = 1_024
"""Most that one read returns (the protocol's default)."""

START_TIMEOUTS_MS = (200, 300, 800)
"""Time-outs of a start and its repetitions, which are the same run: the first is fifty
times a calm round trip, the last that of other orders, nearly."""

VOUCH_TIMEOUT_MS = 200
"""Time-out of the question which life answers on a new connection, as of a start."""

ORDER_TIMEOUT_MS = 1_000
"""Time-out of a stop or a change of pace."""

HOLD_SLACK_MS = 800
"""Time beyond a look's wait until it counts as lost."""

CLOUD_TIMEOUT_MS = 1_500
"""Time-out of a call to the cloud, which may be slow."""

STORE_CONNECTIONS = 10
"""Most connections to the store: three reads that wait, callers' and the owner's
appends, and room for questions and relayed calls; made on need."""

ORDER_CONNECTIONS = 4
"""Most connections for orders to one minion, of the 64 that it takes."""

BORN_MOST_MS = 2**53
"""Latest start of a minion that is taken: the largest whole number that each JSON
implementation reads exactly (RFC 8259, 6)."""

BORN_AHEAD_MS = 86_400_000
"""A start this far ahead of this host's clock is noted: no zone or step explains it."""
