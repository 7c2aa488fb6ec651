"""`lapisgrade`: the command line.

    lapisgrade serve CONFIG            one limiter, as `python -m lapisgrade` with ROUTER_CONFIG=CONFIG
    lapisgrade demo [--load]           stand-ins and limiters in one process on loopback
    lapisgrade standins                the stand-ins alone, at the sample configuration's addresses
    lapisgrade load TARGET...          open-loop load at running limiters
    lapisgrade lab run SCENARIO        an emulated fleet in simulated time
    lapisgrade lab report RUN...       plots and a page of emulated runs
    lapisgrade lab fleet run SCENARIO  the same scenario with real processes, and a checker of what they did
    lapisgrade proxy|controller        the gateway's roles; check, plan, status, tenant and others operate it

Arguments are read by click. Bad input gets one plain line and exit code 2.
"""

import asyncio
import contextlib
import csv
import json
import signal
import sys

import click

from lapisgrade import start
from lapisgrade.cli.gateway import add_commands
from lapisgrade.cli.lab import lab
from lapisgrade.lab.load import client, schedule
from lapisgrade.fakes.servers import Knobs
from lapisgrade.fakes.site import Plan, sample

SHAPE = click.Choice(schedule.SHAPES)


def shape_options(command):
    """The options that say the traffic's shape."""
    for option in reversed(
        [
            click.option(
                "--shape", type=SHAPE, default="poisson", show_default=True, help="how arrivals come"
            ),
            click.option("--rate", type=float, default=40.0, show_default=True, help="operations a second"),
            click.option("--seconds", type=float, default=10.0, show_default=True, help="length of the load"),
            click.option("--peak", type=float, default=0.0, help="rate of the step, burst or ramp's end"),
            click.option("--at", "at_s", type=float, default=0.0, help="s into the run: the step or burst"),
            click.option("--length", "length_s", type=float, default=0.0, help="s that a burst lasts"),
        ]
    ):
        command = option(command)
    return command


def make_shape(shape, rate, seconds, peak, at_s, length_s) -> schedule.Shape:
    made = schedule.Shape(shape, rate, seconds, peak, at_s, length_s)
    try:
        made.check()
    except schedule.BadShape as wrong:
        raise click.BadParameter(str(wrong)) from None
    return made


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """lapisgrade: a front door that meters many customers' use of one shared service."""


@cli.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option(
    "--site",
    type=click.Path(dir_okay=False),
    default=None,
    help="an operator's file (deploy/peers.toml), for limiters that may talk to one another",
)
def serve(config: str, site: str | None) -> None:
    """Run one limiter as the file CONFIG tells it (SIGTERM ends, SIGHUP reloads, SIGUSR1 counts)."""
    import os

    from lapisgrade.__main__ import main as limiter
    from lapisgrade.net.service_configuration import read_configuration

    os.environ["ROUTER_CONFIG"] = config
    beside = None
    if site is not None:
        from lapisgrade.members import site as members

        try:
            beside = members.beside(members.read(site), str(read_configuration(config).get("name", "")))
        except start.Malformed as wrong:
            click.echo(f"the configuration: {wrong}", err=True)
            sys.exit(2)
    sys.exit(limiter(beside))


@cli.command()
@click.option("--load/--no-load", default=False, help="drive an open-loop load at the limiters, then end")
@click.option("--limiters", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--capacity",
    type=click.IntRange(1, 10_000),
    default=8,
    show_default=True,
    help="operations at work at once on each server",
)
@click.option(
    "--leave",
    "leave_at_s",
    type=float,
    default=None,
    help="s into the run at which server s0 drains and then dies",
)
@click.option("--seed", type=int, default=1, show_default=True)
@shape_options
def demo(load, limiters, servers, capacity, leave_at_s, seed, shape, rate, seconds, peak, at_s, length_s):
    """Start stand-ins and limiters in one process on loopback; with --load, drive load and report."""
    from lapisgrade.cli import demo as run_demo

    knobs = Knobs(capacity=capacity, cold_from=0.3, warm_s=2.0)
    plan = Plan(limiters=limiters, servers=servers, knobs=knobs, seed=seed)
    traffic = make_shape(shape, rate, seconds, peak, at_s, length_s) if load else None
    grace_s = sample()["settings"]["Rules"]["DrainGrace"] / 1000
    ask = run_demo.Ask(plan, traffic, seconds if load else 0.0, leave_at_s, grace_s)
    sys.exit(run_demo.main(ask))


