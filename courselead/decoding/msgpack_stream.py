"""MessagePack values that arrive one after the other on a stream."""

from __future__ import annotations

import msgpack
from returns.result import Failure, Result, Success

from courselead.decoding.errors import DECODE_ERRORS, NESTED_TOO_DEEPLY, Malformed

_STREAM_ERRORS = (
    *DECODE_ERRORS,
    # A full buffer, or a byte that is not MessagePack.
    msgpack.UnpackException,
    # A map key that Python cannot hash.
    TypeError,
)


class MsgpackStreamDecoder:
    """Decodes the bytes of one stream into values of lists and dictionaries."""

    def __init__(self, max_buffer_bytes: int) -> None:
        """Begin a stream; a value over the limit is malformed."""
        self._unpacker = msgpack.Unpacker(
            raw=False, strict_map_key=True, max_buffer_size=max_buffer_bytes
        )

    def feed(self, data: bytes) -> Result[list[object], Malformed]:
        """Return the values that these bytes complete.

        After a failure the stream cannot be read any further.
        """
        try:
            self._unpacker.feed(data)
            return Success(list(self._unpacker))
        except msgpack.StackError:
            return Failure(NESTED_TOO_DEEPLY)
        except _STREAM_ERRORS as exc:
            return Failure(Malformed.from_error(exc))
