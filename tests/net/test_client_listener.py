"""Client connections: forwarding, rejection of invalid requests, eviction and time-outs."""

import asyncio
import contextlib
import socket

import pytest
from support.event_loop import on_limiter_loop, wait_until
from support.fake_peers import Behavior, read_message
from support.limiter_site import LimiterSite

from lapisgrade.net import client_listener
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.request_limits import RequestLimits


@on_limiter_loop
async def test_requests_and_responses_are_forwarded_unchanged():
    async with LimiterSite(servers=1) as site:
        connection = await site.connect()
        body = bytes(range(256)) * 200
        for number, behavior in enumerate(
            [Behavior.NORMAL, Behavior.CHUNKED, Behavior.EARLY_HINTS, Behavior.UNTIL_CLOSE, Behavior.NORMAL]
        ):
            site.servers[0].behavior = behavior
            status, _, response_body = await site.request(
                "deduplicated", str(number), body, connection=connection, path="/api/a?b=c%20d"
            )
            assert (status, response_body) == (200, b"for " + body), behavior
            request_line, headers, received_body, *_ = site.servers[0].received[-1]
            assert request_line == "POST /api/a?b=c%20d HTTP/1.1"
            assert received_body == body
            assert headers["x-request-id"] == str(number)
            assert headers["idempotency-key"] == f"k{number}"
            assert 0.5 < float(headers["x-timeout"]) <= 0.8
        assert len(site.servers[0].writers) == 2  # UNTIL_CLOSE closed one; the others were reused


@on_limiter_loop
async def test_a_request_may_arrive_in_fragments_and_chunked():
    async with LimiterSite() as site:
        reader, writer = await site.connect()
        for byte in site.encode_request("non_idempotent", "7", b"abc"):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert (await read_message(reader))[2] == b"for abc"
        framing = {"Content_Length": None, "Transfer_Encoding": "chunked", "Expect": "100-continue"}
        writer.write(site.encode_request("non_idempotent", "8", **framing))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        assert (await read_message(reader))[2] == b"for abc"


@on_limiter_loop
async def test_a_pipelined_request_waits_for_the_one_before_it():
    async with LimiterSite() as site:
        reader, writer = await site.connect()
        writer.write(
            site.encode_request("non_idempotent", "1", b"one")
            + site.encode_request("non_idempotent", "2", b"two")
        )
        assert [(await read_message(reader))[2] for _ in range(2)] == [b"for one", b"for two"]


@on_limiter_loop
async def test_invalid_requests_get_400_and_no_traceback(capfd):
    async with LimiterSite() as site:
        for invalid_fields in [
            {"X_Plan": "other"},
            {"X_Plan": None},
            {"X_Customer": "zz"},
            {"X_Timeout": "soon"},
            {"X_Timeout": "-1"},
            {"X_Timeout": "1e400"},
            {"X_Quota": "units=0"},
            {"X_Quota": "units=x"},
            {"X_Quota": "spread=1e9"},
            {"X_Quota": "units=7,spread=1,first=0"},
            {"X_Timeout": "1e300"},
            {"X_Quota": "units=1,spread=2,first=0"},
            {"X_Quota": "units=1,spread=1,first=1"},
            {"X_Quota": "units=1,spread=0,first=0"},
            {"X_Customer": "00000002b4d65521"},
            {"request_class": "idempotent", "body": b"x"},
            {"X_Quota": "units=nan,spread=1,first=0"},
            {"X_Request_ID": "a b"},
            {"X_Priority_Class": "idempotent"},
            {"X_Priority_Class": "none"},
            {"X_Request_ID": None},
            {"X_Customer": "\xff" * 8},
            {"Content_Length": "many"},
            {"Host": None},
            {"bad header": "1"},
            {"request_class": "deduplicated", "Idempotency_Key": None},
        ]:
            status, headers, _ = await site.request(**{"request_class": "non_idempotent", **invalid_fields})
            assert status == 400, invalid_fields
            assert headers["connection"] == "close", invalid_fields
        assert (await site.request("non_idempotent", body=bytes(70_000)))[0] == 413
        assert (await site.request(timeout="900000.0"))[0] == 200  # capped at the category's time-out
        # Request smuggling: a second request hidden in what some servers take for the body of the first.
        hidden = site.encode_request("non_idempotent", "hidden", b"x")
        for invalid_framing in [
            {"Transfer_Encoding": "chunked", "Content_Length": str(len(hidden) + 5)},
            {"Content_Length": "60000000"},
            {"Content_Length": "-5"},
        ]:
            reader, writer = await site.connect()
            writer.write(
                site.encode_request("non_idempotent", "outer", **invalid_framing) + b"0\r\n\r\n" + hidden
            )
            assert (await reader.readuntil(b"\r\n"))[9:12] in (b"400", b"413"), invalid_framing
            await reader.read()
        assert not site.attempts("outer")
        assert not site.attempts("hidden")
        reader, writer = await site.connect()
        writer.write(b"\x16\x03\x01\x02\r\n\r\n")
        assert (await read_message(reader))[0].startswith("HTTP/1.1 400")
        assert len(site.attempts("1")) == 1
        assert not site.service.metrics.handler_failures
    assert "Traceback" not in capfd.readouterr().err


