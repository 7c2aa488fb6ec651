"""How a single follower handles entries and messages from a leader."""

from random import Random

from support.consensus_nodes import NOW_US, VOTERS, append_entries, new_node, sync_disk, take_effects

from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    Entry,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import EntriesRecord, SnapshotRecord


def test_recovered_entries_are_durable_only_once_written_again() -> None:
    first = SnapshotRecord("a", 3, "b", 0, 0, VOTERS, b"", [Entry(1, 3)])
    records = [first, EntriesRecord([Entry(2, 3, b"x")], 1)]
    node = Node.recover(records, VOTERS["a"], Random(1), NOW_US)
    assert (node.log.last_index, node.state.durable_index, node.commit_index) == (2, 0, 1)
    assert [entry.index for entry in take_effects(node).committed] == [1]
    node.receive(NOW_US, append_entries(3, (2, 3), []))
    assert take_effects(node).sends[-1][1].match_index == 0
    node.on_write_durable(NOW_US, 2, 3)
    assert take_effects(node).sends[-1][1].match_index == 2


def test_each_of_two_pending_writes_is_acknowledged_once_it_is_durable() -> None:
    node = new_node()
    node.receive(NOW_US, append_entries(3, (0, 0), [Entry(1, 3)]))
    node.receive(NOW_US, append_entries(3, (1, 3), [Entry(2, 3)]))
    take_effects(node)
    for index in (1, 2):
        node.on_write_durable(NOW_US, index, 3)
        assert [message.match_index for _, message in take_effects(node).sends] == [index]


def test_a_conflicting_entry_and_all_later_ones_are_removed() -> None:
    node = new_node()
    node.receive(NOW_US, append_entries(3, (0, 0), [Entry(1, 3), Entry(2, 3, b"old"), Entry(3, 3)]))
    sync_disk(node)
    assert node.state.durable_index == 3
    node.receive(NOW_US, append_entries(4, (1, 3), [Entry(2, 4, b"new")]))
    assert [(entry.index, entry.term) for entry in node.log.entries] == [(1, 3), (2, 4)]
    assert node.state.durable_index == 1


def test_a_repeated_earlier_message_removes_no_entries() -> None:
    node = new_node()
    first = append_entries(3, (0, 0), [Entry(1, 3)])
    node.receive(NOW_US, first)
    node.receive(NOW_US, append_entries(3, (1, 3), [Entry(2, 3)], 2))
    node.receive(NOW_US, first)
    assert (node.log.last_index, node.commit_index) == (2, 2)


def test_rejects_entries_after_a_gap_and_malformed_messages() -> None:
    node = new_node()
    node.receive(NOW_US, append_entries(3, (4, 3), [Entry(5, 3)]))
    assert not take_effects(node).sends[-1][1].success
    node.receive(NOW_US, append_entries(3, (0, 0), [Entry(1, 3), Entry(7, 3)]))
    assert node.log.last_index == 0


def test_a_learner_without_heartbeats_clears_the_leader() -> None:
    node = new_node("z", {})
    node.receive(NOW_US, AppendEntries(3, "b", VOTERS["b"], "z", 0, 0, 0, 1))
    assert node.leader == "b"
    node.tick(node.next_tick_us)
    assert (node.leader, node.leader_address) == ("", "")
