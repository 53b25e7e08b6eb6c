"""Key names, defaults and bounds of the settings file."""

CONF_ENTRY_HOST = "entry_host"
CONF_AVAILABILITY_ZONE = "availability_zone"
CONF_LISTEN = "listen"
CONF_PEER_LISTEN = "peer_listen"
CONF_PEERS = "peers"
CONF_ADDRESS = "address"
CONF_LOG_URL = "log_url"
CONF_MEMBERSHIP_URL = "membership_url"
CONF_OPERATOR_CREDENTIAL_HASHES = "operator_credential_hashes"
CONF_LIMITS = "limits"
CONF_LOG_LEVEL = "log_level"
CONF_TIMINGS = "timings"

CONF_BODY_BYTES = "body_bytes"
CONF_HEADER_BYTES = "header_bytes"
CONF_HEAD_TIMEOUT_MS = "head_timeout_ms"
CONF_BODY_TIMEOUT_MS = "body_timeout_ms"
CONF_IDLE_MS = "idle_ms"
CONF_MAX_CONNECTIONS = "max_connections"
CONF_MAX_IN_FLIGHT = "max_in_flight"
CONF_REQUEST_MEMORY_MB = "request_memory_mb"

CONF_TICK_MS = "tick_ms"
CONF_BEAT_MS = "beat_ms"
CONF_LOST_AFTER_MS = "lost_after_ms"
CONF_MAINTENANCE_PERIOD_MS = "maintenance_period_ms"
CONF_SNAPSHOT_EVERY = "snapshot_every"

DEFAULT_BODY_BYTES = 1024 * 1024
DEFAULT_HEADER_BYTES = 32 * 1024
DEFAULT_HEAD_TIMEOUT_MS = 5_000
DEFAULT_BODY_TIMEOUT_MS = 10_000
DEFAULT_IDLE_MS = 30_000
DEFAULT_MAX_CONNECTIONS = 1_024
DEFAULT_MAX_IN_FLIGHT = 512
DEFAULT_REQUEST_MEMORY_MB = 128

DEFAULT_TICK_MS = 50
DEFAULT_BEAT_MS = 2_000
DEFAULT_LOST_AFTER_MS = 10_000
DEFAULT_MAINTENANCE_PERIOD_MS = 14 * 24 * 60 * 60 * 1000
DEFAULT_SNAPSHOT_EVERY = 10_000

DEFAULT_LOG_LEVEL = "info"
LOG_LEVELS = ("debug", "info", "warning", "error")

BYTES_PER_MIB = 1024 * 1024

MAX_FILE_BYTES = 1024 * 1024
MAX_MS = 365 * 24 * 60 * 60 * 1000
MAX_PEERS = 64
MAX_REQUEST_MEMORY_MB = 1024 * 1024
MAX_PORT = 65_535
NAME_PATTERN = r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?"
DIGEST_PATTERN = r"[0-9a-f]{64}"

BYTES_HELD_PER_BODY_BYTE = 2
"""A buffer that grows, and the copy that is made of it when the body is complete."""

RESERVE_DIVISOR = 4
"""One part in so many of the memory for requests is kept for small requests."""
