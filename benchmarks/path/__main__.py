"""Command line: `python -m benchmarks.path [--only NAME] [--write]`."""

import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from benchmarks.figures import DOCS, Recorder, put_block
from benchmarks.path import config, idle, newhost, overhead

PAGE = DOCS / "path.md"
PART_TIMEOUT_S = 600.0
EXIT_INTERRUPTED = 130

PARTS: dict[str, Callable[[], Awaitable[str]]] = {
    "overhead": overhead.measure,
    "start": idle.measure_start,
    "memory": idle.measure_memory,
    "use": idle.measure_usage,
    "config": config.measure,
    "new-host": newhost.measure,
}

app = App(name="path", help="Measure real processes over loopback.")


@app.default
def main(
    *,
    only: Annotated[list[str] | None, Parameter(help="Parts to run.")] = None,
    write: Annotated[bool, Parameter(help="Put the tables into the page.")] = False,
) -> int:
    """Run the named parts, or all of them, each with a time limit."""
    # An installed program has compiled modules. Without this, each start would
    # compile them, which would count as time and memory of the daemon.
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    for name in only or list(PARTS):
        recorder = Recorder(f"script/bench path --only {name}")
        text = anyio.run(_run_part, PARTS[name])
        if not text:
            return EXIT_INTERRUPTED
        source = recorder.source().line()
        block = f"{text}\n\n{source}"
        print(f"### {name}\n\n{block}\n", flush=True)
        if write:
            put_block(PAGE, name, block)
    return 0


async def _run_part(part: Callable[[], Awaitable[str]]) -> str:
    """Run a part with a time limit and return its text, "" after a signal."""
    text = ""
    async with anyio.create_task_group() as tasks:

        async def cancel_on_signal() -> None:
            with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    tasks.cancel_scope.cancel()
                    return

        tasks.start_soon(cancel_on_signal)
        with anyio.fail_after(PART_TIMEOUT_S):
            text = await part()
        tasks.cancel_scope.cancel()
    return text


if __name__ == "__main__":
    sys.exit(app())
