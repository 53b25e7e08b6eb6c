"""Shared states of a given size, built by applying records."""

from dataclasses import dataclass, field, replace

from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.records import (
    Batch,
    Claim,
    ClaimEnd,
    ClaimOutcome,
    ClaimsEnded,
    ClaimsMade,
    HostBeat,
    HostJoined,
    JobPlaced,
    JobSpec,
    JobsSubmitted,
    MinionUp,
    Record,
    TablePublished,
    WorkerAssigned,
    WorkerInfo,
    WorkersSeen,
)
from courselead.core.fleet.state import FleetState
from courselead.core.table import AccountRow, RequestClass, ServiceRow

START_WALL_MS = 1_767_225_600_000  # 2026-01-01T00:00Z
CLAIM_LIFETIME_MS = 86_400_000
RACKS_PER_ZONE = 8
ITEMS_PER_BATCH = 200


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of objects in a fleet.

    Attributes:
        zones: Availability zones, to which hosts and workers are assigned in rotation.
        claims: Stored claims, all of requests that ran, each with its small answer.
        spares: Workers without a pool.
    """

    workers: int = 1_000
    pools: int = 160
    accounts: int = 20
    hosts: int = 6
    zones: int = 4
    claims: int = 0
    jobs: int = 0
    spares: int = 0


TARGET = Size()
TODAY = Size(workers=40, pools=5, accounts=1, hosts=6)


@dataclass(slots=True)
class Builder:
    """Builds a fleet from batches of its hosts, all of which must be accepted."""

    size: Size
    fleet: FleetState = field(default_factory=FleetState)
    batches: list[tuple[int, Batch]] = field(default_factory=list)
    _seqs: dict[str, int] = field(default_factory=dict)

    @classmethod
    def from_size(cls, size: Size) -> "Builder":
        """Return a builder whose fleet is complete and serving."""
        builder = cls(size)
        builder._join_hosts()
        builder._publish_table()
        builder._assign_workers()
        builder._make_claims()
        builder._submit_jobs()
        for index in range(size.hosts):
            builder.beat(index)
        return builder

    @property
    def wall_ms(self) -> int:
        """Return the wall time of the next batch."""
        return START_WALL_MS + self.fleet.offset + 1

    def append(self, host: int, *records: Record) -> None:
        """Apply records as one batch of a host.

        Raises:
            ValueError: A record was rejected, which is an error of the benchmark.
        """
        name = host_name(host)
        seq = self._seqs.get(name, 0) + 1
        self._seqs[name] = seq
        batch = Batch(name, 1, seq, self.wall_ms, -1, records)
        offset = self.fleet.offset + 1
        self.fleet, applied = apply_batch(self.fleet, offset, batch)
        self.batches.append((offset, batch))
        for item in applied:
            if item.verdict.accepted:
                continue
            kind = type(item.record).__name__
            raise ValueError(f"{kind} rejected: {item.verdict.reason}")

    def beat(self, host: int) -> None:
        """Append a heartbeat of a host."""
        last = self.fleet.offset
        name = host_name(host)
        self.append(host, HostBeat(name, 1, last, last, last, self.fleet.digest))

    def _join_hosts(self) -> None:
        for index in range(self.size.hosts):
            name = host_name(index)
            zone = zone_name(index % self.size.zones)
            number = index + 1
            address = f"10.1.0.{number}:7400"
            self.append(index, HostJoined(name, 1, zone, address))

    def _publish_table(self) -> None:
        accounts = []
        for index in range(self.size.accounts):
            hashes = (f"{2 * index:064x}", f"{2 * index + 1:064x}")
            accounts.append(AccountRow(account_name(index), hashes))
        services = [service_row(self.size, index) for index in range(self.size.pools)]
        base = self.fleet.table.version
        record = TablePublished(base, tuple(accounts), tuple(services), (), "bench")
        self.append(0, record)

    def _assign_workers(self) -> None:
        infos = [worker_info(self.size, index) for index in range(self.size.workers)]
        for start in range(0, len(infos), ITEMS_PER_BATCH):
            self.append(0, WorkersSeen(tuple(infos[start : start + ITEMS_PER_BATCH])))
        used = infos[: len(infos) - self.size.spares]
        assigned: list[Record] = []
        up: list[Record] = []
        version = self.fleet.table.version
        for index, info in enumerate(used):
            pool = service_row(self.size, index % self.size.pools).pool
            assigned.append(WorkerAssigned(info.worker, 0, pool, version))
            up.append(MinionUp(info.worker, 1, minion_address(info)))
        for records in (assigned, up):
            for start in range(0, len(records), ITEMS_PER_BATCH):
                self.append(0, *records[start : start + ITEMS_PER_BATCH])

    def _make_claims(self) -> None:
        for start in range(0, self.size.claims, ITEMS_PER_BATCH):
            count = min(ITEMS_PER_BATCH, self.size.claims - start)
            host = start // ITEMS_PER_BATCH % self.size.hosts
            claims = [self.claim(start + index) for index in range(count)]
            self.append(host, ClaimsMade(host_name(host), 1, tuple(claims)))
            ends = tuple(claim_end(claim) for claim in claims)
            self.append(host, ClaimsEnded(ends))

    def claim(self, number: int) -> Claim:
        """Return the claim of a numbered request."""
        row = service_row(self.size, number % self.size.pools)
        expires_ms = self.wall_ms + CLAIM_LIFETIME_MS
        key = f"order-{number:012}"
        return Claim(
            row.client_account,
            row.service,
            key,
            f"{number:016x}",
            request_id(number),
            expires_ms,
        )

    def _submit_jobs(self) -> None:
        jobs = [self.job(number) for number in range(self.size.jobs)]
        for start in range(0, len(jobs), ITEMS_PER_BATCH):
            self.append(0, JobsSubmitted(tuple(jobs[start : start + ITEMS_PER_BATCH])))

    def job(self, number: int) -> JobSpec:
        """Return a numbered job."""
        row = service_row(self.size, number % self.size.pools)
        return JobSpec(
            job_id=f"job-{number:08}",
            client_account=row.client_account,
            service=row.service,
            request_class=RequestClass.BATCH,
            payload="{}",
            cores=0.01,
            memory_mb=8,
            run_ms=60_000,
            deadline_ms=0,
            idempotent=True,
        )

    def placed(self, number: int) -> JobPlaced:
        """Return the placement of a numbered job on a worker of its pool."""
        index = number % self.size.pools
        info = worker_info(self.size, index)
        return JobPlaced(f"job-{number:08}", 1, info.worker, 1, 0.01, 8, 15_000)


def claim_end(claim: Claim) -> ClaimEnd:
    """Return the end of a claim whose request ran, with a small answer."""
    return ClaimEnd(
        claim.client_account,
        claim.service,
        claim.key,
        claim.request_id,
        ClaimOutcome.RAN,
        200,
        "application/json",
        b'{"accepted":true,"number":1}',
        True,
    )


def host_name(index: int) -> str:
    """Return the name of an entry host."""
    return f"entry-{index:02}"


def zone_name(index: int) -> str:
    """Return the name of an availability zone."""
    region, zone = divmod(index, 4)
    return f"region-{region}-zone-{zone}"


def account_name(index: int) -> str:
    """Return the name of a client account."""
    return f"account-{index:02}"


def service_row(size: Size, index: int) -> ServiceRow:
    """Return the row of a numbered pool, with its share of the workers."""
    account = account_name(index % size.accounts)
    used_workers = size.workers - size.spares
    count = used_workers // size.pools + (1 if index < used_workers % size.pools else 0)
    row = ServiceRow(account, f"service-{index:03}", workers=count)
    return replace(row, window="Mon-Sun 01:00-05:00")


def worker_info(size: Size, index: int) -> WorkerInfo:
    """Return the platform's description of a numbered worker."""
    zone = zone_name(index % size.zones)
    rack = index // size.zones % RACKS_PER_ZONE
    high, low = divmod(index, 250)
    low += 1
    return WorkerInfo(
        f"worker-{index:04}",
        zone,
        f"{zone}-rack-{rack}",
        f"10.2.{high}.{low}:7500",
        16.0,
        65_536,
    )


def minion_address(info: WorkerInfo) -> str:
    """Return the address of a worker's minion."""
    ip = info.address.partition(":")[0]
    return f"{ip}:9001"


def request_id(number: int) -> str:
    """Return the id of a numbered request."""
    return f"00000000-0000-4000-8000-{number:012x}"
