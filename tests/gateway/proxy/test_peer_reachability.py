"""Isolation of a proxy, and detection of terminated proxies."""

from random import Random
from types import SimpleNamespace

import pytest

from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.peer_reachability import ISOLATED_AFTER_US, PeerReachability


class ReachablePeers:
    """The record of reachable peers, on a clock that the test advances."""

    def __init__(self) -> None:
        self.now_us = 10 * ISOLATED_AFTER_US
        context = ProxyContext(SimpleNamespace(ip="10.0.0.1"), Random(1), lambda: self.now_us)
        self.reachability = PeerReachability(context)


@pytest.fixture
def peers() -> ReachablePeers:
    return ReachablePeers()


def test_a_proxy_is_isolated_if_no_other_machine_replies_and_other_proxies_are_live(
    peers: ReachablePeers,
) -> None:
    assert peers.reachability.is_isolated(2)
    assert not peers.reachability.is_isolated(1)
    peers.reachability.on_reply(("10.0.0.2", 1))
    assert not peers.reachability.is_isolated(2)
    peers.now_us += ISOLATED_AFTER_US + 1
    assert peers.reachability.is_isolated(2)


def test_from_its_own_machine_only_a_leaders_reply_counts(peers: ReachablePeers) -> None:
    peers.reachability.on_reply(("10.0.0.1", 1))
    assert peers.reachability.is_isolated(2)
    peers.reachability.on_reply(("10.0.0.1", 1), is_leader=True)
    assert not peers.reachability.is_isolated(2)


def test_a_proxy_counts_as_terminated_from_a_refused_connection_until_the_next_successful_call(
    peers: ReachablePeers,
) -> None:
    peers.reachability.on_call_finished("p2", is_refused=True)
    assert peers.reachability.terminated_proxies == {"p2"}
    peers.reachability.on_call_finished("p2", is_refused=False)
    assert peers.reachability.terminated_proxies == set()
