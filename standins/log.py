"""Stand-in for the append-only log, kept in memory."""

from __future__ import annotations

import anyio

from standins.asgi import Call, Reply, error_reply, json_reply, msgpack_reply

MAX_RECORD_BYTES = 1024 * 1024
MAX_PAGE_BYTES = 4 * 1024 * 1024
MAX_WAIT_MS = 30_000
DEFAULT_PAGE = 1000


class LogStandin:
    """Keeps the last `keep` records, or all records if `keep` is 0."""

    def __init__(self, keep: int = 0) -> None:
        """Start with an empty log at offset 0."""
        self.first = 0
        self.records: list[bytes] = []
        self.reads = 0
        self._keep = keep
        self._appended = anyio.Event()

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    async def handle(self, call: Call) -> Reply | None:
        """Answer one call of the log protocol."""
        match call.method, call.path:
            case "POST", "/v1/log/append":
                return self._append(call)
            case "GET", "/v1/log/read":
                return await self._read(call)
            case "GET", "/-/runs":
                counts = {"first": self.first, "next": self.next, "reads": self.reads}
                return json_reply(200, counts)
        return error_reply(404, "not_found")

    def append(self, record: bytes) -> int:
        """Store a record and return its offset."""
        offset = self.next
        self.records.append(record)
        while self._keep and len(self.records) > self._keep:
            del self.records[0]
            self.first += 1
        self._appended.set()
        self._appended = anyio.Event()
        return offset

    def _append(self, call: Call) -> Reply:
        if len(call.body) > MAX_RECORD_BYTES:
            return msgpack_reply(413, {"error": "too_large"})
        return msgpack_reply(200, {"offset": self.append(call.body)})

    async def _read(self, call: Call) -> Reply:
        self.reads += 1
        try:
            start = int(call.query.get("from", "0"))
            limit = int(call.query.get("limit", str(DEFAULT_PAGE)))
            wait_ms = min(int(call.query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            return error_reply(400, "bad_request")
        with anyio.move_on_after(wait_ms / 1000):
            while start == self.next:
                await self._appended.wait()
        if not self.first <= start <= self.next:
            return msgpack_reply(410, {"first": self.first, "next": self.next})
        return msgpack_reply(200, self._page(start, limit))

    def _page(self, start: int, limit: int) -> dict[str, object]:
        records = []
        size = 0
        for offset in range(start, min(start + limit, self.next)):
            data = self.records[offset - self.first]
            size += len(data)
            if records and size > MAX_PAGE_BYTES:
                break
            records.append([offset, data])
        return {"first": self.first, "next": self.next, "records": records}
