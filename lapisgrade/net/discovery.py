"""Follows the list of servers: the whole list once, then a watch that is asked for again at once."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import h11

from lapisgrade import start
from lapisgrade.interface import Entry, Listed
from lapisgrade.net.events import Event, News
from lapisgrade.net.hops import Pool
from lapisgrade.net.http import CHUNK, Garbled, Parser
from lapisgrade.start import Fields, Malformed

STATES = {"in_service": Listed.READY, "terminating": Listed.DRAINING, "terminated": Listed.GONE}
# The protocol's figures: when news counts as told at the latest, how long past its wait a watch is late, and
# how soon the next call must come for the watch to go on.
TOLD, LATE, RENEW = 6.0, 2.0, 0.2  # s


class Discovery:
    """The agent on this machine, its list, and the way to put it before the decisions."""

    def __init__(
        self, put: Callable[[Event], None], say: Callable[[str], None], counts: Counter[str],
        address: tuple[str, int], pool: Pool,
    ) -> None:
        self._put, self._say, self._counts, self._pool = put, say, counts, pool
        self._address = address
        self._known: int | None = None  # the version that the limiter was started with
        self._watches: list[asyncio.Task] = []  # the newest last

    def start(self) -> None:
        self._watches.append(asyncio.create_task(self._follow(self._address, self._known)))

    def move(self, address: tuple[str, int]) -> None:
        """Ask another agent from now on, for the whole list first. The one before is followed until that has
        come (guards against a change told meanwhile, and against an agent that is not up yet)."""
        if address == self._address:
            return
        self._address, self._known = address, None
        self.start()
        self._only(self._watches[-2:])

    def close(self) -> None:
        self._only([])

    def _only(self, watches: list[asyncio.Task]) -> None:
        for each in self._watches:
            if each not in watches:
                each.cancel()
        self._watches = watches

    def take(self, told: dict[str, Any]) -> int:
        """Put a list, or changes of it, before the decisions; its version. Malformed if it makes no sense."""
        if not isinstance(told, dict) or not isinstance(told.get("instances"), list):
            raise Malformed("not a list of servers")
        version, whole = Fields(told).whole("generation"), told.get("reset") is True
        entries, addresses = [], {}
        for row in told["instances"]:
            if not isinstance(row, dict):
                raise Malformed("a server is not an object")
            entry = self._entry(Fields(row))
            entries.append(entry)
            ready = entry.state is Listed.READY
            addresses[entry.server] = start.address(row.get("hostPort"), "hostPort") if ready else None
        if whole:
            addresses.update({each: None for each in self._pool.addresses if each not in addresses})
        self._pool.known(addresses)
        self._known = version
        if entries or whole:
            self._counts["lists"] += 1
            self._put(News(entries, whole))
        return version

    async def _follow(self, address: tuple[str, int], version: int | None) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                try:
                    while True:
                        version = await self._call(reader, writer, address[0], version)
                finally:
                    writer.transport.abort()
            except (OSError, TimeoutError, Garbled, Malformed, ValueError) as wrong:
                self._counts["discovery calls failed"] += 1
                self._say(f"discovery: {wrong!r}")
                await asyncio.sleep(RENEW / 2)

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, version: int | None
    ) -> int:
        path, wait = "/discovery/hosts", 0.0
        if version is not None:
            wait = TOLD - LATE
            path = f"{path}?since={version}&timeout_ms={int(wait * 1000)}"
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        parser, message = Parser(h11.CLIENT), None
        async with asyncio.timeout(wait + LATE):
            while message is None:
                chunk = await reader.read(CHUNK)
                message = parser.feed(chunk)
                if message is None and not chunk:
                    raise Garbled("the connection ended")
        if message.head.status_code != 200:
            raise Garbled(f"status {message.head.status_code}")
        told = json.loads(b"".join(message.body))
        version = self.take(told)
        if asyncio.current_task() is self._watches[-1]:
            self._only(self._watches[-1:])
        if message.last:
            raise Garbled("the agent closed the connection")
        if not told["instances"]:
            await asyncio.sleep(RENEW / 2)  # guards against an agent that has nothing new and says so at once
        return version

    def _entry(self, row: Fields) -> Entry:
        started_ms = row.number("startedAtMs")
        return Entry(
            server=row.text("instanceId"),
            state=row.among("lifecycle", STATES, "in_service"),
            zone=row.get("zone") or "",
            cell=row.whole("cell", 0),
            size=row.number("weight", 1.0),
            shape=row.get("machineType") or "",
            started_us=round(started_ms * 1000) if started_ms > 0 else 0,
        )
