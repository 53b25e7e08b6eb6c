"""Prometheus metrics of one entry host.

Label sets are bounded: an account that is not in the table counts as `other`. The other
labels take short words of the core; beyond a limit for each label, new words count as
`other`, too.
"""

from __future__ import annotations

import re
from collections.abc import Container
from typing import Protocol

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from courselead.core.effects import Metric, RecordMetric
from courselead.core.fleet.state import FleetState
from courselead.integrations.http_api.host import StatusReport

ATTR_ACCOUNT = "client_account"
ATTR_CLASS = "request_class"
OTHER = "other"

_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
    30.0, 60.0, 300.0,
)  # fmt: skip
_MAX_LABEL_VALUES = 64
_LABEL_VALUE = re.compile(r"[a-z0-9][a-z0-9_.-]{0,63}")

Labels = dict[str, str]


class TableSource(Protocol):
    """Provides the table in force."""

    @property
    def fleet(self) -> FleetState:
        """Return the fleet state, which holds the table."""
        ...


class Metrics:
    """Collects metrics and renders them for a scrape."""

    def __init__(self) -> None:
        """Create the collectors; no account is known before `follow` is called."""
        self._source: TableSource | None = None
        self._registry = Registry()
        self._label_values: dict[str, set[str]] = {}
        self._alarms: set[tuple[str, str]] = set()
        create = self._create
        self._latency = create(
            Histogram, "request_seconds", "Time to the answer's head", _BUCKETS_S
        )
        self._queueing = create(
            Histogram, "queue_seconds", "Time a request waited", _BUCKETS_S
        )
        self._outcomes = create(Counter, "outcomes_total", "Requests by outcome")
        self._retries = create(Counter, "retries_total", "Retries by reason")
        self._refusals = create(
            Counter, "http_refusals_total", "Exchanges refused before the core"
        )
        self._records = create(Counter, "records_total", "Records proposed")
        self._invariants = create(
            Counter, "invariants_broken_total", "Invariants found broken"
        )
        self._alarms_raised = create(Counter, "alarms_raised_total", "Alarms raised")
        self._active_alarms = create(Gauge, "alarms", "Alarms that stand")
        self._slots = create(Gauge, "slots_in_use", "Requests being run by minions")
        self._offset = create(Gauge, "offset", "Offset of the log applied")
        self._version = create(Gauge, "table_version", "Version of the table in force")
        self._lag = create(
            Gauge, "apply_lag_seconds", "Age of the newest batch when applied"
        )

    def set_table_source(self, source: TableSource) -> None:
        """Use the accounts in the table of a daemon as the known ones."""
        self._source = source

    def record(self, measure: RecordMetric) -> None:
        """Record one measurement of the core."""
        labels = self._labels(measure)
        match measure.metric:
            case Metric.LATENCY_MS:
                self._latency.observe(labels, measure.value / 1000)
            case Metric.QUEUE_MS:
                self._queueing.observe(labels, measure.value / 1000)
            case Metric.OUTCOME:
                labels["outcome"] = self._label_value("outcome", measure.label)
                self._outcomes.add(labels, measure.value)
            case Metric.RETRY:
                labels["reason"] = self._label_value("retry", measure.label)
                self._retries.add(labels, measure.value)
            case Metric.RECORD:
                kind = self._label_value("record", measure.label)
                self._records.add({"kind": kind}, measure.value)
            case Metric.INVARIANT:
                name = self._label_value("invariant", measure.label)
                self._invariants.add({"name": name}, measure.value)
            case Metric.SLOTS_IN_USE:
                account = self._account_label(measure.client_account)
                self._slots.set(account, measure.value)
            case Metric.APPLY_LAG_MS:
                self._lag.set({}, measure.value / 1000)

    def count_refusal(self, client_account: str, kind: str) -> None:
        """Count an HTTP exchange that was refused before it reached the core."""
        labels = self._account_label(client_account)
        labels["kind"] = self._label_value("refusal", kind)
        self._refusals.inc(labels)

    def update_from_status(self, report: StatusReport) -> None:
        """Update gauges and alarms, and drop the series of removed accounts."""
        self._offset.set({}, report.offset)
        self._version.set({}, report.table_version)
        self._lag.set({}, report.apply_lag_ms / 1000)
        self._observe_alarms(report)
        for collector in self._registry.get_all():
            self._drop_removed_accounts(collector)

    def render(self, client_account: str = "") -> bytes:
        """Return the metrics in the Prometheus text format.

        Args:
            client_account: Account whose series are returned; "" for all series.
        """
        formatter = text.TextFormatter()
        lines: list[str] = []
        for collector in self._registry.get_all():
            help_line, type_line, *samples = formatter.marshall_lines(collector)
            if client_account:
                samples = _samples_of_account(samples, client_account)
            if samples:
                lines.extend((help_line, type_line, *samples))
        lines.append("")
        return "\n".join(lines).encode("utf-8")

    def _accounts(self) -> Container[str]:
        if self._source is None:
            return ()
        return self._source.fleet.table.accounts

    def _create(
        self,
        collector_type: type[Collector],
        name: str,
        doc: str,
        buckets: tuple[float, ...] | None = None,
    ) -> Collector:
        full_name = f"courselead_{name}"
        if buckets is None:
            return collector_type(full_name, doc, registry=self._registry)
        return collector_type(full_name, doc, registry=self._registry, buckets=buckets)

    def _labels(self, measure: RecordMetric) -> Labels:
        labels = self._account_label(measure.client_account)
        labels[ATTR_CLASS] = self._label_value("class", measure.request_class)
        return labels

    def _account_label(self, client_account: str) -> Labels:
        if not client_account:
            return {}
        known = client_account in self._accounts()
        return {ATTR_ACCOUNT: client_account if known else OTHER}

    def _label_value(self, label: str, value: str) -> str:
        known = self._label_values.setdefault(label, set())
        if value in known:
            return value
        if not _LABEL_VALUE.fullmatch(value) or len(known) >= _MAX_LABEL_VALUES:
            return OTHER if value else "none"
        known.add(value)
        return value

    def _observe_alarms(self, report: StatusReport) -> None:
        active = {(alarm.name, alarm.client_account) for alarm in report.alarms}
        for name, account in active - self._alarms:
            self._alarms_raised.inc(self._alarm_labels(name, account))
        for name, account in self._alarms - active:
            self._active_alarms.set(self._alarm_labels(name, account), 0)
        for name, account in active:
            self._active_alarms.set(self._alarm_labels(name, account), 1)
        self._alarms = active

    def _alarm_labels(self, name: str, client_account: str) -> Labels:
        labels = self._account_label(client_account)
        labels["name"] = self._label_value("alarm", name)
        return labels

    def _drop_removed_accounts(self, collector: Collector) -> None:
        known = self._accounts()
        for labels, _ in collector.get_all():
            account = labels.get(ATTR_ACCOUNT, OTHER)
            if account == OTHER or account in known:
                continue
            del collector.values[labels]


def _samples_of_account(samples: list[str], client_account: str) -> list[str]:
    # `other` collects the unknown accounts, so an account of that name must not see it.
    if client_account == OTHER:
        return []
    # Label values contain no quotes, so this matches the whole value only.
    label = f'{ATTR_ACCOUNT}="{client_account}"'
    return [line for line in samples if label in line]
