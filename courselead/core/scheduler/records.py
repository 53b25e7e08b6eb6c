"""The records of the job log: what lasts beyond any process.

The log is compacted by key, so each record says all that its key stands for.
"""

from __future__ import annotations

import msgspec

from courselead.core.scheduler.models import JobSpec, JobState
from courselead.core.scheduler.turns import TurnMemory


class JobAccepted(msgspec.Struct, frozen=True, array_like=True):
    """A caller's job; a repeat of it is the same job.

    Attributes:
        job_id: Chosen by the caller.
        queue: That it was handed in to.
        spec: What is to be done.
        account: Whose it is, "" if it belongs to none.
    """

    job_id: str
    queue: str
    spec: JobSpec
    account: str = ""


class SavedCrash(msgspec.Struct, frozen=True, array_like=True):
    """A life that ended with a run of a task on it; `age_ms` is the run's."""

    number: int
    minion_id: str
    born_ms: int
    age_ms: int
    alone: bool
    explained: bool = False
    cleared: bool = False


class SavedStart(msgspec.Struct, frozen=True, array_like=True):
    """A run that may be on a life of a minion."""

    number: int
    minion_id: str
    born_ms: int


class OccurrenceProgress(msgspec.Struct, frozen=True, array_like=True):
    """How far one occurrence of a job is.

    Attributes:
        number: Counted from 0.
        done: For each step the indexes of the tasks that ended well.
        failed: Numbers of failed runs by `step.index`: a minion may report an end
            to several owners.
        checkpoints: Newest checkpoint by `step.index`, of ends that were
            acknowledged to the minion.
        crashes: Lives that crashed under a task, by `step.index`, oldest first.
        starts: Runs, by `step.index`, of tasks whose starts are stored before they are
            sent: the next owner takes one as a crash if its life has ended meanwhile.
    """

    number: int
    done: list[list[int]]
    failed: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[SavedCrash]] = {}
    starts: dict[str, list[SavedStart]] = {}


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """State of a job as the owner of the schedule last saved it."""

    job_id: str
    state: JobState
    begun: bool = False
    closed: list[int] = []
    occurrences: list[OccurrenceProgress] = []
    ended_ms: int = 0
    opened_fence: int = 0


class JobCancelled(msgspec.Struct, frozen=True, array_like=True):
    """A caller's wish that nothing of the job runs any more."""

    job_id: str


class JobForgotten(msgspec.Struct, frozen=True, array_like=True):
    """A job that ended long ago; one of its records is dropped.

    Attributes:
        job_id: Of the job.
        account: Whose it was; None where the record dropped tells of no account.
    """

    job_id: str
    account: str | None = None


class OwnerBeat(msgspec.Struct, frozen=True, array_like=True):
    """Sign of life of the schedule's owner; `released` hands the schedule over.

    It carries what the owner has learned of the pools' turns of demand, and the workers
    that it or owners before it have given orders for of late, with their ages in ms:
    an order is stored with it before it is sent.

    Attributes:
        fence: Of its claim.
        host: Its name.
        beat: Number of the record.
        released: Whether it hands the schedule over.
        turns: By pool.
        ordered: By worker.
        zone: In which it stores what it starts before it sends it, "" if nowhere.
        owned_ms: For how long it has owned the schedule.
    """

    fence: int
    host: str
    beat: int
    released: bool = False
    turns: dict[str, TurnMemory] = {}
    ordered: dict[str, int] = {}
    zone: str = ""
    owned_ms: int = 0


class WaveProgress(msgspec.Struct, frozen=True, array_like=True):
    """How far a maintenance wave is.

    Attributes:
        wave: Its number.
        begun: Workers whose maintenance has begun, or is not due.
        sent: Workers that were or are about to be ordered down: stored before the
            order is sent, as it may be carried out after its sender is gone.
    """

    wave: int
    begun: list[str]
    sent: list[str] = []


class HostSeen(msgspec.Struct, frozen=True, array_like=True):
    """Where a host lends its way to the log to the others, and how large it is.

    Attributes:
        host: Its name.
        address: Where the other hosts reach it.
        cores_milli: What it may use, in thousandths of a core of usual speed; 0 if
            it does not know.
        link_mbps: Speed of its link; 0 if it does not know.
    """

    host: str
    address: str
    cores_milli: int = 0
    link_mbps: float = 0.0


Record = (
    HostSeen
    | JobAccepted
    | JobProgress
    | JobCancelled
    | JobForgotten
    | OwnerBeat
    | WaveProgress
)

JOB_ID_LENGTH = 16
"""Characters of a job's id, as callers choose it."""

_KEY_ACCEPTED = b"j"
_KEY_PROGRESS = b"p"
_KEY_CANCELLED = b"x"
_KEY_OWNER = b"o"
_KEY_WAVE = b"w"
_KEY_HOST = b"h"

_TYPES: dict[bytes, type] = {
    _KEY_ACCEPTED: JobAccepted,
    _KEY_PROGRESS: JobProgress,
    _KEY_CANCELLED: JobCancelled,
    _KEY_OWNER: OwnerBeat,
    _KEY_WAVE: WaveProgress,
    _KEY_HOST: HostSeen,
}


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record as the log keeps it; an empty value drops the key."""

    key: bytes
    value: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {key: msgspec.msgpack.Decoder(kind) for key, kind in _TYPES.items()}


def encode(record: Record) -> KeyedRecord:
    """Return a record as key and value."""
    match record:
        case JobAccepted():
            key = _accepted_key(record.job_id, record.account)
        case JobProgress():
            key = _KEY_PROGRESS + record.job_id.encode()
        case JobCancelled():
            key = _KEY_CANCELLED + record.job_id.encode()
        case OwnerBeat():
            key = _KEY_OWNER
        case WaveProgress():
            key = _KEY_WAVE + str(record.wave).encode()
        case HostSeen():
            key = _KEY_HOST + record.host.encode()
        case JobForgotten():
            raise ValueError("a forgotten job has several keys: use forget()")
    return KeyedRecord(key, _ENCODER.encode(record))


def _accepted_key(job_id: str, account: str) -> bytes:
    """Return a key that another account which uses the same id does not share."""
    return _KEY_ACCEPTED + job_id.encode() + account.encode()


def forget(job_id: str, account: str = "") -> list[KeyedRecord]:
    """Return the records that drop all that is kept of a job."""
    name = job_id.encode()
    prefixes = (_KEY_CANCELLED, _KEY_PROGRESS)
    dropped = [KeyedRecord(prefix + name, b"") for prefix in prefixes]
    return [*dropped, forget_duplicate(job_id, account)]


def forget_duplicate(job_id: str, account: str) -> KeyedRecord:
    """Return the record that drops a job whose id another account's job has."""
    return KeyedRecord(_accepted_key(job_id, account), b"")


def decode(keyed: KeyedRecord) -> Record:
    """Return what a keyed record says.

    Raises:
        ValueError: The record is not one of this log.
    """
    prefix, name = keyed.key[:1], keyed.key[1:]
    if prefix not in _DECODERS:
        raise ValueError("record with an unknown kind of key")
    if not keyed.value and prefix == _KEY_ACCEPTED:
        job_id, account = name[:JOB_ID_LENGTH], name[JOB_ID_LENGTH:]
        return JobForgotten(job_id.decode(), account.decode())
    if not keyed.value:
        return JobForgotten(name.decode())
    try:
        return _DECODERS[prefix].decode(keyed.value)
    except msgspec.MsgspecError as exc:
        raise ValueError(f"malformed record: {exc}") from exc