@on_limiter_loop
async def test_rejections_carry_retry_after():
    async with LimiterSite() as site:
        responses = [await site.request(request_id=str(i), X_Plan="none") for i in range(3)]
        status, headers, _ = responses[-1]
        assert status == 429
        assert 0 < float(headers["retry-after"]) <= 0.5
        assert not site.attempts("2")


@on_limiter_loop
async def test_a_disconnected_client_cancels_its_attempts():
    async with LimiterSite(servers=1) as site:
        site.servers[0].behavior = Behavior.SILENT
        _, writer = await site.connect()
        writer.write(site.encode_request("non_idempotent", "5"))
        await wait_until(lambda: site.attempts("5"))
        writer.close()
        await wait_until(lambda: site.service.metrics.requests_abandoned == 1)
        await wait_until(lambda: site.service.metrics.attempts_finished[CloseReason.CANCELLED] == 1)
        assert not site.service.host.unanswered


@on_limiter_loop
async def test_idle_client_connections_are_evicted_and_busy_ones_kept():
    async with LimiterSite(sockets=16) as site:
        kept = [await site.connect() for _ in range(8)]
        await site.request(path="/up", connection=kept[0])  # the most recently used one is evicted last
        await asyncio.sleep(client_listener.EVICTION_GRACE_S)
        newer = [await site.connect() for _ in range(4)]
        assert [await reader.read(1) for reader, _ in kept[1:5]] == [b""] * 4
        remaining = [kept[0], *kept[5:], *newer]
        for each in site.servers:
            each.behavior = 0.3
        site.service.host.policy.server_pool.concurrency.value = 99.0
        site.service.host.pool.max_connections = 8
        for i, (_, writer) in enumerate(remaining):
            writer.write(site.encode_request("non_idempotent", f"{i}"))
        await wait_until(lambda: len(site.service.host.unanswered) == 8)
        assert (await site.request("non_idempotent", "over"))[0] == 503
        assert not site.attempts("over")
        for reader, _ in remaining:
            assert (await read_message(reader))[0].startswith("HTTP/1.1 200")


@on_limiter_loop
async def test_connections_without_a_complete_request_time_out_and_active_ones_stay_open():
    async with LimiterSite() as site:
        with pytest.MonkeyPatch.context() as patch:
            limits = RequestLimits(request_timeout_s=0.4, idle_timeout_s=1.0)
            patch.setattr(client_listener.ClientListener, "limits", limits)
            unused, incomplete, slow, reused = [await site.connect() for _ in range(4)]
            incomplete[1].write(site.encode_request()[:40])
            for each in site.servers:
                each.behavior = 0.5
            in_flight = asyncio.create_task(site.request("non_idempotent", "1", connection=slow))
            assert (await site.request(path="/up", connection=reused))[0] == 200
            assert await unused[0].read() == b""
            assert (await read_message(incomplete[0]))[0].startswith("HTTP/1.1 408")
            assert (await in_flight)[0] == 200  # no time-out applies while a request is in flight
            assert (await site.request(path="/up", connection=reused))[0] == 200
            assert await reused[0].read() == b""
            assert not site.service.listener.clients


