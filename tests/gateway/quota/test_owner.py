"""The owner of a count: which requests it accepts, and since when it may grant units."""

import msgspec
from support.quota_simulation import SECOND, live_proxies

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, owner_of


def test_a_proxy_with_a_controller_owns_no_count_while_others_can():
    names = [f"c{number}" for number in range(6)]
    for tenant in ("t", "u", "v", "w"):
        for proxies_with_controller in (names[:3], names):
            owner_names = []
            for name in names:
                owner = QuotaOwner(name)
                owner.update_members(0, MembershipUpdate(1, live_proxies(names), proxies_with_controller))
                owner_names += [name] if owner.owns(tenant) else []
            assert len(owner_names) == 1
            assert owner_names[0] not in proxies_with_controller or proxies_with_controller == names


def test_a_restarted_owner_has_the_refill_since_its_start_if_the_first_membership_lists_it():
    owner_name, names = owner_of("t", live_proxies("abc")), "abc"
    for incarnation, listed_incarnations, expected_us in (
        ("1", {owner_name: 0}, 3),
        ("1", {owner_name: 1}, 5),
        ("", {}, 5),
    ):
        owner = QuotaOwner(owner_name, incarnation, 3)
        owner.update_members(5, MembershipUpdate(1, live_proxies(names, listed_incarnations)))
        owner.update_members(6, MembershipUpdate(2, live_proxies(names, {owner_name: 1})))
        assert owner.ownership.exclusive_since("t", owner.ownership.epochs, None) == expected_us
    owner = QuotaOwner(owner_name, "1", 3)  # another proxy owned the count in between
    owner.update_members(5, MembershipUpdate(1, live_proxies([each for each in names if each != owner_name])))
    owner.update_members(6, MembershipUpdate(2, live_proxies(names, {owner_name: 0})))
    assert (
        owner.ownership.exclusive_since("t", owner.ownership.epochs, None) == 6 + OWNERSHIP_LEASE_US
    )  # the other proxy may have granted units until its lease expired


def test_counts_of_an_owner_that_missed_a_membership_start_empty():
    """Guards against a partitioned owner whose count refills while another proxy grants units of it."""
    names = ["a", "b", "c"]
    owner_name = owner_of("t", live_proxies(names))
    request = rpc_messages.QuotaRequest("t", 1.0, "x", 5, 60.0, 60.0)
    for previous_fencing_token, min_total in ((5, 1.0), (6, 60.0)):
        owner = QuotaOwner(owner_name)
        owner.update_members(0, MembershipUpdate(5, live_proxies(names), previous_fencing_token=4))
        owner.add(SECOND, request, 99 * SECOND)
        owner.update_members(
            9 * SECOND,
            MembershipUpdate(7, live_proxies(names), previous_fencing_token=previous_fencing_token),
        )
        later_total = owner.add(
            9 * SECOND, msgspec.structs.replace(request, fencing_token=7), 99 * SECOND
        ).total
        assert later_total >= min_total, f"previous fencing token {previous_fencing_token}"
        assert later_total < min_total + 1.5


def test_only_units_granted_by_the_previous_request_are_returned():
    names = ["a", "b", "c"]
    owner = QuotaOwner(owner_of("t", live_proxies(names)))
    owner.update_members(0, MembershipUpdate(5, live_proxies(names)))

    def available_units(
        now_s: float,
        units: float,
        returned_units: float = 0.0,
        sequence_number: int = 1,
        returned_from: int = 0,
    ) -> float:
        request = rpc_messages.QuotaRequest(
            "t", units, "x", 5, 1.0, 60.0, returned_units, sequence_number, returned_from
        )
        return round(60.0 - owner.add(int(now_s * SECOND), request, 1 << 60).total, 1)

    assert available_units(40, 10, sequence_number=1) == 30.0
    assert available_units(40, 0, 6, sequence_number=2, returned_from=1) == 36.0
    # Repeated return: request 1 is no longer the client's previous request.
    assert available_units(40, 0, 6, sequence_number=3, returned_from=1) == 36.0
    # Only four of the ten units are still returnable.
    assert available_units(40, 0, 6, sequence_number=4, returned_from=3) == 40.0
    assert available_units(40, 0, 6, sequence_number=5, returned_from=4) == 40.0
    # Units of request 9, which another owner granted or which never arrived here.
    assert available_units(40, 0, 50, sequence_number=6, returned_from=9) == 40.0
    assert available_units(40, -50, sequence_number=7) == 40.0


def test_an_owner_grants_under_its_own_membership_and_lease_whatever_the_requesters():
    names = ["a", "b", "c"]
    owner_name = owner_of("t", live_proxies(names))
    others = live_proxies([name for name in names if name != owner_name])
    owner = QuotaOwner(owner_name)
    fencing_tokens = (4, 5, 6)  # an earlier membership, the owner's, and a later one

    def accepted(now_us: int, lease_expires_us: int) -> list[bool]:
        requests = [
            rpc_messages.QuotaRequest("t", 1.0, "a", fencing_token, 60.0, 60.0)
            for fencing_token in fencing_tokens
        ]
        return [owner.add(now_us, request, lease_expires_us).is_accepted for request in requests]

    assert accepted(0, SECOND) == [False] * 3  # no membership yet
    owner.update_members(0, MembershipUpdate(5, live_proxies(names)))
    assert accepted(SECOND, 2 * SECOND) == [True] * 3
    without_membership = rpc_messages.QuotaRequest("t", 1.0, "a", 0, 60.0, 60.0)
    assert not owner.add(SECOND, without_membership, 2 * SECOND).is_accepted
    assert accepted(3 * SECOND, 2 * SECOND) == [False] * 3  # the lease has expired
    owner.update_members(3 * SECOND, MembershipUpdate(6, others))
    assert accepted(3 * SECOND, 9 * SECOND) == [False] * 3  # another proxy owns the count
    assert owner.counts.by_tenant == {}
    owner.update_members(4 * SECOND, MembershipUpdate(7, live_proxies(names)))
    assert accepted(4 * SECOND, 9 * SECOND) == [False] * 3  # that proxy may still grant units
    assert accepted(4 * SECOND + OWNERSHIP_LEASE_US, 9 * SECOND) == [True] * 3


def test_an_owner_that_handed_over_rejects_requests_under_its_old_membership():
    names = ["a", "b", "c"]
    new_owner_name = owner_of("t", live_proxies(names))
    previous_members = [name for name in names if name != new_owner_name]
    previous_owner = QuotaOwner(owner_of("t", live_proxies(previous_members)))
    previous_owner.update_members(
        0, MembershipUpdate(5, live_proxies(previous_members), previous_fencing_token=0)
    )
    request = rpc_messages.QuotaRequest("t", 1.0, "x", 5, 60.0, 60.0)
    assert previous_owner.add(SECOND, request, 9 * SECOND).is_accepted
    hand_over_request = rpc_messages.HandOverRequest("t", new_owner_name, 9, 60.0, 60.0, "1")
    assert not previous_owner.answer_hand_over(SECOND, hand_over_request).must_wait
    assert not previous_owner.add(SECOND, request, 9 * SECOND).is_accepted
    previous_owner.update_members(SECOND, MembershipUpdate(9, live_proxies(names), previous_fencing_token=5))
    assert not previous_owner.add(SECOND, request, 9 * SECOND).is_accepted
