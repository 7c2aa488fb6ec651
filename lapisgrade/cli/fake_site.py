"""`lapisgrade demo` and `lapisgrade standins`: limiters and fakes of their dependencies, on loopback."""

import asyncio
import signal
import sys

import click

from lapisgrade.cli.options import load_shape, parse_address, shape_options
from lapisgrade.fakes.servers import ServerBehavior
from lapisgrade.fakes.site import Plan, sample_configuration


@click.command()
@click.option("--load/--no-load", default=False, help="send open-loop load to the limiters, then exit")
@click.option("--limiters", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--capacity",
    type=click.IntRange(1, 10_000),
    default=8,
    show_default=True,
    help="concurrent operations per server",
)
@click.option(
    "--leave",
    "leave_at_s",
    type=float,
    default=None,
    help="time in s at which server s0 drains; it is killed after the grace period",
)
@click.option("--seed", type=int, default=1, show_default=True)
@shape_options
def demo(
    load: bool,
    limiters: int,
    servers: int,
    capacity: int,
    leave_at_s: float | None,
    seed: int,
    shape: str,
    rate: float,
    seconds: float,
    peak: float,
    at_s: float,
    length_s: float,
) -> None:
    """Start fakes and limiters in one process on loopback; with --load, send load and print the results."""
    from lapisgrade.cli import demo as demo_run

    behavior = ServerBehavior(capacity=capacity, cold_from=0.3, warm_s=2.0)
    options = demo_run.DemoOptions(
        plan=Plan(limiters=limiters, servers=servers, behavior=behavior, seed=seed),
        shape=load_shape(shape, rate, seconds, peak, at_s, length_s) if load else None,
        seconds=seconds if load else 0.0,
        leave_at_s=leave_at_s,
        grace_s=sample_configuration()["settings"]["Rules"]["DrainGrace"] / 1000,
    )
    sys.exit(demo_run.main(options))


@click.command()
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def standins(servers: int, seed: int) -> None:
    """Run a fake counter, discovery and servers at the sample configuration's addresses until Ctrl-C.

    `lapisgrade serve deploy/sample.json` (or `make run`) starts a limiter that uses them.
    """
    try:
        asyncio.run(_run_fakes(servers, seed))
    except OSError as error:
        click.echo(f"the fakes could not start: {error.strerror or error}", err=True)
        sys.exit(2)
    click.echo("stopped")


async def _run_fakes(server_count: int, seed: int) -> None:
    """Run a fake counter, a fake discovery agent and fake servers until SIGINT or SIGTERM.

    Raises:
        OSError: An address of the sample configuration is in use.
    """
    from lapisgrade.fakes.counter import Counter
    from lapisgrade.fakes.discovery import Discovery, ServerEntry
    from lapisgrade.fakes.servers import ServerPool

    configuration = sample_configuration()
    counter = await Counter(*parse_address(configuration["counter"], "counter")).open()
    discovery = await Discovery(*parse_address(configuration["discovery"], "discovery")).open()
    pool = await ServerPool(server_count, ServerBehavior(), seed).open()
    for index, server in enumerate(pool.servers):
        discovery.put(ServerEntry(server.name, server.address, cell=index % 3))
    click.echo(f"counter    {counter.address}\ndiscovery  {discovery.address}")
    for server in pool.servers:
        click.echo(f"server     {server.name} {server.address}")
    click.echo("press Ctrl-C or send SIGTERM to stop")
    ending = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, ending.set)
    try:
        await ending.wait()
    finally:
        await pool.close()
        await discovery.close()
        await counter.close()
