"""Finds the account of a credential by its digest, without a timing side channel."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def credential_digest(credential: bytes) -> bytes:
    """Return the SHA-256 digest of a credential in the form that callers send."""
    return hashlib.sha256(credential).digest()


class CredentialHolders:
    """Maps credential digests to the accounts that hold them.

    Only digests are stored and compared, so the time of a lookup reveals nothing
    about a stored credential.

    Attributes:
        ambiguous: Accounts that share a credential with another account.
    """

    def __init__(self, holders: Iterable[tuple[str, Iterable[bytes]]] = ()) -> None:
        """Index the digests of the given accounts; drop digests that are shared."""
        self._by_digest: dict[bytes, str] = {}
        shared: set[bytes] = set()
        ambiguous: set[str] = set()
        for name, digests in holders:
            for digest in digests:
                holder = self._by_digest.setdefault(digest, name)
                if holder != name:
                    shared.add(digest)
                    ambiguous.update((holder, name))
        # With a shared credential, one account could act as the other.
        for digest in shared:
            del self._by_digest[digest]
        self.ambiguous = frozenset(ambiguous)

    def holder(self, digest: bytes) -> str | None:
        """Return the account that holds a credential, None if there is none."""
        return self._by_digest.get(digest)
