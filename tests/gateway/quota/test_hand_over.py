"""Counts that change hands: by the last owner's word, by its end, or by its time. Nobody adds meanwhile."""

import msgspec
import pytest

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller.commands import LiveProxies, encode_command
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import PROXY_LIST_INTERVAL_US, Watch
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, eligible_owners, owner_of

MS = 1_000
RATE, BURST = 10.0, 40.0
ALWAYS = 1 << 60


def members(names, incarnations=None) -> dict[str, tuple[str, str, str]]:
    return {name: (f"10.0.0.{ord(name)}:1", (incarnations or {}).get(name, "1"), "z") for name in names}


def take(owner: QuotaOwner, now_us: int, units: float = 1.0, by: str = "x") -> rpc_messages.QuotaReply:
    ask = rpc_messages.QuotaRequest("t", units, by, owner.fencing_token, RATE, BURST)
    return owner.add(now_us, ask, ALWAYS)


def wants(owner: QuotaOwner) -> rpc_messages.HandOverRequest:
    return rpc_messages.HandOverRequest("t", owner.name, owner.fencing_token, RATE, BURST, owner.incarnation)


class CountChangingHands:
    """`first` owns the count of "t" among all but `last`, which owns it as soon as it has joined."""

    def __init__(self) -> None:
        names = list("abcdef")
        self.last = owner_of("t", names)
        self.early = [name for name in names if name != self.last]
        self.first = owner_of("t", self.early)
        self.names = names
        self.old = QuotaOwner(self.first, "1", 0)
        self.old.update_members(0, MembershipUpdate(5, members(self.early), previous_fencing_token=0))
        self.new = QuotaOwner(self.last, "1", 0)

    def joined(self, now_us: int) -> None:
        self.new.update_members(
            now_us,
            MembershipUpdate(9, members(self.names), previous_fencing_token=5, previous_owners=self.early),
        )


@pytest.fixture
def count() -> CountChangingHands:
    return CountChangingHands()


def test_the_first_member_list_starts_with_full_counts(count: CountChangingHands) -> None:
    reply = take(count.old, 10 * MS)
    assert (reply.is_accepted, round(BURST - reply.total)) == (True, 39)


def test_a_process_restarted_under_the_first_list_starts_empty(count: CountChangingHands) -> None:
    """Guards against a burst for each life: the list names the life before, which may have granted."""
    again = QuotaOwner(count.first, "2", SECOND)
    again.update_members(SECOND, MembershipUpdate(5, members(count.early), previous_fencing_token=0))
    assert BURST - take(again, SECOND + 10 * MS).total < 1.0


def test_a_joining_owner_grants_nothing_before_the_hand_over(count: CountChangingHands) -> None:
    """Guards against two owners at a time, where the last one is cut off as another joins (seed 865)."""
    take(count.old, SECOND)
    count.joined(2 * SECOND)
    assert count.new.predecessor(2 * SECOND, "t") == count.first
    held = [
        take(count.new, 2 * SECOND + each).is_accepted
        for each in (0, SECOND, OWNERSHIP_LEASE_US - 1, OWNERSHIP_LEASE_US)
    ]
    assert held == [False, False, False, True]


def test_the_level_and_the_leases_are_handed_over(count: CountChangingHands) -> None:
    take(count.old, SECOND, 11.0)
    count.joined(SECOND + 100 * MS)
    reply = count.old.answer_hand_over(SECOND + 101 * MS, wants(count.new))
    assert (reply.must_wait, round(reply.count.level), round(reply.count.outstanding_grants)) == (
        False,
        30,
        10,
    )
    count.new.on_hand_over_reply(SECOND + 102 * MS, wants(count.new), reply, count.first)
    assert round(BURST - take(count.new, SECOND + 102 * MS).total) == 29
    # The ten that are out take the room of what could be granted, as they did before.
    later = take(count.new, SECOND + 102 * MS + 2 * SECOND, 0.0)
    assert BURST - later.total <= BURST - 10.0


def test_an_owner_that_handed_over_grants_nothing_even_before_the_new_list_arrives(
    count: CountChangingHands,
) -> None:
    count.joined(SECOND)
    assert take(count.old, SECOND).is_accepted
    assert not count.old.answer_hand_over(SECOND, wants(count.new)).must_wait
    assert not take(count.old, SECOND + MS).is_accepted
    # The asker may have lied, and there is no such list: then it goes on when its word is out of date.
    assert take(count.old, SECOND + OWNERSHIP_LEASE_US).is_accepted


