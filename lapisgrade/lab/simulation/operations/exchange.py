"""One request of a client to a proxy, through the proxy's `ClientConnection` but without a socket."""

import asyncio
from collections.abc import Callable

import h11

from lapisgrade.lab.simulation.operations.history import Answer, Try
from lapisgrade.lab.simulation.operations.proxy import KeyedProxyMachine
from lapisgrade.lab.simulation.proxies import HOST
from lapisgrade.lab.simulation.virtual_loop import Process, VirtualLoop
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.http import MessageParser

MIN_DELAY_US, MAX_DELAY_US = 300, 8_000  # network delay between a client and a proxy
REQUEST_DEADLINE_MS = 2_000


class SimulatedWriter:
    """A substitute for a `StreamWriter` that sends the bytes to a simulated client."""

    def __init__(
        self, loop: VirtualLoop, reader: asyncio.StreamReader, on_bytes: Callable[[bytes], None]
    ) -> None:
        self.transport = self
        self._loop = loop
        self._reader = reader
        self._on_bytes = on_bytes
        self._is_closing = False

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        self._on_bytes(bytes(data))

    def writelines(self, chunks: list[bytes]) -> None:
        """Send bytes to the client."""
        self.write(b"".join(bytes(each) for each in chunks))

    def get_write_buffer_size(self) -> int:
        """Return 0: writes are sent immediately."""
        return 0

    def is_closing(self) -> bool:
        """Whether `close` was called."""
        return self._is_closing

    def close(self) -> None:
        """Close the connection on both sides."""
        if not self._is_closing:
            self._is_closing = True
            self._loop.call_soon(self._reader.feed_eof)
            self._on_bytes(b"")

    abort = close


class Exchange:
    """A try in flight.

    Attributes:
        answer: Resolved with the response, or with None if the client gets no complete response.
        process: The proxy process that received the try.
    """

    def __init__(self, loop: VirtualLoop, machine: KeyedProxyMachine, sent: Try, api_key: str) -> None:
        self.answer: asyncio.Future[Answer | None] = loop.create_future()
        self._loop = loop
        self._machine = machine
        self._sent = sent
        self._client = machine.simulation.client_process
        self._reader: asyncio.StreamReader | None = None
        self.process: Process | None = None
        self._parser = MessageParser(h11.CLIENT)
        loop.schedule(self._delay_us(), None, self._arrive, encode_request(sent, api_key))

    def disconnect(self) -> None:
        """Disconnect the client."""
        self._resolve(None)
        if self._reader is not None and self.process is not None:
            self._loop.schedule(self._delay_us(), self.process, self._reader.feed_eof)

    def reset(self) -> None:
        """Break the client's connection, because the proxy's process has ended."""
        self._loop.schedule(self._delay_us(), self._client, self._resolve, None)

    def _delay_us(self) -> int:
        return self._loop.random.randrange(MIN_DELAY_US, MAX_DELAY_US)

    def _arrive(self, request: bytes) -> None:
        """Deliver the request to the proxy; without a running process, break the connection."""
        if not self._machine.is_running:
            return self.reset()
        self.process = self._machine.process
        self._machine.exchanges.append(self)
        self._loop.schedule(0, self.process, self._open, request)

    def _open(self, request: bytes) -> None:
        """Handle the connection in the proxy's process."""
        self._reader = asyncio.StreamReader(loop=self._loop)
        front = self._machine.proxy.client_front
        connection = ClientConnection(front, SimulatedWriter(self._loop, self._reader, self._send_to_client))
        front.clients[connection] = None
        front.mark_idle(connection)
        self._reader.feed_data(request)
        self._loop.create_task(connection.run(self._reader))

    def _send_to_client(self, data: bytes) -> None:
        self._loop.schedule(self._delay_us(), self._client, self._on_bytes, data)

    def _on_bytes(self, data: bytes) -> None:
        """Parse what the client receives; no data means that the proxy has closed the connection."""
        if self.answer.done():
            return
        message = self._parser.feed(data) if data else None
        if message is None:
            return self._resolve(None)
        fields = [(name.lower(), value.decode()) for name, value in message.head.headers.raw_items()]
        try_ids = tuple(value for name, value in fields if name == b"try-id")
        seal = "".join(value for name, value in fields if name == b"server-seal")
        body = b"".join(bytes(each) for each in message.body)
        self._resolve(Answer(message.head.status_code, try_ids, seal, body))

    def _resolve(self, answer: Answer | None) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)


def encode_request(sent: Try, api_key: str) -> bytes:
    """Return the HTTP request of a try."""
    _, key = sent.operation
    head = (
        f"POST /keyed/1 HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {sent.try_id}\r\nOp-Key: {key}\r\n"
        f"Deadline-Ms: {REQUEST_DEADLINE_MS}\r\nAuthorization: Bearer {api_key}\r\n"
        f"Content-Length: {len(sent.body)}\r\n\r\n"
    )
    return head.encode() + sent.body
