"""Hand-over of a count to its new owner: by a reply, or by the previous owner's termination or lease expiry.

Until then the new owner grants no units, so that two proxies never grant units of the same count.
"""

import msgspec
import pytest

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller.commands import LiveProxies, encode_command
from lapisgrade.gateway.controller.proxy_list_feed import PROXY_LIST_INTERVAL_US
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, eligible_owners, owner_of

MS = 1_000
RATE, BURST = 10.0, 40.0
NEVER_EXPIRES_US = 1 << 60


def members(names, incarnations=None) -> dict[str, tuple[str, str, str]]:
    return {name: (f"10.0.0.{ord(name)}:1", (incarnations or {}).get(name, "1"), "z") for name in names}


def take_units(
    owner: QuotaOwner, now_us: int, units: float = 1.0, requester: str = "x"
) -> rpc_messages.QuotaReply:
    """Request units of the count of "t" under the owner's own membership, within its ownership lease."""
    request = rpc_messages.QuotaRequest("t", units, requester, owner.fencing_token, RATE, BURST)
    return owner.add(now_us, request, NEVER_EXPIRES_US)


def hand_over_request(owner: QuotaOwner) -> rpc_messages.HandOverRequest:
    """Return the request of a new owner for the count of "t"."""
    return rpc_messages.HandOverRequest("t", owner.name, owner.fencing_token, RATE, BURST, owner.incarnation)


class HandOverScenario:
    """The proxy `new_name` joins and becomes the owner of the count of "t" instead of `previous_name`.

    The previous owner has the membership without `new_name`, with fencing token 5. The one with it has 9.
    """

    def __init__(self) -> None:
        names = list("abcdef")
        self.new_name = owner_of("t", names)
        self.previous_members = [name for name in names if name != self.new_name]
        self.previous_name = owner_of("t", self.previous_members)
        self.names = names
        self.previous_owner = QuotaOwner(self.previous_name, "1", 0)
        self.previous_owner.update_members(
            0, MembershipUpdate(5, members(self.previous_members), previous_fencing_token=0)
        )
        self.new_owner = QuotaOwner(self.new_name, "1", 0)

    def apply_new_membership(self, now_us: int) -> None:
        """Deliver the new membership to the new owner only."""
        self.new_owner.update_members(
            now_us,
            MembershipUpdate(
                9, members(self.names), previous_fencing_token=5, previous_owners=self.previous_members
            ),
        )


@pytest.fixture
def scenario() -> HandOverScenario:
    return HandOverScenario()


def test_counts_start_full_under_the_first_membership(scenario: HandOverScenario) -> None:
    reply = take_units(scenario.previous_owner, 10 * MS)
    assert (reply.is_accepted, round(BURST - reply.total)) == (True, 39)


def test_counts_of_a_process_restarted_under_the_first_membership_start_empty(
    scenario: HandOverScenario,
) -> None:
    """Guards against a full burst per restart: the listed earlier incarnation may have granted one."""
    restarted = QuotaOwner(scenario.previous_name, "2", SECOND)
    restarted.update_members(
        SECOND, MembershipUpdate(5, members(scenario.previous_members), previous_fencing_token=0)
    )
    assert BURST - take_units(restarted, SECOND + 10 * MS).total < 1.0


def test_a_joining_owner_grants_nothing_before_the_hand_over_or_the_lease_expiry(
    scenario: HandOverScenario,
) -> None:
    """Guards against two active owners when the previous one is partitioned as another joins (seed 865)."""
    take_units(scenario.previous_owner, SECOND)
    scenario.apply_new_membership(2 * SECOND)
    assert scenario.new_owner.predecessor(2 * SECOND, "t") == scenario.previous_name
    accepted = [
        take_units(scenario.new_owner, 2 * SECOND + elapsed_us).is_accepted
        for elapsed_us in (0, SECOND, OWNERSHIP_LEASE_US - 1, OWNERSHIP_LEASE_US)
    ]
    assert accepted == [False, False, False, True]


def test_the_level_and_the_leases_are_handed_over(scenario: HandOverScenario) -> None:
    take_units(scenario.previous_owner, SECOND, 11.0)
    scenario.apply_new_membership(SECOND + 100 * MS)
    reply = scenario.previous_owner.answer_hand_over(SECOND + 101 * MS, hand_over_request(scenario.new_owner))
    assert (reply.must_wait, round(reply.count.level), round(reply.count.outstanding_grants)) == (
        False,
        30,
        10,
    )
    scenario.new_owner.on_hand_over_reply(
        SECOND + 102 * MS, hand_over_request(scenario.new_owner), reply, scenario.previous_name
    )
    assert round(BURST - take_units(scenario.new_owner, SECOND + 102 * MS).total) == 29
    # The ten outstanding units still reduce what can be granted.
    later = take_units(scenario.new_owner, SECOND + 102 * MS + 2 * SECOND, 0.0)
    assert BURST - later.total <= BURST - 10.0


