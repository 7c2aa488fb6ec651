"""The watch of the server list: what it applies, and how it goes on when the agent fails."""

import asyncio

from support.event_loop import on_loopback, until
from support.limiter_site import Site


@on_loopback
async def test_the_watch_continues_and_a_departing_server_gets_no_new_requests():
    async with Site() as site:
        await asyncio.sleep(0.7)
        paths = [path for path, _ in site.agent.calls]
        assert len(paths) >= 3 and all("since=3&timeout_ms=4000" in path for path in paths)
        site.agent.change(s0="terminating")
        await until(lambda: list(site.service.host.pool.addresses) == ["s1"])
        for i in range(20):
            assert (await site.ask("burn", str(i)))[0] == 200
        assert len(site.backends[0].seen) == 0 and len(site.backends[1].seen) == 20
        site.agent.change(s0="in_service", s1="terminated")
        await until(lambda: list(site.service.host.pool.addresses) == ["s0"])
        assert (await site.ask("burn", "back"))[0] == 200 and len(site.backends[0].seen) == 1
        before = len(site.agent.calls)
        site.agent.shut()
        await asyncio.sleep(0.18)
        assert len(site.agent.calls) > before  # within 200 ms
        site.agent.manner, before = "hasty", len(site.agent.calls)
        await until(lambda: len(site.agent.calls) > before + 4)
        times = [when for _, when in site.agent.calls[-4:]]
        assert 0.25 < times[-1] - times[0] < 0.6  # each within 200 ms, and no more often than it takes


@on_loopback
async def test_a_discovery_agent_that_rejects_calls_is_backed_off():
    async with Site() as site:
        site.agent.manner = "busy"
        await asyncio.sleep(1.0)
        before = len(site.agent.calls)
        await asyncio.sleep(1.0)
        assert len(site.agent.calls) - before <= 5  # ten if it came back at once
        site.agent.manner = "well"
        site.agent.change(s0="terminating")
        await until(lambda: "s0" not in site.service.host.pool.addresses)
