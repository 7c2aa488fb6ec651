"""Reservation of loopback networks, for tests whose machines listen at fixed ports.

A deployment uses the same ports on each machine, so such a test gives each machine its own address in
127.N.0.0/16. While it runs, N must not be used by any other test of this worker, other worker of this run or
other run on the same host. A reservation is a bound socket, which the kernel releases when the process exits
for any reason.
"""

import contextlib
import itertools
import os
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

# Laboratory runs and `make system-demo` use networks from 127.77 on by default.
FIRST_NETWORK = 1
MAX_NETWORKS = 75
RESERVATION_PORT = 8999  # below the system's ephemeral ports
# Port of a server; HTTP, readiness and control ports of a machine; ports of calls between machines.
CHECKED_PORTS = (8080, 8405, 8406, 8407, *range(7660, 7676))
CHECKED_HOSTS = range(1, 10)
RETRY_INTERVAL_S = 0.1

# Processes that start together try different networks first.
_next_network = itertools.count(os.getpid() * 13)


@dataclass(frozen=True, slots=True)
class LoopbackNetwork:
    """127.`number`.0.0/16, reserved for one test."""

    number: int

    def host(self, number: int) -> str:
        """Return the address of a machine, by its number."""
        return f"127.{self.number}.0.{number}"


class NoFreeNetworkError(Exception):
    """No loopback network is available."""


@contextlib.contextmanager
def reserve_loopback_network() -> Iterator[LoopbackNetwork]:
    """Reserve an unused network until the context exits.

    Raises:
        NoFreeNetworkError: All networks are reserved or in use.
    """
    for _ in range(MAX_NETWORKS):
        network = LoopbackNetwork(FIRST_NETWORK + next(_next_network) % MAX_NETWORKS)
        with _reservation(network) as is_reserved:
            if is_reserved:
                yield network
                return
    raise NoFreeNetworkError(f"all {MAX_NETWORKS} loopback networks are reserved or in use")


@contextlib.contextmanager
def wait_for_loopback_network(number: int, timeout_s: float = 120.0) -> Iterator[LoopbackNetwork]:
    """Wait for the network that stored data refers to, and reserve it until the context exits.

    Raises:
        NoFreeNetworkError: The network did not become available in time.
    """
    network, deadline = LoopbackNetwork(number), time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with _reservation(network) as is_reserved:
            if is_reserved:
                yield network
                return
        time.sleep(RETRY_INTERVAL_S)
    raise NoFreeNetworkError(f"network 127.{number}.0.0/16 did not become free within {timeout_s:g} s")


@contextlib.contextmanager
def _reservation(network: LoopbackNetwork) -> Iterator[bool]:
    """Try to reserve a network and yield whether this succeeded; released when the context exits."""
    with socket.socket() as reservation:
        try:
            reservation.bind((f"127.{network.number}.255.254", RESERVATION_PORT))
        except OSError:
            yield False
        else:
            yield _is_idle(network)


def _is_idle(network: LoopbackNetwork) -> bool:
    """Return whether no process listens on the network.

    A process may have outlived its test, or a cancelled start may have left a listener open.
    """
    probes = itertools.product((socket.SOCK_STREAM, socket.SOCK_DGRAM), (0, 1), CHECKED_HOSTS, CHECKED_PORTS)
    for kind, subnet, host, port in probes:
        with socket.socket(type=kind) as probe:
            if kind is socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"127.{network.number}.{subnet}.{host}", port))
            except OSError:
                return False
    return True
