"""A cluster of consensus nodes in simulated time: elections, joins and snapshots after kills and cuts."""

from unittest import mock

from lapisgrade.gateway.consensus import compaction
from lapisgrade.lab.explore.cluster import Cluster


def test_nodes_killed_together_elect_a_leader_at_once_after_their_restart():
    """And one whose earlier life may hold up a lease does not vote while a voter is not heard."""
    cluster = Cluster(5)
    cluster.run(2)
    for each in "abc":
        cluster.kill(each)
    for each in "abc":
        cluster.start(each)
    cluster.run(0.3)
    assert cluster.leader()
    old = cluster.leader()
    others = [each for each in "abc" if each != old]
    cluster.blocked_links = {(old, others[0]), (others[0], old)}
    cluster.run(0.3)  # the leader's lease now rests on the other one alone
    cluster.kill(others[1])
    cluster.start(others[1])
    for _ in range(20):
        cluster.run(0.02)
        leased = [
            each
            for each, controller in cluster.nodes.items()
            if controller.is_leader and controller.has_lease()
        ]
        assert len(leased) <= 1


def test_an_empty_disk_does_not_vote_before_it_is_a_member():
    cluster = Cluster(1)
    cluster.run(2)
    cluster.propose(b"x")
    cluster.run(0.1)
    holder = next(name for name in "abc" if name != cluster.leader())
    for each in "abc":
        cluster.kill(each, wipe=each != holder)
    for each in "abc":
        cluster.start(each, identity=f"{each}new")
    cluster.run(5)
    assert cluster.leader() == ""  # two of three disks are lost: nobody may pretend to know


def test_a_lost_node_is_replaced_by_an_empty_one_and_may_come_back():
    cluster = Cluster(2)
    cluster.run(2)
    cluster.propose(b"x")
    cluster.run(0.1)
    gone = next(name for name in "abc" if name != cluster.leader())
    cluster.kill(gone)
    cluster.start("d", identity="new")
    cluster.run(4)
    voters = cluster.nodes[cluster.leader()].voters
    assert sorted(voters) == sorted({*"abc"} - {gone} | {"new"})
    cluster.start(gone)
    cluster.run(3)
    assert cluster.nodes[cluster.leader()].term in cluster.leaders
    assert gone in cluster.nodes[cluster.leader()].voters


def test_a_leader_that_shuts_down_gracefully_transfers_leadership_at_once():
    cluster = Cluster(6)
    cluster.run(2)
    cluster.propose(b"x")
    cluster.run(0.2)
    old = cluster.leader()
    cluster.nodes[old].step_down()
    cluster.carry_out_effects(old)
    assert not cluster.nodes[old].is_leader
    cluster.run(0.06)
    assert cluster.leader() not in ("", old)
    cluster.propose(b"y")
    cluster.run(0.2)
    assert b"y" in cluster.acknowledged


def test_a_leader_that_shuts_down_with_an_entry_in_flight_transfers_leadership_too():
    cluster = Cluster(6)
    cluster.run(2)
    old = cluster.leader()
    cluster.propose(b"x")  # no other voter has it yet
    cluster.nodes[old].step_down()
    cluster.carry_out_effects(old)
    cluster.run(0.1)  # far below the least election time-out
    assert cluster.leader() not in ("", old)
    assert b"x" in cluster.acknowledged


def test_a_leader_that_shuts_down_proposes_nothing_more():
    cluster = Cluster(6)
    cluster.run(2)
    old = cluster.leader()
    cluster.propose(b"x")
    cluster.nodes[old].step_down()
    assert cluster.nodes[old].propose(b"y") is None


def test_a_leader_that_shuts_down_without_a_successor_steps_down_all_the_same():
    cluster = Cluster(6)
    cluster.run(2)
    old = cluster.leader()
    cluster.blocked_links = {(old, each) for each in "abc" if each != old}
    cluster.propose(b"x")
    cluster.nodes[old].step_down()
    cluster.run(0.6)
    assert not cluster.nodes[old].is_leader


def test_a_leader_that_reaches_nobody_steps_down():
    cluster = Cluster(3)
    cluster.run(2)
    old = cluster.leader()
    cluster.blocked_links = {(old, each) for each in "abc" if each != old}
    cluster.run(0.6)
    assert not cluster.nodes[old].has_lease()
    cluster.run(1.5)
    assert not cluster.nodes[old].is_leader
    assert cluster.leader() not in ("", old)


def test_a_snapshot_reaches_a_node_that_lacks_the_entries():
    with mock.patch.object(compaction, "MAX_LOG_ENTRIES", 8):
        cluster = Cluster(4)
        cluster.run(2)
        away = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(away)
        for number in range(30):
            cluster.propose(b"%d" % number)
            cluster.run(0.02)
        assert cluster.nodes[cluster.leader()].log.snapshot_index > 8
        cluster.start(away)
        cluster.run(3)
        assert cluster.nodes[away].commit_index == cluster.nodes[cluster.leader()].commit_index
