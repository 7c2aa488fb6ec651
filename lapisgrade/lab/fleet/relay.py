"""Relays on loopback that inject network faults into single links between processes.

`TcpRelay` listens on one port and forwards each connection to one target; `UdpRelay` does the same for
datagrams. A `Link` describes the link's behavior. It may change at any time and also affects open
connections:

- `cut`: nothing passes in the directions named, and no error is reported, as in a network that drops packets.
  The relay accepts new connections and leaves them without traffic until they time out, as if the
  target's host were gone.
- `reset`: open connections are reset immediately, new ones when they are accepted.
- `delay_s`, `jitter_s`: the fixed delay, and the maximum of a uniformly random delay added to it. TCP keeps
  the order.
- `rate`: bytes per second in each direction of a TCP connection; 0 for no limit.
- `loss_rate`, `duplicate_rate`, `reorder_rate`: shares of datagrams that are lost, duplicated, or delivered
  after the next one (UDP only).

Each relay draws its random numbers from one seeded `random.Random`.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

READ_BYTES = 65_536
MAX_BUFFERED_BYTES = 1 << 20  # per direction of a connection; beyond it the relay stops reading
MAX_DATAGRAMS = 4096  # in flight in one relay; further ones are lost, as in a full queue
TO_TARGET, FROM_TARGET = "there", "back"  # directions


@dataclass(slots=True)
class Link:
    """The behavior of a link; the module docstring describes the fields. Shares are from 0 to 1."""

    cut: frozenset[str] = frozenset()  # directions: TO_TARGET, FROM_TARGET
    reset: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    rate: float = 0.0
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    reorder_rate: float = 0.0

    def heal(self) -> None:
        """Restore the link: no cut, delay, limit or loss. `apply_link_change` of the relay must follow."""
        healthy = Link()
        for name in self.__slots__:
            setattr(self, name, getattr(healthy, name))


@dataclass(slots=True)
class RelayCounters:
    """Counts of a relay's traffic.

    Attributes:
        connections: Accepted connections.
        resets: Connections that were reset because of `Link.reset`.
        bytes: Forwarded bytes by direction.
        datagrams: Datagrams received from both sides, without those of blocked sources.
        lost: Datagrams that were dropped on their arrival.
    """

    connections: int = 0
    resets: int = 0
    bytes: dict[str, int] = field(default_factory=lambda: {TO_TARGET: 0, FROM_TARGET: 0})
    datagrams: int = 0
    lost: int = 0


class TcpRelay:
    """Forwards TCP connections to one target.

    Await `open()`, then connect callers to `address`. Call `apply_link_change()` after each change of `link`.

    Attributes:
        target: Address that connections are forwarded to.
        link: Behavior of the link.
        random: Source of all random choices.
        counters: Counts of the traffic.
        port: Port that the relay listens on; 0 before `open`.
    """

    def __init__(self, target: tuple[str, int], seed: int, link: Link | None = None) -> None:
        """Create a relay; without a `link` it forwards everything at once."""
        self.target, self.link, self.random = target, link or Link(), Random(seed)
        self.counters = RelayCounters()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._link_changed = asyncio.Event()

    async def open(self) -> "TcpRelay":
        """Listen on a free port; return the relay."""
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        """The address that callers connect to, `HOST:PORT`."""
        return f"127.0.0.1:{self.port}"

    def apply_link_change(self) -> None:
        """Resume what waited for the end of a cut, and reset open connections if `link.reset` is set."""
        link_changed, self._link_changed = self._link_changed, asyncio.Event()
        link_changed.set()
        if self.link.reset:
            self.counters.resets += len(self._tasks)  # one task per connection
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        self.counters.connections += 1
        upstream: asyncio.StreamWriter | None = None
        try:
            if self.link.reset:
                self.counters.resets += 1
                return
            await self._wait_while_cut(TO_TARGET)
            upstream_reader, upstream = await asyncio.open_connection(*self.target)
            self._writers.add(upstream)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._copy(reader, upstream, TO_TARGET))
                directions.create_task(self._copy(upstream_reader, writer, FROM_TARGET))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            pass  # the connection or the relay ended; asyncio's streams would log it as an error
        finally:
            for end in (writer, upstream):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()
            self._tasks.discard(task)

    async def _wait_while_cut(self, direction: str) -> None:
        while direction in self.link.cut:
            await self._link_changed.wait()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str) -> None:
        """Copy one direction of a connection, in order and with the link's delay.

        Reading continues during the delay, so that the delay doesn't limit the rate.
        """
        loop, queue, has_room = asyncio.get_running_loop(), asyncio.Queue(), asyncio.Event()
        buffered = 0

        async def write() -> None:
            nonlocal buffered
            free_at_s = 0.0  # when a link with a rate has transmitted the previous chunks
            while True:
                due_s, chunk = await queue.get()
                link = self.link
                if link.rate > 0:
                    free_at_s = max(free_at_s, loop.time()) + len(chunk) / link.rate
                    due_s = max(due_s, free_at_s)
                if (wait_s := due_s - loop.time()) > 0:
                    await asyncio.sleep(wait_s)
                await self._wait_while_cut(direction)
                if not chunk:
                    if writer.can_write_eof():
                        with contextlib.suppress(OSError):
                            writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()
                self.counters.bytes[direction] += len(chunk)
                buffered -= len(chunk)
                has_room.set()

        writing = asyncio.create_task(write())
        try:
            while True:
                try:
                    chunk = await reader.read(READ_BYTES)
                except OSError:
                    chunk = b""
                delay_s = self.link.delay_s + self.random.random() * self.link.jitter_s
                queue.put_nowait((loop.time() + delay_s, chunk))
                buffered += len(chunk)
                if not chunk:
                    await writing
                    return
                while buffered > MAX_BUFFERED_BYTES and not writing.done():
                    has_room.clear()
                    await has_room.wait()
                if writing.done():
                    await writing
        finally:
            writing.cancel()


class UdpRelay(asyncio.DatagramProtocol):
    """Forwards datagrams sent to `address` to one target.

    Each source address has a socket of its own towards the target; replies to that socket go to its source.

    Attributes:
        target: Address that datagrams are forwarded to.
        link: Behavior of the link; a change applies to the next datagram.
        random: Source of all random choices.
        counters: Counts of the traffic.
        blocked_sources: Ports of sources whose datagrams are dropped.
        port: Port that the relay listens on; 0 before `open`.
    """

    def __init__(self, target: tuple[str, int], seed: int, link: Link | None = None) -> None:
        """Create a relay; without a `link` it forwards everything at once."""
        self.target, self.link, self.random = target, link or Link(), Random(seed)
        self.counters = RelayCounters()
        self.blocked_sources: set[int] = set()
        self.port = 0
        self._listener: asyncio.DatagramTransport | None = None
        self._upstreams: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self._in_flight = 0
        self._tasks: set[asyncio.Task] = set()
        self._reordered: dict[tuple, bytes] = {}  # by direction and source: datagram sent after the next one

    async def open(self) -> "UdpRelay":
        """Listen on a free port; return the relay."""
        loop = asyncio.get_running_loop()
        self._listener, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self._listener.get_extra_info("sockname")[1]
        return self

    @property
    def address(self) -> str:
        """The address that sources send to, `HOST:PORT`."""
        return f"127.0.0.1:{self.port}"

    def apply_link_change(self) -> None:
        """Do nothing: a change of `link` applies to the next datagram."""

    async def close(self) -> None:
        """Close all sockets. Delayed datagrams are dropped."""
        for transport in (self._listener, *self._upstreams.values()):
            if transport is not None:
                transport.close()

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Forward a datagram towards the target, unless its source is blocked."""
        if source[1] in self.blocked_sources:
            self.counters.lost += 1
            return
        task = asyncio.ensure_future(self._forward(data, source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, data: bytes, source: tuple[str, int]) -> None:
        """Forward a datagram from the source's socket towards the target, which is opened first if needed."""
        upstream = self._upstreams.get(source)
        if upstream is None:
            relay = self

            class ReplyProtocol(asyncio.DatagramProtocol):
                def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
                    relay.forward_datagram(
                        FROM_TARGET, source, data, lambda reply: relay._listener.sendto(reply, source)
                    )

            loop = asyncio.get_running_loop()
            upstream, _ = await loop.create_datagram_endpoint(ReplyProtocol, remote_addr=self.target)
            self._upstreams[source] = upstream
        self.forward_datagram(TO_TARGET, source, data, upstream.sendto)

    def forward_datagram(self, direction: str, source: tuple[str, int], data: bytes, send) -> None:
        """Send a datagram with the link's delay, or lose, duplicate or reorder it.

        Args:
            direction: TO_TARGET or FROM_TARGET.
            source: Address of the source that the datagram came from, or that it is a reply to.
            data: Contents of the datagram.
            send: Called with the contents to send it.
        """
        link, random = self.link, self.random
        self.counters.datagrams += 1
        if (
            direction in link.cut
            or link.reset
            or random.random() < link.loss_rate
            or self._in_flight >= MAX_DATAGRAMS
        ):
            self.counters.lost += 1
            return
        swapped = self._reordered.pop((direction, source), None)
        if swapped is None and random.random() < link.reorder_rate:
            self._reordered[direction, source] = data
            return
        for datagram in (data, swapped):
            if datagram is None:
                continue
            for _ in range(2 if random.random() < link.duplicate_rate else 1):
                self._in_flight += 1
                delay_s = link.delay_s + random.random() * link.jitter_s
                asyncio.get_running_loop().call_later(delay_s, self._send, direction, datagram, send)

    def _send(self, direction: str, data: bytes, send) -> None:
        self._in_flight -= 1
        if direction not in self.link.cut and not self._listener.is_closing():
            send(data)
            self.counters.bytes[direction] += len(data)
