"""Which servers of a large fleet one limiter sends to (deterministic subsetting).

Limiters are taken in rounds; each round shuffles the servers by a hash and shares them out, so that every
server has nearly as many limiters as any other (Google's "Site Reliability Engineering", chapter 20). Small
enough a subset is known well by its limiter, and connections stay few.
"""

from collections.abc import Collection
from hashlib import blake2b

from lapisgrade.interface import Placement
from lapisgrade.policy.observed_server import ObservedServer

SUBSET_SIZE = 6  # servers that one limiter of many sends to; few enough to know each, enough to lose some
MIN_LIMITERS_PER_SUBSET = 3.0  # limiters that share each subset; fewer are too uneven a load on its servers


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
