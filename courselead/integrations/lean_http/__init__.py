"""A lean HTTP/1.1 client for calls that are made hundreds of times a second."""

from courselead.integrations.lean_http.connection import Answer, Call, LeanConnection
from courselead.integrations.lean_http.pool import LeanPool, LeanPools, Vouch

__all__ = ["Answer", "Call", "LeanConnection", "LeanPool", "LeanPools", "Vouch"]
