"""Reads and writes the table as a JSON file."""

import json

from returns.result import Failure, Result, Success

from courselead.core.table_check import Faults, TableError
from courselead.decoding import (
    NESTED_TOO_DEEPLY,
    JsonDocumentDecoder,
    Malformed,
    RepeatedKey,
)
from courselead.table_files.const import ATTR_EXPORTED, ATTR_VERSION
from courselead.table_files.document import TableDocument, document_from, row_data

_MAX_KEY_CHARS = 40
_DOCUMENT_DECODER = JsonDocumentDecoder()


def read_json(content: bytes) -> Result[TableDocument, Faults]:
    """Read a table from the bytes of a JSON file.

    Returns:
        The document, or all its faults.
    """
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError:
        return _file_fault("not UTF-8; save the file as UTF-8")
    decoded = _DOCUMENT_DECODER.decode(text)
    if isinstance(decoded, Success):
        return document_from(decoded.unwrap())
    malformed = decoded.failure()
    if malformed == NESTED_TOO_DEEPLY:
        return _file_fault("not a table: nested too deeply; start from an exported one")
    return _file_fault(f"not JSON; correct it: {_detail(malformed)}")


def write_json(document: TableDocument) -> bytes:
    """Return the bytes of a JSON file, with the digests of its rows."""
    data = {
        ATTR_VERSION: document.version,
        "accounts": [row_data(row) for row in document.rows.accounts],
        "services": [row_data(row) for row in document.rows.services],
        ATTR_EXPORTED: document.digests(),
    }
    text = json.dumps(data, indent=2)
    return f"{text}\n".encode()


def _file_fault(message: str) -> Failure[Faults]:
    """Return a single fault that concerns the whole file."""
    return Failure((TableError("", "", message),))


def _detail(malformed: Malformed) -> str:
    """Return why a file is not JSON."""
    if isinstance(malformed, RepeatedKey):
        shown = repr(malformed.key[:_MAX_KEY_CHARS])
        return f"{shown} occurs twice in one object"
    return malformed.reason
