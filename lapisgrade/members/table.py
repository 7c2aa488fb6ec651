"""The other members as this one sees them, and how long a suspicion lasts. Pure."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from lapisgrade.members.messages import MemberState, Update
from lapisgrade.members.timing import Timing, log_members

MAX_MEMBERS = 10_000  # a flood of invented names is not kept beyond it
MAX_SUSPECTERS = 64  # of one member


@dataclass(slots=True)
class Member:
    """One other limiter as this one sees it."""

    name: str
    address: str
    incarnation: int
    state: MemberState
    since_us: int  # when it came to this state, here
    suspecters: set[str] = field(default_factory=set)  # who suspects it, as far as known

    def as_update(self) -> Update:
        """Return what is known of it, as a message carries it."""
        by = min(self.suspecters, default="")
        return Update(self.name, self.address, self.incarnation, self.state, by)


class MemberTable:
    """Members by name, without this one itself."""

    def __init__(self, timing: Timing) -> None:
        self.by_name: dict[str, Member] = {}
        self._timing = timing

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_name.values())

    def log_size(self) -> float:
        """Return log10 of the members, this one among them, 1 at least."""
        return log_members(len(self.by_name) + 1)

    def with_state(self, state: MemberState) -> list[Member]:
        """Return the members in that state."""
        return [member for member in self if member.state is state]

    def not_dead(self) -> list[str]:
        """Return the names of the members that live or are only suspected."""
        return [member.name for member in self if member.state is not MemberState.DEAD]

    def suspicion_ends_us(self, member: Member) -> int:
        """Return when a suspicion becomes a death, here: the sooner the more share it.

        Lifeguard's dynamic suspicion timeout (Dadgar, Phillips, Currey 2017, section IV.B).
        """
        timing = self._timing
        least_us = timing.suspicion_multiplier * self.log_size() * timing.probe_interval_us
        # So many suspecters beside the first make it certain.
        expected = max(1, min(timing.indirect_probes, len(self.by_name) - 2))
        shared = 0.0
        if member.suspecters:
            shared = math.log(len(member.suspecters)) / math.log(expected + 1)
        factor = timing.max_suspicion_factor - (timing.max_suspicion_factor - 1) * shared
        return member.since_us + round(max(least_us, least_us * factor))
