"""Relays: links that are cut, slowed, reset and lossy."""

import asyncio

import pytest

from lapisgrade.lab.fleet.relay import FROM_TARGET, TO_TARGET, Link, TcpRelay, UdpRelay


async def echo():
    async def serve(reader, writer):
        while chunk := await reader.read(1000):
            writer.write(chunk)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()


async def test_a_tcp_link_is_cut_in_either_direction_healed_slowed_and_reset():
    server, where = await echo()
    relay = await TcpRelay(where, 1).open()
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)

    async def ask(words: bytes, within_s: float = 5.0) -> bytes:
        writer.write(words)
        return await asyncio.wait_for(reader.readexactly(len(words)), within_s)

    assert await ask(b"one") == b"one"
    for cut in ({TO_TARGET}, {FROM_TARGET}, {TO_TARGET, FROM_TARGET}):
        relay.link.cut = frozenset(cut)
        relay.turn()
        with pytest.raises(TimeoutError):
            await ask(b"two", 0.15)
        relay.link.heal()
        relay.turn()
        assert await asyncio.wait_for(reader.readexactly(3), 5) == b"two"  # held back, not lost
    loop = asyncio.get_running_loop()
    relay.link.delay_s, began = 0.1, loop.time()
    assert await ask(b"slow") == b"slow"
    assert loop.time() - began >= 0.2  # there and back
    relay.link = Link(rate=10_000)
    began = loop.time()
    assert await ask(b"x" * 1500) == b"x" * 1500
    assert loop.time() - began >= 0.15
    relay.link = Link(reset=True)
    relay.turn()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await ask(b"end")

    async def ask_anew() -> None:
        other, writes = await asyncio.open_connection("127.0.0.1", relay.port)
        writes.write(b"x")
        await other.readexactly(1)

    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await ask_anew()
    assert relay.passed.resets == 2
    await relay.close()
    server.close()


def test_a_datagram_link_loses_duplicates_and_reorders_by_its_seed():
    class Far(asyncio.DatagramProtocol):
        def __init__(self):
            self.got = []

        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, source):
            self.got.append(int(data))
            self.transport.sendto(data, source)

    async def one(link: Link, seed: int):
        loop = asyncio.get_running_loop()
        transport, far = await loop.create_datagram_endpoint(Far, local_addr=("127.0.0.1", 0))
        relay = await UdpRelay(transport.get_extra_info("sockname"), seed, link).open()
        near, back = await loop.create_datagram_endpoint(Far, remote_addr=("127.0.0.1", relay.port))
        back.transport = type("Mute", (), {"sendto": staticmethod(lambda *_: None)})
        for i in range(100):
            near.sendto(b"%d" % i)
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.1)
        near.close()
        await relay.close()
        transport.close()
        return far.got, back.got

    async def go():
        far, back = await one(Link(), 1)
        assert far == back == list(range(100))
        far, _ = await one(Link(loss_rate=0.3, duplicate_rate=0.2), 5)
        assert 40 < len(set(far)) < 95
        assert len(far) > len(set(far))
        far, _ = await one(Link(reorder_rate=0.3), 5)
        assert sorted(far) != far
        assert len(far) >= 99
        far, back = await one(Link(cut=frozenset({FROM_TARGET})), 5)
        assert far == list(range(100))
        assert back == []

    asyncio.run(go())
