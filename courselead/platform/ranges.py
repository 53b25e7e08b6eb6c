"""Ranges of the numbers, and lengths of the names, that other processes send.

A number within its range can be encoded in every record and message that is made of
it (integers of 64 bits), and computed with: no sum, product or conversion to a float
overflows. Each range is far wider than what the protocol's figures need.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from courselead.core.scheduler.records import JOB_ID_LENGTH
from courselead.platform import const

MAX_COUNT = 2**31 - 1
"""Largest count or index: of attempts, occurrences, missing tasks, or a priority."""

MAX_DURATION_S = 36_525 * 86_400
"""Longest duration: a century of 36,525 days."""

MAX_DURATION_MS = MAX_DURATION_S * 1_000
"""The same in milliseconds."""

MAX_TIME_MS = const.MAX_EXACT_INTEGER
"""Latest time, in milliseconds since 1970 or since a minion's clock began."""

MAX_LAST_DUE_MS = 2**62
"""Latest time since 1970 at which the last occurrence of a job may be due."""

MAX_VERSION = const.MAX_EXACT_INTEGER
"""Largest version of a configuration, and number of a wave."""

MAX_AMOUNT = 10**12
"""Largest amount of one resource: thousandths of a core, MB or GPUs."""

MAX_TASKS_PER_STEP = 10_000
"""Maximum number of tasks of a step."""

MAX_BODY_BYTES = 2**31 - 1
"""Largest limit of a request's body; a process has less memory."""

MAX_STRETCH = 1e6
"""Largest multiple of a job's run time in its objective."""

MIN_WEIGHT = 1e-3
"""Smallest weight of an account that has one, in jobs per second.

Amounts are divided by the weight.
"""

MAX_WEIGHT = 1e6
"""Largest weight of an account, in jobs per second."""

MAX_RUN_NUMBER = const.MAX_EXACT_INTEGER
"""Largest number of a run, and of a run's end, in a minion's report."""

MAX_PERCENT = 1_000
"""Largest progress of a run in percent; the protocol has values up to 100."""

MAX_FIGURE = 1e12
"""Largest fifth entry of a run's row: a tail in ms, or thousandths of a core."""

MAX_LOG_OFFSET = 2**42
"""Largest offset in the store's log: 10,000 records a second for 13 years.

A run number is the fence, an offset, times `RUNS_PER_FENCE`, and has to fit into 64
bits.
"""

MAX_INT64 = 2**63 - 1

MAX_PORT = 65_535

MAX_CORES = 1e6
"""Largest share of a core, or speed of a core as a multiple of a standard one."""

MAX_MEMORY_MB = 2**30
"""Largest memory of a process, in MiB."""

MAX_LINK_MBPS = 1e9
"""Largest speed of a network link, in Mbit/s."""

MAX_OVERAGE = 1e6
"""Largest fraction by which an account may exceed its cap."""

MAX_KEY_BYTES = 255
"""Maximum length of a record's key; the store's format has one byte for it."""

MAX_ACCOUNT_BYTES = MAX_KEY_BYTES - 1 - JOB_ID_LENGTH
"""Maximum length of an account's name; a job's key is a letter, the id and the name."""

MAX_HOST_BYTES = MAX_KEY_BYTES - 1
"""Maximum length of a host's name, which the key of its record has after a letter."""

MAX_TASK_NAME_CHARS = 255
"""Maximum length of a task's name, whose parts are converted to numbers.

The name of a task that a client can submit has at most 46 characters.
"""

MAX_CHECKPOINT_CHARS = 4_000
"""Maximum length of a checkpoint; as many as a job's payload has bytes.

The checkpoints of a job's tasks are stored in one record.
"""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
TaskCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_STEP)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# Negative if the time is over.
RemainingMs = Annotated[int, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
WholeDurationS = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
SignedAmount = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
BodyBytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)]
Stretch = Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
RunNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_NUMBER)]
Percent = Annotated[float, msgspec.Meta(ge=0, le=MAX_PERCENT)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)]
Checkpoint = Annotated[str, msgspec.Meta(max_length=MAX_CHECKPOINT_CHARS)]
TaskName = Annotated[str, msgspec.Meta(max_length=MAX_TASK_NAME_CHARS)]
LogOffset = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOG_OFFSET)]
PageToken = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)]
MemoryMb = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
LinkMbps = Annotated[float, msgspec.Meta(ge=0, le=MAX_LINK_MBPS)]
Overage = Annotated[float, msgspec.Meta(ge=0, le=MAX_OVERAGE)]


def check_length(name: str, max_bytes: int) -> None:
    """Check a name that becomes part of a record's key.

    Raises:
        ValueError: The name is longer in UTF-8; msgspec adds its path in the document.
    """
    if len(name.encode()) > max_bytes:
        raise ValueError(f"Expected a name of length <= {max_bytes} bytes")


def check_weight(weight: float) -> None:
    """Check the weight of an account; one of 0 has no share.

    Raises:
        ValueError: The weight is too small to divide by.
    """
    if 0 < weight < MIN_WEIGHT:
        raise ValueError(f"Expected a weight of 0 or >= {MIN_WEIGHT}")
