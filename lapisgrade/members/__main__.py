"""One member as a process of its own: `python -m lapisgrade.members NAME HOST:PORT [--at HOST:PORT]
[SEED...]`.

Prints its address, then a JSON line for each change it learns of; SIGTERM ends it. For trying a network
out, and for the tests; a limiter hosts its membership itself.
"""

import asyncio
import signal
import sys

import click
import msgspec

from lapisgrade.members.core import News, State
from lapisgrade.members.host import Host, now_us
from lapisgrade.settings import MalformedInputError, parse_address


def show(**what) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(what) + b"\n")
    sys.stdout.buffer.flush()


async def run(name: str, listen: str, reached_at: str, seeds: list[str], chance: int) -> None:
    def changed(news: News) -> None:
        show(at=now_us(), name=news.name, state=State(news.state).name.lower(), by=news.by)

    host = Host(name, lambda text: print(f"{name}: {text}", file=sys.stderr, flush=True), changed, chance)
    ending = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ending.set)
    show(address=await host.open(*parse_address(listen, "listen"), seeds, reached_at))
    try:
        await ending.wait()
    finally:
        host.close()
        show(counts={**host.core.counts, **host.udp.counts}, alive=host.core.alive())


@click.command()
@click.argument("name")
@click.argument("listen")
@click.argument("seeds", nargs=-1)
@click.option("--at", "reached_at", default="", help="where others reach it, where that is not LISTEN")
@click.option("--seed", "chance", type=int, default=0, help="of its chance")
def main(name: str, listen: str, seeds: tuple[str, ...], reached_at: str, chance: int) -> None:
    """One member NAME at LISTEN, met through SEEDS (host:port each)."""
    try:
        asyncio.run(run(name, listen, reached_at, list(seeds), chance))
    except (OSError, MalformedInputError) as wrong:
        click.echo(f"the member could not start: {wrong}", err=True)
        sys.exit(2)


if __name__ == "__main__":
    main()
