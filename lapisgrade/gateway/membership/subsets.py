"""Which proxies report their load to each other, and which servers they prefer (subsetting). Pure.

The proxies of one zone are divided into subsets of a few, the zone's servers are shared out among the
subsets, and the proxies of a subset tell each other how many requests each has in flight at each server.

So each proxy sees nearly all requests at the servers that it prefers, and the reports stay in the zone and do
not grow with the fleet. All proxies divide the same list of live proxies in the same way (by hash), so no
subset need be announced.
"""

import functools
from collections.abc import Sequence
from hashlib import blake2b

import msgspec

MAX_SUBSET_PROXIES = 6  # proxies that report to each other
REPORT_TTL_US = 1_500_000  # that a neighbour's report holds
REPORT_INTERVAL_US = 700_000  # after which an unchanged report is sent again
MAX_UNHEALTHY_SERVERS = 64  # that one neighbour's report may name
MAX_REPORTED_SERVERS = 4096  # whose load one neighbour's report may name
MIN_UNHEALTHY_REPORTS = 2  # neighbours that must report a server; a lone one says nothing


def rank(name: str) -> bytes:
    """A name's place in an order that is the same at all proxies and says nothing of the name."""
    return blake2b(name.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=4096)
def preferences(name: str, count: int) -> tuple[int, ...]:
    """The subsets 0 to `count` - 1, the one that this name prefers first."""
    return tuple(sorted(range(count), key=lambda index: rank(f"{name} {index}")))


def assign(names: list[str], count: int) -> list[list[str]]:
    """Share names out evenly among `count` subsets.

    The result is the same at all proxies, and one name more or fewer moves few of the others: each goes to
    the subset that it prefers and that has room (consistent hashing with bounded loads: Mirrokni, Thorup,
    Zadimoghaddam, 2018). Guards the connections that proxies keep: with shares cut anew at each server's
    coming or going, nearly all of them were others' after it.
    """
    subsets: list[list[str]] = [[] for _ in range(count)]
    capacity, larger = divmod(len(names), count)  # so many subsets may hold one name more
    for name in sorted(names, key=rank):
        for index in preferences(name, count):
            size = len(subsets[index])
            if size < capacity or (size == capacity and larger):
                larger -= size == capacity
                subsets[index].append(name)
                break
    return subsets


def divide(names: list[str]) -> list[list[str]]:
    """Divide proxies evenly into as few subsets as have `MAX_SUBSET_PROXIES` at most."""
    return assign(names, -(-len(names) // MAX_SUBSET_PROXIES)) if names else []


class LoadReport(msgspec.Struct, frozen=True):
    """What one neighbour has reported."""

    received_us: int
    in_flight: dict[str, int]  # requests by server
    unhealthy: frozenset[str]  # servers that answer it badly


class Subsets:
    """One proxy's subset, and what its neighbours in it report."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.neighbours: dict[str, str] = {}  # address by name
        self.index = 0  # which subset of the zone's is this proxy's
        self.count = 1  # subsets of the zone
        self.revision = 0  # of the membership that the subsets were divided by
        self._reports: dict[str, LoadReport] = {}  # by neighbour

    def update_members(self, live_proxies: dict[str, tuple[str, str, str]]) -> None:
        """Divide a newer list of live proxies."""
        self.revision += 1
        subsets = divide([name for name, member in live_proxies.items() if member[2] == self.zone])
        self.index, self.count = 0, max(1, len(subsets))
        own: list[str] = []
        for index, names in enumerate(subsets):
            if self.name in names:
                self.index, own = index, names
        self.neighbours = {name: live_proxies[name][0] for name in own if name != self.name}
        self._reports = {name: report for name, report in self._reports.items() if name in self.neighbours}

    def on_load_report(
        self, now_us: int, sender: str, in_flight: dict[str, int], unhealthy: Sequence[str] = ()
    ) -> None:
        """Take in a neighbour's report; anybody else's is not kept."""
        if sender in self.neighbours and len(in_flight) <= MAX_REPORTED_SERVERS:
            unhealthy_servers = frozenset(unhealthy[:MAX_UNHEALTHY_SERVERS])
            self._reports[sender] = LoadReport(now_us, in_flight, unhealthy_servers)

    def assigned_servers(self, servers: list[str]) -> set[str]:
        """Those of the zone's servers that are this subset's."""
        return set(assign(servers, self.count)[self.index])

    def is_load_known(self, now_us: int) -> bool:
        """Whether all neighbours have reported of late: what is not reported is not there."""
        if not self.neighbours or not self._reports.keys() >= self.neighbours.keys():
            return False
        return all(now_us - report.received_us < REPORT_TTL_US for report in self._reports.values())

    def in_flight(self, now_us: int, server: str) -> int:
        """Requests that the neighbours have in flight at a server."""
        return sum(
            report.in_flight.get(server, 0)
            for report in self._reports.values()
            if now_us - report.received_us < REPORT_TTL_US
        )

    def unhealthy_reports(self, now_us: int, server: str) -> int:
        """How many neighbours report that a server answers them badly.

        One alone counts as none (guards against a lie, and against a server that is bad for one caller only).
        """
        count = sum(
            server in report.unhealthy
            for report in self._reports.values()
            if now_us - report.received_us < REPORT_TTL_US
        )
        return count if count >= MIN_UNHEALTHY_REPORTS else 0
