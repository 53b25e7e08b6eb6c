"""Client accounts of a site, as its operator changes them."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count

HEADER_KEY = b"x-api-key"


@dataclass(slots=True)
class SiteAccounts:
    """Accounts with their keys and caps.

    Attributes:
        usual_caps: Thousandths of a core that each may have at work; 0 is no limit.
        caps: The same in the newest configuration.
        keys: In force, by account, newest last.
        revoked: Keys that were taken away.
    """

    usual_caps: dict[str, int]
    caps: dict[str, int]
    keys: dict[str, list[str]] = field(default_factory=dict)
    revoked: set[str] = field(default_factory=set)
    _numbers: count[int] = field(default_factory=lambda: count(1))

    @classmethod
    def with_caps(cls, caps: dict[str, int]) -> SiteAccounts:
        """Return accounts with a key each."""
        accounts = cls(caps, dict(caps))
        for name in caps:
            accounts.keys[name] = []
            accounts.add_key(name)
        return accounts

    def key(self, name: str) -> str:
        """Return the key that an account's callers use."""
        return self.keys[name][-1]

    def add_key(self, name: str) -> None:
        """Give an account another key, which its callers use from now on."""
        self.keys[name].append(f"{name}-key-{next(self._numbers)}")

    def revoke_oldest(self, name: str) -> None:
        """Take an account's oldest key away."""
        self.revoked.add(self.keys[name].pop(0))

    def document(self) -> list[dict[str, object]]:
        """Return the accounts as a configuration names them."""
        rows = []
        for name, cap in self.caps.items():
            row = {"name": name, "apiKeys": self.keys[name], "cap": {"cpu": cap}}
            rows.append({**row, "weight": 10})
        return rows
