"""A whole small site in one process on loopback: counter, discovery, servers and limiters, each ours.

The limiters are the real ones (`lapisgrade.net.service.Service`), with the sample configuration in which the
addresses of the fakes are filled in. Ports are chosen free by the system unless asked for;
`Site.listening_lines()` says which were taken.
"""

import asyncio
import copy
import itertools
import json
import os
import socket
from dataclasses import dataclass, field
from importlib import resources
from typing import Any

from lapisgrade.fakes.counter import Counter
from lapisgrade.fakes.discovery import Discovery, ServerEntry
from lapisgrade.fakes.servers import ServerBehavior, ServerPool

START_TIMEOUT_S = 5.0  # how long a limiter may take to answer `GET /up` before the site gives up starting
CHECK_INTERVAL_S = 0.02  # between looks whether a limiter is up


def sample_configuration() -> dict[str, Any]:
    """The sample configuration shipped with the package (also `deploy/sample.json`)."""
    return json.loads(resources.files("lapisgrade.fakes").joinpath("sample.json").read_text("utf-8"))


def _first_own_port() -> int:
    """The first port that the system gives to whoever binds none of its choice.

    See proc(5), ip_local_port_range.
    """
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return 32_768


PORT_COUNT = 8_000  # below the system's own range, that `free_port` draws from
_turns = itertools.count(os.getpid() * 97)


def free_port(host: str = "127.0.0.1") -> int:
    """A port that nothing listens on, by TCP or UDP, just now; not given twice in a row by this process.

    It lies below those that the system hands out itself: a process that is killed and started again at its
    port must not find that a socket of somebody else's was given it meanwhile.
    """
    first = max(1024, _first_own_port() - PORT_COUNT)
    for _ in range(PORT_COUNT):
        port = first + next(_turns) % PORT_COUNT
        try:
            with socket.create_server((host, port)), socket.socket(type=socket.SOCK_DGRAM) as words:
                words.bind((host, port))
                return port
        except OSError:
            continue
    raise OSError(f"no port is free among {PORT_COUNT} from {first}")


@dataclass(slots=True)
class Plan:
    """What the site is made of."""

    limiters: int = 2
    servers: int = 4
    behavior: ServerBehavior = field(default_factory=ServerBehavior)
    seed: int = 1
    template: dict[str, Any] | None = None  # the limiters' configuration; the sample where None
    ports: tuple[int, int, int] = (0, 0, 0)  # counter, discovery, first limiter; 0 for any free port


class Site:
    """`async with Site(plan) as site:` starts everything and ends it in turn, limiters first."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.counter = Counter(port=plan.ports[0])
        self.discovery = Discovery(port=plan.ports[1])
        self.pool = ServerPool(plan.servers, plan.behavior, plan.seed)
        self.services: list = []
        self.listens: list[tuple[str, int]] = []
        self._runs: list[asyncio.Task] = []

    async def __aenter__(self) -> "Site":
        await self.counter.open()
        await self.discovery.open()
        await self.pool.open()
        for i, server in enumerate(self.pool.servers):
            self.discovery.put(ServerEntry(server.name, server.address, cell=i % 3))
        from lapisgrade.net.service import Service  # the limiter itself, only when a site is started

        for i in range(self.plan.limiters):
            port = self.plan.ports[2] + i if self.plan.ports[2] else free_port()
            configuration = self.limiter_configuration(i, port)
            service = Service(configuration)
            self.services.append(service)
            self.listens.append(("127.0.0.1", port))
            self._runs.append(asyncio.create_task(service.run()))
        for address in self.listens:
            await wait_until_ready(address, self._runs)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.shut_down_limiters()
        await self.pool.close()
        await self.discovery.close()
        await self.counter.close()

    async def shut_down_limiters(self) -> None:
        """Tell each limiter to end, and wait until each has answered all that it owes."""
        for service in self.services:
            service.shut_down()
        if self._runs:
            await asyncio.wait(self._runs)
        self._runs = []

    def limiter_configuration(self, index: int, port: int) -> dict[str, Any]:
        """The configuration of limiter `index`, listening at `port`."""
        configuration = copy.deepcopy(self.plan.template or sample_configuration())
        configuration["name"] = f"{configuration.get('name', 'lg')}-{index}"
        configuration["listen"] = f"127.0.0.1:{port}"
        configuration["discovery"], configuration["counter"] = self.discovery.address, self.counter.address
        configuration["known"] = self.discovery.complete_list()
        configuration["seed"] = f"{(self.plan.seed * 1_000_003 + index) % (1 << 64):016x}"
        settings = configuration.setdefault("settings", {})
        settings["SelfIndex"], settings["NInstances"] = index, self.plan.limiters
        return configuration

    def listening_lines(self) -> list[str]:
        """Lines that say where each part listens."""
        return [
            f"counter    {self.counter.address}",
            f"discovery  {self.discovery.address}",
            *(f"server     {server.name} {server.address}" for server in self.pool.servers),
            *(f"limiter    {host}:{port}   (send requests here)" for host, port in self.listens),
        ]

    async def drain_and_remove(self, index: int, grace_s: float) -> None:
        """Server `index` drains, is gone from discovery after `grace_s`, and then dies."""
        server = self.pool.servers[index]
        server.drain()
        self.discovery.drain(server.name)
        await asyncio.sleep(grace_s)
        self.discovery.remove(server.name)
        await server.kill()


async def is_ready(address: tuple[str, int], within_s: float = 1.0) -> bool:
    """Whether the limiter at `address` answers `GET /up` with 200."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /up HTTP/1.1\r\nHost: up\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False


async def wait_until_ready(address: tuple[str, int], runs: list[asyncio.Task]) -> None:
    """Wait until the limiter at `address` answers `GET /up` with 200; RuntimeError if it ends or is slow."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + START_TIMEOUT_S
    while loop.time() < ends:
        for run in runs:
            if run.done():
                run.result()
                raise RuntimeError("a limiter ended while starting")
        if await is_ready(address):
            return
        await asyncio.sleep(CHECK_INTERVAL_S)
    raise RuntimeError(f"the limiter at {address[0]}:{address[1]} did not come up in {START_TIMEOUT_S:g} s")
