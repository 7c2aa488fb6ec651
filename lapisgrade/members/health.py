"""A member's view of its own health (Lifeguard's local health multiplier, section IV.A). Pure."""

from lapisgrade.members.timing import Timing


class LocalHealth:
    """A score that rises with each answer that this member misses; it slows the judgement of others."""

    def __init__(self, timing: Timing) -> None:
        self.score = 0  # 0 is healthy
        self._timing = timing

    def adjust(self, change: int) -> None:
        """Raise or lower the score, within its bounds."""
        self.score = max(0, min(self._timing.max_health_score, self.score + change))

    def scale(self, duration_us: int) -> int:
        """Return the time that a member of this health allows in place of `duration_us`."""
        return duration_us * (1 + self.score)
