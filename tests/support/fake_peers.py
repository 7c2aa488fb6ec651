"""Fakes on loopback of a limiter's peers: servers, the counter service and discovery.

Each implements the operators' protocol, with the faults that its `behavior` selects.
"""

import asyncio
import contextlib
import enum
import json
import time
from collections.abc import Callable
from typing import Any, Self

NO_RESPONSE_S = 30.0  # longer than any time-out under test
WATCH_TIMEOUT_S = 0.3  # maximum time that a watch of discovery stays open without a change


class Behavior(enum.Enum):
    """Behavior of a fake; each fake supports some of these."""

    NORMAL = enum.auto()
    SILENT = enum.auto()  # reads the message and never replies
    CLOSE = enum.auto()  # closes the connection instead of replying
    BUSY = enum.auto()  # counter and discovery: rejects the call
    EMPTY_REPLIES = enum.auto()  # discovery: answers a watch immediately, without changes
    CHUNKED = enum.auto()  # servers, from here on: a chunked body
    EARLY_HINTS = enum.auto()  # an interim response before the final one
    UNTIL_CLOSE = enum.auto()  # a body without a length, terminated by closing the connection
    TRUNCATED = enum.auto()  # the connection closes within the body
    ERROR = enum.auto()  # status 500
    LOAD_REPORT = enum.auto()  # status 500 with a load report
    OVERLOADED = enum.auto()  # status 503 with X-Not-Processed
    UNAVAILABLE = enum.auto()  # status 503 without X-Not-Processed
    BAD_REQUEST = enum.auto()  # status 400
    MALFORMED = enum.auto()  # not HTTP


# A behavior, the delay of a normal reply in seconds, or (counter only) the bytes of the reply.
AnyBehavior = Behavior | float | bytes


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message; returns its start line, its headers by lower-case name, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = (line.partition(": ") for line in head[1:-2])
    headers = {name.lower(): value for name, _, value in fields}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


class FakePeer:
    """A listener that handles the messages of each connection sequentially.

    `behavior` is a behavior for all messages, or a function that returns the behavior for each message.
    """

    def __init__(self, behavior: AnyBehavior | Callable[[], AnyBehavior] = Behavior.NORMAL) -> None:
        self.behavior = behavior
        self.received: list[Any] = []  # all messages, in order
        self.port = 0
        self.block_once_s = 0.0  # seconds for which the whole process is blocked after the next reply
        self.writers: list[asyncio.StreamWriter] = []  # one per accepted connection

    async def open(self) -> Self:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def abort_connections(self) -> None:
        """Reset all connections, as a process crash does."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        self.abort_connections()
        self.server.close()

    def next_behavior(self) -> AnyBehavior:
        """Return the behavior for the current message."""
        return self.behavior() if callable(self.behavior) else self.behavior

    def block_if_requested(self) -> None:
        """Block the whole process once for `block_once_s`."""
        seconds, self.block_once_s = self.block_once_s, 0.0
        time.sleep(seconds)

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Read and answer one message; returns whether the connection stays open."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.serve_one(reader, writer):
                pass
        writer.transport.abort()


def encode_response(behavior: Behavior, body: bytes) -> bytes:
    """Encode a server's response to a request with this body; empty if the server closes instead."""
    echo = b"for " + body
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    complete = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(echo), echo)
    return {
        Behavior.NORMAL: complete,
        Behavior.CHUNKED: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfor \r\n"
        + chunk
        + b"0\r\n\r\n",
        Behavior.EARLY_HINTS: b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" + complete,
        Behavior.UNTIL_CLOSE: b"HTTP/1.1 200 OK\r\n\r\n" + echo,
        Behavior.TRUNCATED: b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nfor ",
        Behavior.ERROR: b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        Behavior.LOAD_REPORT: b"HTTP/1.1 500 Oops\r\nX-Server-Load: TEXT inflight=7, util=0.5\r\n"
        b"Content-Length: 0\r\n\r\n",
        Behavior.OVERLOADED: b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        Behavior.UNAVAILABLE: b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        Behavior.BAD_REQUEST: b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n",
        Behavior.MALFORMED: b"what?\r\n\r\n",
        Behavior.CLOSE: b"",
    }[behavior]


