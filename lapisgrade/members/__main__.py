"""One member in its own process: `python -m lapisgrade.members NAME HOST:PORT [SEED...]`.

Prints its address, then a JSON line for each state change that it observes, and on SIGTERM its counters and
the members that it considers alive. It is for tests and network trials: in production the member runs inside
the limiter's process (`lapisgrade.members.site`).
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
    """Run a member until SIGTERM, and print its state changes and counters.

    Args:
        name: Name of the member.
        listen: Address to listen on, as `host:port`.
        reached_at: Address at which others reach it; empty for the one it listens on.
        seeds: Addresses of other members.
        random_seed: Seed of the member's random decisions.

    Raises:
        MalformedInputError: `listen` is not an address.
        OSError: The address is in use or not available.
    """

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
