"""Sends and receives the shuffles of a proxy's partial view, with one UDP socket and one timer."""

import asyncio
from collections.abc import Callable
from typing import Any

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.membership.partial_view import PartialView, SendShuffle, Shuffle
from lapisgrade.peers import frame
from lapisgrade.peers.udp import UdpTransport

CODEC = frame.Codec(Shuffle)
MIN_TIMER_S = 0.01  # minimum delay until the next call of the timer


class Gossip:
    """Runs one proxy's partial view between `open` and `close`.

    Attributes:
        partial_view: The view.
        udp: The transport that shuffles are sent and received on.
    """

    def __init__(
        self, name: str, partial_view: PartialView, now: Callable[[], int], log_line: Callable[[str], None]
    ) -> None:
        """Create the transport without opening its socket.

        Args:
            name: Name of the proxy.
            partial_view: The proxy's view.
            now: Returns the current time in us.
            log_line: Writes a line to the proxy's log.
        """
        self.partial_view = partial_view
        self._now = now
        self.udp = UdpTransport(name, CODEC, lambda: 0, self._on_frame, log_line)
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket and start to send shuffles."""
        await self.udp.open(host, port)
        self._on_timer()

    def close(self) -> None:
        """Stop the timer and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        self.udp.close()

    def _on_frame(self, source: str, received: frame.Frame[Any]) -> None:
        self._send(self.partial_view.on_shuffle(source, received.message))

    def _on_timer(self) -> None:
        self._send(self.partial_view.on_timer(self._now()))
        delay_s = max(MIN_TIMER_S, (self.partial_view.next_shuffle_us - self._now()) / SECOND)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _send(self, commands: list[SendShuffle]) -> None:
        for command in commands:
            self.udp.send(command.to, command.message)
