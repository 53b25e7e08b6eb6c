"""Reads and writes the table as a CSV file for spreadsheets.

One grid holds both kinds of rows: the first column is the kind of the row, and cells of
columns that this kind does not have are empty.
"""

import csv
import io
from dataclasses import replace

from returns.result import Failure, Result, Success

from courselead.core.table_check import Faults, TableError
from courselead.table_files.cells import DECIMAL_POINT, write_cell
from courselead.table_files.const import ATTR_ROW, KIND_ACCOUNT, KIND_SERVICE
from courselead.table_files.csv_meta import (
    METADATA_MARK,
    FileMetadata,
    digest_lines,
    version_line,
)
from courselead.table_files.csv_rows import CSV_COLUMNS, RowReader
from courselead.table_files.document import TableDocument, document_from, row_data
from courselead.table_files.spreadsheet import (
    SEPARATOR_PREFIX,
    decode,
    detect_delimiter,
)

COMMA = ","
SEMICOLON = ";"


def write_csv(document: TableDocument, delimiter: str = COMMA) -> bytes:
    """Return the bytes of a CSV file.

    Args:
        document: The table; the file includes its version and digests.
        delimiter: `,`, or `;` for spreadsheets with a decimal comma; numbers are then
            written with a decimal comma as well.
    """
    decimal = COMMA if delimiter == SEMICOLON else DECIMAL_POINT
    out = io.StringIO()
    writer = csv.writer(out, delimiter=delimiter, lineterminator="\r\n")
    writer.writerow(version_line(document.version))
    writer.writerow([ATTR_ROW, *CSV_COLUMNS])
    for account in document.rows.accounts:
        writer.writerow(_cells(KIND_ACCOUNT, row_data(account), decimal))
    for service in document.rows.services:
        writer.writerow(_cells(KIND_SERVICE, row_data(service), decimal))
    writer.writerows(digest_lines(document.digests(), len(CSV_COLUMNS)))
    return out.getvalue().encode()


def read_csv(content: bytes) -> Result[TableDocument, Faults]:
    """Read a table from the bytes of a CSV file as spreadsheets save it.

    Accepts commas, semicolons or tabs as delimiters, a byte order mark, UTF-8 or
    UTF-16, quoted cells, both line endings, and columns in any order.

    Returns:
        The document, or all its faults, located by line number.
    """
    text = decode(content)
    if text is None:
        return _file_fault("not UTF-8; save the file as CSV UTF-8")
    delimiter = detect_delimiter(text)
    reader = RowReader(COMMA if delimiter == SEMICOLON else DECIMAL_POINT)
    metadata = FileMetadata()
    lines = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter)
    try:
        for cells in lines:
            if not any(cell.strip() for cell in cells):
                continue
            if cells[0].lower().startswith(SEPARATOR_PREFIX):
                continue
            if cells[0].startswith(METADATA_MARK):
                metadata.add_line(cells)
                continue
            reader.add_line(lines.line_num, cells)
    except csv.Error as exc:
        return _file_fault(f"not CSV; correct it: {exc}")
    return _document(reader, metadata)


def _cells(kind: str, data: dict[str, object], decimal: str) -> list[str]:
    """Return the cells of a row, with its kind first."""
    cells = [kind]
    for name in CSV_COLUMNS:
        cells.append(write_cell(data[name], decimal) if name in data else "")
    return cells


def _document(
    reader: RowReader, metadata: FileMetadata
) -> Result[TableDocument, Faults]:
    """Return the document, or the faults, of a file that was read completely."""
    if reader.header is None:
        return _file_fault(f"no header line; it has to contain {ATTR_ROW}")
    faults = [*reader.faults, *metadata.faults()]
    data = {
        "accounts": reader.rows[KIND_ACCOUNT],
        "services": reader.rows[KIND_SERVICE],
        **metadata.data(),
    }
    checked = document_from(data)
    if isinstance(checked, Failure):
        for fault in checked.failure():
            row = reader.line_by_row.get(fault.row, fault.row)
            faults.append(replace(fault, row=row))
    if faults:
        return Failure(tuple(faults))
    return Success(checked.unwrap())


def _file_fault(message: str) -> Failure[Faults]:
    """Return a single fault that concerns the whole file."""
    return Failure((TableError("", "", message),))
