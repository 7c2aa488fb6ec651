"""The rules for operations, checked on real sockets while servers, counter and discovery fail at random.

Rule 1: each operation gets one final answer in time, and no attempt is sent after it. Rule 2: no effect
happens twice, so a non-idempotent operation has at most one attempt that may have run.
"""

import asyncio
from collections import Counter
from random import Random

import pytest
from support.event_loop import run_on_limiter_loop
from support.fake_peers import Behavior
from support.limiter_site import LimiterSite


@pytest.mark.parametrize("seed", range(3))
def test_operation_rules_hold_under_random_faults(seed):
    run_on_limiter_loop(run_random_faults(Random(seed)))


async def run_random_faults(random):
    async with LimiterSite(servers=4) as site:
        loop_time, finished = asyncio.get_running_loop().time, {}  # by request id: class, status, end
        server_behaviors = [Behavior.NORMAL] * 6 + [
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
            each.behavior = lambda: random.choice(server_behaviors)
        site.counter.behavior = lambda: random.choice(
            [Behavior.NORMAL] * 6 + [0.04, Behavior.BUSY, Behavior.CLOSE]
        )

        async def client(name):
            connection = None
            for turn in range(14):
                request_id, request_class = (
                    f"{name}-{turn}",
                    random.choice(["idempotent", "deduplicated", "non_idempotent"]),
                )
                connection = connection or await site.connect()
                started_s, timeout_s = loop_time(), random.choice([0.1, 0.5, 0.9])

                async def timed_request(*args, **kwargs):
                    return *await site.request(*args, **kwargs), loop_time()

                request_task = asyncio.create_task(
                    timed_request(request_class, request_id, connection=connection, timeout=str(timeout_s))
                )
                if random.random() < 0.1:
                    await asyncio.sleep(random.random() * 0.2)
                    if not request_task.done():
                        request_task.cancel()
                        connection[1].transport.abort()
                        connection, finished[request_id] = None, (request_class, None, loop_time())
                        continue
                status, headers, body, ended_s = await asyncio.wait_for(request_task, 5)
                assert ended_s - started_s < timeout_s + 0.3, (
                    "rule 1: answered more than 0.3 s after the time-out"
                )
                finished[request_id] = request_class, status, ended_s
                assert status in (200, 429, 502)
                assert body == (b"for " if status == 200 else b"")
                if "connection" in headers:
                    connection = None

        async def inject_faults():
            for _ in range(25):
                await asyncio.sleep(random.random() * 0.15)
                peer = random.choice([*site.servers, site.counter, site.discovery])
                peer.abort_connections()
                if random.random() < 0.3:
                    states = ["in_service", "in_service", "terminating"]
                    site.discovery.change(**{f"s{random.randrange(4)}": random.choice(states)})

        await asyncio.gather(inject_faults(), *(client(str(i)) for i in range(12)))
        for request_id, (request_class, status, ended_s) in finished.items():
            attempts = site.attempts(request_id)
            assert all(attempt[3] < ended_s + 0.3 for attempt in attempts), (
                "rule 1: attempt sent after the final answer"
            )
            may_have_run = [attempt for attempt in attempts if attempt[4] != Behavior.OVERLOADED]
            if request_class == "non_idempotent":
                assert len(may_have_run) <= 1, (
                    "rule 2: non-idempotent operation sent again after it may have run"
                )
                assert not (status == 429 and may_have_run), (
                    "rule 2: the client was asked to retry an operation that may have run"
                )
        statuses = Counter(status for _, status, _ in finished.values())
        assert statuses[200] > 60
        assert len(finished) == 12 * 14
        assert not site.service.host.unanswered
        assert not site.service.metrics.handler_failures
