"""Protocol parameters, and the bounds on detection time that follow from them. Pure."""

import math
from dataclasses import dataclass

SECOND = 1_000_000  # us


@dataclass(frozen=True, slots=True)
class Timing:
    """Protocol parameters; times in us. The defaults detect a dead member of ten in one to two seconds."""

    probe_interval_us: int = 200_000
    probe_timeout_us: int = 80_000  # before indirect probes start; must be below the interval
    indirect_probes: int = 3  # members asked to probe a target that does not answer
    # Minimum suspicion time-out, in probe intervals x log10 of the number of members (at least 1).
    suspicion_multiplier: float = 4.0
    max_suspicion_factor: float = 6.0  # time-out of an unshared suspicion, as a multiple of the minimum
    max_health_score: int = 8  # upper bound of Lifeguard's local health score
    retransmit_multiplier: float = 4.0  # transmissions per update, times log10 of the number of members
    updates_per_message: int = 8  # maximum number attached to one message; fits one datagram
    sync_interval_us: int = 2 * SECOND  # mean time between exchanges of table samples
    sync_members: int = 24  # maximum number of other members in one table sample
    # Dead members are kept and contacted occasionally for this long, so that healed partitions merge.
    dead_retention_us: int = 120 * SECOND


def log_member_count(members: int) -> float:
    """Return log10 of `members`, at least 1.

    The minimum suspicion time-out and the number of retransmissions are proportional to it.
    """
    return max(1.0, math.log10(max(1, members)))


def detection_bounds_us(
    timing: Timing, members: int, loss_ratio: float = 0.0, worst_health_score: int = 0
) -> dict[str, float]:
    """Return the bounds of docs/design/membership.md, in us from the death of a member.

    Args:
        timing: Protocol parameters of all members.
        members: Number of members, including the one that dies.
        loss_ratio: Share of datagrams that are lost, from 0 to 1.
        worst_health_score: Highest health score of a live member.

    Returns:
        `suspected`: latest time at which some member has probed it without an answer.
        `known`: latest time at which every live member that receives updates considers it dead.
    """
    interval_us = timing.probe_interval_us * (1 + worst_health_score)
    # A member may be the first in one shuffled round and the last in the next, which is 2 * members - 3
    # intervals later, as a round has members - 1 targets. The probe fails one interval after its start.
    suspected_us = (2 * members - 3) * interval_us + interval_us
    min_timeout_us = timing.suspicion_multiplier * max(1.0, math.log10(members)) * timing.probe_interval_us
    # In each interval every informed member sends the update to one more, so their number grows by the factor
    # 2 - loss_ratio.
    dissemination_us = (
        math.ceil(math.log(members) / math.log(2 - loss_ratio)) * interval_us + timing.probe_interval_us
    )
    return {
        "suspected": suspected_us,
        "known": suspected_us + timing.max_suspicion_factor * min_timeout_us + dissemination_us,
    }