@on_limiter_loop
async def test_idle_connections_leave_capacity_for_active_ones():
    """Guards against a fault of an incident: clients that stayed after one request used all connections."""
    async with LimiterSite(sockets=64) as site:  # 32 connections for clients, of which 8 may be idle
        kept = [await site.connect() for _ in range(24)]
        for connection in kept:
            assert (await site.request(path="/up", connection=connection))[0] == 200
        await asyncio.sleep(client_listener.EVICTION_GRACE_S + 2 * client_listener.CHECK_INTERVAL_S + 0.1)
        assert len(site.service.listener.idle) == 8
        assert [await reader.read(1) for reader, _ in kept[:16]] == [b""] * 16
        assert [(await site.request(path="/up", connection=connection))[0] for connection in kept[16:]] == [
            200
        ] * 8


@on_limiter_loop
async def test_a_request_id_in_flight_is_not_sent_twice():
    async with LimiterSite() as site:
        for each in site.servers:
            each.behavior = 0.2
        first = asyncio.create_task(site.request("non_idempotent", "same"))
        await wait_until(lambda: site.attempts("same"))
        assert (await site.request("non_idempotent", "same"))[0] == 409
        assert (await first)[0] == 200
        assert len(site.attempts("same")) == 1
        assert (await site.request("non_idempotent", "same"))[0] == 200


@on_limiter_loop
async def test_a_bad_request_is_not_retried_and_does_not_count_against_the_server():
    async with LimiterSite() as site:
        for each in site.servers:
            each.behavior = Behavior.BAD_REQUEST
        assert [
            (await site.request(kind, kind))[0] for kind in ("idempotent", "deduplicated", "non_idempotent")
        ] == [400] * 3
        assert [len(site.attempts(kind)) for kind in ("idempotent", "deduplicated", "non_idempotent")] == [
            1
        ] * 3
        server_pool = site.service.host.policy.server_pool
        assert not server_pool.concurrency.in_flight
        assert all(each.health(0, 1.0) == 1.0 for each in server_pool.servers.values())


@on_limiter_loop
async def test_pipelined_requests_are_answered_and_a_client_that_does_not_read_is_aborted():
    async with LimiterSite() as site:
        reader, writer = await site.connect()
        writer.write(site.encode_request(path="/up") * 400)
        for _ in range(400):
            assert (await read_message(reader))[0].startswith("HTTP/1.1 200")
        closed = site.service.metrics.client_connections_closed
        with socket.socket() as non_reading:
            non_reading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            non_reading.connect(("127.0.0.1", site.port))
            non_reading.setblocking(False)
            with contextlib.suppress(ConnectionError):
                for i in range(200):
                    request = site.encode_request("non_idempotent", f"{i}", bytes(60_000))
                    await asyncio.get_running_loop().sock_sendall(non_reading, request)
                    await wait_until(lambda i=i: site.attempts(f"{i}") or closed[CloseReason.TIMED_OUT])
                    await wait_until(lambda: not site.service.host.unanswered)
        assert closed[CloseReason.TIMED_OUT] == 1
        assert not site.attempts("199")


@on_limiter_loop
async def test_changed_time_outs_apply_to_what_is_in_progress_only_if_they_are_longer():
    short = RequestLimits(request_timeout_s=0.4, idle_timeout_s=0.4)
    long = RequestLimits(request_timeout_s=1.6, idle_timeout_s=1.6)
    for first, second in ((short, long), (long, short)):
        async with LimiterSite() as site:
            listener = site.service.listener
            listener.limits = first
            receiving, idle, unused = [await site.connect() for _ in range(3)]
            assert (await site.request(path="/up", connection=receiving))[0] == 200
            receiving[1].write(site.encode_request(path="/up")[:20])
            assert (await site.request(path="/up", connection=idle))[0] == 200
            await asyncio.sleep(0.1)
            listener.limits = second
            await asyncio.sleep(0.9)
            assert len(listener.clients) == 3
            receiving[1].write(site.encode_request(path="/up")[20:])
            assert (await read_message(receiving[0]))[0].startswith("HTTP/1.1 200")
            for each in (idle, unused):
                assert (await site.request(path="/up", connection=each))[0] == 200
