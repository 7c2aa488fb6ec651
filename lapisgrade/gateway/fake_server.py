"""Fake servers of a local cluster: they send heartbeats, drain and implement the servers' protocol."""

import asyncio
from collections import Counter
from typing import cast

import h11
import msgspec

from lapisgrade.gateway.http_client import post_to_any
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

POLL_INTERVAL_S = 0.01  # interval between checks of a condition, such as whether a caller has disconnected


class FakeServer:
    """One fake server, which implements the servers' protocol and counts the requests that it runs.

    Attributes:
        run_counts: By Try-Id: number of times that the request was executed.
        tenants: By tenant: number of requests that were executed.
        rejected_counts: By Try-Id: number of times that the request was received and not executed, because of
            the fault `full` or `silent`.
        deadlines: By Try-Id: the request's deadline in ms.
        abandoned_after_s: By Try-Id: seconds of work after which a request was abandoned, as its caller had
            disconnected.
        state: The state in its heartbeats: `up` or `drain`.
        running: Number of requests in execution.
        fault: The injected fault; empty for none. `cut` truncates responses and closes the connection,
            `mixed` sends another request's response first, `unsealed` omits the seal, `extra` sends the
            response twice, `full` resets the connection of every request, `failing` answers 500,
            `unavailable` answers 503 after execution, `silent` never answers a request beyond its slots, nor
            any later one on that connection.
    """

    def __init__(
        self, name: str, svc: str, address: tuple[str, int], work_s: float = 0.01, slots: int = 4
    ) -> None:
        """Run up to `slots` requests of the service `svc` concurrently, each for `work_s` seconds."""
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
        """Listen at the server's address."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._callers:
            writer.transport.abort()

    async def send_heartbeat(self, controllers: list[tuple[str, int]]) -> int:
        """Send a heartbeat to the first controller that replies; return the status, or 0 for no reply."""
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
            rest, is_open = b"", True
            while is_open:
                parser, message = MessageParser(h11.SERVER), None
                while message is None:
                    chunk = rest or await reader.read(65_536)
                    rest = b""
                    if not chunk:
                        return
                    message = parser.feed(chunk)
                rest = message.trailing_data
                is_open = await self._answer_request(message, writer)
        except (OSError, MalformedMessageError, asyncio.CancelledError):
            pass
        finally:
            self._callers.pop(writer, None)
            writer.close()

    async def _answer_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
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

    async def _execute(self, try_id: str, writer: asyncio.StreamWriter) -> None:
        """Simulate the work of a request; abandon it when its connection closes, as most servers do."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while (worked := loop.time() - started) < self.work_s:
            if writer.transport.is_closing() or self._callers[writer].at_eof():
                self.abandoned_after_s[try_id] = worked
                return
            await asyncio.sleep(min(POLL_INTERVAL_S, self.work_s - worked))

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        """Run a request and return the encoded response, which has the injected fault.

        A request for another server, beyond the slots, or during a drain is rejected and not counted as run.
        """
        fields = {name: value.decode() for name, value in message.headers().items()}
        try_id = fields.get(b"try-id", "")
        headers = (
            f"Try-Id: {try_id}\r\nInstance: {self.name}\r\nServer-Load: {self.running},0,{self.slots}\r\n"
        )
        if fields.get(b"want-instance", self.name) != self.name:
            return encode_response(421, b"", headers.encode())
        if self.running >= self.slots or self.state != "up":
            return encode_response(503, b"", (headers + "Not-Run: 1\r\n").encode())
        self.running += 1
        self.run_counts[try_id] += 1
        self.tenants[fields.get(b"tenant", "")] += 1
        self.deadlines[try_id] = int(fields.get(b"deadline-ms", "0"))
        try:
            await self._execute(try_id, writer)
        finally:
            self.running -= 1
        body = f"{self.svc} {cast(h11.Request, message.head).target.decode()}".encode()
        response = encode_response(200, body, (headers + "Server-Seal: seal\r\n").encode())
        match self.fault:
            case "cut":
                return response[:-3]
            case "mixed":
                return (
                    encode_response(200, b"another's", b"Try-Id: another\r\nServer-Seal: seal\r\n") + response
                )
            case "failing":
                return encode_response(500, body, (headers + "Server-Seal: seal\r\n").encode())
            case "unavailable":
                return encode_response(503, body, (headers + "Server-Seal: seal\r\n").encode())
            case "unsealed":
                return encode_response(200, body, headers.encode())
            case "extra":
                return response + response
        return response
