"""Shows the publish history and conflicts as text."""

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime

from courselead.cli.views import objects
from courselead.core.table import account_key, pool_name, service_key
from courselead.table_files.grid import NO_VALUE, cell_text, grid

MAX_ROWS_SHOWN = 8
NO_ROW = "(no row)"
# Start of the year 10000, which `datetime` does not support.
MAX_AT_MS = 253_402_300_800_000
REMEDY = (
    "Nothing of this edit took effect. Export the table again and repeat the "
    "edit on it."
)


def history_text(data: Mapping) -> str:
    """Return the publishes as text, newest first."""
    lines = []
    for change in reversed(changes_of(data)):
        cells = [
            change.get("version"),
            time_text(change.get("at_ms")),
            change.get("author"),
            _rows_text(change),
        ]
        lines.append(cells)
    return grid(["version", "time", "author", "rows"], lines)


def conflict_text(message: str, conflicts: Iterable[Mapping], history: Mapping) -> str:
    """Return conflicts as text: both versions of each row, who changed it and when.

    Args:
        message: Message of the problem.
        conflicts: Conflicts, each with `row`, `yours` and `theirs`.
        history: Newest publishes, from which authors and times are taken.
    """
    changes = changes_of(history)
    blocks = [message]
    for conflict in conflicts:
        blocks.append(_conflict_text(conflict, changes))
    blocks.append(REMEDY)
    return "\n\n".join(blocks)


def changes_of(data: Mapping) -> list[Mapping]:
    """Return the publishes in an answer, oldest first."""
    return objects(data.get("changes"))


def time_text(at_ms: object) -> str:
    """Return a time in UTC as text, "-" if it is missing or out of range."""
    if not isinstance(at_ms, int) or not 0 < at_ms < MAX_AT_MS:
        return "-"
    moment = datetime.fromtimestamp(at_ms / 1000, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def _rows_text(change: Mapping) -> str:
    """Return the row keys of a publish, at most `MAX_ROWS_SHOWN` of them."""
    marked = [f"~{key}" for key in _set_keys(change)]
    marked.extend(f"-{key}" for key in _removed_keys(change))
    shown = " ".join(marked[:MAX_ROWS_SHOWN])
    more = len(marked) - MAX_ROWS_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def _set_keys(change: Mapping) -> list[str]:
    """Return the keys of the rows that a publish set."""
    keys = []
    for row in objects(change.get("accounts")):
        keys.append(account_key(str(row.get("client_account"))))
    for row in objects(change.get("services")):
        account = str(row.get("client_account"))
        keys.append(service_key(pool_name(account, str(row.get("service")))))
    return keys


def _removed_keys(change: Mapping) -> list[str]:
    """Return the keys of the rows that a publish removed."""
    removed = change.get("removed")
    return [str(key) for key in removed] if isinstance(removed, list) else []


def _conflict_text(conflict: Mapping, changes: list[Mapping]) -> str:
    """Return the text of one conflict."""
    key = str(conflict.get("row"))
    yours = conflict.get("yours")
    theirs = conflict.get("theirs")
    lines = [f"{key}{_changed_by(key, changes)}"]
    table = grid(["column", "yours", "theirs"], _differing_columns(yours, theirs))
    lines.extend(f"  {line}" for line in table.splitlines())
    return "\n".join(lines)


def _changed_by(key: str, changes: list[Mapping]) -> str:
    """Return who last published a row, "" if it is in none of the publishes."""
    for change in reversed(changes):
        if key not in _set_keys(change) and key not in _removed_keys(change):
            continue
        version = change.get("version")
        author = change.get("author") or "unknown"
        when = time_text(change.get("at_ms"))
        return f": published in version {version} by {author} at {when}"
    return ""


def _differing_columns(yours: object, theirs: object) -> list[list[str]]:
    """Return the columns that differ; a first line marks a row missing on one side."""
    mine = yours if isinstance(yours, dict) else {}
    other = theirs if isinstance(theirs, dict) else {}
    lines = []
    if not mine or not other:
        left = "set" if mine else NO_ROW
        right = "set" if other else NO_ROW
        lines.append(["(row)", left, right])
    for name in dict.fromkeys([*mine, *other]):
        if mine.get(name) == other.get(name):
            continue
        left = cell_text(mine.get(name)) if mine else NO_VALUE
        right = cell_text(other.get(name)) if other else NO_VALUE
        lines.append([name, left, right])
    return lines
