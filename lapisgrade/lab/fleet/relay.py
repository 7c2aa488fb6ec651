"""Relays on loopback that links are led through, so that each can be cut, slowed or spoilt apart from the
rest.

`TcpRelay` listens on one port and carries each connection to one target; `UdpRelay` does the same for
datagrams. What a link does is a `Link`, changed at any time and felt by what is open:

- `cut`: nothing passes, in the directions it names; nobody is told (a network that drops packets). New
  connections are taken by the relay and stay silent, as a route without the far end would leave them to time
  out.
- `reset`: open connections break at once, and new ones are reset as they come.
- `delay_s`, `jitter_s`: what passes comes so much later, drawn evenly from the jitter; order is kept on TCP.
- `rate`: bytes a second in each direction; 0 for no bound.
- `loss`, `twice`, `swap`: shares of datagrams that are lost, doubled, or let the next one go first (UDP).

Chance comes from one seeded `random.Random` a relay.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

READ_BYTES = 65_536
MOST_HELD = 1 << 20  # bytes on their way in one direction of one connection; more waits at the sender
MOST_PACKETS = 4096  # datagrams on their way through one relay; more are lost, as a full queue loses them
TO_TARGET, FROM_TARGET = "there", "back"  # towards the target, and from it


@dataclass(slots=True)
class Link:
    """How a link behaves now. Times in s, shares from 0 to 1."""

    cut: frozenset[str] = frozenset()  # of TO_TARGET and FROM_TARGET
    reset: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    rate: float = 0.0
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    reorder_rate: float = 0.0

    def heal(self) -> None:
        fresh = Link()
        for name in self.__slots__:
            setattr(self, name, getattr(fresh, name))


@dataclass(slots=True)
class Passed:
    """What went through a relay."""

    connections: int = 0
    resets: int = 0
    bytes: dict[str, int] = field(default_factory=lambda: {TO_TARGET: 0, FROM_TARGET: 0})
    packets: int = 0
    lost: int = 0


class TcpRelay:
    """`await open()`, then lead callers to `address`. `turn()` after each change of `link`."""

    def __init__(self, target: tuple[str, int], seed: int, link: Link | None = None) -> None:
        self.target, self.link, self.random = target, link or Link(), Random(seed)
        self.passed = Passed()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._turned = asyncio.Event()

    async def open(self) -> "TcpRelay":
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def turn(self) -> None:
        """The link has changed: what waits for it looks again, and a reset breaks what is open."""
        turned, self._turned = self._turned, asyncio.Event()
        turned.set()
        if self.link.reset:
            self.passed.resets += len(self._tasks)  # one of them for each connection
            for writer in list(self._open):
                writer.transport.abort()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._open):
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._open.add(writer)
        self.passed.connections += 1
        far: asyncio.StreamWriter | None = None
        try:
            if self.link.reset:
                self.passed.resets += 1
                return
            await self._passing(TO_TARGET)
            far_reader, far = await asyncio.open_connection(*self.target)
            self._open.add(far)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(reader, far, TO_TARGET))
                both.create_task(self._pump(far_reader, writer, FROM_TARGET))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            pass  # the connection's end, or the relay's; asyncio's streams would log it as an error
        finally:
            for each in (writer, far):
                if each is not None:
                    self._open.discard(each)
                    each.transport.abort()
            self._tasks.discard(task)

    async def _passing(self, way: str) -> None:
        while way in self.link.cut:
            await self._turned.wait()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str) -> None:
        """One direction. What is read goes out after its delay, in order; reading goes on meanwhile, so that
        a delay is no bound on the rate."""
        loop, queue, room = asyncio.get_running_loop(), asyncio.Queue(), asyncio.Event()
        held = 0

        async def write() -> None:
            nonlocal held
            free_at = 0.0
            while True:
                due, chunk = await queue.get()
                link = self.link
                if link.rate > 0:
                    free_at = max(free_at, loop.time()) + len(chunk) / link.rate
                    due = max(due, free_at)
                if (wait := due - loop.time()) > 0:
                    await asyncio.sleep(wait)
                await self._passing(way)
                if not chunk:
                    if writer.can_write_eof():
                        with contextlib.suppress(OSError):
                            writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()
                self.passed.bytes[way] += len(chunk)
                held -= len(chunk)
                room.set()

        writing = asyncio.create_task(write())
        try:
            while True:
                try:
                    chunk = await reader.read(READ_BYTES)
                except OSError:
                    chunk = b""
                delay = self.link.delay_s + self.random.random() * self.link.jitter_s
                queue.put_nowait((loop.time() + delay, chunk))
                held += len(chunk)
                if not chunk:
                    await writing
                    return
                while held > MOST_HELD and not writing.done():
                    room.clear()
                    await room.wait()
                if writing.done():
                    await writing
        finally:
            writing.cancel()


class UdpRelay(asyncio.DatagramProtocol):
    """Carries datagrams between whoever sends to `address` and one target; answers go back to the last sender
    of each source, through a socket of the relay's own for it."""

    def __init__(self, target: tuple[str, int], seed: int, link: Link | None = None) -> None:
        self.target, self.link, self.random = target, link or Link(), Random(seed)
        self.passed = Passed()
        self.blocked_sources: set[int] = set()  # ports of sources that are cut off from the target
        self.port = 0
        self._near: asyncio.DatagramTransport | None = None
        self._far: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self._under_way = 0
        self._tasks: set[asyncio.Task] = set()
        self._held: dict[tuple, bytes] = {}  # by way and source: one that lets the next go first

    async def open(self) -> "UdpRelay":
        loop = asyncio.get_running_loop()
        self._near, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self._near.get_extra_info("sockname")[1]
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def turn(self) -> None:
        """Nothing is open on a datagram link: a change is felt by the next one."""

    async def close(self) -> None:
        for transport in (self._near, *self._far.values()):
            if transport is not None:
                transport.close()

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        if source[1] in self.blocked_sources:
            self.passed.lost += 1
            return
        task = asyncio.ensure_future(self._there(data, source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _there(self, data: bytes, source: tuple[str, int]) -> None:
        far = self._far.get(source)
        if far is None:
            relay = self

            class Back(asyncio.DatagramProtocol):
                def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
                    relay.pass_on(FROM_TARGET, source, data, lambda d: relay._near.sendto(d, source))

            loop = asyncio.get_running_loop()
            far, _ = await loop.create_datagram_endpoint(Back, remote_addr=self.target)
            self._far[source] = far
        self.pass_on(TO_TARGET, source, data, far.sendto)

    def pass_on(self, way: str, source: tuple[str, int], data: bytes, send) -> None:
        """One datagram, as the link lets it."""
        link, random = self.link, self.random
        self.passed.packets += 1
        if (
            way in link.cut
            or link.reset
            or random.random() < link.loss_rate
            or self._under_way >= MOST_PACKETS
        ):
            self.passed.lost += 1
            return
        first = self._held.pop((way, source), None)
        if first is None and random.random() < link.reorder_rate:
            self._held[way, source] = data
            return
        for each in (data, first):
            if each is None:
                continue
            for _ in range(2 if random.random() < link.duplicate_rate else 1):
                self._under_way += 1
                delay = link.delay_s + random.random() * link.jitter_s
                asyncio.get_running_loop().call_later(delay, self._out, way, each, send)

    def _out(self, way: str, data: bytes, send) -> None:
        self._under_way -= 1
        if way not in self.link.cut and not self._near.is_closing():
            send(data)
            self.passed.bytes[way] += len(data)
