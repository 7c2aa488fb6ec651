"""A leader's view of the other nodes."""

import msgspec

from lapisgrade.gateway.consensus.snapshots import SnapshotTransfer


class PeerStatus(msgspec.Struct):
    """The state of another node, voter or learner, that voter changes depend on."""

    address: str
    match_index: int  # index of the last entry known to be durable on the node's disk
    last_contact_us: int  # arrival time of its last message in this term


class FollowerProgress(PeerStatus):
    """Progress of replication to one follower (thesis, figure 3.1: nextIndex, matchIndex)."""

    next_index: int = 1  # index of the next entry to send
    sent_index: int = 0  # index of the last entry sent
    sent_us: int = 0  # when entries were last sent
    acked_us: int = 0  # when the newest acknowledged message was sent, by the leader's clock
    transfer: SnapshotTransfer | None = None  # snapshot transfer in progress
