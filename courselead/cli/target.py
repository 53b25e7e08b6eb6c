"""Options for the entry hosts that a command uses, and for the credential."""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

from cyclopts import Parameter

from courselead.cli.const import (
    DEFAULT_TIMEOUT_MS,
    ENV_CREDENTIAL,
    ENV_ENTRY_HOSTS,
    MAX_CREDENTIAL_BYTES,
)
from courselead.cli.errors import UsageError
from courselead.cli.output import warn

MAX_TIMEOUT_MS = 600_000


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Target:
    """Options of all commands that send requests to an entry host."""

    entry_host: Annotated[
        tuple[str, ...],
        Parameter(
            negative="",
            help="URL with an IP address; repeat it for more, tried in this order. "
            f"Without it: {ENV_ENTRY_HOSTS}, comma-separated.",
        ),
    ] = ()
    credential_file: Annotated[
        Path | None,
        Parameter(help=f"File with the credential. Without it: {ENV_CREDENTIAL}."),
    ] = None
    timeout_ms: Annotated[
        int, Parameter(help="Maximum wait for an answer, in milliseconds.")
    ] = DEFAULT_TIMEOUT_MS

    def urls(self, env: Mapping[str, str] = os.environ) -> tuple[str, ...]:
        """Return the entry hosts' URLs.

        Raises:
            UsageError: There is none, or one is invalid.
        """
        urls = self.entry_host
        if not urls:
            listed = env.get(ENV_ENTRY_HOSTS, "").split(",")
            urls = tuple(url.strip() for url in listed if url.strip())
        if not urls:
            raise UsageError(f"no entry host; give --entry-host or {ENV_ENTRY_HOSTS}")
        return tuple(_checked_url(url) for url in urls)

    def credential(self, env: Mapping[str, str] = os.environ) -> str:
        """Return the credential, which no message contains.

        Raises:
            UsageError: There is none, or it has invalid characters.
        """
        if self.credential_file is not None:
            text = _read_credential(self.credential_file)
        else:
            text = env.get(ENV_CREDENTIAL, "").strip()
        if not text:
            raise UsageError(
                f"no credential; give --credential-file or {ENV_CREDENTIAL}"
            )
        if not text.isascii() or not text.isprintable() or " " in text:
            raise UsageError(
                "the credential has spaces or is not printable ASCII; check it"
            )
        return text

    def checked_timeout_ms(self) -> int:
        """Return the timeout.

        Raises:
            UsageError: It is out of range.
        """
        if 1 <= self.timeout_ms <= MAX_TIMEOUT_MS:
            return self.timeout_ms
        raise UsageError(f"give --timeout-ms from 1 to {MAX_TIMEOUT_MS}")


def _checked_url(url: str) -> str:
    """Return a URL that consists of the scheme, an IP address and a port."""
    remedy = f"{url!r}: give an entry host as http://IP:PORT"
    try:
        parts = urlsplit(url)
        port = parts.port
        ipaddress.ip_address(parts.hostname or "")
    except ValueError as exc:
        raise UsageError(remedy) from exc
    unexpected = (parts.path.strip("/"), parts.query, parts.fragment, parts.username)
    if parts.scheme != "http" or port is None or any(unexpected):
        raise UsageError(remedy)
    return f"http://{parts.netloc}"


def _read_credential(path: Path) -> str:
    """Read the credential from a file."""
    try:
        with path.open("rb") as file:
            content = file.read(MAX_CREDENTIAL_BYTES + 1)
            mode = os.fstat(file.fileno()).st_mode
    except OSError as exc:
        raise UsageError(f"{path}: {exc.strerror}; check --credential-file") from exc
    if mode & 0o077:
        warn(f"{path} can be read by others; run chmod 600 on it")
    if len(content) > MAX_CREDENTIAL_BYTES:
        raise UsageError(f"{path}: too long for a credential; check the file")
    return content.decode("utf-8", "replace").strip()
