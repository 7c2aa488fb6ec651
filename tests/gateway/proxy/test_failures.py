"""Exceptions inside a proxy: each request gets an answer at once, and the proxy goes on serving."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

import msgspec
import pytest
from support.failures import Failure
from support.local_clusters import serving_cluster

from lapisgrade.gateway.local_cluster import SAMPLE, LocalCluster
from lapisgrade.gateway.proxy.process import Proxy
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.http import MalformedMessageError
from lapisgrade.net.upstream_connection import UpstreamConnection

KEY = "key-of-sfax"
ANSWER_DUE_S = 1.0  # of a deadline of 2 s: a failed request doesn't wait for its time-out
REQUESTS = 6


FAILURES: dict[str, Callable[[Proxy], Failure]] = {
    "an idle connection is looked up": lambda proxy: Failure(proxy.pool, "newest_idle"),
    "a request is written": lambda proxy: Failure(UpstreamConnection, "_write"),
    "a connection is opened": lambda proxy: Failure(UpstreamConnection, "_run", True),
    "a response is classified": lambda proxy: Failure(proxy.pool.protocol, "classify"),
    "a response is forwarded": lambda proxy: Failure(proxy.host, "forward_response"),
    "a response is written": lambda proxy: Failure(ClientConnection, "_write_response"),
    "a load report is parsed": lambda proxy: Failure(proxy.host, "parse_load_report"),
    "an attempt's result is recorded": lambda proxy: Failure(
        proxy.router.idle_connections, "on_attempt_finished"
    ),
    "an attempt changes the load": lambda proxy: Failure(proxy.host, "on_load_change"),
    "a request is routed": lambda proxy: Failure(proxy.router, "handle"),
    "a request is matched": lambda proxy: Failure(proxy.router, "match"),
    "a service is chosen": lambda proxy: Failure(proxy.router.split, "choose"),
    "a server is chosen": lambda proxy: Failure(proxy.router.cluster("garantie"), "choose"),
    "a count's owner is called": lambda proxy: Failure(proxy.quota_transport, "add"),
    "an owner's reply is awaited": lambda proxy: Failure(proxy.quota_transport, "_add_at_owner", True),
    "a claim is sent": lambda proxy: Failure(proxy.operation_transport, "call"),
    "a claim's reply is awaited": lambda proxy: Failure(proxy.operation_transport._claims, "claim", True),
    "a wake-up is scheduled": lambda proxy: Failure(proxy.host, "schedule_wakeup"),
}


async def send(site: LocalCluster, number: int) -> int:
    """Send a request on a new connection; return the status, or 0 if the connection ends without one."""
    path = f"/claim/{number}" if number % 2 else f"/stock/{number}"
    method = "POST" if number % 2 else "GET"
    async with asyncio.timeout(ANSWER_DUE_S):
        try:
            response = await site.get("m1", path, KEY, tries=1, method=method, **{"Op-Key": f"op-{number}"})
        except (OSError, MalformedMessageError):
            return 0
        return response.head.status_code


async def send_until_served(site: LocalCluster) -> None:
    async with asyncio.timeout(5.0):
        while await send(site, 1) != 200 or await send(site, 2) != 200:
            await asyncio.sleep(0.05)


# Guards against an exception that leaves a request without an answer, or ends the proxy.
@pytest.mark.parametrize("name", FAILURES)
async def test_a_failure_ends_its_requests_at_once_and_the_proxy_goes_on(
    name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    configuration = msgspec.json.decode(msgspec.json.encode(SAMPLE))
    if "claim" in name:
        configuration["Ports"][0]["Policy"][1]["Mode"] = "keyed"
    async with serving_cluster(configuration) as site:
        await send_until_served(site)
        proxy = site.proxies["m1"]
        for client in proxy.router.quota_clients.values():  # so that the next request calls the owner
            client.leased_units = 0.0
        failure = FAILURES[name](proxy).install(monkeypatch)
        statuses = await asyncio.gather(*(send(site, number) for number in range(REQUESTS)))
        assert failure.failed
        allowed = {200, 429, 502, 503} | ({0} if name == "a response is written" else set())
        assert set(statuses) <= allowed, statuses
        await send_until_served(site)
        await site.until(lambda: not proxy.host.unanswered and not proxy.router.in_flight())
        assert not proxy._shutdown.is_set()
        assert "ValueError: injected" in caplog.text
        assert not any(client.is_calling for client in proxy.router.quota_clients.values())


# Guards against any other cause that leaves a request with neither an answer nor a time-out.
async def test_a_request_that_nothing_ends_is_answered_soon_after_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with serving_cluster() as site:
        await send_until_served(site)
        proxy = site.proxies["m1"]
        calls = ("run", "wake", "run_due_timers", "attempt_finished", "counter_replied", "call_finished")
        idle_engine = SimpleNamespace(**dict.fromkeys(calls, lambda *_, **__: None))
        monkeypatch.setattr(proxy.host, "engine", idle_engine)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        response = await site.get("m1", "/stock/1", KEY, tries=1, **{"Deadline-Ms": "600"})
        assert response.head.status_code == 502
        assert 0.5 < loop.time() - sent_s < 0.6 + 0.5 + 0.25
        assert proxy.context.metrics.transport.handler_failures == 1


async def test_a_proxy_sends_no_load_reports_after_its_end() -> None:
    async with serving_cluster() as site:
        proxy = site.proxies["m1"]
        await site.kill(proxy)
        sent_before = proxy.rpc.metrics.calls_sent
        tasks = asyncio.all_tasks()
        proxy.load_reporter.on_change()
        await asyncio.sleep(0.05)
        assert proxy.load_reporter._timer is None or proxy.load_reporter._timer.cancelled()
        assert asyncio.all_tasks() <= tasks
        assert proxy.rpc.metrics.calls_sent == sent_before
