"""Relays whose links are cut, slowed, reset or lossy."""

import asyncio

import pytest

from lapisgrade.lab.fleet.relay import FROM_TARGET, TO_TARGET, Link, TcpRelay, UdpRelay


async def start_echo_server():
    """Start a server that returns what it receives; return it and its address."""

    async def serve(reader, writer):
        while chunk := await reader.read(1000):
            writer.write(chunk)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()


async def test_a_tcp_link_can_be_cut_in_each_direction_healed_slowed_and_reset():
    server, target = await start_echo_server()
    relay = await TcpRelay(target, 1).open()
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)

    async def exchange(data: bytes, timeout_s: float = 5.0) -> bytes:
        """Send data, and return as much data from the server."""
        writer.write(data)
        return await asyncio.wait_for(reader.readexactly(len(data)), timeout_s)

    assert await exchange(b"one") == b"one"
    for cut in ({TO_TARGET}, {FROM_TARGET}, {TO_TARGET, FROM_TARGET}):
        relay.link.cut = frozenset(cut)
        relay.apply_link_change()
        with pytest.raises(TimeoutError):
            await exchange(b"two", 0.15)
        relay.link.heal()
        relay.apply_link_change()
        assert await asyncio.wait_for(reader.readexactly(3), 5) == b"two"  # delayed, not lost
    loop = asyncio.get_running_loop()
    relay.link.delay_s, started_s = 0.1, loop.time()
    assert await exchange(b"slow") == b"slow"
    assert loop.time() - started_s >= 0.2  # in both directions
    relay.link = Link(rate=10_000)
    started_s = loop.time()
    assert await exchange(b"x" * 1500) == b"x" * 1500
    assert loop.time() - started_s >= 0.15
    relay.link = Link(reset=True)
    relay.apply_link_change()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await exchange(b"end")

    async def exchange_on_new_connection() -> None:
        new_reader, new_writer = await asyncio.open_connection("127.0.0.1", relay.port)
        new_writer.write(b"x")
        await new_reader.readexactly(1)

    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await exchange_on_new_connection()
    assert relay.counters.resets == 2
    await relay.close()
    server.close()


def test_a_datagram_link_loses_duplicates_and_reorders_datagrams():
    class EchoProtocol(asyncio.DatagramProtocol):
        def __init__(self):
            self.received = []

        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, source):
            self.received.append(int(data))
            self.transport.sendto(data, source)

    async def send_through(link: Link, seed: int):
        """Send 100 numbered datagrams; return the numbers that the target, and then the sender, received."""
        loop = asyncio.get_running_loop()
        transport, target_protocol = await loop.create_datagram_endpoint(
            EchoProtocol, local_addr=("127.0.0.1", 0)
        )
        relay = await UdpRelay(transport.get_extra_info("sockname"), seed, link).open()
        sender, reply_protocol = await loop.create_datagram_endpoint(
            EchoProtocol, remote_addr=("127.0.0.1", relay.port)
        )
        reply_protocol.transport = type("NoReplies", (), {"sendto": staticmethod(lambda *_: None)})
        for number in range(100):
            sender.sendto(b"%d" % number)
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.1)
        sender.close()
        await relay.close()
        transport.close()
        return target_protocol.received, reply_protocol.received

    async def check_links():
        received_by_target, replies = await send_through(Link(), 1)
        assert received_by_target == replies == list(range(100))
        received_by_target, _ = await send_through(Link(loss_rate=0.3, duplicate_rate=0.2), 5)
        assert 40 < len(set(received_by_target)) < 95
        assert len(received_by_target) > len(set(received_by_target))
        received_by_target, _ = await send_through(Link(reorder_rate=0.3), 5)
        assert sorted(received_by_target) != received_by_target
        assert len(received_by_target) >= 99
        received_by_target, replies = await send_through(Link(cut=frozenset({FROM_TARGET})), 5)
        assert received_by_target == list(range(100))
        assert replies == []

    asyncio.run(check_links())
