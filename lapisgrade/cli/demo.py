"""`lapisgrade demo`: a whole small site on loopback, and if asked an open-loop load at it.

Ctrl-C stops the load: nothing more is sent, what is out gets its answer, the limiters end as on SIGTERM, and
the counts are printed. The demo checks what it can see of the rules and says so: every operation sent has
exactly one end, and no server took work later than the grace after it was told to drain.
"""

import asyncio
import contextlib
import signal
import time
from dataclasses import dataclass

import click

from lapisgrade.lab.load import client, schedule
from lapisgrade.fakes.site import Plan, Site, sample

LIVE_S = 1.0  # between live lines
TOLD_S = 0.1  # how long discovery may take to tell a limiter of a drain, on loopback, on top of the grace


@dataclass(slots=True)
class Ask:
    """What the demo was asked for."""

    plan: Plan
    shape: schedule.Shape | None  # None: no load, serve until Ctrl-C (or `shape.seconds`)
    seconds: float
    leave_at_s: float | None  # when server s0 drains and then dies
    grace_s: float


async def run(ask: Ask, out=click.echo, during=None) -> int:
    """Runs the demo; 0 where all that was seen keeps the rules, 1 where not. `during(site)`, a coroutine
    function, runs beside the load: tests and scripts use it to bring faults on."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    async with Site(ask.plan) as site:
        for line in site.where():
            out(line)
        load = client.Client(site.listens, ask.plan.seed)

        def stop() -> None:
            if not stopping.is_set():
                out("stopping: nothing more is sent; what is out gets its answer")
            stopping.set()
            load.stop()

        with contextlib.suppress(NotImplementedError, RuntimeError):
            loop.add_signal_handler(signal.SIGINT, stop)
        began = time.monotonic()
        tasks = [asyncio.create_task(live(site, load, out, stopping))]
        if ask.leave_at_s is not None:
            tasks.append(asyncio.create_task(leave(site, ask, out)))
        if during is not None:
            tasks.append(asyncio.create_task(during(site)))
        if ask.shape is not None:
            settings = (ask.plan.template or sample())["settings"]
            planned = schedule.plan(ask.shape, schedule.mix_of(settings), ask.plan.seed)
            out(f"load: {len(planned)} operations over {ask.shape.seconds:g} s, shape {ask.shape.kind}")
            await load.run(planned)
        else:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), ask.seconds if ask.seconds > 0 else None)
        stopping.set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(NotImplementedError, RuntimeError):
            loop.remove_signal_handler(signal.SIGINT)
        await site.end_limiters()
        wall_s = time.monotonic() - began
    return verdict(site, load.tally, ask, wall_s, out, ask.shape is not None)


async def live(site: Site, load: client.Client, out, stopping: asyncio.Event) -> None:
    """One line a second: what was sent and how it ended so far, and what the servers did."""
    while not stopping.is_set():
        await asyncio.sleep(LIVE_S)
        counts, servers = load.tally.counts, site.pool.totals()
        out(
            f"sent {load.tally.sent}: finished {counts['finished']}, turned back {counts['turned back']}, "
            f"given up {counts['given up']}; servers took {servers.asked}, "
            f"counter calls {site.counter.tally.calls}"
        )


async def leave(site: Site, ask: Ask, out) -> None:
    await asyncio.sleep(ask.leave_at_s)
    name = site.pool.servers[0].name
    out(f"{name} drains; it dies {ask.grace_s:g} s later")
    await site.leave(0, ask.grace_s)
    out(f"{name} is gone")


def verdict(site: Site, tally: client.Tally, ask: Ask, wall_s: float, out, loaded: bool) -> int:
    """Print the end; 0 where the rules that can be seen from outside held."""
    broken = []
    if loaded:
        for line in client.summary(tally, wall_s):
            out(line)
        if tally.counts["lost"]:
            broken.append(f"{tally.counts['lost']} operations got no answer in time")
        if sum(tally.counts.values()) != tally.sent + tally.counts["not sent"]:
            broken.append("the counts do not add up")
    servers = site.pool.totals()
    late = [after for after in servers.after_drain if after > ask.grace_s + TOLD_S]
    if late:
        broken.append(f"{len(late)} operations came to a draining server past the grace")
    out(
        f"servers: took {servers.asked}, finished {servers.served}, erred {servers.errors}, "
        f"turned away {servers.turned_away}; counter: {site.counter.tally.added} additions"
    )
    for line in broken:
        out(f"RULE BROKEN: {line}")
    if not broken:
        out("every operation sent had exactly one end; no draining server took new work past the grace")
    return 1 if broken else 0


def main(ask: Ask) -> int:
    """Run the demo on the limiter's own event loop."""
    from lapisgrade.net import event_loop

    try:
        with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
            return runner.run(run(ask))
    except OSError as wrong:
        click.echo(f"the demo could not start: {wrong.strerror or wrong}", err=True)
        return 2
    except RuntimeError as wrong:
        click.echo(f"the demo could not start: {wrong}", err=True)
        return 2
    except KeyboardInterrupt:
        click.echo("interrupted", err=True)
        return 130
