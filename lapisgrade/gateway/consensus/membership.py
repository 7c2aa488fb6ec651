"""Which change of voters a leader makes next: pure, one voter at a time.

A change is made only if those who live and are caught up are a majority of the voters after it, so that no
change can leave a group that must wait for a machine that is gone, or that lacks what was committed.
"""

from dataclasses import dataclass

UNRESPONSIVE_AFTER_US = 1_500_000  # us without a word after which a voter may be replaced
DISPLACED_AFTER_US = 150_000  # us that another disk must be heard at a voter's address after the voter itself
MIN_VOTERS = 3  # voters that a group isn't shrunk below, except where a disk is known to be lost


@dataclass(slots=True)
class Peer:
    """What a leader knows of another disk."""

    address: str
    match_index: int  # the last entry that it has on disk
    last_contact_us: int  # its last message of this term


@dataclass(slots=True)
class Group:
    """The group as its leader sees it."""

    now_us: int
    me: str
    my_address: str
    voters: dict[str, str]  # identity to address
    peers: dict[str, Peer]  # all others that speak to the leader, voters and learners
    leaving: set[str]  # those that shut down in order
    commit_index: int

    def live(self) -> set[str]:
        return {self.me} | {
            name
            for name, each in self.peers.items()
            if self.now_us - each.last_contact_us < UNRESPONSIVE_AFTER_US
        }

    def caught_up(self) -> set[str]:
        live = self.live()
        return {self.me} | {
            name
            for name, each in self.peers.items()
            if each.match_index >= self.commit_index and name in live
        }


def next_voters(group: Group) -> dict[str, str] | None:
    """The voters after the next change, None where none is needed or safe."""
    wanted = _wanted(group)
    if wanted is None:
        wanted = _moved(group)
    if wanted is None:
        return None
    ready = set(wanted) & group.caught_up()
    return wanted if 2 * len(ready) > len(wanted) else None


def _wanted(group: Group) -> dict[str, str] | None:
    voters, live = group.voters, group.live()
    learners = [
        name
        for name in group.peers
        if name not in voters and name in group.caught_up() and name not in group.leaving
    ]
    lost = [name for name in voters if _lost(group, name)]
    silent = [name for name in voters if name not in live]
    leaving = [name for name in voters if name in group.leaving and name != group.me]
    if lost:
        return _without(voters, lost[0])
    if learners and silent and len(voters) > 1:
        return _without(voters, silent[0])
    if learners:
        return {**voters, learners[0]: group.peers[learners[0]].address}
    if len(voters) > MIN_VOTERS and leaving:
        return _without(voters, leaving[0])
    if len(voters) > MIN_VOTERS and len(voters) % 2 == 0 and silent:
        return _without(voters, silent[0])
    return None


def _lost(group: Group, voter: str) -> bool:
    """Whether another disk has taken the voter's address: its own disk was emptied.

    One message is not enough: one of an earlier life at that address may come late.
    """
    known = group.peers.get(voter)
    if known is None:
        return False
    return any(
        each.address == group.voters[voter]
        and each.last_contact_us - known.last_contact_us > DISPLACED_AFTER_US
        and group.now_us - each.last_contact_us < DISPLACED_AFTER_US
        for name, each in group.peers.items()
        if name != voter
    )


def _moved(group: Group) -> dict[str, str] | None:
    """The same voters at the addresses that they speak from now."""
    live = group.live()
    now = {
        name: group.peers[name].address if name in live and name in group.peers else address
        for name, address in group.voters.items()
    }
    if group.me in now:
        now[group.me] = group.my_address
    return now if now != group.voters else None


def _without(voters: dict[str, str], gone: str) -> dict[str, str]:
    return {name: address for name, address in voters.items() if name != gone}
