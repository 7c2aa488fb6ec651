"""A small HTTP server for what servers, operators and the platform ask: reads one request after another from
a connection and answers each with a short JSON body."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import h11

from lapisgrade.net.connection import READ_BYTES, limit_read_size
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser
from lapisgrade.gateway.rpc import sturdy

IDLE = 30.0  # s that a caller's connection may stand without a request
MOST_CALLERS = 512  # connections; more are closed as they come (guards descriptors)

Handler = Callable[[Message], Awaitable[tuple[int, bytes, bytes]]]  # status, body, further header lines


class HttpServer:
    def __init__(self, handler: Handler, most_body: int) -> None:
        self._handler, self._most, self._server = handler, most_body, None
        self._open: set[asyncio.StreamWriter] = set()
        self.closing = False

    async def listen(self, address: tuple[str, int]) -> None:
        sock = socket.create_server(tuple(address))
        self._server = await asyncio.start_server(self._serve, sock=sock, backlog=64)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= MOST_CALLERS:
            writer.transport.abort()
            return
        self._open.add(writer)
        limit_read_size(writer)
        sturdy(writer.transport)
        try:
            await self._answer(reader, writer)
        except (OSError, TimeoutError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        rest = b""
        while True:
            parser, message = MessageParser(h11.SERVER, self._most), None
            try:
                async with asyncio.timeout(IDLE):
                    while message is None:
                        chunk = rest or await reader.read(READ_BYTES)
                        rest = b""
                        if not chunk:
                            return
                        message = parser.feed(chunk)
                        if message is None and parser.expects_continue():
                            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            except MalformedMessageError as wrong:
                writer.write(framed(wrong.status, b'{"Err":"not a request"}', b"Connection: close\r\n"))
                return
            rest = message.rest
            status, body, more = await self._handler(message)
            last = message.last or self.closing
            writer.write(framed(status, body, more + (b"Connection: close\r\n" if last else b"")))
            await writer.drain()
            if last:
                return


def framed(status: int, body: bytes, more: bytes) -> bytes:
    reason = HTTPStatus(status).phrase.encode() if status in HTTPStatus._value2member_map_ else b""
    kind = b"Content-Type: application/json\r\n" if body else b""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        reason,
        kind,
        len(body),
        more,
        body,
    )
