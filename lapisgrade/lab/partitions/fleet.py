"""The system as the deploy file starts it, on loopback: a process for each role of each machine, a stand-in
server that beats, and clients. Each machine has its own address in 127/8."""

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

BEAT = 0.25  # s between a stand-in's beats
POLL_INTERVAL_S = 0.01  # s between a client's calls, and between looks at what is waited for


class RunCounter(Counter):
    """What a server ran, and when it began."""

    def __init__(self) -> None:
        super().__init__()
        self.at: dict[str, float] = {}

    def __setitem__(self, name: str, count: int) -> None:
        self.at.setdefault(name, time.monotonic())
        super().__setitem__(name, count)


class Fleet:
    """Machines, each with a controller and a proxy as processes of their own; links between them can be
    cut."""

    def __init__(
        self,
        net: int,
        folder: str,
        machines: int = 3,
        controllers: int = 0,
        tenants: list[dict] | None = None,
        grace: str = "3s",
    ) -> None:
        """Controllers on the first so many machines, 0 for all of them."""
        self.folder, self.first, self.grace = folder, True, grace
        self.sample = SAMPLE if tenants is None else {**SAMPLE, "Tenants": tenants}
        self.ip = {f"m{number}": f"127.{net}.0.{number}" for number in range(1, machines + 1)}
        self.controllers = list(self.ip)[: controllers or machines]
        self.cuts = os.path.join(folder, "cuts.json")
        self.cut()
        self.running: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.server = FakeServer("i-1", "garantie", (f"127.{net}.1.1", 8080), slots=64)
        self.controller_addresses = [Address((self.ip[name], CONTROL_PORT)) for name in self.controllers]
        self.tasks: list[asyncio.Task] = []
        self.number = 0

    def write_settings(self, role: str, name: str, peers: list[str] | None = None) -> str:
        """Write a process's settings file, by default with the first three machines as peers; its path."""
        ip, path = self.ip[name], os.path.join(self.folder, f"{name}-{role}.json")
        bind = {
            "Http": f"{ip}:{HTTP_PORT}",
            "Readyz": f"{ip}:{READINESS_PORT}",
            "Ctl": f"{ip}:{CONTROL_PORT}",
        }
        hosts = [self.ip[each] for each in peers or list(self.ip)[:3]]
        settings = {
            "Hostname": name, "Ip": ip, "Az": "z", "Bind": bind, "Portrange": [RPC_PORT, RPC_PORT + 15],
            "Peers": [f"{each}:{CONTROL_PORT}" for each in hosts], "Bootstrap": self.first,
            "Datadir": os.path.join(self.folder, name), "Heartbeat": "300ms", "Slo": {"Grace": self.grace},
        }  # fmt: skip
        with open(f"{path}.new", "w") as file:
            json.dump(settings, file)
        os.replace(f"{path}.new", path)
        return path

    async def start(self, role: str, name: str) -> None:
        path = self.write_settings(role, name)
        with open(os.path.join(self.folder, f"{name}-{role}.log"), "ab") as log:
            self.running[role, name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lapisgrade.lab.partitions.cuts", self.cuts, role, f"--settings={path}",
                cwd=ROOT, stderr=log, preexec_fn=prepare_child,
            )  # fmt: skip

    async def kill(self, role: str, name: str) -> None:
        self.send_signal(role, name, signal.SIGKILL)
        await self.running[role, name].wait()

    def cut(self, *pairs: tuple[str, str]) -> None:
        """From now on nothing gets from the first of each pair to the second, and all else gets through."""
        with open(f"{self.cuts}.new", "w") as file:
            json.dump([(self.ip[here], self.ip[there]) for here, there in pairs], file)
        os.replace(f"{self.cuts}.new", self.cuts)

    def part(self, *sides: set[str]) -> None:
        """Nothing gets from one side to another."""
        side = {name: number for number, names in enumerate(sides) for name in names}
        self.cut(*((here, there) for here in side for there in side if side[here] != side[there]))

    async def __aenter__(self) -> "Fleet":
        for name in self.controllers:
            await self.start("controller", name)
        for name in self.ip:
            await self.start("proxy", name)
        self.first = False
        await self.server.start()
        self.tasks.append(asyncio.create_task(self.beats(self.server)))
        await self.wait_until(self.put)
        await self.wait_until(self.ready)
        return self

    async def __aexit__(self, *_) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in self.running.values():
            if each.returncode is None:
                each.kill()
                await each.wait()
        self.server.close()

    async def put(self) -> bool:
        return (
            await post_to_any(
                self.controller_addresses, "/-/rpc?call=conf.replace", msgspec.json.encode(self.sample)
            )
            == 200
        )

    async def ready(self) -> bool:
        for ip in self.ip.values():
            try:
                if (await send_request((ip, READINESS_PORT), "GET", "/-/readyz")).head.status_code != 200:
                    return False
            except OSError:
                return False
        return all([await self.call(name, "a.example", "/stock/1", "key-of-sfax") == 200 for name in self.ip])

    async def wait_until(self, holds, within: float = 30.0) -> None:
        async with asyncio.timeout(within):
            while not await holds():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def beats(self, server: FakeServer) -> None:
        turn = 0
        while True:
            turn += 1
            await server.send_heartbeat(
                self.controller_addresses[turn % len(self.controller_addresses) :] + self.controller_addresses
            )
            await asyncio.sleep(BEAT)

    async def call(self, name: str, host: str, path: str, key: str) -> int:
        """The status of one request at one proxy; 0 for none."""
        self.number += 1
        fields = {
            "Host": host, "Try-Id": f"{self.number:016x}", "Deadline-Ms": "900",
            "Authorization": f"Bearer {key}",
        }  # fmt: skip
        try:
            return (
                await send_request((self.ip[name], HTTP_PORT), "GET", path, fields=fields)
            ).head.status_code
        except (OSError, TimeoutError, MalformedMessageError):
            return 0

    async def leader(self) -> str:
        """The machine whose controller said last that it leads."""
        found = []
        for name in self.controllers:
            with open(os.path.join(self.folder, f"{name}-controller.log")) as file:
                said = [line for line in file if "term" in line and ("leads" in line or "follows" in line)]
            if said and "leads" in said[-1]:
                found.append((int(said[-1].split("term ")[1].split(":")[0]), name))
        return max(found)[1]

    def send_signal(self, role: str, name: str, what: signal.Signals) -> None:
        self.running[role, name].send_signal(what)
