"""Which change of voters a leader makes next: pure, one voter at a time (thesis, 4.1).

A change is made only if the nodes that are live and caught up are a majority of the voters after it: no
change can leave a group that must wait for a machine that is gone, or that lacks what was committed.
"""

from collections.abc import Mapping

import msgspec

from lapisgrade.gateway.consensus.progress import PeerStatus

UNRESPONSIVE_AFTER_US = 1_500_000
"""Time without a message from a voter after which it may be replaced."""

DISPLACED_AFTER_US = 150_000
"""How much longer than the voter another disk must have been heard from at the voter's address."""

MIN_VOTERS = 3
"""A group isn't shrunk below it, except where a disk is known to be lost."""


class ClusterView(msgspec.Struct):
    """The group as its leader sees it."""

    now_us: int
    identity: str  # the leader's own
    address: str
    voters: dict[str, str]  # identity to address
    peers: Mapping[str, PeerStatus]  # all others that talk to the leader, voters and learners
    leaving: set[str]  # identities of those that shut down in order
    commit_index: int
    earlier_commit_index: int  # the commit index an election time-out ago

    def live(self) -> set[str]:
        """The leader and all that it has heard from lately."""
        return {self.identity} | {
            name
            for name, peer in self.peers.items()
            if self.now_us - peer.last_contact_us < UNRESPONSIVE_AFTER_US
        }

    def caught_up(self) -> set[str]:
        """Those of the live nodes that have all committed entries on disk."""
        live = self.live()
        return {self.identity} | {
            name
            for name, peer in self.peers.items()
            if peer.match_index >= self.commit_index and name in live
        }

    def learners(self) -> list[str]:
        """The nodes that may become voters: live, and less than an election time-out behind.

        While entries come all the time, a node that is a round trip away never has all that is committed;
        what counts is that it keeps up (thesis, 4.2.1). That a majority after the change has what was
        committed is another matter, see `next_voters`.
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
    """The voters after the next change, None where none is needed or safe."""
    voters = desired_voters(view)
    if voters is None:
        return None
    ready = set(voters) & view.caught_up()
    return voters if 2 * len(ready) > len(voters) else None


def desired_voters(view: ClusterView) -> dict[str, str] | None:
    """The voters after the next change that is needed, whether it is safe now or not; None for no need."""
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
    if len(voters) > MIN_VOTERS and len(voters) % 2 == 0 and unresponsive:
        return _without(voters, unresponsive[0])
    return None


def _is_displaced(view: ClusterView, voter: str) -> bool:
    """Whether another disk has taken the voter's address: its own disk was emptied.

    One message is not enough: it may be a late one, of a disk that was at that address before.
    """
    status = view.peers.get(voter)
    if status is None:
        return False
    return any(
        peer.address == view.voters[voter]
        and peer.last_contact_us - status.last_contact_us > DISPLACED_AFTER_US
        and view.now_us - peer.last_contact_us < DISPLACED_AFTER_US
        for name, peer in view.peers.items()
        if name != voter
    )


def _voters_at_current_addresses(view: ClusterView) -> dict[str, str] | None:
    """The same voters at the addresses that they send from now, None where none has moved."""
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