class FakeServer(FakePeer):
    """A server; `received` has the request line, headers, body, time and behavior of each request."""

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        start_line, headers, body = await read_message(reader)
        behavior = self.next_behavior()
        self.received.append((start_line, headers, body, asyncio.get_running_loop().time(), behavior))
        if isinstance(behavior, float):
            await asyncio.sleep(behavior)
            behavior = Behavior.NORMAL
        if behavior is Behavior.SILENT:
            await asyncio.sleep(NO_RESPONSE_S)
            return False
        writer.write(encode_response(behavior, body))
        self.block_if_requested()
        await writer.drain()
        return behavior not in (Behavior.TRUNCATED, Behavior.UNTIL_CLOSE, Behavior.CLOSE)


class FakeCounter(FakePeer):
    """The counter service; `received` has the arguments of each command."""

    def __init__(self, behavior: AnyBehavior | Callable[[], AnyBehavior] = Behavior.NORMAL) -> None:
        super().__init__(behavior)
        self.counts: dict[bytes, float] = {}

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one command."""
        arguments = await self._read_command(reader)
        self.received.append(arguments)
        behavior = self.next_behavior()
        if isinstance(behavior, float):
            await asyncio.sleep(behavior)
        if behavior is Behavior.SILENT:
            await asyncio.sleep(NO_RESPONSE_S)
        if behavior is Behavior.BUSY:
            writer.write(b"-BUSY try later\r\n")
        elif isinstance(behavior, bytes):
            writer.write(behavior)
        elif behavior is not Behavior.CLOSE:
            await self._add(arguments[1], float(arguments[2]), writer)
        return behavior is not Behavior.CLOSE

    @staticmethod
    async def _read_command(reader: asyncio.StreamReader) -> list[bytes]:
        arguments = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            arguments.append((await reader.readexactly(size + 2))[:-2])
        return arguments

    async def _add(self, name: bytes, amount: float, writer: asyncio.StreamWriter) -> None:
        """Add to a count, and send the new total in three fragments."""
        self.counts[name] = self.counts.get(name, 0.0) + amount
        total = b"%.3f" % self.counts[name]
        for fragment in (b"$%d\r" % len(total), b"\n" + total[:1], total[1:] + b"\r\n"):
            await asyncio.sleep(0)
            writer.write(fragment)
        self.block_if_requested()


class FakeDiscovery(FakePeer):
    """The discovery agent; `calls` has the path and time of each call."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        super().__init__()
        self.rows, self.generation = rows, 3
        self.calls: list[tuple[str, float]] = []
        self._changed = asyncio.Event()

    def change(self, **states: str) -> None:
        """Change the lifecycle state of servers, and answer the open watches."""
        for row in self.rows:
            row["lifecycle"] = states.get(row["instanceId"], row["lifecycle"])
        self.generation += 1
        self._changed.set()

    def endpoint_list(self, reset: bool = True) -> dict[str, Any]:
        """Return the reply that lists all servers."""
        return {"generation": self.generation, "reset": reset, "instances": self.rows}

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one call; a watch waits for a change if there is none."""
        start_line, _, _ = await read_message(reader)
        self.calls.append((start_line.split(" ")[1], asyncio.get_running_loop().time()))
        if self.behavior is Behavior.NORMAL and f"since={self.generation}&" in start_line:
            await self._wait_for_change()
        if self.behavior is Behavior.SILENT:
            await asyncio.sleep(NO_RESPONSE_S)
        if self.behavior is Behavior.BUSY:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        reply = self.endpoint_list(False)
        if self.behavior is Behavior.EMPTY_REPLIES:
            reply["instances"] = []
        body = json.dumps(reply).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return True

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), WATCH_TIMEOUT_S)
