"""Implementation of `lapisgrade demo`: a small site on loopback, optionally under open-loop load.

Ctrl-C stops sending; operations in flight are answered, the limiters shut down as on SIGTERM, and the counts
are printed. The demo checks and reports the rules that are visible from outside: every operation sent has
exactly one outcome, and no server receives an operation later than the grace period after it starts draining.
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
"""Interval between two lines of counts."""

MAX_DISCOVERY_DELAY_S = 0.1
"""Maximum delay until discovery notifies a limiter of a drain, on loopback; added to the grace period."""

EXIT_OK = 0
EXIT_RULE_BROKEN = 1
EXIT_NOT_STARTED = 2
EXIT_INTERRUPTED = 130

Print = Callable[[str], object]


@dataclass(slots=True)
class DemoOptions:
    """Options of a demo run."""

    plan: Plan
    shape: schedule.Shape | None  # None: no load, run until Ctrl-C (or for `seconds`)
    seconds: float  # 0: no time limit
    leave_at_s: float | None  # time from the start at which server s0 drains; None for never
    grace_s: float  # time from the start of the drain until the server is killed


async def run(
    options: DemoOptions,
    print_line: Print = click.echo,
    inject_faults: Callable[[Site], Awaitable[None]] | None = None,
) -> int:
    """Run the demo and return its exit code: EXIT_OK, or EXIT_RULE_BROKEN if a rule was broken.

    Args:
        options: Options of the run.
        print_line: Called with each line of output.
        inject_faults: Coroutine function that runs during the load, for tests and scripts.

    Raises:
        OSError: A fake could not listen.
        RuntimeError: A limiter was not ready in time, or ended before it was ready.
    """
    stopping = asyncio.Event()
    async with Site(options.plan) as site:
        for line in site.listening_lines():
            print_line(line)
        load = client.Client(site.limiter_addresses, options.plan.seed)
        with _stop_on_interrupt(load, stopping, print_line):
            started_s = time.monotonic()
            tasks = [asyncio.create_task(print_counts(site, load, print_line, stopping))]
            if options.leave_at_s is not None:
                tasks.append(asyncio.create_task(remove_server(site, options, print_line)))
            if inject_faults is not None:
                tasks.append(asyncio.ensure_future(inject_faults(site)))
            await _send_load(options, load, print_line, stopping)
            stopping.set()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await site.shut_down_limiters()
        wall_s = time.monotonic() - started_s
    return print_results(site, load.tally, options, wall_s, print_line)


@contextlib.contextmanager
def _stop_on_interrupt(load: client.Client, stopping: asyncio.Event, print_line: Print) -> Iterator[None]:
    """Stop the load on Ctrl-C, if the event loop can handle signals."""

    def stop() -> None:
        if not stopping.is_set():
            print_line("stopping: no new operations are sent; waiting for those in flight")
        stopping.set()
        load.stop()

    event_loop = asyncio.get_running_loop()
    with contextlib.suppress(NotImplementedError, RuntimeError):
        event_loop.add_signal_handler(signal.SIGINT, stop)
    yield
    with contextlib.suppress(NotImplementedError, RuntimeError):
        event_loop.remove_signal_handler(signal.SIGINT)


async def _send_load(
    options: DemoOptions, load: client.Client, print_line: Print, stopping: asyncio.Event
) -> None:
    """Send the load; without one, wait for Ctrl-C or the time limit."""
    if options.shape is None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), options.seconds if options.seconds > 0 else None)
        return
    settings = (options.plan.template or sample_configuration())["settings"]
    planned = schedule.plan(options.shape, schedule.default_mix(settings), options.plan.seed)
    print_line(
        f"load: {len(planned)} operations over {options.shape.seconds:g} s, shape {options.shape.kind}"
    )
    await load.run(planned)


async def print_counts(site: Site, load: client.Client, print_line: Print, stopping: asyncio.Event) -> None:
    """Print a line of counts every `LIVE_INTERVAL_S`: operations, their outcomes, requests to the fakes."""
    while not stopping.is_set():
        await asyncio.sleep(LIVE_INTERVAL_S)
        counts, servers = load.tally.counts, site.pool.totals()
        print_line(
            f"sent {load.tally.sent}: finished {counts['finished']}, turned back {counts['turned back']}, "
            f"given up {counts['given up']}; servers received {servers.requests}, "
            f"counter calls {site.counter.stats.calls}"
        )


async def remove_server(site: Site, options: DemoOptions, print_line: Print) -> None:
    """Drain the first server and kill it after the grace period."""
    await asyncio.sleep(options.leave_at_s or 0.0)
    name = site.pool.servers[0].name
    print_line(f"{name} drains; it is killed in {options.grace_s:g} s")
    await site.drain_and_remove(0, options.grace_s)
    print_line(f"{name} was removed")


def print_results(
    site: Site, tally: client.Tally, options: DemoOptions, wall_s: float, print_line: Print
) -> int:
    """Print the results and rule violations of the run, and return the exit code."""
    violations = []
    if options.shape is not None:
        for line in client.summary(tally, wall_s):
            print_line(line)
        violations += _load_violations(tally)
    servers = site.pool.totals()
    late_s = [
        after_s
        for after_s in servers.requests_after_drain_s
        if after_s > options.grace_s + MAX_DISCOVERY_DELAY_S
    ]
    if late_s:
        violations.append(f"{len(late_s)} operations reached a draining server after the grace period")
    print_line(
        f"servers: received {servers.requests}, completed {servers.completed}, errors {servers.errors}, "
        f"rejected {servers.rejected}; counter: {site.counter.stats.added} additions"
    )
    for line in violations:
        print_line(f"RULE BROKEN: {line}")
    if violations:
        return EXIT_RULE_BROKEN
    print_line(
        "every operation had exactly one outcome; none reached a draining server after the grace period"
    )
    return EXIT_OK


def _load_violations(tally: client.Tally) -> list[str]:
    """Return the violations of the rule that every operation sent has exactly one outcome."""
    violations = []
    if tally.counts["lost"]:
        violations.append(f"{tally.counts['lost']} operations were not answered in time")
    if sum(tally.counts.values()) != tally.sent + tally.counts["not sent"]:
        violations.append("the outcomes do not add up to the operations sent and not sent")
    return violations


def main(options: DemoOptions) -> int:
    """Run the demo on the event loop implementation that the limiter uses, and return its exit code."""
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
