"""Client accounts of a site, with the changes that an operator makes."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count

HEADER_KEY = b"x-api-key"


@dataclass(slots=True)
class SiteAccounts:
    """Client accounts with their API keys and caps.

    Attributes:
        usual_caps: Initial cap of each account in thousandths of a core; 0 means no
            limit.
        caps: Caps in the newest configuration.
        keys: Valid keys of each account, newest last.
        revoked: Keys that were revoked.
    """

    initial_caps: dict[str, int]
    caps: dict[str, int]
    keys: dict[str, list[str]] = field(default_factory=dict)
    revoked: set[str] = field(default_factory=set)
    _key_numbers: count[int] = field(default_factory=lambda: count(1))

    @classmethod
    def with_caps(cls, caps: dict[str, int]) -> SiteAccounts:
        """Return accounts with one key each."""
        accounts = cls(caps, dict(caps))
        for name in caps:
            accounts.keys[name] = []
            accounts.add_key(name)
        return accounts

    def key(self, name: str) -> str:
        """Return the newest key of an account, which its callers use."""
        return self.keys[name][-1]

    def add_key(self, name: str) -> None:
        """Add a key to an account; its callers use it from now on."""
        self.keys[name].append(f"{name}-key-{next(self._key_numbers)}")

    def revoke_oldest(self, name: str) -> None:
        """Revoke the oldest key of an account."""
        self.revoked.add(self.keys[name].pop(0))

    def to_config(self) -> list[dict[str, object]]:
        """Return the accounts in the form of the operator config."""
        rows = []
        for name, cap in self.caps.items():
            row = {"name": name, "apiKeys": self.keys[name], "cap": {"cpu": cap}}
            rows.append({**row, "weight": 10})
        return rows
