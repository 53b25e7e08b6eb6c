"""Records of the tasks that may run on each minion, stored before every start.

When an availability zone is cut off with the owner in it, the next owner can't reach
the minions there. The owner therefore stores each start on a minion of its own zone
before it sends the order. The next owner then delays only the recorded tasks of earlier
jobs instead of whole pools.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from courselead.core.scheduler.records import KeyedRecord, OwnerHeartbeat
from courselead.decoding import Malformed, MsgpackDecoder

OWNER_KEY = b"o"
"""Key of the first record of an owner, which fences off earlier owners."""

_RUNS_KEY = b"r"


class MinionRuns(msgspec.Struct, frozen=True, array_like=True):
    """Tasks that may run on a minion.

    Attributes:
        fence: Fencing token of the owner that wrote the record after the minion had
            reported to it.
        tasks: Tasks that the minion reported or that were started since, except those
            whose ends are stored.
    """

    fence: int
    tasks: list[str]


_RUNS_DECODER = MsgpackDecoder(MinionRuns)


@dataclass(frozen=True, slots=True)
class RemainingRuns:
    """Tasks that the last owner may have left running in its zone.

    Attributes:
        zone: Availability zone of the last owner.
        settled: Whether it owned the schedule so long that all leases of earlier owners
            have expired.
        by_minion: Tasks that may run, for each minion with a record.
    """

    zone: str
    settled: bool
    by_minion: Mapping[str, frozenset[str]]

    @classmethod
    def from_owner(
        cls,
        heartbeat: OwnerHeartbeat,
        by_minion: Mapping[str, frozenset[str]],
        longest_lease_ms: int,
    ) -> RemainingRuns:
        """Create the object from the owner's last heartbeat and its records."""
        return cls(heartbeat.zone, heartbeat.owned_ms >= longest_lease_ms, by_minion)

    def tasks_on(self, minion_id: str, zone: str) -> frozenset[str] | None:
        """Return the tasks that may run on a minion, None if they are unknown.

        The last owner has started nothing on a minion of its zone without a record; the
        minion may have started after the zone was cut off. Runs of earlier owners may
        be there until their leases expire.
        """
        tasks = self.by_minion.get(minion_id)
        if tasks is None and self.settled and self.zone and zone == self.zone:
            return frozenset()
        return tasks


def encode_owner(fence: int) -> KeyedRecord:
    """Return the first record of an owner."""
    return KeyedRecord(OWNER_KEY, msgspec.msgpack.encode(fence))


def encode_runs(minion_id: str, runs: MinionRuns) -> KeyedRecord:
    """Return the record of a minion."""
    return KeyedRecord(_RUNS_KEY + minion_id.encode(), msgspec.msgpack.encode(runs))


def drop_runs(minion_id: str) -> KeyedRecord:
    """Return the record that drops the record of a minion that has ended."""
    return KeyedRecord(_RUNS_KEY + minion_id.encode(), b"")


def decode_runs(
    records: Iterable[KeyedRecord], fence: int
) -> dict[str, frozenset[str]]:
    """Return the tasks that may run on each minion with a record of an owner.

    Records of other owners are ignored because the given owner may have started more
    tasks on those minions.

    Args:
        records: The newest record of each key, read after that owner was fenced off.
        fence: Fencing token of the last owner.

    Raises:
        ValueError: A record is malformed.
    """
    found = {}
    for record in records:
        if not record.key.startswith(_RUNS_KEY):
            continue
        runs = _RUNS_DECODER.decode_one(record.value)
        if isinstance(runs, Malformed):
            raise ValueError(f"malformed record of a minion's runs: {runs}")
        if runs.fence == fence:
            found[record.key[len(_RUNS_KEY) :].decode()] = frozenset(runs.tasks)
    return found


def minions_with_record(records: Iterable[KeyedRecord]) -> set[str]:
    """Return the minions that have a record."""
    prefix = len(_RUNS_KEY)
    return {
        record.key[prefix:].decode("utf-8", "replace")
        for record in records
        if record.key.startswith(_RUNS_KEY)
    }
