"""Other writers that send malformed content to real entry hosts for a short time.

Entries of the list of minions, configurations, waves, and answers of minions, of the
store and of the cloud. Each malformed content is retracted or replaced by a sound one,
so that the run ends without any. Callers send malformed jobs, which have to be refused.
"""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio

from demo.job_site import POOL, PREFIX, JobSite
from harness.malformed_content import (
    MalformedAnswer,
    MessageShape,
    draw_malformed_answer,
    draw_malformed_message,
)

LONGEST_S = 3.0
"""Longest time for which malformed content stays."""

UNUSED_ADDRESS = "127.0.0.1:1"
"""Address of the minions that malformed entries name; nothing listens there."""

KEY_CHARS = (8, 255)
"""Lengths of the keys of malformed entries: a usual one, and the protocol's longest."""

MAX_WAVE = 1_000_000
WAVE_DEADLINE_S = 60
MAX_BODY_BYTES = 262_144

CALLER_PAUSE_S = 0.3
MALFORMED_JOB_IDS = 0xF << 60
"""First id of malformed jobs, apart from those of the other jobs."""

NO_ANSWER = 0
REFUSALS = (400, 404, 429, 503)
"""Statuses with which a malformed job may be refused."""

ENTRY = MessageShape(
    parts=(
        ("service",),
        ("address",),
        ("zone",),
        ("version",),
        ("state",),
        ("capacity",),
        ("capacity", "cpu"),
        ("capacity", "memMb"),
        ("labels",),
        ("labels", 0),
        ("remainingMs",),
        ("warmupRemainingMs",),
        ("born",),
        ("seq",),
    ),
    required=(
        ("service",),
        ("address",),
        ("zone",),
        ("state",),
        ("capacity",),
        ("labels",),
    ),
)

CONFIG = MessageShape(
    parts=(
        ("version",),
        ("routes",),
        ("routes", 0),
        ("routes", 0, "maxAttempts"),
        ("routes", 0, "stretch"),
        ("routes", 0, "sloMs"),
        ("routes", 0, "priority"),
        ("services",),
        ("services", 0),
        ("limits",),
        ("limits", "maxBodyBytes"),
    ),
    required=(("version",),),
)

WAVE = MessageShape(
    parts=(
        ("wave",),
        ("machines",),
        ("machines", 0),
        ("deadlineS",),
        ("cap",),
    ),
    required=(("wave",),),
)

JOB = MessageShape(
    parts=(
        ("spec",),
        ("steps",),
        ("steps", 0),
        ("steps", 0, "count"),
        ("steps", 0, "cpu"),
        ("steps", 0, "estRuntimeMs"),
        ("steps", 0, "after"),
    ),
    strings=(("spec",),),
    objects=(("steps", 0),),
)

SOUND_JOB = {
    "spec": "{}",
    "steps": [{"count": 1, "cpu": 500, "estRuntimeMs": 100, "after": []}],
}


@dataclass(frozen=True, slots=True)
class AnswerShape:
    """An answer of a stand-in that may be malformed, with its path and an example.

    The parts are fields of the answer itself, as the others keep their true values.
    """

    path: str
    example: dict[str, object]
    shape: MessageShape


POLL_ANSWER = AnswerShape(
    "/-/hold",
    {"clockMs": 1, "born": 1, "running": [], "finished": []},
    MessageShape(
        parts=(("clockMs",), ("born",), ("running",), ("finished",)),
        required=(("clockMs",), ("running",), ("finished",)),
    ),
)

APPEND_ANSWER = AnswerShape(
    "/-/log-append",
    {"offset": 1, "end": 2},
    MessageShape(parts=(("offset",), ("end",)), required=(("end",),)),
)

NEWEST_ANSWER = AnswerShape(
    "/-/log-newest",
    {"items": [], "morePages": False, "end": 1},
    MessageShape(parts=(("end",),), required=(("items",), ("end",))),
)

MACHINES_ANSWER = AnswerShape(
    "/-/machines",
    {"machines": [], "nextToken": None},
    MessageShape(parts=(("machines",),), required=(("machines",),)),
)


@dataclass(frozen=True, slots=True)
class MalformedWrite:
    """One malformed content, with its time and duration in seconds and its own seed."""

    at_s: float
    name: str
    lasts_s: float
    seed: int


@dataclass(slots=True)
class MalformedWriter:
    """Writes malformed content to a site, and retracts it.

    Attributes:
        written: What was malformed about each content, by the name of the write.
    """

    site: JobSite
    written: list[str] = field(default_factory=list)

    async def run(self, write: MalformedWrite) -> None:
        """Wait for the time of a write, write the malformed content, and retract it."""
        await anyio.sleep(write.at_s)
        await MALFORMED_WRITES[write.name](self, Random(write.seed), write)

    def record(self, write: MalformedWrite, kind: str) -> None:
        """Record what is malformed about a content."""
        self.written.append(f"{write.at_s} s, {write.name}: {kind}")


MalformedWriteFunction = Callable[
    [MalformedWriter, Random, MalformedWrite], Awaitable[None]
]


