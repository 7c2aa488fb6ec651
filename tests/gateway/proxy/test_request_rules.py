"""Operators' requirements for requests and configuration reads; docs/design/rules.md names each test."""

import asyncio

import msgspec
from support.local_clusters import local_cluster, serving_cluster

from lapisgrade.gateway.local_cluster import SAMPLE, Partition, send_request
from lapisgrade.net.http import Message

KEY = "key-of-sfax"


def status(message: Message) -> int:
    return message.head.status_code


def with_timeout(timeout: str) -> dict:
    """Return the sample configuration with this time-out on each route."""
    conf = msgspec.json.decode(msgspec.json.encode(SAMPLE))
    for rule in conf["Ports"][0]["Policy"]:
        rule["Action"]["Timeout"] = timeout
    return conf


async def test_gone_a_server_stops_work_once_its_client_has_disconnected() -> None:
    async with serving_cluster(work_s=2.0) as site:
        server = site.servers["i-1"]
        for path, method in (("/stock/1", "GET"), ("/claim/1", "POST")):
            request_task = asyncio.create_task(site.get("m1", path, KEY, method=method, id=path))
            await site.until(lambda path=path: server.run_counts[path] == 1)
            request_task.cancel()
            await asyncio.gather(request_task, return_exceptions=True)
            await site.until(lambda path=path: path in server.abandoned_after_s)
            assert server.abandoned_after_s[path] < 0.5


async def test_config_a_request_is_answered_at_its_routes_timeout() -> None:
    async with serving_cluster(with_timeout("400ms"), work_s=3.0) as site:
        for path, method in (("/stock/1", "GET"), ("/claim/1", "POST")):
            started = asyncio.get_running_loop().time()
            response = await site.get("m1", path, KEY, method=method)
            assert status(response) in (502, 504)
            assert asyncio.get_running_loop().time() - started < 0.65


async def test_budget_a_server_is_given_no_more_than_the_remaining_time() -> None:
    async with serving_cluster() as site:
        server = site.servers["i-1"]
        await site.get("m1", "/stock/1", KEY, id="short", **{"Deadline-Ms": "300"})
        await site.get("m1", "/stock/1", KEY, id="long", **{"Deadline-Ms": "60000"})
        assert 0 < server.deadlines["short"] <= 300, server.deadlines
        assert 0 < server.deadlines["long"] <= 2000, server.deadlines  # the route's time-out


async def test_budget_no_more_servers_run_a_request_than_its_routes_tries() -> None:
    async with serving_cluster() as site:
        for _ in range(4):
            await site.start_server("garantie")
        await site.until(lambda: all(len(proxy.servers) == 5 for proxy in site.proxies.values()))
        for server in site.servers.values():
            server.fault = "failing"
        for number in range(20):
            await site.get("m1", f"/stock/{number}", KEY, id=f"try-{number}", tries=1)
        runs = [
            sum(server.run_counts[f"try-{number}"] for server in site.servers.values())
            for number in range(20)
        ]
        assert max(runs) <= SAMPLE["Ports"][0]["Policy"][0]["Action"]["Tries"]


async def test_denied_no_request_whose_head_is_within_the_configured_size() -> None:
    """The result does not depend on how the bytes are split; a larger head is rejected."""
    conf = {**SAMPLE, "Caps": {**SAMPLE["Caps"], "HdrBytes": 40_000}}
    async with serving_cluster(conf) as site:
        for size, expected in ((30_000, b"HTTP/1.1 200"), (50_000, b"HTTP/1.1 431")):
            reader, writer = await asyncio.open_connection(*site.http_address("m1"))
            head = f"GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: {size}\r\nDeadline-Ms: 2000\r\n"
            writer.write(f"{head}Authorization: Bearer {KEY}\r\nX-Long: ".encode())
            for _ in range(size // 10_000):
                writer.write(b"x" * 10_000)
                await asyncio.sleep(0.05)  # splits the head into several reads
            writer.write(b"\r\n\r\n")
            assert (await reader.read(100)).startswith(expected)
            writer.close()


async def test_refused_a_servers_503_for_what_it_ran_is_no_promise_of_ours() -> None:
    async with serving_cluster() as site:
        server = site.servers["i-1"]
        server.fault = "unavailable"
        response = await site.get("m1", "/claim/1", KEY, method="POST", id="once", tries=1)
        assert (status(response), response.headers().get(b"server-seal")) == (502, None)
        assert server.run_counts["once"] == 1


async def test_drain_a_deregistered_server_gets_no_more_requests() -> None:
    async with serving_cluster() as site:
        await site.start_server("garantie")
        await site.until(lambda: all(len(proxy.servers) == 2 for proxy in site.proxies.values()))
        leaving = site.servers["i-1"]
        site.stop_heartbeats(leaving)  # it never reports draining, and its last heartbeat is late
        response = await send_request(
            site.control_addresses[0], "POST", "/-/rpc?call=servers.deregister&of=i-1"
        )
        assert status(response) == 200
        await leaving.send_heartbeat(site.control_addresses)
        await site.until(lambda: all(proxy.servers["i-1"].state == "gone" for proxy in site.proxies.values()))
        runs_before = leaving.run_counts.total()
        statuses = [status(await site.get(name, "/stock/1", KEY)) for name in site.names for _ in range(4)]
        assert (statuses, leaving.run_counts.total() - runs_before) == ([200] * 12, 0)


async def test_denied_a_proxy_without_a_configuration_answers_503_and_denies_nobody() -> None:
    async with local_cluster() as site:
        await site.until(lambda: site.proxies["m1"].client_front.is_listening())
        response = await site.get("m1", "/stock/1", KEY, tries=1)
        assert status(response) == 503
        assert b"retry-after" in response.headers()


async def test_config_a_read_is_no_older_than_the_last_acknowledgement_or_gets_503() -> None:
    """A machine partitioned from the majority answers 503 instead of an older version."""
    async with serving_cluster() as site:
        partition = Partition(site)
        partition.isolate("m3")
        change = {"Ver": 5, "Base": 1, "Upsert": {"Tenants": []}, "Del": {}}
        addresses = [(site.ip[name], 8407) for name in ("m1", "m2")]
        last_status = 0
        while last_status != 200:
            response = await send_request(
                addresses[0], "POST", "/-/rpc?call=conf.update", msgspec.json.encode(change)
            )
            last_status = status(response)
            addresses.reverse()
        reads = []
        for name in site.names:
            response = await send_request((site.ip[name], 8407), "POST", "/-/rpc?call=conf.show")
            shown = msgspec.json.decode(b"".join(response.body)) if status(response) == 200 else {}
            reads.append((status(response), shown.get("Ver")))
        assert reads == [(200, 5), (200, 5), (503, None)]
