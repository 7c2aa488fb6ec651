"""The run behind `lapisgrade demo`: a whole small site on loopback, and if asked an open-loop load at it.

Ctrl-C stops the load: nothing more is sent, what is in flight is answered, the limiters end as on SIGTERM,
and the counts are printed. The demo checks the rules that can be seen from outside and says so: every
operation that was sent has exactly one end, and no server took work later than the grace after it began to
drain.
"""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import click

from lapisgrade.fakes.site import Plan, Site, sample_configuration
from lapisgrade.lab.load import client, schedule

LIVE_INTERVAL_S = 1.0
"""Between two lines of counts."""

MAX_DISCOVERY_DELAY_S = 0.1
"""How long discovery may take to tell a limiter of a drain, on loopback, on top of the grace."""

EXIT_OK = 0
EXIT_RULE_BROKEN = 1
EXIT_NOT_STARTED = 2
EXIT_INTERRUPTED = 130

Print = Callable[[str], object]


@dataclass(slots=True)
class DemoOptions:
    """What the demo was asked for."""

    plan: Plan
    shape: schedule.Shape | None  # None: no load, serve until Ctrl-C (or `seconds`)
    seconds: float  # 0: without end
    leave_at_s: float | None  # when server s0 drains and then dies
    grace_s: float


async def run(
    options: DemoOptions,
    print_line: Print = click.echo,
    during: Callable[[Site], Awaitable[None]] | None = None,
) -> int:
    """Run the demo; returns its exit code.

    Args:
        options: what was asked for.
        print_line: called with each line of output.
        during: runs beside the load, for tests and scripts that bring faults on.
    """
    stopping = asyncio.Event()
    async with Site(options.plan) as site:
        for line in site.listening_lines():
            print_line(line)
        load = client.Client(site.limiter_addresses, options.plan.seed)
        with _interrupts(load, stopping, print_line):
            started_s = time.monotonic()
            tasks = [asyncio.create_task(print_counts(site, load, print_line, stopping))]
            if options.leave_at_s is not None:
                tasks.append(asyncio.create_task(remove_server(site, options, print_line)))
            if during is not None:
                tasks.append(asyncio.ensure_future(during(site)))
            await _drive(options, load, print_line, stopping)
            stopping.set()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await site.shut_down_limiters()
        wall_s = time.monotonic() - started_s
    return verdict(site, load.tally, options, wall_s, print_line)


@contextlib.contextmanager
def _interrupts(load: client.Client, stopping: asyncio.Event, print_line: Print) -> Iterator[None]:
    """Have Ctrl-C stop the load, where the event loop can handle signals."""

    def stop() -> None:
        if not stopping.is_set():
            print_line("stopping: nothing more is sent; what is out gets its answer")
        stopping.set()
        load.stop()

    event_loop = asyncio.get_running_loop()
    with contextlib.suppress(NotImplementedError, RuntimeError):
        event_loop.add_signal_handler(signal.SIGINT, stop)
    yield
    with contextlib.suppress(NotImplementedError, RuntimeError):
        event_loop.remove_signal_handler(signal.SIGINT)


async def _drive(
    options: DemoOptions, load: client.Client, print_line: Print, stopping: asyncio.Event
) -> None:
    """Send the load, or without one wait."""
    if options.shape is None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), options.seconds if options.seconds > 0 else None)
        return
    settings = (options.plan.template or sample_configuration())["settings"]
    planned = schedule.plan(options.shape, schedule.mix_of(settings), options.plan.seed)
    print_line(
        f"load: {len(planned)} operations over {options.shape.seconds:g} s, shape {options.shape.kind}"
    )
    await load.run(planned)


async def print_counts(site: Site, load: client.Client, print_line: Print, stopping: asyncio.Event) -> None:
    """Print a line a second: what was sent and how it ended so far, and what the servers did."""
    while not stopping.is_set():
        await asyncio.sleep(LIVE_INTERVAL_S)
        counts, servers = load.tally.counts, site.pool.totals()
        print_line(
            f"sent {load.tally.sent}: finished {counts['finished']}, turned back {counts['turned back']}, "
            f"given up {counts['given up']}; servers took {servers.requests}, "
            f"counter calls {site.counter.stats.calls}"
        )


async def remove_server(site: Site, options: DemoOptions, print_line: Print) -> None:
    """Have the first server drain, and die after the grace."""
    await asyncio.sleep(options.leave_at_s or 0.0)
    name = site.pool.servers[0].name
    print_line(f"{name} drains; it dies {options.grace_s:g} s later")
    await site.drain_and_remove(0, options.grace_s)
    print_line(f"{name} is gone")


def verdict(site: Site, tally: client.Tally, options: DemoOptions, wall_s: float, print_line: Print) -> int:
    """Print what came of the run; returns the exit code."""
    violations = []
    if options.shape is not None:
        for line in client.summary(tally, wall_s):
            print_line(line)
        violations += _load_violations(tally)
    servers = site.pool.totals()
    late = [
        after_s
        for after_s in servers.requests_after_drain_s
        if after_s > options.grace_s + MAX_DISCOVERY_DELAY_S
    ]
    if late:
        violations.append(f"{len(late)} operations came to a draining server past the grace")
    print_line(
        f"servers: took {servers.requests}, finished {servers.completed}, erred {servers.errors}, "
        f"turned away {servers.rejected}; counter: {site.counter.stats.added} additions"
    )
    for line in violations:
        print_line(f"RULE BROKEN: {line}")
    if violations:
        return EXIT_RULE_BROKEN
    print_line("every operation sent had exactly one end; no draining server took new work past the grace")
    return EXIT_OK


def _load_violations(tally: client.Tally) -> list[str]:
    violations = []
    if tally.counts["lost"]:
        violations.append(f"{tally.counts['lost']} operations got no answer in time")
    if sum(tally.counts.values()) != tally.sent + tally.counts["not sent"]:
        violations.append("the counts do not add up")
    return violations


def main(options: DemoOptions) -> int:
    """Run the demo on the limiter's own event loop; returns its exit code."""
    from lapisgrade.net import event_loop

    try:
        with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
            return runner.run(run(options))
    except OSError as error:
        click.echo(f"the demo could not start: {error.strerror or error}", err=True)
        return EXIT_NOT_STARTED
    except RuntimeError as error:
        click.echo(f"the demo could not start: {error}", err=True)
        return EXIT_NOT_STARTED
    except KeyboardInterrupt:
        click.echo("interrupted", err=True)
        return EXIT_INTERRUPTED
