"""Stateful test: invariants hold after random records, and replays are identical."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from courselead.core.fleet import records as r, verdicts
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.budgets import min_serving_workers
from courselead.core.fleet.codec import decode_batch, encode_batch
from courselead.core.fleet.invariants import check_fleet
from courselead.core.fleet.queries import (
    is_live,
    live_hosts,
    pool_count,
    serving_workers,
    workers_in_phase,
)
from courselead.core.fleet.snapshot import SnapshotLoader, split_state
from courselead.core.fleet.state import FleetState, WorkerPhase
from courselead.core.table import AccountRow, RequestClass, ServiceRow, service_key
from tests.core.fleet.logs import START_MS, Log

HOSTS = st.sampled_from(("h1", "h2", "h3"))
WORKERS = st.sampled_from(("w0", "w1", "w2", "w3", "w4"))
SERVICES = st.sampled_from(("web", "web", "api"))
POOLS = st.sampled_from(("acme/web", "acme/api", ""))
KEYS = st.sampled_from(("k1", "k2"))
JOBS = st.sampled_from(("j1", "j2", "j3"))
PURPOSES = st.sampled_from(r.StopPurpose)
RARELY_ONE = st.integers(0, 7).map(lambda number: int(number == 0))

PLAUSIBLE_CHANGES = {
    WorkerPhase.FREE: ("assign",),
    WorkerPhase.STARTING: ("up", "up", "down"),
    WorkerPhase.SERVING: ("stop", "stop", "stop", "stop", "down"),
    WorkerPhase.STOPPING: ("stopped", "stopped", "cancel", "down"),
    WorkerPhase.STOPPED: ("assign", "rebooted", "down"),
    WorkerPhase.DOWN: ("back", "up"),
}


class FleetStateMachine(RuleBasedStateMachine):
    """Three hosts that propose random records, many of them invalid."""

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.loaded: FleetState | None = None

    @property
    def fleet(self):
        return self.log.fleet

    def put(self, host, record, incarnation_lag=0):
        """Append a record of a host's newest incarnation, or of an older one."""
        before = self.fleet
        known = before.hosts.get(host)
        incarnation = max(1, (known.incarnation if known else 1) - incarnation_lag)
        verdict = self.log.append_record(host, record, incarnation=incarnation)
        if verdict.accepted and not isinstance(record, r.HostJoined):
            assert is_live(before, host, incarnation)
        if not verdict.accepted:
            assert self.fleet.workers == before.workers
            assert self.fleet.table == before.table
        assert self.fleet.table.version >= before.table.version
        assert self.fleet.now_ms >= before.now_ms
        return verdict

    def is_live(self, host):
        return is_live(self.fleet, host, self.fleet.hosts[host].incarnation)

    @initialize()
    def start(self):
        for host in ("h1", "h2", "h3"):
            self.log.join(host)
        row = ServiceRow("acme", "web", workers=4, availability_budget=0.5)
        assert self.log.publish(row).accepted
        self.log.serve("acme/web", "w0", "w1", "w2", "w3")
        for job_id in ("j1", "j2"):
            self.submit("h1", job_id, "web", True)

    @rule(host=HOSTS, incarnation_lag=RARELY_ONE, late_ms=st.integers(0, 20_000))
    def beat(self, host, incarnation_lag, late_ms):
        self.log.now_ms += 5_000
        incarnation = max(1, self.fleet.hosts[host].incarnation - incarnation_lag)
        timestamp = self.log.now_ms - late_ms
        before = self.fleet
        verdict = self.log.append_heartbeat(
            host, incarnation=incarnation, at_ms=timestamp
        )
        assert verdict.accepted is is_live(before, host, incarnation)
        assert self.fleet.hosts[host].diverged_at == -1
        for key, claim in before.claims.items():
            assert key in self.fleet.claims or claim.expires_ms <= self.fleet.now_ms

    @rule(host=HOSTS)
    def settle(self, host):
        for name in live_hosts(self.fleet):
            self.beat(name, 0, 0)
        for worker in workers_in_phase(self.fleet, WorkerPhase.STOPPING):
            record = r.MinionStopped(worker.worker, worker.epoch)
            assert self.put(host, record).accepted is self.is_live(host)
        for worker in workers_in_phase(self.fleet, WorkerPhase.STOPPED):
            self.put(host, r.WorkerRebooted(worker.worker, worker.epoch, START_MS))

    @rule(host=HOSTS, other=HOSTS, kind=st.sampled_from(("join", "left", "lost")))
    def membership(self, host, other, kind):
        known = self.fleet.hosts[other]
        if kind == "join" or not self.is_live(host):
            newer = self.fleet.hosts[host].incarnation + 1
            record = r.HostJoined(host, newer, "az1", "x")
            verdict = self.log.append_record(host, record, incarnation=newer)
            assert verdict.accepted
        elif kind == "left":
            self.put(host, r.HostLeft(other, known.incarnation))
        else:
            lost = r.HostLost(other, known.incarnation, known.last_beat, host)
            self.put(host, lost)

    @rule(host=HOSTS, service=SERVICES, workers=st.integers(0, 5), old=RARELY_ONE)
    def publish(self, host, service, workers, old):
        base = self.fleet.table.version - old
        row = ServiceRow("acme", service, workers=workers, availability_budget=0.4)
        accounts = (AccountRow("acme", jobs_limit=2),)
        self.put(host, r.TablePublished(base, accounts, (row,), (), "op"))

    @rule(host=HOSTS)
    def unpublish(self, host):
        removed = (service_key("acme/api"),)
        version = self.fleet.table.version
        self.put(host, r.TablePublished(version, (), (), removed, "op"))

    @rule(host=HOSTS, name=WORKERS, cores=st.integers(1, 4))
    def seen(self, host, name, cores):
        info = r.WorkerInfo(name, "az1", "r1", name, float(cores), 100)
        self.put(host, r.WorkersSeen((info,)))

    @rule(host=HOSTS, name=WORKERS)
    def gone(self, host, name):
        self.put(host, r.WorkersGone(((name, 1), ("w4", 2))))

    @rule(host=HOSTS, is_evacuation=st.booleans(), zone=st.sampled_from(("az1", "az9")))
    def zone(self, host, is_evacuation, zone):
        kind = r.ZoneEvacuated if is_evacuation else r.ZoneRestored
        if self.put(host, kind(zone, "op", START_MS)).accepted:
            assert zone == "az1"
            assert (zone in self.fleet.evacuations) is bool(is_evacuation)

    @rule(data=st.data(), host=HOSTS, incarnation_lag=RARELY_ONE)
    def changes(self, data, host, incarnation_lag):
        for name in data.draw(st.lists(WORKERS, min_size=1, max_size=4)):
            self.change(data, host, name, incarnation_lag)

    def change(self, data, host, name, incarnation_lag):
        """Propose a plausible change of a worker, and occasionally an unlikely one."""
        pool, old, is_unusual = data.draw(st.tuples(POOLS, RARELY_ONE, RARELY_ONE))
        worker = self.fleet.workers.get(name)
        epoch = worker.epoch - old if worker else 0
        phase = worker.phase if worker else WorkerPhase.FREE
        kinds = PLAUSIBLE_CHANGES.get(phase, ("quarantine",))
        if is_unusual:
            kinds = ("assign", "up", "stopped", "back", "quarantine")
        kind = data.draw(st.sampled_from(kinds))
        purpose = data.draw(PURPOSES)
        record = {
            "assign": r.WorkerAssigned(name, epoch, pool, 0),
            "up": r.MinionUp(name, epoch, f"{name}:{epoch}"),
            "stop": r.StopPlanned(name, epoch, purpose, pool, 0, START_MS),
            "down": r.WorkerDown(name, epoch, "silent"),
            "back": r.WorkerBack(name, epoch),
            "stopped": r.MinionStopped(name, epoch),
            "cancel": r.StopCancelled(name, epoch, ""),
            "rebooted": r.WorkerRebooted(name, epoch, START_MS),
            "quarantine": r.WorkerQuarantined(name, epoch, ""),
        }[kind]
        if self.put(host, record, incarnation_lag).accepted:
            self.check_change(worker, record)

    def check_change(self, worker, record):
        """Check an accepted change against the state it was applied to."""
        new = self.fleet.workers[worker.worker]
        assert record.epoch == worker.epoch <= new.epoch
        if new.pool != worker.pool and worker.pool:
            assert isinstance(record, r.WorkerAssigned | r.WorkerQuarantined)
        if isinstance(record, r.WorkerAssigned) and worker.phase is WorkerPhase.FREE:
            assert not self.fleet.evacuations
        if isinstance(record, r.MinionStopped):
            for host in self.fleet.hosts.values():
                late = host.joined < worker.since and host.settled < worker.since
                assert not (host.status == "live" and late)
        row = self.fleet.table.services.get(worker.pool)
        if isinstance(record, r.StopPlanned) and row:
            assert pool_count(self.fleet, row.pool).serving >= min_serving_workers(row)

    @rule(host=HOSTS, key=KEYS, fingerprint=st.sampled_from("ab"), request=KEYS)
    def claim(self, host, key, fingerprint, request):
        held = self.fleet.claims.get(("acme", "web", key))
        incarnation = self.fleet.hosts[host].incarnation
        expires_ms = self.log.now_ms + 15_000
        claim = r.Claim("acme", "web", key, fingerprint, f"{host}{request}", expires_ms)
        verdict = self.put(host, r.ClaimsMade(host, incarnation, (claim,)))
        if held and verdict.reason != verdicts.NOT_MEMBER:
            taken = verdicts.CLAIM_TAKEN
            if held.fingerprint != fingerprint:
                taken = verdicts.CLAIM_CONFLICT
            assert verdict.reason == taken

    @rule(
        host=HOSTS,
        key=KEYS,
        is_unusual=RARELY_ONE,
        outcome=st.sampled_from(r.ClaimOutcome),
    )
    def claim_ended(self, host, key, is_unusual, outcome):
        held = self.fleet.claims.get(("acme", "web", key))
        request = held.request_id if held and not is_unusual else "r"
        end = r.ClaimEnd("acme", "web", key, request, outcome)
        if self.put(host, r.ClaimsEnded((end,))).accepted:
            assert held.request_id == end.request_id
            assert held.outcome is r.ClaimOutcome.PENDING

    @rule(host=HOSTS, job_id=JOBS, service=SERVICES, idempotent=st.booleans())
    def submit(self, host, job_id, service, idempotent):
        batch = RequestClass.BATCH
        spec = r.JobSpec(job_id, "acme", service, batch, "p", 1.0, 40, 9, 0, idempotent)
        self.put(host, r.JobsSubmitted((spec,)))

    @rule(host=HOSTS, job_id=JOBS, choice=st.integers(0, 3), cores=st.integers(0, 3))
    def place(self, host, job_id, choice, cores):
        job = self.fleet.jobs.get(job_id)
        names = serving_workers(self.fleet, f"acme/{job.spec.service if job else ''}")
        name = names[choice % len(names)] if names else "w0"
        worker = self.fleet.workers.get(name)
        attempt = job.attempt + 1 if job else 1
        epoch = worker.epoch if worker else 0
        record = r.JobPlaced(job_id, attempt, name, epoch, float(cores), 40, 1_000)
        if not self.put(host, record).accepted:
            return
        assert not self.fleet.evacuations
        jobs = [self.fleet.jobs[other] for other in self.fleet.jobs_on[name]]
        assert sum(job.cores for job in jobs) <= worker.cores
        assert sum(job.memory_mb for job in jobs) <= worker.memory_mb

    @rule(
        host=HOSTS, job_id=JOBS, outcome=st.sampled_from(r.JobOutcome), old=RARELY_ONE
    )
    def job_ended(self, host, job_id, outcome, old):
        job = self.fleet.jobs.get(job_id)
        attempt = job.attempt - old if job else 1
        self.put(host, r.JobsEnded((r.JobEnd(job_id, attempt, outcome),)))
        # Ended jobs are kept for a day: occasionally advance the time by more.
        self.log.now_ms += old * 90_000_000

    @rule(host=HOSTS, job_id=JOBS, is_unusual=RARELY_ONE)
    def cancel(self, host, job_id, is_unusual):
        account = "other" if is_unusual else "acme"
        self.put(host, r.JobsCancelled(account, (job_id, "j9")))

    @rule(host=HOSTS)
    def snapshot(self, host):
        if not self.is_live(host):
            return
        loader = SnapshotLoader()
        before = self.fleet
        for part in split_state(before, host):
            assert self.put(host, part).accepted
            self.loaded = loader.add(self.fleet.offset, part)
        assert self.loaded == before
        assert self.fleet.snapshot_of == before.offset

    @invariant()
    def holds(self):
        assert check_fleet(self.fleet) == ()

    def teardown(self):
        """Replay the encoded log, from the start and from a snapshot."""
        for fleet in (FleetState(), self.loaded):
            if fleet is None:
                continue
            for offset, batch in enumerate(self.log.batches):
                decoded = decode_batch(encode_batch(batch)).unwrap()
                fleet, _ = apply_batch(fleet, offset, decoded)
            assert fleet.digest == self.fleet.digest
            assert fleet == self.fleet


FleetStateMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=60, derandomize=True, database=None
)
TestFleet = FleetStateMachine.TestCase
