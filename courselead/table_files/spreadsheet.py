"""Detects the encoding and delimiter with which a spreadsheet saved a CSV file."""

import codecs

DELIMITERS = ",;\t"
DEFAULT_DELIMITER = ","
# Start of a first line with which some spreadsheets declare the delimiter.
SEPARATOR_PREFIX = "sep="

_UTF16_MARKS = (codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)


def decode(content: bytes) -> str | None:
    """Return a file as text, None if it is neither UTF-8 nor UTF-16 with a BOM."""
    encoding = "utf-16" if content.startswith(_UTF16_MARKS) else "utf-8-sig"
    try:
        return content.decode(encoding)
    except UnicodeDecodeError:
        return None


def detect_delimiter(text: str) -> str:
    """Return the first delimiter outside quotes, `DEFAULT_DELIMITER` without one."""
    quoted = False
    for char in text:
        if char == '"':
            quoted = not quoted
        elif not quoted and char in DELIMITERS:
            return char
    return DEFAULT_DELIMITER
