"""A small simulated fleet with its load and its schedule, in virtual time."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from courselead.core.fleet.records import (
    JobSpec,
    StopPlanned,
    WorkerInfo,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.fleet.state import AppliedRecord, FleetState
from courselead.core.invariants import find_violations
from courselead.core.table import AccountRow, RequestClass, ServiceRow
from harness.callers import Callers, Ticket
from harness.checks import CHECK_PERIOD_MS, NEVER_MS, Checks
from harness.hosts import SimHost
from harness.log import FakeLog, FakeMembership, accepted
from harness.sched import Network, Scheduler
from harness.workers import Worker

HOSTS = (("a1", "za"), ("a2", "za"), ("b1", "zb"))
WORKERS = (
    ("wa1", "za", "ra"),
    ("wa2", "za", "ra"),
    ("wa3", "za", "rb"),
    ("wa4", "za", "rb"),
    ("wb1", "zb", "rc"),
    ("wb2", "zb", "rc"),
    ("wb3", "zb", "rc"),
    ("wb4", "zb", "rc"),
)
ACCOUNTS = (AccountRow("acme"), AccountRow("beta", ceiling=9, weight=2.0))
# Two accounts have a service named "web"; only the account distinguishes them.
WEB = ServiceRow(
    "acme", "web", workers=3, availability_budget=0.34, slots=4, queue_limit=20
)
BETA = ServiceRow(
    "beta", "web", workers=2, availability_budget=0.5, slots=4, queue_limit=20
)
API = ServiceRow("beta", "api", workers=1, availability_budget=0.0, slots=3)
LOAD_FROM_MS = 2_500
LOAD_TO_MS = 16_000
MEAN_GAP_MS = 70
INVARIANTS_EVERY = 5
DISCONNECTED_MS = 4_000
DISTURB_FROM_MS = 4_800
DISTURBED_MS = 3_500


class World:
    """All simulated parts of one run."""

    def __init__(self, seed: int) -> None:
        self.sched = Scheduler(seed)
        self.net = Network(self.sched)
        self.log = FakeLog(self)
        self.membership = FakeMembership(self)
        self.checks = Checks(self)
        self.callers = Callers(self)
        self.broken: list[str] = []
        self.step_counts: Counter[tuple[str, str]] = Counter()
        self.load_to_ms = LOAD_TO_MS
        self.on_step: Callable | None = None
        self.trace: list[str] = []
        self.job_specs: dict[str, JobSpec] = {}
        self.job_work_ms: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        for name, zone, rack in WORKERS:
            info = WorkerInfo(name, zone, rack, f"{name}:1", 4.0, 8_000)
            self.workers[name] = Worker(self, info)
        self.leaving: set[str] = set()
        self._stop_disturbed = False
        self.removed: set[str] = set()
        self.hosts: dict[str, SimHost] = {}
        for number, (name, zone) in enumerate(HOSTS):
            self.hosts[name] = SimHost(self, name, zone, seed * 10 + number)
            self.log.append_callbacks.append(self.hosts[name].wake)

    # --- trace and steps ------------------------------------------------------

    def note(self, who: str, what: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.sched.now_ms:>6} {who} {what}")

    def note_applied(self, applied: tuple[AppliedRecord, ...]) -> None:
        """Add the verdicts of the batch just stored to the trace."""
        for item in applied:
            kind = type(item.record).__name__
            if kind in ("HostBeat", "SnapshotPart"):
                continue
            verdict = item.verdict.reason or "ok"
            parts = [f"#{item.offset}", kind, verdict]
            for name in ("worker", "epoch", "job_id", "attempt", "next_pool"):
                value = getattr(item.record, name, "")
                parts.append(str(value))
            self.note(item.entry_host, " ".join(parts))

    def step(self, host: SimHost, name: str, place: str) -> None:
        """Count a step, before or after it takes place."""
        self.step_counts[(name, place)] += 1
        if self.on_step is not None:
            self.on_step(host, name, place)

    # --- schedule -------------------------------------------------------------

    def begin(self) -> None:
        """Set up the fleet and schedule the events of the run."""
        after = self.sched.after
        rng = self.sched.rng
        self.list_workers()
        self.log.listeners.append(self._disturb_first_stop)
        for host in self.hosts.values():
            after(rng.randint(0, 40), host.start)
        after(500, self.publish, ACCOUNTS + (WEB, BETA, API))
        after(LOAD_FROM_MS, self._load)
        after(CHECK_PERIOD_MS, self._check_hosts)
        for wave, at_ms in enumerate((2_800, 5_000, 7_300, 9_500, 11_600)):
            after(at_ms, self._submit_jobs, wave)
        after(3_400, self.change_zone, ZoneEvacuated("zb", "op", 0))
        after(4_400, self.change_zone, ZoneRestored("zb", "op", 0))
        after(4_000, self.publish, (replace(WEB, workers=4),))
        after(6_000, self._crash, "wa2")
        after(6_500, self._cancel_jobs)
        after(7_000, self.race_edits, "a1", "b1")
        after(7_900, self._fail_all)
        after(8_000, self._submit_jobs, 9, 10, (WEB,))
        after(10_200, self.publish, (replace(BETA, workers=4), replace(WEB, workers=2)))
        after(9_000, self.reclaim_worker, "wb4")
        after(9_800, self._stop_minion, "wa3")
        after(10_500, self._disconnect_worker, "wb3")
        after(11_000, self._lose_host, "a2")
        after(12_700, self.publish, (replace(BETA, workers=2), replace(WEB, workers=4)))
        after(14_500, self._leave, "a1")

    def run(self, end_ms: int) -> None:
        """Run to the end and check that all requests are answered."""
        self.sched.run_until(end_ms)
        self.checks.finish()

    def list_workers(self) -> None:
        """Publish a new version of the membership list."""
        infos = []
        for worker in self.workers.values():
            if worker.name not in self.removed:
                infos.append(worker.info)
        self.membership.publish(tuple(infos), tuple(sorted(self.leaving)))

    def publish(self, rows: tuple) -> None:
        """Publish rows as an operator."""
        host = self.callers.pick_host()
        if host is not None:
            self.callers.edit_rows(host, *rows)

    def change_zone(self, change: ZoneEvacuated | ZoneRestored) -> None:
        """Evacuate or restore a zone as an operator."""
        host = self.callers.pick_host()
        if host is not None:
            self.callers.change_zone(host, change)

    def race_edits(self, one: str, other: str) -> None:
        """Publish edits of one row at two hosts at once, and of another row."""
        for number, name in enumerate((one, other, one)):
            host = self.hosts[name]
            if not host.alive:
                continue
            row = self.log.agreed_state.table.services.get(WEB.pool, WEB)
            if number == 2:
                row = self.log.agreed_state.table.services.get(API.pool, API)
            row = replace(row, queue_limit=row.queue_limit + 1 + number)
            self.callers.edit_rows(host, row, author=name)

    def reclaim_worker(self, name: str) -> None:
        """Remove a worker like the platform does: leaving first, then gone."""
        self.leaving.add(name)
        self.list_workers()
        self.sched.after(7_000, self._remove, name)

    def _remove(self, name: str) -> None:
        self.leaving.discard(name)
        self.removed.add(name)
        self.list_workers()
        self.workers[name].power_off()

    def _crash(self, name: str) -> None:
        self.note(name, "crashes")
        self.workers[name].crash()

    def _disconnect_worker(self, name: str) -> None:
        """Disconnect a worker and remove it from the list, while its work goes on."""
        self.note(name, "unplugged")
        self.workers[name].connected = False
        self.removed.add(name)
        self.list_workers()
        self.sched.after(DISCONNECTED_MS, self._reconnect, name)

    def _reconnect(self, name: str) -> None:
        self.note(name, "plugged in")
        self.workers[name].connected = True
        self.removed.discard(name)
        self.list_workers()

    def _fail_all(self) -> None:
        """Make a worker fail all its tasks."""
        agreed_state = self.log.agreed_state
        serving = [
            agreed_state.workers[name]
            for name in agreed_state.serving.get(WEB.pool, ())
        ]
        # The worker with the latest maintenance is rebooted last, so it stays as it is.
        serving.sort(key=lambda worker: -worker.maintained_ms)
        for worker in serving[:1]:
            self.note(worker.worker, "fails every task")
            self.workers[worker.worker].failing = True

    def _stop_minion(self, name: str) -> None:
        """Stop a minion that was not told to stop."""
        minion = self.workers[name].minion
        if minion is not None:
            self.note(name, "minion leaves by itself")
            minion.stop()

    def _disturb_first_stop(
        self, before: FleetState, applied: tuple[AppliedRecord, ...]
    ) -> None:
        """Disturb the first stop from `DISTURB_FROM_MS` on, so that it is cancelled.

        A host cannot read the log, and another worker of the pool crashes.
        """
        stops = accepted(applied, StopPlanned)
        if self._stop_disturbed or self.sched.now_ms < DISTURB_FROM_MS or not stops:
            return
        self._stop_disturbed = True
        pool = self.log.agreed_state.workers[stops[0].record.worker].pool
        for name in self.log.agreed_state.serving.get(pool, ())[:1]:
            self._crash(name)
        host = self.hosts["b1"]
        self.net.off_platform.add(host.name)
        self.sched.after(DISTURBED_MS, self.net.off_platform.discard, host.name)

    def _lose_host(self, name: str) -> None:
        self.hosts[name].kill()
        self.sched.after(4_000, self.restart, name)

    def restart(self, name: str) -> None:
        """Start a host unless it runs."""
        if not self.hosts[name].alive:
            self.hosts[name].start()

    def _leave(self, name: str) -> None:
        self.hosts[name].leave()
        self.sched.after(3_000, self.restart, name)

    def _check_hosts(self) -> None:
        self.checks.track_leaving_workers()
        for host in self.hosts.values():
            if not self.net.reaches_platform(host.name):
                host.connected_since_ms = NEVER_MS
            elif host.connected_since_ms == NEVER_MS:
                host.connected_since_ms = self.sched.now_ms
        if self.sched.now_ms // CHECK_PERIOD_MS % INVARIANTS_EVERY == 0:
            self._check_invariants()
        self.sched.after(CHECK_PERIOD_MS, self._check_hosts)

    def _check_invariants(self) -> None:
        """Check the core's invariants at every host."""
        for host in self.hosts.values():
            if host.alive:
                self.broken.extend(
                    f"{host.name}: {one}" for one in find_violations(host.state)
                )

    # --- load -----------------------------------------------------------------

    def _load(self) -> None:
        """Send one request, and schedule the next one after a random interval."""
        rng = self.sched.rng
        if self.sched.now_ms < self.load_to_ms:
            gap_ms = int(rng.expovariate(1.0 / MEAN_GAP_MS))
            self.sched.after(gap_ms, self._load)
        ticket = self._ticket()
        self.callers.tickets.append(ticket)
        self.callers.call(ticket, self.callers.pick_host())
        if ticket.key and rng.random() < 0.1:
            # A caller that repeats its request, as on a faulty network.
            delay_ms = rng.randint(50, 1_500)
            host = self.callers.pick_host()
            self.sched.after(delay_ms, self.callers.call, ticket, host)

    def _ticket(self) -> Ticket:
        rng = self.sched.rng
        number = len(self.callers.tickets)
        row = rng.choice((WEB, WEB, BETA, BETA, API))
        idempotent = rng.random() < 0.4
        key = f"k{number}" if not idempotent and rng.random() < 0.7 else ""
        if key and number and rng.random() < 0.1:
            # A faulty caller: reuses the key of an earlier, different request.
            key = self.callers.tickets[-1].key
            row = WEB
        work_ms = rng.randint(900, 2_500) if rng.random() < 0.06 else 0
        return Ticket(
            number=number,
            client_account=row.client_account,
            service=row.service,
            key=key,
            idempotent=idempotent,
            work_ms=work_ms or rng.randint(5, 180),
            timeout_ms=rng.choice((300, 2_000, 4_000)),
            small=rng.random() < 0.8,
        )

    def _submit_jobs(
        self, wave: int, count: int = 4, rows: tuple = (WEB, BETA)
    ) -> None:
        """Submit some jobs; of up to 4, the second half is not idempotent."""
        rng = self.sched.rng
        specs = []
        for number in range(count):
            row = rows[number % len(rows)]
            job_id = f"j{wave}-{number}"
            run_ms = rng.randint(600, 5_000 if count == 4 else 900)
            self.job_work_ms[job_id] = run_ms
            spec = JobSpec(
                job_id=job_id,
                client_account=row.client_account,
                service=row.service,
                request_class=rng.choice(tuple(RequestClass)),
                payload="{}",
                cores=1.0,
                memory_mb=500,
                run_ms=run_ms,
                deadline_ms=0,
                idempotent=number < count // 2 or count > 4,
            )
            self.job_specs[job_id] = spec
            specs.append(spec)
        host = self.callers.pick_host()
        for account in ("acme", "beta"):
            mine = [spec for spec in specs if spec.client_account == account]
            if host is not None and host.alive and mine:
                self.callers.submit(host, *mine)

    def _cancel_jobs(self) -> None:
        host = self.callers.pick_host()
        if host is not None:
            self.callers.cancel(host, "acme", "j1-0", "j1-2")
