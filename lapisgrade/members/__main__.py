"""One member in its own process: `python -m lapisgrade.members NAME HOST:PORT [SEED...]`.

Prints its address, then a JSON line for each state change it observes, until SIGTERM. It serves tests and
network trials; a limiter runs its member in its own process.
"""

import asyncio
import signal
import sys

import click
import msgspec

from lapisgrade.members.core import MemberMetrics
from lapisgrade.members.host import Host, now_us
from lapisgrade.members.messages import MemberState, Update
from lapisgrade.settings import MalformedInputError, parse_address


def print_json(**fields: object) -> None:
    """Print one JSON object on a line."""
    sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
    sys.stdout.buffer.flush()


def printed_counts(metrics: MemberMetrics) -> dict[str, int]:
    """Return the counters under the keys that this command prints."""
    return {
        "sent": metrics.sent,
        "heard": metrics.received,
        "refuted": metrics.refuted,
        "suspected": metrics.suspected,
        "died": metrics.died,
        "strange": metrics.invalid,
    }


async def run(name: str, listen: str, reached_at: str, seeds: list[str], random_seed: int) -> None:
    """Run a member until SIGTERM."""

    def on_change(update: Update) -> None:
        state = MemberState(update.state).name.lower()
        print_json(at=now_us(), name=update.name, state=state, by=update.reporter)

    def log_line(text: str) -> None:
        print(f"{name}: {text}", file=sys.stderr, flush=True)

    host = Host(name, log_line, on_change, random_seed)
    ending = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ending.set)
    print_json(address=await host.open(*parse_address(listen, "listen"), seeds, reached_at))
    try:
        await ending.wait()
    finally:
        host.close()
        assert host.core is not None
        counts = {**printed_counts(host.core.metrics), **host.udp.counts}
        print_json(counts=counts, alive=host.core.alive())


@click.command()
@click.argument("name")
@click.argument("listen")
@click.argument("seeds", nargs=-1)
@click.option("--at", "reached_at", default="", help="address at which others reach it, if not LISTEN")
@click.option("--seed", "random_seed", type=int, default=0, help="random seed")
def main(name: str, listen: str, seeds: tuple[str, ...], reached_at: str, random_seed: int) -> None:
    """Run the member NAME at LISTEN; it joins through SEEDS (host:port each)."""
    try:
        asyncio.run(run(name, listen, reached_at, list(seeds), random_seed))
    except (OSError, MalformedInputError) as error:
        click.echo(f"the member could not start: {error}", err=True)
        sys.exit(2)


if __name__ == "__main__":
    main()
