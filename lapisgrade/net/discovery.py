"""Follows the list of servers: the whole list once, then a watch that is asked for again at once."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import h11

from lapisgrade.interface import ServerEndpoint, ServerState
from lapisgrade.net.events import Event, ServersUpdated
from lapisgrade.net.hops import Pool
from lapisgrade.net.http import READ_BYTES, MalformedMessageError, MessageParser
from lapisgrade.settings import Fields, MalformedInputError, parse_address

STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}
# The protocol's figures: when news counts as told at the latest, how long past its wait a watch is late, and
# how soon the next call must come for the watch to go on.
TOLD, LATE, RENEW = 6.0, 2.0, 0.2  # s
LONGEST = 60.0  # s that a call turned away again and again may be put off; a watch's longest wait


class Busy(Exception):
    """The service behind the agent turns callers away."""


class Turns:
    """When to ask the one service behind all agents, beside all other limiters.

    What it can't serve in time it works on all the same: callers who come back at once, as all do together
    after a restart, keep it from ever serving any. So a call that was turned away is made again at a time by
    chance, so that all limiters' come one in half of RENEW, and half as often with each that is turned away.
    The first call is never put off: what it would have told counts as told.
    """

    __slots__ = ("_limiters", "_random", "_turned_away")

    def __init__(self, random: Random, limiters: int) -> None:
        self._random, self._limiters, self._turned_away = random, limiters, 0

    def turned_away(self) -> float:
        """s before the next call."""
        over = self._over()
        self._turned_away = min(16, self._turned_away + 1)
        return RENEW / 2 + self._random.random() * over

    def served(self) -> None:
        self._turned_away = 0

    def _over(self) -> float:
        return min(LONGEST, min(TOLD, self._limiters * RENEW / 2) * 2**self._turned_away)


class Discovery:
    """The agent on this machine, its list, and the way to put it before the decisions."""

    def __init__(
        self,
        put: Callable[[Event], None],
        say: Callable[[str], None],
        counts: Counter[str],
        address: tuple[str, int],
        pool: Pool,
        random: Random,
        limiters: int,
    ) -> None:
        self._put, self._say, self._counts, self._pool = put, say, counts, pool
        self._address, self._turns = address, Turns(random, limiters)
        self._known: int | None = None  # the version that the limiter was started with
        self._watches: list[asyncio.Task] = []  # the newest last

    def start(self) -> None:
        self._watch(0.0)

    def _watch(self, after: float) -> None:
        self._watches.append(asyncio.create_task(self._follow(self._address, self._known, after)))

    def move(self, address: tuple[str, int]) -> None:
        """Ask another agent from now on, for the whole list first. The one before is followed until that has
        come (guards against a change told meanwhile, and against an agent that is not up yet)."""
        if address == self._address:
            return
        self._address, self._known = address, None
        self._watch(0.0)
        self._only(self._watches[-2:])

    def close(self) -> None:
        self._only([])

    def _only(self, watches: list[asyncio.Task]) -> None:
        for each in self._watches:
            if each not in watches:
                each.cancel()
        self._watches = watches

    def take(self, told: dict[str, Any]) -> int:
        """Put a list, or changes of it, before the decisions; its version; raises MalformedInputError."""
        if not isinstance(told, dict) or not isinstance(told.get("instances"), list):
            raise MalformedInputError("not a list of servers")
        version, whole = Fields(told).integer("generation"), told.get("reset") is True
        entries, addresses = [], {}
        for row in told["instances"]:
            if not isinstance(row, dict):
                raise MalformedInputError("a server is not an object")
            entry = self._entry(Fields(row))
            entries.append(entry)
            ready = entry.state is ServerState.READY
            addresses[entry.address] = parse_address(row.get("hostPort"), "hostPort") if ready else None
        if whole:
            addresses.update({each: None for each in self._pool.addresses if each not in addresses})
        self._pool.known(addresses)
        self._known = version
        if entries or whole:
            self._counts["lists"] += 1
            self._put(ServersUpdated(entries, whole))
        return version

    async def _follow(self, address: tuple[str, int], version: int | None, after: float) -> None:
        while True:
            await asyncio.sleep(after)
            after = RENEW / 2
            try:
                reader, writer = await asyncio.open_connection(*address)
                try:
                    last = False
                    while not last:
                        version, last = await self._call(reader, writer, address[0], version)
                        self._turns.served()
                finally:
                    writer.transport.abort()
            except Busy as wrong:
                self._failed(wrong)
                after = self._turns.turned_away()
            except (OSError, TimeoutError, MalformedMessageError, MalformedInputError, ValueError) as wrong:
                self._failed(wrong)

    def _failed(self, wrong: Exception) -> None:
        self._counts["discovery calls failed"] += 1
        self._say(f"discovery: {wrong!r}")

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, version: int | None
    ) -> tuple[int, bool]:
        """The version that the answer told, and whether the agent ends the connection with it."""
        path, wait = "/discovery/hosts", 0.0
        if version is not None:
            wait = TOLD - LATE
            path = f"{path}?since={version}&timeout_ms={int(wait * 1000)}"
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        parser, message = MessageParser(h11.CLIENT), None
        async with asyncio.timeout(wait + LATE):
            while message is None:
                chunk = await reader.read(READ_BYTES)
                message = parser.feed(chunk)
                if message is None and not chunk:
                    raise MalformedMessageError("the connection ended")
        if message.head.status_code != 200:
            raise Busy(f"status {message.head.status_code}")
        told = json.loads(b"".join(message.body))
        version = self.take(told)
        if asyncio.current_task() is self._watches[-1]:
            self._only(self._watches[-1:])
        if not told["instances"] and not message.last:
            await asyncio.sleep(RENEW / 2)  # guards against an agent that has nothing new and says so at once
        return version, message.last

    def _entry(self, row: Fields) -> ServerEndpoint:
        started_ms = row.number("startedAtMs")
        return ServerEndpoint(
            address=row.text("instanceId"),
            state=row.choice("lifecycle", STATES, "in_service"),
            zone=row.get("zone") or "",
            cell=row.integer("cell", 0),
            weight=row.number("weight", 1.0),
            shape=row.get("machineType") or "",
            started_us=round(started_ms * 1000) if started_ms > 0 else 0,
        )
