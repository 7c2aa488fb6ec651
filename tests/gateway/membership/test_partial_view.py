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


class World:
    """Proxies that swap over lossy datagrams; each knows three seeds at its start, as settings name them."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random, self.now, self._order, self.events = Random(seed), 0, 0, []
        self.side: dict[str, int] = {}  # who hears whom: those of one side
        self.partial_view: dict[str, PartialView] = {}
        self.sent = self.bytes = 0
        names = [f"10.0.{each // 250}.{each % 250}:7661" for each in range(count)]
        for name in names:
            self.start(name, names[:3])

    def start(self, name: str, seeds: list[str]) -> None:
        partial_view = self.partial_view[name] = PartialView(
            name, "z", Random(self.random.random()), self.now
        )
        partial_view.add_addresses(seeds)
        self.side.setdefault(name, 0)
        self.at(0, name, None, "")

    def at(self, wait: int, name: str, swap: Shuffle | None, source: str) -> None:
        self._order += 1
        heapq.heappush(self.events, (self.now + wait, self._order, name, swap, source))

    def run(self, seconds: float) -> None:
        ends = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= ends:
            self.now, _, name, swap, source = heapq.heappop(self.events)
            partial_view = self.partial_view.get(name)
            if partial_view is None:
                continue
            sends = partial_view.on_timer(self.now) if swap is None else partial_view.on_shuffle(source, swap)
            if swap is None:
                self.at(max(1, partial_view.next_shuffle_us - self.now), name, None, "")
            for each in sends:
                self.sent += 1
                self.bytes += len(CODEC.encode(name, 0, each.message)) + 28
                if self.random.random() > 0.02 and self.side.get(each.to) == self.side[name]:
                    self.at(self.random.randrange(300, 3000), each.to, each.message, name)
        self.now = ends

    def reached(self, start: str) -> set[str]:
        found, look = {start}, [start]
        while look:
            for each in self.partial_view[look.pop()].neighbours():
                if each in self.partial_view and each not in found:
                    found.add(each)
                    look.append(each)
        return found


def test_all_find_each_other_within_seconds_at_a_cost_that_does_not_grow() -> None:
    costs = []
    for count in (20, 300):
        world = World(count)
        world.run(6)
        for name in world.partial_view:
            assert len(world.reached(name)) == count
        world.sent = world.bytes = 0
        world.run(10)
        costs.append(world.bytes / count / 10)
        known = [
            sum(name in each.view for each in world.partial_view.values()) for name in world.partial_view
        ]
        assert min(known) > 0
        assert max(known) < 3 * MAX_VIEW_SIZE  # nobody is everybody's neighbour
    assert costs[1] < 1.2 * costs[0]


def test_those_that_die_are_forgotten_and_the_others_stay_connected() -> None:
    world = World(120)
    world.run(8)
    for name in list(world.partial_view)[::2]:
        del world.partial_view[name]
    world.run(30)
    live = set(world.partial_view)
    assert world.reached(next(iter(live))) & live == live
    dead = sum(name not in live for each in world.partial_view.values() for name in each.view)
    assert dead < 0.05 * sum(len(each.view) for each in world.partial_view.values())


def test_halves_that_were_cut_meet_again_by_one_introduction() -> None:
    world = World(40)
    names = list(world.partial_view)
    world.run(5)
    for name in names[:20]:
        world.side[name] = 1
    world.run(40)
    assert world.reached(names[0]) & set(names[20:]) == set()
    world.side = dict.fromkeys(names, 0)
    world.partial_view[names[0]].add_addresses([names[30]])
    world.run(10)
    assert len(world.reached(names[0])) == 40


def test_a_neighbour_that_lies_is_bounded() -> None:
    partial_view = PartialView("10.0.0.1:1", "z", Random(1), 0)
    flood = [Neighbour(f"10.1.0.{each}:1", "z") for each in range(200)]
    partial_view.on_shuffle("10.0.0.9:1", Shuffle(False, ControlHint(), flood))
    assert len(partial_view.view) <= 6
    strange = [
        Neighbour("nobody", "z"),
        Neighbour("10.0.0.2:99999", "z"),
        Neighbour("10.0.0.3:1", "z" * 65),
        Neighbour("10.0.0.4:1", "z", -1),
    ]
    partial_view.view.clear()
    partial_view.on_shuffle(
        "10.0.0.9:1",
        Shuffle(True, ControlHint(9, "here", ["10.0.0.2:1"] * (MAX_CONTROLLERS + 1)), strange),
    )
    assert (partial_view.view, partial_view.control_hint) == ({}, ControlHint())
