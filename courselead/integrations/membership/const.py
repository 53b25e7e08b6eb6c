"""Path, timeout and size limit of the membership list."""

MEMBERS_TARGET = b"/v1/members"

DEFAULT_TIMEOUT_MS = 2_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

ATTR_ETAG = b"etag"
ATTR_IF_NONE_MATCH = b"if-none-match"
