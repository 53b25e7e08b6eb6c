"""A low-overhead HTTP/1.1 client for calls made hundreds of times per second."""

from courselead.integrations.lean_http.connection import (
    Answer,
    Call,
    LeanConnection,
    MaySend,
)
from courselead.integrations.lean_http.pool import LeanPool, LeanPools, VerifyPeer

__all__ = [
    "Answer",
    "Call",
    "LeanConnection",
    "LeanPool",
    "LeanPools",
    "MaySend",
    "VerifyPeer",
]
