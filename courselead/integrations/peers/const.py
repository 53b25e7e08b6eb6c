"""Bounds of the streams between entry hosts."""

PROTOCOL_VERSION = 1

ATTR_HELLO = "hello"
ATTR_REPORT = "report"

MAX_BUFFER_BYTES = 1024 * 1024
READ_BYTES = 64 * 1024
# What the kernel holds is older than the newest report: keep it small.
SEND_BUFFER_BYTES = 32 * 1024

CONNECT_TIMEOUT_MS = 1_000
HELLO_TIMEOUT_MS = 2_000
SEND_TIMEOUT_MS = 5_000
# Reports come about five times a second; a stream this silent is dead.
SILENCE_MS = 10_000

# Pause after an accept that failed: files come free within a moment.
ACCEPT_RETRY_MS = 100

BACKOFF_FIRST_MS = 100
BACKOFF_MOST_MS = 5_000

# Streams that have not said hello yet, beside one for each peer.
MAX_STRANGERS = 16
