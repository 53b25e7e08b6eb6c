"""What commands write: text to read, JSON, and notes on standard error."""

import json
import sys

REPLACEMENT = "\ufffd"


def emit(text: str) -> None:
    """Write text to read on standard output."""
    sys.stdout.write(f"{plain(text)}\n")


def emit_json(data: object) -> None:
    """Write JSON on standard output."""
    text = json.dumps(data, indent=2)
    sys.stdout.write(f"{text}\n")


def emit_bytes(content: bytes) -> None:
    """Write bytes as they are on standard output."""
    sys.stdout.flush()
    sys.stdout.buffer.write(content)
    sys.stdout.buffer.flush()


def warn(text: str) -> None:
    """Write a note or an error on standard error."""
    sys.stderr.write(f"{plain(text)}\n")


def plain(text: str) -> str:
    """Return a text without control characters.

    Texts of an entry host or a target must not move the terminal's cursor.
    """
    return "".join(_plain_char(char) for char in text)


def _plain_char(char: str) -> str:
    """Return a character, replaced if it is neither printable nor a line end."""
    if char.isprintable() or char == "\n":
        return char
    return REPLACEMENT
