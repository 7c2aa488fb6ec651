"""`lapisgrade load`: send open-loop load to running limiters."""

import asyncio
import contextlib
import csv
import json
import signal
import sys
from typing import Any, TextIO

import click

from lapisgrade.cli.options import load_shape, parse_address, shape_options
from lapisgrade.fakes.site import sample_configuration
from lapisgrade.lab.load import client, schedule


@click.command()
@click.argument("targets", nargs=-1, required=True)
@click.option(
    "--trace",
    type=click.File("r"),
    default=None,
    help="replay a trace instead of a shape: CSV with a header, or JSON lines, with t_s, customer, "
    "category[, plan, units, timeout_s]",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--connections",
    type=click.IntRange(1, 10_000),
    default=256,
    show_default=True,
    help="maximum connections to each limiter",
)
@shape_options
def load(
    targets: tuple[str, ...],
    trace: TextIO | None,
    seed: int,
    connections: int,
    shape: str,
    rate: float,
    seconds: float,
    peak: float,
    at_s: float,
    length_s: float,
) -> None:
    """Send open-loop load to TARGETS (host:port each); latency is measured from the scheduled send time."""
    addresses = [parse_address(target) for target in targets]
    mix = schedule.default_mix(sample_configuration()["settings"])
    if trace is not None:
        planned = _read_trace(trace, mix)
    else:
        planned = schedule.plan(load_shape(shape, rate, seconds, peak, at_s, length_s), mix, seed)
    tally, wall_s = asyncio.run(_run(client.Client(addresses, seed, connections), planned))
    for line in client.summary(tally, wall_s):
        click.echo(line)
    sys.exit(1 if tally.counts["lost"] else 0)


def _read_trace(trace: TextIO, mix: schedule.Mix) -> list[schedule.PlannedOperation]:
    """Return the operations of a trace, read as CSV if its name ends in .csv, else as JSON lines.

    Raises:
        click.BadParameter: A line is not valid JSON, or a row has an invalid or missing value.
    """
    rows: list[dict[str, Any]]
    try:
        if trace.name.endswith(".csv"):
            rows = list(csv.DictReader(trace))
        else:
            rows = [json.loads(line) for line in trace if line.strip()]
        return schedule.from_trace(rows, mix)
    except (ValueError, schedule.ScheduleError) as error:
        raise click.BadParameter(str(error), param_hint="--trace") from None


async def _run(
    load_client: client.Client, planned: list[schedule.PlannedOperation]
) -> tuple[client.Tally, float]:
    """Send the planned operations; return the tally and the elapsed time in s."""
    event_loop = asyncio.get_running_loop()
    started_s = event_loop.time()
    with contextlib.suppress(NotImplementedError):
        event_loop.add_signal_handler(signal.SIGINT, load_client.stop)
    tally = await load_client.run(planned)
    return tally, event_loop.time() - started_s
