"""The connections to upstream servers: which one an attempt uses, and how long idle ones are kept."""

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
    """Writes attempts to connections, a new one or the idle one used last.

    `send` and `cancel` are called by the host. What becomes of an attempt comes back as an `AttemptClosed`
    through `enqueue`, exactly one for each attempt sent.
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
        """`now` is in us; `log` takes one line for the people on call."""
        self._enqueue = enqueue
        self.now = now
        self.log = log
        self.metrics = metrics
        self.settings = settings
        self.max_connections = max_connections
        self.protocol = protocol or ServerProtocol()
        self.addresses: dict[str, tuple[str, int]] = {}  # by server; those that take new requests
        self.last_received_us: dict[str, int] = {}  # when anything last came, by server
        self._in_flight: dict[Any, UpstreamConnection] = {}  # by attempt
        self._idle: dict[str, list[UpstreamConnection]] = {}  # by server; the one idle for longest first
        self._open_connections = 0
        self._is_expiry_scheduled = False

    # ---- attempts

    def send(self, attempt: Any) -> None:
        """Write an attempt to the connection used last, or to a new one."""
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
            self._open_connections += 1
            self._in_flight[attempt] = UpstreamConnection(self, server, attempt)

    def cancel(self, attempt: Any) -> None:
        """Close the connection of an attempt that is no longer wanted."""
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
        """Take in where servers listen; None for one that takes no new requests."""
        addresses = self._with_displaced(addresses)
        for server, address in addresses.items():
            if address is not None:
                self.addresses[server] = address
            else:
                self.addresses.pop(server, None)
            for connection in [each for each in self._idle.get(server, []) if not each.is_usable()]:
                connection.close(CloseReason.IDLE)
            if address is None:  # guards memory
                self.last_received_us.pop(server, None)
                if not self._idle.get(server):
                    self._idle.pop(server, None)

    def _with_displaced(
        self, addresses: dict[str, tuple[str, int] | None]
    ) -> dict[str, tuple[str, int] | None]:
        """Also None for servers whose address another one has now.

        An address that was reused is the new server's alone (guards it, warming up, against the old one's
        work).
        """
        owners = {address: server for server, address in addresses.items() if address is not None}
        for server, address in self.addresses.items():
            if owners.get(address, server) != server and server not in addresses:
                addresses = {**addresses, server: None}
        return addresses

    # ---- idle connections

    def newest_idle(self, server: str) -> UpstreamConnection | None:
        """The usable idle connection to a server that was used last; closes newer ones that are stale."""
        idle = self._idle.get(server, [])
        while idle and not idle[-1].is_usable():
            idle[-1].close(CloseReason.IDLE)
        return idle[-1] if idle else None

    def close_idle(self, server: str) -> int:
        """Close the idle connections to a server; returns how many there were."""
        idle = list(self._idle.get(server, []))
        for connection in idle:
            connection.close(CloseReason.IDLE)
        return len(idle)

    def _has_capacity(self) -> bool:
        """Whether one more connection may be opened, if need be once an idle one is closed for it."""
        return self._open_connections < self.max_connections or self._close_oldest_idle()

    def _close_oldest_idle(self) -> bool:
        """Close the connection idle for longest; whether there was one."""
        oldest = [idle[0] for idle in self._idle.values() if idle]
        if oldest:
            min(oldest, key=lambda connection: connection.idle_since_us).close(CloseReason.IDLE)
        return bool(oldest)

    def _expires_us(self, connection: UpstreamConnection) -> int:
        """When to close an idle connection: before the server does, by the time that connecting may take."""
        return connection.idle_since_us + connection.max_idle_us - self.settings.connect_timeout_us

    def _close_expired(self) -> None:
        """Close what has been idle for too long, and schedule this again for the next one."""
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
        """Call back at a time of `now`, at once where that has passed."""
        return asyncio.get_running_loop().call_later(max(0, at_us - self.now()) / SECOND, callback)

    def on_attempt_finished(self, attempt: Any, reason: CloseReason, message: Message | None) -> None:
        """An attempt has ended, with a complete response or without one."""
        del self._in_flight[attempt]
        self.metrics.attempts_finished[reason] += 1
        self._enqueue(AttemptClosed(attempt, reason, message))

    def on_connection_idle(self, connection: UpstreamConnection) -> None:
        """A connection may be reused."""
        connection.idle_since_us = self.now()
        self._idle.setdefault(connection.server, []).append(connection)
        if not self._is_expiry_scheduled:
            self._close_expired()

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """A connection has closed; called once for each."""
        self._open_connections -= 1
        idle = self._idle.get(connection.server, [])
        if connection in idle:
            idle.remove(connection)

    def on_server_unresponsive(self, attempt: Any) -> None:
        """An attempt got no response: close the idle connections to a server that was silent all the while.

        The server may have vanished. The next attempt shows it by a connection that does not come up, and
        then has surely not been executed; on an idle connection it might have, for all that we know (guards
        operations that must not repeat).
        """
        server = attempt.server.address
        last_received_us = self.last_received_us.get(server, 0)
        if last_received_us < attempt.sent_us < self.now() - self.settings.connect_timeout_us:
            self.close_idle(server)
