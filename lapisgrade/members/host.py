"""The shell round a member: one socket, one timer, and a callback for each change."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

from lapisgrade.members.core import Members
from lapisgrade.members.failure_detector import Send
from lapisgrade.members.messages import Message, Update
from lapisgrade.members.timing import SECOND, Timing
from lapisgrade.peers import frame
from lapisgrade.peers.udp import UdpTransport

CODEC = frame.Codec(Message)


def now_us() -> int:
    """Return the monotonic time."""
    return time.monotonic_ns() // 1000


def _ignore(update: Update) -> None:
    """Do nothing with a change."""


class Host:
    """One member from start to end: `await open(...)`, then `core.alive()`, and `close()` at the end."""

    def __init__(
        self,
        name: str,
        log_line: Callable[[str], None],
        on_change: Callable[[Update], None] = _ignore,
        seed: int = 0,
        timing: Timing | None = None,
    ) -> None:
        """Prepare a member.

        Args:
            name: the member's.
            log_line: is called with what an operator should know, one line each.
            on_change: is called for each change of another member.
            seed: of its randomness.
            timing: the protocol's times, the same at all members.
        """
        self.name = name
        self.core: Members | None = None
        self._on_change = on_change
        self._timing = timing
        self._random = Random(seed)
        self.udp = UdpTransport(name, CODEC, self._incarnation, self._on_frame, log_line)
        self._timer: asyncio.TimerHandle | None = None

    def _incarnation(self) -> int:
        return self.core.incarnation if self.core else 0

    async def open(self, host: str, port: int, seeds: list[str], reached_at: str = "") -> str:
        """Listen, and contact the members at `seeds`.

        Args:
            host: to listen at.
            port: to listen at; 0 for any.
            seeds: addresses of other members.
            reached_at: where others reach this one, if that is not where it listens.

        Returns:
            The address that is sent to the others.

        Raises:
            OSError: The address is taken.
        """
        listens_at = await self.udp.open(host, port)
        address = reached_at or listens_at
        # Higher than in any earlier process of this name, on one machine.
        incarnation = time.time_ns() // 1_000_000
        self.core = Members(self.name, address, incarnation, now_us(), self._random, self._timing)
        self._carry_out(self.core, self.core.join(seeds))
        return address

    def close(self) -> None:
        """Stop; the others are not notified."""
        if self._timer is not None:
            self._timer.cancel()
        self.udp.close()

    def _on_frame(self, source: str, received: frame.Frame[Any]) -> None:
        if self.core is not None and received.name != self.name:
            self._carry_out(self.core, self.core.on_message(now_us(), source, received.message))

    def _on_timer(self, core: Members) -> None:
        self._carry_out(core, core.on_timer(now_us()))

    def _carry_out(self, core: Members, sends: list[Send]) -> None:
        for send in sends:
            self.udp.send(send.to, send.message)
        changed = core.changed
        core.changed = []
        for update in changed:
            self._on_change(update)
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0, core.wakes_us - now_us()) / SECOND
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer, core)
