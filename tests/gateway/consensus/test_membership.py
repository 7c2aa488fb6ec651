"""Voter changes: which are proposed, and which are refused because they are unsafe."""

from itertools import combinations, product

from support.consensus_nodes import NOW_US

from lapisgrade.gateway.consensus import membership
from lapisgrade.gateway.consensus.membership import (
    DISPLACED_AFTER_US,
    UNRESPONSIVE_AFTER_US,
    ClusterView,
    PeerStatus,
    next_voters,
)


def make_view(size: int, **peers) -> ClusterView:
    """Return the view of leader `a` with `size` voters, all live and caught up; `peers` are further nodes."""
    names = "abcdefgh"[:size]
    voters = {name: f"10.0.0.{i}:1" for i, name in enumerate(names, 1)}
    statuses = {name: PeerStatus(address, 7, NOW_US) for name, address in voters.items() if name != "a"}
    statuses.update(peers)
    return ClusterView(NOW_US, "a", voters["a"], voters, statuses, set(), 7, 7)


def test_after_every_change_a_majority_of_the_voters_is_live_and_caught_up() -> None:
    """Checks all combinations of the other nodes' states, with and without learners."""
    states = {
        "caught-up": (7, NOW_US),
        "behind": (3, NOW_US),
        "unresponsive": (7, NOW_US - UNRESPONSIVE_AFTER_US - 1),
    }
    changes = 0
    for size, learner_count in product((1, 2, 3, 4, 5, 6), (0, 1, 2)):
        for combination in product(states, repeat=size - 1 + learner_count):
            view = make_view(size)
            names = [*list(view.voters)[1:], *"xy"[:learner_count]]
            for name, state in zip(names, combination, strict=True):
                match_index, last_contact_us = states[state]
                address = view.voters.get(name, f"10.0.9.{ord(name)}:1")
                view.peers[name] = PeerStatus(address, match_index, last_contact_us)
            voters = next_voters(view)
            if voters is None:
                continue
            changes += 1
            ready = {"a"} | {
                name for name, peer_state in zip(names, combination, strict=True) if peer_state == "caught-up"
            }
            assert 2 * len(ready & set(voters)) > len(voters), (size, combination, voters)
            assert len(set(voters) ^ set(view.voters)) <= 1
    assert changes > 100


def test_majorities_before_and_after_a_change_share_a_voter() -> None:
    for size in (1, 2, 3, 4, 5, 6, 8):
        before = "abcdefgh"[:size]
        for after in (before[:-1], before + "z"):
            if not after:
                continue
            majorities_before = combinations(before, size // 2 + 1)
            majorities_after = list(combinations(after, len(after) // 2 + 1))
            assert all(set(one) & set(other) for one in majorities_before for other in majorities_after)


def test_a_voter_is_removed_once_a_new_disk_uses_its_address() -> None:
    view = make_view(3, z=PeerStatus("10.0.0.2:1", 0, NOW_US))
    view.peers["b"].last_contact_us = NOW_US - DISPLACED_AFTER_US - 1
    assert set(next_voters(view)) == {"a", "c"}


def test_a_late_message_of_an_earlier_disk_displaces_no_voter() -> None:
    view = make_view(3, z=PeerStatus("10.0.0.2:1", 0, NOW_US))
    view.peers["b"].last_contact_us = NOW_US - DISPLACED_AFTER_US // 2  # replies to every heartbeat
    assert next_voters(view) is None


def test_an_unresponsive_voter_is_removed_only_if_a_learner_can_replace_it() -> None:
    view = make_view(3)
    view.peers["b"].last_contact_us = NOW_US - UNRESPONSIVE_AFTER_US - 1
    assert next_voters(view) is None
    view.peers["z"] = PeerStatus("10.0.0.9:1", 7, NOW_US)
    assert set(next_voters(view)) == {"a", "c"}


def test_a_leaving_voter_is_removed_if_at_least_three_voters_remain() -> None:
    for size, is_removed in ((3, False), (4, True), (5, True)):
        view = make_view(size)
        view.leaving.add("b")
        after = next_voters(view)
        assert (after is not None and "b" not in after) == is_removed


def test_a_leaving_node_is_not_added_as_a_voter() -> None:
    view = make_view(3, z=PeerStatus("10.0.0.9:1", 7, NOW_US))
    view.leaving.add("z")
    assert next_voters(view) is None


def test_a_change_without_a_caught_up_majority_is_refused() -> None:
    view = make_view(3, z=PeerStatus("10.0.0.9:1", 7, NOW_US))
    view.peers["b"].last_contact_us = NOW_US - UNRESPONSIVE_AFTER_US - 1
    view.peers["c"].match_index = 3
    assert next_voters(view) is None
    assert set(membership.desired_voters(view)) == {"a", "c"}
