"""Paths, error names and limits of the worker agents' API."""

STATE_TARGET = "/v1/state"
START_TARGET = "/v1/minion/start"
STOP_TARGET = "/v1/minion/stop"
REBOOT_TARGET = "/v1/reboot"
TASKS_TARGET = "/v1/tasks"

DEFAULT_TIMEOUT_MS = 2_000
MAX_ANSWER_BYTES = 8 * 1024 * 1024

ERROR_BUSY = "busy"
ERROR_NOT_FOUND = "not_found"
ERROR_STALE_ATTEMPT = "stale_attempt"
ERROR_STALE_EPOCH = "stale_epoch"

STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
