"""Accepts client connections, limits their number, and closes those without a request."""

import asyncio
import socket
from collections.abc import Callable

from lapisgrade.interface import Operation
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection import limit_read_size
from lapisgrade.net.events import Event
from lapisgrade.net.http import MalformedMessageError, Message
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.request_limits import RequestLimits
from lapisgrade.net.request_parser import RequestParser

IDLE_DIVISOR = 4  # one in this many of the allowed connections may be idle for the idle time-out
CHECK_INTERVAL_S = 0.2  # interval between checks of the time-outs
# Minimum time without a request, since connecting or since the last response, before a connection is closed
# early. An active client sends its request within this time. At the connection limit, an idle connection is
# evicted without it.
EVICTION_GRACE_S = 0.2
ACCEPT_BATCH = 16  # connections accepted per turn of the event loop, before others are evicted for them
BACKLOG = 1024  # pending connections in the kernel


class ClientListener:
    """Manages all client connections.

    Requests are enqueued as `RequestReceived` and `ClientDisconnected` events; `ClientConnection.respond`
    writes the responses.
    """

    READINESS_TARGET = b"/up"  # subclasses for other client protocols override it
    limits = RequestLimits()  # replaced as a whole when the limits change

    def __init__(
        self,
        enqueue: Callable[[Event], None],
        now: Callable[[], int],
        log: Callable[[str], None],
        metrics: NetMetrics,
        parser: RequestParser | None,
        max_connections: int,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            enqueue: Receives the events.
            now: Returns the current time in microseconds.
            log: Writes one log line.
            metrics: Counters to update.
            parser: Parses requests; None if a subclass overrides `parse_request`.
            max_connections: Number of connections beyond which others are evicted or requests rejected.
        """
        self.enqueue = enqueue
        self.log = self.log_failure = log  # `log_failure` writes a log entry about an exception
        self.metrics = metrics
        self.open_request_ids: set[bytes] = set()
        self.clients: dict[ClientConnection, None] = {}  # all open connections, in order of acceptance
        # Connections without an open request, with the start of that state in seconds of the loop's clock;
        # longest first.
        self.awaiting_first_request: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}  # all requests are answered
        self.is_draining = False  # readiness checks are answered with 503
        self.closes_after_response = False  # connections are closed after their next response
        self._now = now
        self._parser = parser
        self._max_connections = max_connections
        self._idle_at_last_close: list[ClientConnection] = []  # at the last call of `close_idle`
        self._server: asyncio.Server | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Start accepting connections.

        Raises:
            OSError: The address is in use.
        """
        listening_socket = socket.create_server(address)
        # asyncio accepts up to `backlog` connections per turn; the kernel's backlog is then set separately.
        self._server = await asyncio.start_server(self._accept, sock=listening_socket, backlog=ACCEPT_BATCH)
        listening_socket.listen(BACKLOG)
        self._close_expired()

    def is_listening(self) -> bool:
        """Return whether `listen` was called."""
        return self._server is not None

    def stop_accepting(self) -> None:
        """Stop accepting connections, so that clients that keep connecting do not delay the shutdown."""
        self._server.close()

    def close_idle(self) -> None:
        """Close each connection after its next response, and immediately those idle since the last call.

        The service calls this repeatedly while it drains.
        """
        self.closes_after_response = True
        for client in self._idle_at_last_close:
            if client in self.awaiting_first_request or client in self.idle:
                client.close(CloseReason.IDLE)
        self._idle_at_last_close = [*self.awaiting_first_request, *self.idle]

    def close(self) -> None:
        """Stop accepting connections, and abort all remaining ones."""
        self._check_timer.cancel()
        self._server.close()
        for client in list(self.clients):
            client.abort(CloseReason.CANCELLED)

    def parse_request(self, client: ClientConnection, message: Message) -> Operation | None:
        """Return the operation for a request, or None if the request is already answered.

        Raises:
            MalformedMessageError: The request is invalid.
        """
        return self._parser.parse(client, message, self._now(), self.open_request_ids)

    def reject_malformed(self, client: ClientConnection, error: MalformedMessageError) -> None:
        """Answer an invalid request and close its connection."""
        client.respond_at_once(error.status, close=True, reason=CloseReason.MALFORMED)

    # ---- called by connections

    def mark_receiving(self, client: ClientConnection) -> None:
        """Handle a partial request; the time-out of the first request still counts from connecting."""
        self.idle.pop(client, None)

    def mark_busy(self, client: ClientConnection) -> None:
        """Handle a connection that has an open request or is closing."""
        self.awaiting_first_request.pop(client, None)
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Handle a connection whose requests are all answered."""
        self.mark_busy(client)
        self.idle[client] = asyncio.get_running_loop().time()

    def on_closed(self, client: ClientConnection, reason: CloseReason) -> None:
        """Handle a closed connection."""
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
        """Evict a connection without a request, else an idle one, else reject the newest one's requests.

        This bounds the number of descriptors. A recently opened connection is spared, because its request may
        already be on its way and would be lost. An idle connection is evicted without that grace.
        """
        oldest = next(iter(self.awaiting_first_request), newest)
        latest_start_s = asyncio.get_running_loop().time() - EVICTION_GRACE_S
        if oldest is not newest and self.awaiting_first_request[oldest] < latest_start_s:
            oldest.abort(CloseReason.TIMED_OUT)
        elif self.idle:
            next(iter(self.idle)).abort(CloseReason.IDLE)
        else:
            newest.is_over_limit = True

    def _close_expired(self) -> None:
        """Close connections without a request, to free descriptors and memory; schedule the next check."""
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(CHECK_INTERVAL_S, self._close_expired)
        now_s = loop.time()
        expired = [
            client
            for client, since_s in self.awaiting_first_request.items()
            if since_s < now_s - client.limits.raised_to(self.limits).request_timeout_s
        ]
        for client in expired:
            client.on_request_timeout()
        # The load balancers in front of the limiter open a bounded number of connections, so clients that
        # send one request and stay connected take capacity from active ones. If more than the allowed part of
        # the connections is idle, those idle for longest are therefore closed earlier.
        excess = len(self.idle) - self._max_connections // IDLE_DIVISOR
        for position, (client, since_s) in enumerate(list(self.idle.items())):
            timeout_s = client.limits.raised_to(self.limits).idle_timeout_s
            if since_s < now_s - (EVICTION_GRACE_S if position < excess else timeout_s):
                client.close(CloseReason.IDLE)
