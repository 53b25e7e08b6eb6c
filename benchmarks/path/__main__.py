"""Command line: `python -m benchmarks.path [--only NAME] [--write]`."""

import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from benchmarks.figures import DOCS, Recorder, put_block
from benchmarks.path import config, newhost, overhead, rest

PAGE = DOCS / "path.md"
LIMIT_S = 600.0
EXIT_INTERRUPTED = 130

PARTS: dict[str, Callable[[], Awaitable[str]]] = {
    "overhead": overhead.measure,
    "start": rest.measure_start,
    "memory": rest.measure_memory,
    "use": rest.measure_use,
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
    """Run the parts named, or all; each ends its processes within a bound."""
    # An installed program has its compiled modules; to compile them at each
    # start would count as the daemon's time and memory.
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    for name in only or list(PARTS):
        recorder = Recorder(f"script/bench path --only {name}")
        text = anyio.run(_bounded, PARTS[name])
        if not text:
            return EXIT_INTERRUPTED
        source = recorder.source().line()
        block = f"{text}\n\n{source}"
        print(f"### {name}\n\n{block}\n", flush=True)
        if write:
            put_block(PAGE, name, block)
    return 0


async def _bounded(part: Callable[[], Awaitable[str]]) -> str:
    """Run a part within its time; "" if a signal ended it."""
    text = ""
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    tasks.cancel_scope.cancel()
                    return

        tasks.start_soon(watch)
        with anyio.fail_after(LIMIT_S):
            text = await part()
        tasks.cancel_scope.cancel()
    return text


if __name__ == "__main__":
    sys.exit(app())
