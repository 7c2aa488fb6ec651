"""Snapshots: their transfer in chunks and what a log keeps meanwhile."""

from lapisgrade.gateway.consensus.messages import (
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
)
from lapisgrade.gateway.consensus.snapshots import CHUNK_BYTES, Snapshot, SnapshotAssembly, SnapshotTransfer
from support.consensus_nodes import VOTERS, leader, reply, sync, taken


def transferred(lose=lambda turn: False, again=lambda turn: False) -> tuple[bytes, int]:
    state = bytes(range(256)) * (3 * CHUNK_BYTES // 256) + b"end"
    transfer = SnapshotTransfer(Snapshot(9, 2, VOTERS, state))
    assembly, turns = SnapshotAssembly(), 0
    while True:
        turns += 1
        chunk = InstallSnapshot(
            3, "b", "b:1", "a", 9, 2, VOTERS, transfer.chunk(), 1, transfer.offset, len(state)
        )
        transfer.sent_us = 1
        if lose(turns):
            continue
        whole = assembly.add(chunk)
        if again(turns):
            whole = assembly.add(chunk) or whole
        if whole is not None:
            assert whole == state
            return whole, turns
        transfer.on_reply(9, len(assembly.data))


def test_it_comes_whole_in_pieces_whatever_is_lost_or_comes_twice() -> None:
    assert transferred()[1] == 4
    assert transferred(lose=lambda turn: turn in (2, 3))[1] == 6
    transferred(again=lambda turn: True)


def test_one_piece_is_under_way_at_a_time_and_the_snapshot_stays_the_same() -> None:
    one = leader()
    reply(one, "b", one.log.last_index)
    one.compact(b"s" * (2 * CHUNK_BYTES + 5))
    sync(one)
    reply(one, "c", 0, success=False)
    chunks = [each for _, each in taken(one).sends if isinstance(each, InstallSnapshot)]
    one.tick(one.next_tick_us)
    chunks += [each for _, each in taken(one).sends if isinstance(each, InstallSnapshot)]
    assert [each.offset for each in chunks] == [0]
    one.propose(b"x")
    sync(one)
    reply(one, "b", one.log.last_index)
    one.compact(b"t")  # the reader goes on with what it began
    taken(one)
    one.receive(
        one.state.now_us,
        InstallSnapshotReply(one.term, "c", VOTERS["c"], chunks[0].last_index, CHUNK_BYTES, one.state.now_us),
    )
    (chunk,) = [each for _, each in taken(one).sends if isinstance(each, InstallSnapshot)]
    assert (chunk.last_index, chunk.offset, chunk.data) == (
        chunks[0].last_index,
        CHUNK_BYTES,
        b"s" * CHUNK_BYTES,
    )


def test_the_log_keeps_more_while_a_snapshot_is_under_way() -> None:
    one = leader()
    reply(one, "b", one.log.last_index)
    one.compact(b"s")
    reply(one, "c", 0, success=False)
    assert one.replication.has_transfer()


def test_a_snapshot_keeps_the_voters() -> None:
    one = leader()
    reply(one, "b", one.log.last_index)
    one.receive(one.state.now_us, JoinRequest("z", "10.0.0.9:1"))
    reply(one, "z", one.log.last_index)
    one.tick(one.next_tick_us)
    sync(one)
    for name in "bz":
        reply(one, name, one.log.last_index)
    assert "z" in one.voters
    one.compact(b"s")
    assert "z" in one.voters
    assert "z" in one.snapshot_record().voters