def test_a_lost_reply_is_repeated_and_creates_no_units(count: CountChangingHands) -> None:
    take(count.old, SECOND, 30.0)
    count.joined(SECOND + MS)
    for is_updated in (False, True):
        if is_updated:
            count.old.update_members(
                SECOND + 3 * MS, MembershipUpdate(9, members(count.names), previous_fencing_token=5)
            )
        levels = [count.old.answer_hand_over(SECOND + 5 * MS, wants(count.new)).count.level for _ in range(2)]
        assert [round(each) for each in levels] == [10, 10]
    reply = count.old.answer_hand_over(SECOND + 5 * MS, wants(count.new))
    count.new.on_hand_over_reply(SECOND + 6 * MS, wants(count.new), reply, count.first)
    take(count.new, SECOND + 6 * MS, 5.0)
    count.new.on_hand_over_reply(SECOND + 7 * MS, wants(count.new), reply, count.first)
    assert round(BURST - take(count.new, SECOND + 7 * MS, 0.0).total) == 5


def test_a_count_is_handed_to_one_incarnation_of_its_owner(count: CountChangingHands) -> None:
    """Guards against the level of before once more for each start of the new owner (seed 1212)."""
    count.joined(SECOND)
    count.new.on_hand_over_reply(
        SECOND, wants(count.new), count.old.answer_hand_over(SECOND, wants(count.new)), count.first
    )
    take(count.new, SECOND, 35.0)
    again = QuotaOwner(count.last, "2", 2 * SECOND)
    again.update_members(
        2 * SECOND,
        MembershipUpdate(9, members(count.names), previous_fencing_token=5, previous_owners=count.early),
    )
    assert again.predecessor(2 * SECOND, "t") == count.first
    reply = count.old.answer_hand_over(2 * SECOND, wants(again))
    assert reply == rpc_messages.HandOverReply(False)
    again.on_hand_over_reply(2 * SECOND, wants(again), reply, count.first)
    assert BURST - take(again, 2 * SECOND + 100 * MS, 0.0).total < 1.5


def test_what_the_previous_owner_may_have_granted_is_not_granted_again(count: CountChangingHands) -> None:
    count.joined(SECOND)
    assert round(BURST - take(count.new, SECOND + OWNERSHIP_LEASE_US, 0.0).total) == 0


def test_a_current_owner_or_one_with_an_older_list_hands_nothing_over(count: CountChangingHands) -> None:
    other = next(name for name in count.early if name != count.first)
    outdated = rpc_messages.HandOverRequest("t", other, 4, RATE, BURST)
    assert count.old.answer_hand_over(SECOND, outdated).must_wait
    assert count.old.answer_hand_over(SECOND, msgspec.structs.replace(outdated, fencing_token=5)).must_wait
    bystander = QuotaOwner(other, "1", 0)
    bystander.update_members(0, MembershipUpdate(5, members(count.early), previous_fencing_token=0))
    count.joined(SECOND)
    assert bystander.answer_hand_over(SECOND, wants(count.new)).must_wait
    assert take(count.old, SECOND).is_accepted


def test_an_owner_still_waiting_for_its_predecessor_has_others_wait(count: CountChangingHands) -> None:
    """Guards against two lists in quick succession while the first owner is cut off."""
    count.joined(SECOND)
    third = owner_of("t", [name for name in count.names if name != count.last])  # the first one again
    back = QuotaOwner(third, "2", 0)
    newest = MembershipUpdate(
        12,
        members(count.names),
        previous_fencing_token=9,
        previous_owners=count.names,
        terminating_proxies=[count.last],
    )
    back.update_members(SECOND + 50 * MS, newest)
    count.new.update_members(
        SECOND + 60 * MS,
        MembershipUpdate(
            12, members(count.names), previous_fencing_token=9, terminating_proxies=[count.last]
        ),
    )
    assert back.predecessor(SECOND + 60 * MS, "t") == count.last
    assert count.new.answer_hand_over(SECOND + 60 * MS, wants(back)).must_wait


def test_the_owner_before_a_departed_owner_is_asked_too(count: CountChangingHands) -> None:
    """Guards against one that has not heard of the lists since, and adds on (seeds 20924 and 20976)."""
    take(count.old, SECOND - MS)
    count.joined(SECOND)  # the newcomer owns it, is never handed it, and is gone in the next list
    heir = owner_of("t", [name for name in count.early if name != count.first])
    followed, anew = QuotaOwner(heir, "1", 0), QuotaOwner(heir, "2", 0)
    left = [name for name in count.names if name not in (count.last, count.first)] + [count.first]
    leaving = [count.first]
    followed.update_members(0, MembershipUpdate(5, members(count.early), previous_fencing_token=0))
    followed.update_members(SECOND, MembershipUpdate(9, members(count.names), previous_fencing_token=5))
    followed.update_members(
        SECOND + 300 * MS,
        MembershipUpdate(12, members(left), previous_fencing_token=9, terminating_proxies=leaving),
    )
    newest = MembershipUpdate(
        12,
        members(left),
        previous_fencing_token=9,
        previous_owners=count.names,
        earlier_owners=[count.early],
        terminating_proxies=leaving,
    )
    anew.update_members(SECOND + 300 * MS, newest)
    for one in (followed, anew):
        now = SECOND + 310 * MS
        assert one.predecessor(now, "t") == count.first
        assert not take(one, now).is_accepted
    now = SECOND + 320 * MS
    followed.on_hand_over_reply(
        now, wants(followed), count.old.answer_hand_over(now, wants(followed)), count.first
    )
    assert not take(count.old, now).is_accepted
    assert BURST - take(followed, now).total > 30


