"""Commands that submit, show and cancel long jobs."""

import secrets
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

from cyclopts import App, Parameter
from returns.result import Failure

from courselead.cli import files
from courselead.cli.client import Client
from courselead.cli.const import MAX_BODY_BYTES, PATH_JOBS, PATH_JOBS_CANCEL
from courselead.cli.errors import ExitCode, UnknownOutcome, UsageError
from courselead.cli.output import emit, emit_json, warn
from courselead.cli.table import DEFAULT_TARGET, AsJson
from courselead.cli.target import Target
from courselead.cli.views import objects, objects_grid
from courselead.decoding import PythonJsonDecoder

APP = App(name="job", help="Submit, show and cancel long jobs.")

_FILE_DECODER = PythonJsonDecoder()

DEFAULT_JOBS_LIMIT = 100
JOB_ID_BYTES = 8

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
    target: Target = DEFAULT_TARGET,
) -> int:
    """Submit the jobs of a file; either all are accepted, or none."""
    jobs = _read_jobs(file)
    try:
        answer = Client.from_target(target).post(PATH_JOBS, {"jobs": jobs})
    except UnknownOutcome:
        for job_id in _submitted_ids(jobs):
            warn(f"check with: courselead job show {job_id}")
        raise
    if json:
        emit_json(answer)
        return ExitCode.OK
    for job_id in _strings(answer, "job_ids"):
        emit(job_id)
    return ExitCode.OK


@APP.command
def show(
    job_id: Annotated[
        str, Parameter(help="Id of a job; without it, the newest jobs.")
    ] = "",
    /,
    *,
    limit: Annotated[
        int, Parameter(help="Maximum number of jobs.")
    ] = DEFAULT_JOBS_LIMIT,
    json: AsJson = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Show jobs: phase, attempt, worker and progress."""
    path = f"{PATH_JOBS}?limit={limit}"
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
    target: Target = DEFAULT_TARGET,
) -> int:
    """Cancel jobs with one request."""
    if not job_ids:
        raise UsageError("no job id; give the ids of the jobs to cancel")
    answer = Client.from_target(target).post(
        PATH_JOBS_CANCEL, {"job_ids": list(job_ids)}
    )
    if json:
        emit_json(answer)
    else:
        for job_id in _strings(answer, "job_ids"):
            emit(f"cancelling {job_id}")
        for job_id in _strings(answer, "not_found"):
            warn(f"no job {job_id}; `courselead job show` lists them")
    return ExitCode.OK


def _read_jobs(path: Path) -> list[object]:
    """Read the jobs in a file; the entry host validates them."""
    decoded = _FILE_DECODER.decode(files.read_bounded(path, MAX_BODY_BYTES))
    if isinstance(decoded, Failure):
        raise UsageError(f"{path}: not JSON; correct it: {decoded.failure()}")
    data = decoded.unwrap()
    if isinstance(data, dict):
        data = data.get("jobs", [data])
    if isinstance(data, list) and data:
        return [_with_id(job) for job in data]
    raise UsageError(f"{path}: no job; give a job or a list of jobs")


def _with_id(job: object) -> object:
    """Add an id to a job without one, so that it can be found if no answer comes."""
    if not isinstance(job, dict) or "job_id" in job:
        return job
    return {**job, "job_id": secrets.token_hex(JOB_ID_BYTES)}


def _submitted_ids(jobs: list[object]) -> list[str]:
    """Return the ids under which jobs were submitted."""
    return [str(job.get("job_id")) for job in jobs if isinstance(job, dict)]


def _strings(answer: Mapping, name: str) -> list[str]:
    """Return the items of a list in an answer as strings, none if it is no list."""
    found = answer.get(name)
    return [str(item) for item in found] if isinstance(found, list) else []
