"""Activation of versions with real processes: controllers and proxies as the deploy file starts them, on
loopback, with signals between staging and force. Every proxy is called with the new tenant's key all the
while."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
from support.loopback_network import LoopbackNetwork

from lapisgrade.gateway.cli.tenants import TenantClient
from lapisgrade.lab.fleet.process import ROOT
from lapisgrade.lab.partitions.fleet import PAUSE, Fleet

TICKET = {
    "Apikeys": ["key-of-gabes"], "Name": "gabes",
    "Ports": [{"Vhost": "gabes.example", "Policy": [
        {"Name": "r-gabes", "Mode": "idem", "Match": {"Pfx": "/"},
         "Action": {"Svc": "garantie", "Timeout": "2s"}}]}],
}  # fmt: skip

WITHOUT_SILENT_S = 1.8  # from the sending of a change until it is in force without a proxy that is silent


class Calls:
    """Clients of the new tenant at every proxy, and of the old one; what they met, and what it means."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.pulls = fleet, []
        self.taken_at = float("inf")  # when the first call that was taken had its answer
        self.wrong: list[tuple[str, int]] = []
        self.first: dict[str, float] = {}  # by proxy, when it first took one
        self.sent_at: float | None = None  # when the operator's change was sent
        self._tasks = [asyncio.create_task(self.at(name)) for name in fleet.ip]
        self._tasks += [asyncio.create_task(self.pull(name)) for name in fleet.ip]

    async def at(self, name: str) -> None:
        while True:
            sent, known = time.monotonic(), self.taken_at
            status = await self.fleet.call(name, "gabes.example", "/1", "key-of-gabes")
            if status == 200:
                self.taken_at = min(self.taken_at, time.monotonic())
                self.first.setdefault(name, time.monotonic())
            elif status in (401, 404) and sent > known:
                self.wrong.append((name, status))
            await asyncio.sleep(PAUSE)

    async def pull(self, name: str) -> None:
        while True:
            sent = time.monotonic()
            status = await self.fleet.call(name, "a.example", "/stock/1", "key-of-sfax")
            self.pulls.append((status, time.monotonic() - sent))
            await asyncio.sleep(3 * PAUSE)

    def on_operator_line(self, line: str) -> None:
        """Called with each line of the operator's client; it prints the first just before it sends."""
        if self.sent_at is None:
            self.sent_at = time.monotonic()

    async def end(self) -> None:
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def all_take(self) -> bool:
        return len(self.first) == len(self.fleet.ip)


async def onboard(calls: Calls, fault=None) -> None:
    """Bring the tenant in under calls at every proxy, with a fault as the change is sent."""
    fleet = calls.fleet
    client = TenantClient(fleet.ctl, calls.on_operator_line)
    doing = asyncio.create_task(client.apply(msgspec.json.encode(TICKET), 8.0))
    if fault is not None:
        await fault()
    await doing
    await fleet.until(calls.all_take)
    await calls.end()
    assert calls.wrong == [], "a proxy refused what another had taken"


async def test_all_proxies_activate_a_change_together_and_traffic_goes_on(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:
        calls = Calls(fleet)
        await onboard(calls)
        assert max(calls.first.values()) - min(calls.first.values()) < 0.5
        assert Counter(status for status, _ in calls.pulls) == {200: len(calls.pulls)}


async def test_a_proxy_paused_over_the_activation_answers_503_when_it_resumes(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:
        calls = Calls(fleet)

        async def others_take() -> bool:
            return calls.first.keys() == {"m1", "m2"}

        async def freeze() -> None:
            fleet.send("proxy", "m3", signal.SIGSTOP)
            await fleet.until(others_take)
            await asyncio.sleep(0.3)
            fleet.send("proxy", "m3", signal.SIGCONT)

        await onboard(calls, freeze)
        assert max(calls.first["m1"], calls.first["m2"]) - calls.sent_at < WITHOUT_SILENT_S
        assert calls.first["m3"] - min(calls.first.values()) > 0.2


async def test_the_leader_is_killed_while_the_change_is_sent(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:
        leader = await fleet.leader()

        async def kill() -> None:
            fleet.send("controller", leader, signal.SIGKILL)
            await fleet.running["controller", leader].wait()
            await fleet.start("controller", leader)

        calls = Calls(fleet)
        await kill()
        client = TenantClient(fleet.ctl, lambda line: None)

        async def applied() -> bool:
            try:
                return await client.apply(msgspec.json.encode(TICKET), 8.0) in (0, 3)
            except Exception:
                return False

        await fleet.until(applied)
        await fleet.until(calls.all_take)
        await calls.end()
        assert calls.wrong == []


async def test_a_proxy_is_killed_and_restarted_during_the_activation(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:

        async def again() -> None:
            fleet.send("proxy", "m2", signal.SIGKILL)
            await fleet.running["proxy", "m2"].wait()
            await fleet.start("proxy", "m2")

        await onboard(Calls(fleet), again)


async def test_a_sighup_during_startup_reloads_the_settings(
    loopback_network: LoopbackNetwork, tmp_path: Path
) -> None:
    ip = loopback_network.host(9)
    path = str(tmp_path / "settings.json")
    os.mkfifo(path)  # whoever reads waits for us to write
    settings = {"Hostname": "m1", "Ip": ip, "Az": "z", "Bind": {"Ctl": f"{ip}:8407"},
            "Portrange": [7660, 7675], "Peers": [f"{ip}:8407"]}  # fmt: skip

    running = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lapisgrade.gateway", "controller", f"--settings={path}",
        cwd=ROOT, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip

    async def read(first: bool) -> None:
        """It reads the settings once; the first time it is signalled over it."""
        while True:
            try:
                file = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:  # it has not opened them yet
                await asyncio.sleep(PAUSE)
        if first:
            running.send_signal(signal.SIGHUP)
            os.mkfifo(f"{path}.new")
            os.replace(f"{path}.new", path)  # the next reading is of another file
        os.write(file, json.dumps(settings).encode())
        os.close(file)

    async with asyncio.timeout(20.0):
        await read(True)
        await read(False)
        logged = b""
        while b"settings read again" not in logged:
            line = await running.stderr.readline()
            assert line, logged
            logged += line
    running.send_signal(signal.SIGTERM)
    assert await running.wait() == 0
