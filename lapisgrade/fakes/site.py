"""A complete small site in one process on loopback: fake counter, discovery and servers, and real limiters.

The limiters are `lapisgrade.net.service.Service` with the sample configuration and the addresses of the
fakes. Unless the plan sets ports, free ones are chosen; `Site.listening_lines()` lists the addresses.
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

START_TIMEOUT_S = 5.0  # maximum time until a started limiter answers `GET /up` with 200
CHECK_INTERVAL_S = 0.02  # between two readiness checks of a limiter


def sample_configuration() -> dict[str, Any]:
    """Return the sample configuration shipped with the package (also `deploy/sample.json`)."""
    return json.loads(resources.files("lapisgrade.fakes").joinpath("sample.json").read_text("utf-8"))


def _first_ephemeral_port() -> int:
    """Return the first port of the system's ephemeral range (proc(5), ip_local_port_range)."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return 32_768


PORT_COUNT = 8_000  # size of the range below the ephemeral one from which `free_port` chooses
_port_offsets = itertools.count(os.getpid() * 97)  # concurrent processes start at different ports


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP.

    Repeated calls cycle through the range, so that a process does not get the same port twice in a row. The
    port lies below the ephemeral range. Otherwise the system could assign it to a socket of another process
    between the kill and the restart of the process that listens on it.

    Raises:
        OSError: All ports of the range are in use.
    """
    first = max(1024, _first_ephemeral_port() - PORT_COUNT)
    for _ in range(PORT_COUNT):
        port = first + next(_port_offsets) % PORT_COUNT
        try:
            with socket.create_server((host, port)), socket.socket(type=socket.SOCK_DGRAM) as udp_socket:
                udp_socket.bind((host, port))
                return port
        except OSError:
            continue
    raise OSError(f"no free port among {PORT_COUNT} from {first}")


@dataclass(slots=True)
class Plan:
    """Composition of a site."""

    limiters: int = 2
    servers: int = 4
    behavior: ServerBehavior = field(default_factory=ServerBehavior)  # of every server
    seed: int = 1  # from which the servers' seeds are derived
    template: dict[str, Any] | None = None  # configuration of the limiters; None for the sample
    ports: tuple[int, int, int] = (0, 0, 0)  # counter, discovery, first limiter; 0 for any free port


class Site:
    """A site: `async with Site(plan) as site:` starts all parts, and at the end stops them, limiters first.

    Attributes:
        services: The limiters, in the order of their numbers.
        limiter_addresses: Host and port of each limiter, in the same order.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.counter = Counter(port=plan.ports[0])
        self.discovery = Discovery(port=plan.ports[1])
        self.pool = ServerPool(plan.servers, plan.behavior, plan.seed)
        self.services: list = []
        self.limiter_addresses: list[tuple[str, int]] = []
        self._service_tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Site":
        await self.counter.open()
        await self.discovery.open()
        await self.pool.open()
        for i, server in enumerate(self.pool.servers):
            self.discovery.put(ServerEntry(server.name, server.address, cell=i % 3))
        from lapisgrade.net.service import Service  # imported late: it loads the limiter

        for i in range(self.plan.limiters):
            port = self.plan.ports[2] + i if self.plan.ports[2] else free_port()
            configuration = self.limiter_configuration(i, port)
            service = Service(configuration)
            self.services.append(service)
            self.limiter_addresses.append(("127.0.0.1", port))
            self._service_tasks.append(asyncio.create_task(service.run()))
        for address in self.limiter_addresses:
            await wait_until_ready(address, self._service_tasks)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.shut_down_limiters()
        await self.pool.close()
        await self.discovery.close()
        await self.counter.close()

    async def shut_down_limiters(self) -> None:
        """Shut down all limiters and wait until they have answered the requests in flight."""
        for service in self.services:
            service.shut_down()
        if self._service_tasks:
            await asyncio.wait(self._service_tasks)
        self._service_tasks = []

    def limiter_configuration(self, index: int, port: int) -> dict[str, Any]:
        """Return the configuration of limiter `index`, listening on `port`."""
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
        """Return lines with the name and address of each part."""
        return [
            f"counter    {self.counter.address}",
            f"discovery  {self.discovery.address}",
            *(f"server     {server.name} {server.address}" for server in self.pool.servers),
            *(f"limiter    {host}:{port}   (send requests here)" for host, port in self.limiter_addresses),
        ]

    async def drain_and_remove(self, index: int, grace_s: float) -> None:
        """Drain server `index`, remove it from discovery after `grace_s`, then kill it."""
        server = self.pool.servers[index]
        server.drain()
        self.discovery.drain(server.name)
        await asyncio.sleep(grace_s)
        self.discovery.remove(server.name)
        await server.kill()


async def is_ready(address: tuple[str, int], timeout_s: float = 1.0) -> bool:
    """Return whether the limiter at `address` answers `GET /up` with 200 within `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /up HTTP/1.1\r\nHost: up\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False


async def wait_until_ready(address: tuple[str, int], service_tasks: list[asyncio.Task]) -> None:
    """Wait until the limiter at `address` answers `GET /up` with 200.

    Raises:
        RuntimeError: A limiter ended, or this one is not ready within `START_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + START_TIMEOUT_S
    while loop.time() < deadline_s:
        for task in service_tasks:
            if task.done():
                task.result()  # raises the limiter's exception, if it ended with one
                raise RuntimeError("a limiter ended before all limiters were ready")
        if await is_ready(address):
            return
        await asyncio.sleep(CHECK_INTERVAL_S)
    raise RuntimeError(
        f"the limiter at {address[0]}:{address[1]} did not answer GET /up with 200 in {START_TIMEOUT_S:g} s"
    )
