"""Restores a controller's consensus node from its disk, or creates a new node if the disk is empty."""

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
    """Return the records on disk; an empty list if the disk is empty or can't be read. Blocks."""
    try:
        return [_RECORD_DECODER.decode(data) for data in log_store.recover()]
    except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
        log.warning("cannot read the log on disk; starting with an empty log: %s", error)
        return []


def restore_node(
    records: list[Record],
    settings: Settings,
    address: Address,
    random: Random,
    now_us: int,
    started_us: int,
) -> Node:
    """Return the node that the records describe, or a new node if there are none.

    Args:
        records: The records that `read_records` returned.
        settings: The settings, which name the first voters if `Bootstrap` is set.
        address: The address for other controllers; all controllers listen on the same port.
        random: The random generator for the identity of a new node.
        now_us: The current monotonic time.
        started_us: The monotonic time at which this process started.
    """
    if records:
        node = Node.recover(records, str(address), random, now_us, started_us)
        entry_count = len(node.log.entries)
        log.info(
            "recovered the log: term %d, %d entries after the snapshot at index %d",
            node.term,
            entry_count,
            node.log.snapshot_index,
        )
        return node
    node = _new_node(settings, address, random, now_us)
    log.info("the disk is empty; created node %s", node.identity)
    return node


def _new_node(settings: Settings, address: Address, random: Random, now_us: int) -> Node:
    """Return a node without a log: one of the first voters on bootstrap, otherwise a learner."""
    # The first voters derive their identities from their addresses, so that each can compute all identities.
    first_voters = {f"first-{peer[0]}": f"{peer[0]}:{address[1]}" for peer in settings.peers}
    identity = f"first-{settings.ip}"
    if not settings.bootstrap or identity not in first_voters:
        identity = f"disk-{random.getrandbits(64):016x}"
        first_voters = {}
    return Node(identity, str(address), random, now_us, first_voters)
