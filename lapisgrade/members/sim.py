"""A network of `Members` in simulated time: loss, duplicates, delay and reordering, cuts, stops, restarts.

For the tests and the laboratory; the cores are the real ones. One seeded `random.Random` draws everything.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapisgrade.members.core import SECOND, Members, Message, Pace, Send, State


@dataclass(slots=True)
class Wire:
    """How datagrams go. Shares from 0 to 1, times in us."""

    lost: float = 0.0
    twice: float = 0.0
    delay_us: int = 500
    jitter_us: int = 500


@dataclass(slots=True)
class Node:
    """One limiter: its core while it lives, what waits for it while it is stopped."""

    name: str
    core: Members | None = None
    stopped: bool = False
    lives: int = 0
    waiting: list = field(default_factory=list)


class Network:
    """`add` members, `run` for a while, and `kill`, `stop`, `go_on`, `cut` and `heal` them in between."""

    def __init__(self, seed: int, wire: Wire | None = None, pace: Pace | None = None) -> None:
        self.random, self.wire, self.pace = Random(seed), wire or Wire(), pace or Pace()
        self.now = SECOND
        self.nodes: dict[str, Node] = {}
        self.cuts: Callable[[str, str], bool] = lambda source, to: False
        self.sent: dict[str, int] = {}
        self._events: list = []
        self._number = 0

    # ---- what happens to members

    def add(self, name: str, seeds: list[str]) -> Members:
        """A new process of that name; it meets the members named."""
        node = self.nodes.setdefault(name, Node(name))
        node.lives, node.stopped, node.waiting = node.lives + 1, False, []
        chance = Random(self.random.getrandbits(64))
        node.core = Members(name, name, self.now // 1000, self.now, chance, self.pace)
        self._out(node, node.core.join([each for each in seeds if each != name]))
        self._wake(node)
        return node.core

    def kill(self, name: str) -> None:
        self.nodes[name].core = None

    def stop(self, name: str) -> None:
        self.nodes[name].stopped = True

    def go_on(self, name: str) -> None:
        node = self.nodes[name]
        node.stopped = False
        waiting, node.waiting = node.waiting, []
        for source, message in waiting:
            self._take(node, source, message)
        self._wake(node)

    def part(self, *groups: list[str]) -> None:
        """Nothing passes between members of different groups."""
        of = {name: i for i, group in enumerate(groups) for name in group}
        self.cuts = lambda source, to: of.get(source) != of.get(to)

    def heal(self) -> None:
        self.cuts = lambda source, to: False

    # ---- time

    def run(self, us: int, look: Callable[[], bool] | None = None) -> int | None:
        """Go on for `us`, or until `look()` is true after an event; how long that took, None where never."""
        began, until = self.now, self.now + us
        while self._events and self._events[0][0] <= until:
            self.now, _, act, *args = heapq.heappop(self._events)
            act(*args)
            if look is not None and look():
                return self.now - began
        self.now = until
        return None

    def _at(self, when: int, act: Callable, *args) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, act, *args))

    def _wake(self, node: Node) -> None:
        if node.core is not None and not node.stopped:
            self._at(max(self.now, node.core.wakes_us), self._due, node, node.lives)

    def _due(self, node: Node, life: int) -> None:
        core = node.core
        if core is None or node.stopped or node.lives != life or core.wakes_us > self.now:
            return
        self._out(node, core.due(self.now))
        self._wake(node)

    def _out(self, node: Node, sends: list[Send]) -> None:
        wire, random = self.wire, self.random
        for each in sends:
            self.sent[node.name] = self.sent.get(node.name, 0) + 1
            for _ in range(2 if random.random() < wire.twice else 1):
                if random.random() >= wire.lost:
                    delay = wire.delay_us + round(random.random() * wire.jitter_us)
                    self._at(self.now + delay, self._arrive, node.name, each.to, each.message)

    def _arrive(self, source: str, to: str, message: Message) -> None:
        node = self.nodes.get(to)
        if node is None or node.core is None or self.cuts(source, to):
            return
        if node.stopped:
            node.waiting.append((source, message))  # the socket's buffer holds it
            del node.waiting[:-200]
        else:
            self._take(node, source, message)

    def _take(self, node: Node, source: str, message: Message) -> None:
        self._out(node, node.core.heard(self.now, source, message))
        self._wake(node)

    # ---- what is seen

    def live(self) -> list[Node]:
        return [each for each in self.nodes.values() if each.core is not None and not each.stopped]

    def agree(self, names: set[str], among: list[str] | None = None) -> bool:
        """Whether every live member (of `among`) holds just these to live."""
        return all(
            set(each.core.alive()) == names for each in self.live() if among is None or each.name in among
        )

    def held_dead(self, name: str) -> list[str]:
        """Who holds this member dead."""
        return [
            each.name
            for each in self.live()
            if each.name != name and name in each.core.members and each.core.members[name].state is State.DEAD
        ]
