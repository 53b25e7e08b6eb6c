"""Ports are handed out before their processes start: nobody may take them meanwhile."""

import socket
from pathlib import Path

from demo.ports import LOOPBACK, free_ports

RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MANY = 200


def test_no_port_is_handed_out_twice() -> None:
    ports = [port for _ in range(MANY) for port in free_ports(1)]
    assert len(set(ports)) == MANY


def test_no_client_connection_or_listener_without_a_port_takes_one() -> None:
    first = int(RANGE_FILE.read_text().split()[0])
    assert max(free_ports(MANY)) < first


def test_a_port_that_is_in_use_is_passed_over() -> None:
    [port] = free_ports(1)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, port + 1))
        sock.listen()
        assert port + 1 not in free_ports(3)
