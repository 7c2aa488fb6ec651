"""The HTTP/1.1 server of the discovery and server fakes: one request at a time per connection.

It deliberately does not use `net.http`: the fakes check what the limiter writes, and a fault in code shared
by both sides would go unnoticed. h11 does all of the framing.

A client that sends malformed data gets one 400 response, and the connection is closed. An idle connection is
closed after `IDLE_TIMEOUT_S`.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

READ_BYTES = 16_384  # maximum bytes per read
MAX_HEAD_BYTES = 16_384  # maximum size of a request's head; a larger one is rejected
MAX_BODY_BYTES = 1 << 20  # maximum size of a request's body; a larger one is rejected
IDLE_TIMEOUT_S = 30.0  # a connection that sends nothing for this long is closed


@dataclass(slots=True)
class Request:
    """One request. Header names are in lower case."""

    method: str
    target: str  # path and query string
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    def query(self) -> dict[str, str]:
        """Return the query parameters by name, without percent-decoding."""
        pairs = (each.partition("=") for each in self.target.partition("?")[2].split("&") if each)
        return {name: value for name, _, value in pairs}


@dataclass(slots=True)
class Response:
    """One response; `close` closes the connection after it, `abort` resets it without a response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    close: bool = False
    abort: bool = False


Handler = Callable[[Request], Awaitable[Response]]


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handle: Handler) -> None:
    """Serve requests on one connection until it ends; an error of the client ends it without a log line.

    Args:
        reader: Stream from the client.
        writer: Stream to the client.
        handle: Returns the response to a request.
    """
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    try:
        while True:
            request = await _read(reader, conn)
            if request is None:
                return
            response = await handle(request)
            if response.abort:
                return
            headers = [("Content-Length", str(len(response.body))), *response.headers]
            if response.close:
                headers.append(("Connection", "close"))
            writer.write(conn.send(h11.Response(status_code=response.status, headers=headers)))
            writer.write(conn.send(h11.Data(data=response.body)) if response.body else b"")
            writer.write(conn.send(h11.EndOfMessage()))
            await writer.drain()
            if response.close or conn.our_state is not h11.DONE:
                return
            conn.start_next_cycle()
    except asyncio.CancelledError:
        return  # the fake stops; asyncio's streams log an error for a handler that re-raises its cancellation
    except (OSError, TimeoutError, h11.ProtocolError):
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(h11.ProtocolError):
                writer.write(conn.send(h11.Response(status_code=400, headers=[("Content-Length", "0")])))
    finally:
        writer.transport.abort()


async def _read(reader: asyncio.StreamReader, conn: h11.Connection) -> Request | None:
    """Return the next complete request, or None if the client closed the connection between requests."""
    request, body = None, bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                chunk = await reader.read(READ_BYTES)
            conn.receive_data(chunk)
            if not chunk and request is None:
                return None
            continue
        if isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError("body too long")
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            headers = {name.decode().lower(): value.decode("latin-1") for name, value in request.headers}
            return Request(request.method.decode(), request.target.decode("latin-1"), headers, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            return None
