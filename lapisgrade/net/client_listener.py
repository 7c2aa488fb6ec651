"""Accepts clients' connections, bounds how many there are, and closes those that ask nothing."""

import asyncio
import socket
from collections.abc import Callable

from lapisgrade.interface import Operation
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection import limit_read_size
from lapisgrade.net.events import Event
from lapisgrade.net.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, Message
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.request_parser import RequestParser

# The protocol's figures: a connection with no open request may be closed after 2 s, and one that brings no
# complete request is owed an error or its end within 3 s.
REQUEST_TIMEOUT_S = 2.0  # from connecting, or from a request's first byte, to a complete request
IDLE_TIMEOUT_S = 2.0  # that a connection may be idle after a response; clients that ask again do so sooner
IDLE_DIVISOR = 4  # the part of all clients' connections that may be idle for that long
CHECK_INTERVAL_S = 0.2  # between checks for either
EVICTION_GRACE_S = 0.2  # from connecting; a client that means to ask has asked by then
ACCEPT_BATCH = 16  # connections accepted in one turn of the loop, before any other must make room for them
BACKLOG = 1024  # connections that wait in the kernel meanwhile


class ClientListener:
    """All clients' connections.

    What clients ask goes out through `enqueue` as `RequestReceived` and `ClientDisconnected`; responses come
    back by `ClientConnection.respond`.
    """

    READINESS_TARGET = b"/up"
    # Another protocol of clients sets these on its own listener.
    max_body_bytes = MAX_BODY_BYTES
    max_head_bytes = MAX_HEAD_BYTES
    request_timeout_s = REQUEST_TIMEOUT_S
    idle_timeout_s = IDLE_TIMEOUT_S

    def __init__(
        self,
        enqueue: Callable[[Event], None],
        now: Callable[[], int],
        log: Callable[[str], None],
        metrics: NetMetrics,
        parser: RequestParser | None,
        max_connections: int,
    ) -> None:
        """`now` is in us; `log` takes one line for the people on call."""
        self.enqueue = enqueue
        self.log = log
        self.metrics = metrics
        self.open_request_ids: set[bytes] = set()
        self.clients: dict[ClientConnection, None] = {}
        # Connections without an open request, and since when (s of the loop's clock); the longest first.
        self.awaiting_first_request: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}  # all that was asked is answered
        self.is_draining = False  # readiness is denied
        self.closes_after_response = False  # each response is its connection's last from now on
        self._now = now
        self._parser = parser
        self._max_connections = max_connections
        self._idle_at_last_close: list[ClientConnection] = []
        self._server: asyncio.Server | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Accept connections from now on. OSError where the address is taken."""
        listener = socket.create_server(address)
        self._server = await asyncio.start_server(self._accept, sock=listener, backlog=ACCEPT_BATCH)
        listener.listen(BACKLOG)
        self._close_expired()

    def is_listening(self) -> bool:
        """Whether `listen` was called."""
        return self._server is not None

    def stop_accepting(self) -> None:
        """Take no new connections (guards the end against those who go on connecting)."""
        self._server.close()

    def close_idle(self) -> None:
        """From now on connections end with their responses; those idle since the last such call end now."""
        self.closes_after_response = True
        for client in self._idle_at_last_close:
            if client in self.awaiting_first_request or client in self.idle:
                client.close(CloseReason.IDLE)
        self._idle_at_last_close = [*self.awaiting_first_request, *self.idle]

    def close(self) -> None:
        """Take no new connections, and abort all that are left."""
        self._check_timer.cancel()
        self._server.close()
        for client in list(self.clients):
            client.abort(CloseReason.CANCELLED)

    def parse_request(self, client: ClientConnection, message: Message) -> Operation | None:
        """The operation that a request asks for; None where it is answered already.

        Raises:
            MalformedMessageError: It asks for none.
        """
        return self._parser.parse(client, message, self._now(), self.open_request_ids)

    # ---- called by connections

    def mark_receiving(self, client: ClientConnection) -> None:
        """Part of a request has come; the first one's time still runs from connecting."""
        self.idle.pop(client, None)

    def mark_busy(self, client: ClientConnection) -> None:
        """A request is open, or the connection closes."""
        self.awaiting_first_request.pop(client, None)
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """All that was asked is answered."""
        self.mark_busy(client)
        self.idle[client] = asyncio.get_running_loop().time()

    def on_closed(self, client: ClientConnection, reason: CloseReason) -> None:
        """The connection has ended."""
        self.clients.pop(client, None)
        self.mark_busy(client)
        self.metrics.client_connections_closed[reason] += 1

    # ---- bounds

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        limit_read_size(writer)
        client = ClientConnection(self, writer)
        self.clients[client] = None
        self.awaiting_first_request[client] = asyncio.get_running_loop().time()
        self.metrics.client_connections_accepted += 1
        if len(self.clients) > self._max_connections:
            self._free_capacity(client)
        await client.run(reader)

    def _free_capacity(self, newest: ClientConnection) -> None:
        """Close one that asks nothing, else one that is idle, else reject the newest (guards descriptors).

        One that came just now may be about to ask, and would lose what it asks.
        """
        oldest = next(iter(self.awaiting_first_request), newest)
        latest = asyncio.get_running_loop().time() - EVICTION_GRACE_S
        if oldest is not newest and self.awaiting_first_request[oldest] < latest:
            oldest.abort(CloseReason.TIMED_OUT)
        elif self.idle:
            next(iter(self.idle)).abort(CloseReason.IDLE)
        else:
            newest.is_over_limit = True

    def _close_expired(self) -> None:
        """Close connections that ask nothing (guards descriptors and memory), and come back."""
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(CHECK_INTERVAL_S, self._close_expired)
        now = loop.time()
        expired = [
            client
            for client, since in self.awaiting_first_request.items()
            if since < now - self.request_timeout_s
        ]
        for client in expired:
            client.on_request_timeout()
        # The load balancers before us open so many connections at most, and an idle one takes the place of
        # one that asks: beyond a few, those idle for longest go sooner (guards against those who ask once).
        excess = len(self.idle) - self._max_connections // IDLE_DIVISOR
        for i, (client, since) in enumerate(list(self.idle.items())):
            if since < now - (EVICTION_GRACE_S if i < excess else self.idle_timeout_s):
                client.close(CloseReason.IDLE)
