"""Expiry of claims and ended jobs, based on agreed time.

Entries to expire are indexed in time buckets. Each heartbeat processes a bounded
number of buckets and entries, which limits the cost of applying it.
"""

from dataclasses import dataclass, replace

from immutables import Map

from courselead.core.fleet.queries import is_live
from courselead.core.fleet.records import ClaimOutcome
from courselead.core.fleet.state import ClaimKey, ClaimState, FleetState, JobState

EXPIRY_BUCKET_MS = 10_000
MAX_BUCKETS_PER_HEARTBEAT = 32
MAX_ITEMS_PER_HEARTBEAT = 128
JOB_RETENTION_MS = 86_400_000
# A claim that is still pending when it expires is checked again after this time
# if its entry host is live.
PENDING_CLAIM_RECHECK_MS = 60_000

ExpiryIndex = Map[int, Map[int, ClaimKey | str]]


@dataclass(slots=True)
class ExpiryIndexEditor:
    """Mutable view of the expiry index, used within one handler call.

    Attributes:
        due: Expiry index including the changes made so far.
        cursor: Next bucket to process.
        now_ms: Agreed time, in milliseconds since the epoch.
    """

    due: ExpiryIndex
    cursor: int
    now_ms: int

    @classmethod
    def from_fleet(cls, fleet: FleetState) -> "ExpiryIndexEditor":
        """Return an editor for the expiry index of the fleet state."""
        return cls(fleet.due, fleet.due_cursor, fleet.now_ms)

    def add(self, item: ClaimKey | str, at_ms: int) -> None:
        """Schedule an item to expire at or after a time in the future."""
        bucket = -(-at_ms // EXPIRY_BUCKET_MS)
        if not self.due:
            # The index is empty: skip the buckets before the current time.
            self.cursor = self.now_ms // EXPIRY_BUCKET_MS
        items = self.due.get(bucket, Map())
        self.due = self.due.set(bucket, items.set(len(items), item))


@dataclass(slots=True)
class _ExpirySweep:
    """One bounded pass over expired entries, run for one heartbeat."""

    index_editor: ExpiryIndexEditor
    fleet: FleetState
    claims: Map[ClaimKey, ClaimState]
    jobs: Map[str, JobState]
    remaining_items: int = MAX_ITEMS_PER_HEARTBEAT

    def run(self) -> None:
        """Process the buckets up to the current time."""
        editor = self.index_editor
        current_bucket = editor.now_ms // EXPIRY_BUCKET_MS
        for _ in range(MAX_BUCKETS_PER_HEARTBEAT):
            if editor.cursor > current_bucket or not self._drain_bucket():
                return
            editor.cursor += 1

    def _drain_bucket(self) -> bool:
        """Expire entries of the current bucket; return whether it is empty now."""
        bucket = self.index_editor.cursor
        items = self.index_editor.due.get(bucket)
        if items is None:
            return True
        deferred: list[ClaimKey] = []
        remaining = items.mutate()
        while len(remaining) and self.remaining_items > 0:
            self.remaining_items -= 1
            item = remaining.pop(len(remaining) - 1)
            if isinstance(item, str):
                self.jobs = self.jobs.delete(item)
                continue
            if not self._expire_claim(item):
                deferred.append(item)
        is_empty = not len(remaining)
        due = self.index_editor.due
        self.index_editor.due = (
            due.delete(bucket) if is_empty else due.set(bucket, remaining.finish())
        )
        for key in deferred:
            self._defer_claim(key)
        return is_empty

    def _expire_claim(self, key: ClaimKey) -> bool:
        """Delete a claim if it has expired.

        Returns False if the claim is still pending on a live host and must be
        checked again later.
        """
        claim = self.claims.get(key)
        if claim is None or claim.expires_ms > self.index_editor.now_ms:
            # The key was released, or claimed again with its own expiry entry.
            return True
        if claim.outcome is ClaimOutcome.PENDING and _is_owner_live(self.fleet, claim):
            return False
        self.claims = self.claims.delete(key)
        return True

    def _defer_claim(self, key: ClaimKey) -> None:
        """Extend the claim of a request that may still run."""
        expires_ms = self.index_editor.now_ms + PENDING_CLAIM_RECHECK_MS
        claim = replace(self.claims[key], expires_ms=expires_ms)
        self.claims = self.claims.set(key, claim)
        self.index_editor.add(key, expires_ms)


def remove_expired(fleet: FleetState) -> FleetState:
    """Return the fleet state after one bounded pass over expired entries."""
    if not fleet.due or fleet.due_cursor > fleet.now_ms // EXPIRY_BUCKET_MS:
        return fleet
    sweep = _ExpirySweep(
        ExpiryIndexEditor.from_fleet(fleet), fleet, fleet.claims, fleet.jobs
    )
    sweep.run()
    editor = sweep.index_editor
    if editor.cursor == fleet.due_cursor and editor.due is fleet.due:
        return fleet
    return replace(
        fleet,
        claims=sweep.claims,
        jobs=sweep.jobs,
        due=editor.due,
        due_cursor=editor.cursor,
    )


def _is_owner_live(fleet: FleetState, claim: ClaimState) -> bool:
    """Return whether the host incarnation that made a claim is a live member."""
    return is_live(fleet, claim.entry_host, claim.incarnation)
