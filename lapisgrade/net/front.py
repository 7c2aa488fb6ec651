"""Clients' connections: requests in, answers out."""

import asyncio
import re
import socket
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11

from lapisgrade.interface import Category, Operation, Plan, Reject, RejectReason, RepeatSafety
from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import ClientDisconnected, ClientRequest, Event, RequestReceived
from lapisgrade.net.http import (
    MAX_BODY_BYTES,
    READ_BYTES,
    MalformedMessageError,
    Message,
    MessageParser,
    limit_read_size,
)

_REASONS = {each.value: each.phrase.encode() for each in HTTPStatus}
# What the protocol's fields may look like. Whatever else comes in one is nobody's request.
_CUSTOMER = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 16 hex digits of a number below 2 ** 33
_ID = re.compile(rb"[!-~]{1,128}")
_QUOTA = re.compile(rb" *units=(\d{1,9}(?:\.\d{1,6})?) *, *spread=(\d{1,9}) *, *first=(\d{1,9}) *")
_TIMEOUT = re.compile(rb"\d{1,6}(?:\.\d{1,9})?")
_METHODS = {
    RepeatSafety.IDEMPOTENT: b"GET",
    RepeatSafety.DEDUPLICATED: b"POST",
    RepeatSafety.NON_IDEMPOTENT: b"POST",
}
# The protocol's figures: a connection with no open request may be closed after 2 s, and one that brings no
# whole request is owed an error or its end within 3 s.
ASK = 2.0  # s from connecting, or from a request's first byte, in which a whole request must have come
REST = 2.0  # s that a connection may stand idle after an answer; clients that ask again do so sooner
RESTING = 4  # the part of all clients' connections that may be at rest for that long
LOOK = 0.2  # s between looks for either
SURELY = 0.2  # s from connecting after which a client that means to ask has asked
ACCEPTS = 16  # connections taken in one turn of the loop, before any other must make room for them
BACKLOG = 1024  # connections that wait in the kernel meanwhile
MOST_UNREAD = 4 * MAX_BODY_BYTES  # bytes of answers that a client may leave unread


class Client:
    """One client's connection; it carries one operation at a time."""

    __slots__ = (
        "_early",
        "_front",
        "_last",
        "_parser",
        "_timer",
        "_writer",
        "ending",
        "operation",
        "unwanted",
    )

    def __init__(self, front: "Front", writer: asyncio.StreamWriter) -> None:
        self._front, self._writer = front, writer
        self._parser = MessageParser(h11.SERVER, self._front.most_body)
        self._early = b""  # came before its turn
        self._last = False  # the request under way is the connection's last
        self._timer: asyncio.TimerHandle | None = None  # runs while a request has come in part
        self.operation: Operation | None = None
        self.ending = CloseReason.CLIENT_DISCONNECTED  # how the connection ends, where we don't end it
        self.unwanted = False  # its request is turned back unread: there are too many connections

    async def read(self, reader: asyncio.StreamReader) -> None:
        """Take in all that comes, until the client goes or we close."""
        try:
            while chunk := await reader.read(READ_BYTES):
                self._feed(chunk)
        except OSError:
            pass  # it was reset: the client has gone
        finally:
            if self.operation is not None:
                self._front.put(ClientDisconnected(self._done()))
            self._whole()
            self._writer.close()
            self._front.forget(self)
            self._front.counts[f"clients {self.ending.value}"] += 1

    def close(self, ending: CloseReason) -> None:
        """Close once all that was written is out; `read` ends then."""
        self.ending = ending
        self._front.busy(self)
        self._writer.close()

    def abort(self, ending: CloseReason) -> None:
        """Close at once, also where what was written can't go out (guards descriptors against lost peers)."""
        self.ending = ending
        self._front.busy(self)
        self._writer.transport.abort()

    def overdue(self) -> None:
        """No whole request came in time (guards descriptors against peers that are silent or slow)."""
        if self._timer is not None:
            self._whole()
            self.reply(408, [], 0, last=True, ending=CloseReason.TIMED_OUT)
        else:
            self.close(CloseReason.TIMED_OUT)

    def reply(
        self,
        status: int,
        body: list,
        size: int,
        more: bytes = b"",
        last: bool = False,
        ending: CloseReason = CloseReason.ANSWERED,
    ) -> None:
        last = last or self._front.closing
        close = b"Connection: close\r\n" if last else b""
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            status,
            _REASONS.get(status, b""),
            size,
            more,
            close,
        )
        self._writer.writelines([head, *body])
        self._front.counts[f"answered {status}"] += 1
        if self._writer.transport.get_write_buffer_size() > MOST_UNREAD:
            self.abort(CloseReason.TIMED_OUT)  # guards memory against a peer that asks and does not read
        elif last:
            self.close(ending)

    def answer(self, status: int, body: list, size: int, more: bytes = b"") -> None:
        """The final answer to the operation under way."""
        self._done()
        early, self._early = self._early, b""
        self.reply(status, body, size, more, self._last)
        self._next()
        self._feed(early)

    def _done(self) -> Operation:
        """Nothing is owed any more for the operation under way."""
        operation, self.operation = self.operation, None
        operation.handle.client = None
        self._front.open.discard(operation.handle.request_id)
        return operation

    def _next(self) -> None:
        self._parser = MessageParser(h11.SERVER, self._front.most_body)
        if not self._writer.is_closing():
            self._front.rests(self)

    def _whole(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _feed(self, chunk: bytes) -> None:
        """Take in what came, one request after another until one must wait for its answer."""
        while chunk and self.operation is None and not self._writer.is_closing():
            try:
                message = self._parser.feed(chunk)
                if message is None:
                    return self._part()
                self._whole()
                self._take(message)
                chunk = message.rest
            except MalformedMessageError as wrong:
                self._front.say(f"a request was answered {wrong.status}: {wrong}")
                return self.reply(wrong.status, [], 0, last=True, ending=CloseReason.MALFORMED)
        if chunk and self.operation is not None:
            self._early += chunk
            if len(self._early) > 2 * self._front.most_body:
                self.abort(CloseReason.MALFORMED)  # `read` sees the end, and says that it left

    def _part(self) -> None:
        """A request has come in part."""
        self._front.idle.pop(self, None)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._front.ask, self.overdue)
        if self._parser.expects():
            self._writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, message: Message) -> None:
        front = self._front
        if message.head.target == front.UP:
            self.reply(503 if front.ending else 200, [], 0, last=message.last)
            return self._next()
        if self.unwanted:
            return self.reply(503, [], 0, last=True, ending=CloseReason.REJECTED)
        operation = front.operation(self, message)
        if operation is None:
            return self._next()  # answered already
        front.open.add(operation.handle.request_id)
        self.operation, self._last = operation, message.last
        front.busy(self)
        front.put(RequestReceived(operation))


