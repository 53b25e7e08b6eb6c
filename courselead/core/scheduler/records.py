"""The records of the job log, which is the durable state of the scheduler.

The log is compacted by key, so each record holds the complete state of its key.
"""

from __future__ import annotations

import msgspec
import xxhash

from courselead.core.scheduler.bursts import BurstMemory
from courselead.core.scheduler.models import JobSpec, JobState, Queue
from courselead.decoding import Malformed, MsgpackDecoder


class JobAccepted(msgspec.Struct, frozen=True, array_like=True):
    """A submitted job; a repeated submission is the same job.

    Attributes:
        job_id: Id chosen by the caller.
        queue: Queue to which it was submitted.
        spec: Specification of the work.
        account: Client account, "" if it has none.
        settings: Settings of the queue when the job was accepted; None in records of
            earlier versions.
        address: Digest of the host and path prefix to which it was submitted; 0 in
            records of earlier versions.
    """

    job_id: str
    queue: str
    spec: JobSpec
    account: str = ""
    settings: Queue | None = None
    address: int = 0


class SavedCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash: an incarnation of a minion that ended with a run of a task on it.

    Attributes:
        age_ms: Age of the run.
    """

    number: int
    minion_id: str
    born_ms: int
    age_ms: int
    alone: bool
    explained: bool = False
    cleared: bool = False


class SavedStart(msgspec.Struct, frozen=True, array_like=True):
    """A run that may exist on an incarnation of a minion."""

    number: int
    minion_id: str
    born_ms: int


class OccurrenceProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one occurrence of a job.

    Attributes:
        number: Number of the occurrence, starting at 0.
        done: For each step, the indexes of the completed tasks.
        failed: Numbers of failed runs by `step.index`. They are kept because a minion
            may report the same end to several owners.
        checkpoints: Newest checkpoint by `step.index`, of ends that were
            acknowledged to the minion.
        crashes: Crashes of a task by `step.index`, oldest first.
        starts: Runs by `step.index`, of tasks whose starts are stored before they are
            sent. The next owner counts a crash if the incarnation has ended meanwhile.
    """

    number: int
    done: list[list[int]]
    failed: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[SavedCrash]] = {}
    starts: dict[str, list[SavedStart]] = {}


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """State of a job as last saved by the owner of the schedule.

    Attributes:
        pools: Pools in which its tasks may have been started. The pool of its queue at
            its acceptance may be missing.
        settings: Newest settings of its queue, None if they are those of its
            acceptance.
    """

    job_id: str
    state: JobState
    begun: bool = False
    closed: list[int] = []
    occurrences: list[OccurrenceProgress] = []
    ended_ms: int = 0
    opened_fence: int = 0
    pools: list[str] = []
    settings: Queue | None = None


