"""Invalid records and messages of controllers and proxies: each harms only itself."""

import asyncio

import pytest
from support.failures import Failure
from support.local_clusters import serving_cluster

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.registry import Server
from lapisgrade.gateway.rpc_messages import ProxyLoads
from lapisgrade.gateway.settings import Address


async def test_a_watch_goes_on_after_a_reply_that_cannot_be_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    async with serving_cluster() as site:
        for proxy in site.proxies.values():
            failure = Failure(proxy.updates.servers, "apply").install(monkeypatch)
            failure.left = 5
        await site.start_server("garantie")
        await site.until(lambda: all(len(proxy.servers) == 2 for proxy in site.proxies.values()))
        assert all(proxy.context.metrics.watch_failures == 5 for proxy in site.proxies.values())
        assert not any(proxy._shutdown.is_set() for proxy in site.proxies.values())


# Guards against one record of an earlier release that ends all proxies, again after each restart.
async def test_a_stored_server_without_a_usable_address_is_left_out() -> None:
    async with serving_cluster() as site:
        leader = next(each for each in site.controllers.values() if each.consensus.is_leader())
        for number, address in enumerate(("no address", "1.2.3.4:0", "a..b:80", ":7")):
            server = Server(f"bad-{number}", "garantie", address, "local", 4, "up", 1)
            leader.watch_service.on_heartbeat(server)
        await site.start_server("garantie")
        await site.until(lambda: all(len(proxy.servers) >= 2 for proxy in site.proxies.values()))
        await asyncio.sleep(0.3)
        assert not any(proxy._shutdown.is_set() for proxy in site.proxies.values())
        assert all(proxy.context.metrics.invalid_servers for proxy in site.proxies.values())
        response = await site.get("m1", "/stock/1", "key-of-sfax")
        assert response.head.status_code == 200


@pytest.mark.parametrize("address", ["no address", "1.2.3.4:0", "1.2.3.4:70000", "a..b:80", ":7", ""])
async def test_a_heartbeat_with_an_invalid_address_is_rejected(address: str) -> None:
    async with serving_cluster() as site:
        beat = {"Svc": "garantie", "Addr": address, "Az": "z", "Slots": 4, "State": "up", "Seq": 1}
        assert await site.put(beat, "servers.heartbeat&of=bad") == 400
        leader = next(each for each in site.controllers.values() if each.consensus.is_leader())
        assert "bad" not in leader.watch.registry.servers


async def test_a_proxy_with_an_invalid_address_is_not_listed() -> None:
    async with serving_cluster() as site:
        leader = next(each for each in site.controllers.values() if each.consensus.is_leader())
        request = rpc_messages.WatchRequest("liar", "no address", "life", "z", 0, "", 0, 0)
        await leader.watch_service.handle_watch(request)
        assert "liar" not in leader.watch.proxies
        assert leader.metrics.invalid_peer_addresses == 1


async def test_calls_to_an_address_that_cannot_be_looked_up_fail_at_once() -> None:
    async with serving_cluster() as site:
        rpc = site.proxies["m1"].rpc
        async with asyncio.timeout(1.0):
            for _ in range(2):
                result = await rpc.call(Address(("a..b", 80)), ProxyLoads("m1", {}, []), 5.0)
                assert result.failure().name == "NOT_RUN"


def test_an_address_of_a_neighbour_can_be_parsed() -> None:
    assert not is_address("1.2.3.4:0")
    assert is_address("1.2.3.4:65535")
