"""Keeps an error of a decoder from ending the hosts that read the same record."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import structlog

from courselead.core.scheduler.models import (
    MaintenanceWave,
    MinionInfo,
    ZoneEvacuation,
)
from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import Decoder, HostCounters, OperatorConfig

_LOGGER = structlog.get_logger(__name__)

COUNTER_DECODER_FAILED = "decoder_failed"

T = TypeVar("T")


class GuardedDecoder:
    """A decoder that skips records on which another decoder fails unexpectedly.

    Decoding changes no state, so that a record can be skipped safely. All hosts read
    the same records: without this, one of them would end all hosts at each start.
    """

    def __init__(self, decoder: Decoder, counters: HostCounters) -> None:
        """Guard a decoder; its errors are counted as bugs, not as malformed records."""
        self._decoder = decoder
        self._counters = counters

    @property
    def malformed_count(self) -> int:
        """Return how many malformed records have been read."""
        return self._decoder.malformed_count

    def operator_config(
        self, record: KeyedRecord
    ) -> OperatorConfig | MaintenanceWave | ZoneEvacuation | None:
        """Return the content of an operator's record, None if it cannot be used."""
        return self._decode(record, self._decoder.operator_config, None)

    def decode_minion(self, record: KeyedRecord) -> MinionInfo | str:
        """Return a listed minion, or its id if its entry cannot be used."""
        minion_id = record.key.decode("utf-8", "replace")
        return self._decode(record, self._decoder.decode_minion, minion_id)

    def encode_wave_status(self, wave: int, completed: bool) -> KeyedRecord:
        """Return the record with the status of a maintenance wave."""
        return self._decoder.encode_wave_status(wave, completed)

    def _decode(
        self, record: KeyedRecord, decode: Callable[[KeyedRecord], T], unusable: T
    ) -> T:
        try:
            return decode(record)
        except Exception:
            self._counters.add(COUNTER_DECODER_FAILED)
            key = record.key.decode("utf-8", "replace")
            _LOGGER.exception("decoder_failed", key=key, bytes=len(record.value))
            return unusable
