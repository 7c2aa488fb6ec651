"""The gateway on loopback as the deploy file starts it: one process for each role of each machine.

A stand-in server sends heartbeats, and each machine has its own address in 127/8.
"""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter

import msgspec

from lapisgrade.gateway.fake_server import FakeServer
from lapisgrade.gateway.http_client import post_to_any, send_request
from lapisgrade.gateway.local_cluster import CONTROL_PORT, HTTP_PORT, READINESS_PORT, RPC_PORT, SAMPLE
from lapisgrade.gateway.settings import Address
from lapisgrade.lab.fleet.process import ROOT, prepare_child
from lapisgrade.net.http import MalformedMessageError

HEARTBEAT_INTERVAL_S = 0.25  # of each stand-in server
POLL_INTERVAL_S = 0.01  # between checks of an awaited condition; also a client's pause between requests


class RunCounter(Counter):
    """Number of executions of each request at a server, by Try-Id.

    Attributes:
        started_s: Time of each request's first execution, monotonic, by Try-Id.
    """

    def __init__(self) -> None:
        """Create a counter without requests."""
        super().__init__()
        self.started_s: dict[str, float] = {}

    def __setitem__(self, try_id: str, count: int) -> None:
        self.started_s.setdefault(try_id, time.monotonic())
        super().__setitem__(try_id, count)


