"""A TCP stream of frames."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

from courselead.integrations.peers import const
from courselead.integrations.peers.codec import Frame, FrameDecoder, Hello, encode
from courselead.integrations.peers.errors import (
    HelloLate,
    MalformedFrame,
    PeerSilent,
)


class FrameStream:
    """Sends and receives frames with timeouts.

    Network errors are raised as anyio's exceptions, protocol errors as PeerError.
    """

    def __init__(self, stream: SocketStream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._decoder = FrameDecoder()
        sock: socket.socket = stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, const.SEND_BUFFER_BYTES)
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, const.SEND_TIMEOUT_MS
            )

    async def send(self, frame: Frame) -> None:
        """Send a frame.

        Raises:
            PeerSilent: The frame could not be sent in time.
        """
        data = encode(frame)
        with anyio.move_on_after(const.SEND_TIMEOUT_MS / 1000):
            await self._stream.send(data)
            return
        raise PeerSilent(f"no frame could be sent for {const.SEND_TIMEOUT_MS} ms")

    async def receive(self) -> list[Frame]:
        """Return the next frames, at least one.

        Raises:
            MalformedFrame: The bytes are not valid frames.
            anyio.EndOfStream: The peer closed the stream.
        """
        frames: list[Frame] = []
        while not frames:
            data = await self._stream.receive(const.READ_BYTES)
            frames = self._decoder.feed(data)
        return frames

    async def receive_hello(self) -> tuple[Hello, list[Frame]]:
        """Return the peer's hello and the frames that were received with it.

        Raises:
            HelloLate: No hello was received in time.
            MalformedFrame: The first frame is not a hello.
        """
        with anyio.move_on_after(const.HELLO_TIMEOUT_MS / 1000):
            first, *rest = await self.receive()
            if not isinstance(first, Hello):
                raise MalformedFrame("the first frame is not a hello")
            return first, rest
        raise HelloLate(f"no hello within {const.HELLO_TIMEOUT_MS} ms")

    async def close(self) -> None:
        """Close the stream immediately."""
        await anyio.aclose_forcefully(self._stream)
