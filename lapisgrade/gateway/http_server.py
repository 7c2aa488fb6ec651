"""A small HTTP server for calls of servers, operators and the platform.

It answers the requests of a connection one after another, each with a short JSON body.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

import h11

from lapisgrade.gateway.rpc_connection import detect_dead_peer
from lapisgrade.net.connection import READ_BYTES, limit_read_size
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

IDLE_TIMEOUT_S = 30.0  # maximum time for a complete request to arrive, before the connection is closed
MAX_CONNECTIONS = 512  # bounds descriptors; beyond it the connection idle for longest is closed
LISTEN_BACKLOG = 64
CLOSE_FIELD = b"Connection: close\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpReply(NamedTuple):
    """A handler's reply.

    Attributes:
        status: The HTTP status.
        body: JSON; empty for no body.
        fields: Additional header lines, each with its line end.
    """

    status: int
    body: bytes = b""
    fields: bytes = b""


Handler = Callable[[Message], Awaitable[HttpReply]]


class HttpServer:
    """Passes each request to a handler.

    Attributes:
        closing: Whether the server shuts down: each connection is closed after its current request.
    """

    def __init__(self, handler: Handler, max_body_bytes: int, max_connections: int = MAX_CONNECTIONS) -> None:
        """Reject requests with a body over `max_body_bytes`, and keep at most `max_connections` open."""
        self._handler = handler
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        # Connections that wait for a complete request, the one that has waited longest first.
        self._idle: dict[asyncio.StreamWriter, None] = {}
        self.closing = False

    async def listen(self, address: tuple[str, int]) -> None:
        """Accept connections at the address.

        Raises:
            OSError: Listening at the address fails.
        """
        sock = socket.create_server(tuple(address))
        self._server = await asyncio.start_server(self._on_connection, sock=sock, backlog=LISTEN_BACKLOG)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        if len(self._connections) > self._max_connections:
            self._free_capacity(writer)
        limit_read_size(writer)
        detect_dead_peer(writer.transport)
        try:
            await self._answer_requests(reader, writer)
        except (OSError, TimeoutError):
            pass
        finally:
            self._connections.discard(writer)
            self._idle.pop(writer, None)
            writer.close()

    def _free_capacity(self, newest: asyncio.StreamWriter) -> None:
        """Close the connection that has been idle for longest, or the newest one if none is idle."""
        closed = next(iter(self._idle), newest)
        self._idle.pop(closed, None)
        self._connections.discard(closed)
        closed.transport.abort()

    async def _answer_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        rest = b""  # bytes received after the previous request
        while True:
            try:
                self._idle[writer] = None
                message = await self._read_request(reader, writer, rest)
                self._idle.pop(writer, None)
            except MalformedMessageError as error:
                writer.write(encode_response(error.status, b'{"Err":"not a request"}', CLOSE_FIELD))
                return
            if message is None:
                return
            rest = message.trailing_data
            status, body, fields = await self._handler(message)
            is_last = message.closes_connection or self.closing
            writer.write(encode_response(status, body, fields + (CLOSE_FIELD if is_last else b"")))
            await writer.drain()
            if is_last:
                return

    async def _read_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rest: bytes
    ) -> Message | None:
        """Return the next request; None at the end of the connection.

        Raises:
            TimeoutError: It is not complete after `IDLE_TIMEOUT_S`.
            MalformedMessageError: It is not a valid HTTP request.
        """
        parser = MessageParser(h11.SERVER, self._max_body_bytes)
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            while True:
                chunk = rest or await reader.read(READ_BYTES)
                rest = b""
                if not chunk:
                    return None
                message = parser.feed(chunk)
                if message is not None:
                    return message
                if parser.expects_continue():
                    writer.write(CONTINUE)


def encode_response(status: int, body: bytes, fields: bytes) -> bytes:
    """Return an HTTP response with a JSON body; `fields` are additional header lines with line ends."""
    reason = HTTPStatus(status).phrase.encode() if status in HTTPStatus._value2member_map_ else b""
    content_type = b"Content-Type: application/json\r\n" if body else b""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        reason,
        content_type,
        len(body),
        fields,
        body,
    )
