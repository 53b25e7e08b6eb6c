from courselead.core.effects import Left
from courselead.core.events import (
    AppendResult,
    BatchesRead,
    LeaveAsked,
    LogReachable,
    PeerReport,
    PeerReported,
)
from courselead.core.fleet.records import HostBeat, HostJoined, HostLost
from courselead.core.fleet.state import HostStatus
from courselead.core.presence import DEFAULT_LOST_AFTER_MS
from tests.core.helpers import Log, new_host, run_together


def kinds(log, kind):
    return [rec for batch in log.batches for rec in batch.records if type(rec) is kind]


def pair():
    log = Log()
    hosts = (new_host(log, "a"), new_host(log, "b", zone="z2"))
    run_together(hosts, 1_000)
    assert all(host.state.member for host in hosts)
    return log, *hosts


def report(name, serial):
    return PeerReport(name, 1, "z2", serial, 0)


def test_a_host_joins_and_beats_and_all_hold_the_same_state():
    log, a, b = pair()
    run_together((a, b), 10_000)
    assert len(kinds(log, HostJoined)) == 2
    assert 6 <= len(kinds(log, HostBeat)) <= 12
    assert a.state.fleet == b.state.fleet
    assert all(host.diverged_at < 0 for host in a.state.fleet.hosts.values())


def test_a_silent_host_is_held_lost_once_and_joins_again_when_it_wakes():
    log, a, b = pair()
    a.run(3 * DEFAULT_LOST_AFTER_MS)
    assert len(kinds(log, HostLost)) == 1
    assert a.state.fleet.hosts["b"].status is HostStatus.LOST
    run_together((a, b), 3 * DEFAULT_LOST_AFTER_MS + 8_000)
    assert b.state.me.incarnation == 2
    assert b.state.member
    assert a.state.fleet == b.state.fleet


def test_a_host_that_still_reports_to_its_peers_is_never_held_lost():
    log, a, _ = pair()
    for serial in range(60):
        a.run(a.state.now_ms + 1_000)
        a.do(PeerReported(a.state.now_ms, report("b", serial)))
    assert kinds(log, HostLost) == []


def test_a_host_back_from_a_log_outage_writes_nobody_off_at_once():
    log, a, _ = pair()
    a.do(LogReachable(1_000, False))
    for now_ms in range(1_000, 60_000, 500):
        a.tick(now_ms)
    a.do(LogReachable(60_000, True))
    a.run(60_000 + DEFAULT_LOST_AFTER_MS - 100)
    assert kinds(log, HostLost) == []


def test_an_outage_that_is_not_noticed_writes_nobody_off():
    log, a, _ = pair()
    before = len(log.batches)
    a.lose = AppendResult.NOT_STORED
    healed_ms = 6 * DEFAULT_LOST_AFTER_MS
    for now_ms in range(1_050, healed_ms, 50):
        a.tick(now_ms)
    assert a.state.log_up
    assert len(log.batches) == before
    a.lose = None
    a.run(healed_ms + DEFAULT_LOST_AFTER_MS - 100)
    assert kinds(log, HostLost) == []
    assert len(log.batches) > before
    a.run(healed_ms + 2 * DEFAULT_LOST_AFTER_MS)
    assert len(kinds(log, HostLost)) == 1


def test_a_heartbeat_in_between_voids_the_loss():
    log, a, b = pair()
    named = a.state.fleet.hosts["b"].last_beat
    b.run(8_000)
    a.catch_up(8_000)
    assert a.state.fleet.hosts["b"].last_beat > named
    lost = HostLost("b", 1, named, "a")
    batch = log.batches[-1]
    mine = type(batch)("a", 1, 1_000, 0, -1, (lost,))
    a.do(BatchesRead(8_000, ((a.read, mine),)))
    assert a.state.fleet.hosts["b"].status is HostStatus.LIVE


def test_leaving_is_told_to_the_log_and_then_over():
    _, a, b = pair()
    a.do(LeaveAsked(1_000))
    run_together((a, b), 2_000)
    assert len(a.of(Left)) == 1
    assert b.state.fleet.hosts["a"].status is HostStatus.LEFT


def test_an_older_process_ends_when_a_newer_one_has_its_name():
    log, a, b = pair()
    newer = new_host(log, "a", incarnation=5)
    run_together((newer, b), 2_000)
    a.catch_up(2_000)
    assert a.state.superseded
    assert len(a.of(Left)) == 1
    assert newer.state.member


def test_lost_answers_of_appends_double_nothing():
    log = Log()
    a = new_host(log, "a")
    a.lose = AppendResult.UNKNOWN
    for now_ms in range(50, 3_000, 50):
        a.tick(now_ms)
    a.run(6_000)
    assert len(log.batches) > len({batch.seq for batch in log.batches})
    assert a.state.member
    assert len(kinds(log, HostJoined)) >= 1
    assert a.state.fleet.hosts["a"].incarnation == 1
