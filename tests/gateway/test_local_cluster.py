"""End-to-end behavior of a small gateway on loopback for its clients, servers and operator."""

import asyncio
import contextlib
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from random import Random
from unittest import mock

import msgspec
from support.local_clusters import local_cluster, serving_cluster

from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.local_cluster import SAMPLE, LocalCluster, Partition, post_to_any, send_request
from lapisgrade.net.http import Message

KEY = "key-of-sfax"  # the API key of the sample's tenant
READINESS_PORT = 8406


def status(message: Message) -> int:
    return message.head.status_code


@contextlib.asynccontextmanager
async def cluster_with_servers(
    servers: int = 2, conf: dict = SAMPLE, **server_options
) -> AsyncIterator[LocalCluster]:
    """Run a cluster with that number of servers and configuration, both known to every proxy."""
    async with local_cluster() as site:
        for _ in range(servers):
            await site.start_server("garantie", **server_options)
        async with asyncio.timeout(20.0):  # on a busy machine there may be no leader yet
            while await site.put(conf) != 200:
                await asyncio.sleep(0.02)
        await site.until(
            lambda: all(
                proxy.ready and sum(server.state == "up" for server in proxy.servers.values()) == servers
                for proxy in site.proxies.values()
            )
        )
        yield site


async def test_a_request_reaches_a_server_unchanged_with_its_tenant_and_without_its_key():
    async with cluster_with_servers() as site:
        response = await site.get("m1", "/stock/7?x=1", KEY, id="one", Tenant="forged")
        assert (status(response), b"".join(response.body)) == (200, b"garantie /stock/7?x=1")
        fields = response.headers()
        assert (fields[b"try-id"], fields[b"server-seal"]) == (b"one", b"seal")
        ran = [server for server in site.servers.values() if server.run_counts]
        assert (ran[0].run_counts, ran[0].tenants) == ({"one": 1}, {"sfax": 1})


async def test_unauthorized_and_unrouted_requests_are_rejected():
    async with cluster_with_servers() as site:
        transcript = [
            status(await site.get("m1", "/stock/1", "no such key")),
            status(await site.get("m2", "/stock/1")),
            status(await site.get("m3", "/nowhere/", KEY)),
            status(await site.get("m1", "/stock/1", KEY, host="b.example")),
            status(await send_request((site.ip["m1"], READINESS_PORT), "GET", "/-/readyz")),
        ]
        assert transcript == [401, 401, 404, 404, 200]
        assert sum(server.run_counts.total() for server in site.servers.values()) == 0


async def test_a_response_to_another_request_is_ignored():
    async with cluster_with_servers(1) as site:
        site.servers["i-1"].fault = "mixed"
        response = await site.get("m1", "/claim/1", KEY, method="POST", id="mine")
        assert (status(response), response.headers()[b"try-id"]) == (200, b"mine")
        assert b"".join(response.body) == b"garantie /claim/1"


async def test_a_truncated_response_to_a_non_idempotent_request_is_neither_forwarded_nor_retried():
    async with cluster_with_servers(2) as site:
        for server in site.servers.values():
            server.fault = "cut"
        assert status(await site.get("m1", "/claim/1", KEY, method="POST", id="once")) == 502
        assert sum(server.run_counts["once"] for server in site.servers.values()) == 1


async def test_a_reset_of_a_non_idempotent_request_is_neither_retryable_nor_retried():
    async with cluster_with_servers(2) as site:
        for server in site.servers.values():
            server.fault = "full"
        response = await site.get("m1", "/claim/1", KEY, method="POST", id="once")
        assert (status(response), response.headers().get(b"retry-after")) == (502, None)
        assert sum(server.rejected_counts["once"] for server in site.servers.values()) == 1
        # An idempotent request may be retried: the retry budget allows a retry at the other server.
        await site.get("m1", "/stock/1", KEY, id="again")
        assert sum(server.rejected_counts["again"] for server in site.servers.values()) >= 1


async def test_a_response_without_the_seal_is_answered_502():
    async with cluster_with_servers(1) as site:
        site.servers["i-1"].fault = "unsealed"
        assert status(await site.get("m1", "/stock/1", KEY)) == 502


async def test_a_server_error_is_forwarded_with_its_status_and_seal():
    async with cluster_with_servers(2) as site:
        for server in site.servers.values():
            server.fault = "failing"
        for path, method, tries in (("/stock/1", "GET", 2), ("/claim/1", "POST", 1)):
            response = await site.get("m1", path, KEY, method=method, id=path)
            assert (status(response), response.headers().get(b"server-seal")) == (500, b"seal")
            assert b"".join(response.body) == b"garantie " + path.encode()
            assert sum(server.run_counts[path] for server in site.servers.values()) in range(1, tries + 1)


