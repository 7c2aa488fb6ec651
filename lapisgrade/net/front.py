"""Clients' connections: requests in, answers out."""

import asyncio
import re
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

import h11

from lapisgrade.interface import Answer, Category, Operation, Plan, Repeat, Verdict
from lapisgrade.net import SECOND
from lapisgrade.net.ending import Ending
from lapisgrade.net.events import Asked, Event, Left, Taken
from lapisgrade.net.http import CHUNK, MOST_BODY, Garbled, Message, Parser, steady
from lapisgrade.start import Fields, Malformed

_REASONS = {each.value: each.phrase.encode() for each in HTTPStatus}
_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")


class Client:
    """One client's connection; it carries one operation at a time."""

    __slots__ = (
        "_early", "_front", "_last", "_parser", "_timer", "_writer", "ending", "operation", "unwanted",
    )

    def __init__(self, front: "Front", writer: asyncio.StreamWriter) -> None:
        self._front, self._writer = front, writer
        self._parser = Parser(h11.SERVER)
        self._early = b""  # came before its turn
        self._last = False  # the request under way is the connection's last
        self._timer: asyncio.TimerHandle | None = None  # runs while a request has come in part
        self.operation: Operation | None = None
        self.ending = Ending.LEFT  # how the connection ends, where we don't end it
        self.unwanted = False  # its request is turned back unread: there are too many connections

    async def read(self, reader: asyncio.StreamReader) -> None:
        """Take in all that comes, until the client goes or we close."""
        try:
            while chunk := await reader.read(CHUNK):
                self._feed(chunk)
        except OSError:
            pass  # it was reset: the client has gone
        finally:
            if self.operation is not None:
                self._front.put(Left(self.operation))
                self.operation.handle.client = self.operation = None
            self._whole()
            self._writer.close()
            self._front.forget(self)
            self._front.counts[f"clients {self.ending.value}"] += 1

    def close(self, ending: Ending) -> None:
        """Close once all that was written is out; `read` ends then."""
        self.ending = ending
        self._front.idle.pop(self, None)
        self._writer.close()

    def abort(self, ending: Ending) -> None:
        """Close at once, also where what was written can't go out (guards descriptors against lost peers)."""
        self.ending = ending
        self._front.idle.pop(self, None)
        self._writer.transport.abort()

    def reply(
        self, status: int, body: list, size: int, more: bytes = b"", last: bool = False,
        ending: Ending = Ending.ANSWERED,
    ) -> None:
        last = last or self._front.closing
        close = b"Connection: close\r\n" if last else b""
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            status, _REASONS.get(status, b""), size, more, close)
        self._writer.writelines([head, *body])
        self._front.counts[f"answered {status}"] += 1
        if last:
            self.close(ending)

    def answer(self, status: int, body: list, size: int, more: bytes = b"") -> None:
        """The final answer to the operation under way."""
        self.operation.handle.client = self.operation = None
        self.reply(status, body, size, more, self._last)
        self._next(self._early)

    def _next(self, early: bytes) -> None:
        if self._writer.is_closing():
            return
        self._parser, self._early = Parser(h11.SERVER), b""
        self._front.idle.pop(self, None)
        self._front.idle[self] = None
        if early:
            self._feed(early)

    def _whole(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _too_slow(self) -> None:
        """The rest of a request never came (guards descriptors against peers that vanish half way)."""
        self._timer = None
        self.reply(408, [], 0, last=True, ending=Ending.OVERDUE)

    def _feed(self, chunk: bytes) -> None:
        if self.operation is not None:
            self._early += chunk
            if len(self._early) > 2 * MOST_BODY:
                self.abort(Ending.GARBLED)  # `read` sees the end, and says that it left
            return
        if self._writer.is_closing():
            return
        try:
            message = self._parser.feed(chunk)
            if message is not None:
                self._whole()
                self._take(message)
                return
        except Garbled as wrong:
            self._front.say(f"a request was answered {wrong.status}: {wrong}")
            self.reply(wrong.status, [], 0, last=True, ending=Ending.GARBLED)
            return
        self._front.idle.pop(self, None)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._front.patience, self._too_slow)
        if self._parser.expects():
            self._writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, message: Message) -> None:
        front = self._front
        if message.head.target == front.UP:
            self.reply(200, [], 0, last=message.last)
            self._next(message.rest)
            return
        if self.unwanted:
            self.reply(503, [], 0, last=True, ending=Ending.TURNED_AWAY)
            return
        self.operation = front.operation(self, message)
        self._early, self._last = message.rest, message.last
        front.idle.pop(self, None)
        front.put(Taken(self.operation))


