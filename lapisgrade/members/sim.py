"""A network of `Members` in simulated time.

It loses, duplicates, delays and reorders messages; members are partitioned, paused and restarted. Tests and
the laboratory use it with the production cores. All randomness comes from one seeded `random.Random`.
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

MAX_BUFFERED_MESSAGES = 200  # buffered for a paused process, as by its socket; the oldest are dropped


@dataclass(slots=True)
class LinkBehavior:
    """Loss, duplication and delay of datagrams. Ratios from 0 to 1, times in us."""

    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0
    delay_us: int = 500  # minimum
    jitter_us: int = 500  # maximum random addition to the delay; reorders datagrams


@dataclass(slots=True)
class Node:
    """One limiter: its core while its process runs, and the messages buffered while it is paused."""

    name: str
    core: Members | None = None
    is_paused: bool = False
    process_count: int = 0  # processes started under this name so far
    buffered: list[tuple[str, Message]] = field(default_factory=list)

    def running_core(self) -> Members:
        """Return the core of a node whose process runs."""
        assert self.core is not None
        return self.core


class Network:
    """A simulated network of members, in which the name of a node is also its address.

    `add` starts members, `run` advances time; `kill`, `pause`, `resume`, `partition`, `heal` inject faults.
    """

    def __init__(self, seed: int, link: LinkBehavior | None = None, timing: Timing | None = None) -> None:
        """Start an empty network.

        Args:
            seed: Seed of all randomness.
            link: Loss, duplication and delay of datagrams between any two nodes.
            timing: Protocol parameters of all members.
        """
        self.random = Random(seed)
        self.link = link or LinkBehavior()
        self.timing = timing or Timing()
        self.now_us = SECOND
        self.nodes: dict[str, Node] = {}  # by name
        # Returns whether datagrams from the first node to the second are dropped.
        self.is_cut: Callable[[str, str], bool] = lambda source, to: False
        self.sent: dict[str, int] = {}  # number of messages sent, by sender
        self._events: list[tuple[Any, ...]] = []  # heap of (time, sequence number, callable, *arguments)
        self._event_count = 0

    # ---- processes and partitions

    def add(self, name: str, seeds: list[str]) -> Members:
        """Start a new process under `name`; it joins through `seeds`."""
        node = self.nodes.setdefault(name, Node(name))
        node.process_count += 1
        node.is_paused = False
        node.buffered = []
        random = Random(self.random.getrandbits(64))
        # The incarnation is the start time in ms, as in `Host.open`.
        core = Members(name, name, self.now_us // 1000, self.now_us, random, self.timing)
        node.core = core
        self.deliver(node, core.join([each for each in seeds if each != name]))
        self._schedule_wakeup(node)
        return core

    def kill(self, name: str) -> None:
        """Terminate the process without notice."""
        self.nodes[name].core = None

    def pause(self, name: str) -> None:
        """Pause the process; messages to it are buffered."""
        self.nodes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resume a paused process and deliver its buffered messages."""
        node = self.nodes[name]
        node.is_paused = False
        buffered = node.buffered
        node.buffered = []
        for source, message in buffered:
            self._receive(node, source, message)
        self._schedule_wakeup(node)

    def partition(self, *groups: list[str]) -> None:
        """Drop all messages between members of different groups."""
        group_of = {name: i for i, group in enumerate(groups) for name in group}
        self.is_cut = lambda source, to: group_of.get(source) != group_of.get(to)

    def heal(self) -> None:
        """Remove all partitions."""
        self.is_cut = lambda source, to: False

    # ---- time

    def run(self, duration_us: int, is_over: Callable[[], bool] | None = None) -> int | None:
        """Run for `duration_us`, or until `is_over()` holds after an event.

        Returns:
            Time in us until `is_over()` held; None if it never did.
        """
        started_us = self.now_us
        end_us = self.now_us + duration_us
        while self._events and self._events[0][0] <= end_us:
            self.now_us, _, callback, *args = heapq.heappop(self._events)
            callback(*args)
            if is_over is not None and is_over():
                return self.now_us - started_us
        self.now_us = end_us
        return None

    def _schedule(self, at_us: int, callback: Callable[..., None], *args: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_us, self._event_count, callback, *args))

    def _schedule_wakeup(self, node: Node) -> None:
        """Schedule the timer of a running node at the next wake-up of its core."""
        if node.core is not None and not node.is_paused:
            self._schedule(
                max(self.now_us, node.core.next_wakeup_us), self._on_timer, node, node.process_count
            )

    def _on_timer(self, node: Node, process_count: int) -> None:
        """Run the core's timer, unless the process has ended or is paused, or the wake-up was postponed.

        Args:
            node: The node.
            process_count: The node's `process_count` when the timer was set.
        """
        core = node.core
        if (
            core is None
            or node.is_paused
            or node.process_count != process_count
            or core.next_wakeup_us > self.now_us
        ):
            return
        self.deliver(node, core.on_timer(self.now_us))
        self._schedule_wakeup(node)

    def deliver(self, node: Node, sends: list[Send]) -> None:
        """Schedule delivery of the messages of a node, subject to loss, duplication and delay."""
        link, random = self.link, self.random
        for send in sends:
            self.sent[node.name] = self.sent.get(node.name, 0) + 1
            for _ in range(2 if random.random() < link.duplication_ratio else 1):
                if random.random() >= link.loss_ratio:
                    delay_us = link.delay_us + round(random.random() * link.jitter_us)
                    self._schedule(self.now_us + delay_us, self._arrive, node.name, send.to, send.message)

    def _arrive(self, source: str, to: str, message: Message) -> None:
        """Pass a message to the node `to`; buffer it if the node is paused, drop it if it is unreachable."""
        node = self.nodes.get(to)
        if node is None or node.core is None or self.is_cut(source, to):
            return
        if node.is_paused:
            node.buffered.append((source, message))
            del node.buffered[:-MAX_BUFFERED_MESSAGES]
        else:
            self._receive(node, source, message)

    def _receive(self, node: Node, source: str, message: Message) -> None:
        self.deliver(node, node.running_core().on_message(self.now_us, source, message))
        self._schedule_wakeup(node)

    # ---- queries

    def live(self) -> list[Node]:
        """Return the nodes that run and are not paused."""
        return [each for each in self.nodes.values() if each.core is not None and not each.is_paused]

    def agree(self, names: set[str], among: list[str] | None = None) -> bool:
        """Return whether every live member (of `among`) considers exactly `names` alive."""
        return all(
            set(each.running_core().alive()) == names
            for each in self.live()
            if among is None or each.name in among
        )

    def considered_dead_by(self, name: str) -> list[str]:
        """Return the names of the live members that consider the member `name` dead."""
        return [
            each.name
            for each in self.live()
            if each.name != name and each.running_core().considers_dead(name)
        ]
