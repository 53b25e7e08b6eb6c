"""Environment variables, paths and limits of the command line."""

ENV_ENTRY_HOSTS = "COURSELEAD_ENTRY_HOSTS"
ENV_CREDENTIAL = "COURSELEAD_CREDENTIAL"

PATH_TABLE = "/v1/table"
PATH_HISTORY = "/v1/table/history"
PATH_STATUS = "/v1/status"
PATH_WORKERS = "/v1/workers"
PATH_ZONES = "/v1/zones"
PATH_ZONES_EVACUATE = "/v1/zones/evacuate"
PATH_ZONES_RESTORE = "/v1/zones/restore"
PATH_JOBS = "/v1/jobs"
PATH_JOBS_CANCEL = "/v1/jobs/cancel"
PATH_SERVICES = "/v1/services"

DEFAULT_TIMEOUT_MS = 15_000
DEFAULT_HISTORY_LIMIT = 20
CONNECT_TIMEOUT_MS = 3_000
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_CREDENTIAL_BYTES = 4_096
CREDENTIAL_BYTES = 32

# Kinds of problems of one entry host, so that another one may serve the request.
HOST_SPECIFIC_KINDS = ("entry-host-leaving", "log-unavailable", "overload")
KIND_CONFLICT = "table-conflict"
RUN_UNKNOWN = "unknown"
