"""Rolling restarts: their order, their stop conditions, and uninterrupted service."""

import asyncio
import re

from support.local_clusters import serving_cluster

from lapisgrade.gateway.cli import rollout
from lapisgrade.gateway.cli.operator_client import OperatorClient
from lapisgrade.gateway.local_cluster import CONTROL_PORT, LocalCluster
from lapisgrade.gateway.settings import Address


def client(site: LocalCluster) -> OperatorClient:
    return OperatorClient([Address((ip, CONTROL_PORT)) for ip in site.ip.values()], lambda line: None)


async def test_a_rolling_restart_restarts_machine_by_machine_without_rejected_requests() -> None:
    async with serving_cluster() as site:
        lines = []
        statuses = []

        async def restart(name: str) -> int:
            for process in (site.controllers[name], site.proxies[name]):
                await site.kill(process)
            await site.start_controller(name)
            await site.start_proxy(name)
            return 0

        async def send_requests() -> None:
            """Send requests to a ready proxy until cancelled, and record their statuses."""
            while True:
                ready = [name for name, proxy in site.proxies.items() if proxy.ready]
                statuses.append((await site.get(ready[0], "/stock/1", "key-of-sfax")).head.status_code)
                await asyncio.sleep(0.02)

        task = asyncio.create_task(send_requests())
        incarnations = {name: proxy.context.incarnation for name, proxy in site.proxies.items()}
        assert await rollout.RollingRestart(client(site), restart, lines.append, 20.0).run(site.names) == 0
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert lines == ["1 of 3: m1", "2 of 3: m2", "3 of 3: m3", "all machines are restarted and healthy"]
        assert not {
            name for name, proxy in site.proxies.items() if proxy.context.incarnation == incarnations[name]
        }
        assert set(statuses) == {200}


async def test_a_rolling_restart_stops_at_a_machine_that_does_not_recover() -> None:
    async with serving_cluster() as site:
        lines = []

        async def restart(name: str) -> int:
            await site.kill(site.proxies[name])
            return 0

        assert await rollout.RollingRestart(client(site), restart, lines.append, 3.0).run(site.names) == 3
        assert lines[:2] == ["1 of 3: m1", "stopped at m1:"]
        # A new leader has no contact with the proxy yet; an old one has removed it.
        assert re.search(
            "^  proxy m1(?: is missing|: active version is 0, not 1|: last contact .* ago)$", lines[2]
        )
        assert len(site.proxies) == 2

        async def fail_to_restart(name: str) -> int:
            return 7

        lines.clear()
        await site.start_proxy("m1")
        await site.until(lambda: site.proxies["m1"].ready)
        assert (
            await rollout.RollingRestart(client(site), fail_to_restart, lines.append, 10.0).run(["m2"]) == 3
        )
        assert lines == ["1 of 1: m2", "stopped at m2:", "  the restart command exited with code 7"]


def test_degradations_since_the_start_of_the_rollout_are_reported() -> None:
    proxy = {"Name": "c1", "Life": "a", "HeardMs": 10, "InForce": 4}
    voter = {"Id": "d1", "HeardMs": 10}
    healthy = {"Proxies": [proxy], "Voters": [voter], "Servers": {"s": {"Up": 10}}, "Newest": 4}
    monitor = rollout.RolloutMonitor()
    monitor.record_baseline(healthy)
    assert monitor.problems(healthy) == []
    for status, expected in (
        ({**healthy, "Proxies": []}, "proxy c1 is missing"),
        ({**healthy, "Proxies": [{**proxy, "HeardMs": 2500}]}, "proxy c1: last contact 2500 ms ago"),
        ({**healthy, "Newest": 5}, "proxy c1: active version is 4, not 5"),
        ({**healthy, "Voters": []}, "0 voters left of 1"),
        ({**healthy, "Voters": [{**voter, "HeardMs": 9000}]}, "voter d1: last contact 9000 ms ago"),
        ({**healthy, "Servers": {"s": {"Up": 7}}}, "service s: 7 servers are up, 10 at the start"),
    ):
        assert monitor.problems(status) == [expected]
