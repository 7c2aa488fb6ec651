"""The other members as this one sees them, and the suspicion time-out. Pure."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from lapisgrade.members.messages import MemberState, Update
from lapisgrade.members.timing import Timing, log_member_count

MAX_MEMBERS = 10_000  # entries of the table; bounds the memory that a flood of invented names can take
MAX_SUSPECTERS = 64  # suspecters recorded per member


@dataclass(slots=True)
class Member:
    """One other limiter as this one sees it."""

    name: str
    address: str
    incarnation: int
    state: MemberState
    state_since_us: int  # local time of the last state or incarnation change
    suspecters: set[str] = field(default_factory=set)  # names of members known to suspect it

    def as_update(self) -> Update:
        """Return this member's entry as an Update."""
        reporter = min(self.suspecters, default="")
        return Update(self.name, self.address, self.incarnation, self.state, reporter)


class MemberTable:
    """All known members except this one, by name."""

    def __init__(self, timing: Timing) -> None:
        self.by_name: dict[str, Member] = {}
        self._timing = timing

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_name.values())

    def log_size(self) -> float:
        """Return log10 of the number of members including this one, at least 1."""
        return log_member_count(len(self.by_name) + 1)

    def with_state(self, state: MemberState) -> list[Member]:
        """Return all members in the given state."""
        return [member for member in self if member.state is state]

    def not_dead_names(self) -> list[str]:
        """Return the names of the members that are alive or suspected."""
        return [member.name for member in self if member.state is not MemberState.DEAD]

    def suspicion_ends_us(self, member: Member) -> int:
        """Return the time at which a suspected member is declared dead, earlier the more members suspect it.

        This is Lifeguard's dynamic suspicion time-out (Dadgar, Phillips, Currey 2017, section IV.B).
        """
        timing = self._timing
        min_timeout_us = timing.suspicion_multiplier * self.log_size() * timing.probe_interval_us
        # Number of suspecters beside the first that reduces the time-out to its minimum.
        needed_confirmations = max(1, min(timing.indirect_probes, len(self.by_name) - 2))
        confirmed_ratio = 0.0
        if member.suspecters:
            confirmed_ratio = math.log(len(member.suspecters)) / math.log(needed_confirmations + 1)
        factor = timing.max_suspicion_factor - (timing.max_suspicion_factor - 1) * confirmed_ratio
        return member.state_since_us + round(max(min_timeout_us, min_timeout_us * factor))
