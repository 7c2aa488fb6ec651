"""Fakes on loopback of all that a limiter talks to: servers, the counter and discovery.

Each serves the operators' protocol, and misbehaves as its `behavior` says.
"""

import asyncio
import contextlib
import enum
import json
import time
from collections.abc import Callable
from typing import Any, Self

NO_RESPONSE_S = 30.0  # longer than any time-out under test
WATCH_TIMEOUT_S = 0.3  # how long discovery holds a watch open without a change


class Behavior(enum.Enum):
    """How a fake answers; not every fake knows every one."""

    NORMAL = enum.auto()
    SILENT = enum.auto()  # takes the message and never answers
    CLOSE = enum.auto()  # closes the connection in place of an answer
    BUSY = enum.auto()  # counter and discovery: refuses the call
    EMPTY_REPLIES = enum.auto()  # discovery: answers a watch at once, with no changes
    CHUNKED = enum.auto()  # servers, from here on: a chunked body
    EARLY_HINTS = enum.auto()  # an interim response before the final one
    UNTIL_CLOSE = enum.auto()  # a body without a length, which ends with the connection
    TRUNCATED = enum.auto()  # the connection ends within the body
    ERROR = enum.auto()  # status 500
    LOAD_REPORT = enum.auto()  # status 500 with the server's load
    OVERLOADED = enum.auto()  # status 503 that says that nothing was processed
    UNAVAILABLE = enum.auto()  # status 503 that does not say so
    BAD_REQUEST = enum.auto()  # status 400
    MALFORMED = enum.auto()  # no HTTP


# One behaviour, seconds that a normal answer takes, or (the counter alone) the bytes of the reply.
AnyBehavior = Behavior | float | bytes


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP message: its first line, its headers by lower-case name, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = (line.partition(": ") for line in head[1:-2])
    headers = {name.lower(): value for name, _, value in fields}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


class FakePeer:
    """A listener that serves one message after another on each connection.

    `behavior` is one behaviour for all messages, or a function that is called for each.
    """

    def __init__(self, behavior: AnyBehavior | Callable[[], AnyBehavior] = Behavior.NORMAL) -> None:
        self.behavior = behavior
        self.received: list[Any] = []  # each message, in order
        self.port = 0
        self.block_once_s = 0.0  # blocks the whole process for so long, after the next answer
        self.writers: list[asyncio.StreamWriter] = []  # of every connection so far

    async def open(self) -> Self:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def abort_connections(self) -> None:
        """Reset every connection, as a process that dies does."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def close(self) -> None:
        """Stop listening, and reset every connection."""
        self.abort_connections()
        self.server.close()

    def next_behavior(self) -> AnyBehavior:
        """How to answer the message at hand."""
        return self.behavior() if callable(self.behavior) else self.behavior

    def block_if_requested(self) -> None:
        """Keep this process from its sockets, once."""
        seconds, self.block_once_s = self.block_once_s, 0.0
        time.sleep(seconds)

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Read and answer one message; whether the connection goes on."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.serve_one(reader, writer):
                pass
        writer.transport.abort()


def encode_response(behavior: Behavior, body: bytes) -> bytes:
    """What a server with that behaviour answers to a request with that body; nothing where it closes."""
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
    """A server; `received` has first line, headers, body, time and behaviour of each request."""

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        first, headers, body = await read_message(reader)
        behavior = self.next_behavior()
        self.received.append((first, headers, body, asyncio.get_running_loop().time(), behavior))
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
    """The counter; `received` has the words of each command."""

    def __init__(self, behavior: AnyBehavior | Callable[[], AnyBehavior] = Behavior.NORMAL) -> None:
        super().__init__(behavior)
        self.counts: dict[bytes, float] = {}

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one command."""
        words = await self._read_command(reader)
        self.received.append(words)
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
            await self._add(words[1], float(words[2]), writer)
        return behavior is not Behavior.CLOSE

    @staticmethod
    async def _read_command(reader: asyncio.StreamReader) -> list[bytes]:
        words = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return words

    async def _add(self, name: bytes, amount: float, writer: asyncio.StreamWriter) -> None:
        """Count, and reply the new total in three fragments."""
        self.counts[name] = self.counts.get(name, 0.0) + amount
        total = b"%.3f" % self.counts[name]
        for fragment in (b"$%d\r" % len(total), b"\n" + total[:1], total[1:] + b"\r\n"):
            await asyncio.sleep(0)
            writer.write(fragment)
        self.block_if_requested()


class FakeDiscovery(FakePeer):
    """Discovery; `calls` has path and time of each call."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        super().__init__()
        self.rows, self.generation = rows, 3
        self.calls: list[tuple[str, float]] = []
        self._changed = asyncio.Event()

    def change(self, **states: str) -> None:
        """Give servers a new lifecycle state, and answer the watches that wait."""
        for row in self.rows:
            row["lifecycle"] = states.get(row["instanceId"], row["lifecycle"])
        self.generation += 1
        self._changed.set()

    def endpoint_list(self, reset: bool = True) -> dict[str, Any]:
        """The reply with every server."""
        return {"generation": self.generation, "reset": reset, "instances": self.rows}

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one call; a watch without news waits for them."""
        first, _, _ = await read_message(reader)
        self.calls.append((first.split(" ")[1], asyncio.get_running_loop().time()))
        if self.behavior is Behavior.NORMAL and f"since={self.generation}&" in first:
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
