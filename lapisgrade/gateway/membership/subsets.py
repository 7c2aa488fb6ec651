"""Subsetting: groups of proxies that report their load to each other and prefer the same servers. Pure.

The proxies of one zone are divided into small subsets, and the zone's servers are divided among the subsets.
The proxies of a subset report to each other how many requests each has in flight at each server.

Each proxy thus knows of nearly all requests at the servers that it prefers, while the reports stay within the
zone and do not grow with the fleet. All proxies divide the same membership in the same way (by hash), so
subsets need not be announced. Times are in us.
"""

import functools
from collections.abc import Sequence
from hashlib import blake2b

import msgspec

MAX_SUBSET_PROXIES = 6  # maximum number of proxies in a subset
REPORT_TTL_US = 1_500_000  # validity of a neighbour's report
REPORT_INTERVAL_US = 700_000  # interval at which an unchanged report is sent again
MAX_UNHEALTHY_SERVERS = 64  # maximum unhealthy servers in one report
MAX_REPORTED_SERVERS = 4096  # maximum servers with load in one report
MIN_UNHEALTHY_REPORTS = 2  # neighbours that must report a server as unhealthy; fewer are ignored


def rank(name: str) -> bytes:
    """Return a sort key that is the same at all proxies and independent of the name's spelling."""
    return blake2b(name.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=4096)
def preferences(name: str, count: int) -> tuple[int, ...]:
    """Return the indices 0 to `count` - 1 of subsets in the order in which this name prefers them."""
    return tuple(sorted(range(count), key=lambda index: rank(f"{name} {index}")))


def assign(names: list[str], count: int) -> list[list[str]]:
    """Assign names evenly to `count` subsets.

    The result is the same at all proxies, and one name more or fewer moves few of the others: each name goes
    to the first subset in its preferences that has capacity (consistent hashing with bounded loads: Mirrokni,
    Thorup, Zadimoghaddam, 2018). This preserves the proxies' connections: when the shares were computed from
    scratch at each change of servers, nearly all servers moved to other subsets.
    """
    subsets: list[list[str]] = [[] for _ in range(count)]
    capacity, larger = divmod(len(names), count)  # `larger` subsets may have one more name
    for name in sorted(names, key=rank):
        for index in preferences(name, count):
            size = len(subsets[index])
            if size < capacity or (size == capacity and larger):
                larger -= size == capacity
                subsets[index].append(name)
                break
    return subsets


def divide(names: list[str]) -> list[list[str]]:
    """Divide proxies evenly into the fewest subsets with at most `MAX_SUBSET_PROXIES` each."""
    return assign(names, -(-len(names) // MAX_SUBSET_PROXIES)) if names else []


class LoadReport(msgspec.Struct, frozen=True):
    """The last report of one neighbour.

    Attributes:
        received_us: When the report arrived.
        in_flight: Requests in flight by server.
        unhealthy: Servers that are unhealthy for the neighbour.
    """

    received_us: int
    in_flight: dict[str, int]
    unhealthy: frozenset[str]


class Subsets:
    """One proxy's subset and the reports of its neighbours in it.

    Attributes:
        name: Name of this proxy.
        zone: Zone of this proxy.
        neighbours: Addresses of the other proxies of the subset, by name.
        index: Index of the subset in its zone.
        count: Number of subsets in the zone.
        revision: Incremented at each update of the membership.
    """

    def __init__(self, name: str, zone: str) -> None:
        """Create a subset without neighbours, before the first membership arrives."""
        self.name = name
        self.zone = zone
        self.neighbours: dict[str, str] = {}
        self.index = 0
        self.count = 1
        self.revision = 0
        self._reports: dict[str, LoadReport] = {}  # by neighbour

    def update_members(self, live_proxies: dict[str, tuple[str, str, str]]) -> None:
        """Divide the proxies of a newer membership that are in this zone into subsets.

        Args:
            live_proxies: Address, incarnation and zone of each live proxy, by name.
        """
        self.revision += 1
        subsets = divide([name for name, member in live_proxies.items() if member[2] == self.zone])
        self.index, self.count = 0, max(1, len(subsets))
        own_subset: list[str] = []
        for index, names in enumerate(subsets):
            if self.name in names:
                self.index, own_subset = index, names
        self.neighbours = {name: live_proxies[name][0] for name in own_subset if name != self.name}
        self._reports = {name: report for name, report in self._reports.items() if name in self.neighbours}

    def on_load_report(
        self, now_us: int, sender: str, in_flight: dict[str, int], unhealthy: Sequence[str] = ()
    ) -> None:
        """Store a neighbour's report; reports of other proxies and oversized ones are ignored.

        Args:
            now_us: The current time.
            sender: Name of the proxy that sent the report.
            in_flight: The sender's requests in flight, by server.
            unhealthy: Servers that are unhealthy for the sender.
        """
        if sender in self.neighbours and len(in_flight) <= MAX_REPORTED_SERVERS:
            unhealthy_servers = frozenset(unhealthy[:MAX_UNHEALTHY_SERVERS])
            self._reports[sender] = LoadReport(now_us, in_flight, unhealthy_servers)

    def assigned_servers(self, servers: list[str]) -> set[str]:
        """Return those of the zone's `servers` that are assigned to this subset."""
        return set(assign(servers, self.count)[self.index])

    def is_load_known(self, now_us: int) -> bool:
        """Return whether all neighbours have valid reports.

        A server that is missing from a valid report has no requests in flight from that neighbour.
        """
        if not self.neighbours or not self._reports.keys() >= self.neighbours.keys():
            return False
        return all(now_us - report.received_us < REPORT_TTL_US for report in self._reports.values())

    def in_flight(self, now_us: int, server: str) -> int:
        """Return the number of requests that the neighbours have in flight at a server."""
        return sum(
            report.in_flight.get(server, 0)
            for report in self._reports.values()
            if now_us - report.received_us < REPORT_TTL_US
        )

    def unhealthy_reports(self, now_us: int, server: str) -> int:
        """Return the number of neighbours that report a server as unhealthy.

        Fewer than `MIN_UNHEALTHY_REPORTS` count as none: a single report may be false, or the server may be
        unhealthy for one caller only.
        """
        count = sum(
            server in report.unhealthy
            for report in self._reports.values()
            if now_us - report.received_us < REPORT_TTL_US
        )
        return count if count >= MIN_UNHEALTHY_REPORTS else 0