class JobCancelled(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request to stop all runs of a job."""

    job_id: str


class EarlyCancel(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request to cancel a job that was unknown to the host that was asked.

    The job's submission may still be on its way to the log. If it is stored before or
    after this record, the job is cancelled.

    Attributes:
        job_id: Id of the job.
        queue: Queue that was called.
        account: Client account of the caller, "" if it has none.
        address: Digest of the host and path prefix that were called.
    """

    job_id: str
    queue: str
    account: str = ""
    address: int = 0


class EarlyCancelForgotten(msgspec.Struct, frozen=True, array_like=True):
    """The removal of the record of an early cancel, by its key."""

    key: bytes


class JobForgotten(msgspec.Struct, frozen=True, array_like=True):
    """The removal of a record of a job that ended long ago.

    Attributes:
        job_id: Id of the job.
        account: Client account, None if the removed record contains no account.
    """

    job_id: str
    account: str | None = None


class PoolWait(msgspec.Struct, frozen=True, array_like=True):
    """Expected wait of new finite work in an overloaded or evacuated pool.

    Attributes:
        wait_ms: Time in which all waiting work of the pool is done.
        accounts: Expected waits in ms of the accounts with excess work, by queue
            priority.
        zones: Evacuated zones, if they leave the pool without a usable minion.
    """

    wait_ms: int = 0
    accounts: dict[str, dict[int, int]] = {}
    zones: tuple[str, ...] = ()


class OwnerHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of the schedule's owner.

    Attributes:
        fence: Fencing token of its claim.
        host: Name of the owner's host.
        heartbeat: Number of the heartbeat.
        released: Whether the owner hands the schedule over.
        turns: What was learned about changes of demand, by pool.
        ordered: Workers for which this or an earlier owner has recently given orders,
            with the ages of the orders in ms. An order is stored with the heartbeat
            before it is sent.
        zone: Availability zone in which starts are stored before they are sent, "" if
            there is none.
        owned_ms: How long the owner has owned the schedule, 0 while it does not know
            all run ends of earlier owners.
        waits: Expected waits by pool, of overloaded and evacuated pools only.
    """

    fence: int
    host: str
    heartbeat: int
    released: bool = False
    turns: dict[str, BurstMemory] = {}
    ordered: dict[str, int] = {}
    zone: str = ""
    owned_ms: int = 0
    waits: dict[str, PoolWait] = {}


class WaveProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a maintenance wave.

    Attributes:
        wave: Number of the wave.
        begun: Workers whose maintenance has begun or is not due.
        sent: Workers that were or are about to be ordered down. Stored before the order
            is sent, because it may be carried out after its sender has stopped.
    """

    wave: int
    begun: list[str]
    sent: list[str] = []


class HostAddress(msgspec.Struct, frozen=True, array_like=True):
    """Address at which a host relays log access for other hosts, and its capacity.

    Attributes:
        host: Name of the host.
        address: Address for the other hosts.
        cores_milli: CPU that it may use, in thousandths of a core of standard speed; 0
            if unknown.
        link_mbps: Speed of its network link; 0 if unknown.
    """

    host: str
    address: str
    cores_milli: int = 0
    link_mbps: float = 0.0


Record = (
    HostAddress
    | JobAccepted
    | JobProgress
    | JobCancelled
    | EarlyCancel
    | EarlyCancelForgotten
    | JobForgotten
    | OwnerHeartbeat
    | WaveProgress
)

JOB_ID_LENGTH = 16
"""Length of a job id in characters."""

_KEY_ACCEPTED = b"j"
_KEY_PROGRESS = b"p"
_KEY_CANCELLED = b"x"
_KEY_EARLY_CANCEL = b"c"
_KEY_OWNER = b"o"
_KEY_WAVE = b"w"
_KEY_HOST = b"h"

_TYPES: dict[bytes, type] = {
    _KEY_ACCEPTED: JobAccepted,
    _KEY_PROGRESS: JobProgress,
    _KEY_CANCELLED: JobCancelled,
    _KEY_EARLY_CANCEL: EarlyCancel,
    _KEY_OWNER: OwnerHeartbeat,
    _KEY_WAVE: WaveProgress,
    _KEY_HOST: HostAddress,
}


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record as stored in the log; an empty value drops the key."""

    key: bytes
    value: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {key: MsgpackDecoder(kind) for key, kind in _TYPES.items()}


def encode(record: Record) -> KeyedRecord:
    """Return a record in the form in which the log stores it."""
    match record:
        case JobAccepted():
            key = _accepted_key(record.job_id, record.account)
        case JobProgress():
            key = _KEY_PROGRESS + record.job_id.encode()
        case JobCancelled():
            key = _KEY_CANCELLED + record.job_id.encode()
        case EarlyCancel():
            key = early_cancel_key(record)
        case EarlyCancelForgotten():
            return KeyedRecord(record.key, b"")
        case OwnerHeartbeat():
            key = _KEY_OWNER
        case WaveProgress():
            key = _KEY_WAVE + str(record.wave).encode()
        case HostAddress():
            key = _KEY_HOST + record.host.encode()
        case JobForgotten():
            raise ValueError("a forgotten job has several keys: use forget()")
    return KeyedRecord(key, _ENCODER.encode(record))


def _accepted_key(job_id: str, account: str) -> bytes:
    """Return a key that differs for jobs of other accounts with the same id."""
    return _KEY_ACCEPTED + job_id.encode() + account.encode()


def early_cancel_key(record: EarlyCancel) -> bytes:
    """Return a key that differs for callers of other accounts and queues."""
    caller = f"{record.account} {record.queue} {record.address}"
    digest = xxhash.xxh3_64_hexdigest(caller.encode())
    return _KEY_EARLY_CANCEL + record.job_id.encode() + digest.encode()


def forget(job_id: str, account: str = "") -> list[KeyedRecord]:
    """Return the records that drop all stored state of a job."""
    name = job_id.encode()
    prefixes = (_KEY_CANCELLED, _KEY_PROGRESS)
    dropped = [KeyedRecord(prefix + name, b"") for prefix in prefixes]
    return [*dropped, forget_duplicate(job_id, account)]


def forget_duplicate(job_id: str, account: str) -> KeyedRecord:
    """Return the record that drops a job whose id belongs to another account's job."""
    return KeyedRecord(_accepted_key(job_id, account), b"")


def decode(keyed: KeyedRecord) -> Record:
    """Decode a keyed record.

    Raises:
        ValueError: The record has an unknown key or is malformed.
    """
    prefix, name = keyed.key[:1], keyed.key[1:]
    if prefix not in _DECODERS:
        raise ValueError("record with an unknown kind of key")
    if not keyed.value and prefix == _KEY_EARLY_CANCEL:
        return EarlyCancelForgotten(keyed.key)
    if not keyed.value and prefix == _KEY_ACCEPTED:
        job_id, account = name[:JOB_ID_LENGTH], name[JOB_ID_LENGTH:]
        return JobForgotten(job_id.decode(), account.decode())
    if not keyed.value:
        return JobForgotten(name.decode())
    record = _DECODERS[prefix].decode_one(keyed.value)
    if isinstance(record, Malformed):
        raise ValueError(f"malformed record: {record}")
    return record
