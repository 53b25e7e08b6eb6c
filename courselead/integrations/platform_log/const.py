"""Paths, size limits and default timeouts of the log."""

APPEND_TARGET = b"/v1/log/append"
READ_PATH = "/v1/log/read"

MAX_RECORD_BYTES = 1024 * 1024
MAX_PAGE_BYTES = 32 * 1024 * 1024

DEFAULT_READ_LIMIT = 1000
# A read does not detect an outage of the log while it waits for records, so the wait is
# short.
DEFAULT_READ_WAIT_MS = 1_000
DEFAULT_READ_TIMEOUT_MS = 5_000

DEFAULT_BACKOFF_FIRST_MS = 50
DEFAULT_BACKOFF_MAX_MS = 2_000

STATUS_OK = 200
STATUS_GONE = 410
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
