"""Cut links: they delay what is sent, and deliver it late and in order."""

import asyncio
import os
from pathlib import Path
from unittest import mock

import msgspec
import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.partitions import cuts


class Heard(asyncio.Protocol):
    """One end of a connection; what came, when, and whether it was lost."""

    def __init__(self) -> None:
        self.got, self.lost, self.transport = b"", False, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data

    def connection_lost(self, wrong) -> None:
        self.lost = True


class CutLinks:
    """What the plays rest on: cuts that hold words up, and let them through late and in order."""

    def __init__(self, loopback_network: LoopbackNetwork, tmp_path: Path) -> None:
        self.here, self.there = loopback_network.host(1), loopback_network.host(2)
        self.file = tmp_path / "cuts.json"

    def played(self, steps) -> None:
        self.file.write_text("[]")
        loop = cuts.Loop()
        loop.cuts = self.cuts = cuts.Cuts(self.file, self.here)

        async def run() -> None:
            ends: list[Heard] = []
            server = await loop.create_server(lambda: ends.append(Heard()) or ends[-1], self.there, 0)
            async with asyncio.timeout(10.0):
                await steps(loop, self.there, server.sockets[0].getsockname()[1], ends)
            server.close()

        try:
            loop.run_until_complete(run())
        finally:
            loop.close()

    def cut(self, *pairs: tuple[str, str]) -> None:
        self.file.write_text(msgspec.json.encode(pairs).decode())
        os.utime(self.file, ns=(self.cuts._stamp + 1, self.cuts._stamp + 1))
        self.cuts.read()

    async def until(self, holds) -> None:
        while not holds():
            await asyncio.sleep(0)


@pytest.fixture
def links(loopback_network: LoopbackNetwork, tmp_path: Path) -> CutLinks:
    return CutLinks(loopback_network, tmp_path)


def test_a_cut_delays_both_directions_and_keeps_the_order(links: CutLinks) -> None:
    async def steps(loop, host, port, ends) -> None:
        here, own = await loop.create_connection(Heard, host, port)
        here.write(b"1")
        await links.until(lambda: ends and ends[0].got == b"1")
        links.cut((links.here, links.there), (links.there, links.here))
        here.write(b"2"), here.write(b"3"), ends[0].transport.write(b"a")
        dialling = loop.create_task(loop.create_connection(Heard, host, port))
        await links.until(lambda: links.cuts.ends and next(iter(links.cuts.ends))._come)
        assert (own.got, ends[0].got, dialling.done()) == (b"", b"1", False)
        links.cut()
        await links.until(lambda: own.got == b"a" and ends[0].got == b"123" and dialling.done())
        links.cut((links.there, links.here))  # one way: what we say gets there, what comes back doesn't
        here.write(b"4"), ends[0].transport.write(b"b")
        await links.until(lambda: ends[0].got == b"1234" and any(each._come for each in links.cuts.ends))
        assert own.got == b"a"

    links.played(steps)


def test_a_connection_cut_too_long_is_lost_here_at_once_and_there_at_the_heal(links: CutLinks) -> None:
    async def steps(loop, host, port, ends) -> None:
        here, own = await loop.create_connection(Heard, host, port)
        await links.until(lambda: ends)
        links.cut((links.here, links.there), (links.there, links.here))
        here.write(b"late")
        await links.until(lambda: own.lost)
        assert not ends[0].lost
        links.cut()
        await links.until(lambda: ends[0].lost)
        assert (ends[0].got, own.got) == (b"", b"")

    with mock.patch.object(cuts, "SILENT", 0.02):
        links.played(steps)
