"""`lapisgrade demo`: under load, with a server that leaves, and ended early."""

import asyncio
import os
import signal

from lapisgrade.cli import demo
from lapisgrade.fakes import counter
from lapisgrade.fakes.site import Plan
from lapisgrade.lab.load import schedule


def run(work, seconds=60):
    return asyncio.run(asyncio.wait_for(work, seconds))


def ask_demo(seconds=3.0, leave=1.0):
    shape = schedule.Shape("poisson", rate=60, seconds=seconds)
    return demo.DemoOptions(Plan(limiters=2, servers=3, seed=4), shape, seconds, leave, 0.25)


def test_the_demo_keeps_the_rules_while_a_server_departs():
    lines = []
    assert run(demo.run(ask_demo(), lines.append)) == 0
    end = next(line for line in lines if line.startswith("sent ") and "lost" in line)
    counts = dict(part.rsplit(" ", 1) for part in end.split(": ")[1].split(" in ")[0].split(", "))
    assert counts["lost"] == "0"
    assert int(counts["finished"]) > 100
    assert sum(map(int, counts.values())) == int(end.split(":")[0].split()[1])
    assert any("s0 is gone" in line for line in lines)
    assert "RULE BROKEN" not in " ".join(lines)


def test_ctrl_c_sends_no_more_and_answers_what_is_in_flight():
    lines = []

    async def go():
        asyncio.get_running_loop().call_later(1.5, os.kill, os.getpid(), signal.SIGINT)
        return await demo.run(ask_demo(seconds=6.0, leave=None), lines.append)

    assert run(go()) == 0
    end = next(line for line in lines if line.startswith("sent ") and "not sent" in line)
    assert "lost 0" in end
    assert int(end.split("not sent ")[1].split()[0]) > 100
    assert any(line.startswith("stopping") for line in lines)


def test_limiters_keep_the_rules_while_the_counter_is_wrong_and_replaced():
    lines, seen = [], []

    async def faults(site):
        await asyncio.sleep(0.8)
        site.counter.set_mode(counter.CounterMode.SPOILT)
        await asyncio.sleep(0.8)
        seen.append(site.counter.stats.added)
        site.counter.restart()  # an empty counter in its place, as a swap to a fresh one
        site.counter.set_mode(counter.CounterMode.NORMAL)

    assert run(demo.run(ask_demo(seconds=3.0, leave=None), lines.append, faults)) == 0
    assert seen
    assert seen[0] > 0
    assert "RULE BROKEN" not in " ".join(lines)
