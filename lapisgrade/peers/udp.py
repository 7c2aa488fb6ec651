"""Datagrams between processes on asyncio: bounded per peer both ways, and sparing with log lines.

Of a peer that floods, `MAX_FRAMES_PER_SECOND` frames are read and the rest counted; one that sends what is no
frame is logged once in a while. Nothing is kept of a peer but how much it sent, and that for
`MAX_TRACKED_ADDRESSES` addresses at most.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lapisgrade.peers import frame

MAX_FRAMES_PER_SECOND = 400  # read from one address; a member sends some tens
MAX_TRACKED_ADDRESSES = 4096  # addresses of which it is kept how much they sent
MAX_BUFFERED_BYTES = 64 * frame.MAX_FRAME_BYTES  # that wait to be sent; past it frames are dropped
FRAME_ERROR_LOG_INTERVAL_S = 30.0  # between two lines about frames that can't be read


@dataclass(slots=True)
class ReceiveRate:
    """How many frames one address sent in the present second."""

    second: int = 0
    frames: int = 0


class UdpTransport(asyncio.DatagramProtocol):
    """One socket."""

    def __init__(
        self,
        name: str,
        codec: frame.Codec,
        incarnation: Callable[[], int],
        on_frame: Callable[[str, frame.Frame[Any]], None],
        log_line: Callable[[str], None],
    ) -> None:
        """Prepare a socket.

        Args:
            name: this process's, in each frame.
            codec: of the messages.
            incarnation: returns this process's incarnation, in each frame.
            on_frame: is called with the sender's address and each frame that can be read.
            log_line: is called with what an operator should know, one line each.
        """
        self._name = name
        self._codec = codec
        self._incarnation = incarnation
        self._on_frame = on_frame
        self._log_line = log_line
        self.counts: Counter[str] = Counter()
        self._transport: asyncio.DatagramTransport | None = None
        self._rates: dict[str, ReceiveRate] = {}
        self._last_log_s = -FRAME_ERROR_LOG_INTERVAL_S

    async def open(self, host: str, port: int) -> str:
        """Listen, and return the address that peers reach this at.

        Raises:
            OSError: The address is taken.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        host, port = self._transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, to: str, message: Any) -> None:
        """Send a message to an address; what can't be sent is counted and dropped."""
        host, _, port = to.rpartition(":")
        if self._transport is None or self._transport.is_closing() or not port.isdecimal():
            self.counts["peer frames unsent"] += 1
            return
        # asyncio's own transports for datagrams have the method; their declared type lacks it.
        if self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:  # type: ignore[attr-defined]
            self.counts["peer frames unsent"] += 1  # the socket is full: a late frame is worth nothing
            return
        try:
            data = self._codec.encode(self._name, self._incarnation(), message)
            self._transport.sendto(data, (host, int(port)))
        except (OSError, OverflowError):
            self.counts["peer frames unsent"] += 1
            return
        self.counts["peer frames sent"] += 1

    # ---- asyncio's side

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Read one datagram."""
        address = f"{source[0]}:{source[1]}"
        if not self._is_within_rate(address):
            self.counts["peer frames too many"] += 1
            return
        try:
            received = self._codec.decode(data)
        except frame.FrameError as wrong:
            self.counts["peer frames refused"] += 1
            now = time.monotonic()
            if now - self._last_log_s >= FRAME_ERROR_LOG_INTERVAL_S:
                self._last_log_s = now
                self._log_line(f"a frame from {address}: {wrong}")
            return
        self.counts["peer frames read"] += 1
        self._on_frame(address, received)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that its receiver's machine rejected."""
        self.counts["peer sends refused"] += 1  # nobody listens there: its probe tells as much

    def _is_within_rate(self, address: str) -> bool:
        """Count a frame, and return whether that address may still be read in this second."""
        rate = self._rates.pop(address, None) or ReceiveRate()
        self._rates[address] = rate  # the one that sent last is the last
        if len(self._rates) > MAX_TRACKED_ADDRESSES:
            del self._rates[next(iter(self._rates))]
        second = int(time.monotonic())
        if rate.second != second:
            rate.second = second
            rate.frames = 0
        rate.frames += 1
        return rate.frames <= MAX_FRAMES_PER_SECOND
