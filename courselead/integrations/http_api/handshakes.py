"""A socket filter that drops new connection attempts to a listening socket."""

from __future__ import annotations

import ctypes
import socket
import struct

import structlog

_LOGGER = structlog.get_logger(__name__)

_SO_ATTACH_FILTER = 26
"""Socket option that attaches a classic BPF filter (asm-generic/socket.h)."""

_FLAGS_OFFSET = 13
"""Offset in bytes of the flags in a TCP header (RFC 9293, section 3.1)."""

_FLAG_SYN = 0x02
_FLAG_ACK = 0x10

# Classic BPF instructions (linux/bpf_common.h): load a byte, mask it, compare and jump,
# return the number of bytes of the segment to keep.
_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_EQUAL = 0x15
_RETURN = 0x06
_KEEP_ALL = 0xFFFF_FFFF

_DROP_SYN_FILTER = (
    (_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
    (_AND, 0, 0, _FLAG_SYN | _FLAG_ACK),
    (_JUMP_EQUAL, 0, 1, _FLAG_SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _KEEP_ALL),
)


def drop_new_handshakes(listener: socket.socket) -> None:
    """Make the kernel drop SYN segments that arrive at a listening socket.

    The kernel completes handshakes on its own, also between the last accept and the
    close, and closing the socket resets those connections together with the requests
    on them. A client whose SYN is dropped retransmits it after 1 s and then gets a
    connection refusal, which tells it that its request was not run.

    Handshakes that have already begun continue, and segments of established connections
    pass. On a kernel without socket filters, only a log line is written.
    """
    code = b"".join(struct.pack("HBBI", *step) for step in _DROP_SYN_FILTER)
    steps = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN_FILTER), ctypes.addressof(steps))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as exc:
        reason = exc.strerror or type(exc).__name__
        _LOGGER.info("new_callers_not_turned_away", reason=reason)
