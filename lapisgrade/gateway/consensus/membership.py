"""Selection of the leader's next voter change: pure, one voter at a time (thesis, 4.1).

A change is made only if live and caught-up nodes form a majority of the voters after it, so that the group
never depends on a lost machine or on one that lacks committed entries.
"""

from collections.abc import Mapping

import msgspec

from lapisgrade.gateway.consensus.progress import PeerStatus

UNRESPONSIVE_AFTER_US = 1_500_000
"""Time without a message after which a node is considered unresponsive and a voter may be replaced."""

DISPLACED_AFTER_US = 150_000
"""Time without a voter's message, while another disk sends from its address, after which it is displaced."""

MIN_VOTERS = 3
"""A group of this size or less loses a voter only if its disk is lost, or if a learner replaces it."""


class ClusterView(msgspec.Struct):
    """The leader's view of the group."""

    now_us: int
    identity: str  # the leader's identity
    address: str  # the leader's address
    voters: dict[str, str]  # identity to address
    peers: Mapping[str, PeerStatus]  # all other nodes in contact with the leader, voters and learners
    leaving: set[str]  # identities of nodes that are shutting down gracefully
    commit_index: int
    earlier_commit_index: int  # the commit index one election time-out ago

    def live(self) -> set[str]:
        """The leader and all nodes with a message in the last `UNRESPONSIVE_AFTER_US`."""
        return {self.identity} | {
            name
            for name, peer in self.peers.items()
            if self.now_us - peer.last_contact_us < UNRESPONSIVE_AFTER_US
        }

    def caught_up(self) -> set[str]:
        """The live nodes with all committed entries on disk."""
        live = self.live()
        return {self.identity} | {
            name
            for name, peer in self.peers.items()
            if peer.match_index >= self.commit_index and name in live
        }

    def learners(self) -> list[str]:
        """The nodes that may become voters: live, and less than an election time-out behind.

        Under a constant stream of entries, a node one round trip away never has every committed entry, so it
        only has to keep up (thesis, 4.2.1). `next_voters` checks separately that a majority after the change
        has all committed entries.
        """
        live = self.live()
        return [
            name
            for name, peer in self.peers.items()
            if name not in self.voters
            and name in live
            and name not in self.leaving
            and peer.match_index >= self.earlier_commit_index
        ]


def next_voters(view: ClusterView) -> dict[str, str] | None:
    """The voters after the next change; None if no change is needed or safe."""
    voters = desired_voters(view)
    if voters is None:
        return None
    ready = set(voters) & view.caught_up()
    return voters if 2 * len(ready) > len(voters) else None


def desired_voters(view: ClusterView) -> dict[str, str] | None:
    """The voters after the next needed change, even if it isn't safe yet; None if no change is needed."""
    voters = _voters_after_departure_or_join(view)
    return voters if voters is not None else _voters_at_current_addresses(view)


def _voters_after_departure_or_join(view: ClusterView) -> dict[str, str] | None:
    voters, live, learners = view.voters, view.live(), view.learners()
    displaced = [name for name in voters if _is_displaced(view, name)]
    unresponsive = [name for name in voters if name not in live]
    leaving = [name for name in voters if name in view.leaving and name != view.identity]
    if displaced:
        return _without(voters, displaced[0])
    if learners and unresponsive and len(voters) > 1:
        return _without(voters, unresponsive[0])
    if learners:
        return {**voters, learners[0]: view.peers[learners[0]].address}
    if len(voters) > MIN_VOTERS and leaving:
        return _without(voters, leaving[0])
    # An even number of voters tolerates no more failures than the odd number below it.
    if len(voters) > MIN_VOTERS and len(voters) % 2 == 0 and unresponsive:
        return _without(voters, unresponsive[0])
    return None


def _is_displaced(view: ClusterView, voter: str) -> bool:
    """Whether another disk has taken over the voter's address, because the voter's disk was wiped.

    A single message isn't enough: it may be a late one from a disk that had the address before.
    """
    voter_status = view.peers.get(voter)
    if voter_status is None:
        return False
    return any(
        peer.address == view.voters[voter]
        and peer.last_contact_us - voter_status.last_contact_us > DISPLACED_AFTER_US
        and view.now_us - peer.last_contact_us < DISPLACED_AFTER_US
        for name, peer in view.peers.items()
        if name != voter
    )


def _voters_at_current_addresses(view: ClusterView) -> dict[str, str] | None:
    """The same voters with their current addresses; None if no address has changed."""
    live = view.live()
    voters = {
        name: view.peers[name].address if name in live and name in view.peers else address
        for name, address in view.voters.items()
    }
    if view.identity in voters:
        voters[view.identity] = view.address
    return voters if voters != view.voters else None


def _without(voters: dict[str, str], removed: str) -> dict[str, str]:
    return {name: address for name, address in voters.items() if name != removed}
