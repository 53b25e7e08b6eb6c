"""Runs the demo: `python -m demo [--seconds N] [--binary FILE]`.

Starts separate processes on loopback: the platform's stand-ins and four entry hosts
in two availability zones, with small pools for the services of two client accounts.
Under load it publishes a table change, runs a job and drains a worker. The last line
of the output is a JSON summary; the exit code is 0 only if there was no violation.
"""

import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from demo.callers import Callers
from demo.client import Platform, fetch_entry_status
from demo.plan import (
    DRAINED_SERVICE,
    OPERATOR,
    HostPlan,
    credential,
    plan_hosts,
    table,
    worker_count,
    write_settings,
)
from demo.processes import Processes

app = App(name="demo", help="Runs a small complete system on loopback.")

STEP_TIMEOUT_S = 60.0
POLL_S = 0.05
VIOLATION_COUNTS = ("duplicated", "cut_off", "wrong_answers", "ran_after_not_run")


class Demo:
    """One run of the demo."""

    def __init__(self, processes: Processes, seconds: float) -> None:
        """Plan the entry hosts; starts no process."""
        self._processes = processes
        self._seconds = seconds
        self._hosts: tuple[HostPlan, ...] = plan_hosts()
        self._folder = processes.folder
        self._callers = Callers(self._hosts)
        self._platform = Platform()
        self._summary: dict[str, object] = {}

    async def run(self) -> dict[str, object]:
        """Run all steps and return the summary."""
        await self._start()
        await self._publish(table())
        await self._wait_for_pools()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._callers.run)
            await anyio.sleep(self._seconds / 2)
            await self._change_table()
            await self._run_job()
            await self._drain_worker()
            await anyio.sleep(self._seconds / 2)
            self._callers.stop()
        await self._collect_counts()
        codes = await self._processes.end_all()
        self._summary["exit_codes"] = sorted(set(codes.values()))
        return self._summary

    async def _start(self) -> None:
        """Start the stand-ins and the entry hosts and wait until they are ready."""
        _print_progress("starting stand-ins and entry hosts")
        line = await self._processes.start_standins(
            ["fleet", f"--workers={worker_count()}", "--zones=2", "--racks=3"]
        )
        platform = json.loads(line)
        self._platform.agents = platform["workers"]
        started = time.monotonic()
        for host in self._hosts:
            path = write_settings(host, self._hosts, platform, self._folder)
            await self._processes.start_daemon(host.name, path)
        await self._wait_for("all entry hosts to be ready", self._all_ready)
        self._summary["ready_s"] = round(time.monotonic() - started, 2)

    async def _publish(self, rows: dict) -> int:
        """Publish a table with the command line and return its version."""
        path = self._folder / "table.json"
        path.write_text(json.dumps({**rows, "version": self._base_version()}))
        out = await self._processes.command(
            ["table", "publish", str(path), "--json"], self._command_env(OPERATOR)
        )
        self._table_version = json.loads(out)["version"]
        return self._table_version

    def _base_version(self) -> int:
        """Return the version that the next table change is based on."""
        return getattr(self, "_table_version", -1)

    def _command_env(self, secret: str) -> dict[str, str]:
        """Return the environment variables of a command."""
        urls = ",".join(host.url for host in self._hosts)
        return {
            "COURSELEAD_ENTRY_HOSTS": urls,
            "COURSELEAD_CREDENTIAL": secret,
        }

    async def _wait_for_pools(self) -> None:
        """Wait until every pool serves with all wanted workers."""
        _print_progress("waiting until all pools have their workers")
        await self._wait_for("all pools to serve", self._all_serving)

    async def _change_table(self) -> None:
        """Publish a table change and measure the time until all hosts apply it."""
        _print_progress("publishing a table change under load")
        started = time.monotonic()
        version = await self._publish(table(share=2.0))

        async def is_applied() -> bool:
            reports = [await fetch_entry_status(host, OPERATOR) for host in self._hosts]
            return all(
                report and report["table_version"] >= version for report in reports
            )

        await self._wait_for("the table change to be applied", is_applied)
        self._summary["config_in_force_s"] = round(time.monotonic() - started, 3)

    async def _run_job(self) -> None:
        """Submit a job with the command line and wait until it is done."""
        _print_progress("running a job")
        job = {
            "job_id": "glossary-1",
            "service": "court",
            "payload": json.dumps({"work_ms": 500, "cores": 1, "memory_mb": 256}),
            "cores": 1,
            "memory_mb": 256,
            "run_ms": 2_000,
            "deadline_ms": 0,
        }
        path = self._folder / "job.json"
        path.write_text(json.dumps(job))
        env = self._command_env(credential("aloisi"))
        await self._processes.command(["job", "submit", str(path), "--json"], env)

        async def ended() -> bool:
            out = await self._processes.command(
                ["job", "show", "glossary-1", "--json"], env
            )
            self._summary["job"] = _find_value(json.loads(out), "phase")
            return self._summary["job"] == "done"

        await self._wait_for("the job to be done", ended)

    async def _drain_worker(self) -> None:
        """Open a service's maintenance window and wait until a worker reboots."""
        account, service = DRAINED_SERVICE
        _print_progress(f"draining one worker of {account}/{service} under load")
        boots_before = await self._platform.fetch_boot_count()
        await self._publish(table(window="always", share=2.0))

        async def rebooted() -> bool:
            return await self._platform.fetch_boot_count() > boots_before

        await self._wait_for("a worker to reboot", rebooted)
        await self._publish(table(window="never", share=2.0))
        await self._wait_for_pools()
        self._summary["drained"] = (
            await self._platform.fetch_boot_count() - boots_before
        )

    async def _collect_counts(self) -> None:
        """Compare the answers of the callers with the executions on the minions."""
        runs = await self._platform.fetch_runs()
        tally = self._callers.tally
        duplicated = sum(count - 1 for count in runs.by_ticket.values())
        ran_after_not_run = [
            ticket for ticket in tally.not_run_tickets if runs.by_ticket[ticket]
        ]
        self._summary |= {
            "served": tally.outcomes["served"],
            "refused_not_run": tally.outcomes["not_run"],
            "unknown": tally.outcomes["unknown"],
            "ran_and_failed": tally.outcomes["ran"],
            "duplicated": duplicated,
            "cut_off": runs.cut_off,
            "wrong_answers": tally.wrong_answers,
            "ran_after_not_run": len(ran_after_not_run),
        }

    async def _all_ready(self) -> bool:
        """Return whether all entry hosts report that they are ready."""
        for host in self._hosts:
            if await fetch_entry_status(host, OPERATOR, "/readyz") is None:
                return False
        return True

    async def _all_serving(self) -> bool:
        """Return whether all entry hosts report that all pools have their workers."""
        for host in self._hosts:
            report = await fetch_entry_status(host, OPERATOR)
            if report is None or not report["pools"]:
                return False
            for pool in report["pools"]:
                if pool["serving"] < pool["wanted"]:
                    return False
        return True

    async def _wait_for(self, what: str, condition) -> None:
        """Wait for a condition.

        Raises:
            TimeoutError: The condition does not hold within `STEP_TIMEOUT_S`.
        """
        try:
            with anyio.fail_after(STEP_TIMEOUT_S):
                while not await condition():
                    self._processes.check_running()
                    await anyio.sleep(POLL_S)
        except TimeoutError:
            raise TimeoutError(
                f"timed out after {STEP_TIMEOUT_S} s waiting for {what}"
            ) from None


