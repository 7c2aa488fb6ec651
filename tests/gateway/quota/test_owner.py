"""The owner of a count: for whom it adds units, and from when on."""

import msgspec
from support.quota_simulation import SECOND, live_proxies

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, owner_of


def test_a_machine_with_a_controller_owns_no_count_while_others_can():
    names = [f"c{number}" for number in range(6)]
    for tenant in ("t", "u", "v", "w"):
        for core in (names[:3], names):
            owners_found = []
            for name in names:
                one = QuotaOwner(name)
                one.update_members(0, MembershipUpdate(1, live_proxies(names), core))
                owners_found += [name] if one.owns(tenant) else []
            assert len(owners_found) == 1
            assert owners_found[0] not in core or core == names


def test_a_restarted_owner_inherits_its_count_from_the_first_member_list():
    mine, names = owner_of("t", live_proxies("abc")), "abc"
    for own, first, since in (("1", {mine: 0}, 3), ("1", {mine: 1}, 5), ("", {}, 5)):
        one = QuotaOwner(mine, own, 3)
        one.update_members(5, MembershipUpdate(1, live_proxies(names, first)))
        one.update_members(6, MembershipUpdate(2, live_proxies(names, {mine: 1})))
        assert one.ownership.exclusive_since("t", one.ownership.epochs, None) == since
    one = QuotaOwner(mine, "1", 3)  # somebody else held it meanwhile
    one.update_members(5, MembershipUpdate(1, live_proxies([each for each in names if each != mine])))
    one.update_members(6, MembershipUpdate(2, live_proxies(names, {mine: 0})))
    assert (
        one.ownership.exclusive_since("t", one.ownership.epochs, None) == 6 + OWNERSHIP_LEASE_US
    )  # and may have granted until its time was over


def test_an_owner_that_missed_a_member_list_starts_anew():
    """Guards against an owner that was cut off, and grants what its count has filled up with while
    another one granted."""
    names = ["a", "b", "c"]
    mine = owner_of("t", live_proxies(names))
    ask = rpc_messages.QuotaRequest("t", 1.0, "x", 5, 60.0, 60.0)
    for prior, total in ((5, 1.0), (6, 60.0)):
        one = QuotaOwner(mine)
        one.update_members(0, MembershipUpdate(5, live_proxies(names), previous_fencing_token=4))
        one.add(SECOND, ask, 99 * SECOND)
        one.update_members(9 * SECOND, MembershipUpdate(7, live_proxies(names), previous_fencing_token=prior))
        later_total = one.add(9 * SECOND, msgspec.structs.replace(ask, fencing_token=7), 99 * SECOND).total
        assert later_total >= total, f"after {prior}"
        assert later_total < total + 1.5


def test_only_units_granted_by_the_previous_call_are_returned():
    names = ["a", "b", "c"]
    one = QuotaOwner(owner_of("t", live_proxies(names)))
    one.update_members(0, MembershipUpdate(5, live_proxies(names)))

    def room(now: float, units: float, back: float = 0.0, turn: int = 1, of: int = 0) -> float:
        ask = rpc_messages.QuotaRequest("t", units, "x", 5, 1.0, 60.0, back, turn, of)
        return round(60.0 - one.add(int(now * SECOND), ask, 1 << 60).total, 1)

    assert room(40, 10, turn=1) == 30.0
    assert room(40, 0, 6, turn=2, of=1) == 36.0
    assert room(40, 0, 6, turn=3, of=1) == 36.0  # told again
    assert room(40, 0, 6, turn=4, of=3) == 40.0  # four are left of the ten
    assert room(40, 0, 6, turn=5, of=4) == 40.0
    assert room(40, 0, 50, turn=6, of=9) == 40.0  # another owner's, or one that was lost
    assert room(40, -50, turn=7) == 40.0


def test_an_owner_grants_by_its_own_member_list_and_lease_whatever_the_callers():
    names = ["a", "b", "c"]
    mine = owner_of("t", live_proxies(names))
    others = live_proxies([name for name in names if name != mine])
    one = QuotaOwner(mine)
    fences = (4, 5, 6)  # the asker's: an earlier list, the same, a later one

    def accepted(now_us: int, acts_until_us: int) -> list[bool]:
        asks = [rpc_messages.QuotaRequest("t", 1.0, "a", fence, 60.0, 60.0) for fence in fences]
        return [one.add(now_us, ask, acts_until_us).is_accepted for ask in asks]

    assert accepted(0, SECOND) == [False] * 3  # it has no list
    one.update_members(0, MembershipUpdate(5, live_proxies(names)))
    assert accepted(SECOND, 2 * SECOND) == [True] * 3
    no_list = rpc_messages.QuotaRequest("t", 1.0, "a", 0, 60.0, 60.0)
    assert not one.add(SECOND, no_list, 2 * SECOND).is_accepted
    assert accepted(3 * SECOND, 2 * SECOND) == [False] * 3  # out of touch
    one.update_members(3 * SECOND, MembershipUpdate(6, others))
    assert accepted(3 * SECOND, 9 * SECOND) == [False] * 3  # another owns it
    assert one.counts.by_tenant == {}
    one.update_members(4 * SECOND, MembershipUpdate(7, live_proxies(names)))
    assert accepted(4 * SECOND, 9 * SECOND) == [False] * 3  # that one may add still
    assert accepted(4 * SECOND + OWNERSHIP_LEASE_US, 9 * SECOND) == [True] * 3


def test_an_owner_that_handed_over_grants_nothing_to_callers_on_its_list():
    names = ["a", "b", "c"]
    mine = owner_of("t", live_proxies(names))
    early = [name for name in names if name != mine]
    old = QuotaOwner(owner_of("t", live_proxies(early)))
    old.update_members(0, MembershipUpdate(5, live_proxies(early), previous_fencing_token=0))
    ask = rpc_messages.QuotaRequest("t", 1.0, "x", 5, 60.0, 60.0)
    assert old.add(SECOND, ask, 9 * SECOND).is_accepted
    wants = rpc_messages.HandOverRequest("t", mine, 9, 60.0, 60.0, "1")
    assert not old.answer_hand_over(SECOND, wants).must_wait
    assert not old.add(SECOND, ask, 9 * SECOND).is_accepted
    old.update_members(SECOND, MembershipUpdate(9, live_proxies(names), previous_fencing_token=5))
    assert not old.add(SECOND, ask, 9 * SECOND).is_accepted
