"""A member's view of its own health (Lifeguard's local health multiplier, section IV.A). Pure."""

from lapisgrade.members.timing import Timing


class LocalHealth:
    """A score from 0 (healthy) that rises with missed acks and own refutations, and falls with each ack.

    A higher score lengthens this member's probe intervals and time-outs, so that a slow or isolated member
    suspects others later.
    """

    def __init__(self, timing: Timing) -> None:
        self.score = 0
        self._timing = timing

    def adjust(self, change: int) -> None:
        """Add `change` to the score, clamped to 0 and `max_health_score`."""
        self.score = max(0, min(self._timing.max_health_score, self.score + change))

    def scale(self, duration_us: int) -> int:
        """Return `duration_us` multiplied by 1 + the score."""
        return duration_us * (1 + self.score)
