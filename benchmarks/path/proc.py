"""Reads memory, processor time and socket bytes of a process from the kernel."""

import os
import re
import subprocess
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

KIB = 1_024
_CLOCK_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_PID = re.compile(r"pid=(\d+),fd=(\d+)")
_SENT = re.compile(r"\bbytes_sent:(\d+)")
_RECEIVED = re.compile(r"\bbytes_received:(\d+)")


@dataclass(frozen=True, slots=True)
class Memory:
    """Memory of a process in KiB.

    Attributes:
        rss: Resident set size.
        private: Private_Clean + Private_Dirty of smaps_rollup.
    """

    rss: int
    private: int


@dataclass(slots=True)
class SocketBytes:
    """Bytes sent and received on the TCP sockets of a process, by socket."""

    sent: dict[tuple[str, str, str], int] = field(default_factory=dict)
    received: dict[tuple[str, str, str], int] = field(default_factory=dict)


def memory(pid: int) -> Memory:
    """Return the memory that a process uses."""
    sizes: Counter[str] = Counter()
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        name, _, rest = line.partition(":")
        if rest.strip().endswith("kB"):
            sizes[name] = int(rest.split()[0])
    private = sizes["Private_Clean"] + sizes["Private_Dirty"]
    return Memory(sizes["Rss"], private)


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _CLOCK_TICK_S


def socket_bytes(pid: int) -> SocketBytes:
    """Return the byte counters of the open TCP sockets of a process."""
    command = ["ss", "-tinpHO", "state", "established"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    found = SocketBytes()
    for line in done.stdout.splitlines():
        pids = {int(pid_text) for pid_text, _ in _PID.findall(line)}
        if pid not in pids:
            continue
        parts = line.split()
        local, peer = parts[2], parts[3]
        key = (local, peer, peer.rpartition(":")[2])
        found.sent[key] = _number(_SENT, line)
        found.received[key] = _number(_RECEIVED, line)
    return found


def bytes_between(
    before: SocketBytes, after: SocketBytes
) -> tuple[Counter[str], Counter[str]]:
    """Return the bytes sent and received between two readings, by port.

    Each socket is counted under its local and its peer port. If a socket is
    closed between the readings, its bytes since the first one are not counted.
    """
    sent: Counter[str] = Counter()
    received: Counter[str] = Counter()
    for key, total in after.sent.items():
        local = key[0].rpartition(":")[2]
        for port in (local, key[2]):
            sent[port] += total - before.sent.get(key, 0)
            received[port] += after.received[key] - before.received.get(key, 0)
    return sent, received


def _number(pattern: re.Pattern[str], line: str) -> int:
    """Return the number that a pattern matches, 0 without a match."""
    found = pattern.search(line)
    return int(found.group(1)) if found else 0
