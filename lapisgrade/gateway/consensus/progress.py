"""What a leader knows of the other nodes."""

import msgspec

from lapisgrade.gateway.consensus.snapshots import SnapshotTransfer


class PeerStatus(msgspec.Struct):
    """Another node, voter or learner, as far as a change of voters asks."""

    address: str
    match_index: int  # of the last entry that is known to be on its disk
    last_contact_us: int  # when its last message of this term came


class FollowerProgress(PeerStatus):
    """How far replication to one follower has come (thesis, figure 3.1: nextIndex, matchIndex)."""

    next_index: int = 1  # of the entry to send next
    sent_index: int = 0  # of the last entry that was sent
    sent_us: int = 0  # when entries were sent
    acked_us: int = 0  # when the newest message that it has replied to was sent, on the leader's clock
    transfer: SnapshotTransfer | None = None  # a snapshot that is being sent to it
