"""Choice of the recipient of a proxy's watch requests."""

from random import Random

import pytest

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.membership.partial_view import ControlHint, PartialView, Shuffle
from lapisgrade.gateway.proxy.watch_target import RELAY_PERIOD_US, WatchTarget


class WatchedControllers:
    """A proxy that searches for the leader among two seeds and its neighbours."""

    def __init__(self) -> None:
        self.partial_view = PartialView("10.0.0.1:2", "z", Random(1), 0)
        self.watch_target = WatchTarget(Random(2), self.partial_view, ["10.0.0.7:1", "10.0.0.8:1"])

    def reply(self, is_leader: bool, **fields) -> rpc_messages.WatchReply:
        return rpc_messages.WatchReply(is_leader, registry_incarnation="4+", **fields)


@pytest.fixture
def watched() -> WatchedControllers:
    return WatchedControllers()


def test_a_leader_named_by_a_controller_is_tried_next_and_becomes_the_control_hint(
    watched: WatchedControllers,
) -> None:
    watched.watch_target.next(0)
    assert not watched.watch_target.on_reply(0, watched.reply(False, leader_address="10.0.0.9:1"))
    assert watched.watch_target.next(0) == "10.0.0.9:1"
    assert watched.watch_target.on_reply(0, watched.reply(True, controllers=["10.0.0.9:1", "10.0.0.5:1"]))
    assert watched.partial_view.control_hint == ControlHint(4, "10.0.0.9:1", ["10.0.0.9:1", "10.0.0.5:1"])
    assert watched.watch_target.next(1) == "10.0.0.9:1"


def test_without_a_controller_a_neighbour_relays_until_the_controllers_are_tried_again(
    watched: WatchedControllers,
) -> None:
    watched.partial_view.add_addresses(["10.0.0.2:2"])
    first = watched.watch_target.next(0)
    assert first in watched.watch_target.seeds
    watched.watch_target.on_reply(0, None)
    assert watched.watch_target.next(0) == "10.0.0.2:2"
    assert watched.watch_target.on_reply(0, watched.reply(True))
    assert watched.watch_target.next(RELAY_PERIOD_US) == "10.0.0.2:2"
    watched.watch_target.on_reply(RELAY_PERIOD_US + 1, watched.reply(True))
    assert watched.watch_target.next(RELAY_PERIOD_US + 1) in watched.watch_target.seeds
    # A proxy with relayed updates knows no leader, so it relays for no other proxy.
    assert watched.watch_target.leader == ""


def test_a_neighbours_hint_leads_to_new_controllers_when_all_seeds_are_unreachable(
    watched: WatchedControllers,
) -> None:
    hint = ControlHint(7, "10.0.3.3:1", ["10.0.3.3:1", "10.0.3.4:1"])
    watched.partial_view.on_shuffle("10.0.0.2:2", Shuffle(True, hint))
    assert watched.watch_target.next(0) == "10.0.3.3:1"
    # An outdated or wrong hint costs one request.
    watched.watch_target.on_reply(0, None)
    assert watched.partial_view.control_hint.leader == ""
    addresses = set()
    for _ in range(40):
        addresses.add(watched.watch_target.next(0))
        watched.watch_target.on_reply(0, None)
    assert addresses == {"10.0.0.7:1", "10.0.0.8:1", "10.0.3.3:1", "10.0.3.4:1"}
