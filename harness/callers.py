"""Simulated callers and operators, with the outcomes and runs of their requests."""

from dataclasses import dataclass, field

from courselead.core.effects import ReplyAccepted, ReplyProblem, ReplyReplay, RunState
from courselead.core.events import (
    CallerGone,
    JobsCancelAsked,
    JobsOffered,
    RequestArrived,
    TableEdit,
    ZoneCommand,
)
from courselead.core.fleet.records import (
    JobSpec,
    TablePublished,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.table import AccountRow, RequestClass, ServiceRow

MAX_TRIES = 4
EDIT_TIMEOUT_MS = 3_000
JOBS_TIMEOUT_MS = 4_000
CLASSES = tuple(RequestClass)


@dataclass(slots=True)
class Ticket:
    """One logical request of a caller, across all its attempts."""

    number: int
    client_account: str
    service: str
    key: str
    idempotent: bool
    work_ms: int
    timeout_ms: int
    small: bool
    runs: list[str] = field(default_factory=list)
    tries: int = 0

    @property
    def pool(self) -> str:
        """Return the pool that serves the ticket."""
        return f"{self.client_account}/{self.service}"


@dataclass(slots=True)
class Request:
    """One attempt of a ticket, or one call of the management interface.

    Attributes:
        outcomes: Outcomes reported to the caller, in order; exactly one at the end.
        not_run: Whether the caller was told that the request has not run.
    """

    request_id: str
    host: object
    deadline_ms: int
    ticket: Ticket | None = None
    is_edit: bool = False
    outcomes: list[str] = field(default_factory=list)
    heads: int = 0
    runs: int = 0
    not_run: bool = False

    @property
    def work_ms(self) -> int:
        """Return the duration of a run."""
        return self.ticket.work_ms

    @property
    def small(self) -> bool:
        """Return whether the answer is small enough to be kept for replay."""
        return self.ticket.small

    def answer_to(self, request_id: str) -> bytes:
        """Return the answer to this request, unlike that to any other."""
        ticket = self.ticket
        return f"{ticket.pool}#{ticket.number}|{request_id}".encode()


class Callers:
    """All callers, and the outcomes of their requests."""

    def __init__(self, world: object) -> None:
        self.world = world
        self.requests: dict[str, Request] = {}
        self.tickets: list[Ticket] = []
        self._count = 0

    def request(self, request_id: str) -> Request:
        """Return the request with an id."""
        return self.requests[request_id]

    # --- requests -----------------------------------------------------------

    def pick_host(self, unlike: object = None) -> object | None:
        """Return a random live host, like a load balancer; another one if possible."""
        hosts = [host for host in self.world.hosts.values() if host.alive]
        others = [host for host in hosts if host is not unlike]
        return self.world.sched.rng.choice(others or hosts) if hosts else None

    def call(self, ticket: Ticket, host: object | None) -> None:
        """Send one attempt of a ticket to a host."""
        if host is None or not host.alive:
            return
        ticket.tries += 1
        now_ms = self.world.sched.now_ms
        req = self._new(host, now_ms + ticket.timeout_ms, ticket)
        rng = self.world.sched.rng
        cls = rng.choice(CLASSES)
        host.deliver(
            f"caller:{req.request_id}",
            lambda now: RequestArrived(
                now_ms=now,
                request_id=req.request_id,
                client_account=ticket.client_account,
                service=ticket.service,
                request_class=cls,
                idempotent=ticket.idempotent,
                key=ticket.key,
                fingerprint=f"f{ticket.number}",
                deadline_ms=req.deadline_ms,
                body_bytes=10,
            ),
        )
        if rng.random() < 0.02:
            host.later(rng.randint(1, 300), self._disconnect, req)

    def edit(self, host: object, edit: TablePublished) -> Request:
        """Publish an edit of the table."""
        req = self._new(host, self.world.sched.now_ms + EDIT_TIMEOUT_MS)
        req.is_edit = True
        host.deliver(
            f"operator:{req.request_id}",
            lambda now: TableEdit(now, req.request_id, edit, req.deadline_ms),
        )
        return req

    def change_zone(
        self, host: object, change: ZoneEvacuated | ZoneRestored
    ) -> Request:
        """Evacuate or restore a zone."""
        req = self._new(host, self.world.sched.now_ms + EDIT_TIMEOUT_MS)
        req.is_edit = True
        host.deliver(
            f"operator:{req.request_id}",
            lambda now: ZoneCommand(now, req.request_id, change, req.deadline_ms),
        )
        return req

    def edit_rows(
        self, host: object, *rows: ServiceRow | AccountRow, author: str = "op"
    ) -> Request:
        """Publish rows, based on the table version of a host."""
        services = tuple(row for row in rows if isinstance(row, ServiceRow))
        accounts = tuple(row for row in rows if isinstance(row, AccountRow))
        base = host.state.fleet.table.version
        return self.edit(host, TablePublished(base, accounts, services, (), author))

    def submit(self, host: object, *jobs: JobSpec) -> Request:
        """Submit jobs."""
        req = self._new(host, self.world.sched.now_ms + JOBS_TIMEOUT_MS)
        host.deliver(
            f"jobs:{req.request_id}",
            lambda now: JobsOffered(now, req.request_id, jobs, req.deadline_ms),
        )
        return req

    def cancel(self, host: object, account: str, *job_ids: str) -> Request:
        """Cancel jobs."""
        req = self._new(host, self.world.sched.now_ms + JOBS_TIMEOUT_MS)
        host.deliver(
            f"jobs:{req.request_id}",
            lambda now: JobsCancelAsked(
                now, req.request_id, account, job_ids, req.deadline_ms
            ),
        )
        return req

    def _new(
        self, host: object, deadline_ms: int, ticket: Ticket | None = None
    ) -> Request:
        self._count += 1
        request_id = f"r{self._count}"
        req = Request(request_id, host, deadline_ms, ticket)
        self.requests[request_id] = req
        return req

    def _disconnect(self, req: Request) -> None:
        if req.outcomes:
            return
        self._record_outcome(req, "gone")
        req.host.deliver(
            f"caller:{req.request_id}",
            lambda now: CallerGone(now, req.request_id),
        )

    # --- responses ----------------------------------------------------------

    def reply(
        self, host: object, effect: ReplyProblem | ReplyReplay | ReplyAccepted
    ) -> None:
        """Record a final answer that the core itself gives."""
        req = self.requests[effect.request_id]
        if "gone" in req.outcomes:
            return
        if isinstance(effect, ReplyAccepted):
            self.world.checks.check_edit_outcome(req, True)
            self._record_outcome(req, "accepted")
        elif isinstance(effect, ReplyReplay):
            self.world.checks.check_replay(req, effect.body)
            self._record_outcome(req, "replayed")
        else:
            run = effect.problem.run
            if run is RunState.NOT_RUN and req.ticket is not None:
                req.not_run = True
                self.world.checks.check_not_run(req)
            elif run is RunState.NOT_RUN:
                req.not_run = True
                self.world.checks.check_edit_outcome(req, False)
            self._record_outcome(req, f"{effect.problem.kind}:{run}")
            self._retry(req, run is RunState.NOT_RUN)

    def head(self, request_id: str) -> None:
        """Record the head of a response."""
        self.requests[request_id].heads += 1

    def answered(self, request_id: str, status: int, text: bytes) -> None:
        """Record a complete response of a target."""
        req = self.requests[request_id]
        if "gone" in req.outcomes:
            return
        self.world.checks.check_answer(req, text)
        self._record_outcome(req, f"answered:{status}")

    def broken(self, request_id: str) -> None:
        """Record that a response broke off in its body."""
        req = self.requests[request_id]
        if "gone" in req.outcomes:
            return
        self._record_outcome(req, "broken")
        self._retry(req, False)

    def host_gone(self, host: object) -> None:
        """Record that a host has died: its callers see closed connections."""
        for req in tuple(self.requests.values()):
            if req.host is host and not req.outcomes:
                self._record_outcome(req, "closed")
                self._retry(req, False)

    def _record_outcome(self, req: Request, what: str) -> None:
        req.outcomes.append(what)
        self.world.checks.check_outcome(req)

    def _retry(self, req: Request, not_run: bool) -> None:
        """Retry where the caller may: not run, keyed or idempotent."""
        ticket = req.ticket
        if ticket is None or ticket.tries >= MAX_TRIES:
            return
        if not (not_run or ticket.key or ticket.idempotent):
            return
        rng = self.world.sched.rng
        host = self.pick_host(unlike=req.host)
        self.world.sched.after(rng.randint(5, 600), self.call, ticket, host)
