"""Counters and latencies of a scheduling host, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from courselead.daemon.scheduling.ports import HostCounters
from courselead.integrations.http_api.asgi import Scope, Send
from courselead.integrations.http_api.asgi_helpers import send_response

PORT = 9464
"""Metrics port on every machine, as set in `deploy/system.toml`; commonly used by
Prometheus exporters of this kind."""

PATH = "/metrics"

BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)

JOB_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
"""Covers durations from one acknowledgement of the store to jobs of several steps."""


MAX_LABELED_ACCOUNTS = 50
"""Maximum accounts with a label of their own: two events of 50 accounts produce about
1,200 rows, or a hundred kilobytes."""

OTHER_ACCOUNTS = "(others)"


class SchedulingMetrics:
    """Holds the histograms and renders them together with the counters."""

    def __init__(self, counters: HostCounters) -> None:
        """Create and register the collectors."""
        self._counters = counters
        self._registry = Registry()
        self._counts = Counter("courselead_host_total", "Counts by name")
        self._owns = Gauge("courselead_owns_schedule", "Whether this host owns it")
        self._seconds = Histogram(
            "courselead_call_seconds",
            "Time to the answer, by kind of call and outcome",
            buckets=list(BUCKETS_S),
        )
        self._jobs = Histogram(
            "courselead_job_seconds",
            "Age of jobs at their events, by queue",
            buckets=list(JOB_BUCKETS_S),
        )
        self._accounts = Histogram(
            "courselead_account_job_seconds",
            "Age of jobs at their events, by client account",
            buckets=list(JOB_BUCKETS_S),
        )
        self._labeled_accounts: set[str] = set()
        histograms = (self._seconds, self._jobs, self._accounts)
        for collector in (self._counts, self._owns, *histograms):
            self._registry.register(collector)
        counters.observe = self.observe
        counters.observe_job = self.observe_job
        counters.observe_account = self.observe_account

    def observe(self, call: str, outcome: str, seconds: float) -> None:
        """Record the duration of a call; both labels come from fixed sets."""
        self._seconds.observe({"call": call, "outcome": outcome}, seconds)

    def observe_job(self, queue: str, event: str, seconds: float) -> None:
        """Record a job's age at an event; queues are limited by the configuration."""
        labels = {"queue": escape_label(queue), "event": event}
        self._jobs.observe(labels, seconds)

    def observe_account(self, account: str, event: str, seconds: float) -> None:
        """Record a job's age at an event; accounts above the limit share a label."""
        if account not in self._labeled_accounts:
            if len(self._labeled_accounts) >= MAX_LABELED_ACCOUNTS:
                account = OTHER_ACCOUNTS
            else:
                self._labeled_accounts.add(account)
        labels = {"account": escape_label(account), "event": event}
        self._accounts.observe(labels, seconds)

    def render(self, owns: bool) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name, value in self._counters.current_values().items():
            self._counts.set({"name": name}, value)
        self._owns.set({}, int(owns))
        return text.TextFormatter().marshall(self._registry)


def escape_label(value: str) -> str:
    """Return a label's value as the text format has it; the library escapes nothing."""
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


class MetricsApp:
    """ASGI application that serves the metrics."""

    def __init__(self, metrics: SchedulingMetrics, owns: Callable[[], bool]) -> None:
        """Initialize with the metrics and the ownership status."""
        self._metrics = metrics
        self._owns = owns

    async def __call__(self, scope: Scope, receive: object, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        found = scope["path"] == PATH
        body = self._metrics.render(self._owns()) if found else b""
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await send_response(send, 200 if found else 404, body, headers)
