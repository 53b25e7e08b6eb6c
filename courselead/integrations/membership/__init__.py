"""Client of the platform's list of entry hosts and workers.

The list lags behind the actual state of its members.
"""

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
