"""Commands that work without an entry host."""

import hashlib
import secrets
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from returns.result import Failure

from courselead.cli.const import CREDENTIAL_BYTES
from courselead.cli.errors import ExitCode
from courselead.cli.output import emit, emit_json, warn
from courselead.cli.table import AsJson

CONFIG = App(name="config", help="Check an entry host's settings.")
CREDENTIAL = App(name="credential", help="Create credentials.")


@CONFIG.command
def check(
    file: Annotated[Path, Parameter(help="Settings file in JSON.")],
    /,
    *,
    json: AsJson = False,
) -> int:
    """Check a settings file and show all its faults."""
    # Imported here, as no other command needs the settings.
    from courselead.settings import Settings

    checked = Settings.from_file(file)
    if isinstance(checked, Failure):
        errors = checked.failure()
        if json:
            faults = [
                {"path": fault.path, "problem": fault.problem, "remedy": fault.remedy}
                for fault in errors.faults
            ]
            emit_json({"faults": faults})
        else:
            warn(str(errors))
        return ExitCode.REFUSED
    settings = checked.unwrap()
    if json:
        emit_json({"entry_host": settings.entry_host, "faults": []})
    else:
        emit(f"{file}: settings of {settings.entry_host}, no faults")
    return ExitCode.OK


@CREDENTIAL.command
def new(*, json: AsJson = False) -> int:
    """Create a random credential and its hash for the table or the settings.

    The credential is shown only now and not stored.
    """
    credential = secrets.token_urlsafe(CREDENTIAL_BYTES)
    digest = hashlib.sha256(credential.encode()).hexdigest()
    if json:
        emit_json({"credential": credential, "hash": digest})
    else:
        emit(f"credential  {credential}\nhash        {digest}")
    return ExitCode.OK
