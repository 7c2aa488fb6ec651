"""A cluster of consensus nodes in simulated time: elections, joins and snapshots after faults."""

from unittest import mock

from lapisgrade.gateway.consensus import compaction
from lapisgrade.lab.explore.cluster import Cluster


def test_nodes_killed_together_elect_a_leader_immediately_after_their_restart():
    """A restarted voter on whose replies a lease may rest grants no vote while another one is unreachable."""
    cluster = Cluster(5)
    cluster.run(2)
    for name in "abc":
        cluster.kill(name)
    for name in "abc":
        cluster.start(name)
    cluster.run(0.3)
    assert cluster.leader()
    old_leader = cluster.leader()
    others = [name for name in "abc" if name != old_leader]
    cluster.blocked_links = {(old_leader, others[0]), (others[0], old_leader)}
    cluster.run(0.3)  # the leader's lease now rests on others[1] alone
    cluster.kill(others[1])
    cluster.start(others[1])
    for _ in range(20):
        cluster.run(0.02)
        lease_holders = [name for name, node in cluster.nodes.items() if node.is_leader and node.has_lease()]
        assert len(lease_holders) <= 1


def test_a_node_with_an_empty_disk_does_not_vote_before_it_is_a_voter():
    cluster = Cluster(1)
    cluster.run(2)
    cluster.propose(b"x")
    cluster.run(0.1)
    survivor = next(name for name in "abc" if name != cluster.leader())
    for node_name in "abc":
        cluster.kill(node_name, wipe=node_name != survivor)
    for node_name in "abc":
        cluster.start(node_name, identity=f"{node_name}new")
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
    old_leader = cluster.leader()
    cluster.nodes[old_leader].step_down()
    cluster.carry_out_effects(old_leader)
    assert not cluster.nodes[old_leader].is_leader
    cluster.run(0.06)
    assert cluster.leader() not in ("", old_leader)
    cluster.propose(b"y")
    cluster.run(0.2)
    assert b"y" in cluster.acknowledged


def test_a_leader_that_shuts_down_with_an_entry_in_flight_transfers_leadership():
    cluster = Cluster(6)
    cluster.run(2)
    old_leader = cluster.leader()
    cluster.propose(b"x")  # no other voter has it yet
    cluster.nodes[old_leader].step_down()
    cluster.carry_out_effects(old_leader)
    cluster.run(0.1)  # far below the minimum election time-out
    assert cluster.leader() not in ("", old_leader)
    assert b"x" in cluster.acknowledged


def test_a_leader_that_shuts_down_accepts_no_proposals():
    cluster = Cluster(6)
    cluster.run(2)
    old_leader = cluster.leader()
    cluster.propose(b"x")
    cluster.nodes[old_leader].step_down()
    assert cluster.nodes[old_leader].propose(b"y") is None


def test_a_leader_that_shuts_down_without_a_successor_steps_down():
    cluster = Cluster(6)
    cluster.run(2)
    old_leader = cluster.leader()
    cluster.blocked_links = {(old_leader, name) for name in "abc" if name != old_leader}
    cluster.propose(b"x")
    cluster.nodes[old_leader].step_down()
    cluster.run(0.6)
    assert not cluster.nodes[old_leader].is_leader


def test_a_leader_without_contact_to_any_voter_steps_down():
    cluster = Cluster(3)
    cluster.run(2)
    old_leader = cluster.leader()
    cluster.blocked_links = {(old_leader, name) for name in "abc" if name != old_leader}
    cluster.run(0.6)
    assert not cluster.nodes[old_leader].has_lease()
    cluster.run(1.5)
    assert not cluster.nodes[old_leader].is_leader
    assert cluster.leader() not in ("", old_leader)


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
