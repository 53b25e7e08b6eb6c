"""Fleets on which the planner is measured."""

from dataclasses import dataclass, replace

from courselead.core.fleet.records import WorkerInfo
from courselead.core.table import AccountRow, ServiceRow

CORES = 16.0
MEMORY_MB = 65_536


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Size and shape of a fleet.

    Attributes:
        workers: Number of workers; those that no pool needs are free.
        rack_size: Workers per rack; the last rack of a zone may have fewer.
        accounts: Number of client accounts, which share the pools evenly.
        pools: Number of pools.
        pool_size: Workers wanted in each pool.
        budget: Availability budget of a pool.
        tight_every: One in this many pools has `tight_budget`; 0 for none.
        move_cost: Move cost of every account.
    """

    name: str
    zones: int
    workers: int
    rack_size: int
    accounts: int
    pools: int
    pool_size: int
    budget: float
    tight_every: int = 0
    tight_budget: float = 0.1
    move_cost: float = 1.0

    def worker_infos(self) -> tuple[WorkerInfo, ...]:
        """Return the workers, distributed round-robin over the zones."""
        infos = []
        for index in range(self.workers):
            zone = index % self.zones
            rack = index // self.zones // self.rack_size
            name = f"w{index:04}"
            infos.append(
                WorkerInfo(
                    name,
                    f"zone-{zone}",
                    f"rack-{zone}-{rack}",
                    f"{name}:1",
                    CORES,
                    MEMORY_MB,
                )
            )
        return tuple(infos)

    def account_rows(self) -> tuple[AccountRow, ...]:
        """Return the rows of the client accounts."""
        rows = []
        for index in range(self.accounts):
            name = f"account-{index}"
            # A credential can belong to one account only.
            digest = f"{index:064x}"
            rows.append(AccountRow(name, (digest,), move_cost=self.move_cost))
        return tuple(rows)

    def service_rows(self) -> tuple[ServiceRow, ...]:
        """Return the rows of the services."""
        rows = []
        for index in range(self.pools):
            account = f"account-{index % self.accounts}"
            tight = self.tight_every and index % self.tight_every == 0
            row = ServiceRow(
                account,
                f"service-{index}",
                workers=self.pool_size,
                availability_budget=self.tight_budget if tight else self.budget,
            )
            rows.append(row)
        return tuple(rows)


ALOISI = FleetSpec("aloisi", 4, 40, 4, 1, 5, 8, 0.25)
COOPERATIVE = FleetSpec("cooperative", 3, 30, 5, 5, 5, 6, 0.2)
TARGET = FleetSpec("target", 8, 1_000, 25, 8, 160, 6, 0.25, tight_every=4)

FLEETS = {spec.name: spec for spec in (ALOISI, COOPERATIVE, TARGET)}

SWEEP_BASE = FleetSpec("sweep", 3, 50, 5, 2, 10, 5, 0.1)


def sweep_fleet(spares: int, budget: float, move_cost: float) -> FleetSpec:
    """Return a fleet of the sweep with a number of free workers."""
    workers = SWEEP_BASE.pools * SWEEP_BASE.pool_size + spares
    return replace(SWEEP_BASE, workers=workers, budget=budget, move_cost=move_cost)
