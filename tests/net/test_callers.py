"""Calls to the counter and to discovery, which may be silent, crowded or wrong."""

import asyncio
import heapq
from random import Random
from types import SimpleNamespace

from support.event_loop import on_loopback, until
from support.limiter_site import Site

from lapisgrade.interface import AddToCounter, CounterOutcome
from lapisgrade.net.counter_client import CounterClient
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.poll_backoff import PollBackoff


@on_loopback
async def test_each_close_reason_of_a_counter_call_and_no_reply_for_another():
    """An answer that comes too late is not taken for the next call's."""
    async with Site() as site:
        got = asyncio.Queue()
        address = ("127.0.0.1", site.till.port)
        calls = CounterClient(got.put_nowait, lambda text: None, NetMetrics(), address, 250_000, 100_000)

        async def tell(amount, manner):
            site.till.manner = manner
            calls.add(SimpleNamespace(), AddToCounter(7, amount, 45_000_000))
            event = await got.get()
            return event.reason.counter_outcome, event.total

        assert await tell(2.0, "well") == (CounterOutcome.ADDED, 2.0)
        assert site.till.seen[-1] == [b"INCRTTL", b"7", b"2.000000", b"45000"]
        assert await tell(1.0, "busy") == (CounterOutcome.REJECTED, 0.0)
        assert await tell(3.0, 0.4) == (CounterOutcome.TIMED_OUT, 0.0)
        await asyncio.sleep(0.2)
        assert await tell(-1.0, "well") == (CounterOutcome.ADDED, 4.0)
        assert await tell(1.0, "close") == (CounterOutcome.TIMED_OUT, 0.0)
        assert await tell(1.0, "silent") == (CounterOutcome.TIMED_OUT, 0.0)
        assert await tell(1.0, "well") == (CounterOutcome.ADDED, 5.0)  # on a new connection
        for spoilt in [
            b"$3\r\nnan\r\n",
            b"$4\r\n1e99",
            b"$4\r\nmany\r\n",
            b"$9999999\r\n",
            b":5\r\n",
            b"\r\n",
            b"$1\r\n55\r\n",
            b"$-1\r\n",
            b"-" + bytes(999),
        ]:
            assert await tell(1.0, spoilt) == (CounterOutcome.TIMED_OUT, 0.0)
        site.till.close()
        await asyncio.sleep(0.01)
        assert await tell(1.0, "well") == (CounterOutcome.REJECTED, 0.0)


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


def test_all_callers_of_an_overloaded_discovery_get_through():
    """Found on sockets at size: of 40 limiters that came back at once, most never heard of a server again."""
    now, free, due, told = 0.0, 0.0, [], {}
    turns = {i: PollBackoff(Random(i), 40) for i in range(40)}
    for i in turns:
        heapq.heappush(due, (0.0, i))  # all are started at once, and ask at once
    calls = 0
    while due:
        now, i = heapq.heappop(due)
        assert now < 40, "some are never served"
        calls += 1
        waits = max(0.0, free - now)
        free = max(now, free) + (1 / 8 if waits < 2.2 else 0)  # it works on those too who wait no longer
        if waits < 2:
            told[i] = now + waits
        else:
            heapq.heappush(due, (now + min(waits, 2.0) + turns[i].on_rejected(), i))
    assert len(told) == 40 and max(told.values()) < 20 and calls < 100


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
