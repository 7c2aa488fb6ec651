"""The load tool: its schedules, and its measurement of a stall."""

import asyncio

import pytest

from lapisgrade.fakes import servers
from lapisgrade.fakes.site import sample_configuration
from lapisgrade.lab.load import client, schedule


def run(coroutine, timeout_s=60):
    return asyncio.run(asyncio.wait_for(coroutine, timeout_s))


SECOND = 1_000_000


MIX = schedule.default_mix(sample_configuration()["settings"])


def test_a_schedule_is_determined_by_its_seed_and_follows_its_shape():
    burst = schedule.Shape("burst", rate=20, seconds=10, peak=200, at_s=4, length_s=2)
    planned, planned_again = schedule.plan(burst, MIX, 5), schedule.plan(burst, MIX, 5)
    assert planned == planned_again
    assert planned != schedule.plan(burst, MIX, 6)
    in_burst_count = sum(4 * SECOND <= operation.due_us < 6 * SECOND for operation in planned)
    assert 300 < in_burst_count < 500
    assert 100 < len(planned) - in_burst_count < 220
    assert len(schedule.arrivals(schedule.Shape("constant", 50, 2), None)) == 100
    with pytest.raises(schedule.ScheduleError, match="not one of"):
        schedule.arrivals(schedule.Shape("wave"), None)
    with pytest.raises(schedule.ScheduleError, match="trace row 2"):
        schedule.from_trace([{"t_s": 0, "customer": 1, "category": "read"}, {"t_s": "soon"}], MIX)


def test_a_stall_of_one_second_shows_across_the_distribution():
    async def run_with_stall():
        server = await servers.Server(
            "s0", servers.ServerBehavior(capacity=500, queue=500, median_s=0.002), 3
        ).open()
        planned = schedule.plan(schedule.Shape("constant", 100, 3), MIX, 1)
        load_client = client.Client([("127.0.0.1", server.port)], 1)
        asyncio.get_running_loop().call_later(1.0, server.pause, 1.0)
        tally = await load_client.run(planned)
        await server.kill()
        return tally

    tally = run(run_with_stall())
    latency = tally.all_latency()
    assert tally.counts["finished"] == 300
    assert tally.counts["lost"] == 0
    assert latency.get_value_at_percentile(99) >= 900_000
    # Operations due in the first half of the stall, a sixth of all, waited half a second or more.
    slow_count = sum(
        count
        for value, count in (
            (step.value_iterated_to, step.count_added_in_this_iter_step)
            for step in latency.get_recorded_iterator()
        )
        if value >= 500_000
    )
    assert slow_count >= 0.13 * 300
    assert tally.lag.get_value_at_percentile(99) < 100_000  # us: the tool itself was on time
