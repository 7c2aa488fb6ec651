"""Datagrams between limiters on asyncio: bounded per peer both ways, and quiet about what is strange.

A peer that floods is read up to `A_SECOND` frames a second and counted past that; one that sends what is
no frame is said once in a while. Nothing is kept for a peer but its counts, and those for `MOST_PEERS`
addresses at most.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lapisgrade.peers import frame

A_SECOND = 400  # frames read from one address in a second; a member sends some tens
MOST_PEERS = 4096  # addresses whose counts are kept
SAID_EVERY_S = 30.0  # between two lines about strange frames


@dataclass(slots=True)
class Read:
    """What one address sent in the present second."""

    second: int = 0
    frames: int = 0


class Udp(asyncio.DatagramProtocol):
    """One socket. `heard(source, frame)` gets what is sound; `send` is a plain call."""

    def __init__(
        self,
        name: str,
        codec: frame.Codec,
        incarnation: Callable[[], int],
        heard: Callable[[str, frame.Frame], None],
        say: Callable[[str], None],
    ) -> None:
        self._name, self._codec, self._incarnation = name, codec, incarnation
        self._heard, self._say = heard, say
        self.counts: Counter[str] = Counter()
        self._transport: asyncio.DatagramTransport | None = None
        self._read: dict[str, Read] = {}
        self._said = -SAID_EVERY_S

    async def open(self, host: str, port: int) -> str:
        """Listen; the address that peers reach this at. OSError where it is taken."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        host, port = self._transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def send(self, to: str, message: Any) -> None:
        host, _, port = to.rpartition(":")
        if self._transport is None or self._transport.is_closing() or not port.isdecimal():
            self.counts["peer frames unsent"] += 1
            return
        if self._transport.get_write_buffer_size() > 64 * frame.MOST_BYTES:
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

    def datagram_received(self, data: bytes, source: tuple) -> None:
        address = f"{source[0]}:{source[1]}"
        if not self._may(address):
            self.counts["peer frames too many"] += 1
            return
        try:
            got = self._codec.decode(data)
        except frame.Refused as wrong:
            self.counts["peer frames refused"] += 1
            now = time.monotonic()
            if now - self._said >= SAID_EVERY_S:
                self._said = now
                self._say(f"a frame from {address}: {wrong}")
            return
        self.counts["peer frames read"] += 1
        self._heard(address, got)

    def error_received(self, exc: OSError) -> None:
        self.counts["peer sends refused"] += 1  # nobody listens there: its probe tells as much

    def _may(self, address: str) -> bool:
        read = self._read.pop(address, None) or Read()
        self._read[address] = read  # the one heard last stands last
        if len(self._read) > MOST_PEERS:
            del self._read[next(iter(self._read))]
        second = int(time.monotonic())
        if read.second != second:
            read.second, read.frames = second, 0
        read.frames += 1
        return read.frames <= A_SECOND