def test_an_owner_that_handed_over_grants_nothing_before_the_new_membership_arrives(
    scenario: HandOverScenario,
) -> None:
    scenario.apply_new_membership(SECOND)
    assert take_units(scenario.previous_owner, SECOND).is_accepted
    assert not scenario.previous_owner.answer_hand_over(
        SECOND, hand_over_request(scenario.new_owner)
    ).must_wait
    assert not take_units(scenario.previous_owner, SECOND + MS).is_accepted
    # If the requester is faulty and that membership does not exist, the owner resumes after the lease time.
    assert take_units(scenario.previous_owner, SECOND + OWNERSHIP_LEASE_US).is_accepted


def test_a_repeated_hand_over_reply_creates_no_units(scenario: HandOverScenario) -> None:
    """Guards against units granted twice: a request is repeated if its reply was lost, or only late."""
    take_units(scenario.previous_owner, SECOND, 30.0)
    scenario.apply_new_membership(SECOND + MS)
    for is_updated in (False, True):
        if is_updated:
            scenario.previous_owner.update_members(
                SECOND + 3 * MS, MembershipUpdate(9, members(scenario.names), previous_fencing_token=5)
            )
        levels = [
            scenario.previous_owner.answer_hand_over(
                SECOND + 5 * MS, hand_over_request(scenario.new_owner)
            ).count.level
            for _ in range(2)
        ]
        assert [round(level) for level in levels] == [10, 10]
    reply = scenario.previous_owner.answer_hand_over(SECOND + 5 * MS, hand_over_request(scenario.new_owner))
    scenario.new_owner.on_hand_over_reply(
        SECOND + 6 * MS, hand_over_request(scenario.new_owner), reply, scenario.previous_name
    )
    take_units(scenario.new_owner, SECOND + 6 * MS, 5.0)
    scenario.new_owner.on_hand_over_reply(
        SECOND + 7 * MS, hand_over_request(scenario.new_owner), reply, scenario.previous_name
    )
    assert round(BURST - take_units(scenario.new_owner, SECOND + 7 * MS, 0.0).total) == 5


def test_a_count_is_handed_to_one_incarnation_of_its_owner(scenario: HandOverScenario) -> None:
    """Guards against handing out the same level again at each restart of the new owner (seed 1212)."""
    scenario.apply_new_membership(SECOND)
    scenario.new_owner.on_hand_over_reply(
        SECOND,
        hand_over_request(scenario.new_owner),
        scenario.previous_owner.answer_hand_over(SECOND, hand_over_request(scenario.new_owner)),
        scenario.previous_name,
    )
    take_units(scenario.new_owner, SECOND, 35.0)
    restarted = QuotaOwner(scenario.new_name, "2", 2 * SECOND)
    restarted.update_members(
        2 * SECOND,
        MembershipUpdate(
            9, members(scenario.names), previous_fencing_token=5, previous_owners=scenario.previous_members
        ),
    )
    assert restarted.predecessor(2 * SECOND, "t") == scenario.previous_name
    reply = scenario.previous_owner.answer_hand_over(2 * SECOND, hand_over_request(restarted))
    assert reply == rpc_messages.HandOverReply(False)
    restarted.on_hand_over_reply(2 * SECOND, hand_over_request(restarted), reply, scenario.previous_name)
    assert BURST - take_units(restarted, 2 * SECOND + 100 * MS, 0.0).total < 1.5


def test_without_a_hand_over_the_count_starts_empty_when_the_lease_expires(
    scenario: HandOverScenario,
) -> None:
    """Guards against granting units again that the previous owner may have granted within its lease."""
    scenario.apply_new_membership(SECOND)
    assert round(BURST - take_units(scenario.new_owner, SECOND + OWNERSHIP_LEASE_US, 0.0).total) == 0


def test_requests_with_an_outdated_membership_and_non_owners_hand_nothing_over(
    scenario: HandOverScenario,
) -> None:
    other = next(name for name in scenario.previous_members if name != scenario.previous_name)
    outdated_request = rpc_messages.HandOverRequest("t", other, 4, RATE, BURST)
    assert scenario.previous_owner.answer_hand_over(SECOND, outdated_request).must_wait
    assert scenario.previous_owner.answer_hand_over(
        SECOND, msgspec.structs.replace(outdated_request, fencing_token=5)
    ).must_wait
    other_owner = QuotaOwner(other, "1", 0)
    other_owner.update_members(
        0, MembershipUpdate(5, members(scenario.previous_members), previous_fencing_token=0)
    )
    scenario.apply_new_membership(SECOND)
    assert other_owner.answer_hand_over(SECOND, hand_over_request(scenario.new_owner)).must_wait
    assert take_units(scenario.previous_owner, SECOND).is_accepted


