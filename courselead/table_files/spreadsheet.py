"""What spreadsheets do to CSV files: encodings and delimiters."""

import codecs

DELIMITERS = ",;\t"
DEFAULT_DELIMITER = ","
# A line that some spreadsheets put first to name the delimiter.
SEPARATOR_LINE = "sep="

_UTF16_MARKS = (codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)


def decode(content: bytes) -> str | None:
    """Return the text of a file, None if it is neither UTF-8 nor marked UTF-16."""
    encoding = "utf-16" if content.startswith(_UTF16_MARKS) else "utf-8-sig"
    try:
        return content.decode(encoding)
    except UnicodeDecodeError:
        return None


def delimiter_of(text: str) -> str:
    """Return the first delimiter outside of quotes."""
    quoted = False
    for char in text:
        if char == '"':
            quoted = not quoted
        elif not quoted and char in DELIMITERS:
            return char
    return DEFAULT_DELIMITER
