"""Single HTTP/1.1 connections whose outcome is exact about what was sent.

Every integration that talks HTTP builds on this folder. It says of a failed
exchange whether any byte had left, and never reuses a connection that still holds
bytes nobody asked for.
"""

from .client import HttpClient, WholeAnswer
from .connection import HttpRequest, SingleConnection, StreamedAnswer
from .const import HttpLimits
from .errors import Broken, ConnectionBusy, ExchangeError, MaybeSent, NotSent

__all__ = [
    "Broken",
    "ConnectionBusy",
    "ExchangeError",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "MaybeSent",
    "NotSent",
    "SingleConnection",
    "StreamedAnswer",
    "WholeAnswer",
]
