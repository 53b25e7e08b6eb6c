"""An entry host that samples which of its parts is running, 1,000 times per second.

`python -m benchmarks.owner.sampled serve --platform` runs `courselead` and, on exit,
writes the samples by second of the monotonic clock to a file next to the settings file.
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

SAMPLE_INTERVAL_S = 0.001
"""Processor time between two samples; the kernel's tick may lengthen it."""

SUFFIX = ".samples.json"
"""Suffix that the name of the settings file gets for the file of samples."""


class Sampler:
    """Counts samples by second and by part."""

    def __init__(self) -> None:
        """Create a sampler without samples."""
        self._by_second: dict[int, Counter[str]] = defaultdict(Counter)

    def take_sample(self, _signum: int, frame: FrameType | None) -> None:
        """Count the part of the interrupted stack (signal handler)."""
        modules = []
        while frame is not None:
            modules.append(frame.f_globals.get("__name__", ""))
            frame = frame.f_back
        self._by_second[int(time.monotonic())][part_of(modules)] += 1

    def write(self, path: Path) -> None:
        """Write all samples as JSON."""
        path.write_text(json.dumps(self._by_second))


def run() -> int:
    """Run the host under the sampler and return its exit code."""
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.take_sample)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
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
