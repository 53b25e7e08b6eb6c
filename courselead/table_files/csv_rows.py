"""Reads the rows of a CSV file into the form of decoded JSON."""

from dataclasses import dataclass, field

from courselead.core.table_check import TableError
from courselead.core.table_columns import ACCOUNT_COLUMNS, SERVICE_COLUMNS, Column
from courselead.table_files.cells import read_cell, unguard
from courselead.table_files.const import ATTR_ROW, KIND_ACCOUNT, KIND_SERVICE

_KINDS = {
    KIND_ACCOUNT: {column.name: column for column in ACCOUNT_COLUMNS},
    KIND_SERVICE: {column.name: column for column in SERVICE_COLUMNS},
}
_MAX_NAME_CHARS = 40

# Columns of both kinds of rows, in the order of an exported file.
CSV_COLUMNS = tuple(
    dict.fromkeys(column.name for column in (*SERVICE_COLUMNS, *ACCOUNT_COLUMNS))
)


@dataclass(slots=True)
class RowReader:
    """Collects rows line by line.

    Attributes:
        decimal: Decimal mark of numbers.
        header: Names of the columns, None before the header line.
        rows: Decoded rows by kind.
        line_by_row: Line of each row by its path, such as `services[3]`.
        faults: Faults in the structure of the lines; values are checked later.
    """

    decimal: str
    header: list[str] | None = None
    rows: dict[str, list[dict[str, object]]] = field(
        default_factory=lambda: {KIND_ACCOUNT: [], KIND_SERVICE: []}
    )
    line_by_row: dict[str, str] = field(default_factory=dict)
    faults: list[TableError] = field(default_factory=list)

    def add_line(self, number: int, cells: list[str]) -> None:
        """Read the header line or the line of a row.

        Args:
            number: Number of the line, from 1.
            cells: Cells of the line.
        """
        if self.header is None:
            self.header = [unguard(cell.strip()).lower() for cell in cells]
            self.faults.extend(_header_faults(self.header))
            return
        line = f"line {number}"
        if any(cell.strip() for cell in cells[len(self.header) :]):
            message = "more cells than columns; check quotes and delimiters"
            self.faults.append(TableError(line, "", message))
            return
        named = dict(zip(self.header, cells, strict=False))
        kind = named.pop(ATTR_ROW, "").strip().lower()
        if kind not in _KINDS:
            message = f"not a kind of row; give {KIND_ACCOUNT} or {KIND_SERVICE}"
            self.faults.append(TableError(line, ATTR_ROW, message))
            return
        index = len(self.rows[kind])
        self.line_by_row[f"{kind}s[{index}]"] = line
        self.rows[kind].append(self._values(_KINDS[kind], named, line))

    def _values(
        self, columns: dict[str, Column], named: dict[str, str], line: str
    ) -> dict[str, object]:
        """Return the values of a row, without the columns whose cells are empty."""
        values: dict[str, object] = {}
        for name, cell in named.items():
            if not cell.strip():
                continue
            if name not in columns:
                message = "not a column of this kind of row; empty the cell"
                self.faults.append(TableError(line, name, message))
                continue
            values[name] = read_cell(columns[name], cell, self.decimal)
        return values


def _header_faults(header: list[str]) -> list[TableError]:
    """Return the faults of the header line."""
    faults = []
    if ATTR_ROW not in header:
        message = f"no column {ATTR_ROW}; start from an exported file"
        faults.append(TableError("header", ATTR_ROW, message))
    for name in dict.fromkeys(header):
        if name and name != ATTR_ROW and name not in CSV_COLUMNS:
            message = "unknown column; remove it or correct its name"
            faults.append(TableError("header", name[:_MAX_NAME_CHARS], message))
        if name and header.count(name) > 1:
            message = "column occurs twice; remove one"
            faults.append(TableError("header", name[:_MAX_NAME_CHARS], message))
    return faults
