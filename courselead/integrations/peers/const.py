"""Protocol names, limits and timeouts of the streams between entry hosts."""

PROTOCOL_VERSION = 1

ATTR_HELLO = "hello"
ATTR_REPORT = "report"

MAX_BUFFER_BYTES = 1024 * 1024
READ_BYTES = 64 * 1024
# Reports in the kernel's buffer delay newer ones, so the buffer is small.
SEND_BUFFER_BYTES = 32 * 1024

CONNECT_TIMEOUT_MS = 1_000
HELLO_TIMEOUT_MS = 2_000
SEND_TIMEOUT_MS = 5_000
# Reports arrive about five times a second; a stream without one for so long is dead.
IDLE_TIMEOUT_MS = 10_000

# Delay after a failed accept: file descriptors become free within a short time.
ACCEPT_RETRY_MS = 100

BACKOFF_FIRST_MS = 100
BACKOFF_MAX_MS = 5_000

# Maximum number of incoming streams before their hello; after it there is at most one
# for each peer.
MAX_STREAMS_BEFORE_HELLO = 16
