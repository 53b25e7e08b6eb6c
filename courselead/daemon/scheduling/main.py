"""`courselead serve --platform`: runs an entry host on the users' platform."""

from __future__ import annotations

import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import replace

import anyio
import structlog
from returns.result import Failure

from courselead import logs
from courselead.daemon import signals
from courselead.daemon.scheduling.errors import leaf_errors
from courselead.daemon.scheduling.host import SchedulingHost
from courselead.daemon.scheduling.metrics import PORT, MetricsApp, SchedulingMetrics
from courselead.daemon.scheduling.servers import ServerCapacities
from courselead.integrations.http_api.capacity import ServerCapacity
from courselead.integrations.http_api.errors import ListenFailed
from courselead.integrations.http_api.server import HttpServer
from courselead.log_budget import BoundedWriter, LineBudget
from courselead.platform.ingress import MIN_STEP_BYTES, JobsApp, ReadyApp
from courselead.platform.settings import NodeSettings
from courselead.platform.wiring import load_settings, make_platform
from courselead.settings import Address
from courselead.startup_signals import StartupSignals

_LOGGER = structlog.get_logger(__name__)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

LOG_DRAIN_TIMEOUT_S = 0.3
"""Maximum wait for the last log lines to be written at exit."""

READINESS_DELAY_S = 2.6
"""Time for which a host that shuts down still serves callers. The platform checks
readiness once a second and sends new connections until two checks have failed."""

DRAIN_MS = 1_500
"""Time for open exchanges to finish after that. Both fit into the platform's grace
period."""


def run(startup_signals: StartupSignals) -> int:
    """Run the daemon until it is asked to shut down; return its exit code."""
    writer = BoundedWriter(sys.stdout)
    budget = LineBudget()
    logs.configure("info", writer, budget)  # type: ignore[arg-type]
    loaded = load_settings()
    if isinstance(loaded, Failure):
        _LOGGER.error("settings_refused", reason=loaded.failure())
        writer.drain(LOG_DRAIN_TIMEOUT_S)
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    try:
        anyio.run(_serve, settings, budget, writer, startup_signals)
    except Exception as exc:
        # The process ends, and the platform starts it again.
        errors = [repr(error) for error in leaf_errors(exc)]
        _LOGGER.exception("host_failed", host=settings.node, errors=errors)
        return EXIT_FAILED
    finally:
        writer.drain(LOG_DRAIN_TIMEOUT_S)
    return EXIT_OK


async def _serve(
    settings: NodeSettings,
    budget: LineBudget,
    writer: BoundedWriter,
    startup_signals: StartupSignals,
) -> None:
    host = SchedulingHost(
        settings.node,
        make_platform(settings),
        settings.bounds.to_core_bounds(),
        settings.peer_address,
        settings.cores_milli,
        settings.zone,
        settings.limits.link_mbps,
        frozenset(settings.zones),
        settings.machine.job_memory_bytes,
    )
    capacities = ServerCapacities.from_machine(settings.machine)
    front = replace(capacities.front, body_bytes=lambda: host.intake.body_bytes)
    jobs_app = JobsApp(
        host.intake,
        lambda: host.leaving or not host.can_store,
        lambda: front.max_body_bytes,
        settings.max_record_bytes // MIN_STEP_BYTES,
    )
    ready_app = ReadyApp(lambda: host.ready)
    metrics = MetricsApp(SchedulingMetrics(host.counters), lambda: host.owns)
    listen = settings.listen
    servers = (
        _make_server(jobs_app, _parse_address(listen.front), front),
        _make_server(ready_app, _parse_address(listen.ready), capacities.small),
        _make_server(
            host.relay, _parse_address(settings.peer_address), capacities.relay
        ),
    )
    metrics_server = _make_server(metrics, Address(settings.ip, PORT), capacities.small)
    memory = capacities.shared.budget
    host.counters.register("request_bytes_held", lambda: memory.held_bytes)
    host.counters.register("requests_without_memory", lambda: memory.refused)
    host.counters.register("requests_evicted", lambda: memory.evicted)
    host.counters.register("lines_dropped", lambda: budget.dropped + writer.dropped)
    _LOGGER.info("started", host=settings.node, front=settings.listen.front)
    with anyio.open_signal_receiver(*signals.HANDLED_SIGNALS) as received:
        startup_signals.repeat()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.run)
            for server in servers:
                tasks.start_soon(server.run)
            tasks.start_soon(_serve_metrics, metrics_server)
            await _wait_for_shutdown(host, received)
            _LOGGER.info("leaving", host=settings.node)
            tasks.start_soon(signals.log_ignored_signals, received)
            tasks.start_soon(host.leave)
            await anyio.sleep(READINESS_DELAY_S)
            await _stop_servers(*servers, metrics_server)
            tasks.cancel_scope.cancel()
    signals.ignore_all()
    _LOGGER.info("stopped", host=settings.node)


async def _serve_metrics(server: HttpServer) -> None:
    """Serve the metrics; if the port is in use, the host runs without them."""
    try:
        await server.run()
    except ListenFailed as exc:
        _LOGGER.error("metrics_not_served", reason=str(exc))


async def _stop_servers(*servers: HttpServer) -> None:
    """Stop all servers concurrently and wait for their open exchanges to finish."""
    for server in servers:
        server.stop()
    for server in servers:
        await server.wait_closed()


async def _wait_for_shutdown(
    host: SchedulingHost, received: AsyncIterator[signal.Signals]
) -> None:
    """Return on SIGTERM or SIGINT; reload the settings on SIGHUP.

    Addresses are read at startup only; the platform restarts the process to change
    them.
    """
    async for number in received:
        if number != signal.SIGHUP:
            return
        loaded = load_settings()
        if isinstance(loaded, Failure):
            _LOGGER.error("settings_refused", reason=loaded.failure())
            continue
        host.reload(loaded.unwrap().bounds.to_core_bounds())


def _make_server(app: object, address: Address, capacity: ServerCapacity) -> HttpServer:
    return HttpServer(app, address, capacity.limits, DRAIN_MS, capacity)  # type: ignore[arg-type]


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))
