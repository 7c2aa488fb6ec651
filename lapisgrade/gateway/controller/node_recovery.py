"""Builds a controller's consensus node from what its disk holds, or a new node for an empty disk."""

import logging
from random import Random

import msgspec

from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import Record
from lapisgrade.gateway.settings import Address, Settings
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore

log = logging.getLogger("controller")

_RECORD_DECODER = msgspec.msgpack.Decoder(Record)


def read_records(log_store: LogStore) -> list[Record]:
    """Return the records on disk; none where they can't be read, as for an empty disk. Blocks."""
    try:
        return [_RECORD_DECODER.decode(data) for data in log_store.recover()]
    except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
        log.warning("the disk can't be read and counts as empty: %s", error)
        return []


def restore_node(
    records: list[Record],
    settings: Settings,
    address: Address,
    random: Random,
    now_us: int,
    started_us: int,
) -> Node:
    """Return the node that the records describe, or a new one where there are none.

    Args:
        records: What `read_records` returned.
        settings: Name the first voters, where `Bootstrap` is set.
        address: Where other controllers reach this one; all listen on the same port.
        random: Draws the identity of a new node.
        now_us: The steady clock.
        started_us: When this process began, by the same clock.
    """
    if records:
        node = Node.recover(records, str(address), random, now_us, started_us)
        entry_count = len(node.log.entries)
        log.info("recovered term %d, %d entries after %d", node.term, entry_count, node.log.snapshot_index)
        return node
    node = _new_node(settings, address, random, now_us)
    log.info("an empty disk, named %s", node.identity)
    return node


def _new_node(settings: Settings, address: Address, random: Random, now_us: int) -> Node:
    """Return a node without a log: one of the first voters at a bootstrap, else a learner."""
    # The first nodes are named by their addresses, so that each knows the others' names.
    first_voters = {f"first-{peer[0]}": f"{peer[0]}:{address[1]}" for peer in settings.peers}
    identity = f"first-{settings.ip}"
    if not settings.bootstrap or identity not in first_voters:
        identity = f"disk-{random.getrandbits(64):016x}"
        first_voters = {}
    return Node(identity, str(address), random, now_us, first_voters)
