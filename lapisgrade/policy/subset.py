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
    """Choose the ready servers that a limiter sends to."""
    by_size = len(servers) // SUBSET_SIZE
    by_limiters = int(placement.limiter_count / MIN_LIMITERS_PER_SUBSET)
    subsets = max(1, min(by_size, by_limiters))
    shuffle, position = divmod(placement.limiter_index, subsets)

    def shuffled_position(server: ObservedServer) -> bytes:
        return blake2b(f"{server.address} {shuffle}".encode(), digest_size=8).digest()

    order = sorted(servers, key=shuffled_position)
    start = position * len(order) // subsets
    ready = [server for server in order[start:] + order[:start] if server.is_ready()]
    size = -(-len(order) // subsets)  # rounded up
    return ready[:size]