class Fleet:
    """Machines with a proxy process each, some also with a controller process; links between them can be cut.

    `async with` starts it, applies the sample configuration and waits until all proxies serve requests.

    Attributes:
        folder: Settings, logs and data of all processes.
        bootstrap: Whether started processes may bootstrap the cluster; true only for the first start.
        grace: Shutdown grace period of all processes, as in the settings file.
        nofile: Descriptors that each process may use, as in the settings file.
        sample: Configuration that is applied at the start.
        ip: Address of each machine.
        controllers: Machines that run a controller.
        cuts_path: File of the cut links, which all processes read; its format is that of `cuts`.
        running: Latest process by role and machine; it may have ended.
        server: Stand-in server of the sample configuration's service.
        controller_addresses: Control addresses of all controllers.
        tasks: Background tasks, cancelled on exit.
    """

    def __init__(
        self,
        net: int,
        folder: str,
        machines: int = 3,
        controllers: int = 0,
        tenants: list[dict] | None = None,
        grace: str = "3s",
        nofile: int = 1024,
    ) -> None:
        """Prepare the fleet; `async with` starts it.

        Args:
            net: Second number of all addresses, in 127/8.
            folder: Folder for settings, logs and data.
            machines: Number of machines.
            controllers: Number of machines that also run a controller; 0 for all of them.
            tenants: Tenants of the configuration; by default those of the sample.
            grace: Shutdown grace period.
            nofile: Descriptors that each process may use, as in the settings file.
        """
        self.nofile = nofile
        self.folder, self.bootstrap, self.grace = folder, True, grace
        self.sample = SAMPLE if tenants is None else {**SAMPLE, "Tenants": tenants}
        self.ip = {f"m{number}": f"127.{net}.0.{number}" for number in range(1, machines + 1)}
        self.controllers = list(self.ip)[: controllers or machines]
        self.cuts_path = os.path.join(folder, "cuts.json")
        self.set_cuts()
        self.running: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.server = FakeServer("i-1", "garantie", (f"127.{net}.1.1", 8080), slots=64)
        self.controller_addresses = [Address((self.ip[name], CONTROL_PORT)) for name in self.controllers]
        self.tasks: list[asyncio.Task] = []
        self._request_count = 0

    def write_settings(self, role: str, name: str, peers: list[str] | None = None) -> str:
        """Write the settings file of a process and return its path.

        Args:
            role: "controller" or "proxy".
            name: Machine of the process.
            peers: Machines whose controllers are its peers; by default the first three machines.
        """
        ip, path = self.ip[name], os.path.join(self.folder, f"{name}-{role}.json")
        bind = {
            "Http": f"{ip}:{HTTP_PORT}",
            "Readyz": f"{ip}:{READINESS_PORT}",
            "Ctl": f"{ip}:{CONTROL_PORT}",
        }
        hosts = [self.ip[each] for each in peers or list(self.ip)[:3]]
        settings = {
            "Hostname": name, "Ip": ip, "Az": "z", "Bind": bind, "Portrange": [RPC_PORT, RPC_PORT + 15],
            "Peers": [f"{each}:{CONTROL_PORT}" for each in hosts], "Bootstrap": self.bootstrap,
            "Datadir": os.path.join(self.folder, name), "Heartbeat": "300ms", "Slo": {"Grace": self.grace},
            "Caps": {"Nofile": self.nofile},
        }  # fmt: skip
        with open(f"{path}.new", "w") as file:
            json.dump(settings, file)
        os.replace(f"{path}.new", path)
        return path

    async def start(self, role: str, name: str) -> None:
        """Start a process; its standard error is appended to its log file."""
        path = self.write_settings(role, name)
        with open(os.path.join(self.folder, f"{name}-{role}.log"), "ab") as log:
            self.running[role, name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lapisgrade.lab.partitions.cuts", self.cuts_path, role,
                f"--settings={path}", cwd=ROOT, stderr=log, preexec_fn=prepare_child,
            )  # fmt: skip

    async def kill(self, role: str, name: str) -> None:
        """Kill a process and wait for its end."""
        self.send_signal(role, name, signal.SIGKILL)
        await self.running[role, name].wait()

    def set_cuts(self, *pairs: tuple[str, str]) -> None:
        """Cut the link from the first to the second machine of each pair, and restore all other links."""
        with open(f"{self.cuts_path}.new", "w") as file:
            json.dump([(self.ip[source], self.ip[target]) for source, target in pairs], file)
        os.replace(f"{self.cuts_path}.new", self.cuts_path)

    def partition(self, *sides: set[str]) -> None:
        """Cut all links between machines of different sides."""
        side = {name: number for number, names in enumerate(sides) for name in names}
        self.set_cuts(
            *((source, target) for source in side for target in side if side[source] != side[target])
        )

    async def __aenter__(self) -> "Fleet":
        for name in self.controllers:
            await self.start("controller", name)
        for name in self.ip:
            await self.start("proxy", name)
        self.bootstrap = False
        await self.server.start()
        self.tasks.append(asyncio.create_task(self.send_heartbeats(self.server)))
        await self.wait_until(self.apply_sample)
        await self.wait_until(self.is_ready)
        return self

    async def __aexit__(self, *_) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.server.close()

    async def apply_sample(self) -> bool:
        """Send the sample configuration; return whether it was accepted."""
        return (
            await post_to_any(
                self.controller_addresses, "/-/rpc?call=conf.replace", msgspec.json.encode(self.sample)
            )
            == 200
        )

    async def is_ready(self) -> bool:
        """Return whether every proxy reports that it is ready, and serves a request."""
        for ip in self.ip.values():
            try:
                if (await send_request((ip, READINESS_PORT), "GET", "/-/readyz")).head.status_code != 200:
                    return False
            except OSError:
                return False
        return all([await self.call(name, "a.example", "/stock/1", "key-of-sfax") == 200 for name in self.ip])

    async def wait_until(self, condition, timeout_s: float = 30.0) -> None:
        """Poll the coroutine function `condition` until it returns true.

        Raises:
            TimeoutError: It has not returned true within `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def send_heartbeats(self, server: FakeServer) -> None:
        """Send a server's heartbeats until cancelled, to each controller in turn."""
        turn = 0
        while True:
            turn += 1
            await server.send_heartbeat(
                self.controller_addresses[turn % len(self.controller_addresses) :] + self.controller_addresses
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def call(self, name: str, host: str, path: str, key: str) -> int:
        """Send one GET request to a proxy; return its status, or 0 without a response.

        Args:
            name: Machine of the proxy.
            host: Host header.
            path: Path of the request.
            key: API key.
        """
        self._request_count += 1
        fields = {
            "Host": host, "Try-Id": f"{self._request_count:016x}", "Deadline-Ms": "900",
            "Authorization": f"Bearer {key}",
        }  # fmt: skip
        try:
            return (
                await send_request((self.ip[name], HTTP_PORT), "GET", path, fields=fields)
            ).head.status_code
        except (OSError, TimeoutError, MalformedMessageError):
            return 0

    async def leader(self) -> str:
        """Return the leader's machine according to the logs; of several, the one with the highest term.

        Raises:
            ValueError: No controller's log says that it leads.
        """
        leaders = []
        for name in self.controllers:
            with open(os.path.join(self.folder, f"{name}-controller.log")) as file:
                lines = [line for line in file if "term" in line and ("leads" in line or "follows" in line)]
            if lines and "leads" in lines[-1]:
                leaders.append((int(lines[-1].split("term ")[1].split(":")[0]), name))
        return max(leaders)[1]

    def send_signal(self, role: str, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.running[role, name].send_signal(signal_number)
