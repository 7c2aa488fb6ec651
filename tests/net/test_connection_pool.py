"""Connections to servers: the close reason of each attempt, and reuse of connections."""

import asyncio
from types import SimpleNamespace

import pytest
from support.event_loop import on_limiter_loop, wait_until
from support.fake_peers import Behavior, FakeServer
from support.limiter_site import LimiterSite

from lapisgrade.interface import AddToCounter, AttemptOutcome, ConnectionSettings
from lapisgrade.net.clock import wall_clock
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.counter_client import CounterClient
from lapisgrade.net.events import AttemptClosed, ClientRequest
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.server_protocol import parse_load_report

SECOND = 1_000_000


class FakeAttempt:
    """The parts of an attempt that the pool uses."""

    def __init__(self, now, body=b"x", server="s", timeout_s=0.5):
        request = ClientRequest(object(), b"POST", b"/api", b"h", b"1", None, [body])
        self.operation = SimpleNamespace(handle=request, deadline_us=now() + int(timeout_s * SECOND))
        self.server, self.sent_us = SimpleNamespace(address=server), now()


def new_pool(port, connect_timeout_s=1.0, idle_timeout_s=30.0):
    """Return a pool with the server `s` at `port`, the queue of its events, and its clock."""
    finished, now = asyncio.Queue(), wall_clock()
    settings = ConnectionSettings(int(connect_timeout_s * SECOND), int(idle_timeout_s * SECOND))
    pool = ConnectionPool(finished.put_nowait, now, lambda text: None, NetMetrics(), settings, 4)
    pool.update_addresses({"s": ("127.0.0.1", port)})
    return pool, finished, now


@on_limiter_loop
async def test_each_close_reason_of_an_attempt_is_reported():
    server = await FakeServer().open()
    pool, finished, now = new_pool(server.port)
    for behavior, reason, outcome in [
        (Behavior.NORMAL, CloseReason.ANSWERED, AttemptOutcome.OK),
        (Behavior.ERROR, CloseReason.ERROR_RESPONSE, AttemptOutcome.ERROR),
        (Behavior.OVERLOADED, CloseReason.REJECTED, AttemptOutcome.OVERLOADED),
        (Behavior.BAD_REQUEST, CloseReason.CLIENT_ERROR, AttemptOutcome.INVALID_REQUEST),
        (Behavior.UNAVAILABLE, CloseReason.ERROR_RESPONSE, AttemptOutcome.ERROR),
        (Behavior.MALFORMED, CloseReason.MALFORMED, AttemptOutcome.ERROR),
        (Behavior.TRUNCATED, CloseReason.CONNECTION_LOST, AttemptOutcome.CONNECTION_LOST),
        (Behavior.CLOSE, CloseReason.CONNECTION_LOST, AttemptOutcome.CONNECTION_LOST),
        (Behavior.SILENT, CloseReason.TIMED_OUT, AttemptOutcome.TIMED_OUT),
    ]:
        server.behavior = behavior
        pool.send(FakeAttempt(now))
        event: AttemptClosed = await finished.get()
        assert (event.reason, event.reason.outcome) == (reason, outcome), behavior
        assert not outcome.never_ran or behavior == Behavior.OVERLOADED
    server.behavior = Behavior.LOAD_REPORT
    pool.send(FakeAttempt(now))
    assert parse_load_report((await finished.get()).message) == {"inflight": 7.0, "util": 0.5}
    server.behavior = Behavior.SILENT
    attempt = FakeAttempt(now)
    pool.send(attempt)
    await asyncio.sleep(0.05)
    pool.cancel(attempt)
    assert (await finished.get()).reason is CloseReason.CANCELLED
    server.close()
    pool.send(FakeAttempt(now))
    assert (await finished.get()).reason.outcome is AttemptOutcome.CONNECT_FAILED
    pool.send(FakeAttempt(now, server="unknown"))
    assert (await finished.get()).reason.outcome is AttemptOutcome.NOT_SENT


