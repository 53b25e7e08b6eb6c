"""Models of the membership list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Address = Annotated[
    str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$")
]


class MemberKind(StrEnum):
    """Role of a member."""

    ENTRY_HOST = "entry_host"
    WORKER = "worker"


class MemberState(StrEnum):
    """State of a member; the list does not contain members that have left."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """A machine of the platform."""

    id: Name
    kind: MemberKind
    state: MemberState
    availability_zone: str
    rack: str
    address: Address
    client_account: str
    cores: Amount
    memory_mb: Count


@dataclass(frozen=True, slots=True)
class MembershipList:
    """A version of the list with all its members."""

    version: Count
    members: tuple[Member, ...]
