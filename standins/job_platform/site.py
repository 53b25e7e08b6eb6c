"""A site: the store, the cloud's machines with their minions, and test controls.

Test calls go to `/+/...` at the store's address; faults do not apply to them:

| call | effect |
|---|---|
| `GET /+/ledger` | the starts and ends that were recorded, and the violations found |
| `POST /+/operator?key=K` | writes a record as the operator, or removes it if empty; |
| `...?key=evacuate/Z&withinMs=T` | checks that nothing starts in the zone after that |
| `POST /+/server?key=K` | writes an entry of another writer to the list of minions, |
| | or removes it if empty |
| `POST /+/malformed-operator?key=K` | the same as `operator`, unseen by the ledger, |
| | or removes it if empty |
| `POST /+/crash?machine=M` | the minion on a machine ends and a new one starts |
| `POST /+/start-again?machine=M` | the minion on a machine restarts under its id |
| `POST /+/address?machine=M&address=A` | minions on the machine register that address |
| `POST /+/zone?machine=M&zone=Z` | moves a machine to a zone; all begin in `z` |
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

EVACUATION_KEY_PREFIX = "evacuate/"
FIRST_ZONE = "z"

REGISTER_INTERVAL_S = 0.5
"""Interval at which minions register: a third of the users', to keep tests fast."""

CRASH_RESTART_DELAY_S = 1.5
"""Delay until a crashed minion is back, much longer than a restart takes."""

ADVANCE_INTERVAL_S = 0.02
"""Interval at which the minions end finished runs and those of expired leases."""

MEMORY_MB = 65_536
"""Memory of every machine; large, as the tests limit only cores."""


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """Size and timing of a site."""

    machines: int = 4
    pool: str = "web"
    cpu: int = 4_000
    move_s: float = 0.3


class Machine:
    """A machine of the cloud, with the current incarnation of its minion, if any."""

    def __init__(self, name: str, spec: SiteSpec) -> None:
        """Bind the port, which all incarnations of the minion share."""
        self.name = name
        self.pool = spec.pool
        self.zone = FIRST_ZONE
        self.state = "up"
        self.fence = 0
        self.crashes = 0
        self.minion: MinionStandin | None = None
        self.listener = Listener(Endpoint(self._handle, CONTROL_PREFIX))
        self.address = self.listener.address

    async def _handle(self, call: Call) -> Reply | None:
        return None if self.minion is None else await self.minion.handle(call)


