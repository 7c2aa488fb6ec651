"""Whether a group of voters keeps a quorum after the simultaneous losses that a deployment must tolerate.

Pure. An entry is acknowledged once a majority of the voters has it on disk. If the voters that remain after a
loss are no majority of all voters, none of them can be elected, and what was acknowledged can't be read.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec


class ToleratedFaults(msgspec.Struct, frozen=True):
    """The largest losses at one time: some machines with a voter, or some zones, or some regions."""

    nodes: int = 0
    zones: int = 0
    regions: int = 0


class VoterLocation(msgspec.Struct, frozen=True):
    """Where a voter runs. An unknown place is empty; voters in unknown places count as in one place."""

    zone: str = ""
    region: str = ""


class QuorumReport(msgspec.Struct, frozen=True):
    """The result of `assess`.

    Attributes:
        voters: Number of voters.
        largest_loss: Number of voters that the worst tolerated fault takes away.
        required_voters: Number of voters of which a majority remains after a loss of that many.
    """

    voters: int
    largest_loss: int
    required_voters: int

    @property
    def is_sufficient(self) -> bool:
        """Whether a majority of the voters remains after the worst tolerated fault."""
        return self.voters >= self.required_voters


def assess(voters: Mapping[str, VoterLocation], faults: ToleratedFaults) -> QuorumReport:
    """Return how many voters the worst tolerated fault takes away; `voters` holds their locations by name."""
    largest_loss = max(
        faults.nodes,
        _size_of_largest((location.zone for location in voters.values()), faults.zones),
        _size_of_largest((location.region for location in voters.values()), faults.regions),
    )
    return QuorumReport(len(voters), largest_loss, 2 * largest_loss + 1)


def _size_of_largest(places: Iterable[str], count: int) -> int:
    """Return the number of voters in the `count` places with the most voters."""
    return sum(size for _, size in Counter(places).most_common(count)) if count > 0 else 0
