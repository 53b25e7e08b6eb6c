"""Commands that show the state of an entry host and of workers."""

from collections.abc import Mapping
from typing import Annotated

from cyclopts import App, Parameter

from courselead.cli.client import Client
from courselead.cli.const import PATH_STATUS, PATH_WORKERS
from courselead.cli.errors import ExitCode, Refused
from courselead.cli.output import emit, emit_json
from courselead.cli.table import DEFAULT_TARGET, AsJson
from courselead.cli.target import Target
from courselead.cli.views import objects, objects_grid
from courselead.table_files.grid import cell_text

WORKERS = App(name="worker", help="Show workers.")

WORKER_COLUMNS = (
    "worker",
    "pool",
    "phase",
    "epoch",
    "availability_zone",
    "rack",
    "minion_address",
    "reason",
)
STATUS_LISTS = {
    "peers": (
        "entry_host",
        "availability_zone",
        "standing",
        "reachable",
        "heard_ms_ago",
        "applied",
    ),
    "pools": (
        "client_account",
        "service",
        "wanted",
        "members",
        "serving",
        "in_flight",
        "queued",
        "budget_left",
    ),
    "drains": (
        "worker",
        "client_account",
        "service",
        "purpose",
        "phase",
        "since",
        "unsettled",
    ),
    "alarms": ("name", "client_account", "detail", "since_ms"),
}


def status(*, json: AsJson = False, target: Target = DEFAULT_TARGET) -> int:
    """Show the state of an entry host: log, peers, pools, drains and alarms."""
    data = Client.from_target(target).get(PATH_STATUS)
    if json:
        emit_json(data)
    else:
        emit(status_text(data))
    return ExitCode.OK


@WORKERS.command
def show(
    worker: Annotated[str, Parameter(help="Show this worker only.")] = "",
    /,
    *,
    json: AsJson = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Show workers: pool, phase and address of the minion."""
    data = Client.from_target(target).get(PATH_WORKERS)
    workers = objects(data.get("workers"))
    if worker:
        workers = [item for item in workers if item.get("worker") == worker]
        if not workers:
            raise Refused(f"no worker {worker}; `courselead worker show` lists them")
    if json:
        emit_json({**data, "workers": workers})
    else:
        emit(objects_grid(workers, WORKER_COLUMNS))
    return ExitCode.OK


def status_text(data: Mapping) -> str:
    """Return the state of an entry host as text."""
    scalars = {name: value for name, value in data.items() if not _is_list(value)}
    width = max((len(name) for name in scalars), default=0)
    lines = []
    for name, value in scalars.items():
        label = name.ljust(width)
        text = cell_text(value)
        lines.append(f"{label}  {text}")
    parts = ["\n".join(lines)]
    for name, columns in STATUS_LISTS.items():
        if objects(data.get(name)):
            table = objects_grid(data[name], columns)
            parts.append(f"{name}:\n{table}")
    return "\n\n".join(parts)


def _is_list(value: object) -> bool:
    """Return whether a member of the status is a list or an object."""
    return isinstance(value, list | dict)
