"""Commands on long jobs."""

import json as json_lib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

from cyclopts import App, Parameter

from courselead.cli import files
from courselead.cli.client import Client
from courselead.cli.const import MAX_BODY_BYTES, PATH_JOBS, PATH_JOBS_CANCEL
from courselead.cli.errors import ExitCode, UsageError
from courselead.cli.output import emit, emit_json
from courselead.cli.table import ON_TARGET, AsJson
from courselead.cli.target import Target
from courselead.cli.views import objects, objects_grid

APP = App(name="job", help="Submit, show and cancel long jobs.")

JOB_COLUMNS = (
    "job_id",
    "client_account",
    "service",
    "phase",
    "attempt",
    "worker",
    "progress",
    "error",
)


@APP.command
def submit(
    file: Annotated[Path, Parameter(help="JSON file: a job, or a list of jobs.")],
    /,
    *,
    json: AsJson = False,
    target: Target = ON_TARGET,
) -> int:
    """Submit jobs; all of a file are taken in, or none."""
    jobs = _read_jobs(file)
    answer = Client.from_target(target).post(PATH_JOBS, {"jobs": jobs})
    if json:
        emit_json(answer)
        return ExitCode.OK
    for job_id in _ids(answer):
        emit(job_id)
    return ExitCode.OK


@APP.command
def show(
    job_id: Annotated[str, Parameter(help="One job, else all that are known.")] = "",
    /,
    *,
    json: AsJson = False,
    target: Target = ON_TARGET,
) -> int:
    """Show jobs: phase, attempt, worker and progress."""
    path = PATH_JOBS
    if job_id:
        name = quote(job_id, safe="")
        path = f"{PATH_JOBS}/{name}"
    data = Client.from_target(target).get(path)
    if json:
        emit_json(data)
        return ExitCode.OK
    jobs = [data] if job_id else objects(data.get("jobs"))
    emit(objects_grid(jobs, JOB_COLUMNS))
    return ExitCode.OK


@APP.command
def cancel(
    *job_ids: Annotated[str, Parameter(help="Jobs to cancel.")],
    json: AsJson = False,
    target: Target = ON_TARGET,
) -> int:
    """Cancel jobs, all in one change."""
    if not job_ids:
        raise UsageError("no job; give the ids of the jobs to cancel")
    answer = Client.from_target(target).post(
        PATH_JOBS_CANCEL, {"job_ids": list(job_ids)}
    )
    if json:
        emit_json(answer)
    else:
        count = len(job_ids)
        emit(f"cancelling {count} jobs")
    return ExitCode.OK


def _read_jobs(path: Path) -> list[object]:
    """Return the jobs in a file; the entry host checks them."""
    try:
        data = json_lib.loads(files.read_bounded(path, MAX_BODY_BYTES))
    except (ValueError, RecursionError) as exc:
        raise UsageError(f"{path}: not JSON; mend it: {exc}") from exc
    if isinstance(data, dict):
        data = data.get("jobs", [data])
    if isinstance(data, list) and data:
        return data
    raise UsageError(f"{path}: no job; give a job or a list of jobs")


def _ids(answer: Mapping) -> list[str]:
    """Return the ids of jobs that were taken in."""
    found = answer.get("job_ids")
    return [str(item) for item in found] if isinstance(found, list) else []
