"""Stand-in servers of a local cluster: they send heartbeats, drain and answer by the servers' protocol."""

import asyncio
from collections import Counter
from typing import cast

import h11
import msgspec

from lapisgrade.gateway.http_client import post_to_any
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

POLL_INTERVAL_S = 0.01  # between checks whether a caller has gone


class FakeServer:
    """One stand-in server: answers by the protocol, and counts what it ran.

    Attributes:
        run_counts: How often each request was executed, by its Try-Id.
        tenants: How many requests of each tenant were executed.
        rejected_counts: How often each request was reset unread, by its Try-Id.
        deadlines: The deadline that each request came with in ms, by its Try-Id.
        abandoned_after_s: How long the server worked on requests whose caller had gone in s, by their Try-Id.
        state: What its heartbeats say: `up` or `drain`.
        running: How many requests it is executing.
        fault: The fault that it plays: `cut`, `mixed`, `unsealed`, `extra`, `full` (resets what it can't
            take), `failing`, `unavailable` (503 for what it ran), `silent` (never answers what it can't take,
            nor what follows on that connection); empty for none.
    """

    def __init__(
        self, name: str, svc: str, address: tuple[str, int], work_s: float = 0.01, slots: int = 4
    ) -> None:
        """Answer for the service `svc`: `slots` requests at once, each after `work_s` seconds."""
        self.name = name
        self.svc = svc
        self.address = address
        self.work_s = work_s
        self.slots = slots
        self.run_counts: Counter[str] = Counter()
        self.tenants: Counter[str] = Counter()
        self.rejected_counts: Counter[str] = Counter()
        self.deadlines: dict[str, int] = {}
        self.abandoned_after_s: dict[str, float] = {}
        self.state = "up"
        self.sequence_number = 0
        self.running = 0
        self.fault = ""
        self._server: asyncio.Server | None = None
        self._callers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}

    async def start(self) -> None:
        """Listen at its address."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Stop listening, and break all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._callers:
            writer.transport.abort()

    async def send_heartbeat(self, controllers: list[tuple[str, int]]) -> int:
        """Send a heartbeat to the first controller that replies; the status, 0 for none."""
        self.sequence_number += 1
        body = {
            "Svc": self.svc, "Addr": f"{self.address[0]}:{self.address[1]}", "Az": "local", "Ver": "v1",
            "Slots": self.slots, "State": self.state, "Warmup_time": "0ms", "Seq": self.sequence_number,
        }  # fmt: skip
        return await post_to_any(
            controllers, f"/-/rpc?call=servers.heartbeat&of={self.name}", msgspec.json.encode(body)
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._callers[writer] = reader
        try:
            rest, goes_on = b"", True
            while goes_on:
                parser, message = MessageParser(h11.SERVER), None
                while message is None:
                    chunk = rest or await reader.read(65_536)
                    rest = b""
                    if not chunk:
                        return
                    message = parser.feed(chunk)
                rest = message.trailing_data
                goes_on = await self._answer_request(message, writer)
        except (OSError, MalformedMessageError, asyncio.CancelledError):
            pass
        finally:
            self._callers.pop(writer, None)
            writer.close()

    async def _answer_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; whether the connection goes on."""
        if self.fault == "full":
            self.rejected_counts[message.headers().get(b"try-id", b"").decode()] += 1
            writer.transport.abort()
            return False
        if self.fault == "silent" and self.running >= self.slots:
            self.rejected_counts[message.headers().get(b"try-id", b"").decode()] += 1
            await self._wait_for_disconnect(writer)
            return False
        writer.write(await self._answer(message, writer))
        return self.fault != "cut"

    async def _wait_for_disconnect(self, writer: asyncio.StreamWriter) -> None:
        while not (writer.transport.is_closing() or self._callers[writer].at_eof()):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _execute(self, name: str, writer: asyncio.StreamWriter) -> None:
        """The work that a request takes; dropped once its connection closes, as most servers do."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while (worked := loop.time() - began) < self.work_s:
            if writer.transport.is_closing() or self._callers[writer].at_eof():
                self.abandoned_after_s[name] = worked
                return
            await asyncio.sleep(min(POLL_INTERVAL_S, self.work_s - worked))

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        fields = {name: value.decode() for name, value in message.headers().items()}
        name = fields.get(b"try-id", "")
        own = f"Try-Id: {name}\r\nInstance: {self.name}\r\nServer-Load: {self.running},0,{self.slots}\r\n"
        if fields.get(b"want-instance", self.name) != self.name:
            return encode_response(421, b"", own.encode())
        if self.running >= self.slots or self.state != "up":
            return encode_response(503, b"", (own + "Not-Run: 1\r\n").encode())
        self.running += 1
        self.run_counts[name] += 1
        self.tenants[fields.get(b"tenant", "")] += 1
        self.deadlines[name] = int(fields.get(b"deadline-ms", "0"))
        try:
            await self._execute(name, writer)
        finally:
            self.running -= 1
        body = f"{self.svc} {cast(h11.Request, message.head).target.decode()}".encode()
        whole = encode_response(200, body, (own + "Server-Seal: seal\r\n").encode())
        match self.fault:
            case "cut":
                return whole[:-3]
            case "mixed":
                return encode_response(200, b"another's", b"Try-Id: another\r\nServer-Seal: seal\r\n") + whole
            case "failing":
                return encode_response(500, body, (own + "Server-Seal: seal\r\n").encode())
            case "unavailable":
                return encode_response(503, body, (own + "Server-Seal: seal\r\n").encode())
            case "unsealed":
                return encode_response(200, body, own.encode())
            case "extra":
                return whole + whole
        return whole
