"""Partial views shuffled between neighbours, in simulated time."""

import heapq
from random import Random

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.membership.gossip import CODEC
from lapisgrade.gateway.membership.partial_view import (
    MAX_CONTROLLERS,
    MAX_VIEW_SIZE,
    ControlHint,
    Neighbour,
    PartialView,
    Shuffle,
)


class GossipSimulation:
    """Proxies that shuffle over a lossy datagram network; each starts with three seeds from its settings."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random, self.now, self._scheduled, self.events = Random(seed), 0, 0, []
        self.network_partition: dict[str, int] = {}  # network partition by proxy; datagrams stay within one
        self.partial_views: dict[str, PartialView] = {}
        self.sent = self.bytes = 0
        names = [f"10.0.{number // 250}.{number % 250}:7661" for number in range(count)]
        for name in names:
            self.start(name, names[:3])

    def start(self, name: str, seeds: list[str]) -> None:
        partial_view = self.partial_views[name] = PartialView(
            name, "z", Random(self.random.random()), self.now
        )
        partial_view.add_addresses(seeds)
        self.network_partition.setdefault(name, 0)
        self.schedule(0, name, None, "")

    def schedule(self, delay_us: int, name: str, shuffle: Shuffle | None, source: str) -> None:
        """Schedule the arrival of a shuffle from `source` at a proxy; None for a call of its timer."""
        self._scheduled += 1
        heapq.heappush(self.events, (self.now + delay_us, self._scheduled, name, shuffle, source))

    def run(self, seconds: float) -> None:
        end_us = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= end_us:
            self.now, _, name, shuffle, source = heapq.heappop(self.events)
            partial_view = self.partial_views.get(name)
            if partial_view is None:
                continue
            commands = (
                partial_view.on_timer(self.now)
                if shuffle is None
                else partial_view.on_shuffle(source, shuffle)
            )
            if shuffle is None:
                self.schedule(max(1, partial_view.next_shuffle_us - self.now), name, None, "")
            for command in commands:
                self.sent += 1
                self.bytes += len(CODEC.encode(name, 0, command.message)) + 28
                if (
                    self.random.random() > 0.02
                    and self.network_partition.get(command.to) == self.network_partition[name]
                ):
                    self.schedule(self.random.randrange(300, 3000), command.to, command.message, name)
        self.now = end_us

    def reachable(self, start: str) -> set[str]:
        """Return the running proxies that a path of neighbours connects to `start`."""
        reachable_names, pending = {start}, [start]
        while pending:
            for neighbour in self.partial_views[pending.pop()].neighbours():
                if neighbour in self.partial_views and neighbour not in reachable_names:
                    reachable_names.add(neighbour)
                    pending.append(neighbour)
        return reachable_names


def test_all_proxies_are_connected_within_seconds_at_a_constant_cost_per_proxy() -> None:
    bytes_per_proxy_s = []
    for count in (20, 300):
        simulation = GossipSimulation(count)
        simulation.run(6)
        for name in simulation.partial_views:
            assert len(simulation.reachable(name)) == count
        simulation.sent = simulation.bytes = 0
        simulation.run(10)
        bytes_per_proxy_s.append(simulation.bytes / count / 10)
        view_counts = [
            sum(name in each.view for each in simulation.partial_views.values())
            for name in simulation.partial_views
        ]
        assert min(view_counts) > 0
        assert max(view_counts) < 3 * MAX_VIEW_SIZE  # no proxy is the neighbour of most others
    assert bytes_per_proxy_s[1] < 1.2 * bytes_per_proxy_s[0]


def test_terminated_proxies_are_dropped_and_the_others_stay_connected() -> None:
    simulation = GossipSimulation(120)
    simulation.run(8)
    for name in list(simulation.partial_views)[::2]:
        del simulation.partial_views[name]
    simulation.run(30)
    live = set(simulation.partial_views)
    assert simulation.reachable(next(iter(live))) & live == live
    terminated_count = sum(
        name not in live for each in simulation.partial_views.values() for name in each.view
    )
    assert terminated_count < 0.05 * sum(len(each.view) for each in simulation.partial_views.values())


def test_one_added_address_reconnects_the_halves_of_a_partition() -> None:
    simulation = GossipSimulation(40)
    names = list(simulation.partial_views)
    simulation.run(5)
    for name in names[:20]:
        simulation.network_partition[name] = 1
    simulation.run(40)
    assert simulation.reachable(names[0]) & set(names[20:]) == set()
    simulation.network_partition = dict.fromkeys(names, 0)
    simulation.partial_views[names[0]].add_addresses([names[30]])
    simulation.run(10)
    assert len(simulation.reachable(names[0])) == 40


def test_entries_and_hints_of_a_faulty_neighbour_are_bounded() -> None:
    partial_view = PartialView("10.0.0.1:1", "z", Random(1), 0)
    many_entries = [Neighbour(f"10.1.0.{number}:1", "z") for number in range(200)]
    partial_view.on_shuffle("10.0.0.9:1", Shuffle(False, ControlHint(), many_entries))
    assert len(partial_view.view) <= 6
    invalid_entries = [
        Neighbour("nobody", "z"),
        Neighbour("10.0.0.2:99999", "z"),
        Neighbour("10.0.0.3:1", "z" * 65),
        Neighbour("10.0.0.4:1", "z", -1),
    ]
    partial_view.view.clear()
    partial_view.on_shuffle(
        "10.0.0.9:1",
        Shuffle(True, ControlHint(9, "here", ["10.0.0.2:1"] * (MAX_CONTROLLERS + 1)), invalid_entries),
    )
    assert (partial_view.view, partial_view.control_hint) == ({}, ControlHint())
