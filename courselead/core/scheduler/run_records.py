"""What may run on a minion, as its owner stored it before each start.

Where a zone is cut off, the owner in it is replaced, and the next one does not hear
from the minions there. An owner therefore stores what it starts on the minions of its
own zone before the order is sent: of the jobs from before, the next one holds back
only the tasks that are named, not whole pools.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from courselead.core.scheduler.records import KeyedRecord, OwnerBeat

OWNER_KEY = b"o"
"""Key of the record that an owner writes first: it fences the owners before."""

_RUNS_KEY = b"r"


class MinionRuns(msgspec.Struct, frozen=True, array_like=True):
    """Tasks that may run on a minion.

    Attributes:
        fence: Of the owner that wrote it, after the minion had reported to it.
        tasks: All that the minion reported and all that was ordered since, but for
            those whose ends are stored.
    """

    fence: int
    tasks: list[str]


@dataclass(frozen=True, slots=True)
class LeftRuns:
    """What the last owner may have left running in its zone.

    Attributes:
        zone: Its availability zone.
        settled: Whether it owned the schedule for so long that no lease of owners
            before it can still run.
        by_minion: Tasks that may run on the minions that it has stored.
    """

    zone: str
    settled: bool
    by_minion: Mapping[str, frozenset[str]]

    @classmethod
    def from_owner(
        cls,
        beat: OwnerBeat,
        by_minion: Mapping[str, frozenset[str]],
        longest_lease_ms: int,
    ) -> LeftRuns:
        """Return what an owner left, by its last sign of life and its records."""
        return cls(beat.zone, beat.owned_ms >= longest_lease_ms, by_minion)

    def tasks_on(self, minion_id: str, zone: str) -> frozenset[str] | None:
        """Return the tasks that may run on a minion, nothing if that is not known.

        On a minion of its zone that it has not stored it has started nothing: it may
        have come up behind the cut. Runs of owners before may be there until their
        leases are over.
        """
        tasks = self.by_minion.get(minion_id)
        if tasks is None and self.settled and self.zone and zone == self.zone:
            return frozenset()
        return tasks


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
