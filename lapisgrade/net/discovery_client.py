"""Follows the list of servers: the complete list once, then a watch (long poll) that is renewed at once.

`GET /discovery/hosts` returns the complete list, `GET /discovery/hosts?since=V&timeout_ms=T` the changes
after version V, at the latest after T.
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
RESPONSE_TIMEOUT_S = 2.0  # the protocol's figure: how long past its wait a watch is answered
_TARGET = "/discovery/hosts"
_OK = 200
_US_PER_MS = 1000


class DiscoveryRejectedError(LapisgradeError):
    """The service behind the agent rejects calls."""


class DiscoveryClient:
    """The agent on this machine, and the list of servers that it serves.

    Addresses go to the connection pool, the list itself as `ServersUpdated` through `enqueue`.
    """

    def __init__(
        self,
        enqueue: Callable[[Event], None],
        log: Callable[[str], None],
        metrics: NetMetrics,
        address: tuple[str, int],
        pool: ConnectionPool,
        random: Random,
        limiters: int,
    ) -> None:
        """`log` takes one line for the people on call; `limiters` is how many there are in all."""
        self._enqueue = enqueue
        self._log = log
        self._metrics = metrics
        self._pool = pool
        self._address = address
        self._backoff = PollBackoff(random, limiters)
        self._version: int | None = None  # of the list applied last; None: the complete one comes first
        self._watches: list[asyncio.Task[None]] = []  # the newest last

    def start(self) -> None:
        """Watch from now on, for changes after the list applied last."""
        self._start_watch()

    def change_address(self, address: tuple[str, int]) -> None:
        """Ask another agent from now on, for the complete list first.

        The one before is followed until that has come (guards against a change that comes meanwhile, and
        against an agent that is not up yet).
        """
        if address == self._address:
            return
        self._address = address
        self._version = None
        self._start_watch()
        self._cancel_watches_except(self._watches[-2:])

    def close(self) -> None:
        """End all watches."""
        self._cancel_watches_except([])

    def apply(self, update: Any) -> int:
        """Take in a list, or changes of it, as parsed from JSON; returns its version.

        Raises:
            MalformedInputError: It makes no sense.
        """
        if not isinstance(update, dict) or not isinstance(update.get("instances"), list):
            raise MalformedInputError("not a list of servers")
        version = Fields(update).integer("generation")
        is_complete = update.get("reset") is True
        endpoints: list[ServerEndpoint] = []
        addresses: dict[str, tuple[str, int] | None] = {}
        for row in update["instances"]:
            if not isinstance(row, dict):
                raise MalformedInputError("a server is not an object")
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
        """Watch the agent at one address, on one connection after another."""
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
        """One call; returns the version it brought, and whether the agent ends the connection with it."""
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
            await asyncio.sleep(
                MAX_RENEWAL_DELAY_S / 2
            )  # guards against an agent that has nothing new and says so at once
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
                    raise MalformedMessageError("the connection ended")


def _parse_endpoint(row: Fields) -> ServerEndpoint:
    """One server of the list."""
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
