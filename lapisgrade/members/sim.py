"""A network of `Members` in simulated time.

It loses, duplicates, delays and reorders messages; members are partitioned, stopped and restarted.
For the tests and the laboratory; the cores are the real ones. One seeded `random.Random` draws everything.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lapisgrade.members.core import Members
from lapisgrade.members.failure_detector import Send
from lapisgrade.members.messages import Message
from lapisgrade.members.timing import SECOND, Timing

MAX_BUFFERED = 200  # messages that a stopped process's socket holds


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
    incarnation: int = 0  # processes of this name so far
    buffered: list[tuple[str, Message]] = field(default_factory=list)

    def running_core(self) -> Members:
        """Return the core of a node that lives."""
        assert self.core is not None
        return self.core


class Network:
    """`add` members, `run` for a while, and `kill`, `stop`, `go_on`, `part` and `heal` them in between."""

    def __init__(self, seed: int, wire: Wire | None = None, timing: Timing | None = None) -> None:
        self.random = Random(seed)
        self.wire = wire or Wire()
        self.timing = timing or Timing()
        self.now = SECOND
        self.nodes: dict[str, Node] = {}
        self.cuts: Callable[[str, str], bool] = lambda source, to: False
        self.sent: dict[str, int] = {}  # messages by sender
        self._events: list[tuple[Any, ...]] = []  # time, number, callable and its arguments
        self._number = 0

    # ---- what happens to members

    def add(self, name: str, seeds: list[str]) -> Members:
        """Start a new process of that name; it contacts the members named."""
        node = self.nodes.setdefault(name, Node(name))
        node.incarnation += 1
        node.stopped = False
        node.buffered = []
        random = Random(self.random.getrandbits(64))
        core = Members(name, name, self.now // 1000, self.now, random, self.timing)
        node.core = core
        self.deliver(node, core.join([each for each in seeds if each != name]))
        self._wake(node)
        return core

    def kill(self, name: str) -> None:
        """End the process."""
        self.nodes[name].core = None

    def stop(self, name: str) -> None:
        """Suspend the process; what is sent to it waits."""
        self.nodes[name].stopped = True

    def go_on(self, name: str) -> None:
        """Resume a suspended process."""
        node = self.nodes[name]
        node.stopped = False
        buffered = node.buffered
        node.buffered = []
        for source, message in buffered:
            self._receive(node, source, message)
        self._wake(node)

    def part(self, *groups: list[str]) -> None:
        """Let nothing pass between members of different groups."""
        of = {name: i for i, group in enumerate(groups) for name in group}
        self.cuts = lambda source, to: of.get(source) != of.get(to)

    def heal(self) -> None:
        """Let everything pass."""
        self.cuts = lambda source, to: False

    # ---- time

    def run(self, us: int, is_over: Callable[[], bool] | None = None) -> int | None:
        """Go on for `us`, or until `is_over()` after an event.

        Returns:
            The us that it took until `is_over()`; None where it never was.
        """
        began = self.now
        until = self.now + us
        while self._events and self._events[0][0] <= until:
            self.now, _, act, *args = heapq.heappop(self._events)
            act(*args)
            if is_over is not None and is_over():
                return self.now - began
        self.now = until
        return None

    def _at(self, when: int, act: Callable[..., None], *args: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, act, *args))

    def _wake(self, node: Node) -> None:
        if node.core is not None and not node.stopped:
            self._at(max(self.now, node.core.wakes_us), self._on_timer, node, node.incarnation)

    def _on_timer(self, node: Node, incarnation: int) -> None:
        core = node.core
        if core is None or node.stopped or node.incarnation != incarnation or core.wakes_us > self.now:
            return
        self.deliver(node, core.on_timer(self.now))
        self._wake(node)

    def deliver(self, node: Node, sends: list[Send]) -> None:
        """Carry what a node sends, as the wire does."""
        wire, random = self.wire, self.random
        for send in sends:
            self.sent[node.name] = self.sent.get(node.name, 0) + 1
            for _ in range(2 if random.random() < wire.twice else 1):
                if random.random() >= wire.lost:
                    delay = wire.delay_us + round(random.random() * wire.jitter_us)
                    self._at(self.now + delay, self._arrive, node.name, send.to, send.message)

    def _arrive(self, source: str, to: str, message: Message) -> None:
        node = self.nodes.get(to)
        if node is None or node.core is None or self.cuts(source, to):
            return
        if node.stopped:
            node.buffered.append((source, message))
            del node.buffered[:-MAX_BUFFERED]
        else:
            self._receive(node, source, message)

    def _receive(self, node: Node, source: str, message: Message) -> None:
        self.deliver(node, node.running_core().on_message(self.now, source, message))
        self._wake(node)

    # ---- what is seen

    def live(self) -> list[Node]:
        """Return the nodes that run."""
        return [each for each in self.nodes.values() if each.core is not None and not each.stopped]

    def agree(self, names: set[str], among: list[str] | None = None) -> bool:
        """Return whether every live member (of `among`) holds just these to live."""
        return all(
            set(each.running_core().alive()) == names
            for each in self.live()
            if among is None or each.name in among
        )

    def held_dead(self, name: str) -> list[str]:
        """Return who holds this member dead."""
        return [
            each.name for each in self.live() if each.name != name and each.running_core().holds_dead(name)
        ]
