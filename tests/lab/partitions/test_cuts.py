"""Cut links hold data back until they are restored, and then deliver it in order.

The fault scenarios with processes rely on this.
"""

import asyncio
import os
from pathlib import Path
from unittest import mock

import msgspec
import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.partitions import cuts


class RecordingProtocol(asyncio.Protocol):
    """One end of a connection; records what it received and whether the connection was lost."""

    def __init__(self) -> None:
        self.received, self.is_lost, self.transport = b"", False, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, error) -> None:
        self.is_lost = True


class CutLinks:
    """Two addresses, `here` and `there`, a file of cuts between them, and an event loop that obeys it."""

    def __init__(self, loopback_network: LoopbackNetwork, tmp_path: Path) -> None:
        self.here, self.there = loopback_network.host(1), loopback_network.host(2)
        self.file = tmp_path / "cuts.json"

    def run(self, steps) -> None:
        """Run the coroutine function `steps` with a server at `there` and a client at `here`."""
        self.file.write_text("[]")
        loop = cuts.CuttableEventLoop()
        loop.cuts = self.cuts = cuts.LinkCuts(self.file, self.here)

        async def run_steps() -> None:
            accepted: list[RecordingProtocol] = []
            server = await loop.create_server(
                lambda: accepted.append(RecordingProtocol()) or accepted[-1], self.there, 0
            )
            async with asyncio.timeout(10.0):
                await steps(loop, self.there, server.sockets[0].getsockname()[1], accepted)
            server.close()

        try:
            loop.run_until_complete(run_steps())
        finally:
            loop.close()

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cut these links, one direction each, and restore all others."""
        self.file.write_text(msgspec.json.encode(pairs).decode())
        # A distinct time of modification even if the file system's clock has not advanced since the last cut.
        os.utime(self.file, ns=(self.cuts._mtime_ns + 1, self.cuts._mtime_ns + 1))
        self.cuts.reload()

    async def wait_until(self, condition) -> None:
        """Run the event loop until `condition()` is true."""
        while not condition():
            await asyncio.sleep(0)


@pytest.fixture
def links(loopback_network: LoopbackNetwork, tmp_path: Path) -> CutLinks:
    return CutLinks(loopback_network, tmp_path)


def test_a_cut_delays_both_directions_and_keeps_the_order(links: CutLinks) -> None:
    async def steps(loop, host, port, accepted) -> None:
        transport, client = await loop.create_connection(RecordingProtocol, host, port)
        transport.write(b"1")
        await links.wait_until(lambda: accepted and accepted[0].received == b"1")
        links.cut((links.here, links.there), (links.there, links.here))
        transport.write(b"2"), transport.write(b"3"), accepted[0].transport.write(b"a")
        dialling = loop.create_task(loop.create_connection(RecordingProtocol, host, port))
        await links.wait_until(
            lambda: links.cuts.connections and next(iter(links.cuts.connections))._held_inbound
        )
        assert (client.received, accepted[0].received, dialling.done()) == (b"", b"1", False)
        links.cut()
        await links.wait_until(
            lambda: client.received == b"a" and accepted[0].received == b"123" and dialling.done()
        )
        links.cut((links.there, links.here))  # one direction: only data from the server is held back
        transport.write(b"4"), accepted[0].transport.write(b"b")
        await links.wait_until(
            lambda: (
                accepted[0].received == b"1234" and any(each._held_inbound for each in links.cuts.connections)
            )
        )
        assert client.received == b"a"

    links.run(steps)


def test_a_send_timeout_closes_the_local_end_at_once_and_the_remote_end_after_the_heal(
    links: CutLinks,
) -> None:
    async def steps(loop, host, port, accepted) -> None:
        transport, client = await loop.create_connection(RecordingProtocol, host, port)
        await links.wait_until(lambda: accepted)
        links.cut((links.here, links.there), (links.there, links.here))
        transport.write(b"late")
        await links.wait_until(lambda: client.is_lost)
        assert not accepted[0].is_lost
        links.cut()
        await links.wait_until(lambda: accepted[0].is_lost)
        assert (accepted[0].received, client.received) == (b"", b"")

    with mock.patch.object(cuts, "SEND_TIMEOUT_S", 0.02):
        links.run(steps)
