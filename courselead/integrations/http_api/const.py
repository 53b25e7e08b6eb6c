"""Paths, header names and limits of the HTTP API."""

from courselead.integrations.http.const import HOP_BY_HOP_HEADERS

PATH_HEALTHZ = b"/healthz"
PATH_READYZ = b"/readyz"
PATH_METRICS = b"/metrics"
PATH_SERVICES = b"/v1/services/"
PATH_TABLE = b"/v1/table"
PATH_HISTORY = b"/v1/table/history"
PATH_STATUS = b"/v1/status"
PATH_WORKERS = b"/v1/workers"
PATH_ZONES = b"/v1/zones"
PATH_ZONES_EVACUATE = b"/v1/zones/evacuate"
PATH_ZONES_RESTORE = b"/v1/zones/restore"
PATH_JOBS = b"/v1/jobs"
PATH_JOB = b"/v1/jobs/"
PATH_CANCEL = b"/v1/jobs/cancel"

ATTR_ALLOW = b"allow"
ATTR_AUTHORIZATION = b"authorization"
ATTR_CONNECTION = b"connection"
ATTR_CONTENT_LENGTH = b"content-length"
ATTR_CONTENT_TYPE = b"content-type"
ATTR_IDEMPOTENCY_KEY = b"idempotency-key"
ATTR_RETRY_AFTER = b"retry-after"
ATTR_TRANSFER_ENCODING = b"transfer-encoding"
ATTR_WWW_AUTHENTICATE = b"www-authenticate"

ATTR_CLASS = b"courselead-class"
ATTR_DEADLINE_MS = b"courselead-deadline-ms"
ATTR_IDEMPOTENT = b"courselead-idempotent"
ATTR_REPLAYED = b"courselead-replayed"
ATTR_REQUEST_ID = b"courselead-request-id"
COURSELEAD_PREFIX = b"courselead-"

# A caller could fake its origin with these headers. `host` and `content-length` are
# set by the client that connects to the minion.
UNTRUSTED_HEADERS = frozenset(
    {
        b"authorization",
        b"content-length",
        b"expect",
        b"forwarded",
        b"host",
        b"x-real-ip",
    }
)
UNTRUSTED_PREFIXES = (COURSELEAD_PREFIX, b"x-forwarded-")
DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | UNTRUSTED_HEADERS

# The server sets its own `Date` header.
DROPPED_ANSWER_HEADERS = HOP_BY_HOP_HEADERS | frozenset({b"date"})

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})

TYPE_JSON = b"application/json"
TYPE_METRICS = b"text/plain; version=0.0.4; charset=utf-8"
TYPE_PROBLEM = b"application/problem+json"
PROBLEM_URN_PREFIX = "urn:courselead:problem:"

MAX_KEY_CHARS = 128
MAX_DEADLINE_MS = 600_000
# The daemon replies by the deadline; the extra time only matters if it fails to.
DEADLINE_GRACE_MS = 5_000
OVERLOAD_RETRY_MS = 1_000
# A caller that is refused while it sends its body can read the response only if the
# connection keeps receiving for a while.
DRAIN_MS = 1_000
DRAIN_BYTES = 8 * 1024 * 1024

MANAGEMENT_DEADLINE_MS = 10_000
