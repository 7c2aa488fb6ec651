"""Changes of the voters: what is proposed, and what is refused for safety."""

from itertools import combinations, product

from support.consensus_nodes import NOW

from lapisgrade.gateway.consensus import membership
from lapisgrade.gateway.consensus.membership import (
    DISPLACED_AFTER_US,
    UNRESPONSIVE_AFTER_US,
    ClusterView,
    PeerStatus,
    next_voters,
)


def make_group(size: int, **peers) -> ClusterView:
    names = "abcdefgh"[:size]
    voters = {name: f"10.0.0.{i}:1" for i, name in enumerate(names, 1)}
    known = {name: PeerStatus(address, 7, NOW) for name, address in voters.items() if name != "a"}
    known.update(peers)
    return ClusterView(NOW, "a", voters["a"], voters, known, set(), 7, 7)


def test_no_change_leaves_fewer_caught_up_members_than_a_majority() -> None:
    """Every mix of states of the others, with and without new ones."""
    states = {
        "well": (7, NOW),
        "behind": (3, NOW),
        "silent": (7, NOW - UNRESPONSIVE_AFTER_US - 1),
    }
    made = 0
    for size, newcomers in product((1, 2, 3, 4, 5, 6), (0, 1, 2)):
        for mix in product(states, repeat=size - 1 + newcomers):
            group = make_group(size)
            names = [*list(group.voters)[1:], *"xy"[:newcomers]]
            for name, state in zip(names, mix, strict=True):
                match, heard = states[state]
                address = group.voters.get(name, f"10.0.9.{ord(name)}:1")
                group.peers[name] = PeerStatus(address, match, heard)
            voters = next_voters(group)
            if voters is None:
                continue
            made += 1
            ready = {"a"} | {name for name, each in zip(names, mix, strict=True) if each == "well"}
            assert 2 * len(ready & set(voters)) > len(voters), (size, mix, voters)
            assert len(set(voters) ^ set(group.voters)) <= 1
    assert made > 100


def test_majorities_before_and_after_a_change_share_a_member() -> None:
    for size in (1, 2, 3, 4, 5, 6, 8):
        before = "abcdefgh"[:size]
        for after in (before[:-1], before + "z"):
            if not after:
                continue
            some = combinations(before, size // 2 + 1)
            others = list(combinations(after, len(after) // 2 + 1))
            assert all(set(one) & set(other) for one in some for other in others)


def test_a_replaced_disk_at_a_voters_address_takes_the_voters_place() -> None:
    group = make_group(3, z=PeerStatus("10.0.0.2:1", 0, NOW))
    group.peers["b"].last_contact_us = NOW - DISPLACED_AFTER_US - 1
    assert set(next_voters(group)) == {"a", "c"}


def test_a_late_message_of_an_earlier_disk_displaces_nobody() -> None:
    group = make_group(3, z=PeerStatus("10.0.0.2:1", 0, NOW))
    group.peers["b"].last_contact_us = NOW - DISPLACED_AFTER_US // 2  # it speaks every heartbeat
    assert next_voters(group) is None


def test_an_unresponsive_voter_is_replaced_only_by_a_node_that_asks_to_join() -> None:
    group = make_group(3)
    group.peers["b"].last_contact_us = NOW - UNRESPONSIVE_AFTER_US - 1
    assert next_voters(group) is None
    group.peers["z"] = PeerStatus("10.0.0.9:1", 7, NOW)
    assert set(next_voters(group)) == {"a", "c"}


def test_a_leaving_voter_is_removed_where_three_remain() -> None:
    for size, goes in ((3, False), (4, True), (5, True)):
        group = make_group(size)
        group.leaving.add("b")
        after = next_voters(group)
        assert (after is not None and "b" not in after) == goes


def test_a_leaving_node_is_not_added() -> None:
    group = make_group(3, z=PeerStatus("10.0.0.9:1", 7, NOW))
    group.leaving.add("z")
    assert next_voters(group) is None


def test_an_unsafe_change_is_refused_by_the_majority_rule() -> None:
    group = make_group(3, z=PeerStatus("10.0.0.9:1", 7, NOW))
    group.peers["b"].last_contact_us = NOW - UNRESPONSIVE_AFTER_US - 1
    group.peers["c"].match_index = 3
    assert next_voters(group) is None
    assert set(membership.desired_voters(group)) == {"a", "c"}
