"""Client of the discovery agent: reads the complete server list once, then watches it for changes.

`GET /discovery/hosts` returns the complete list. `GET /discovery/hosts?since=V&timeout_ms=T` is a watch (long
poll): it returns the changes after version V, after T at the latest, and is then renewed immediately.
"""

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

import h11

from lapisgrade.errors import LapisgradeError
from lapisgrade.interface import ServerEndpoint, ServerState
from lapisgrade.net.connection import READ_BYTES
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.events import Event, ServersUpdated
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.poll_backoff import MAX_RENEWAL_DELAY_S, MAX_STALENESS_S, PollBackoff
from lapisgrade.settings import Fields, MalformedInputError, parse_address

LIFECYCLE_STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}
# Maximum time to a response, set by the protocol; for a watch, the maximum after the watch's own time-out.
RESPONSE_TIMEOUT_S = 2.0
_TARGET = "/discovery/hosts"
_OK = 200
_US_PER_MS = 1000


class DiscoveryRejectedError(LapisgradeError):
    """The agent answered with an error status, because the discovery service rejects calls."""


class DiscoveryClient:
    """Watches the server list of the discovery agent on this machine.

    Server addresses are passed to the connection pool. The list is enqueued as a `ServersUpdated` event.
    """

    def __init__(
        self,
        enqueue: Callable[[Event], None],
        log: Callable[[str], None],
        metrics: NetMetrics,
        address: tuple[str, int],
        pool: ConnectionPool,
        random: Random,
        limiter_count: int,
    ) -> None:
        """Create a client without a watch.

        Args:
            enqueue: Receives the events.
            log: Writes one log line.
            metrics: Counters to update.
            address: Host and port of the agent.
            pool: Receives the server addresses.
            random: Source of jitter for the backoff.
            limiter_count: Total number of limiters.
        """
        self._enqueue = enqueue
        self._log = log
        self._metrics = metrics
        self._pool = pool
        self._address = address
        self._backoff = PollBackoff(random, limiter_count)
        self._version: int | None = None  # version of the last applied list; None requests a complete one
        self._watches: list[asyncio.Task[None]] = []  # newest last

    def start(self) -> None:
        """Start to watch for changes after the last applied list."""
        self._start_watch()

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another agent, starting with its complete list.

        The watch of the previous agent stays open until that list arrives, so that no change is missed while
        the new agent is not yet reachable.
        """
        if address == self._address:
            return
        self._address = address
        self._version = None
        self._start_watch()
        self._cancel_watches_except(self._watches[-2:])

    def close(self) -> None:
        """Cancel all watches."""
        self._cancel_watches_except([])

    def apply(self, update: Any) -> int:
        """Apply a complete list or a list of changes, as parsed from JSON; returns its version.

        Raises:
            MalformedInputError: The list is invalid.
        """
        if not isinstance(update, dict) or not isinstance(update.get("instances"), list):
            raise MalformedInputError("server list must be an object with a list 'instances'")
        version = Fields(update).integer("generation")
        is_complete = update.get("reset") is True
        endpoints: list[ServerEndpoint] = []
        addresses: dict[str, tuple[str, int] | None] = {}
        for row in update["instances"]:
            if not isinstance(row, dict):
                raise MalformedInputError("each entry of 'instances' must be an object")
            endpoint = _parse_endpoint(Fields(row))
            endpoints.append(endpoint)
            is_ready = endpoint.state is ServerState.READY
            addresses[endpoint.address] = parse_address(row.get("hostPort"), "hostPort") if is_ready else None
        if is_complete:
            addresses.update({each: None for each in self._pool.addresses if each not in addresses})
        self._pool.update_addresses(addresses)
        self._version = version
        if endpoints or is_complete:
            self._metrics.server_list_updates += 1
            self._enqueue(ServersUpdated(endpoints, is_complete))
        return version

    def _start_watch(self) -> None:
        self._watches.append(asyncio.create_task(self._watch_agent(self._address, self._version)))

    def _cancel_watches_except(self, watches: list[asyncio.Task[None]]) -> None:
        for each in self._watches:
            if each not in watches:
                each.cancel()
        self._watches = watches

    async def _watch_agent(self, address: tuple[str, int], version: int | None) -> None:
        """Watch the agent at one address, reconnecting after each failure."""
        delay_s = 0.0
        while True:
            await asyncio.sleep(delay_s)
            delay_s = MAX_RENEWAL_DELAY_S / 2
            try:
                reader, writer = await asyncio.open_connection(*address)
                try:
                    is_last = False
                    while not is_last:
                        version, is_last = await self._poll(reader, writer, address[0], version)
                        self._backoff.on_answered()
                finally:
                    writer.transport.abort()
            except DiscoveryRejectedError as error:
                self._record_failure(error)
                delay_s = self._backoff.on_rejected()
            except (OSError, TimeoutError, MalformedMessageError, MalformedInputError, ValueError) as error:
                self._record_failure(error)

    def _record_failure(self, error: Exception) -> None:
        self._metrics.discovery_failures += 1
        self._log(f"discovery: {error!r}")

    async def _poll(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, version: int | None
    ) -> tuple[int, bool]:
        """Make one call and apply the list; returns its version, and whether the agent closes the connection.

        Raises:
            DiscoveryRejectedError: The agent answered with an error status.
        """
        target, wait_s = _TARGET, 0.0
        if version is not None:
            wait_s = MAX_STALENESS_S - RESPONSE_TIMEOUT_S
            target = f"{target}?since={version}&timeout_ms={int(wait_s * 1000)}"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        message = await self._read_response(reader, wait_s + RESPONSE_TIMEOUT_S)
        if message.head.status_code != _OK:
            raise DiscoveryRejectedError(f"status {message.head.status_code}")
        update = json.loads(b"".join(message.body))
        version = self.apply(update)
        if asyncio.current_task() is self._watches[-1]:
            self._cancel_watches_except(self._watches[-1:])
        if not update["instances"] and not message.closes_connection:
            # Limits the call rate to an agent that answers immediately without changes.
            await asyncio.sleep(MAX_RENEWAL_DELAY_S / 2)
        return version, message.closes_connection

    async def _read_response(self, reader: asyncio.StreamReader, timeout_s: float) -> Message:
        parser = MessageParser(h11.CLIENT)
        async with asyncio.timeout(timeout_s):
            while True:
                chunk = await reader.read(READ_BYTES)
                message = parser.feed(chunk)
                if message is not None:
                    return message
                if not chunk:
                    raise MalformedMessageError("connection closed before the response was complete")


def _parse_endpoint(row: Fields) -> ServerEndpoint:
    """Parse one server of the list."""
    started_ms = row.number("startedAtMs")
    return ServerEndpoint(
        address=row.text("instanceId"),
        state=row.choice("lifecycle", LIFECYCLE_STATES, "in_service"),
        zone=row.get("zone") or "",
        cell=row.integer("cell", 0),
        weight=row.number("weight", 1.0),
        shape=row.get("machineType") or "",
        started_us=round(started_ms * _US_PER_MS) if started_ms > 0 else 0,
    )
