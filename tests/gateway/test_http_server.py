"""The HTTP server of controllers, and its limits on idle connections."""

import asyncio

from support.loopback_network import LoopbackNetwork

from lapisgrade.fakes.site import free_port
from lapisgrade.gateway.controller.server import RESERVED_FILES, max_control_connections
from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.http_server import HttpReply, HttpServer
from lapisgrade.net.http import Message

PORT = 8407
MAX_CONNECTIONS = 4


async def answer(message: Message) -> HttpReply:
    return HttpReply(200)


async def test_idle_connections_beyond_the_limit_do_not_block_callers(
    loopback_network: LoopbackNetwork,
) -> None:
    address = (loopback_network.host(1), PORT)
    server = HttpServer(answer, 1024, MAX_CONNECTIONS)
    await server.listen(address)
    idle = [await asyncio.open_connection(*address) for _ in range(3 * MAX_CONNECTIONS)]
    try:
        response = await send_request(address, "GET", "/")
        assert response.head.status_code == 200
        assert len(server._connections) <= MAX_CONNECTIONS
        async with asyncio.timeout(5.0):
            assert await idle[0][0].read() == b"", "the connection idle for longest was not closed"
    finally:
        server.close()
        for _, writer in idle:
            writer.close()


def test_a_controller_reserves_descriptors_for_its_own_calls_and_files() -> None:
    for descriptors in (300, 475, 750, 1024):
        assert max_control_connections(descriptors) <= descriptors - RESERVED_FILES
    assert max_control_connections(100) > 0


async def test_a_connection_whose_request_is_arriving_is_not_closed_as_the_longest_idle() -> None:
    async def answer(message: Message) -> HttpReply:
        return HttpReply(200)

    address = ("127.0.0.1", free_port())
    server = HttpServer(answer, 1024, 2)
    await server.listen(address)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
    await asyncio.sleep(0.05)
    idle = [await asyncio.open_connection(*address) for _ in range(2)]
    await asyncio.sleep(0.05)
    try:
        writer.write(b"cd")
        async with asyncio.timeout(2.0):
            assert (await reader.read(12)) == b"HTTP/1.1 200"
    finally:
        server.close()
        for _, each in [*idle, (reader, writer)]:
            each.close()
