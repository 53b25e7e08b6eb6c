"""Authentication by bearer credentials."""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from courselead.core.credentials import CredentialHolders, credential_digest
from courselead.core.table import AccountRow, Table
from courselead.core.table_check import MAX_AUTHOR_CHARS
from courselead.integrations.http_api import const
from courselead.integrations.http_api.errors import Refusal
from courselead.integrations.http_api.problems import ApiProblem, HttpProblemKind

_SCHEME = b"bearer"
_CHALLENGE = (const.ATTR_WWW_AUTHENTICATE, b'Bearer realm="courselead"')


@dataclass(frozen=True, slots=True)
class Principal:
    """The authenticated sender of a request.

    Attributes:
        client_account: Account of the credential, "" for a fleet operator.
        author: Name recorded with changes; reveals no part of the credential.
    """

    client_account: str
    author: str

    @property
    def is_operator(self) -> bool:
        """Return whether this is a fleet operator."""
        return not self.client_account

    def author_for_record(self, given: str) -> str:
        """Return the name to record for a change.

        The given name is unverified, so it only follows the authenticated one.
        """
        if not self.is_operator or not given:
            return self.author
        return f"{self.author}/{given}"[:MAX_AUTHOR_CHARS]

    def can_see(self, client_account: str) -> bool:
        """Return whether the principal may see an account's rows, jobs and pools."""
        return self.is_operator or self.client_account == client_account


class Credentials:
    """Maps the digest of a bearer credential to its principal.

    The index is rebuilt only when the table's accounts change.
    """

    def __init__(self, operator_hashes: tuple[str, ...]) -> None:
        """Index the operators' digests, which come from the settings."""
        self._operators: dict[bytes, Principal] = {}
        for digest in operator_hashes:
            operator = Principal("", f"operator-{digest[:8]}")
            self._operators[bytes.fromhex(digest)] = operator
        self._indexed_accounts: Map[str, AccountRow] | None = None
        self._holders = CredentialHolders()

    def authenticate(self, values: list[bytes], table: Table) -> Principal:
        """Return the principal of a request's `Authorization` header values.

        Raises:
            Refusal: There is not exactly one known bearer credential.
        """
        if len(values) != 1:
            raise Refusal(_unauthenticated("send one Authorization header"))
        scheme, _, token = values[0].partition(b" ")
        token = token.strip()
        if scheme.lower() != _SCHEME or not token:
            raise Refusal(_unauthenticated("send Authorization: Bearer <credential>"))
        digest = credential_digest(token)
        if digest in self._operators:
            return self._operators[digest]
        name = self._current_holders(table).holder(digest)
        if name is None:
            raise Refusal(_unauthenticated("the credential is not known; renew it"))
        return Principal(name, name)

    def _current_holders(self, table: Table) -> CredentialHolders:
        if self._indexed_accounts is not table.accounts:
            self._holders = CredentialHolders(
                (name, map(bytes.fromhex, row.credential_hashes))
                for name, row in table.accounts.items()
            )
            self._indexed_accounts = table.accounts
        return self._holders


def _unauthenticated(detail: str) -> ApiProblem:
    return ApiProblem(HttpProblemKind.UNAUTHENTICATED, detail, headers=(_CHALLENGE,))
