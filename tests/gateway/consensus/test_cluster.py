"""A cluster of consensus nodes in simulated time: elections, joins and snapshots after faults."""

from unittest import mock

from lapisgrade.gateway.consensus import compaction
from lapisgrade.lab.explore.cluster import Cluster


def test_nodes_killed_together_elect_a_leader_immediately_after_their_restart():
    """A restarted voter on whose replies a lease may rest grants no vote while another is unreachable."""
    cluster = Cluster(5)
    cluster.run(2)
    for each in "abc":
        cluster.kill(each)
    for each in "abc":
        cluster.start(each)
    cluster.run(0.3)
    assert cluster.leader()
    old_leader = cluster.leader()
    others = [each for each in "abc" if each != old_leader]
    cluster.blocked_links = {(old_leader, others[0]), (others[0], old_leader)}
    cluster.run(0.3)  # the leader's lease now rests on others[1] alone
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


def test_a_node_with_an_empty_disk_does_not_vote_before_it_is_a_voter():
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
    assert cluster.leader() == ""  # with two of three disks lost, no node may become leader


def test_a_lost_voter_is_replaced_by_a_node_with_an_empty_disk_and_may_rejoin():
    cluster = Cluster(2)
    cluster.run(2)
    cluster.propose(b"x")
    cluster.run(0.1)
    lost = next(name for name in "abc" if name != cluster.leader())
    cluster.kill(lost)
    cluster.start("d", identity="new")
    cluster.run(4)
    voters = cluster.nodes[cluster.leader()].voters
    assert sorted(voters) == sorted({*"abc"} - {lost} | {"new"})
    cluster.start(lost)
    cluster.run(3)
    assert cluster.nodes[cluster.leader()].term in cluster.leaders
    assert lost in cluster.nodes[cluster.leader()].voters


def test_a_leader_that_shuts_down_gracefully_transfers_leadership_immediately():
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


def test_a_leader_that_shuts_down_with_an_entry_in_flight_transfers_leadership():
    cluster = Cluster(6)
    cluster.run(2)
    old = cluster.leader()
    cluster.propose(b"x")  # no other voter has it yet
    cluster.nodes[old].step_down()
    cluster.carry_out_effects(old)
    cluster.run(0.1)  # far below the minimum election time-out
    assert cluster.leader() not in ("", old)
    assert b"x" in cluster.acknowledged


def test_a_leader_that_shuts_down_accepts_no_proposals():
    cluster = Cluster(6)
    cluster.run(2)
    old = cluster.leader()
    cluster.propose(b"x")
    cluster.nodes[old].step_down()
    assert cluster.nodes[old].propose(b"y") is None


def test_a_leader_that_shuts_down_without_a_successor_steps_down():
    cluster = Cluster(6)
    cluster.run(2)
    old = cluster.leader()
    cluster.blocked_links = {(old, each) for each in "abc" if each != old}
    cluster.propose(b"x")
    cluster.nodes[old].step_down()
    cluster.run(0.6)
    assert not cluster.nodes[old].is_leader


def test_a_leader_without_contact_to_any_voter_steps_down():
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
        lagging = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(lagging)
        for number in range(30):
            cluster.propose(b"%d" % number)
            cluster.run(0.02)
        assert cluster.nodes[cluster.leader()].log.snapshot_index > 8
        cluster.start(lagging)
        cluster.run(3)
        assert cluster.nodes[lagging].commit_index == cluster.nodes[cluster.leader()].commit_index
