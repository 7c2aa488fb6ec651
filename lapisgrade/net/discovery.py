"""Follows the list of servers: the whole list once, then a watch that is asked for again at once."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import h11

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
        address: str, pool: Pool,
    ) -> None:
        self._put, self._say, self._counts, self._pool = put, say, counts, pool
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._generation: int | None = None

    def take(self, told: dict[str, Any]) -> None:
        """Put a list, or changes of it, before the decisions."""
        rows = [Fields(each) for each in told["instances"]]
        entries = [self._entry(each) for each in rows]
        addresses: dict[str, tuple[str, int] | None] = {}
        for row, entry in zip(rows, entries, strict=True):
            host, _, port = row.text("hostPort").rpartition(":") if "hostPort" in row else ("", "", "0")
            addresses[entry.server] = (host, int(port)) if entry.state is Listed.READY else None
        whole = bool(told.get("reset"))
        if whole:
            addresses.update({each: None for each in self._pool.addresses if each not in addresses})
        self._pool.known(addresses)
        self._generation = int(told["generation"])
        if entries or whole:
            self._counts["lists"] += 1
            self._put(News(entries, whole))

    async def follow(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(self._host, self._port)
                try:
                    while True:
                        await self._call(reader, writer)
                finally:
                    writer.transport.abort()
            except (OSError, TimeoutError, Garbled, Malformed, ValueError, KeyError) as wrong:
                self._counts["discovery calls failed"] += 1
                self._say(f"discovery: {wrong!r}")
                await asyncio.sleep(RENEW / 2)

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        path, wait = "/discovery/hosts", 0.0
        if self._generation is not None:
            wait = TOLD - LATE
            path = f"{path}?since={self._generation}&timeout_ms={int(wait * 1000)}"
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {self._host}\r\n\r\n".encode())
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
        self.take(told)
        if message.last:
            raise Garbled("the agent closed the connection")
        if not told["instances"]:
            await asyncio.sleep(RENEW / 2)  # guards against an agent that has nothing new and says so at once

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