@on_limiter_loop
async def test_an_attempt_whose_connection_is_never_established_has_not_run():
    async def never_connect():
        await asyncio.sleep(30)

    pool, finished, now = new_pool(1, connect_timeout_s=0.1)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("lapisgrade.net.upstream_connection.connect", lambda *_: never_connect())
        pool.send(FakeAttempt(now))
        assert (await finished.get()).reason is CloseReason.CONNECT_TIMEOUT
        attempt = FakeAttempt(now)
        pool.send(attempt)
        pool.cancel(attempt)
        assert (await finished.get()).reason is CloseReason.NOT_SENT


@on_limiter_loop
async def test_nothing_is_sent_for_answered_operations_or_to_removed_servers():
    server = await FakeServer().open()
    pool, finished, now = new_pool(server.port)
    answered, to_removed_server = FakeAttempt(now), FakeAttempt(now)
    pool.send(answered)
    answered.operation.handle.client = None
    assert (await finished.get()).reason is CloseReason.NOT_SENT
    pool.send(to_removed_server)
    pool.update_addresses({"s": None})
    assert (await finished.get()).reason is CloseReason.NOT_SENT
    assert not server.received
    server.close()


@on_limiter_loop
async def test_idle_connections_are_closed_before_the_server_closes_them():
    """An attempt written to a connection that the server has closed may have run, so it can't be retried."""
    server = await FakeServer().open()
    pool, finished, now = new_pool(server.port, idle_timeout_s=1.6)
    # The pool closes a connection 1 s, the connect time-out, before the idle time-out of 1.6 s.
    for wait_s, connection_count in [(0.0, 1), (0.0, 1), (0.65, 2)]:
        await asyncio.sleep(wait_s)
        pool.send(FakeAttempt(now))
        assert (await finished.get()).reason is CloseReason.ANSWERED
        assert pool.metrics.upstream_connections_opened == connection_count
    await wait_until(server.writers[0].is_closing)  # closed by the pool, without another attempt
    server.abort_connections()
    await asyncio.sleep(0)  # the connection is closed, but its end is not yet read
    pool.send(FakeAttempt(now))
    assert (await finished.get()).reason is CloseReason.ANSWERED
    assert pool.metrics.upstream_connections_opened == 3
    server.close()


@on_limiter_loop
async def test_an_unsolicited_second_response_is_not_used_for_the_next_attempt():
    """The second response is received by asyncio, but not yet read, when the next attempt is sent."""
    server = await FakeServer().open()
    pool, finished, now = new_pool(server.port)
    pool.send(FakeAttempt(now))
    assert (await finished.get()).reason is CloseReason.ANSWERED
    server.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfor ")
    connection = pool._idle["s"][0]
    for _ in range(1000):
        if connection.has_unread_data() or not pool._idle["s"]:
            break
        await asyncio.sleep(0)
    pool.send(FakeAttempt(now, body=b"two"))
    event = await finished.get()
    assert event.reason is CloseReason.ANSWERED
    assert b"".join(event.message.body) == b"for two"
    assert pool.metrics.upstream_connections_opened == 2
    server.close()


@on_limiter_loop
async def test_a_reassigned_address_belongs_to_the_new_server_alone():
    server = await FakeServer().open()
    pool, finished, now = new_pool(server.port)
    pool.send(FakeAttempt(now))
    assert (await finished.get()).reason is CloseReason.ANSWERED
    pool.update_addresses({"new": ("127.0.0.1", server.port)})  # before the old one is removed
    pool.send(FakeAttempt(now))
    assert (await finished.get()).reason is CloseReason.NOT_SENT
    pool.send(FakeAttempt(now, server="new"))
    assert (await finished.get()).reason is CloseReason.ANSWERED
    assert pool.metrics.upstream_connections_opened == 2
    assert list(pool.addresses) == list(pool.last_received_us) == list(pool._idle) == ["new"]
    server.close()