class Front:
    """All clients' connections."""

    UP = b"/up"
    # What another protocol of clients says otherwise, it sets on its own front.
    most_body, ask, rest = MAX_BODY_BYTES, ASK, REST

    def __init__(
        self,
        put: Callable[[Event], None],
        now: Callable[[], int],
        say: Callable[[str], None],
        counts: Counter[str],
        categories: list[Category],
        plans: list[Plan],
        most: int,
        limiters: int,
        most_units: float,
    ) -> None:
        self.put, self._now, self.say, self.counts, self._most = put, now, say, counts, most
        self._categories = {each.name.encode(): each for each in categories}
        self._plans = {each.name.encode(): each for each in plans}
        self._limiters, self._most_units = limiters, most_units
        self.open: set[bytes] = set()  # ids of the requests under way
        self.clients: dict[Client, None] = {}
        # Connections with no operation, and since when; the longest first.
        self.fresh: dict[Client, float] = {}  # no whole request has come yet
        self.idle: dict[Client, float] = {}  # all that was asked is answered
        self._were_idle: list[Client] = []
        self.ending = False  # who asks whether we are up is told that we are not
        self.closing = False  # each answer is its connection's last from now on
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        listener = socket.create_server(address)
        self._server = await asyncio.start_server(self._serve, sock=listener, backlog=ACCEPTS)
        listener.listen(BACKLOG)
        self._look()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        limit_read_size(writer)
        client = Client(self, writer)
        self.clients[client] = None
        self.fresh[client] = asyncio.get_running_loop().time()
        self.counts["clients connected"] += 1
        if len(self.clients) > self._most:
            self._make_room(client)
        await client.read(reader)

    def _make_room(self, newest: Client) -> None:
        """Guards the descriptors: one that asks nothing goes, else one at rest, else the newest is unwanted.

        One that came just now may be about to ask, and would lose what it asks.
        """
        oldest = next(iter(self.fresh), newest)
        if oldest is not newest and self.fresh[oldest] < asyncio.get_running_loop().time() - SURELY:
            oldest.abort(CloseReason.TIMED_OUT)
        elif self.idle:
            next(iter(self.idle)).abort(CloseReason.IDLE)
        else:
            newest.unwanted = True

    def _look(self) -> None:
        """Let go of connections that ask nothing (guards descriptors and memory)."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LOOK, self._look)
        now = loop.time()
        for client in [each for each, since in self.fresh.items() if since < now - self.ask]:
            client.overdue()
        # Those before us hold so many connections at most, and one at rest takes the place of one that asks:
        # beyond a few, the longest at rest go sooner (guards against clients that ask once and stay).
        many = len(self.idle) - self._most // RESTING
        for i, (client, since) in enumerate(list(self.idle.items())):
            if since < now - (SURELY if i < many else self.rest):
                client.close(CloseReason.IDLE)

    def busy(self, client: Client) -> None:
        self.fresh.pop(client, None)
        self.idle.pop(client, None)

    def rests(self, client: Client) -> None:
        self.busy(client)
        self.idle[client] = asyncio.get_running_loop().time()

    def forget(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.busy(client)

    def shut(self) -> None:
        """Take no new connections (guards the end against those who go on connecting)."""
        self._server.close()

    def close_idle(self) -> None:
        """From now on connections end with their answers; those idle since the last such call end now."""
        self.closing = True
        for client in self._were_idle:
            if client in self.fresh or client in self.idle:
                client.close(CloseReason.IDLE)
        self._were_idle = [*self.fresh, *self.idle]

    def close(self) -> None:
        """The end: no new connections, and none that is left goes on."""
        self._timer.cancel()
        self._server.close()
        for client in list(self.clients):
            client.abort(CloseReason.CANCELLED)

    def operation(self, client: Client, message: Message) -> Operation | None:
        """The operation that a request stands for; None where it is answered already."""
        now = self._now()
        headers = message.headers()
        category = _among(self._categories, headers, b"x-priority-class")
        plan = _among(self._plans, headers, b"x-plan")
        customer = _formed(headers, b"x-customer", _CUSTOMER)[0].decode().lower()
        units, spread, first = _formed(headers, b"x-quota", _QUOTA).groups()
        timeout = float(_formed(headers, b"x-timeout", _TIMEOUT)[0])
        request_id = _formed(headers, b"x-request-id", _ID)[0]
        key = headers.get(b"idempotency-key")
        units, spread, first = float(units), int(spread), int(first)
        if not 0 < units <= self._most_units:
            raise MalformedMessageError("the units are out of range")
        if not (1 <= spread <= self._limiters and first < self._limiters):
            raise MalformedMessageError("the customer's set is out of range")
        if timeout <= 0:
            raise MalformedMessageError("no time is left")
        method = message.head.method
        if method != _METHODS[category.repeat_safety] or (message.size and method == b"GET"):
            raise MalformedMessageError("not the method of its class")
        if not key and category.repeat_safety is RepeatSafety.DEDUPLICATED:
            raise MalformedMessageError("a key is missing, by which servers would know a repeat")
        if request_id in self.open:  # its answer might go to the wrong one, and servers would see a copy
            raise MalformedMessageError("a request with this id is open", 409)
        return Operation(
            customer=customer,
            plan=plan,
            category=category,
            units=units,
            arrived_us=now,
            deadline_us=now + min(round(timeout * SECOND), category.timeout_us),
            gateway_count=spread,
            first_gateway_index=first,
            is_client_retry=headers.get(b"x-retried") == b"1",
            handle=ClientRequest(
                client,
                message.head.method,
                message.head.target,
                headers.get(b"host", b""),
                request_id,
                key,
                message.body,
            ),
        )


def _formed(headers: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> re.Match[bytes]:
    match = form.fullmatch(headers.get(name, b""))
    if match is None:
        raise MalformedMessageError(f"{name.decode()} can't be read: {headers.get(name, b'')[:80]!r}")
    return match


def _among(table: dict[bytes, Any], headers: dict[bytes, bytes], name: bytes) -> Any:
    value = headers.get(name, b"")
    if value not in table:
        raise MalformedMessageError(f"{name.decode()} is unknown: {value[:80]!r}")
    return table[value]


def worded(answer: Reject) -> tuple[int, bytes]:
    """Status and further header lines of a final answer that no server gave."""
    if answer.reason is RejectReason.FAILED:
        return 502, b""
    if answer.retry_after_us <= 0:
        return 429, b""
    return 429, b"Retry-After: %.3f\r\n" % (answer.retry_after_us / SECOND)
