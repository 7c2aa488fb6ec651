"""The HTTP/1.1 server side that the discovery and server fakes share: one request at a time on a connection.

It is apart from `net.http` on purpose: the fakes check what the limiter writes, so that a fault in the
limiter's own reader must not hide itself by standing on both sides. Here h11 does all of the framing.

Messages are framed by h11. A peer that sends garbage gets one 400 and the connection ends; one that falls
silent is let go after `IDLE_TIMEOUT_S`.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

READ_BYTES = 16_384  # one read
MAX_HEAD_BYTES = 16_384  # bytes of a request's head that are held before it is refused
MAX_BODY_BYTES = 1 << 20  # bytes of a request's body that are held before it is refused
IDLE_TIMEOUT_S = 30.0  # a connection that brings nothing for this long is closed


@dataclass(slots=True)
class Request:
    """One request as it came: method, target, headers with lower-case names, body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def query(self) -> dict[str, str]:
        """The query's values by name."""
        pairs = (each.partition("=") for each in self.target.partition("?")[2].split("&") if each)
        return {name: value for name, _, value in pairs}


@dataclass(slots=True)
class Response:
    """One answer; `close` ends the connection after it, `abort` breaks it without an answer."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    close: bool = False
    abort: bool = False


Handler = Callable[[Request], Awaitable[Response]]


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handle: Handler) -> None:
    """Answer requests on one connection until it ends; every error of the peer ends it quietly."""
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
        return  # the fake ends; a handler that re-raised would be logged by asyncio's streams as an error
    except (OSError, TimeoutError, h11.ProtocolError):
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(h11.ProtocolError):
                writer.write(conn.send(h11.Response(status_code=400, headers=[("Content-Length", "0")])))
    finally:
        writer.transport.abort()


async def _read(reader: asyncio.StreamReader, conn: h11.Connection) -> Request | None:
    """The next whole request, or None where the peer ended the connection between requests."""
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