@cli.command()
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def standins(servers: int, seed: int) -> None:
    """Counter and discovery at the sample configuration's addresses, and servers, until Ctrl-C.

    Then `lapisgrade serve deploy/sample.json` (or `make run`) starts a limiter among them.
    """
    from lapisgrade.fakes.counter import Counter
    from lapisgrade.fakes.discovery import Discovery, Row
    from lapisgrade.fakes.servers import Pool

    told = sample()

    async def run() -> None:
        counter = await Counter(*_address(told["counter"], "counter")).open()
        discovery = await Discovery(*_address(told["discovery"], "discovery")).open()
        pool = await Pool(servers, Knobs(), seed).open()
        for i, server in enumerate(pool.servers):
            discovery.put(Row(server.name, server.address, cell=i % 3))
        click.echo(f"counter    {counter.address}\ndiscovery  {discovery.address}")
        for server in pool.servers:
            click.echo(f"server     {server.name} {server.address}")
        click.echo("Ctrl-C or SIGTERM ends them")
        ending = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, ending.set)
        try:
            await ending.wait()
        finally:
            await pool.close()
            await discovery.close()
            await counter.close()

    try:
        asyncio.run(run())
    except OSError as wrong:
        click.echo(f"the stand-ins could not start: {wrong.strerror or wrong}", err=True)
        sys.exit(2)
    click.echo("ended")


@cli.command()
@click.argument("targets", nargs=-1, required=True)
@click.option(
    "--trace",
    type=click.File("r"),
    default=None,
    help="a trace in place of a shape: CSV with a header, or JSON lines, of t_s, customer, "
    "category[, plan, units, timeout_s]",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--connections",
    type=click.IntRange(1, 10_000),
    default=256,
    show_default=True,
    help="connections to each limiter at the most",
)
@shape_options
def load(targets, trace, seed, connections, shape, rate, seconds, peak, at_s, length_s):
    """Open-loop load at the limiters at TARGETS (host:port each); latency counted from when each was due."""
    addresses = [_address(each) for each in targets]
    mix = schedule.mix_of(sample()["settings"])
    if trace is not None:
        try:
            if trace.name.endswith(".csv"):
                rows = list(csv.DictReader(trace))
            else:
                rows = [json.loads(line) for line in trace if line.strip()]
            planned = schedule.from_trace(rows, mix)
        except (ValueError, schedule.BadShape) as wrong:
            raise click.BadParameter(str(wrong), param_hint="--trace") from None
    else:
        planned = schedule.plan(make_shape(shape, rate, seconds, peak, at_s, length_s), mix, seed)
    tool = client.Client(addresses, seed, connections)

    async def run() -> client.Tally:
        with contextlib.suppress(NotImplementedError):
            asyncio.get_running_loop().add_signal_handler(signal.SIGINT, tool.stop)
        return await tool.run(planned)

    tally, wall_s = asyncio.run(_timed(run()))
    for line in client.summary(tally, wall_s):
        click.echo(line)
    sys.exit(1 if tally.counts["lost"] else 0)


async def _timed(work):
    loop = asyncio.get_running_loop()
    began = loop.time()
    result = await work
    return result, loop.time() - began


def _address(text: str, name: str = "target") -> tuple[str, int]:
    """Host and port, read as the limiter reads its own addresses; a bad one is a bad parameter."""
    try:
        return start.address(text, name)
    except start.Malformed as wrong:
        raise click.BadParameter(str(wrong)) from None


cli.add_command(lab)
add_commands(cli)


def main() -> None:
    """The command `lapisgrade`."""
    cli(prog_name="lapisgrade")
