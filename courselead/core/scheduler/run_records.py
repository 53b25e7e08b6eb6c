"""What may run on a minion, as its owner stored it before each start.

Where a zone is cut off, the owner in it is replaced, and the next one does not hear
from the minions there. An owner therefore stores what it starts on the minions of its
own zone before the order is sent: of the jobs from before, the next one holds back
only the tasks that are named, not whole pools.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from courselead.core.scheduler.records import KeyedRecord

OWNER_KEY = b"o"
"""Key of the record that an owner writes first: it fences the owners before."""

_RUNS_KEY = b"r"


class MinionRuns(msgspec.Struct, frozen=True, array_like=True):
    """Tasks that may run on a minion.

    Attributes:
        fence: Of the owner that wrote it, after the minion had reported to it.
        tasks: All that the minion reported and all that was ordered since.
    """

    fence: int
    tasks: list[str]


def encode_owner(fence: int) -> KeyedRecord:
    """Return an owner's first record."""
    return KeyedRecord(OWNER_KEY, msgspec.msgpack.encode(fence))


def encode_runs(minion_id: str, runs: MinionRuns) -> KeyedRecord:
    """Return a minion's record."""
    return KeyedRecord(_RUNS_KEY + minion_id.encode(), msgspec.msgpack.encode(runs))


def drop_runs(minion_id: str) -> KeyedRecord:
    """Return the record that drops that of a minion whose life is over."""
    return KeyedRecord(_RUNS_KEY + minion_id.encode(), b"")


def runs_of_owner(
    records: Iterable[KeyedRecord], fence: int
) -> dict[str, frozenset[str]]:
    """Return the tasks that may run on each minion for which an owner answers.

    Records of other owners are left out: the owner named may have started more there.

    Args:
        records: The newest of each key, read after this owner was fenced.
        fence: Of the last owner.

    Raises:
        ValueError: A record is malformed.
    """
    found = {}
    for record in records:
        if not record.key.startswith(_RUNS_KEY):
            continue
        try:
            runs = msgspec.msgpack.decode(record.value, type=MinionRuns)
        except msgspec.MsgspecError as exc:
            raise ValueError(f"malformed record of a minion's runs: {exc}") from exc
        if runs.fence == fence:
            found[record.key[len(_RUNS_KEY) :].decode()] = frozenset(runs.tasks)
    return found


def minions_of(records: Iterable[KeyedRecord]) -> set[str]:
    """Return the minions that have a record."""
    prefix = len(_RUNS_KEY)
    return {
        record.key[prefix:].decode()
        for record in records
        if record.key.startswith(_RUNS_KEY)
    }
