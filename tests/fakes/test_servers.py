"""The fake servers: capacity, queue, drain, kill and slow start."""

import asyncio

import pytest

from lapisgrade.fakes import servers


async def send_request(port, request_id="1", path="/api"):
    """Send a GET on a connection of its own; return the status and head of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        f"GET {path} HTTP/1.1\r\nHost: s\r\n"
        + (f"X-Request-ID: {request_id}\r\n" if request_id else "")
        + "\r\n"
    )
    writer.write(head.encode())
    head = await reader.readuntil(b"\r\n\r\n")
    writer.transport.abort()
    return int(head.split(b" ")[1]), head


async def test_a_full_or_draining_server_rejects_as_not_processed():
    behavior = servers.ServerBehavior(capacity=2, queue=1, median_s=0.3, sigma=0.0)
    server = await servers.Server("s0", behavior, 7).open()
    responses = await asyncio.gather(*(send_request(server.port, str(i)) for i in range(5)))
    statuses = sorted(status for status, _ in responses)
    assert statuses == [200, 200, 200, 503, 503]
    assert all(b"X-Not-Processed: 1" in head for status, head in responses if status == 503)
    assert server.counts.max_in_flight == 2
    assert (await send_request(server.port, request_id=None))[0] == 404
    server.drain()
    assert (await send_request(server.port, "9"))[0] == 503
    assert len(server.counts.requests_after_drain_s) == 1
    await server.kill()
    with pytest.raises(ConnectionError):
        await send_request(server.port, "10")


def test_in_slow_start_the_capacity_of_a_server_grows_linearly():
    server = servers.Server("s0", servers.ServerBehavior(capacity=10, cold_from=0.3, warm_s=10.0), 1)
    assert [server.capacity_at(server.started_s + age_s) for age_s in (0, 5, 10, 60)] == [3, 6, 10, 10]
