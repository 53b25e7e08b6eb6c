"""Maps a call stack to the part of the program that it belongs to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

OTHER = "other"

PARTS = (
    ("logs", ("courselead.logs", "courselead.log_budget", "structlog")),
    ("metrics", ("courselead.daemon.scheduling.metrics", "aioprometheus")),
    ("decision", ("courselead.core.scheduler",)),
    ("minion calls", ("courselead.platform.minions",)),
    ("orders and looks", ("courselead.daemon.scheduling.minion_tasks",)),
    (
        "save",
        (
            "courselead.daemon.scheduling.fenced_log",
            "courselead.daemon.scheduling.retries",
            "courselead.daemon.scheduling.read_back",
            "courselead.daemon.scheduling.relay",
        ),
    ),
    ("log of starts", ("courselead.daemon.scheduling.start_log",)),
    ("follow", ("courselead.daemon.scheduling.follower",)),
    ("decode", ("courselead.platform.decode",)),
    ("store and cloud calls", ("courselead.platform",)),
    (
        "callers",
        (
            "courselead.daemon.scheduling.intake",
            "courselead.daemon.scheduling.writer",
            "courselead.daemon.scheduling.relay_app",
            "courselead.integrations.http_api",
            "uvicorn",
            "h11",
        ),
    ),
    ("connections", ("courselead.integrations.lean_http", "httptools")),
    (
        "event loop",
        # The last module runs the loop, so it is the outermost call of every stack.
        ("asyncio", "anyio", "selectors", "courselead.daemon.scheduling.main"),
    ),
    ("owner", ("courselead.daemon.scheduling",)),
)
"""Parts and their modules. The innermost call that has a part determines the part of a
stack; calls of a library belong to the part that uses the library, if there is one."""

SHARED_PARTS = frozenset({"connections", "event loop"})
"""Parts to which a stack belongs only if no other part is on it."""


def part_of(modules: Iterable[str]) -> str:
    """Return the part that a stack belongs to.

    Args:
        modules: Module names of the calls, innermost first.
    """
    shared = ""
    for module in modules:
        part = _part_of_module(module)
        if not part:
            continue
        if part not in SHARED_PARTS:
            return part
        shared = shared or part
    return shared or OTHER


def us_by_part(
    samples: Mapping[str, int], spent_s: float, starts: int
) -> dict[str, float]:
    """Return processor time per start in microseconds, by part.

    Args:
        samples: Number of samples by part.
        spent_s: Processor time of the process during sampling, in seconds.
        starts: Runs that were started during sampling.
    """
    total = max(1, sum(samples.values()))
    us_per_sample = spent_s * 1_000_000 / total / max(1, starts)
    return {part: count * us_per_sample for part, count in samples.items()}


def merge_samples(windows: Sequence[Mapping[str, int]]) -> Counter[str]:
    """Return the sum of the samples of several windows."""
    merged: Counter[str] = Counter()
    for window in windows:
        merged.update(window)
    return merged


def _part_of_module(module: str) -> str:
    for part, prefixes in PARTS:
        for prefix in prefixes:
            if module == prefix or module.startswith(f"{prefix}."):
                return part
    return ""
