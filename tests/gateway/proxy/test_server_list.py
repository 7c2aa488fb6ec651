"""A proxy's copy of the server registry."""

import pytest

from lapisgrade.gateway import registry
from lapisgrade.gateway.proxy.metrics import ProxyMetrics
from lapisgrade.gateway.proxy.server_list import ServerList
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc_messages import WatchReply
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock


def server(name: str, state: str = "up", address: str = "10.0.0.1:80") -> registry.Server:
    return registry.Server(name, "a", address, "z", 2, state, 1)


class Pool:
    """Records the addresses that the connection pool receives."""

    def __init__(self) -> None:
        self.addresses: dict = {}

    def update_addresses(self, addresses: dict) -> None:
        self.addresses = addresses


class ProxyServers:
    """A proxy's list of servers, with its router and connection pool."""

    def __init__(self) -> None:
        self.pool, self.router = Pool(), Router(Clock(0), 1, Slo(), "z")
        self.servers = ServerList(self.router, self.pool, ProxyMetrics())


@pytest.fixture
def proxy() -> ProxyServers:
    return ProxyServers()


def test_server_changes_are_applied_to_the_router_and_the_pool(proxy: ProxyServers) -> None:
    proxy.servers.apply(WatchReply(True, servers=[server("s1"), server("s2", "drain")]))
    assert sorted(proxy.servers.by_id) == ["s1", "s2"]
    assert sorted(proxy.router.cluster("a").servers) == ["s1", "s2"]
    assert proxy.pool.addresses == {"s1": ("10.0.0.1", 80), "s2": ("10.0.0.1", 80)}


def test_a_lost_server_is_removed_and_a_gone_server_is_kept_without_a_pool_address(
    proxy: ProxyServers,
) -> None:
    proxy.servers.apply(WatchReply(True, servers=[server("s1"), server("s2")]))
    proxy.servers.apply(WatchReply(True, servers=[server("s1", "lost", ""), server("s2", "gone", "")]))
    assert sorted(proxy.servers.by_id) == ["s2"]
    assert proxy.servers.by_id["s2"].address == "10.0.0.1:80"
    assert proxy.router.cluster("a").servers == {}
    assert proxy.pool.addresses == {"s1": None, "s2": None}


def test_a_complete_list_replaces_all_servers_and_an_incomplete_one_does_not(proxy: ProxyServers) -> None:
    proxy.servers.apply(WatchReply(True, servers=[server("s1")]))
    proxy.servers.apply(
        WatchReply(True, is_full_update=True, is_registry_complete=False, servers=[server("s2")])
    )
    assert sorted(proxy.servers.by_id) == ["s1", "s2"]
    proxy.servers.apply(
        WatchReply(True, is_full_update=True, is_registry_complete=True, servers=[server("s3")])
    )
    assert sorted(proxy.servers.by_id) == ["s3"]
    assert sorted(proxy.router.cluster("a").servers) == ["s3"]
