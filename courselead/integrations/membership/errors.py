"""Errors of fetching the membership list; the last valid list remains in use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipUnavailable:
    """The service did not respond with a list: keep the last one and retry later."""

    reason: str


@dataclass(frozen=True, slots=True)
class MembershipMalformed:
    """The response violates the protocol: keep the last valid list and report it."""

    reason: str


MembershipError = MembershipUnavailable | MembershipMalformed
