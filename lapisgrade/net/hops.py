"""Hops on connections to servers, and the pool of these."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import h11

from lapisgrade.interface import ConnectionSettings
from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptFinished, ClientRequest, Event
from lapisgrade.net.http import (
    MAX_BODY_BYTES,
    READ_BYTES,
    MalformedMessageError,
    Message,
    MessageParser,
    Reader,
    call_after_pending_io,
    connect,
    is_stale,
    limit_read_size,
)

_ONLY_NOW = (408, 425, 429)  # 4xx that tell of the moment, not of the request


class Link:
    """One connection to one server, with one hop on it at most."""

    __slots__ = (
        "_address",
        "_parser",
        "_pool",
        "_reader",
        "_task",
        "_timer",
        "_unwritten",
        "_writer",
        "closed",
        "hop",
        "idle_from",
        "idle_us",
        "server",
        "strayed",
    )

    def __init__(self, pool: "Pool", server: str, hop: Any) -> None:
        self._pool, self.server, self.hop, self.idle_from, self.closed = pool, server, hop, 0, False
        self._address = pool.addresses[server]
        self._parser: MessageParser | None = None
        self._reader: Reader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._unwritten, self.strayed, self.idle_us = False, False, pool.lines.idle_timeout_us
        self._timer = pool.timer(hop.operation.deadline_us, self._overdue)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        pool = self._pool
        try:
            async with asyncio.timeout(pool.lines.connect_timeout_us / SECOND):
                self._reader, self._writer = await connect(*self._address)
        except TimeoutError:
            return self.end(CloseReason.CONNECT_TIMEOUT)
        except OSError:
            return self.end(CloseReason.CONNECTION_REFUSED)
        pool.counts["server connections"] += 1
        limit_read_size(self._writer)
        self._writer.transport.set_write_buffer_limits(0)
        try:
            self._write()
            while chunk := await self._reader.read(READ_BYTES):
                self._feed(chunk)
            if self.hop is not None and not self._unwritten:
                self._feed(b"")  # an answer may end with its connection
        except OSError:
            pass
        finally:
            self.end(CloseReason.INCOMPLETE_WRITE if self._unwritten else CloseReason.CONNECTION_LOST)

    def usable(self) -> bool:
        return self._current() and not is_stale(self._reader, self._writer)

    def _current(self) -> bool:
        return self._pool.addresses.get(self.server) == self._address

    def ask(self, hop: Any) -> None:
        """Put a hop on a connection that stands idle."""
        self.hop = hop
        self._timer = self._pool.timer(hop.operation.deadline_us, self._overdue)
        self._write()

    def _write(self) -> None:
        hop, pool = self.hop, self._pool
        asked: ClientRequest = hop.operation.handle
        # Guards rules 1 and 3: the connection came up after the operation's end, or as the server leaves.
        if asked.client is None or not self._current():
            return self.end(CloseReason.NOT_SENT)
        self._parser = MessageParser(h11.CLIENT, pool.dialect.most_body)
        left = max(1, hop.operation.deadline_us - pool.now()) / SECOND
        self._writer.writelines([pool.dialect.head(hop, left), *asked.body])
        if self._writer.transport.get_write_buffer_size():
            self._unwritten = True
            self._task.get_loop().create_task(self._drained(hop))

    async def _drained(self, hop: Any) -> None:
        try:
            await self._writer.drain()
        except OSError:
            return
        if self.hop is hop:
            self._unwritten = False

    def _feed(self, chunk: bytes) -> None:
        if self.hop is None:
            self.end(CloseReason.IDLE)  # nothing was asked
            return
        if self._current():
            self._pool.heard[self.server] = self._pool.now()
        try:
            message = self._parser.feed(chunk)
        except MalformedMessageError as wrong:
            if chunk:
                self._pool.say(f"server {self.server}: {wrong}")
            self.end(CloseReason.MALFORMED if chunk else CloseReason.CONNECTION_LOST)
            return
        if message is not None and self._pool.dialect.stray(self.hop, message):
            # Another request's, come late: ours may follow it, and nothing follows ours here.
            self._pool.counts["stray answers"] += 1
            self.strayed, self._parser = True, MessageParser(h11.CLIENT, self._pool.dialect.most_body)
            if message.last:
                return self.end(CloseReason.CONNECTION_LOST)
            return self._feed(message.rest) if message.rest else None
        if message is not None:
            hop, self.hop = self.hop, None
            self._timer.cancel()
            dialect = self._pool.dialect
            ending = dialect.told(hop, message)
            self.idle_us = dialect.idle_us(message) or self._pool.lines.idle_timeout_us
            self._pool.landed(hop, ending, message)
            if (
                message.last
                or message.rest
                or self._unwritten
                or not self._current()
                or (self.strayed or ending is CloseReason.MALFORMED)
            ):
                self.end(CloseReason.IDLE)
            else:
                self._pool.keep(self)

    def _overdue(self) -> None:
        hop = self.hop
        call_after_pending_io(lambda: self.end(CloseReason.TIMED_OUT) if self.hop is hop else None)

    def end(self, ending: CloseReason) -> None:
        """Close, and tell how the hop ended if one is out."""
        hop, self.hop = self.hop, None
        self._pool.forget(self)
        if hop is not None:
            self._timer.cancel()
            if ending is CloseReason.CANCELLED and self._writer is None:
                ending = CloseReason.NOT_SENT
            self._pool.landed(hop, ending, None)
            if ending in (CloseReason.TIMED_OUT, CloseReason.CANCELLED):
                self._pool.doubt(hop)
        if self._writer is not None:
            self._writer.transport.abort()
        elif self._task is not asyncio.current_task():
            self._task.cancel()


class Pool:
    """All connections to servers."""

    def __init__(
        self,
        put: Callable[[Event], None],
        now: Callable[[], int],
        say: Callable[[str], None],
        counts: Counter[str],
        lines: ConnectionSettings,
        most: int,
        dialect: "Dialect | None" = None,
    ) -> None:
        self._put, self.now, self.say, self.counts, self.lines = put, now, say, counts, lines
        self.most, self.dialect = most, dialect or Dialect()
        self.addresses: dict[str, tuple[str, int]] = {}
        self._links: dict[Any, Link] = {}  # by the hop that is out
        self._idle: dict[str, list[Link]] = {}  # by server; the one idle for longest first
        self._open = 0
        self._sweeps = False
        self.heard: dict[str, int] = {}  # when anything last came, by server

    def timer(self, at_us: int, call: Callable[[], None]) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(max(0, at_us - self.now()) / SECOND, call)

    def send(self, hop: Any) -> None:
        """Put a hop on the connection used last, or on a new one."""
        server = hop.server.address
        self.counts["hops"] += 1
        idle = self._idle.get(server, [])
        while idle and not idle[-1].usable():
            idle[-1].end(CloseReason.IDLE)
        if idle:
            link = idle.pop()
            self._links[hop] = link
            link.ask(hop)
        elif server not in self.addresses or (self._open >= self.most and not self._close_one()):
            self._put(AttemptFinished(hop, CloseReason.NOT_SENT))
        else:
            self._open += 1
            self._links[hop] = Link(self, server, hop)

    def cancel(self, hop: Any) -> None:
        link = self._links.get(hop)
        if link is not None:
            link.end(CloseReason.CANCELLED)

    def landed(self, hop: Any, ending: CloseReason, message: Message | None) -> None:
        del self._links[hop]
        self.counts[f"hops {ending.value}"] += 1
        self._put(AttemptFinished(hop, ending, message))

    def keep(self, link: Link) -> None:
        link.idle_from = self.now()
        idle = self._idle.setdefault(link.server, [])
        idle.append(link)
        if not self._sweeps:
            self._sweep()

    def doubt(self, hop: Any) -> None:
        """Let go of the idle connections to a server that was silent all the while that a hop was out there.

        It may have vanished. The next hop shows it by a connection that does not come up, and then has surely
        not run; on an idle one it might have, for all that we know (guards operations that must not repeat).
        """
        server = hop.server.address
        if self.heard.get(server, 0) < hop.sent_us < self.now() - self.lines.connect_timeout_us:
            for link in list(self._idle.get(server, [])):
                link.end(CloseReason.IDLE)

    def forget(self, link: Link) -> None:
        if not link.closed:
            link.closed = True
            self._open -= 1
            idle = self._idle.get(link.server, [])
            if link in idle:
                idle.remove(link)

    def known(self, addresses: dict[str, tuple[str, int] | None]) -> None:
        """Where servers listen; None for one that wants nothing new."""
        # An address passed on is the new server's alone (guards it, cold, against the old one's work).
        owners = {address: server for server, address in addresses.items() if address is not None}
        for server, address in self.addresses.items():
            if owners.get(address, server) != server and server not in addresses:
                addresses = {**addresses, server: None}
        for server, address in addresses.items():
            if address is not None:
                self.addresses[server] = address
            else:
                self.addresses.pop(server, None)
            for link in [each for each in self._idle.get(server, []) if not each.usable()]:
                link.end(CloseReason.IDLE)
            if address is None:  # guards memory
                self.heard.pop(server, None)
                if not self._idle.get(server):
                    self._idle.pop(server, None)

    def close(self) -> None:
        """The end: all that is out is called off."""
        for link in [*self._links.values(), *(link for idle in self._idle.values() for link in idle)]:
            link.end(CloseReason.CANCELLED)

    def _close_one(self) -> bool:
        """Close the connection idle for longest, to make room; whether there was one."""
        fronts = [idle[0] for idle in self._idle.values() if idle]
        if fronts:
            min(fronts, key=lambda link: link.idle_from).end(CloseReason.IDLE)
        return bool(fronts)

    def _close_stale(self, idle: list[Link]) -> None:
        """Close ours before the other side does, by as long as a connection may take to come up."""
        now = self.now()
        for link in [each for each in idle if self._ripe(each) <= now]:
            link.end(CloseReason.IDLE)

    def _ripe(self, link: Link) -> int:
        return link.idle_from + link.idle_us - self.lines.connect_timeout_us

    def _sweep(self) -> None:
        """Close what has stood idle for long, and come back when the next one has."""
        for idle in self._idle.values():
            self._close_stale(idle)
        ripe = [self._ripe(link) for idle in self._idle.values() for link in idle]
        self._sweeps = bool(ripe)
        if ripe:
            self.timer(min(ripe), self._sweep)


class Dialect:
    """What is said to the servers of the deployments in service; another protocol has one of its own."""

    most_body = MAX_BODY_BYTES

    def head(self, hop: Any, left: float) -> bytes:
        """Request line and fields of a hop, `left` seconds before its end."""
        asked: ClientRequest = hop.operation.handle
        size = sum(len(each) for each in asked.body)
        return b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Request-ID: %b\r\nX-Timeout: %.6f\r\n%b%b\r\n" % (
            asked.method,
            asked.target,
            asked.host,
            asked.request_id,
            left,
            b"Idempotency-Key: %b\r\n" % asked.key if asked.key is not None else b"",
            b"Content-Length: %d\r\n" % size if size or asked.method != b"GET" else b"",
        )

    def told(self, hop: Any, message: Message) -> CloseReason:
        return told(message)

    def stray(self, hop: Any, message: Message) -> bool:
        """Whether the answer belongs to another request than the one that is out."""
        return False

    def idle_us(self, message: Message) -> int:
        """How long the other side keeps the connection idle, by its own word; 0: it has none."""
        return 0


def told(message: Message) -> CloseReason:
    """What a server's whole answer says."""
    status = message.head.status_code
    if status == 200:
        return CloseReason.ANSWERED
    if status in (503, 504) and message.headers().get(b"x-not-processed") == b"1":
        return CloseReason.REJECTED
    if 400 <= status < 500 and status not in _ONLY_NOW:
        return CloseReason.CLIENT_ERROR
    return CloseReason.ERROR_RESPONSE


def load_report(message: Message) -> dict[str, float] | None:
    """The load report that an answer bears, if it bears one that can be read."""
    text = message.headers().get(b"x-server-load")
    if text is None:
        return None
    report = {}
    for pair in text.removeprefix(b"TEXT ").split(b","):
        name, _, value = pair.partition(b"=")
        try:
            report[name.strip().decode()] = float(value)
        except ValueError:
            return None
    return report
