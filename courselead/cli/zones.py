"""Commands that evacuate, restore and list availability zones."""

from collections.abc import Mapping
from typing import Annotated

from cyclopts import App, Parameter

from courselead.cli.client import Client
from courselead.cli.const import (
    PATH_ZONES,
    PATH_ZONES_EVACUATE,
    PATH_ZONES_RESTORE,
)
from courselead.cli.errors import ExitCode, UnknownOutcome
from courselead.cli.history import time_text
from courselead.cli.output import emit, emit_json, warn
from courselead.cli.table import DEFAULT_TARGET, AsJson
from courselead.cli.target import Target
from courselead.cli.views import objects
from courselead.table_files.grid import grid

APP = App(name="zones", help="Evacuate, restore and list availability zones.")

ZONE_COLUMNS = ("zone", "state", "requested_by", "requested_at", "targets_with_work")
STATE_EVACUATED = "evacuated"
STATE_IN_USE = "in use"

ZoneName = Annotated[str, Parameter(help="Availability zone.")]
Author = Annotated[
    str, Parameter(help="Name for the record, added to that of the credential.")
]


@APP.command
def evacuate(
    zone: ZoneName,
    /,
    *,
    author: Author = "",
    json: AsJson = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Send no new requests, jobs and workers to a zone until it is restored.

    Requests and jobs that run there end by themselves; `zones list` shows how many
    targets still have work.
    """
    answer = _send(PATH_ZONES_EVACUATE, zone, author, target)
    _report(answer, json, f"zone {zone} is evacuated")
    return ExitCode.OK


@APP.command
def restore(
    zone: ZoneName,
    /,
    *,
    author: Author = "",
    json: AsJson = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Use an evacuated zone again."""
    answer = _send(PATH_ZONES_RESTORE, zone, author, target)
    _report(answer, json, f"zone {zone} is in use")
    return ExitCode.OK


@APP.command(name="list")
def show(*, json: AsJson = False, target: Target = DEFAULT_TARGET) -> int:
    """List the zones: who evacuated them, when, and the targets with work left."""
    data = Client.from_target(target).get(PATH_ZONES)
    if json:
        emit_json(data)
    else:
        emit(zones_text(data))
    return ExitCode.OK


def zones_text(data: Mapping) -> str:
    """Return a list of zones as a table."""
    lines = []
    for zone in objects(data.get("zones")):
        is_evacuated = zone.get("evacuated") is True
        lines.append(
            [
                zone.get("availability_zone"),
                STATE_EVACUATED if is_evacuated else STATE_IN_USE,
                zone.get("operator"),
                time_text(zone.get("at_ms")) if is_evacuated else "",
                zone.get("targets_with_work"),
            ]
        )
    return grid(list(ZONE_COLUMNS), lines)


def _send(path: str, zone: str, author: str, target: Target) -> dict:
    """Send a command for a zone.

    A repeated command has no further effect, so it goes to the next entry host if an
    exchange fails: zones are evacuated when entry hosts may fail as well.
    """
    body = {"availability_zone": zone, "author": author}
    try:
        return Client.from_target(target).post(path, body, idempotent=True)
    except UnknownOutcome:
        warn("check with: courselead zones list")
        raise


def _report(answer: Mapping, json: bool, text: str) -> None:
    """Report a command that took effect."""
    if json:
        emit_json(answer)
    else:
        emit(text)
