"""Snapshots: transfer in chunks, compaction during a transfer, and voters in snapshots."""

from support.consensus_nodes import VOTERS, append_reply, elected_leader, sync_disk, take_effects

from lapisgrade.gateway.consensus.messages import (
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
)
from lapisgrade.gateway.consensus.snapshots import CHUNK_BYTES, Snapshot, SnapshotAssembly, SnapshotTransfer


def transfer_snapshot(
    is_lost=lambda attempt: False, is_duplicated=lambda attempt: False
) -> tuple[bytes, int]:
    """Transfer a snapshot of four chunks over a faulty link; return it and the number of chunks sent."""
    state = bytes(range(256)) * (3 * CHUNK_BYTES // 256) + b"end"
    transfer = SnapshotTransfer(Snapshot(9, 2, VOTERS, state))
    assembly, attempts = SnapshotAssembly(), 0
    while True:
        attempts += 1
        chunk = InstallSnapshot(
            3, "b", "b:1", "a", 9, 2, VOTERS, transfer.chunk(), 1, transfer.offset, len(state)
        )
        transfer.sent_us = 1
        if is_lost(attempts):
            continue
        complete = assembly.add(chunk)
        if is_duplicated(attempts):
            complete = assembly.add(chunk) or complete
        if complete is not None:
            assert complete == state
            return complete, attempts
        transfer.on_reply(9, len(assembly.data))


def test_a_snapshot_is_complete_despite_lost_and_duplicate_chunks() -> None:
    assert transfer_snapshot()[1] == 4
    assert transfer_snapshot(is_lost=lambda attempt: attempt in (2, 3))[1] == 6
    transfer_snapshot(is_duplicated=lambda attempt: True)


def test_one_chunk_is_in_flight_and_a_later_compaction_does_not_change_the_snapshot() -> None:
    node = elected_leader()
    append_reply(node, "b", node.log.last_index)
    node.compact(b"s" * (2 * CHUNK_BYTES + 5))
    sync_disk(node)
    append_reply(node, "c", 0, success=False)
    chunks = [message for _, message in take_effects(node).sends if isinstance(message, InstallSnapshot)]
    node.tick(node.next_tick_us)
    chunks += [message for _, message in take_effects(node).sends if isinstance(message, InstallSnapshot)]
    assert [message.offset for message in chunks] == [0]
    node.propose(b"x")
    sync_disk(node)
    append_reply(node, "b", node.log.last_index)
    node.compact(b"t")  # the transfer continues with the earlier snapshot
    take_effects(node)
    node.receive(
        node.state.now_us,
        InstallSnapshotReply(
            node.term, "c", VOTERS["c"], chunks[0].last_index, CHUNK_BYTES, node.state.now_us
        ),
    )
    (chunk,) = [message for _, message in take_effects(node).sends if isinstance(message, InstallSnapshot)]
    assert (chunk.last_index, chunk.offset, chunk.data) == (
        chunks[0].last_index,
        CHUNK_BYTES,
        b"s" * CHUNK_BYTES,
    )


def test_a_snapshot_transfer_in_flight_is_reported() -> None:
    node = elected_leader()
    append_reply(node, "b", node.log.last_index)
    node.compact(b"s")
    append_reply(node, "c", 0, success=False)
    assert node.replication.has_transfer()


def test_a_snapshot_contains_the_voters() -> None:
    node = elected_leader()
    append_reply(node, "b", node.log.last_index)
    node.receive(node.state.now_us, JoinRequest("z", "10.0.0.9:1"))
    append_reply(node, "z", node.log.last_index)
    node.tick(node.next_tick_us)
    sync_disk(node)
    for name in "bz":
        append_reply(node, name, node.log.last_index)
    assert "z" in node.voters
    node.compact(b"s")
    assert "z" in node.voters
    assert "z" in node.snapshot_record().voters
