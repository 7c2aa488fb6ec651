"""Membership in the process of a limiter, configured by the operator's file.

`lapisgrade serve CONFIG --site deploy/peers.toml`, with a file such as:

    [peers]
    listen = "127.0.0.1:7400"      # UDP
    reached_at = ""                # address at which others reach it, if not `listen`
    seeds = ["127.0.0.1:7401"]     # some other limiters, to contact at start

The limiter's counters then include `members alive` and the numbers of peer frames sent, read and refused; its
log has a line for each state change of another limiter.
"""

import contextlib
import tomllib
import zlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from lapisgrade.members.core import MAX_NAME_LENGTH
from lapisgrade.members.host import Host
from lapisgrade.members.messages import MemberState, Update
from lapisgrade.net.service import Service
from lapisgrade.settings import MalformedInputError, parse_address

ALIVE_COUNTER = "members alive"  # limiter counter: members considered alive, including itself
STATE_PHRASES = {
    MemberState.ALIVE: "lives",
    MemberState.SUSPECT: "is suspected",
    MemberState.DEAD: "is dead",
}
KNOWN_KEYS = {"listen", "reached_at", "seeds"}


@dataclass(frozen=True, slots=True)
class PeersSettings:
    """The [peers] table of the operator's file."""

    listen: tuple[str, int]
    reached_at: str
    seeds: tuple[str, ...]


def read_settings(path: str) -> PeersSettings:
    """Read the operator's file.

    Raises:
        MalformedInputError: The file can't be read or is invalid; the message is one line.
    """
    table = _read_table(path)
    unknown = sorted(set(table) - KNOWN_KEYS)
    if unknown:
        raise MalformedInputError(f"{path}: peers.{unknown[0]} is unknown")
    seeds = table.get("seeds", [])
    if not isinstance(seeds, list):
        raise MalformedInputError(f"{path}: peers.seeds is not a list")
    for seed in seeds:
        parse_address(seed, f"{path}: a seed")
    reached_at = table.get("reached_at", "")
    if reached_at:
        parse_address(reached_at, f"{path}: peers.reached_at")
    listen = parse_address(table.get("listen"), f"{path}: peers.listen")
    return PeersSettings(listen, reached_at, tuple(seeds))


def _read_table(path: str) -> dict[str, Any]:
    """Return the [peers] table of the file; its keys and values are not checked."""
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file).get("peers")
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise MalformedInputError(f"{path}: {error}") from None
    if not isinstance(table, dict):
        raise MalformedInputError(f"{path}: there is no table [peers]")
    return table


def member_service(
    settings: PeersSettings, name: str
) -> Callable[[Service], contextlib.AbstractAsyncContextManager[None]]:
    """Return a context manager factory for `serve`, which runs a member alongside the limiter `name`."""

    @contextlib.asynccontextmanager
    async def run_member(service: Service) -> AsyncIterator[None]:
        """Run a member while the limiter runs."""

        def on_change(update: Update) -> None:
            service.log(f"limiter {update.name} {STATE_PHRASES[MemberState(update.state)]}")
            service.companion_counts[ALIVE_COUNTER] = len(host.core.alive()) if host.core is not None else 1

        # A separate generator, seeded from the name, leaves the limiter's own random decisions unaffected.
        host = Host(name[:MAX_NAME_LENGTH], service.log, on_change, zlib.crc32(name.encode()))
        host.udp.counts = service.companion_counts
        try:
            await host.open(*settings.listen, list(settings.seeds), settings.reached_at)
        except OSError as error:
            raise MalformedInputError(f"peers.listen: {error.strerror or error}") from None
        service.companion_counts[ALIVE_COUNTER] = 1
        try:
            yield
        finally:
            host.close()

    return run_member