def test_an_owner_that_waits_for_its_predecessor_makes_its_successor_wait(scenario: HandOverScenario) -> None:
    """Guards against two active owners after two memberships in quick succession.

    The first owner is partitioned. The second one has not received the count when the third one asks for it.
    """
    scenario.apply_new_membership(SECOND)
    # The proxy that owned the count before the new owner owns it again, in a new process.
    returning_name = owner_of("t", [name for name in scenario.names if name != scenario.new_name])
    returning_owner = QuotaOwner(returning_name, "2", 0)
    newest = MembershipUpdate(
        12,
        members(scenario.names),
        previous_fencing_token=9,
        previous_owners=scenario.names,
        terminating_proxies=[scenario.new_name],
    )
    returning_owner.update_members(SECOND + 50 * MS, newest)
    scenario.new_owner.update_members(
        SECOND + 60 * MS,
        MembershipUpdate(
            12, members(scenario.names), previous_fencing_token=9, terminating_proxies=[scenario.new_name]
        ),
    )
    assert returning_owner.predecessor(SECOND + 60 * MS, "t") == scenario.new_name
    assert scenario.new_owner.answer_hand_over(SECOND + 60 * MS, hand_over_request(returning_owner)).must_wait


def test_the_owner_before_a_terminated_owner_must_hand_over(scenario: HandOverScenario) -> None:
    """Guards against an owner that missed the memberships since and still grants (seeds 20924 and 20976)."""
    take_units(scenario.previous_owner, SECOND - MS)
    # The new owner never receives the count and is missing from the next membership.
    scenario.apply_new_membership(SECOND)
    next_name = owner_of("t", [name for name in scenario.previous_members if name != scenario.previous_name])
    up_to_date, restarted = QuotaOwner(next_name, "1", 0), QuotaOwner(next_name, "2", 0)
    remaining = [
        name for name in scenario.names if name not in (scenario.new_name, scenario.previous_name)
    ] + [scenario.previous_name]
    terminating = [scenario.previous_name]
    up_to_date.update_members(
        0, MembershipUpdate(5, members(scenario.previous_members), previous_fencing_token=0)
    )
    up_to_date.update_members(SECOND, MembershipUpdate(9, members(scenario.names), previous_fencing_token=5))
    up_to_date.update_members(
        SECOND + 300 * MS,
        MembershipUpdate(12, members(remaining), previous_fencing_token=9, terminating_proxies=terminating),
    )
    newest = MembershipUpdate(
        12,
        members(remaining),
        previous_fencing_token=9,
        previous_owners=scenario.names,
        earlier_owners=[scenario.previous_members],
        terminating_proxies=terminating,
    )
    restarted.update_members(SECOND + 300 * MS, newest)
    for owner in (up_to_date, restarted):
        now_us = SECOND + 310 * MS
        assert owner.predecessor(now_us, "t") == scenario.previous_name
        assert not take_units(owner, now_us).is_accepted
    now_us = SECOND + 320 * MS
    up_to_date.on_hand_over_reply(
        now_us,
        hand_over_request(up_to_date),
        scenario.previous_owner.answer_hand_over(now_us, hand_over_request(up_to_date)),
        scenario.previous_name,
    )
    assert not take_units(scenario.previous_owner, now_us).is_accepted
    assert BURST - take_units(up_to_date, now_us).total > 30