def test_a_restarted_process_hands_over_only_its_own_count(count: CountChangingHands) -> None:
    """Guards against the owner before it, which has not heard of the lists since (seed 30524)."""
    count.joined(SECOND)
    heir = owner_of("t", [name for name in count.early if name != count.first])
    one, unknowing = QuotaOwner(heir, "1", 0), QuotaOwner(count.last, "2", SECOND)
    one.update_members(0, MembershipUpdate(5, members(count.early), previous_fencing_token=0))
    one.update_members(SECOND, MembershipUpdate(9, members(count.names), previous_fencing_token=5))
    leaving = [count.last, count.first]
    one.update_members(
        SECOND + 300 * MS,
        MembershipUpdate(12, members(count.names), previous_fencing_token=9, terminating_proxies=leaving),
    )
    now = SECOND + 310 * MS
    assert one.predecessor(now, "t") == count.last
    one.on_hand_over_reply(now, wants(one), unknowing.answer_hand_over(now, wants(one)), count.last)
    assert one.predecessor(now, "t") == count.first
    assert not take(one, now).is_accepted
    one.on_hand_over_reply(now, wants(one), count.old.answer_hand_over(now, wants(one)), count.first)
    assert take(one, now).is_accepted
    assert not take(count.old, now).is_accepted


def test_a_hand_over_stands_under_a_list_older_than_the_new_owners(count: CountChangingHands) -> None:
    """Guards against an owner that hears of lists late, one after the other (seed 30136)."""
    take(count.old, SECOND - MS)
    count.joined(SECOND)
    now = SECOND + 5 * MS
    count.new.on_hand_over_reply(
        now, wants(count.new), count.old.answer_hand_over(now, wants(count.new)), count.first
    )
    assert take(count.new, now).is_accepted
    count.old.update_members(
        now,
        MembershipUpdate(8, members(count.early), previous_fencing_token=7, previous_owners=count.early),
    )
    assert not take(count.old, now).is_accepted
    count.old.update_members(now, MembershipUpdate(9, members(count.names), previous_fencing_token=8))
    assert not take(count.old, now).is_accepted


def test_no_hand_over_is_awaited_from_a_terminated_process(count: CountChangingHands) -> None:
    count.joined(SECOND)
    count.new.on_predecessor_terminated(SECOND, wants(count.new), count.first)
    assert take(count.new, SECOND + MS).is_accepted
    other = QuotaOwner(count.first, "2", 0)  # started anew, it knows of nothing
    assert other.answer_hand_over(SECOND, wants(count.new)) == rpc_messages.HandOverReply(False)
    departed = QuotaOwner(count.last, "1", 0)
    left = [name for name in count.names if name != count.first]
    departed.update_members(
        SECOND, MembershipUpdate(9, members(left), previous_fencing_token=5, previous_owners=count.early)
    )
    assert departed.predecessor(SECOND, "t") == ""


def test_a_proxy_shutting_down_owns_no_counts_while_others_remain(count: CountChangingHands) -> None:
    state_machine, watch = StateMachine(), Watch(SECOND, 0)
    watch.become_leader(0, 1, state_machine.state)

    def ask(name: str, now_us: int, leaving: bool = False) -> None:
        words = rpc_messages.WatchRequest(name, members(name)[name][0], "1", "z", 0, "", 0, 0,
                                          is_terminating=leaving)  # fmt: skip
        watch.reply_if_changed(now_us, words, state_machine.state, [])

    for name in count.names:
        ask(name, PROXY_LIST_INTERVAL_US)
    state_machine.apply(5, encode_command(watch.live_proxies(PROXY_LIST_INTERVAL_US, state_machine.state)))
    ask(count.last, 2 * PROXY_LIST_INTERVAL_US, leaving=True)
    order = watch.live_proxies(2 * PROXY_LIST_INTERVAL_US, state_machine.state)
    assert order == LiveProxies(members(count.names), [], [count.last])
    state_machine.apply(6, encode_command(order))
    state = state_machine.state
    assert (state.previous_fencing_token, state.previous_owners) == (5, count.names)
    owners = eligible_owners(state.live_proxies, state.proxies_with_controller, state.terminating_proxies)
    assert sorted(owners) == count.early
    assert sorted(eligible_owners(state.live_proxies, [], count.names)) == count.names
