"""The rules on sockets, by chance."""

import asyncio
from collections import Counter
from random import Random

import pytest
from support.event_loop import run_on_limiter_loop
from support.fake_peers import Behavior
from support.limiter_site import LimiterSite


@pytest.mark.parametrize("seed", range(3))
def test_rules_hold_on_sockets_under_chance(seed):
    run_on_limiter_loop(chance(Random(seed)))


async def chance(random):
    async with LimiterSite(servers=4) as site:
        time, done = asyncio.get_running_loop().time, {}
        ways = [Behavior.NORMAL] * 6 + [
            0.05,
            0.2,
            Behavior.ERROR,
            Behavior.OVERLOADED,
            Behavior.CLOSE,
            Behavior.TRUNCATED,
            Behavior.MALFORMED,
            Behavior.SILENT,
            Behavior.CHUNKED,
        ]
        for each in site.servers:
            each.behavior = lambda: random.choice(ways)
        site.counter.behavior = lambda: random.choice(
            [Behavior.NORMAL] * 6 + [0.04, Behavior.BUSY, Behavior.CLOSE]
        )

        async def client(name):
            connection = None
            for turn in range(14):
                number, kind = f"{name}-{turn}", random.choice(["look", "file", "burn"])
                connection = connection or await site.connect()
                started, time_out = time(), random.choice([0.1, 0.5, 0.9])

                async def ask(*args, **more):
                    return *await site.request(*args, **more), time()

                asking = asyncio.create_task(ask(kind, number, connection=connection, timeout=str(time_out)))
                if random.random() < 0.1:
                    await asyncio.sleep(random.random() * 0.2)
                    if not asking.done():
                        asking.cancel()
                        connection[1].transport.abort()
                        connection, done[number] = None, (kind, None, time())
                        continue
                status, headers, body, ended = await asyncio.wait_for(asking, 5)
                assert ended - started < time_out + 0.3, "rule 1: answered late"
                done[number] = kind, status, ended
                assert status in (200, 429, 502)
                assert body == (b"for " if status == 200 else b"")
                if "connection" in headers:
                    connection = None

        async def trouble():
            for _ in range(25):
                await asyncio.sleep(random.random() * 0.15)
                peer = random.choice([*site.servers, site.counter, site.discovery])
                peer.abort_connections()
                if random.random() < 0.3:
                    states = ["in_service", "in_service", "terminating"]
                    site.discovery.change(**{f"s{random.randrange(4)}": random.choice(states)})

        await asyncio.gather(trouble(), *(client(str(i)) for i in range(12)))
        for number, (kind, status, ended) in done.items():
            hops = site.attempts(number)
            assert all(hop[3] < ended + 0.3 for hop in hops), "rule 1: sent after its answer"
            may_have_run = [hop for hop in hops if hop[4] != Behavior.OVERLOADED]
            if kind == "burn":
                assert len(may_have_run) <= 1, "rule 2"
                assert not (status == 429 and may_have_run), "rule 2"
        statuses = Counter(status for _, status, _ in done.values())
        assert statuses[200] > 60
        assert len(done) == 12 * 14
        assert not site.service.host.unanswered
        assert not site.service.metrics.handler_failures
