"""The I/O of a member: one UDP socket, one timer, and a callback for each state change."""

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
    """Return the monotonic time in us."""
    return time.monotonic_ns() // 1000


def _ignore_change(update: Update) -> None:
    """Do nothing; the default `on_change`."""


class Host:
    """One running member: `await open(...)`, query `core.alive()`, then `close()`."""

    def __init__(
        self,
        name: str,
        log_line: Callable[[str], None],
        on_change: Callable[[Update], None] = _ignore_change,
        seed: int = 0,
        timing: Timing | None = None,
    ) -> None:
        """Prepare a member.

        Args:
            name: Name of the member.
            log_line: Called with each log line.
            on_change: Called for each change of the state or incarnation of another member.
            seed: Seed of the member's random decisions.
            timing: Protocol parameters; must be the same at all members.
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
            host: Host to listen on.
            port: Port to listen on; 0 for any free port.
            seeds: Addresses of other members.
            reached_at: Address at which others reach this member, if not the one it listens on.

        Returns:
            The address that is advertised to the other members.

        Raises:
            OSError: The address is in use or not available.
        """
        listens_at = await self.udp.open(host, port)
        address = reached_at or listens_at
        # The start time in ms exceeds that of any earlier process of this name on the same machine.
        incarnation = time.time_ns() // 1_000_000
        self.core = Members(self.name, address, incarnation, now_us(), self._random, self._timing)
        self._apply_output(self.core, self.core.join(seeds))
        return address

    def close(self) -> None:
        """Stop without notifying the other members."""
        if self._timer is not None:
            self._timer.cancel()
        self.udp.close()

    def _on_frame(self, source: str, received: frame.Frame[Any]) -> None:
        if self.core is not None and received.name != self.name:
            self._apply_output(self.core, self.core.on_message(now_us(), source, received.message))

    def _on_timer(self, core: Members) -> None:
        self._apply_output(core, core.on_timer(now_us()))

    def _apply_output(self, core: Members, sends: list[Send]) -> None:
        """Send the core's messages, report its state changes, and set the timer to its next wake-up."""
        for send in sends:
            self.udp.send(send.to, send.message)
        changes = core.unreported_changes
        core.unreported_changes = []
        for update in changes:
            self._on_change(update)
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0, core.next_wakeup_us - now_us()) / SECOND
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer, core)