@on_limiter_loop
async def test_an_unresponsive_server_must_accept_a_new_connection_first():
    server = await FakeServer(0.1).open()
    pool, finished, now = new_pool(server.port, connect_timeout_s=0.15)
    for _ in range(2):
        pool.send(FakeAttempt(now))
    assert {(await finished.get()).reason for _ in range(2)} == {CloseReason.ANSWERED}
    server.behavior = Behavior.SILENT
    pool.send(FakeAttempt(now, timeout_s=0.2))
    assert (await finished.get()).reason is CloseReason.TIMED_OUT
    server.behavior = Behavior.NORMAL
    pool.send(FakeAttempt(now))
    assert (await finished.get()).reason is CloseReason.ANSWERED
    assert pool.metrics.upstream_connections_opened == 3
    server.close()


@on_limiter_loop
async def test_a_response_received_while_the_process_was_suspended_is_not_timed_out():
    async with LimiterSite() as site:
        replies, finished = asyncio.Queue(), asyncio.Queue()
        address = ("127.0.0.1", site.counter.port)
        client = CounterClient(replies.put_nowait, lambda text: None, NetMetrics(), address, 100_000, 100_000)
        pool, finished, now = new_pool(site.servers[0].port)
        for _ in range(2):  # the first ones open the connections
            client.add(SimpleNamespace(), AddToCounter(7, 1.0, 45_000_000))
            pool.send(FakeAttempt(now, timeout_s=0.2))
            assert (await replies.get()).reason is CloseReason.ANSWERED
            assert (await finished.get()).reason is CloseReason.ANSWERED
        # Each peer replies, then the process is blocked for longer than the time-outs.
        site.counter.block_once_s = site.servers[0].block_once_s = 0.4
        client.add(SimpleNamespace(), AddToCounter(7, 1.0, 45_000_000))
        assert (await replies.get()).reason is CloseReason.ANSWERED
        pool.send(FakeAttempt(now, timeout_s=0.2))
        assert (await finished.get()).reason is CloseReason.ANSWERED


@on_limiter_loop
async def test_a_partially_written_request_has_not_run():
    """The server stops reading and then crashes, so the last byte of the request is never sent."""

    async def stop_reading_and_abort(reader, writer):
        reader._transport.pause_reading()
        await asyncio.sleep(0.2)
        writer.transport.abort()

    server = await asyncio.start_server(stop_reading_and_abort, "127.0.0.1", 0, limit=1024)
    pool, finished, now = new_pool(server.sockets[0].getsockname()[1])
    # The server aborts long before the deadline.
    pool.send(FakeAttempt(now, body=bytes(30_000_000), timeout_s=5.0))
    event = await finished.get()
    assert event.reason is CloseReason.INCOMPLETE_WRITE
    assert event.reason.outcome.never_ran
    server.close()


@on_limiter_loop
async def test_the_pool_keeps_to_its_connection_limit():
    servers = [await FakeServer(0.1).open() for _ in range(5)]
    pool, finished, now = new_pool(1)  # at most four connections
    pool.update_addresses({f"s{i}": ("127.0.0.1", each.port) for i, each in enumerate(servers)})
    for i in range(5):
        pool.send(FakeAttempt(now, server=f"s{i}"))
    reasons = [(await finished.get()).reason for _ in range(5)]
    assert reasons.count(CloseReason.NOT_SENT) == 1
    assert reasons.count(CloseReason.ANSWERED) == 4
    pool.send(FakeAttempt(now, server="s4"))  # the longest idle connection is closed for it
    assert (await finished.get()).reason is CloseReason.ANSWERED
    for each in servers:
        each.close()


@on_limiter_loop
async def test_an_operation_that_may_have_run_is_not_retried():
    async with LimiterSite() as site:
        for each in site.servers:
            each.behavior = Behavior.CLOSE
        assert (await site.request("non_idempotent", "9"))[0] == 502
        assert len(site.attempts("9")) == 1
