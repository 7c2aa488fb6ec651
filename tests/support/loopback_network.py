"""Reservation of loopback networks, for tests whose machines listen at fixed ports.

A deployment's ports are the same on each machine, so such a test gives each machine an address of its own in
127.N.0.0/16 and needs an N that nobody else uses meanwhile: no other test of this worker, no other worker of
this run, no other run on the same host. A reservation is a bound socket, which the kernel takes back when its
process ends, however it ends.
"""

import contextlib
import itertools
import os
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

# The laboratory's plays and `make system-demo` use networks from 127.77 on, by default.
FIRST_NETWORK = 1
MAX_NETWORKS = 75
RESERVATION_PORT = 8999  # below the ports that the system hands out itself
# A server's port; a machine's HTTP, readiness and control port; and those that machines call each other at.
CHECKED_PORTS = (8080, 8405, 8406, 8407, *range(7660, 7676))
CHECKED_HOSTS = range(1, 10)
RETRY_INTERVAL_S = 0.1

_next_network = itertools.count(os.getpid() * 13)  # processes that start together begin apart


@dataclass(frozen=True, slots=True)
class LoopbackNetwork:
    """127.`number`.0.0/16, reserved for one test."""

    number: int

    def host(self, number: int) -> str:
        """The address of the machine of that number."""
        return f"127.{self.number}.0.{number}"


class NoFreeNetworkError(Exception):
    """Every loopback network is reserved or in use."""


@contextlib.contextmanager
def reserve_loopback_network() -> Iterator[LoopbackNetwork]:
    """Reserve a network that nobody uses, until the context ends.

    Raises:
        NoFreeNetworkError: All of them are reserved or in use.
    """
    for _ in range(MAX_NETWORKS):
        network = LoopbackNetwork(FIRST_NETWORK + next(_next_network) % MAX_NETWORKS)
        with _reservation(network) as is_reserved:
            if is_reserved:
                yield network
                return
    raise NoFreeNetworkError(f"none of {MAX_NETWORKS} loopback networks is free")


@contextlib.contextmanager
def wait_for_loopback_network(number: int, within_s: float = 120.0) -> Iterator[LoopbackNetwork]:
    """Reserve the one network that stored data names, once nobody uses it, until the context ends.

    Raises:
        NoFreeNetworkError: It was in use all the time.
    """
    network, deadline = LoopbackNetwork(number), time.monotonic() + within_s
    while time.monotonic() < deadline:
        with _reservation(network) as is_reserved:
            if is_reserved:
                yield network
                return
        time.sleep(RETRY_INTERVAL_S)
    raise NoFreeNetworkError(f"127.{number} was in use for {within_s:g} s")


@contextlib.contextmanager
def _reservation(network: LoopbackNetwork) -> Iterator[bool]:
    """Whether the network could be reserved; it is released when the context ends."""
    with socket.socket() as reservation:
        try:
            reservation.bind((f"127.{network.number}.255.254", RESERVATION_PORT))
        except OSError:
            yield False
        else:
            yield _is_idle(network)


def _is_idle(network: LoopbackNetwork) -> bool:
    """Whether nobody listens there.

    (Guards against processes that outlived their test, and listeners that a cancelled start left open.)
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
