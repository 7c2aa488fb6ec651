"""A rolling restart: machine by machine, and where it stops."""

import asyncio
import re

from support.local_clusters import serving_cluster

from lapisgrade.gateway.cli import rollout
from lapisgrade.gateway.cli.operator_client import OperatorClient
from lapisgrade.gateway.local_cluster import CONTROL_PORT, LocalCluster
from lapisgrade.gateway.settings import Address


def client(site: LocalCluster) -> OperatorClient:
    return OperatorClient([Address((ip, CONTROL_PORT)) for ip in site.ip.values()], lambda line: None)


async def test_a_rolling_restart_goes_machine_by_machine_and_nothing_is_refused() -> None:
    async with serving_cluster() as site:
        lines = []
        answers = []

        async def restart(name: str) -> int:
            for part in (site.controllers[name], site.proxies[name]):
                await site.kill(part)
            await site.start_controller(name)
            await site.start_proxy(name)
            return 0

        async def pulls() -> None:
            while True:
                ready = [name for name, each in site.proxies.items() if each.ready]
                answers.append((await site.get(ready[0], "/stock/1", "key-of-sfax")).head.status_code)
                await asyncio.sleep(0.02)

        task = asyncio.create_task(pulls())
        incarnations = {name: each.context.incarnation for name, each in site.proxies.items()}
        assert await rollout.RollingRestart(client(site), restart, lines.append, 20.0).run(site.names) == 0
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert lines == ["1 of 3: m1", "2 of 3: m2", "3 of 3: m3", "all are back and well"]
        assert not {
            name for name, each in site.proxies.items() if each.context.incarnation == incarnations[name]
        }
        assert set(answers) == {200}


async def test_a_rolling_restart_stops_at_the_machine_that_is_not_back() -> None:
    async with serving_cluster() as site:
        lines = []

        async def restart(name: str) -> int:
            await site.kill(site.proxies[name])
            return 0

        assert await rollout.RollingRestart(client(site), restart, lines.append, 3.0).run(site.names) == 3
        assert lines[:2] == ["1 of 3: m1", "stopped at m1:"]
        # A leader that is new has not heard it, one that is not has counted it out.
        assert re.search("^  proxy m1 (is not there|acts by version 0, not 1|was heard .* ago)$", lines[2])
        assert len(site.proxies) == 2

        async def failing(name: str) -> int:
            return 7

        lines.clear()
        await site.start_proxy("m1")
        await site.until(lambda: site.proxies["m1"].ready)
        assert await rollout.RollingRestart(client(site), failing, lines.append, 10.0).run(["m2"]) == 3
        assert lines == ["1 of 1: m2", "stopped at m2:", "  the command ended with 7"]


def test_what_is_worse_than_before_the_rollout_is_reported() -> None:
    one = {"Name": "c1", "Life": "a", "HeardMs": 10, "InForce": 4}
    disk = {"Id": "d1", "HeardMs": 10}
    well = {"Proxies": [one], "Voters": [disk], "Servers": {"s": {"Up": 10}}, "Newest": 4}
    monitor = rollout.RolloutMonitor()
    monitor.record_baseline(well)
    assert monitor.problems(well) == []
    for now, expected in (
        ({**well, "Proxies": []}, "proxy c1 is not there"),
        ({**well, "Proxies": [{**one, "HeardMs": 2500}]}, "proxy c1 was heard 2500 ms ago"),
        ({**well, "Newest": 5}, "proxy c1 acts by version 4, not 5"),
        ({**well, "Voters": []}, "0 disks vote, not 1"),
        ({**well, "Voters": [{**disk, "HeardMs": 9000}]}, "disk d1 was heard 9000 ms ago"),
        ({**well, "Servers": {"s": {"Up": 7}}}, "service s: 7 servers are up, 10 were"),
    ):
        assert monitor.problems(now) == [expected]
