"""The thin shell round the core: one socket, one timer, and whoever wants to know what changed."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from lapisgrade.members.core import Members, Message, News, Pace, Send
from lapisgrade.peers import frame
from lapisgrade.peers.udp import Udp

CODEC = frame.Codec(Message)


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Host:
    """`await open(...)`, then `core.alive()`; `changed(news)` is called for each change, `close()` at the
    end."""

    def __init__(
        self,
        name: str,
        say: Callable[[str], None],
        changed: Callable[[News], None] = lambda news: None,
        seed: int = 0,
        pace: Pace | None = None,
    ) -> None:
        self.name, self._changed, self._pace = name, changed, pace
        self._random = Random(seed)
        self.udp = Udp(name, CODEC, lambda: self.core.incarnation if self.core else 0, self._heard, say)
        self.core: Members | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, host: str, port: int, seeds: list[str], reached_at: str = "") -> str:
        """Listen and meet the members at `seeds`; the address that others are told (`reached_at`, where
        they reach this one through something else)."""
        address = reached_at or await self.udp.open(host, port)
        if reached_at:
            await self.udp.open(host, port)
        life = time.time_ns() // 1_000_000  # higher than in any earlier life of this name, on one machine
        self.core = Members(self.name, address, life, now_us(), self._random, self._pace)
        self._out(self.core.join(seeds))
        return address

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.udp.close()

    def _heard(self, source: str, got: frame.Frame) -> None:
        if self.core is not None and got.name != self.name:
            self._out(self.core.heard(now_us(), source, got.message))

    def _due(self) -> None:
        self._out(self.core.due(now_us()))

    def _out(self, sends: list[Send]) -> None:
        for each in sends:
            self.udp.send(each.to, each.message)
        changed, self.core.changed = self.core.changed, []
        for news in changed:
            self._changed(news)
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0, self.core.wakes_us - now_us()) / 1_000_000
        self._timer = asyncio.get_running_loop().call_later(wait, self._due)
