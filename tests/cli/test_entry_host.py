"""The command line against the HTTP interface of an entry host."""

import json
from dataclasses import fields, replace
from typing import get_args, get_origin, get_type_hints

import anyio
import pytest
from anyio import to_thread
from immutables import Map
from structlog.testing import capture_logs

from courselead.__main__ import main
from courselead.cli.fleet import STATUS_LISTS
from courselead.core.effects import Problem, ProblemKind, ReplyAccepted, RunState
from courselead.core.fleet import verdicts
from courselead.core.fleet.apply import HANDLERS
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.state import WorkerState
from courselead.core.fleet.tables import table_published
from courselead.core.reducer import CoreState
from courselead.daemon.status import zone_statuses
from courselead.integrations.http_api.host import StatusReport, TableChange
from tests.core.helpers import identity
from tests.integrations.http_api.fakes import FakeHost, complete_answer, serving

pytestmark = pytest.mark.anyio
TIMEOUT_S = 60


class MergingHost(FakeHost):
    """A fake daemon that merges edits with `table_published` of the core."""

    def __init__(self):
        super().__init__(lambda req: complete_answer(b"hello"))
        self.changes = []
        self.report = StatusReport("eh-1", 1, "az-1", True, False, True, 7, 7, 0, 0, 0)

    async def publish(self, edit, deadline_ms):
        """Apply an edit and return the reply."""
        offset = 20 + len(self.changes)
        origin = Origin(offset, "eh-1", 1, 1, 0)
        fleet, verdict = table_published(self.fleet, origin, edit)
        if not verdict.accepted:
            return Problem(ProblemKind.CONFLICT, RunState.NOT_RUN, "export again")
        self.fleet = fleet
        self.changes.append(TableChange(offset, 1_700_000_000_000, edit))
        return ReplyAccepted(edit.request_id, offset)

    async def change_zone(self, change, deadline_ms):
        """Apply a zone command with its handler of the core and return the reply."""
        origin = Origin(30, "eh-1", 1, 1, 0)
        self.fleet, verdict = HANDLERS[type(change)](self.fleet, origin, change)
        if not verdict.accepted:
            detail = verdicts.message(verdict.reason)
            return Problem(ProblemKind.ZONE_REFUSED, RunState.NOT_RUN, detail)
        return ReplyAccepted(change.request_id, 30)

    def zones(self):
        """Return the status of the zones."""
        return zone_statuses(CoreState(identity(), self.fleet))

    async def history(self, limit):
        """Return the newest publishes."""
        return tuple(self.changes[-limit:])


@pytest.fixture
async def cli(monkeypatch, capsys):
    """A function that runs a command against a server on the loopback interface."""
    host = MergingHost()
    monkeypatch.setenv("COURSELEAD_CREDENTIAL", "operator-token")
    # Without `capture_logs` the server's log lines would be part of the output.
    with anyio.fail_after(TIMEOUT_S), capture_logs():
        async with serving(host) as address:
            monkeypatch.setenv("COURSELEAD_ENTRY_HOSTS", f"http://{address}")

            async def run(*argv):
                code = await to_thread.run_sync(main, [str(arg) for arg in argv])
                out, err = capsys.readouterr()
                return code, out, err

            run.host = host
            yield run


async def test_an_edit_is_exported_published_and_shown_in_conflicts(cli, tmp_path):
    files = [tmp_path / "a.json", tmp_path / "b.csv"]
    assert (await cli("table", "export", "--output", files[0]))[0] == 0
    assert (await cli("table", "export", "--csv", "--output", files[1]))[0] == 0
    for path in files:
        path.write_text(path.read_text().replace("always", "never", 1))
    code, out, _ = await cli("table", "publish", files[0], "--author", "kim")
    assert code == 0
    assert "published as version 20" in out
    assert (await cli("table", "publish", files[1]))[:2] == (
        0,
        "nothing to publish: the table in force has all of it\n",
    )
    files[1].write_text(files[1].read_text().replace("never", "Sat 01:00-02:00"))
    code, _, err = await cli("table", "publish", files[1])
    assert code == 3
    assert "/kim at 2023-11-14 22:13:20Z" in err
    assert "window  Sat 01:00-02:00  never" in err
    assert "/kim" in (await cli("table", "history"))[1]


