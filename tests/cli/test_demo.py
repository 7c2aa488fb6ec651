"""`lapisgrade demo` under load, with a departing server, and interrupted."""

import asyncio
import os
import signal

from lapisgrade.cli import demo
from lapisgrade.fakes import counter
from lapisgrade.fakes.site import Plan
from lapisgrade.lab.load import schedule


def run(coroutine, timeout_s=60):
    return asyncio.run(asyncio.wait_for(coroutine, timeout_s))


def demo_options(seconds=3.0, leave_at_s=1.0):
    """Return the options of a run with 60 operations per second and a grace period of 0.25 s."""
    shape = schedule.Shape("poisson", rate=60, seconds=seconds)
    return demo.DemoOptions(Plan(limiters=2, servers=3, seed=4), shape, seconds, leave_at_s, 0.25)


def test_no_rule_is_broken_under_load_while_a_server_departs():
    lines = []
    assert run(demo.run(demo_options(), lines.append)) == 0
    summary = next(line for line in lines if line.startswith("sent ") and "lost" in line)
    counts = dict(part.rsplit(" ", 1) for part in summary.split(": ")[1].split(" in ")[0].split(", "))
    assert counts["lost"] == "0"
    assert int(counts["finished"]) > 100
    assert sum(map(int, counts.values())) == int(summary.split(":")[0].split()[1])
    assert any("s0 was removed" in line for line in lines)
    assert "RULE BROKEN" not in " ".join(lines)


def test_ctrl_c_stops_sending_and_waits_for_operations_in_flight():
    lines = []

    async def interrupted_run():
        asyncio.get_running_loop().call_later(1.5, os.kill, os.getpid(), signal.SIGINT)
        return await demo.run(demo_options(seconds=6.0, leave_at_s=None), lines.append)

    assert run(interrupted_run()) == 0
    summary = next(line for line in lines if line.startswith("sent ") and "not sent" in line)
    assert "lost 0" in summary
    assert int(summary.split("not sent ")[1].split()[0]) > 100
    assert any(line.startswith("stopping") for line in lines)


def test_no_rule_is_broken_while_the_counter_sends_corrupt_replies_and_is_replaced():
    lines, additions = [], []

    async def inject_faults(site):
        await asyncio.sleep(0.8)
        site.counter.set_mode(counter.CounterMode.SPOILT)
        await asyncio.sleep(0.8)
        additions.append(site.counter.stats.added)
        site.counter.restart()  # equivalent to a replacement with an empty counter
        site.counter.set_mode(counter.CounterMode.NORMAL)

    assert run(demo.run(demo_options(seconds=3.0, leave_at_s=None), lines.append, inject_faults)) == 0
    assert additions  # the faults were injected
    assert additions[0] > 0
    assert "RULE BROKEN" not in " ".join(lines)
