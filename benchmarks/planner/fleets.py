"""The fleets that the planner is measured on."""

from dataclasses import dataclass, replace

from courselead.core.fleet.records import WorkerInfo
from courselead.core.table import AccountRow, ServiceRow

CORES = 16.0
MEMORY_MB = 65_536


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Size and shape of a fleet.

    Attributes:
        workers: All workers; those beyond the pools' are free.
        rack_size: Workers in one rack, the last rack of a zone may have fewer.
        accounts: Client accounts, which share the pools evenly.
        pools: Number of pools.
        pool_size: Workers wanted in each pool.
        budget: Availability budget of a pool.
        tight_every: Every so many pools one has `tight_budget`; 0 for none.
        move_cost: Of all accounts.
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

    def infos(self) -> tuple[WorkerInfo, ...]:
        """Return the workers, dealt out to the zones in turn."""
        found = []
        for index in range(self.workers):
            zone = index % self.zones
            rack = index // self.zones // self.rack_size
            name = f"w{index:04}"
            found.append(
                WorkerInfo(
                    name,
                    f"zone-{zone}",
                    f"rack-{zone}-{rack}",
                    f"{name}:1",
                    CORES,
                    MEMORY_MB,
                )
            )
        return tuple(found)

    def account_rows(self) -> tuple[AccountRow, ...]:
        """Return the rows of the client accounts."""
        rows = []
        for index in range(self.accounts):
            name = f"account-{index}"
            # Credentials belong to one account each.
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
    """Return a fleet of the sweep, with some free workers."""
    workers = SWEEP_BASE.pools * SWEEP_BASE.pool_size + spares
    return replace(SWEEP_BASE, workers=workers, budget=budget, move_cost=move_cost)
