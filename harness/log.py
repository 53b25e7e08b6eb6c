"""Fakes of the platform's append-only log and membership list."""

from dataclasses import dataclass, field

from courselead.core.events import AppendResult, MembersListed
from courselead.core.fleet import apply
from courselead.core.fleet.records import Batch, SnapshotPart, WorkerInfo
from courselead.core.fleet.snapshot import SnapshotLoader
from courselead.core.fleet.state import AppliedRecord, FleetState

APPEND_TIMEOUT_MS = 400
DUPLICATE_SHARE = 0.03
TAIL_RECORDS = 64
SLICE_BATCHES = 100


class FakeLog:
    """In-memory log with offsets from 0, and the state that results from it.

    Attributes:
        agreed_state: Shared state after the newest batch; the checks use it.
        listeners: Called with the state before a batch and the batch's verdicts.
        append_callbacks: Called after each append.
    """

    def __init__(self, world: object) -> None:
        self.world = world
        self.batches: list[Batch] = []
        self.agreed_state = FleetState()
        self.listeners: list = []
        self.append_callbacks: list = []

    def append(self, host: str, batch: Batch, done: object) -> None:
        """Append a batch; `done` is called with the result that the host sees."""
        delay = self.world.net.delay_ms(host)
        self.world.sched.after(delay, self._arrive, host, batch, done)

    def read(self, offset: int) -> tuple[tuple[int, Batch], ...]:
        """Return up to `SLICE_BATCHES` batches, starting at an offset."""
        found = self.batches[offset : offset + SLICE_BATCHES]
        return tuple(enumerate(found, offset))

    def start_state(self) -> FleetState:
        """Return the state of the newest snapshot, located like the daemon does."""
        pointer = -1
        for batch in self.batches[-TAIL_RECORDS:]:
            pointer = max(pointer, batch.snapshot)
        if pointer < 0:
            return FleetState()
        loader = SnapshotLoader()
        for offset in range(pointer, len(self.batches)):
            for record in self.batches[offset].records:
                if not isinstance(record, SnapshotPart):
                    continue
                loaded = loader.add(offset, record)
                if loaded is not None:
                    return loaded
        return FleetState()

    def _arrive(self, host: str, batch: Batch, done: object) -> None:
        net = self.world.net
        rng = self.world.sched.rng
        if not net.reaches_platform(host):
            refused = net.platform_down and rng.random() < 0.5
            result = AppendResult.NOT_STORED if refused else AppendResult.UNKNOWN
            self.world.sched.after(APPEND_TIMEOUT_MS, done, result)
            return
        self._store(batch)
        if rng.random() < DUPLICATE_SHARE:
            self._store(batch)
        if net.loses(host):
            self.world.sched.after(APPEND_TIMEOUT_MS, done, AppendResult.UNKNOWN)
            return
        self.world.sched.after(net.delay_ms(host), done, AppendResult.STORED)

    def _store(self, batch: Batch) -> None:
        offset = len(self.batches)
        self.batches.append(batch)
        before = self.agreed_state
        self.agreed_state, applied = apply.apply_batch(before, offset, batch)
        for listener in self.listeners:
            listener(before, applied)
        for callback in self.append_callbacks:
            callback()


@dataclass(slots=True)
class Listing:
    """One version of the membership list."""

    at_ms: int
    workers: tuple[WorkerInfo, ...]
    leaving: tuple[str, ...]


@dataclass(slots=True)
class FakeMembership:
    """Membership list that is shown with a delay.

    Attributes:
        lag_ms: Age of the version that is shown.
    """

    world: object
    lag_ms: int = 300
    versions: list[Listing] = field(default_factory=list)

    def publish(self, workers: tuple[WorkerInfo, ...], leaving: tuple = ()) -> None:
        """Add a new version of the list."""
        now_ms = self.world.sched.now_ms
        self.versions.append(Listing(now_ms, workers, tuple(leaving)))

    def shown(self) -> tuple[int, Listing] | None:
        """Return the newest version that is visible now, with its number."""
        seen_ms = self.world.sched.now_ms - self.lag_ms
        found = None
        for number, listing in enumerate(self.versions):
            if listing.at_ms <= seen_ms:
                found = (number, listing)
        return found

    def event(self, now_ms: int) -> MembersListed | None:
        """Return the event for a host that reads the list now."""
        found = self.shown()
        if found is None:
            return None
        number, listing = found
        return MembersListed(now_ms, number, listing.workers, listing.leaving, ())


def accepted(applied: tuple[AppliedRecord, ...], kind: type) -> list[AppliedRecord]:
    """Return the accepted records of a kind."""
    return [
        item
        for item in applied
        if item.verdict.accepted and isinstance(item.record, kind)
    ]
