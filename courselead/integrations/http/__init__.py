"""An HTTP/1.1 client that reports whether a failed request may have been sent.

The HTTP clients of other integrations build on this package. The failure of an
exchange tells whether any byte of the request was sent, and a connection with unread
bytes beyond the last response is never reused.
"""

from .client import FullResponse, HttpClient
from .connection import HttpRequest, SingleConnection, StreamedResponse
from .const import HttpLimits
from .errors import ConnectionBusy, ExchangeError, IncompleteBody, MaybeSent, NotSent

__all__ = [
    "IncompleteBody",
    "ConnectionBusy",
    "ExchangeError",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "MaybeSent",
    "NotSent",
    "SingleConnection",
    "StreamedResponse",
    "FullResponse",
]
