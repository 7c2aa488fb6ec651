"""The group of stand-in servers of a case, whose members can drain and be replaced."""

import asyncio
from random import Random
from typing import Protocol

from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.partitions.operation_history import History
from lapisgrade.lab.partitions.operation_server import OperationServer

SERVER_COUNT = 4  # servers of the route's service, besides the fleet's own one, which is drained
FIRST_NUMBER = 2  # the fleet's own server is number 1
REPLACEMENT_INTERVAL_S = (0.5, 2.0)  # shortest and longest time between two replacements
DRAIN_S = 3.0  # time for which a draining server still answers; above `Drain`
LOOKUP = ("a.example", "/stock/1", "key-of-sfax")


class ServerOptions(Protocol):
    """The parameters of a case for its servers."""

    @property
    def slots(self) -> int:
        """Requests that each server runs at once."""

    @property
    def server_fault(self) -> str:
        """Fault of all servers, as `FakeServer.fault`."""

    @property
    def has_server_faults(self) -> bool:
        """Whether servers fail some requests."""


class ServerGroup:
    """Servers of one service; `start` replaces the fleet's own server by them."""

    def __init__(self, fleet: Fleet, options: ServerOptions, history: History, random: Random) -> None:
        """Create a group without servers."""
        self._fleet = fleet
        self._options = options
        self._history = history
        self._random = random
        self._next_number = FIRST_NUMBER
        self._servers: list[OperationServer] = []

    async def start(self) -> None:
        """Start the servers, drain the fleet's own one, and wait until all proxies use the new ones."""
        for _ in range(SERVER_COUNT):
            await self._add()
        self._fleet.server.state = "drain"
        await self._fleet.wait_until(self._has_every_proxy_used_them)
        self._history.runs.clear()

    def close(self) -> None:
        """Close all servers."""
        for server in self._servers:
            server.close()

    async def replace_repeatedly(self) -> None:
        """Drain one server after the other, each after a new one was added, until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*REPLACEMENT_INTERVAL_S))
            await self._add()
            leaving = next(each for each in self._servers if each.state == "up")
            leaving.state = "drain"
            asyncio.get_running_loop().call_later(DRAIN_S, leaving.close)

    async def _add(self) -> None:
        number, self._next_number = self._next_number, self._next_number + 1
        network, port = self._fleet.server.address[0].rsplit(".", 1)[0], self._fleet.server.address[1]
        server = OperationServer(
            f"i-{number}",
            (f"{network}.{number}", port),
            self._history,
            self._random,
            self._options.slots,
            self._options.has_server_faults,
        )
        server.fault = self._options.server_fault
        await server.start()
        self._fleet.tasks.append(asyncio.create_task(self._fleet.send_heartbeats(server)))
        self._servers.append(server)

    async def _has_every_proxy_used_them(self) -> bool:
        before = len(self._history.runs)
        for name in self._fleet.ip:
            await self._fleet.call(name, *LOOKUP)
        return len(self._history.runs) - before == len(self._fleet.ip)
