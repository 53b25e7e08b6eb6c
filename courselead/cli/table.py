"""Commands that show, check and publish the operators' table."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from returns.result import Failure

from courselead.cli import files
from courselead.cli.client import Client
from courselead.cli.const import DEFAULT_HISTORY_LIMIT, PATH_HISTORY, PATH_TABLE
from courselead.cli.errors import CliError, Conflict, ExitCode, Faults, Refused
from courselead.cli.history import conflict_text, history_text
from courselead.cli.output import emit, emit_bytes, emit_json, warn
from courselead.cli.target import Target
from courselead.cli.views import diff_data, document_of
from courselead.core.table_check import TableError, check_edit
from courselead.table_files.csv_file import COMMA, SEMICOLON, write_csv
from courselead.table_files.diff import TableEditPlan, plan_diff, plan_edit
from courselead.table_files.document import TableDocument
from courselead.table_files.grid import diff_text, table_grid
from courselead.table_files.json_file import write_json

APP = App(name="table", help="Show, check and publish the operators' table.")

AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Write JSON.")]
TableFile = Annotated[
    Path, Parameter(help="File in JSON, or in CSV if its suffix says so.")
]
DEFAULT_TARGET = Target()


@APP.command
def show(*, json: AsJson = False, target: Target = DEFAULT_TARGET) -> int:
    """Show the table in force; `--json` writes a file to edit and publish."""
    document = _fetch_table(Client.from_target(target))
    if json:
        emit_bytes(write_json(document))
        return ExitCode.OK
    emit(table_grid(document))
    return ExitCode.OK


@APP.command
def export(
    *,
    csv: Annotated[bool, Parameter(negative="", help="Write CSV.")] = False,
    semicolon: Annotated[
        bool, Parameter(negative="", help="With --csv: semicolons, decimal commas.")
    ] = False,
    output: Annotated[
        Path | None, Parameter(help="File to write instead of standard output.")
    ] = None,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Write the table in force as a file to edit and publish."""
    document = _fetch_table(Client.from_target(target))
    delimiter = SEMICOLON if semicolon else COMMA
    content = write_csv(document, delimiter) if csv else write_json(document)
    if output is None:
        emit_bytes(content)
    else:
        files.replace_file(output, content)
    return ExitCode.OK


@APP.command
def check(file: TableFile, /, *, json: AsJson = False) -> int:
    """Check a file, without an entry host."""
    document = files.read_table(file)
    accounts = len(document.rows.accounts)
    services = len(document.rows.services)
    if json:
        emit_json({"accounts": accounts, "services": services, "faults": []})
    else:
        emit(f"{file}: {accounts} accounts, {services} services, no faults")
    return ExitCode.OK


@APP.command
def diff(
    file: TableFile, /, *, json: AsJson = False, target: Target = DEFAULT_TARGET
) -> int:
    """Show what publishing a file would change in the table in force."""
    document = files.read_table(file)
    in_force = _fetch_table(Client.from_target(target))
    plan = _plan_edit(file, document, in_force)
    changes = plan_diff(plan, in_force)
    if json:
        emit_json({"base_version": plan.base_version, "rows": diff_data(changes)})
        return ExitCode.OK
    emit(diff_text(changes) or "no difference")
    return ExitCode.OK


@APP.command
def publish(
    file: TableFile,
    /,
    *,
    refresh: Annotated[
        bool,
        Parameter(
            negative="", help="Afterwards write the table in force into the file."
        ),
    ] = False,
    author: Annotated[
        str, Parameter(help="Name for the history, added to that of the credential.")
    ] = "",
    json: AsJson = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Publish the rows that were edited in a file since its export."""
    document = files.read_table(file)
    client = Client.from_target(target)
    in_force = _fetch_table(client)
    plan = _plan_edit(file, document, in_force)
    if plan.empty:
        _report_no_changes(in_force, json)
        return ExitCode.OK
    edit = _checked_edit(file, plan, author)
    changes = plan_diff(plan, in_force)
    try:
        answer = client.post(PATH_TABLE, edit)
    except Conflict as exc:
        _report_conflict(exc, client, json)
        return exc.exit_code
    version = answer.get("version")
    if json:
        emit_json({"version": version, "rows": diff_data(changes)})
    else:
        emit(f"published as version {version}\n{diff_text(changes)}")
    _update_file(file, client, version, refresh)
    return ExitCode.OK


@APP.command
def history(
    *,
    limit: Annotated[
        int, Parameter(help="Maximum number of publishes.")
    ] = DEFAULT_HISTORY_LIMIT,
    json: AsJson = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Show the newest publishes: when, by whom, and which rows."""
    data = Client.from_target(target).get(f"{PATH_HISTORY}?limit={limit}")
    if json:
        emit_json(data)
    else:
        emit(history_text(data))
    return ExitCode.OK


def _fetch_table(client: Client) -> TableDocument:
    """Fetch the table in force from an entry host."""
    return document_of(client.get(PATH_TABLE))


def _plan_edit(
    file: Path, document: TableDocument, in_force: TableDocument
) -> TableEditPlan:
    """Return the edit that a file makes to the table in force."""
    if document.version is None:
        message = "no version; start from `courselead table export`"
        raise Faults(str(file), (TableError("", "version", message),))
    if in_force.version is not None and document.version > in_force.version:
        raise Refused(
            f"{file} has version {document.version} and the entry host has "
            f"version {in_force.version}; wait until it has caught up, or use another"
        )
    return plan_edit(document, in_force, document.version)


def _checked_edit(file: Path, plan: TableEditPlan, author: str) -> dict[str, object]:
    """Return an edit as it is sent, after a check of all its rows."""
    edit = {**plan.data(), "author": author}
    checked = check_edit(edit)
    if isinstance(checked, Failure):
        raise Faults(str(file), checked.failure())
    return edit


def _report_no_changes(in_force: TableDocument, json: bool) -> None:
    """Report that there is nothing to publish."""
    if json:
        emit_json({"version": in_force.version, "rows": []})
    else:
        emit("nothing to publish: the table in force has all of it")


def _report_conflict(exc: Conflict, client: Client, json: bool) -> None:
    """Show the rows in conflict, who changed them and when."""
    if json:
        emit_json({"conflicts": list(exc.conflicts)})
        return
    warn(conflict_text(str(exc), exc.conflicts, _history_or_empty(client)))


def _history_or_empty(client: Client) -> Mapping:
    """Return the newest publishes, none if they cannot be read.

    A conflict is reported without them as well.
    """
    try:
        return client.get(f"{PATH_HISTORY}?limit={DEFAULT_HISTORY_LIMIT}")
    except CliError:
        return {}


def _update_file(file: Path, client: Client, version: object, refresh: bool) -> None:
    """Write the table in force into the file, or say that it is out of date."""
    if not refresh:
        warn(f"{file} has the previous version; export again before the next edit")
        return
    # The publish has succeeded, so a failed refresh is only a warning.
    try:
        document = _fetch_table(client)
        fetched = document.version
        if fetched is not None and isinstance(version, int) and fetched >= version:
            files.write_table(file, document)
            warn(f"{file} now has version {fetched}")
            return
    except CliError as exc:
        warn(str(exc))
    warn(f"{file} is left as it is; export again before the next edit")
