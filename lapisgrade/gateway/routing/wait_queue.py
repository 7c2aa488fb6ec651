"""The queue in which requests of one service wait for a server. Does no I/O.

The next request to be served is the one with the highest rank; among equals, the one with the earliest
deadline (earliest deadline first). Every `LOWER_RANK_TURN`-th turn goes to the earliest deadline of the ranks
below the highest one that waits. So a kind of request is served at least a quarter as often as all requests,
even if those of a higher rank alone exceed the service's capacity.

The queue is bounded in requests and in bytes. Beyond a bound, the last request in the order is removed.
"""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass

from lapisgrade.gateway.routing.request import RoutedRequest

MAX_QUEUED_REQUESTS = 512
MAX_QUEUED_BYTES = 16 << 20  # of the requests' bodies
LOWER_RANK_TURN = 4

Rank = tuple[int, int]
"""Priority of the request's tenant and of its route, 0 is the highest; the tenant's takes precedence."""


def rank_of(request: RoutedRequest) -> Rank:
    """Return the rank of a request; without a priority of its tenant, its route's takes that place."""
    route_priority, tenant = request.rule.prio, request.tenant
    if tenant is None or tenant.prio is None:
        return route_priority, route_priority
    return tenant.prio, route_priority


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits or may have to; sorted by its deadline.

    Attributes:
        rank: Its rank.
        deadline_us: When its time ends.
        sequence_number: Order of arrival among equals.
        request: The request.
        is_queued: Whether it is in the queue.
        is_displaced: Whether the queue has removed it for requests before it in the order.
        is_passed_over: Whether others are served meanwhile: its earlier attempts were at the servers with
            capacity, or it waits for its tenant's count.
    """

    rank: Rank
    deadline_us: int
    sequence_number: int
    request: RoutedRequest
    is_queued: bool = False
    is_displaced: bool = False
    is_passed_over: bool = False

    def __lt__(self, other: "QueuedRequest") -> bool:
        return (self.deadline_us, self.sequence_number) < (other.deadline_us, other.sequence_number)


class WaitQueue:
    """The requests that wait for a server of one service, in the order of service."""

    __slots__ = ("_body_bytes", "_entries", "_length", "_sequence_number", "_turn")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._entries: dict[Rank, list[QueuedRequest]] = {}  # sorted; a rank without entries has no list
        self._length = 0
        self._sequence_number = 0
        self._body_bytes = 0
        self._turn = 0  # number of requests that were served from the queue

    def __len__(self) -> int:
        return self._length

    def entry(self, request: RoutedRequest) -> QueuedRequest:
        """Return a new entry for a request, which is not in the queue yet."""
        self._sequence_number += 1
        return QueuedRequest(rank_of(request), request.deadline_us, self._sequence_number, request)

    def add(self, entry: QueuedRequest) -> list[QueuedRequest]:
        """Add a request unless it is in the queue; return those removed beyond the bounds, perhaps itself."""
        if entry.is_queued:
            return []
        entry.is_queued = True
        bisect.insort(self._entries.setdefault(entry.rank, []), entry)
        self._length += 1
        self._body_bytes += entry.request.body_bytes
        displaced = []
        while self._length > MAX_QUEUED_REQUESTS or self._body_bytes > MAX_QUEUED_BYTES:
            last = self._entries[max(self._entries)][-1]
            self.remove(last)
            last.is_displaced = True
            displaced.append(last)
        return displaced

    def remove(self, entry: QueuedRequest) -> None:
        """Remove a request if it is in the queue."""
        if not entry.is_queued:
            return
        entry.is_queued = False
        entries = self._entries[entry.rank]
        del entries[bisect.bisect_left(entries, entry)]
        if not entries:
            del self._entries[entry.rank]
        self._length -= 1
        self._body_bytes -= entry.request.body_bytes

    def serve(self, entry: QueuedRequest) -> None:
        """Remove a request that gets a server."""
        if entry.is_queued:
            self._turn += 1
            self.remove(entry)

    def next(self) -> QueuedRequest | None:
        """Return the request that is served next, or None if none waits for any server."""
        if not self._length:
            return None
        first_of_ranks = list(self._first_of_ranks())
        if len(first_of_ranks) > 1 and self._is_lower_rank_turn():
            return min(first_of_ranks[1:])
        return first_of_ranks[0] if first_of_ranks else None

    def _first_of_ranks(self) -> Iterator[QueuedRequest]:
        """Yield the first request of each rank that isn't passed over, the highest rank first."""
        for rank in sorted(self._entries):
            first = next((entry for entry in self._entries[rank] if not entry.is_passed_over), None)
            if first is not None:
                yield first

    def precedes_all(self, entry: QueuedRequest) -> bool:
        """Return whether a request, queued or not, is served next."""
        first = self.next()
        if first is None or first is entry:
            return True
        return not entry.is_queued and (
            entry.rank < first.rank or (entry.rank == first.rank and entry < first)
        )

    def turns_before(self, entry: QueuedRequest) -> int:
        """Return the number of requests that are served before this one if no others arrive."""
        earlier = {
            rank: bisect.bisect_left(entries, entry) if rank >= entry.rank else len(entries)
            for rank, entries in self._entries.items()
        }
        highest = min((*self._entries, entry.rank))
        lower_ranks = [rank for rank in self._entries if rank > highest]
        by_rank = sum(count for rank, count in earlier.items() if rank <= entry.rank)
        if lower_ranks:
            by_rank += by_rank // (LOWER_RANK_TURN - 1)
        if entry.rank == highest:
            return min(self._length, by_rank)
        by_deadline = sum(bisect.bisect_left(self._entries[rank], entry) for rank in lower_ranks)
        return min(self._length, by_rank, (by_deadline + 1) * LOWER_RANK_TURN - 1)

    def _is_lower_rank_turn(self) -> bool:
        return self._turn % LOWER_RANK_TURN == LOWER_RANK_TURN - 1
