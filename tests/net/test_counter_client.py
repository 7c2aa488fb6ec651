"""Calls to a counter service that is unresponsive, overloaded or sends malformed replies."""

import asyncio
from types import SimpleNamespace

from support.event_loop import on_limiter_loop
from support.fake_peers import Behavior
from support.limiter_site import LimiterSite

from lapisgrade.interface import AddToCounter, CounterOutcome
from lapisgrade.net.counter_client import CounterClient
from lapisgrade.net.metrics import NetMetrics


@on_limiter_loop
async def test_counter_calls_report_their_outcome_and_late_replies_do_not_answer_later_calls():
    """A reply that arrives after its call's time-out must not be assigned to the next call."""
    async with LimiterSite() as site:
        replies = asyncio.Queue()
        address = ("127.0.0.1", site.counter.port)
        client = CounterClient(replies.put_nowait, lambda text: None, NetMetrics(), address, 250_000, 100_000)

        async def add(amount, behavior):
            site.counter.behavior = behavior
            client.add(SimpleNamespace(), AddToCounter(7, amount, 45_000_000))
            event = await replies.get()
            return event.reason.counter_outcome, event.total

        assert await add(2.0, Behavior.NORMAL) == (CounterOutcome.ADDED, 2.0)
        assert site.counter.received[-1] == [b"INCRTTL", b"7", b"2.000000", b"45000"]
        assert await add(1.0, Behavior.BUSY) == (CounterOutcome.REJECTED, 0.0)
        assert await add(3.0, 0.4) == (CounterOutcome.TIMED_OUT, 0.0)
        await asyncio.sleep(0.2)
        assert await add(-1.0, Behavior.NORMAL) == (CounterOutcome.ADDED, 4.0)
        assert await add(1.0, Behavior.CLOSE) == (CounterOutcome.TIMED_OUT, 0.0)
        assert await add(1.0, Behavior.SILENT) == (CounterOutcome.TIMED_OUT, 0.0)
        assert await add(1.0, Behavior.NORMAL) == (CounterOutcome.ADDED, 5.0)  # on a new connection
        for malformed_reply in [
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
            assert await add(1.0, malformed_reply) == (CounterOutcome.TIMED_OUT, 0.0)
        site.counter.close()
        await asyncio.sleep(0.01)
        assert await add(1.0, Behavior.NORMAL) == (CounterOutcome.REJECTED, 0.0)
