"""An entry host that notes which part of it is at work, a thousand times a second.

`python -m benchmarks.owner.sampled serve --platform`: as `courselead`, with the samples
of each second of the steady clock in a file beside its settings when it ends.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from types import FrameType

from benchmarks.owner.account import part_of
from courselead.__main__ import main

SAMPLE_S = 0.001
"""Processor time between two samples; the kernel's tick may make it longer."""

SUFFIX = ".samples.json"
"""Of the file with the samples, after the name of the settings file."""


class Sampler:
    """Counts the parts that are at work, by second."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._seconds: dict[int, Counter[str]] = defaultdict(Counter)

    def take(self, _signum: int, frame: FrameType | None) -> None:
        """Take one sample."""
        modules = []
        while frame is not None:
            modules.append(frame.f_globals.get("__name__", ""))
            frame = frame.f_back
        self._seconds[int(time.monotonic())][part_of(modules)] += 1

    def write(self, path: Path) -> None:
        """Write all samples."""
        path.write_text(json.dumps(self._seconds))


def run() -> int:
    """Run the host under the sampler and return its exit code."""
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.take)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
    code = 0
    try:
        main()
    except SystemExit as exc:
        code = int(exc.code or 0)
    signal.setitimer(signal.ITIMER_PROF, 0)
    sampler.write(Path(os.environ["COURSELEAD_NODE_FILE"] + SUFFIX))
    return code


if __name__ == "__main__":
    sys.exit(run())
