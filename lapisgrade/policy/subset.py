"""Deterministic subsetting: the servers of a large fleet that one limiter sends to.

Limiters are grouped into rounds. Each round shuffles the servers by a hash and divides them among its
limiters, so that all servers have nearly the same number of limiters (Google's "Site Reliability
Engineering", chapter 20). A small subset lets a limiter observe each server often, over few connections.
"""

from collections.abc import Collection
from hashlib import blake2b

from lapisgrade.interface import Placement
from lapisgrade.policy.observed_server import ObservedServer

SUBSET_SIZE = 6  # servers per limiter; few enough to observe each often, enough to tolerate failures
MIN_LIMITERS_PER_SUBSET = 3.0  # with fewer limiters per subset, the load on its servers is too uneven


def choose_subset(servers: Collection[ObservedServer], placement: Placement) -> list[ObservedServer]:
    """Choose the ready servers that a limiter sends to; the next ones replace those that are not ready."""
    by_size = len(servers) // SUBSET_SIZE
    by_limiters = int(placement.limiter_count / MIN_LIMITERS_PER_SUBSET)
    subset_count = max(1, min(by_size, by_limiters))
    round_number, position = divmod(placement.limiter_index, subset_count)

    def sort_key(server: ObservedServer) -> bytes:
        return blake2b(f"{server.address} {round_number}".encode(), digest_size=8).digest()

    shuffled = sorted(servers, key=sort_key)
    start = position * len(shuffled) // subset_count
    ready = [server for server in shuffled[start:] + shuffled[:start] if server.is_ready()]
    size = -(-len(shuffled) // subset_count)  # rounded up
    return ready[:size]
