"""A small gateway on loopback in one process, for demos and tests.

It has controllers, proxies and fake servers; each machine has its own address in 127/8. `LocalCluster` also
acts as the operator and the clients.
"""

import asyncio
import os
import tempfile
from collections.abc import Callable
from random import Random
from typing import Any, cast

import h11
import msgspec
from returns.result import Failure, Result

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.controller.server import Controller
from lapisgrade.gateway.fake_server import POLL_INTERVAL_S, FakeServer
from lapisgrade.gateway.http_client import post_to_any, send_request
from lapisgrade.gateway.proxy.process import Proxy
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Address, Bind, Settings, Span
from lapisgrade.net.http import Message

CONTROL_PORT, HTTP_PORT, READINESS_PORT, RPC_PORT = 8407, 8405, 8406, 7660  # ports as in one deployment
HEARTBEAT_INTERVAL_S = 0.3  # interval between a fake server's heartbeats


class LocalCluster:
    """A gateway, its servers and its operator in this process. `async with` starts and stops it.

    Attributes:
        folder: Folder with one data folder per controller.
        names: Names of the machines.
        ip: IP address by machine.
        voters: The machines that run a controller.
        controllers: Running controllers by machine.
        proxies: Running proxies by machine.
        servers: Fake servers by name.
    """

    def __init__(self, machines: int = 3, voters: int = 3, net: int = 77, folder: str | None = None) -> None:
        """Create the cluster without starting it.

        Args:
            machines: Number of machines.
            voters: Number of machines that run a controller.
            net: Second byte of their IP addresses.
            folder: Folder for the controllers' logs; by default a temporary one, deleted with the cluster.
        """
        self._temporary_folder = None if folder else tempfile.TemporaryDirectory[str]()
        self.folder = self._temporary_folder.name if self._temporary_folder else str(folder)
        self.names = [f"m{number}" for number in range(1, machines + 1)]
        self.ip = {name: f"127.{net}.0.{number}" for number, name in enumerate(self.names, 1)}
        self.voters = self.names[:voters]
        self.controllers: dict[str, Controller] = {}
        self.proxies: dict[str, Proxy] = {}
        self.servers: dict[str, FakeServer] = {}
        self.random = Random(1)
        self._tasks: dict[object, asyncio.Task[None]] = {}
        self._is_bootstrap = True

    async def __aenter__(self) -> "LocalCluster":
        for name in self.voters:
            await self.start_controller(name)
        for name in self.names:
            await self.start_proxy(name)
        self._is_bootstrap = False
        return self

    async def __aexit__(self, *_: object) -> None:
        for proxy in self.proxies.values():
            proxy.end()
        for controller in self.controllers.values():
            controller.end()
        for server in self.servers.values():
            server.close()
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def settings(self, name: str) -> Settings:
        """Return the settings of a machine."""
        ip = self.ip[name]
        peers = tuple(Address((self.ip[voter], CONTROL_PORT)) for voter in self.voters[:3])
        bind = Bind(Address((ip, HTTP_PORT)), Address((ip, READINESS_PORT)), Address((ip, CONTROL_PORT)))
        folder = os.path.join(self.folder, name) if name in self.voters else ""
        return Settings(
            name,
            ip,
            "local",
            bind,
            (RPC_PORT, RPC_PORT + 15),
            peers,
            self._is_bootstrap,
            True,
            folder,
            Span(HEARTBEAT_INTERVAL_S * SECOND),
        )

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Addresses at which the controllers accept calls."""
        return [(self.ip[name], CONTROL_PORT) for name in self.controllers]

    def http_address(self, name: str) -> tuple[str, int]:
        """Return the address at which a machine's proxy accepts requests."""
        return (self.ip[name], HTTP_PORT)

    async def start_serving(
        self, conf: dict[str, Any] | None = None, **server_options: Any
    ) -> "LocalCluster":
        """Start a server, apply a configuration (default `SAMPLE`), and wait until all proxies have both."""
        await self.start_server("garantie", **server_options)
        while await self.put(conf or SAMPLE) != 200:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.until(lambda: all(proxy.ready and proxy.servers for proxy in self.proxies.values()))
        return self

    async def start_controller(self, name: str) -> None:
        """Start a machine's controller on its existing folder."""
        controller = self.controllers[name] = Controller(self.settings(name))
        self._tasks[controller] = asyncio.get_running_loop().create_task(controller.run())

    async def start_proxy(self, name: str) -> None:
        """Start a machine's proxy."""
        proxy = self.proxies[name] = Proxy(self.settings(name))
        self._tasks[proxy] = asyncio.get_running_loop().create_task(proxy.run())

    async def kill(self, part: Controller | Proxy) -> None:
        """Stop a role as if its process was killed: without notifying other processes."""
        self._tasks[part].cancel()
        await asyncio.gather(self._tasks.pop(part), return_exceptions=True)
        for running in (self.controllers, self.proxies):
            for name in [name for name, role in running.items() if role is part]:
                del running[name]

    async def start_server(self, svc: str, **server_options: Any) -> FakeServer:
        """Start a fake server of a service and its heartbeats."""
        number = len(self.servers) + 1
        server = FakeServer(
            f"i-{number}",
            svc,
            (f"127.{self.ip[self.names[0]].split('.')[1]}.1.{number}", 8080),
            **server_options,
        )
        await server.start()
        self.servers[server.name] = server
        self._tasks[server] = asyncio.get_running_loop().create_task(self._send_heartbeats(server))
        return server

    async def _send_heartbeats(self, server: FakeServer) -> None:
        while True:
            await server.send_heartbeat(
                self.random.sample(self.control_addresses, len(self.control_addresses))
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def stop_heartbeats(self, server: FakeServer) -> None:
        """Stop a server's heartbeats; it keeps answering requests."""
        self._tasks.pop(server).cancel()

    async def put(self, conf: dict[str, Any], call: str = "conf.replace") -> int:
        """Make an operator's call with the body `conf`; return the first status below 500, or 0 for none."""
        return await post_to_any(self.control_addresses, f"/-/rpc?call={call}", msgspec.json.encode(conf))

    async def get(
        self,
        name: str,
        path: str,
        key: str = "",
        id: str = "",
        host: str = "a.example",
        tries: int = 8,
        **headers: str,
    ) -> Message:
        """Send a client's request to a machine's proxy and return the last response.

        A 429 or 503 with Retry-After is retried after that time, up to `tries` attempts in all. `key` is the
        API key, `id` the request id (by default a random one for each attempt); `headers` may include the
        HTTP method as `method`.
        """
        method = headers.pop("method", "GET")
        fields = {"Host": host, "Deadline-Ms": "2000", **headers}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        while True:
            fields["Try-Id"] = id or f"{self.random.getrandbits(64):016x}"
            response = await send_request(self.http_address(name), method, path, fields=fields)
            retry_after = response.headers().get(b"retry-after")
            tries -= 1
            status = cast(h11.Response, response.head).status_code
            if status not in (429, 503) or not retry_after or not tries:
                return response
            await asyncio.sleep(float(retry_after))

    async def until(self, condition: Callable[[], Any], timeout_s: float = 20.0) -> None:
        """Wait until the condition is true.

        Raises:
            TimeoutError: It is still false after `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)


class Partition:
    """A network partition between the processes of a cluster: messages are lost, and calls time out.

    Attributes:
        isolated: IP addresses of the machines whose messages to and from all others are lost.
    """

    def __init__(self, cluster: LocalCluster) -> None:
        """Intercept the calls and messages of all processes; no machine is isolated yet."""
        self.isolated: set[str] = set()
        self._ip = cluster.ip
        for controller in cluster.controllers.values():
            self._intercept(controller.rpc, controller.settings.ip)
        for proxy in cluster.proxies.values():
            self._intercept(proxy.rpc, proxy.settings.ip)

    def isolate(self, name: str) -> None:
        """Cut a machine off from all others."""
        self.isolated.add(self._ip[name])

    def _intercept(self, rpc: RpcEndpoint, own_ip: str) -> None:
        call, post = rpc.call, rpc.post

        def is_cut(other_ip: str) -> bool:
            return own_ip != other_ip and bool(self.isolated & {own_ip, other_ip})

        async def call_unless_cut(
            address: tuple[str, int], message: Any, timeout_s: float
        ) -> Result[Any, CallFailure]:
            if is_cut(address[0]):
                await asyncio.sleep(timeout_s)
                return Failure(CallFailure.MAY_HAVE_RUN)
            return await call(address, message, timeout_s)

        def post_unless_cut(address: tuple[str, int], message: Any) -> None:
            if not is_cut(address[0]):
                post(address, message)

        rpc.call, rpc.post = call_unless_cut, post_unless_cut  # type: ignore[method-assign]


SAMPLE = {
    "Ver": 1, "Base": 0,
    "Caps": {"HdrBytes": 16384, "BodyBytes": 1048576, "Hdr": "3000ms", "Idle": "15000ms"},
    "Tenants": [{"Name": "sfax", "Apikeys": ["key-of-sfax"], "Prio": 1, "RateS": 100, "Burst": 50}],
    "Ports": [{"Vhost": "a.example", "Policy": [
        {"Name": "r-stock", "Mode": "idem", "Target_time": "400ms", "Prio": 2, "Public": False,
         "Match": {"Pfx": "/stock/"}, "Action": {"Svc": "garantie", "Timeout": "2000ms", "Tries": 2}},
        {"Name": "r-claim", "Mode": "mutate", "Target_time": "500ms", "Prio": 1, "Public": False,
         "Match": {"Pfx": "/claim/"}, "Action": {"Svc": "garantie", "Timeout": "2000ms", "Tries": 2}}]}],
    "Pools": [{"Name": "garantie", "Hcheck": "/healthz", "Maxconn": 130, "Proto": "h1", "Tls": False}],
}  # fmt: skip
