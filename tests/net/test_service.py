"""Shutdown of a limiter, its command, and configuration reload while operations are in flight."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from random import Random
from types import SimpleNamespace

import pytest
from support.event_loop import on_limiter_loop, wait_until
from support.fake_peers import FakeCounter, FakeDiscovery, read_message
from support.limiter_site import LimiterSite

from lapisgrade.net.close_reason import CloseReason
from lapisgrade.settings import MalformedInputError


@on_limiter_loop
async def test_open_operations_are_answered_at_shutdown():
    async with LimiterSite() as site:
        for each in site.servers:
            each.behavior = 0.6
        idle, busy = await site.connect(), await site.connect()
        in_flight = asyncio.create_task(site.request("non_idempotent", "1", connection=busy))
        await asyncio.sleep(0.05)
        site.service.shut_down()
        await asyncio.sleep(0.1)
        late = asyncio.create_task(site.request("non_idempotent", "2"))  # still accepted, on a new connection
        unused = await site.connect()  # sends no request and does not delay the shutdown

        async def poll_readiness():  # a new connection for each check
            statuses = set()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                    writer.write(site.encode_request(path="/up"))
                    statuses.add((await read_message(reader))[0].split(" ")[1])
            return statuses

        readiness_poll = asyncio.create_task(poll_readiness())
        # A request on an existing connection is also still accepted.
        assert (await site.request("idempotent", "3", connection=idle, timeout="0.1"))[0] == 502
        assert (await in_flight)[0] == 200
        assert (await late)[0] == 200
        assert (await late)[1]["connection"] == "close"
        assert await idle[0].read() == b""
        await asyncio.wait_for(site.service_task, 1)
        assert await readiness_poll == {"503"}
        assert await unused[0].read() == b""
        closed = site.service.metrics.client_connections_closed
        # The other connections close after a response or as idle.
        assert closed[CloseReason.ANSWERED] >= 2
        assert closed[CloseReason.IDLE] >= 2


def test_the_process_reports_configuration_errors_and_logs_its_counters(tmp_path):
    configuration_file = tmp_path / "config.json"

    def start_limiter():
        return subprocess.Popen(
            [sys.executable, "-m", "lapisgrade"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "ROUTER_CONFIG": str(configuration_file)},
        )

    for text, expected_error in [
        ("{", "the configuration: "),
        ('{"name": 3}', "name must be"),
        ("[]", "must be a JSON object"),
    ]:
        configuration_file.write_text(text)
        process = start_limiter()
        _, errors = process.communicate(timeout=20)
        assert process.returncode == 2
        assert expected_error in errors
        assert errors.count("\n") == 1
    # Discovery and the counter are unreachable: no process listens on port 1.
    site = LimiterSite()
    site.discovery = SimpleNamespace(
        port=1, endpoint_list=lambda: {"generation": 1, "reset": True, "instances": []}
    )
    site.counter.port = 1
    site.port = Random(os.getpid()).randrange(20_000, 30_000)
    configuration_file.write_text(json.dumps(site.configuration()))
    process = start_limiter()

    async def request_statuses():
        return (await site.request(path="/up"))[0], (await site.request())[0]

    assert asyncio.run(asyncio.wait_for(request_statuses(), 10)) == (200, 429)  # the server list is empty
    for text in [
        "{",
        json.dumps({**site.configuration(), "counter": "nowhere"}),
        json.dumps(site.configuration()),
    ]:
        configuration_file.write_text(text)
        process.send_signal(signal.SIGHUP)
        assert asyncio.run(asyncio.wait_for(request_statuses(), 10)) == (200, 429)
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=5)
    assert process.returncode == 0
    assert "requests 4" in errors
    assert "responses_429 4" in errors
    assert errors.count("reload failed, keeping the current configuration: ") == 2
    assert "reloads 1" in errors
    assert "received SIGTERM, shutting down" in errors


@on_limiter_loop
async def test_a_reload_switches_discovery_and_counter_while_operations_are_in_flight():
    # The long time-out lets the call in flight finish even on a busy machine.
    async with LimiterSite(counter_timeout_ms=5000.0) as site:
        pool, rows = site.service.host.pool, site.discovery.rows
        discovery, counter = await FakeDiscovery(rows).open(), await FakeCounter().open()
        with pytest.raises(MalformedInputError):
            site.service.reload({**site.configuration(), "counter": 7})
        site.service.reload({**site.configuration(), "discovery": "127.0.0.1:1"})  # not listening yet
        site.discovery.change(s0="terminating")
        await wait_until(lambda: list(pool.addresses) == ["s1"])  # the previous agent is still watched
        site.counter.behavior = site.servers[1].behavior = 0.02
        in_flight = [asyncio.create_task(site.request("non_idempotent", f"early-{i}")) for i in range(4)]
        await wait_until(lambda: site.counter.received)
        site.service.reload(
            {
                **site.configuration(),
                "discovery": f"127.0.0.1:{discovery.port}",
                "counter": f"127.0.0.1:{counter.port}",
            }
        )
        for each in (site.discovery, site.counter):
            each.server.close()  # accepts no new connections; open ones remain
        assert [(await each)[0] for each in in_flight] == [200] * 4
        assert site.service.metrics.counter_calls_finished[CloseReason.ANSWERED] >= 1
        await wait_until(lambda: discovery.calls)
        assert discovery.calls[0][0] == "/discovery/hosts"
        discovery.change(s0="in_service", s1="terminated")
        await wait_until(lambda: list(pool.addresses) == ["s0"])
        calls_before = len(site.counter.received)
        site.discovery.abort_connections()
        site.counter.abort_connections()
        assert (await site.request("non_idempotent", "after", X_Customer="0" * 16))[0] == 200
        assert len(site.counter.received) == calls_before
        assert counter.received
        assert len(site.attempts("after")) == 1
        discovery.close()
        counter.close()
