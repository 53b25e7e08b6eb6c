"""Names, limits and timeouts of the platform's protocol."""

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
"""Contract under which callers need the credential of a client account."""

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
WAVE_KEY_PREFIX = "wave/"
EVACUATION_KEY_PREFIX = "evacuate/"

MAX_LISTED_ENDS = 500
"""Maximum number of run ends in a minion's answer to a poll."""

_HOST_LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_PORT = r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])"
ADDRESS_PATTERN = rf"(?a)^(?=.{{1,253}}:){_HOST_LABEL}(\.{_HOST_LABEL})*:{_PORT}\Z"
"""A host (RFC 1123, section 2.1, and underscores) and a port from 1 to 65,535; other
addresses cannot be connected to."""

MINION_ID_PATTERN = r"[!-~]{1,254}"
"""Visible ASCII, because each order carries the minion's id in a header; its length
because the key of the minion's record, of at most 255 bytes, has it after a letter."""

STATE_READY = "ready"
STATE_DRAINING = "draining"
STATE_RUNNING = "running"
STATE_COMPLETED = "completed"

READ_IDLE_TIMEOUT_MS = 800
"""Timeout of a read for the first byte, added to the read's own wait, and for each
pause between bytes after that. The store begins to respond after 4 ms, or after a few
hundred ms if it is slow, but a whole configuration takes seconds on a slow link."""

READ_MIN_TIMEOUT_MS = 1_500
"""Minimum timeout for the first byte of a read, for the same reason."""

MAX_READER_LAG_RECORDS = 1_000_000
"""Maximum number of records between a reader's offset and the end of the log. It is far
more than the store accumulates within its retention time, and far less than the number
that results if the text of an error is decoded as an end."""

READ_MAX_KB = 1_024
"""Maximum size of the response to one read (the protocol's default)."""

START_TIMEOUTS_MS = (200, 300, 800)
"""Timeouts of a start and of its retries, which name the same run. The first is 50
times the round trip on an idle network, the last is close to ORDER_TIMEOUT_MS."""

INCARNATION_CHECK_TIMEOUT_MS = 200
"""Timeout of the check which incarnation responds on a new connection; the same as
the first timeout of a start."""

ORDER_TIMEOUT_MS = 1_000
"""Timeout of a stop or a change of pace."""

POLL_GRACE_MS = 800
"""Timeout of a long poll, added to the poll's own wait."""

CLOUD_TIMEOUT_MS = 1_500
"""Timeout of a call to the cloud API, which may be slow."""

STORE_CONNECTIONS = 10
"""Maximum number of connections to the store: three long reads, appends of callers and
of the owner, and spare ones for queries and relayed calls. Opened on demand."""

ORDER_CONNECTIONS = 4
"""Maximum number of connections for orders to one minion, which accepts 64."""

PROMPT_CONNECTIONS = 2
"""Maximum number of further connections to it for orders that expire."""

MAX_EXACT_INTEGER = 2**53
"""Largest integer that every JSON implementation reads exactly (RFC 8259, section 6).
Larger times and run numbers are rejected."""

START_TIME_AHEAD_WARNING_MS = 86_400_000
"""A start time this far ahead of this host's clock is logged as a warning: neither a
time zone nor a clock step explains it."""

DEFAULT_RECORD_BYTES = 262_144
"""Size of the store's largest record where the settings do not name it."""