async def _write_entry(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    entry = {
        "service": POOL,
        "address": UNUSED_ADDRESS,
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "warmupRemainingMs": 0,
        "remainingMs": 0,
        "capacity": {"cpu": 4_000, "memMb": 4_096, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 1,
        "seq": 1,
    }
    message = draw_malformed_message(rng, entry, ENTRY)
    key = f"i-malformed-{write.seed}-".ljust(rng.choice(KEY_CHARS), "x")
    writer.record(write, message.kind)
    await writer.site.write_server_entry(key, message.content)
    await anyio.sleep(write.lasts_s)
    await writer.site.write_server_entry(key, b"")


async def _write_config(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    limits = {"maxBodyBytes": MAX_BODY_BYTES}
    config = {**writer.site.next_config(), "limits": limits}
    message = draw_malformed_message(rng, config, CONFIG)
    writer.record(write, message.kind)
    await writer.site.write_malformed_operator_record("config", message.content)
    await anyio.sleep(write.lasts_s)
    await writer.site.write_config()


async def _write_wave(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    number = rng.randrange(1, MAX_WAVE)
    machine = rng.choice(sorted(writer.site.addresses["machines"]))
    wave = {
        "wave": number,
        "machines": [machine],
        "deadlineS": WAVE_DEADLINE_S,
        "cap": 1,
    }
    message = draw_malformed_message(rng, wave, WAVE)
    writer.record(write, message.kind)
    key = f"wave/{number}"
    await writer.site.write_malformed_operator_record(key, message.content)
    await anyio.sleep(write.lasts_s)
    await writer.site.write_malformed_operator_record(key, b"")


async def _answer_poll(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    machines = writer.site.addresses["machines"]
    address = machines[rng.choice(sorted(machines))]
    await _answer(writer, rng, write, address, POLL_ANSWER)


async def _answer_append(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    await _answer(writer, rng, write, writer.site.addresses["store"], APPEND_ANSWER)


async def _answer_newest(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    await _answer(writer, rng, write, writer.site.addresses["store"], NEWEST_ANSWER)


async def _answer_machines(
    writer: MalformedWriter, rng: Random, write: MalformedWrite
) -> None:
    await _answer(writer, rng, write, writer.site.addresses["cloud"], MACHINES_ANSWER)


async def _answer(
    writer: MalformedWriter,
    rng: Random,
    write: MalformedWrite,
    address: str,
    answer: AnswerShape,
) -> None:
    malformed = draw_malformed_answer(rng, answer.example, answer.shape)
    writer.record(write, malformed.kind)
    await writer.site.set_faults(
        address, only=answer.path, **_malformed_faults(malformed)
    )
    await anyio.sleep(write.lasts_s)
    await writer.site.set_faults(address)


def _malformed_faults(malformed: MalformedAnswer) -> dict[str, str]:
    content = base64.b64encode(malformed.content).decode()
    return {"malformed_answer": content, "malformed_field": malformed.field}


MALFORMED_WRITES: dict[str, MalformedWriteFunction] = {
    "malformed entry of a minion": _write_entry,
    "malformed configuration": _write_config,
    "malformed wave": _write_wave,
    "malformed answers to polls": _answer_poll,
    "malformed answers to appends": _answer_append,
    "malformed answers with the newest records": _answer_newest,
    "malformed answers of the cloud": _answer_machines,
}
"""Writers of malformed content by name."""

MALFORMED_STORE_ANSWERS = {
    "malformed answers to appends",
    "malformed answers with the newest records",
}
"""Writes during which the store is unstable for the hosts."""


def draw_malformed_writes(
    rng: Random, count: int, until_s: float
) -> tuple[MalformedWrite, ...]:
    """Return random malformed writes, ordered by time; they may overlap."""
    writes = []
    for _ in range(count):
        name = rng.choice(sorted(MALFORMED_WRITES))
        at_s = round(rng.uniform(0.5, until_s), 2)
        lasts_s = round(rng.uniform(0.5, LONGEST_S), 2)
        writes.append(MalformedWrite(at_s, name, lasts_s, rng.getrandbits(32)))
    return tuple(sorted(writes, key=lambda write: write.at_s))


@dataclass(slots=True)
class MalformedCaller:
    """A caller that sends malformed jobs, each of which has to be refused."""

    site: JobSite
    rng: Random
    broken: list[str] = field(default_factory=list)
    sent: int = 0
    stopped: bool = False

    async def run(self) -> None:
        """Send one malformed job after the other until stopped."""
        while not self.stopped:
            await self._send()
            await anyio.sleep(CALLER_PAUSE_S)

    async def _send(self) -> None:
        self.sent += 1
        job_id = f"{MALFORMED_JOB_IDS + self.sent:016x}"
        job = draw_malformed_message(self.rng, SOUND_JOB, JOB)
        host = self.rng.choice(self.site.hosts)
        status, _ = await self.site.send(
            host.address, "POST", PREFIX + job_id, job.content
        )
        # A host that is down, cut off or frozen does not answer.
        if status == NO_ANSWER or status in REFUSALS:
            return
        self.broken.append(f"{host.name} answers {status} to a job: {job.kind}")
