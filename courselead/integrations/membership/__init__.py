"""The platform's list of entry_hosts and workers, which lags behind them."""

from .client import MembershipClient
from .errors import MembershipError, MembershipMalformed, MembershipUnavailable
from .models import Member, MemberKind, MembershipList, MemberState

__all__ = [
    "Member",
    "MemberKind",
    "MemberState",
    "MembershipClient",
    "MembershipError",
    "MembershipList",
    "MembershipMalformed",
    "MembershipUnavailable",
]
