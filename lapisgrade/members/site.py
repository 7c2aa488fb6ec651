"""Membership beside a limiter, as an operator's file says.

`lapisgrade serve CONFIG --site deploy/peers.toml`, with a file such as:

    [peers]
    listen = "127.0.0.1:7400"      # UDP
    reached_at = ""                # where others reach it, if that is not `listen`
    seeds = ["127.0.0.1:7401"]     # some other limiters, to meet the rest by

The limiter's own counters then have `members alive` and how many frames of the peers were read and refused;
its log says who came and went.
"""

import contextlib
import tomllib
import zlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from lapisgrade.members.core import MAX_NAME_LENGTH
from lapisgrade.members.host import Host
from lapisgrade.members.messages import MemberState, Update
from lapisgrade.net.service import Service
from lapisgrade.settings import MalformedInputError, parse_address

STATE_PHRASES = {
    MemberState.ALIVE: "lives",
    MemberState.SUSPECT: "is suspected",
    MemberState.DEAD: "is dead",
}


@dataclass(frozen=True, slots=True)
class Site:
    """What the file says."""

    listen: tuple[str, int]
    reached_at: str
    seeds: tuple[str, ...]


def read(path: str) -> Site:
    """The operator's file; Malformed names what is wrong with it, in one line."""
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file).get("peers")
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise MalformedInputError(f"{path}: {wrong}") from None
    if not isinstance(table, dict):
        raise MalformedInputError(f"{path}: there is no table [peers]")
    strange = sorted(set(table) - {"listen", "reached_at", "seeds"})
    if strange:
        raise MalformedInputError(f"{path}: peers.{strange[0]} is unknown")
    seeds = table.get("seeds", [])
    if not isinstance(seeds, list):
        raise MalformedInputError(f"{path}: peers.seeds is not a list")
    for each in seeds:
        parse_address(each, f"{path}: a seed")
    reached_at = table.get("reached_at", "")
    if reached_at:
        parse_address(reached_at, f"{path}: peers.reached_at")
    return Site(parse_address(table.get("listen"), f"{path}: peers.listen"), reached_at, tuple(seeds))


def beside(site: Site, name: str) -> Callable[[Service], contextlib.AbstractAsyncContextManager[None]]:
    """What `serve` runs beside the limiter of that name."""

    @contextlib.asynccontextmanager
    async def member(service: Service) -> AsyncIterator[None]:
        def on_change(update: Update) -> None:
            service.log(f"limiter {update.name} {STATE_PHRASES[MemberState(update.state)]}")
            service.peer_counts["members alive"] = len(host.core.alive()) if host.core is not None else 1

        # Chance of its own, the same for the same name: what the decisions draw is not touched.
        host = Host(name[:MAX_NAME_LENGTH], service.log, on_change, zlib.crc32(name.encode()))
        host.udp.counts = service.peer_counts
        try:
            await host.open(*site.listen, list(site.seeds), site.reached_at)
        except OSError as wrong:
            raise MalformedInputError(f"peers.listen: {wrong.strerror or wrong}") from None
        service.peer_counts["members alive"] = 1
        try:
            yield
        finally:
            host.close()

    return member
