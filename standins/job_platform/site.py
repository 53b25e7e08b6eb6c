"""A site: the store, the cloud's machines with their minions, and the operator's side.

Test calls go to `/+/...` of the store's address, where no fault strikes:

| call | effect |
|---|---|
| `GET /+/ledger` | what the minions saw, and promises that were broken |
| `POST /+/operator?key=K` | the operator writes a record |
| `POST /+/crash?machine=M` | the minion on a machine ends, a new one comes |
| `POST /+/start-again?machine=M` | the minion on a machine starts again under its id |
| `POST /+/address?machine=M&address=A` | the machine's minions tell that address |
| `POST /+/forget` | the store drops its history |
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
import msgspec

from standins.asgi import Call, Reply, error_reply, json_reply
from standins.faults import Endpoint
from standins.job_platform.ledger import Ledger
from standins.job_platform.minion import MinionStandin
from standins.job_platform.store import StoreStandin
from standins.serving import Listener

CONTROL_PREFIX = "/+/"

TOPIC_OPERATOR = "keyed.op"
TOPIC_SERVERS = "keyed.servers"

BEAT_S = 0.5
"""Time between two records of a minion: a third of the users', for quick tests."""

CRASH_BACK_S = 1.5
"""Time until a minion is back that a task has ended, far more than a restart takes."""

WORK_S = 0.02
"""Period in which runs and leases are looked at."""

MEMORY_MB = 65_536
"""Memory of every machine: tests limit cores only."""


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """Size and times of a site."""

    machines: int = 4
    pool: str = "web"
    cpu: int = 4_000
    move_s: float = 0.3


class Machine:
    """A machine of the cloud: one life of a minion after the other, or none."""

    def __init__(self, name: str, spec: SiteSpec) -> None:
        """Bind the port that all its lives answer at."""
        self.name = name
        self.pool = spec.pool
        self.state = "up"
        self.fence = 0
        self.crashes = 0
        self.minion: MinionStandin | None = None
        self.listener = Listener(Endpoint(self._handle, CONTROL_PREFIX))
        self.address = self.listener.address

    async def _handle(self, call: Call) -> Reply | None:
        return None if self.minion is None else await self.minion.handle(call)


