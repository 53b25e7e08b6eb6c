"""Output of commands: text and JSON on standard output, messages on standard error."""

import json
import sys

REPLACEMENT = "\ufffd"


def emit(text: str) -> None:
    """Write text on standard output."""
    sys.stdout.write(f"{replace_control_chars(text)}\n")


def emit_json(data: object) -> None:
    """Write JSON on standard output."""
    text = json.dumps(data, indent=2)
    sys.stdout.write(f"{text}\n")


def emit_bytes(content: bytes) -> None:
    """Write bytes unchanged on standard output."""
    sys.stdout.flush()
    sys.stdout.buffer.write(content)
    sys.stdout.buffer.flush()


def warn(text: str) -> None:
    """Write a message on standard error."""
    sys.stderr.write(f"{replace_control_chars(text)}\n")


def replace_control_chars(text: str) -> str:
    """Return a text with its control characters replaced.

    Otherwise a text from an entry host or a target could control the terminal.
    """
    return "".join(_printable_char(char) for char in text)


def _printable_char(char: str) -> str:
    """Return a character, or the replacement for one that is not printable."""
    if char.isprintable() or char == "\n":
        return char
    return REPLACEMENT
