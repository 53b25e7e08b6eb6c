from dataclasses import replace

from courselead.core.events import BatchesRead, SnapshotLoaded
from courselead.core.fleet.records import SnapshotPart
from courselead.core.fleet.snapshot import SnapshotLoader
from courselead.core.reducer import reduce
from courselead.core.snapshots import SnapshotsState
from tests.core.helpers import Log, new_host, run_together


def with_snapshots(host, every):
    host.state = replace(host.state, snapshots=SnapshotsState(every=every))


def test_one_host_writes_and_a_new_one_starts_from_it():
    log = Log()
    a, b = new_host(log, "a"), new_host(log, "b")
    for host in (a, b):
        with_snapshots(host, 10)
    run_together((a, b), 20_000)
    parts = [
        (offset, rec)
        for offset, batch in enumerate(log.batches)
        for rec in batch.records
        if isinstance(rec, SnapshotPart)
    ]
    assert parts
    assert len({part.at for _, part in parts}) == len(parts)
    first = a.state.fleet.snapshot_at
    assert log.batches[-1].snapshot == first
    offset, part = next(pair for pair in parts if pair[0] == first)
    fleet = SnapshotLoader().add(offset, part)
    fresh = new_host(Log(), "c").state
    fresh, _ = reduce(fresh, SnapshotLoaded(0, fleet))
    rest = tuple(enumerate(log.batches))[fleet.offset + 1 :]
    fresh, _ = reduce(fresh, BatchesRead(1, rest))
    assert fresh.fleet == a.state.fleet


def test_an_older_snapshot_is_never_taken():
    log = Log()
    a = new_host(log, "a")
    a.run(3_000)
    early = a.state.fleet
    a.run(9_000)
    late = a.state.fleet
    a.do(SnapshotLoaded(9_000, early))
    assert a.state.fleet == late