def test_a_restarted_process_does_not_answer_for_earlier_owners(scenario: HandOverScenario) -> None:
    """Guards against a second active owner: an earlier one that missed the memberships since (seed 30524)."""
    scenario.apply_new_membership(SECOND)
    next_name = owner_of("t", [name for name in scenario.previous_members if name != scenario.previous_name])
    owner, restarted = QuotaOwner(next_name, "1", 0), QuotaOwner(scenario.new_name, "2", SECOND)
    owner.update_members(0, MembershipUpdate(5, members(scenario.previous_members), previous_fencing_token=0))
    owner.update_members(SECOND, MembershipUpdate(9, members(scenario.names), previous_fencing_token=5))
    terminating = [scenario.new_name, scenario.previous_name]
    owner.update_members(
        SECOND + 300 * MS,
        MembershipUpdate(
            12, members(scenario.names), previous_fencing_token=9, terminating_proxies=terminating
        ),
    )
    now_us = SECOND + 310 * MS
    assert owner.predecessor(now_us, "t") == scenario.new_name
    owner.on_hand_over_reply(
        now_us,
        hand_over_request(owner),
        restarted.answer_hand_over(now_us, hand_over_request(owner)),
        scenario.new_name,
    )
    assert owner.predecessor(now_us, "t") == scenario.previous_name
    assert not take_units(owner, now_us).is_accepted
    owner.on_hand_over_reply(
        now_us,
        hand_over_request(owner),
        scenario.previous_owner.answer_hand_over(now_us, hand_over_request(owner)),
        scenario.previous_name,
    )
    assert take_units(owner, now_us).is_accepted
    assert not take_units(scenario.previous_owner, now_us).is_accepted


def test_a_hand_over_holds_under_a_membership_older_than_the_new_owners(scenario: HandOverScenario) -> None:
    """Guards against a previous owner that grants again after it has handed over (seed 30136).

    It receives several memberships late, one after the other, and owns the count under an earlier one.
    """
    take_units(scenario.previous_owner, SECOND - MS)
    scenario.apply_new_membership(SECOND)
    now_us = SECOND + 5 * MS
    scenario.new_owner.on_hand_over_reply(
        now_us,
        hand_over_request(scenario.new_owner),
        scenario.previous_owner.answer_hand_over(now_us, hand_over_request(scenario.new_owner)),
        scenario.previous_name,
    )
    assert take_units(scenario.new_owner, now_us).is_accepted
    scenario.previous_owner.update_members(
        now_us,
        MembershipUpdate(
            8,
            members(scenario.previous_members),
            previous_fencing_token=7,
            previous_owners=scenario.previous_members,
        ),
    )
    assert not take_units(scenario.previous_owner, now_us).is_accepted
    scenario.previous_owner.update_members(
        now_us, MembershipUpdate(9, members(scenario.names), previous_fencing_token=8)
    )
    assert not take_units(scenario.previous_owner, now_us).is_accepted


def test_no_hand_over_is_required_from_a_terminated_process(scenario: HandOverScenario) -> None:
    scenario.apply_new_membership(SECOND)
    scenario.new_owner.on_predecessor_terminated(
        SECOND, hand_over_request(scenario.new_owner), scenario.previous_name
    )
    assert take_units(scenario.new_owner, SECOND + MS).is_accepted
    restarted = QuotaOwner(scenario.previous_name, "2", 0)  # has not received a membership yet
    assert restarted.answer_hand_over(
        SECOND, hand_over_request(scenario.new_owner)
    ) == rpc_messages.HandOverReply(False)
    successor = QuotaOwner(scenario.new_name, "1", 0)
    remaining = [name for name in scenario.names if name != scenario.previous_name]
    successor.update_members(
        SECOND,
        MembershipUpdate(
            9, members(remaining), previous_fencing_token=5, previous_owners=scenario.previous_members
        ),
    )
    assert successor.predecessor(SECOND, "t") == ""


def test_a_terminating_proxy_owns_no_counts_while_others_remain(scenario: HandOverScenario) -> None:
    state_machine, watch = StateMachine(), Watch(SECOND, 0)
    watch.become_leader(0, 1, state_machine.state)

    def send_watch_request(name: str, now_us: int, is_terminating: bool = False) -> None:
        request = rpc_messages.WatchRequest(name, members(name)[name][0], "1", "z", 0, "", 0, 0,
                                            is_terminating=is_terminating)  # fmt: skip
        watch.reply_if_changed(now_us, request, state_machine.state, [])

    for name in scenario.names:
        send_watch_request(name, PROXY_LIST_INTERVAL_US)
    state_machine.apply(5, encode_command(watch.live_proxies(PROXY_LIST_INTERVAL_US, state_machine.state)))
    send_watch_request(scenario.new_name, 2 * PROXY_LIST_INTERVAL_US, is_terminating=True)
    command = watch.live_proxies(2 * PROXY_LIST_INTERVAL_US, state_machine.state)
    assert command == LiveProxies(members(scenario.names), [], [scenario.new_name])
    state_machine.apply(6, encode_command(command))
    state = state_machine.state
    assert (state.previous_fencing_token, state.previous_owners) == (5, scenario.names)
    owners = eligible_owners(state.live_proxies, state.proxies_with_controller, state.terminating_proxies)
    assert sorted(owners) == scenario.previous_members
    assert sorted(eligible_owners(state.live_proxies, [], scenario.names)) == scenario.names
