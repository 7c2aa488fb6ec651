"""Activation of versions with real processes.

Controllers and proxies are started on loopback as by the deploy file, and receive signals between staging and
activation. Meanwhile every proxy receives requests with the new tenant's key.
"""

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
from lapisgrade.lab.partitions.fleet import POLL_INTERVAL_S, Fleet

TICKET = {
    "Apikeys": ["key-of-gabes"], "Name": "gabes",
    "Ports": [{"Vhost": "gabes.example", "Policy": [
        {"Name": "r-gabes", "Mode": "idem", "Match": {"Pfx": "/"},
         "Action": {"Svc": "garantie", "Timeout": "2s"}}]}],
}  # fmt: skip

ACTIVATION_S = 1.8  # maximum time from sending a change to its activation while a proxy is paused


class Calls:
    """Clients of the new tenant and of an existing one at every proxy, and their results."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.old_tenant_calls = fleet, []  # calls as (status, duration in seconds)
        # Times are monotonic, in seconds.
        self.first_accepted_at = float("inf")  # when any proxy first answered the new tenant with 200
        # Proxy and status of each request that was sent after a proxy had accepted one, and was rejected.
        self.violations: list[tuple[str, int]] = []
        self.accepted_at: dict[str, float] = {}  # by proxy: when it first answered the new tenant with 200
        self.sent_at: float | None = None  # when the operator's change was sent
        self._tasks = [asyncio.create_task(self.call_as_new_tenant(name)) for name in fleet.ip]
        self._tasks += [asyncio.create_task(self.call_as_old_tenant(name)) for name in fleet.ip]

    async def call_as_new_tenant(self, name: str) -> None:
        """Send requests to one proxy until cancelled, and record acceptances and violations."""
        while True:
            sent, first_accepted_at = time.monotonic(), self.first_accepted_at
            status = await self.fleet.call(name, "gabes.example", "/1", "key-of-gabes")
            if status == 200:
                self.first_accepted_at = min(self.first_accepted_at, time.monotonic())
                self.accepted_at.setdefault(name, time.monotonic())
            elif status in (401, 404) and sent > first_accepted_at:
                self.violations.append((name, status))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def call_as_old_tenant(self, name: str) -> None:
        """Send requests to one proxy until cancelled, and record their results."""
        while True:
            sent = time.monotonic()
            status = await self.fleet.call(name, "a.example", "/stock/1", "key-of-sfax")
            self.old_tenant_calls.append((status, time.monotonic() - sent))
            await asyncio.sleep(3 * POLL_INTERVAL_S)

    def on_operator_line(self, line: str) -> None:
        """Receive a line of the operator's client; it prints the first just before it sends the change."""
        if self.sent_at is None:
            self.sent_at = time.monotonic()

    async def end(self) -> None:
        """Stop sending requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def all_accept(self) -> bool:
        """Return whether every proxy has accepted a request of the new tenant."""
        return len(self.accepted_at) == len(self.fleet.ip)


async def onboard(calls: Calls, fault=None) -> None:
    """Add the tenant while all proxies receive requests, and inject a fault when the change is sent."""
    fleet = calls.fleet
    client = TenantClient(fleet.controller_addresses, calls.on_operator_line)
    applying = asyncio.create_task(client.apply(msgspec.json.encode(TICKET), 8.0))
    if fault is not None:
        await fault()
    await applying
    await fleet.wait_until(calls.all_accept)
    await calls.end()
    assert calls.violations == [], "a proxy rejected a request after another proxy had accepted one"


async def test_all_proxies_activate_a_change_together_and_traffic_goes_on(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:
        calls = Calls(fleet)
        await onboard(calls)
        assert max(calls.accepted_at.values()) - min(calls.accepted_at.values()) < 0.5
        assert Counter(status for status, _ in calls.old_tenant_calls) == {200: len(calls.old_tenant_calls)}


async def test_a_proxy_paused_during_the_activation_does_not_reject_the_new_tenant(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:
        calls = Calls(fleet)

        async def others_accept() -> bool:
            return calls.accepted_at.keys() == {"m1", "m2"}

        async def pause() -> None:
            fleet.send_signal("proxy", "m3", signal.SIGSTOP)
            await fleet.wait_until(others_accept)
            await asyncio.sleep(0.3)
            fleet.send_signal("proxy", "m3", signal.SIGCONT)

        await onboard(calls, pause)
        assert max(calls.accepted_at["m1"], calls.accepted_at["m2"]) - calls.sent_at < ACTIVATION_S
        assert calls.accepted_at["m3"] - min(calls.accepted_at.values()) > 0.2


async def test_a_change_is_activated_although_the_leader_is_killed(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:
        leader = await fleet.leader()

        async def kill() -> None:
            fleet.send_signal("controller", leader, signal.SIGKILL)
            await fleet.running["controller", leader].wait()
            await fleet.start("controller", leader)

        calls = Calls(fleet)
        await kill()
        client = TenantClient(fleet.controller_addresses, lambda line: None)

        async def applied() -> bool:
            try:
                # 0: active everywhere; 3: acknowledged, but not active everywhere in time.
                return await client.apply(msgspec.json.encode(TICKET), 8.0) in (0, 3)
            except Exception:
                return False

        await fleet.wait_until(applied)
        await fleet.wait_until(calls.all_accept)
        await calls.end()
        assert calls.violations == []


async def test_a_proxy_killed_and_restarted_during_the_activation_accepts_the_new_tenant(
    tmp_path: Path, loopback_network: LoopbackNetwork
) -> None:
    async with Fleet(loopback_network.number, str(tmp_path)) as fleet:

        async def restart() -> None:
            fleet.send_signal("proxy", "m2", signal.SIGKILL)
            await fleet.running["proxy", "m2"].wait()
            await fleet.start("proxy", "m2")

        await onboard(Calls(fleet), restart)


async def test_a_sighup_during_startup_reloads_the_settings(
    loopback_network: LoopbackNetwork, tmp_path: Path
) -> None:
    ip = loopback_network.host(9)
    path = str(tmp_path / "settings.json")
    os.mkfifo(path)  # a reader blocks until the test writes
    settings = {"Hostname": "m1", "Ip": ip, "Az": "z", "Bind": {"Ctl": f"{ip}:8407"},
            "Portrange": [7660, 7675], "Peers": [f"{ip}:8407"]}  # fmt: skip

    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lapisgrade.gateway", "controller", f"--settings={path}",
        cwd=ROOT, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip

    async def serve_settings(with_signal: bool) -> None:
        """Let the process read the settings once; optionally send SIGHUP while it reads."""
        while True:
            try:
                file = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:  # the process has not opened the file yet
                await asyncio.sleep(POLL_INTERVAL_S)
        if with_signal:
            process.send_signal(signal.SIGHUP)
            os.mkfifo(f"{path}.new")
            os.replace(f"{path}.new", path)  # the next read opens a new file
        os.write(file, json.dumps(settings).encode())
        os.close(file)

    async with asyncio.timeout(20.0):
        await serve_settings(True)
        await serve_settings(False)
        logged = b""
        while b"settings read again" not in logged:
            line = await process.stderr.readline()
            assert line, logged
            logged += line
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0