async def test_status_workers_and_calls(cli, monkeypatch):
    assert "eh-1" in (await cli("status"))[1]
    assert (await cli("worker", "show"))[0] == 0
    assert (await cli("call", "GET", "web", "x"))[0] == 1
    monkeypatch.setenv("COURSELEAD_CREDENTIAL", "alpha-token")
    assert (await cli("call", "GET", "web", "x"))[:2] == (0, "hello")


async def test_the_status_shows_each_list_of_the_report():
    lists = {}
    for attribute, hint in get_type_hints(StatusReport).items():
        if get_origin(hint) is tuple:
            lists[attribute] = {item.name for item in fields(get_args(hint)[0])}
    assert set(STATUS_LISTS) == set(lists)
    for name, columns in STATUS_LISTS.items():
        assert set(columns) == lists[name]


async def test_jobs_are_submitted_and_listed(cli, tmp_path, monkeypatch):
    monkeypatch.setenv("COURSELEAD_CREDENTIAL", "alpha-token")
    path = tmp_path / "job.json"
    job = {"service": "web", "payload": "p", "cores": 1, "memory_mb": 1, "run_ms": 1}
    path.write_text(json.dumps({**job, "job_id": "mine"}))
    assert (await cli("job", "submit", path))[:2] == (0, "alpha.mine\n")
    path.write_text(json.dumps({**job, "cores": -1}))
    code, _, err = await cli("job", "submit", path)
    assert code == 1
    assert "cores" in err
    assert (await cli("job", "show"))[0] == 0
    assert (await cli("job", "show", "other"))[0] == 1


async def test_an_account_publishes_its_own_services_only(cli, tmp_path, monkeypatch):
    monkeypatch.setenv("COURSELEAD_CREDENTIAL", "alpha-token")
    path = tmp_path / "t.json"
    assert (await cli("table", "export", "--output", path))[0] == 0
    data = json.loads(path.read_text())
    data["services"][0]["workers"] = 3
    path.write_text(json.dumps(data))
    assert (await cli("table", "publish", path, "--refresh"))[0] == 0
    data["accounts"][0]["weight"] = 9
    path.write_text(json.dumps(data))
    assert (await cli("table", "publish", path))[0] == 1
    rows = cli.host.fleet.table
    assert rows.services["alpha/web"].workers == 3
    assert len(rows.accounts["alpha"].credential_hashes) == 1
    assert len(rows.accounts) == 2


async def test_zones_are_evacuated_listed_and_restored(cli, monkeypatch):
    worker = WorkerState("w1", "az-1", "r1", "127.0.0.1:1", 4.0, 1024)
    cli.host.fleet = replace(cli.host.fleet, workers=Map({"w1": worker}))
    for _ in range(2):
        code, out, _ = await cli("zones", "evacuate", "az-1", "--author", "kim")
        assert (code, out) == (0, "zone az-1 is evacuated\n")
    _, line = (await cli("zones", "list"))[1].splitlines()
    assert line.split()[:2] == ["az-1", "evacuated"]
    assert "/kim" in line
    code, _, err = await cli("zones", "evacuate", "az-9")
    assert code == 1
    assert "list of zones" in err
    assert (await cli("zones", "restore", "az-1"))[:2] == (0, "zone az-1 is in use\n")
    assert not cli.host.fleet.evacuations
    monkeypatch.setenv("COURSELEAD_CREDENTIAL", "alpha-token")
    code, _, err = await cli("zones", "evacuate", "az-1")
    assert code == 1
    assert "operator" in err
    assert not cli.host.fleet.evacuations
