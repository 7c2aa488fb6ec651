"""Whom a proxy asks for updates next."""

from random import Random

import pytest

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.membership.partial_view import ControlHint, PartialView, Shuffle
from lapisgrade.gateway.proxy.watch_target import RELAY_PERIOD_US, WatchTarget


class WatchedControllers:
    """A proxy that looks for the leader among two seeds and its neighbours."""

    def __init__(self) -> None:
        self.partial_view = PartialView("10.0.0.1:2", "z", Random(1), 0)
        self.watch_target = WatchTarget(Random(2), self.partial_view, ["10.0.0.7:1", "10.0.0.8:1"])

    def news(self, leads: bool, **more) -> rpc_messages.WatchReply:
        return rpc_messages.WatchReply(leads, registry_incarnation="4+", **more)


@pytest.fixture
def watched() -> WatchedControllers:
    return WatchedControllers()


def test_a_controller_that_knows_who_leads_is_believed_once_and_the_way_is_told_on(
    watched: WatchedControllers,
) -> None:
    watched.watch_target.next(0)
    assert not watched.watch_target.on_reply(0, watched.news(False, leader_address="10.0.0.9:1"))
    assert watched.watch_target.next(0) == "10.0.0.9:1"
    assert watched.watch_target.on_reply(0, watched.news(True, controllers=["10.0.0.9:1", "10.0.0.5:1"]))
    assert watched.partial_view.control_hint == ControlHint(4, "10.0.0.9:1", ["10.0.0.9:1", "10.0.0.5:1"])
    assert watched.watch_target.next(1) == "10.0.0.9:1"


def test_where_no_controller_answers_neighbours_are_asked_by_turns_and_controllers_again_after_a_while(
    watched: WatchedControllers,
) -> None:
    watched.partial_view.introduce(["10.0.0.2:2"])
    first = watched.watch_target.next(0)
    assert first in watched.watch_target.seeds
    watched.watch_target.on_reply(0, None)
    assert watched.watch_target.next(0) == "10.0.0.2:2"
    assert watched.watch_target.on_reply(0, watched.news(True))
    assert watched.watch_target.next(RELAY_PERIOD_US) == "10.0.0.2:2"
    watched.watch_target.on_reply(RELAY_PERIOD_US + 1, watched.news(True))
    assert watched.watch_target.next(RELAY_PERIOD_US + 1) in watched.watch_target.seeds
    # one that answers through others passes nothing on itself
    assert watched.watch_target.leader == ""


def test_all_seeds_gone_the_neighbours_word_leads_to_the_controllers_that_took_their_place(
    watched: WatchedControllers,
) -> None:
    word = ControlHint(7, "10.0.3.3:1", ["10.0.3.3:1", "10.0.3.4:1"])
    watched.partial_view.on_shuffle("10.0.0.2:2", Shuffle(True, word))
    assert watched.watch_target.next(0) == "10.0.3.3:1"
    # An old word, or a lie, costs one question.
    watched.watch_target.on_reply(0, None)
    assert watched.partial_view.control_hint.leader == ""
    asked = set()
    for _ in range(40):
        asked.add(watched.watch_target.next(0))
        watched.watch_target.on_reply(0, None)
    assert asked == {"10.0.0.7:1", "10.0.0.8:1", "10.0.3.3:1", "10.0.3.4:1"}
