"""How a follower takes entries, on a single node that is fed by hand."""

from random import Random

from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    Entry,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import EntriesRecord, SnapshotRecord
from support.consensus_nodes import NOW, VOTERS, append, node, sync, taken


def test_a_start_counts_nothing_as_on_disk_before_it_has_written_it_anew() -> None:
    first = SnapshotRecord("a", 3, "b", 0, 0, VOTERS, b"", [Entry(1, 3)])
    records = [first, EntriesRecord([Entry(2, 3, b"x")], 1)]
    one = Node.recover(records, VOTERS["a"], Random(1), NOW)
    assert (one.log.last_index, one.state.durable_index, one.commit_index) == (2, 0, 1)
    assert [each.index for each in taken(one).committed] == [1]
    one.receive(NOW, append(3, (2, 3), []))
    assert taken(one).sends[-1][1].match_index == 0
    one.on_write_durable(NOW, 2, 3)
    assert taken(one).sends[-1][1].match_index == 2


def test_entries_of_another_leader_go_with_all_after_them() -> None:
    one = node()
    one.receive(NOW, append(3, (0, 0), [Entry(1, 3), Entry(2, 3, b"old"), Entry(3, 3)]))
    sync(one)
    assert one.state.durable_index == 3
    one.receive(NOW, append(4, (1, 3), [Entry(2, 4, b"new")]))
    assert [(each.index, each.term) for each in one.log.entries] == [(1, 3), (2, 4)]
    assert one.state.durable_index == 1


def test_an_earlier_message_that_comes_again_takes_nothing_away() -> None:
    one = node()
    first = append(3, (0, 0), [Entry(1, 3)])
    one.receive(NOW, first)
    one.receive(NOW, append(3, (1, 3), [Entry(2, 3)], 2))
    one.receive(NOW, first)
    assert (one.log.last_index, one.commit_index) == (2, 2)


def test_it_refuses_what_does_not_join_its_log_and_what_is_no_leader_s_message() -> None:
    one = node()
    one.receive(NOW, append(3, (4, 3), [Entry(5, 3)]))
    assert not taken(one).sends[-1][1].success
    one.receive(NOW, append(3, (0, 0), [Entry(1, 3), Entry(7, 3)]))
    assert one.log.last_index == 0


def test_a_learner_that_hears_nobody_looks_for_the_leader_anew() -> None:
    one = node("z", {})
    one.receive(NOW, AppendEntries(3, "b", VOTERS["b"], "z", 0, 0, 0, 1))
    assert one.leader == "b"
    one.tick(one.next_tick_us)
    assert (one.leader, one.leader_address) == ("", "")
