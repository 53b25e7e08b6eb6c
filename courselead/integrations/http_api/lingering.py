"""A transport that half-closes first and reads until the caller has closed."""

from __future__ import annotations

import asyncio
from typing import Any

LINGER_TIMEOUT_S = 1.0
"""Time a caller has to close its side: several round trips, or a busy caller."""


class LingeringTransport(asyncio.Transport):
    """Closes a connection without losing data that the caller has not read yet.

    Closing a socket while data still arrives resets the connection, and the reset can
    discard a response that the caller has not read yet (RFC 9112, section 9.6). This
    transport shuts down only the sending side, so the caller reads the end of the
    stream. The protocol discards what still arrives while `is_closing` is true.
    """

    def __init__(self, inner: asyncio.Transport) -> None:
        """Wrap the transport of an accepted connection."""
        super().__init__()
        self._inner = inner
        self._half_closed = False
        self._paused = False
        self._held = False

    def close(self) -> None:
        """Shut down the sending side, then close once the caller has closed its side.

        Buffered data is sent first.
        """
        if self.is_closing():
            return
        self._half_closed = True
        try:
            self._inner.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._inner.abort()
            return
        # While reading is paused, neither data nor the caller's close is noticed.
        self._inner.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._inner.close)

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self._inner.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closing or its sending side is shut down."""
        return self._half_closed or self._inner.is_closing()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; ignored once the sending side is shut down."""
        if not self._half_closed:
            self._inner.write(data)

    def pause_reading(self) -> None:
        """Stop reading; incoming data stays in the kernel's receive buffer."""
        self._paused = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Resume reading, unless it is held as well."""
        self._paused = False
        self._update_reading()

    def hold_reading(self) -> None:
        """Stop reading for another reason, which `resume_reading` does not end."""
        self._held = True
        self._update_reading()

    def release_reading(self) -> None:
        """End the hold; reading resumes unless it is paused as well."""
        self._held = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self._half_closed:
            # What arrives is discarded; `close` has resumed reading.
            return
        if self._paused or self._held:
            self._inner.pause_reading()
        else:
            self._inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return asyncio's extra information about the transport."""
        return self._inner.get_extra_info(name, default)
