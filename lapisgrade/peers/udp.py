"""UDP transport for frames on asyncio, which limits the frames read per peer, the send buffer and log lines.

Frames beyond `MAX_FRAMES_PER_SECOND` from one address are counted and dropped. Invalid frames are counted,
and logged at most once per `FRAME_ERROR_LOG_INTERVAL_S`. The only state per peer is its receive rate, for at
most `MAX_TRACKED_ADDRESSES` addresses.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lapisgrade.peers import frame

MAX_FRAMES_PER_SECOND = 400  # frames read from one address; a member sends a few tens per second
MAX_TRACKED_ADDRESSES = 4096  # addresses whose receive rate is tracked
MAX_BUFFERED_BYTES = 64 * frame.MAX_FRAME_BYTES  # send buffer; frames are dropped while it is exceeded
FRAME_ERROR_LOG_INTERVAL_S = 30.0  # minimum interval between log lines about invalid frames


@dataclass(slots=True)
class ReceiveRate:
    """Number of frames received from one address in the current second."""

    second: int = 0
    frames: int = 0


class UdpTransport(asyncio.DatagramProtocol):
    """One UDP socket that sends and receives frames.

    `counts` holds the numbers of frames sent, read and dropped, by counter name.
    """

    def __init__(
        self,
        name: str,
        codec: frame.Codec,
        incarnation: Callable[[], int],
        on_frame: Callable[[str, frame.Frame[Any]], None],
        log_line: Callable[[str], None],
    ) -> None:
        """Prepare a socket; `open` opens it.

        Args:
            name: Name of this process, sent in each frame.
            codec: Codec for the messages.
            incarnation: Returns the incarnation of this process, sent in each frame.
            on_frame: Called with the sender's address and each valid frame.
            log_line: Writes one log line.
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
        """Open the socket.

        Args:
            host: Host to listen on.
            port: Port to listen on; 0 for any free port.

        Returns:
            The address it listens on, as `host:port`.

        Raises:
            OSError: The address is in use or not available.
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
        """Send a message to an address; a message that can't be sent is counted and dropped."""
        host, _, port = to.rpartition(":")
        if self._transport is None or self._transport.is_closing() or not port.isdecimal():
            self.counts["peer frames unsent"] += 1
            return
        # asyncio's datagram transports have this method, but their declared type lacks it.
        if self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:  # type: ignore[attr-defined]
            # The send buffer is full, and a late frame would be useless.
            self.counts["peer frames unsent"] += 1
            return
        try:
            data = self._codec.encode(self._name, self._incarnation(), message)
            self._transport.sendto(data, (host, int(port)))
        except (OSError, OverflowError):
            self.counts["peer frames unsent"] += 1
            return
        self.counts["peer frames sent"] += 1

    # ---- called by asyncio

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Decode one datagram and pass its frame on, unless its sender exceeds the rate limit."""
        address = f"{source[0]}:{source[1]}"
        if not self._is_within_rate(address):
            self.counts["peer frames too many"] += 1
            return
        try:
            received = self._codec.decode(data)
        except frame.FrameError as error:
            self.counts["peer frames refused"] += 1
            now = time.monotonic()
            if now - self._last_log_s >= FRAME_ERROR_LOG_INTERVAL_S:
                self._last_log_s = now
                self._log_line(f"dropped a frame from {address}: {error}")
            return
        self.counts["peer frames read"] += 1
        self._on_frame(address, received)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that the receiver's machine rejected, as no process listens on the port.

        No further action is needed: the failure detector notices it by its own probes.
        """
        self.counts["peer sends refused"] += 1

    def _is_within_rate(self, address: str) -> bool:
        """Count a frame, and return whether its address is within the rate limit for this second."""
        rate = self._rates.pop(address, None) or ReceiveRate()
        self._rates[address] = rate  # moves the address to the end: the dict is in order of the last frame
        if len(self._rates) > MAX_TRACKED_ADDRESSES:
            del self._rates[next(iter(self._rates))]
        second = int(time.monotonic())
        if rate.second != second:
            rate.second = second
            rate.frames = 0
        rate.frames += 1
        return rate.frames <= MAX_FRAMES_PER_SECOND
