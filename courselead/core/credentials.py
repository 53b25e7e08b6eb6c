"""Whose a credential is: known by digests alone, looked up without a trace in time."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def digest_of(credential: bytes) -> bytes:
    """Return the SHA-256 digest of a credential as its caller sends it."""
    return hashlib.sha256(credential).digest()


class CredentialHolders:
    """The accounts that hold credentials.

    Only digests are kept and compared, so that the time taken says nothing about a
    stored credential.

    Attributes:
        ambiguous: Accounts that share a credential with another one.
    """

    def __init__(self, holders: Iterable[tuple[str, Iterable[bytes]]] = ()) -> None:
        """Keep each account's name with the digests of its credentials."""
        self._by_digest: dict[bytes, str] = {}
        shared: set[bytes] = set()
        ambiguous: set[str] = set()
        for name, digests in holders:
            for digest in digests:
                holder = self._by_digest.setdefault(digest, name)
                if holder != name:
                    shared.add(digest)
                    ambiguous.update((holder, name))
        # A credential of two accounts would let one act as the other by chance.
        for digest in shared:
            del self._by_digest[digest]
        self.ambiguous = frozenset(ambiguous)

    def holder(self, digest: bytes) -> str | None:
        """Return the account that holds a credential, nothing if none does."""
        return self._by_digest.get(digest)
