"""An httpcore network backend over plain sockets and anyio's readiness waits.

httpcore's own anyio backend reads through a stream that buffers received bytes in user
space. A readiness check of the socket does not see this buffer, so it could miss bytes
that follow the last response. This backend reads from the socket only on demand:
unread bytes stay in the kernel, where the check finds them. The stream also counts the
bytes passed to the kernel, which tells for certain when nothing was sent.
"""

from __future__ import annotations

import errno
import socket
import ssl
from collections.abc import Iterable
from typing import Any

import anyio
import anyio.lowlevel
import httpcore
from httpcore import AsyncNetworkBackend, AsyncNetworkStream

from .const import DEFAULT_CONNECT_TIMEOUT_MS


class SocketStream(AsyncNetworkStream):
    """A connected socket that is read only on demand and counts the bytes sent."""

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected, non-blocking socket."""
        self._sock = sock
        self.sent_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, or empty bytes at the end of the stream.

        `timeout` is ignored, since the whole exchange runs under one deadline.
        """
        try:
            return await self._receive(max_bytes)
        except (OSError, anyio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def _receive(self, max_bytes: int) -> bytes:
        while True:
            try:
                data = self._sock.recv(max_bytes)
            except BlockingIOError:
                await anyio.wait_readable(self._sock)
                continue
            # Without this, a fast sender would block the other tasks of the event loop.
            await anyio.lowlevel.checkpoint()
            return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send the whole buffer; `timeout` is ignored, as in `read`."""
        try:
            await self._send(memoryview(buffer))
        except (OSError, anyio.ClosedResourceError) as exc:
            raise httpcore.WriteError(str(exc)) from exc

    async def _send(self, view: memoryview) -> None:
        while view:
            try:
                count = self._sock.send(view)
            except BlockingIOError:
                await anyio.wait_writable(self._sock)
                continue
            self.sent_bytes += count
            view = view[count:]

    async def aclose(self) -> None:
        """Close the socket."""
        self.close()

    def close(self) -> None:
        """Close the socket without awaiting, so that a cancelled task can call it."""
        if self._sock.fileno() < 0:
            return
        anyio.notify_closing(self._sock)
        self._sock.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> AsyncNetworkStream:
        """Refuse TLS, which the platform interfaces do not use."""
        raise httpcore.UnsupportedProtocol("TLS is not supported: use an http address")

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable, the only information supported."""
        if info != "is_readable":
            return None
        if self._sock.fileno() < 0:
            return True
        return _is_readable(self._sock)


class SocketBackend(AsyncNetworkBackend):
    """Connects to numeric addresses; `stream` is the most recent connection."""

    def __init__(self) -> None:
        """Create a backend without a connection."""
        self.stream: SocketStream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> AsyncNetworkStream:
        """Connect within the timeout, or raise an httpcore connect error."""
        limit_s = DEFAULT_CONNECT_TIMEOUT_MS / 1000 if timeout is None else timeout
        try:
            with anyio.fail_after(limit_s):
                sock = await _connect(host, port)
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout("connect timed out") from exc
        except (OSError, ValueError, OverflowError) as exc:
            # The last two tell of a host or a port that is not a possible one.
            raise httpcore.ConnectError(str(exc)) from exc
        self.stream = SocketStream(sock)
        return self.stream

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> AsyncNetworkStream:
        """Refuse Unix sockets, which the platform interfaces do not use."""
        raise httpcore.UnsupportedProtocol(
            "Unix sockets are not supported: use an ip:port address"
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep; part of httpcore's interface for its retries, which are disabled."""
        await anyio.sleep(seconds)


async def _connect(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        # If the target port is closed and in the ephemeral range, the kernel can assign
        # it to this socket. The socket then connects to itself, and would read its own
        # request as the response.
        if sock.getsockname() == sock.getpeername():
            raise OSError(errno.ECONNREFUSED, "connected to itself")
    except BaseException:
        sock.close()
        raise
    return sock


def _is_readable(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
