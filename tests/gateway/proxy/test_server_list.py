"""The servers that the controllers know, as a proxy takes them in."""

import unittest

from lapisgrade.gateway import registry
from lapisgrade.gateway.proxy.server_list import ServerList
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc_messages import WatchReply
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock


def server(name: str, state: str = "up", address: str = "10.0.0.1:80") -> registry.Server:
    return registry.Server(name, "a", address, "z", 2, state, 1)


class Pool:
    """Notes what the pool of connections is told."""

    def __init__(self) -> None:
        self.addresses: dict = {}

    def update_addresses(self, addresses: dict) -> None:
        self.addresses = addresses


class ServerListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool, self.router = Pool(), Router(Clock(0), 1, Slo(), "z")
        self.servers = ServerList(self.router, self.pool)

    def test_changes_reach_the_router_and_the_pool(self) -> None:
        self.servers.apply(WatchReply(True, servers=[server("s1"), server("s2", "drain")]))
        self.assertEqual(sorted(self.servers.by_id), ["s1", "s2"])
        self.assertEqual(sorted(self.router.cluster("a").servers), ["s1", "s2"])
        self.assertEqual(self.pool.addresses, {"s1": ("10.0.0.1", 80), "s2": ("10.0.0.1", 80)})

    def test_a_lost_server_is_forgotten_and_one_that_is_gone_is_kept_without_an_address_for_the_pool(
        self,
    ) -> None:
        self.servers.apply(WatchReply(True, servers=[server("s1"), server("s2")]))
        self.servers.apply(WatchReply(True, servers=[server("s1", "lost", ""), server("s2", "gone", "")]))
        self.assertEqual(sorted(self.servers.by_id), ["s2"])
        self.assertEqual(self.servers.by_id["s2"].address, "10.0.0.1:80")
        self.assertEqual(self.router.cluster("a").servers, {})
        self.assertEqual(self.pool.addresses, {"s1": None, "s2": None})

    def test_a_complete_list_replaces_all_and_one_of_an_unsettled_registry_does_not(self) -> None:
        self.servers.apply(WatchReply(True, servers=[server("s1")]))
        self.servers.apply(
            WatchReply(True, is_full_update=True, is_registry_complete=False, servers=[server("s2")])
        )
        self.assertEqual(sorted(self.servers.by_id), ["s1", "s2"])
        self.servers.apply(
            WatchReply(True, is_full_update=True, is_registry_complete=True, servers=[server("s3")])
        )
        self.assertEqual(sorted(self.servers.by_id), ["s3"])
        self.assertEqual(sorted(self.router.cluster("a").servers), ["s3"])


if __name__ == "__main__":
    unittest.main()
