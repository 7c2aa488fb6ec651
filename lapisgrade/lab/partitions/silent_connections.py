"""Clients that connect and send nothing, so that a proxy has many descriptors in use."""

import asyncio
import contextlib

from lapisgrade.gateway.local_cluster import HTTP_PORT
from lapisgrade.lab.partitions.fleet import Fleet

CHECK_INTERVAL_S = 0.3  # between two rounds in which closed connections are opened again
CONNECT_TIMEOUT_S = 1.0
MAX_OPENED_PER_ROUND = 200  # below the proxy's backlog


async def keep_silent_connections(fleet: Fleet, name: str, count: int) -> None:
    """Keep `count` connections to a machine's proxy open until cancelled; closed ones are opened again."""
    connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    try:
        while True:
            connections = [each for each in connections if not each[0].at_eof()]
            missing = min(count - len(connections), MAX_OPENED_PER_ROUND)
            opened = await asyncio.gather(*(_connect(fleet.ip[name]) for _ in range(missing)))
            connections += [each for each in opened if each is not None]
            await asyncio.sleep(CHECK_INTERVAL_S)
    finally:
        for _, writer in connections:
            writer.transport.abort()


async def _connect(ip: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Return a new connection; None if the proxy doesn't accept it."""
    with contextlib.suppress(OSError):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(ip, HTTP_PORT)
    return None