async def test_a_server_error_is_retried_elsewhere_within_the_retry_budget():
    async with cluster_with_servers(2) as site:
        for _ in range(20):  # fills the retry budget
            await site.get("m1", "/stock/1", KEY)
        # The preferred server, which has run more requests, fails from now on.
        good, failing = sorted(site.servers.values(), key=lambda server: server.run_counts.total())
        failing.fault = "failing"
        answers = {}
        for number in range(40):
            response = await site.get("m1", "/stock/2", KEY, id=f"again-{number}")
            answers[f"again-{number}"] = status(response), response.headers().get(b"server-seal")
        assert set(answers.values()) <= {(200, b"seal"), (500, b"seal")}
        at_both = [name for name in answers if good.run_counts[name] and failing.run_counts[name]]
        assert len(at_both) > 0
        assert {answers[name][0] for name in at_both} == {200}


async def test_bytes_after_a_complete_response_are_dropped():
    async with cluster_with_servers(1) as site:
        site.servers["i-1"].fault = "extra"
        for number in range(4):
            response = await site.get("m1", f"/stock/{number}", KEY)
            assert b"".join(response.body) == f"garantie /stock/{number}".encode()


async def test_a_removed_key_and_an_added_route_reach_every_proxy():
    async with cluster_with_servers() as site:
        change = {"Ver": 4, "Base": 1, "Upsert": {"Tenants": [{"Name": "sfax", "Apikeys": ["new"]}]}}
        assert await site.put(change, "conf.update") == 200
        await site.until(lambda: all(proxy.active_version == 4 for proxy in site.proxies.values()))
        statuses = [
            status(await site.get(name, "/stock/1", key)) for name in site.names for key in (KEY, "new")
        ]
        assert statuses == [401, 200] * 3


async def test_an_acknowledged_drain_survives_the_controller_that_acknowledged_it():
    async with cluster_with_servers(2) as site:
        leader = next(controller for controller in site.controllers.values() if controller.node.is_leader)
        server = site.servers["i-1"]
        server.state = "drain"
        assert await server.send_heartbeat([(leader.settings.ip, 8407)]) == 200
        await site.kill(leader)
        await site.until(lambda: any(controller.node.is_leader for controller in site.controllers.values()))
        after = next(controller for controller in site.controllers.values() if controller.node.is_leader)
        assert after.state_machine.state.departed_servers == {"i-1": False}
        await site.until(
            lambda: all(proxy.servers["i-1"].state == "drain" for proxy in site.proxies.values())
        )
        for number in range(6):
            assert status(await site.get("m2", f"/stock/{number}", KEY)) == 200
        assert server.run_counts.total() == 0


async def test_a_configuration_survives_the_kill_of_every_process():
    async with cluster_with_servers() as site:
        for role in [*site.controllers.values(), *site.proxies.values()]:
            await site.kill(role)
        for name in site.names:
            await site.start_controller(name)
            await site.start_proxy(name)
        await site.until(
            lambda: all(proxy.ready and proxy.active_version == 1 for proxy in site.proxies.values())
        )
        shown = await send_request(site.control_addresses[0], "POST", "/-/rpc?call=conf.show")
        expected = {name: value for name, value in SAMPLE.items() if name != "Base"}
        assert msgspec.json.decode(b"".join(shown.body)) == expected
        await site.until(lambda: all(proxy.servers for proxy in site.proxies.values()))
        assert status(await site.get("m1", "/stock/1", KEY)) == 200


async def test_a_leader_starts_with_the_logged_live_proxies_after_all_controllers_were_killed():
    """Otherwise it would reassign ownership held by live proxies and activate versions without them."""
    async with cluster_with_servers() as site:
        initial_lists = []
        become_leader = Watch.become_leader

        def record_and_become_leader(self, now_us, term, state):
            initial_lists.append(sorted(state.live_proxies))
            become_leader(self, now_us, term, state)

        await site.until(
            lambda: all(
                sorted(controller.state_machine.state.live_proxies) == site.names
                for controller in site.controllers.values()
            )
        )
        with mock.patch.object(Watch, "become_leader", record_and_become_leader):
            for controller in list(site.controllers.values()):
                await site.kill(controller)
            for name in site.names:
                await site.start_controller(name)
            await site.until(lambda: initial_lists)
        assert initial_lists == [site.names]


