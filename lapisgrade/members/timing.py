"""The protocol's times and limits, and the bounds on detection that follow from them. Pure."""

import math
from dataclasses import dataclass

SECOND = 1_000_000  # us


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in us. With the defaults a member of ten is found dead within a second or two."""

    probe_interval_us: int = 200_000
    probe_timeout_us: int = 80_000  # after which others are asked to probe; below the interval
    indirect_probes: int = 3  # members that are asked to probe instead
    # Probe intervals x log10 of the members (1 at least): the least that a suspicion lasts.
    suspicion_multiplier: float = 4.0
    max_suspicion_factor: float = 6.0  # times the least: a suspicion that nobody shares lasts that
    max_health_score: int = 8  # Lifeguard's bound on the local health score
    retransmit_multiplier: float = 4.0  # times log10 of the members: how often an update is sent
    updates_per_message: int = 8  # a datagram holds them
    sync_interval_us: int = 2 * SECOND  # between exchanges of a part of the table
    sync_members: int = 24  # members in one exchange
    dead_retention_us: int = (
        120 * SECOND
    )  # a dead member is contacted now and then for so long: partitions meet


def log_members(members: int) -> float:
    """Return log10 of so many members, 1 at least: how times and retransmissions grow with them."""
    return max(1.0, math.log10(max(1, members)))


def detection_bounds_us(timing: Timing, members: int, lost: float = 0.0, slow: int = 0) -> dict[str, float]:
    """Return the stated bounds of docs/design/membership.md, in us, for a member that dies.

    Args:
        timing: of all members.
        members: how many there are, with the one that dies.
        lost: share of datagrams that are lost, from 0 to 1.
        slow: the worst health score of a live member.

    Returns:
        `suspected`: some member's round has come to it, at the latest; `known`: every live member that
        receives updates holds it dead.
    """
    interval = timing.probe_interval_us * (1 + slow)
    suspected = (2 * members - 3) * interval + interval
    least = timing.suspicion_multiplier * max(1.0, math.log10(members)) * timing.probe_interval_us
    spreads = math.ceil(math.log(members) / math.log(2 - lost)) * interval + timing.probe_interval_us
    return {"suspected": suspected, "known": suspected + timing.max_suspicion_factor * least + spreads}
