"""Pool of connections to upstream servers: selection for each attempt, and expiry of idle connections."""

import asyncio
from collections.abc import Callable
from typing import Any

from lapisgrade.interface import ConnectionSettings
from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed, Event
from lapisgrade.net.http import Message
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.server_protocol import ServerProtocol
from lapisgrade.net.upstream_connection import UpstreamConnection


class ConnectionPool:
    """Writes each attempt to the most recently used idle connection, or to a new one.

    The host calls `send` and `cancel`. Exactly one `AttemptClosed` event is enqueued for each attempt sent.
    """

    def __init__(
        self,
        enqueue: Callable[[Event], None],
        now: Callable[[], int],
        log: Callable[[str], None],
        metrics: NetMetrics,
        settings: ConnectionSettings,
        max_connections: int,
        protocol: ServerProtocol | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            enqueue: Receives the events.
            now: Returns the current time in microseconds.
            log: Writes one log line.
            metrics: Counters to update.
            settings: Time-outs of connections.
            max_connections: Maximum number of open connections; an idle one is closed for a new one.
            protocol: Protocol of the servers; `ServerProtocol` by default.
        """
        self._enqueue = enqueue
        self.now = now
        self.log = self.log_failure = log  # `log_failure` writes a log entry about an exception
        self.metrics = metrics
        self.settings = settings
        self.max_connections = max_connections
        self.protocol = protocol or ServerProtocol()
        self.addresses: dict[str, tuple[str, int]] = {}  # by server; only servers that accept new requests
        self.last_received_us: dict[str, int] = {}  # time of the last data received, by server
        self._in_flight: dict[Any, UpstreamConnection] = {}  # by attempt
        self._idle: dict[str, list[UpstreamConnection]] = {}  # by server; longest idle first
        self._open_connections = 0  # number of connections, including those being established
        self._is_expiry_scheduled = False

    # ---- attempts

    def send(self, attempt: Any) -> None:
        """Write an attempt to the most recently used idle connection, or to a new one."""
        server = attempt.server.address
        self.metrics.attempts += 1
        connection = self.newest_idle(server)
        if connection is not None:
            self._idle[server].pop()
            self._in_flight[attempt] = connection
            connection.assign(attempt)
        elif server not in self.addresses or not self._has_capacity():
            self._enqueue(AttemptClosed(attempt, CloseReason.NOT_SENT))
        else:
            self._in_flight[attempt] = UpstreamConnection(self, server, attempt)
            self._open_connections += 1

    def abandon(self, attempt: Any) -> None:
        """End an attempt whose `send` has failed, and don't use the server's idle connections again."""
        connection = self._in_flight.get(attempt)
        if connection is None:
            self._enqueue(AttemptClosed(attempt, CloseReason.NOT_SENT))
        else:
            connection.close(CloseReason.CONNECTION_LOST)
        self.close_idle(attempt.server.address)

    def cancel(self, attempt: Any) -> None:
        """Close the connection of an attempt that is no longer needed; does nothing if it has ended."""
        connection = self._in_flight.get(attempt)
        if connection is not None:
            connection.close(CloseReason.CANCELLED)

    def cancel_operation(self, operation: Any) -> None:
        """Cancel all attempts of an operation."""
        for attempt in [each for each in self._in_flight if each.operation is operation]:
            self.cancel(attempt)

    def close(self) -> None:
        """Cancel all attempts and close all connections."""
        idle = [connection for connections in self._idle.values() for connection in connections]
        for connection in [*self._in_flight.values(), *idle]:
            connection.close(CloseReason.CANCELLED)

    # ---- servers

    def update_addresses(self, addresses: dict[str, tuple[str, int] | None]) -> None:
        """Update the addresses of servers; None for a server that accepts no new requests."""
        addresses = self._with_displaced(addresses)
        for server, address in addresses.items():
            if address is not None:
                self.addresses[server] = address
            else:
                self.addresses.pop(server, None)
            for connection in [each for each in self._idle.get(server, []) if not each.is_usable()]:
                connection.close(CloseReason.IDLE)
            if address is None:  # bounds memory use
                self.last_received_us.pop(server, None)
                if not self._idle.get(server):
                    self._idle.pop(server, None)

    def _with_displaced(
        self, addresses: dict[str, tuple[str, int] | None]
    ) -> dict[str, tuple[str, int] | None]:
        """Return the addresses, with None added for servers whose address now belongs to another server.

        A reused address belongs to the new server only. Otherwise a server in slow start would also get the
        load of the previous one.
        """
        owners = {address: server for server, address in addresses.items() if address is not None}
        for server, address in self.addresses.items():
            if owners.get(address, server) != server and server not in addresses:
                addresses = {**addresses, server: None}
        return addresses

    # ---- idle connections

    def newest_idle(self, server: str) -> UpstreamConnection | None:
        """Return the most recently used usable idle connection to a server; close stale newer ones."""
        idle = self._idle.get(server, [])
        while idle and not idle[-1].is_usable():
            idle[-1].close(CloseReason.IDLE)
        return idle[-1] if idle else None

    def close_idle(self, server: str) -> int:
        """Close the idle connections to a server; returns their number."""
        idle = list(self._idle.get(server, []))
        for connection in idle:
            connection.close(CloseReason.IDLE)
        return len(idle)

    def _has_capacity(self) -> bool:
        """Return whether one more connection may be opened; closes an idle one if at the limit."""
        return self._open_connections < self.max_connections or self._close_oldest_idle()

    def _close_oldest_idle(self) -> bool:
        """Close the longest idle connection; returns False if none is idle."""
        oldest = [idle[0] for idle in self._idle.values() if idle]
        if oldest:
            min(oldest, key=lambda connection: connection.idle_since_us).close(CloseReason.IDLE)
        return bool(oldest)

    def _expires_us(self, connection: UpstreamConnection) -> int:
        """Return when to close an idle connection: earlier than the server does, by the connect time-out."""
        return connection.idle_since_us + connection.max_idle_us - self.settings.connect_timeout_us

    def _close_expired(self) -> None:
        """Close expired idle connections, and schedule the next call for the next expiry."""
        for idle in self._idle.values():
            now = self.now()
            for connection in [each for each in idle if self._expires_us(each) <= now]:
                connection.close(CloseReason.IDLE)
        expiries = [self._expires_us(each) for idle in self._idle.values() for each in idle]
        self._is_expiry_scheduled = bool(expiries)
        if expiries:
            self.call_at(min(expiries), self._close_expired)

    # ---- called by connections

    def call_at(self, at_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule a callback at `at_us` on the clock of `now`, or immediately if that is in the past."""
        return asyncio.get_running_loop().call_later(max(0, at_us - self.now()) / SECOND, callback)

    def on_attempt_finished(self, attempt: Any, reason: CloseReason, message: Message | None) -> None:
        """Handle the end of an attempt; `message` is None without a complete response."""
        del self._in_flight[attempt]
        self.metrics.attempts_finished[reason] += 1
        self._enqueue(AttemptClosed(attempt, reason, message))

    def on_connection_idle(self, connection: UpstreamConnection) -> None:
        """Handle a connection that became idle and may be reused."""
        connection.idle_since_us = self.now()
        self._idle.setdefault(connection.server, []).append(connection)
        if not self._is_expiry_scheduled:
            self._close_expired()

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Handle a closed connection; called once per connection."""
        self._open_connections -= 1
        idle = self._idle.get(connection.server, [])
        if connection in idle:
            idle.remove(connection)

    def on_server_unresponsive(self, attempt: Any) -> None:
        """Close the idle connections to a server that sent nothing during an unanswered attempt.

        The server may be unreachable. The next attempt then fails to connect, which proves that it was not
        executed. On an idle connection it might have been executed, so a non-idempotent operation could not
        be retried.
        """
        server = attempt.server.address
        last_received_us = self.last_received_us.get(server, 0)
        if last_received_us < attempt.sent_us < self.now() - self.settings.connect_timeout_us:
            self.close_idle(server)
