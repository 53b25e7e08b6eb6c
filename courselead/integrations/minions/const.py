"""Header names, refusal reasons and timeouts of requests to minions."""

ATTR_REQUEST_ID = b"courselead-request-id"
ATTR_REFUSED = b"courselead-refused"

REFUSED_FULL = "full"
REFUSED_LEAVING = "leaving"
REFUSALS = frozenset({REFUSED_FULL, REFUSED_LEAVING})

STATUS_UNAVAILABLE = 503

REFUSAL_BODY_WAIT_MS = 100