class Site:
    """The store, the cloud and the machines, served by one process."""

    def __init__(self, spec: SiteSpec) -> None:
        """Bind all ports, so that all addresses are known before serving."""
        self.spec = spec
        self.ledger = Ledger()
        self.store = StoreStandin()
        self.machines: dict[str, Machine] = {}
        for number in range(spec.machines):
            name = f"m-{number:03}"
            self.machines[name] = Machine(name, spec)
        self._minion_numbers = itertools.count(1)
        self._store_listener = Listener(
            Endpoint(self._handle_store_call, CONTROL_PREFIX)
        )
        self._cloud_listener = Listener(
            Endpoint(self._handle_cloud_call, CONTROL_PREFIX)
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    def addresses(self) -> dict[str, Any]:
        """Return the addresses of the store, the cloud and the machines."""
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
                self._start_incarnation(machine)
            tasks.start_soon(self._register_periodically)
            tasks.start_soon(self._advance_minions)
            task_status.started()

    # Minions

    def _start_incarnation(self, machine: Machine, minion_id: str = "") -> None:
        minion_id = minion_id or f"i-{next(self._minion_numbers):06}"
        machine.minion = self._create_minion(machine, minion_id)
        machine.state = "up"
        self._register(machine)

    def _create_minion(self, machine: Machine, minion_id: str) -> MinionStandin:
        minion = MinionStandin(minion_id, self.spec.cpu, self.ledger, zone=machine.zone)
        minion.on_crash = lambda: self._handle_crash(machine)
        return minion

    def _handle_crash(self, machine: Machine) -> None:
        """End a crashed minion; it returns alternately under its id and as a new one.

        The minion's entry in the store is not updated on the crash.
        """
        machine.crashes += 1
        assert machine.minion is not None
        minion_id = machine.minion.minion_id if machine.crashes % 2 else ""
        machine.minion.terminate()
        machine.minion = None
        machine.state = "down"
        machine.listener.reset_connections()
        assert self._tasks is not None
        self._tasks.start_soon(
            self._start_incarnation_later, machine, minion_id, CRASH_RESTART_DELAY_S
        )

    def _end_incarnation(self, machine: Machine, state: str) -> None:
        minion, machine.minion = machine.minion, None
        machine.state = state
        if minion is None:
            return
        minion.terminate()
        self.store.topic(TOPIC_SERVERS).put([(minion.minion_id.encode(), b"")])

    def _restart_under_same_id(self, machine: Machine) -> None:
        """End a minion's incarnation and start the next one under the same id."""
        if machine.minion is None:
            return
        previous = machine.minion
        previous.terminate()
        machine.minion = self._create_minion(machine, previous.minion_id)
        machine.listener.reset_connections()
        self._register(machine)

    def _register(self, machine: Machine) -> None:
        if machine.minion is None:
            return
        entry = {
            "service": machine.pool,
            "address": machine.address,
            "zone": machine.zone,
            "state": "ready",
            "capacity": self._capacity(),
            "labels": ["a", "r1"],
            "born": machine.minion.born_ms,
        }
        key = machine.minion.minion_id.encode()
        self.store.topic(TOPIC_SERVERS).put([(key, msgspec.json.encode(entry))])

    def _capacity(self) -> dict[str, int]:
        return {"cpu": self.spec.cpu, "memMb": MEMORY_MB, "gpu": 0}

    async def _register_periodically(self) -> None:
        while True:
            await anyio.sleep(REGISTER_INTERVAL_S)
            for machine in self.machines.values():
                self._register(machine)

    async def _advance_minions(self) -> None:
        while True:
            await anyio.sleep(ADVANCE_INTERVAL_S)
            for machine in self.machines.values():
                if machine.minion is not None:
                    machine.minion.advance()

    # Calls

    async def _handle_store_call(self, call: Call) -> Reply:
        if not call.path.startswith(CONTROL_PREFIX):
            return await self.store.handle(call)
        match call.path.removeprefix(CONTROL_PREFIX):
            case "ledger":
                return json_reply(200, self.ledger.to_dict())
            case "operator":
                self._write_operator_record(call)
                return json_reply(200, {})
            case "server":
                key = call.query["key"].encode()
                self.store.topic(TOPIC_SERVERS).put([(key, call.body)])
                return json_reply(200, {})
            case "malformed-operator":
                key = call.query["key"].encode()
                self.store.topic(TOPIC_OPERATOR).put([(key, call.body)])
                return json_reply(200, {})
            case "crash":
                self._restart_machine(self.machines[call.query["machine"]], "down")
                return json_reply(200, {})
            case "start-again":
                self._restart_under_same_id(self.machines[call.query["machine"]])
                return json_reply(200, {})
            case "address":
                machine = self.machines[call.query["machine"]]
                machine.address = call.query["address"]
                self._register(machine)
                return json_reply(200, {})
            case "zone":
                machine = self.machines[call.query["machine"]]
                machine.zone = call.query["zone"]
                if machine.minion is not None:
                    machine.minion.zone = machine.zone
                self._register(machine)
                return json_reply(200, {})
            case "forget":
                self.store.topic(TOPIC_SERVERS).drop_history()
                self.store.topic(TOPIC_OPERATOR).drop_history()
                return json_reply(200, {})
        return error_reply(404, "no_such_call")

    def _write_operator_record(self, call: Call) -> None:
        key = call.query["key"]
        self.store.topic(TOPIC_OPERATOR).put([(key.encode(), call.body)])
        if not key.startswith(EVACUATION_KEY_PREFIX):
            for row in call.json().get("tenants", []):
                self.ledger.record_cap(row["name"], row["cap"]["cpu"])
            return
        zone = key.removeprefix(EVACUATION_KEY_PREFIX)
        if call.body:
            within_s = int(call.query["withinMs"]) / 1000
            self.ledger.record_evacuation(zone, within_s)
        else:
            self.ledger.record_return(zone)

    async def _handle_cloud_call(self, call: Call) -> Reply:
        if call.path == "/-/machines":
            rows = [self._machine_row(machine) for machine in self.machines.values()]
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
        self.ledger.record_cloud_order(machine.name, fence)
        machine.pool = pool
        state = "moving" if call.path == "/-/machine-move" else "upkeep"
        self._restart_machine(machine, state)
        return json_reply(200, {})

    def _machine_row(self, machine: Machine) -> dict[str, Any]:
        minion = machine.minion
        return {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": machine.zone,
            "labels": ["a", "r1"],
            "capacity": self._capacity(),
            "id": None if minion is None else minion.minion_id,
        }

    def _restart_machine(self, machine: Machine, state: str) -> None:
        self._end_incarnation(machine, state)
        assert self._tasks is not None
        self._tasks.start_soon(self._start_incarnation_later, machine)

    async def _start_incarnation_later(
        self, machine: Machine, minion_id: str = "", delay_s: float | None = None
    ) -> None:
        await anyio.sleep(self.spec.move_s if delay_s is None else delay_s)
        if machine.minion is None:
            self._start_incarnation(machine, minion_id)
