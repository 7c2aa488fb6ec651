"""What a leader holds of each other node."""

from dataclasses import dataclass

from lapisgrade.gateway.consensus.membership import Peer
from lapisgrade.gateway.consensus.snapshots import Transfer


@dataclass(slots=True)
class Follower(Peer):
    next_index: int = 1  # the entry that it is sent next
    sent_index: int = 0  # the last entry that was sent
    sent_us: int = 0  # when entries were sent
    acked_us: int = 0  # the leader's own time of the newest message that was answered
    transfer: Transfer | None = None  # a snapshot that is under way to it