def _find_value(data: object, name: str) -> object:
    """Return the first value under a name in nested JSON."""
    if isinstance(data, dict):
        if name in data:
            return data[name]
        data = list(data.values())
    if isinstance(data, list):
        for item in data:
            found = _find_value(item, name)
            if found is not None:
                return found
    return None


def _print_progress(text: str) -> None:
    """Print the current step of the demo."""
    print(f"demo: {text}", flush=True)


async def _run(processes: Processes, seconds: float) -> int:
    """Run the demo until it ends or a signal arrives, then end all its processes."""
    summary: dict[str, object] = {}
    async with anyio.create_task_group() as tasks:

        async def cancel_on_signal() -> None:
            with anyio.open_signal_receiver(
                signal.SIGINT, signal.SIGTERM, signal.SIGHUP
            ) as signals:
                async for _ in signals:
                    _print_progress("interrupted")
                    tasks.cancel_scope.cancel()
                    return

        tasks.start_soon(cancel_on_signal)
        try:
            summary = await Demo(processes, seconds).run()
        finally:
            with anyio.CancelScope(shield=True):
                if not summary:
                    processes.kill_all()
                    await processes.end_all()
        tasks.cancel_scope.cancel()
    if not summary:
        return 130
    print(json.dumps(summary), flush=True)
    violations = [name for name in VIOLATION_COUNTS if summary[name]]
    return 1 if violations else 0


@app.default
def main(
    seconds: Annotated[float, Parameter(help="Duration of the load.")] = 6.0,
    binary: Annotated[Path | None, Parameter(help="Run this binary instead.")] = None,
    keep_logs: Annotated[Path | None, Parameter(help="Folder for the logs.")] = None,
) -> int:
    """Run the demo."""
    courselead = (sys.executable, "-m", "courselead")
    if binary is not None:
        courselead = (str(binary.resolve()),)
    with tempfile.TemporaryDirectory(prefix="courselead-demo-") as temp_folder:
        folder = keep_logs or Path(temp_folder)
        folder.mkdir(parents=True, exist_ok=True)
        return anyio.run(_run, Processes(courselead, folder), seconds)


if __name__ == "__main__":
    sys.exit(app())
