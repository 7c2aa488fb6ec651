"""Cuts HTTP messages out of what a connection brings. h11 parses; bodies stay slices of what was read."""

import asyncio
import re
import select
from collections.abc import Callable
from dataclasses import dataclass

import h11

from lapisgrade.errors import LapisgradeError

READ_BYTES = 16_384  # bytes asked for in one read; most messages are far smaller
MAX_BODY_BYTES = 65_536  # bytes; the protocol's
# h11 takes an answer also where no request has passed through it, but none that only announces another (1xx).
# A bare request before those is all that it needs; without one, an answer costs a third less to read.
_PRIMER = h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")])
_FINAL = re.compile(rb"HTTP/1\.[01] [2-9]")


def limit_read_size(writer: asyncio.StreamWriter) -> None:
    """asyncio makes a buffer of 256 KiB for each read, which costs more than the read itself."""
    writer.transport.max_size = READ_BYTES


class Reader(asyncio.StreamReader):
    """A stream that tells how much has come of it and was not read yet."""

    unread = 0  # bytes

    def feed_data(self, data: bytes) -> None:
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.unread -= len(data)
        return data


async def connect(host: str, port: int) -> tuple[Reader, asyncio.StreamWriter]:
    """Open a connection, as asyncio does, with a stream that `stale` can look into."""
    loop = asyncio.get_running_loop()
    reader = Reader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def is_stale(reader: Reader, writer: asyncio.StreamWriter) -> bool:
    """Whether a connection on which nothing is due has ended or brought something, as far as we know.

    What is written to it then may have run, for all that we know (guards operations that must not repeat, and
    counts that must not be added twice); and what it brought would be taken for the next answer.
    """
    if writer.is_closing() or reader.at_eof() or reader.unread:
        return True
    return bool(select.select([writer.get_extra_info("socket")], [], [], 0)[0])


def call_after_pending_io(call: Callable[[], None]) -> None:
    """Carry out a time-out, but after all that has come by now (guards against our own sleep)."""
    asyncio.get_running_loop().call_soon(call)


class MalformedMessageError(LapisgradeError):
    """What came is not the protocol; `status` is what a client is told."""

    def __init__(self, words: str, status: int = 400) -> None:
        super().__init__(words)
        self.status = status


@dataclass(slots=True)
class Message:
    """One whole request or answer."""

    head: h11.Request | h11.Response
    body: list[memoryview | bytes]
    size: int  # bytes of body
    rest: bytes  # read already, but of the next message
    last: bool  # nothing may follow on this connection

    def headers(self) -> dict[bytes, bytes]:
        return {name.lower(): value for name, value in self.head.headers.raw_items()}


class MessageParser:
    """Takes in what is read until one message is whole; a message has a parser of its own."""

    __slots__ = ("_bare", "_body", "_head", "_machine", "_most", "_size")

    def __init__(self, role: type, most: int = MAX_BODY_BYTES) -> None:
        self._machine, self._most = h11.Connection(role), most
        self._bare = role is h11.CLIENT
        self._head: h11.Request | h11.Response | None = None
        self._body: list[memoryview | bytes] = []
        self._size = 0

    def feed(self, chunk: bytes) -> Message | None:
        """Take in one read, empty at the end of the stream; the message, once it is whole."""
        machine = self._machine
        if self._bare:
            self._bare = False
            if not _FINAL.match(chunk):
                machine.send(_PRIMER)
                machine.send(h11.EndOfMessage())
        try:
            machine.receive_data(chunk)
            while True:
                event = machine.next_event()
                kind = type(event)
                if kind is h11.EndOfMessage:
                    last = machine.their_state is not h11.DONE
                    return Message(self._head, self._body, self._size, machine.trailing_data[0], last)
                if kind is h11.Data:
                    self._keep(chunk, event.data)
                elif kind in (h11.Request, h11.Response):
                    self._judge(event)
                    self._head = event
                elif kind is h11.NEED_DATA:
                    return None
                elif kind is not h11.InformationalResponse:
                    raise MalformedMessageError("the connection ended inside a message")
        except h11.RemoteProtocolError as wrong:
            raise MalformedMessageError(str(wrong), wrong.error_status_hint) from None

    def _judge(self, head: h11.Request | h11.Response) -> None:
        """Whether the body may be read, and by one length alone.

        Two lengths may hide another message in a body (guards against a request that nobody asked to run).
        """
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and (b"content-length" in names or head.http_version < b"1.1"):
            raise MalformedMessageError("the body has two lengths")
        if any(name == b"content-length" and int(value) > self._most for name, value in head.headers):
            raise MalformedMessageError("the body is too long", 413)

    def expects(self) -> bool:
        """Whether the other side waits for our word before it sends the body."""
        return self._machine.they_are_waiting_for_100_continue

    def _keep(self, chunk: bytes, data: bytes) -> None:
        """Keep a piece of the body: the slice of the read that h11 has just passed over."""
        size = len(data)
        self._size += size
        if self._size > self._most:
            raise MalformedMessageError("the body is too long", 413)
        end = len(chunk) - len(self._machine.trailing_data[0])
        self._body.append(memoryview(chunk)[end - size : end])
