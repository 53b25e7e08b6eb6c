"""Decoding of content from outside this process: one module for each format.

Every content yields a typed result, whatever it is. Only these modules call the
libraries' decoders and know their exceptions; the linter rejects other calls.
"""

from courselead.decoding.errors import NESTED_TOO_DEEPLY, Malformed, RepeatedKey
from courselead.decoding.json_format import (
    JsonDecoder,
    JsonDocumentDecoder,
    PythonJsonDecoder,
)
from courselead.decoding.msgpack_format import MsgpackDecoder
from courselead.decoding.msgpack_stream import MsgpackStreamDecoder
from courselead.decoding.toml_format import decode_toml
from courselead.decoding.values import ValueDecoder, decode_map

__all__ = [
    "NESTED_TOO_DEEPLY",
    "JsonDecoder",
    "JsonDocumentDecoder",
    "Malformed",
    "MsgpackDecoder",
    "MsgpackStreamDecoder",
    "PythonJsonDecoder",
    "RepeatedKey",
    "ValueDecoder",
    "decode_map",
    "decode_toml",
]
