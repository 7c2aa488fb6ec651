"""The watch of the server list: updates it applies, and retries when the agent fails."""

import asyncio

from support.event_loop import on_limiter_loop, wait_until
from support.fake_peers import Behavior
from support.limiter_site import LimiterSite


@on_limiter_loop
async def test_the_watch_is_renewed_and_a_draining_server_gets_no_new_requests():
    async with LimiterSite() as site:
        await asyncio.sleep(0.7)
        paths = [path for path, _ in site.discovery.calls]
        assert len(paths) >= 3
        assert all("since=3&timeout_ms=4000" in path for path in paths)
        site.discovery.change(s0="terminating")
        await wait_until(lambda: list(site.service.host.pool.addresses) == ["s1"])
        for i in range(20):
            assert (await site.request("non_idempotent", str(i)))[0] == 200
        assert len(site.servers[0].received) == 0
        assert len(site.servers[1].received) == 20
        site.discovery.change(s0="in_service", s1="terminated")
        await wait_until(lambda: list(site.service.host.pool.addresses) == ["s0"])
        assert (await site.request("non_idempotent", "back"))[0] == 200
        assert len(site.servers[0].received) == 1
        calls_before = len(site.discovery.calls)
        site.discovery.abort_connections()
        await asyncio.sleep(0.18)
        assert len(site.discovery.calls) > calls_before  # reconnected within 200 ms
        site.discovery.behavior, calls_before = Behavior.EMPTY_REPLIES, len(site.discovery.calls)
        await wait_until(lambda: len(site.discovery.calls) > calls_before + 4)
        times_s = [time_s for _, time_s in site.discovery.calls[-4:]]
        assert 0.25 < times_s[-1] - times_s[0] < 0.6  # each renewal within 200 ms, but not immediately


@on_limiter_loop
async def test_a_discovery_agent_that_rejects_calls_is_backed_off():
    async with LimiterSite() as site:
        site.discovery.behavior = Behavior.BUSY
        await asyncio.sleep(1.0)
        calls_before = len(site.discovery.calls)
        await asyncio.sleep(1.0)
        assert len(site.discovery.calls) - calls_before <= 5  # without backoff there would be ten
        site.discovery.behavior = Behavior.NORMAL
        site.discovery.change(s0="terminating")
        await wait_until(lambda: "s0" not in site.service.host.pool.addresses)
