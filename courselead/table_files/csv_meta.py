"""Metadata lines of a CSV file: the version and the rows as exported.

The line `# version` contains the version. The lines `# exported` contain the rows'
digests as `key=digest`, as many per line as fit the grid. The line `# rows` holds the
number of digests, so that a lost line is detected.
"""

from dataclasses import dataclass, field

from courselead.core.table_check import TableError
from courselead.table_files.cells import read_integer, unguard
from courselead.table_files.const import ATTR_EXPORTED, ATTR_VERSION

METADATA_MARK = "#"
ATTR_ROWS = "rows"
NOTE = "leave the lines below as they are"


@dataclass(slots=True)
class FileMetadata:
    """Contents of the metadata lines of a file, collected line by line."""

    version: object = None
    exported: dict[str, str] = field(default_factory=dict)
    rows: object = None

    def add_line(self, cells: list[str]) -> None:
        """Read one metadata line; other comment lines are ignored."""
        name = cells[0].removeprefix(METADATA_MARK).strip().lower()
        values = [unguard(cell.strip()) for cell in cells[1:]]
        first = values[0] if values else ""
        if name == ATTR_VERSION and first:
            self.version = read_integer(first)
        if name == ATTR_ROWS:
            self.rows = read_integer(first)
        if name != ATTR_EXPORTED:
            return
        for value in values:
            key, _, digest = value.partition("=")
            if key:
                self.exported[key] = digest

    def faults(self) -> list[TableError]:
        """Return a fault if lines with digests were lost."""
        if self.rows is None and not self.exported:
            return []
        if self.rows == len(self.exported):
            return []
        message = "`# exported` or `# rows` lines are lost; export the table again"
        return [TableError("", ATTR_EXPORTED, message)]

    def data(self) -> dict[str, object]:
        """Return the metadata as members of a document."""
        exported = None if self.rows is None else self.exported
        return {ATTR_VERSION: self.version, ATTR_EXPORTED: exported}


def version_line(version: int | None) -> list[str]:
    """Return the cells of the version line."""
    return [f"{METADATA_MARK} {ATTR_VERSION}", "" if version is None else str(version)]


def digest_lines(digests: dict[str, str], width: int) -> list[list[str]]:
    """Return the cells of the lines with the number and the digests of rows.

    Args:
        digests: Digests by row key.
        width: Number of cells of a line after the first.
    """
    entries = [f"{key}={digest}" for key, digest in digests.items()]
    lines = [[f"{METADATA_MARK} {ATTR_ROWS}", str(len(entries)), NOTE]]
    for start in range(0, len(entries), width):
        end = start + width
        lines.append([f"{METADATA_MARK} {ATTR_EXPORTED}", *entries[start:end]])
    return lines