async def test_every_controller_answers_an_operators_call_with_the_same_error():
    async with cluster_with_servers() as site:
        rejections = []
        for address in site.control_addresses:
            body = msgspec.json.encode({**SAMPLE, "Ver": 9, "Base": 1, "Pools": []})
            response = await send_request(address, "POST", "/-/rpc?call=conf.replace", body)
            rejections.append((status(response), msgspec.json.decode(b"".join(response.body))["Err"]))
        assert rejections == [(400, "route r-stock: service 'garantie' is not in Pools")] * 3


async def test_a_proxy_that_shuts_down_answers_its_requests_and_announces_its_departure():
    async with cluster_with_servers(1, work_s=0.3) as site:
        request = asyncio.create_task(site.get("m1", "/claim/1", KEY, method="POST"))
        await site.until(lambda: site.servers["i-1"].running)
        site.proxies["m1"].end()
        await site.until(lambda: site.proxies["m1"].client_front.is_draining)
        assert status(await send_request((site.ip["m1"], READINESS_PORT), "GET", "/-/readyz")) == 503
        response = await request
        assert (status(response), response.headers()[b"connection"]) == (200, b"close")


async def test_an_isolated_proxy_is_not_ready_and_connected_ones_without_a_leader_are():
    async with cluster_with_servers(1) as site:
        partition = Partition(site)
        partition.isolate("m3")
        await site.until(lambda: not site.proxies["m3"].ready)
        assert status(await send_request((site.ip["m3"], READINESS_PORT), "GET", "/-/readyz")) == 503
        # If its controller was the leader, the other proxies may have been waiting for its reply as long.
        await site.until(lambda: site.proxies["m1"].ready and site.proxies["m2"].ready)
        assert not site.proxies["m3"].ready
        partition.isolated.clear()
        await site.until(lambda: site.proxies["m3"].ready)
        for name in ("m1", "m2"):
            await site.kill(site.controllers[name])
        await site.until(lambda: not site.controllers["m3"].consensus.is_leader())
        await asyncio.sleep(2.0)  # longer than an isolated proxy stays ready
        await site.until(lambda: all(proxy.ready for proxy in site.proxies.values()), 5.0)
        assert not site.controllers["m3"].consensus.is_leader()


async def test_a_deregistered_server_gets_no_requests_and_its_address_may_be_reused():
    async with cluster_with_servers(2) as site:
        assert await post_to_any(site.control_addresses, "/-/rpc?call=servers.deregister&of=i-1") == 200
        await site.until(lambda: all(proxy.servers["i-1"].state == "gone" for proxy in site.proxies.values()))
        # Another server, not registered yet, now listens at the address: it answers 421 and does not run it.
        site.stop_heartbeats(site.servers["i-2"])
        site.servers["i-2"].name = "i-3"
        response = await site.get("m1", "/claim/1", KEY, method="POST", tries=1)
        assert status(response) == 503
        assert b"retry-after" in response.headers()
        assert sum(server.run_counts.total() for server in site.servers.values()) == 0


async def test_wall_clock_steps_of_hours_have_no_effect():
    random, real_time = Random(1), time.time

    def stepping_time() -> float:
        return real_time() + random.choice((-9_000, -3, 0, 5, 40_000))

    def stepping_time_ns() -> int:
        return int(stepping_time() * 1e9)

    with mock.patch("time.time", stepping_time), mock.patch("time.time_ns", stepping_time_ns):
        async with serving_cluster() as site:
            answers = [status(await site.get(name, "/stock/1", KEY)) for name in site.names * 5]
            change = {"Ver": 2, "Base": 1, "Upsert": {}, "Del": {"Routes": ["r-claim"]}}
            while await site.put(change, "conf.update") != 200:
                await asyncio.sleep(0.02)
            await site.until(lambda: all(proxy.active_version == 2 for proxy in site.proxies.values()))
    assert answers == [200] * 15


def test_the_limiter_imports_nothing_of_the_gateway():
    code = (
        "import sys, lapisgrade.__main__, lapisgrade.bench_adapter.bench;"
        "print([name for name in sys.modules if 'gateway' in name])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


def test_a_missing_settings_file_is_reported_in_one_line_with_exit_code_2():
    result = subprocess.run(
        [sys.executable, "-m", "lapisgrade.gateway", "check", "--settings=/nowhere.json"],
        capture_output=True,
        text=True,
    )
    assert (result.returncode, result.stdout, result.stderr.count("\n")) == (2, "", 1)
    assert "/nowhere.json" in result.stderr
