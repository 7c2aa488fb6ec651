"""Lists of live proxies are sent as deltas, or in full if the base is unknown."""

from random import Random

import msgspec
import pytest

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller.commands import LiveProxies, encode_command
from lapisgrade.gateway.controller.proxy_list_feed import (
    MAX_LISTS,
    PROXY_LIST_INTERVAL_US,
    ProxyListFeed,
)
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.controller.watch_service import MAX_FAN_OUT_INTERVAL_US, fan_out_interval_us
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US


def members(names, incarnation: str = "1") -> rpc_messages.ProxiesByName:
    """Return a list of live proxies with those names, all in one zone."""
    return {name: (f"10.0.0.1:{name}", incarnation, "z") for name in map(str, names)}


class ProxyListLeader:
    """A leader that sends its list of live proxies to proxies."""

    def __init__(self) -> None:
        self.state_machine, self.watch = StateMachine(), Watch(SECOND, 0)
        self.watch.become_leader(0, 1, self.state_machine.state)

    def reply_to(self, base: int) -> rpc_messages.WatchReply | None:
        """Return the reply, decoded, to a proxy that has the list with the fencing token `base`."""
        request = rpc_messages.WatchRequest("", "", "1", "z", 0, "1", 0, base)
        reply = self.watch.reply_if_changed(0, request, self.state_machine.state, [])
        return msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=type(reply)) if reply else None

    def apply_list(self, fencing_token: int, current: rpc_messages.ProxiesByName) -> None:
        self.state_machine.apply(fencing_token, encode_command(LiveProxies(current, [], [])))
        self.reply_to(fencing_token)  # the leader stores each list at the next watch request


@pytest.fixture
def leader() -> ProxyListLeader:
    return ProxyListLeader()


def test_a_proxy_with_any_earlier_list_obtains_the_newest(leader: ProxyListLeader) -> None:
    for seed in range(20):
        leader = ProxyListLeader()
        random, current, lists = Random(seed), members(range(40)), {0: {}}  # `lists` by fencing token
        for fencing_token in range(1, 25):
            leader.apply_list(fencing_token, current)
            for base in random.sample(sorted(lists), min(len(lists), 4)):
                reply = leader.reply_to(base)
                assert reply.updated_proxies(base, lists[base]) == current
            lists[fencing_token] = current
            departed = random.sample(sorted(current), min(len(current), random.choice((0, 1, 10))))
            current = {name: member for name, member in current.items() if name not in departed}
            current |= members(random.sample(range(60), random.choice((0, 1, 10))), str(fencing_token))


def test_the_delta_for_ten_of_two_hundred_proxies_is_below_a_tenth_of_the_list(
    leader: ProxyListLeader,
) -> None:
    first = members(range(200))
    leader.apply_list(1, first)
    complete = leader.reply_to(0)
    leader.apply_list(2, {**first, **members(range(10), "2")})
    delta = leader.reply_to(1)
    assert delta.live_proxies is None
    assert len(msgspec.msgpack.encode(delta)) < 0.1 * len(msgspec.msgpack.encode(complete))


def test_a_delta_on_a_different_list_is_rejected(leader: ProxyListLeader) -> None:
    delta = rpc_messages.ProxyListDelta(4, members([1]), [])
    reply = rpc_messages.WatchReply(True, fencing_token=5, live_proxies_delta=delta)
    assert reply.updated_proxies(3, members([2])) is None
    assert reply.updated_proxies(4, members([2])) == members([1, 2])


def test_all_lists_under_which_an_owner_may_act_are_stored_at_the_highest_rate() -> None:
    """Guards against two owners of a count: a proxy that is not told of an earlier owner does not ask it."""
    feed = ProxyListFeed()
    newest = 100
    for token in range(1, newest + 1):
        feed.add(token * PROXY_LIST_INTERVAL_US, token, {}, (f"owner-{token}",))
    now_us = newest * PROXY_LIST_INTERVAL_US
    replaced_us = {token: (token + 1) * PROXY_LIST_INTERVAL_US for token in range(1, newest)}
    acting = [token for token in replaced_us if now_us - replaced_us[token] < OWNERSHIP_LEASE_US]
    earlier = [(f"owner-{token}",) for token in reversed(acting) if token < newest - 1]
    assert feed.earlier_owners(now_us, newest - 1) == earlier


def test_the_number_of_stored_lists_is_bounded(leader: ProxyListLeader) -> None:
    feed = ProxyListFeed()
    for token in range(1, 10 * MAX_LISTS):
        feed.add(token, token, members(range(token % 7)))
    assert feed.delta(1, 10 * MAX_LISTS - 1) is None
    assert len(feed._lists) <= MAX_LISTS


def test_the_fan_out_interval_grows_with_the_number_of_proxies_up_to_a_bound() -> None:
    assert fan_out_interval_us(12) < 5_000
    assert fan_out_interval_us(200) < 100_000
    assert fan_out_interval_us(13_000) == MAX_FAN_OUT_INTERVAL_US
