"""Starts the processes of the demo and ends them by id."""

import os
import signal
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL, PIPE

import anyio
from anyio.abc import Process
from anyio.streams.text import TextReceiveStream

END_TIMEOUT_S = 45.0
KILL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 30.0

SHOWN_LOG_LINES = 5
"""Log lines of an ended process in an error: its own error and the lines before it."""


class CommandFailed(Exception):
    """A command failed, or a process ended unexpectedly."""


@dataclass(slots=True)
class Processes:
    """The processes that were started and not yet ended.

    Attributes:
        courselead: Command that runs courselead, without arguments.
        folder: Folder for the log files of the daemons.
    """

    courselead: tuple[str, ...]
    folder: Path
    _running: dict[str, Process] = field(default_factory=dict)

    async def start_standins(
        self, args: Sequence[str], module: str = "standins"
    ) -> str:
        """Start the stand-ins and return the line that they print when ready."""
        command = [sys.executable, "-m", module, *args]
        process = await anyio.open_process(command, stdin=DEVNULL, stderr=None)
        self._running["standins"] = process
        with anyio.fail_after(READY_TIMEOUT_S):
            line = ""
            async for text in TextReceiveStream(process.stdout):
                line += text
                if "\n" in line:
                    break
        return line

    async def start_daemon(self, name: str, settings: Path) -> None:
        """Start an entry host with a settings file."""
        await self._start(name, ["serve", "--config", str(settings)], {})

    async def start_on_platform(self, name: str, env: Mapping[str, str]) -> None:
        """Start an entry host whose settings file the environment names."""
        await self._start(name, ["serve", "--platform"], env)

    async def _start(
        self, name: str, args: Sequence[str], env: Mapping[str, str]
    ) -> None:
        """Start a daemon and append its output to its log file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await anyio.open_process(
                [*self.courselead, *args],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **env},
            )
        self._running[name] = process

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to one process."""
        _send_signal(self._running[name], signum)

    def pid(self, name: str) -> int:
        """Return the id of one process."""
        return self._running[name].pid

    def check_running(self) -> None:
        """Check that no process has ended by itself.

        Raises:
            CommandFailed: A process has ended; the message has its last log lines.
        """
        for name, process in self._running.items():
            if process.returncode is not None:
                last = self._last_lines(name)
                code = process.returncode
                raise CommandFailed(f"{name} ended with exit {code}: {last}")

    def ended(self) -> dict[str, int]:
        """Return the exit codes of the processes that have ended by themselves."""
        codes = {}
        for name, process in self._running.items():
            if process.returncode is not None:
                codes[name] = process.returncode
        return codes

    def _last_lines(self, name: str) -> str:
        log = self.folder / f"{name}.log"
        if not log.exists():
            return ""
        return "".join(log.read_text().splitlines(keepends=True)[-SHOWN_LOG_LINES:])

    async def end(self, name: str) -> int:
        """Terminate one process, kill it after a timeout, and return its exit code."""
        process = self._running.pop(name)
        _send_signal(process, signal.SIGTERM)
        with anyio.move_on_after(END_TIMEOUT_S):
            return await process.wait()
        _send_signal(process, signal.SIGKILL)
        return await process.wait()

    async def kill(self, *names: str) -> list[int]:
        """Kill processes and return their exit codes."""
        processes = [self._running.pop(name) for name in names]
        for process in processes:
            _send_signal(process, signal.SIGKILL)
        return [await process.wait() for process in processes]

    async def end_all(self) -> dict[str, int]:
        """Terminate the daemons, then the stand-ins; return the exit codes."""
        codes: dict[str, int] = {}
        names = [name for name in self._running if name != "standins"]

        async def end_one(name: str) -> None:
            codes[name] = await self.end(name)

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(end_one, name)
        if "standins" in self._running:
            codes["standins"] = await self.end("standins")
        return codes

    def kill_all(self) -> None:
        """Kill all remaining processes, for an interrupted demo."""
        for process in self._running.values():
            _send_signal(process, signal.SIGKILL)

    async def command(self, args: Sequence[str], env: Mapping[str, str]) -> str:
        """Run one courselead command and return its standard output.

        Raises:
            CommandFailed: The exit code is not 0.
        """
        result = await anyio.run_process(
            [*self.courselead, *args],
            stdin=DEVNULL,
            stdout=PIPE,
            stderr=PIPE,
            env={**os.environ, **env},
            check=False,
        )
        out = result.stdout.decode()
        if result.returncode != 0:
            err = result.stderr.decode()
            command = " ".join(args)
            raise CommandFailed(f"{command}: exit {result.returncode}: {out}{err}")
        return out


def _send_signal(process: Process, signum: int) -> None:
    """Send a signal by the process id.

    `Process.send_signal` polls the child first. If the child has just ended, this reaps
    it, and asyncio reports exit code 255 to the task that waits for it.
    """
    if process.returncode is not None:
        return
    # The child has been reaped already; the waiting task gets its exit code.
    with suppress(ProcessLookupError):
        os.kill(process.pid, signum)