class Site:
    """Everything of the platform, in one process."""

    def __init__(self, spec: SiteSpec) -> None:
        """Bind all ports, so that all addresses are known."""
        self.spec = spec
        self.ledger = Ledger()
        self.store = StoreStandin()
        self.machines: dict[str, Machine] = {}
        for number in range(spec.machines):
            name = f"m-{number:03}"
            self.machines[name] = Machine(name, spec)
        self._lives = itertools.count(1)
        self._store_listener = Listener(Endpoint(self._store_call, CONTROL_PREFIX))
        self._cloud_listener = Listener(Endpoint(self._cloud_call, CONTROL_PREFIX))
        self._tasks: anyio.abc.TaskGroup | None = None

    def addresses(self) -> dict[str, Any]:
        """Return where everything answers."""
        return {
            "store": self._store_listener.address,
            "cloud": self._cloud_listener.address,
            "machines": {
                machine.name: machine.listener.address
                for machine in self.machines.values()
            },
        }

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(self._store_listener.run)
            await tasks.start(self._cloud_listener.run)
            for machine in self.machines.values():
                await tasks.start(machine.listener.run)
                self._begin_life(machine)
            tasks.start_soon(self._beat)
            tasks.start_soon(self._work)
            task_status.started()

    # Minions

    def _begin_life(self, machine: Machine, name: str = "") -> None:
        name = name or f"i-{next(self._lives):06}"
        machine.minion = self._minion(machine, name)
        machine.state = "up"
        self._register(machine)

    def _minion(self, machine: Machine, name: str) -> MinionStandin:
        minion = MinionStandin(name, self.spec.cpu, self.ledger)
        minion.on_crash = lambda: self._crashed(machine)
        return minion

    def _crashed(self, machine: Machine) -> None:
        """Let a minion end by a task, and come back under its id or as a new one.

        Its entry says nothing of that.
        """
        machine.crashes += 1
        assert machine.minion is not None
        name = machine.minion.minion_id if machine.crashes % 2 else ""
        machine.minion.die()
        machine.minion = None
        machine.state = "down"
        machine.listener.reset_connections()
        assert self._tasks is not None
        self._tasks.start_soon(self._return, machine, name, CRASH_BACK_S)

    def _end_life(self, machine: Machine, state: str) -> None:
        minion, machine.minion = machine.minion, None
        machine.state = state
        if minion is None:
            return
        minion.die()
        self.store.topic(TOPIC_SERVERS).put([(minion.minion_id.encode(), b"")])

    def _start_again(self, machine: Machine) -> None:
        """End a minion's life and begin the next one under its id."""
        if machine.minion is None:
            return
        before = machine.minion
        before.die()
        machine.minion = self._minion(machine, before.minion_id)
        machine.listener.reset_connections()
        self._register(machine)

    def _register(self, machine: Machine) -> None:
        if machine.minion is None:
            return
        entry = {
            "service": machine.pool,
            "address": machine.address,
            "zone": "z",
            "state": "ready",
            "capacity": self._capacity(),
            "labels": ["a", "r1"],
            "born": machine.minion.born_ms,
        }
        key = machine.minion.minion_id.encode()
        self.store.topic(TOPIC_SERVERS).put([(key, msgspec.json.encode(entry))])

    def _capacity(self) -> dict[str, int]:
        return {"cpu": self.spec.cpu, "memMb": MEMORY_MB, "gpu": 0}

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(BEAT_S)
            for machine in self.machines.values():
                self._register(machine)

    async def _work(self) -> None:
        while True:
            await anyio.sleep(WORK_S)
            for machine in self.machines.values():
                if machine.minion is not None:
                    machine.minion.work()

    # Calls

    async def _store_call(self, call: Call) -> Reply:
        if not call.path.startswith(CONTROL_PREFIX):
            return await self.store.handle(call)
        match call.path.removeprefix(CONTROL_PREFIX):
            case "ledger":
                return json_reply(200, self.ledger.document())
            case "operator":
                key = call.query["key"].encode()
                self.store.topic(TOPIC_OPERATOR).put([(key, call.body)])
                for row in call.json().get("tenants", []):
                    self.ledger.capped(row["name"], row["cap"]["cpu"])
                return json_reply(200, {})
            case "crash":
                self._restart(self.machines[call.query["machine"]], "down")
                return json_reply(200, {})
            case "start-again":
                self._start_again(self.machines[call.query["machine"]])
                return json_reply(200, {})
            case "address":
                machine = self.machines[call.query["machine"]]
                machine.address = call.query["address"]
                self._register(machine)
                return json_reply(200, {})
            case "forget":
                self.store.topic(TOPIC_SERVERS).forget()
                self.store.topic(TOPIC_OPERATOR).forget()
                return json_reply(200, {})
        return error_reply(404, "no_such_call")

    async def _cloud_call(self, call: Call) -> Reply:
        if call.path == "/-/machines":
            rows = [self._row(machine) for machine in self.machines.values()]
            return json_reply(200, {"machines": rows, "nextToken": None})
        body = call.json()
        machine = self.machines.get(body.get("machine", ""))
        if machine is None:
            return error_reply(400, "no_such_machine")
        fence = int(call.headers.get("x-courselead-fencing-token", "0"))
        if fence < machine.fence:
            return json_reply(409, {"reason": "fence"})
        machine.fence = fence
        pool = body.get("pool", machine.pool)
        if call.path == "/-/machine-move" and pool == machine.pool:
            return json_reply(200, {})
        if machine.state != "up":
            return json_reply(409, {"reason": "busy"})
        self.ledger.ordered(machine.name, fence)
        machine.pool = pool
        state = "moving" if call.path == "/-/machine-move" else "upkeep"
        self._restart(machine, state)
        return json_reply(200, {})

    def _row(self, machine: Machine) -> dict[str, Any]:
        minion = machine.minion
        return {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": "z",
            "labels": ["a", "r1"],
            "capacity": self._capacity(),
            "id": None if minion is None else minion.minion_id,
        }

    def _restart(self, machine: Machine, state: str) -> None:
        self._end_life(machine, state)
        assert self._tasks is not None
        self._tasks.start_soon(self._return, machine)

    async def _return(
        self, machine: Machine, name: str = "", after_s: float | None = None
    ) -> None:
        await anyio.sleep(self.spec.move_s if after_s is None else after_s)
        if machine.minion is None:
            self._begin_life(machine, name)
