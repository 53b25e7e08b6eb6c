"""Failures of reading the membership list; the last good list stays in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipUnavailable:
    """The list gave no answer: keep the last good list and fetch again later."""

    reason: str


@dataclass(frozen=True, slots=True)
class MembershipMalformed:
    """The list's answer breaks the protocol: keep the last good list and tell."""

    reason: str


MembershipError = MembershipUnavailable | MembershipMalformed