class Front:
    """All clients' connections."""

    UP = b"/up"

    def __init__(
        self, put: Callable[[Event], None], now: Callable[[], int], say: Callable[[str], None],
        counts: Counter[str], categories: list[Category], plans: list[Plan], most: int,
    ) -> None:
        self.put, self._now, self.say, self.counts, self._most = put, now, say, counts, most
        self._categories = {each.name.encode(): each for each in categories}
        self._plans = {each.name.encode(): each for each in plans}
        self.clients: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}  # with no operation; the one idle for longest first
        self._were_idle: list[Client] = []
        self.patience = max((each.hard_stop_us for each in categories), default=SECOND) / SECOND
        self.closing = False  # each answer is its connection's last from now on
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int]) -> None:
        self._server = await asyncio.start_server(self._serve, *address, backlog=self._most)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        steady(writer)
        client = Client(self, writer)
        self.clients[client] = self.idle[client] = None
        self.counts["clients connected"] += 1
        if len(self.clients) > self._most:  # guards the descriptors
            oldest = next(iter(self.idle))
            if oldest is client:
                client.unwanted = True
            else:
                oldest.abort(Ending.IDLE)
        await client.read(reader)

    def forget(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.idle.pop(client, None)

    def close_idle(self) -> None:
        """From now on connections end with their answers; those idle since the last such call end now."""
        self.closing = True
        for client in self._were_idle:
            if client in self.idle:
                client.close(Ending.IDLE)
        self._were_idle = list(self.idle)

    def close(self) -> None:
        """The end: no new connections, and none that is left goes on."""
        self._server.close()
        for client in list(self.clients):
            client.abort(Ending.CALLED_OFF)

    def operation(self, client: Client, message: Message) -> Operation:
        """The operation that a request stands for; Garbled, where it stands for none."""
        now = self._now()
        headers = message.headers()
        quota = Fields()
        for part in headers.get(b"x-quota", b"").decode("ascii", "replace").replace(" ", "").split(","):
            name, _, quota[name] = part.partition("=")
        quota["timeout"] = headers.get(b"x-timeout", b"").decode("ascii", "replace")
        try:
            customer, key = _named(headers, b"x-customer"), headers.get(b"idempotency-key")
            category = _among(self._categories, _named(headers, b"x-priority-class"), "category")
            units, timeout = quota.number("units", 1.0), quota.number("timeout")
            if not _CUSTOMER.fullmatch(customer):
                raise Malformed("the customer is not 16 hex digits")
            if units <= 0 or timeout <= 0:
                raise Malformed("units and time must be above 0")
            if key is None and category.repeat is Repeat.DEDUPLICATED:
                raise Malformed("a key is missing, by which servers would know a repeat")
            return Operation(
                customer=customer.decode().lower(),
                plan=_among(self._plans, _named(headers, b"x-plan"), "plan"),
                category=category,
                units=units,
                arrived_us=now,
                ends_us=now + min(round(timeout * SECOND), category.hard_stop_us),
                gateways=max(1, quota.whole("spread", 1)),
                first_gateway=quota.whole("first", 0),
                retried=headers.get(b"x-retried") == b"1",
                handle=Asked(
                    client,
                    message.head.method,
                    message.head.target,
                    headers.get(b"host", b""),
                    _named(headers, b"x-request-id"),
                    key,
                    message.body,
                ),
            )
        except Malformed as wrong:
            raise Garbled(str(wrong)) from None


def _named(headers: dict[bytes, bytes], name: bytes) -> bytes:
    value = headers.get(name)
    if not value:
        raise Malformed(f"{name.decode()} is missing")
    return value


def _among(table: dict[bytes, object], name: bytes, what: str):
    if name not in table:
        raise Malformed(f"the {what} is unknown: {name[:80]!r}")
    return table[name]


def worded(answer: Answer) -> tuple[int, bytes]:
    """Status and further header lines of a final answer that no server gave."""
    if answer.verdict is Verdict.GIVE_UP:
        return 502, b""
    if answer.come_back_us <= 0:
        return 429, b""
    return 429, b"Retry-After: %.3f\r\n" % (answer.come_back_us / SECOND)
