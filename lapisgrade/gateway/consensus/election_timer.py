"""The election timer of a node that is not the leader (thesis, 3.4)."""

from random import Random

from lapisgrade.gateway.consensus.timing import (
    ELECTION_JITTER_US,
    ELECTION_TIMEOUT_US,
    RETRY_DELAY_US,
    RETRY_JITTER_US,
)


class ElectionTimer:
    """Deadline of the next election, randomized again at each leader message and each granted vote."""

    def __init__(self, random: Random, now_us: int) -> None:
        """Set the first deadline to less than a full election time-out: a new system has no leader yet."""
        self._random = random
        self.deadline_us = now_us + ELECTION_TIMEOUT_US // 2 + random.randrange(ELECTION_JITTER_US)

    def is_due(self, now_us: int) -> bool:
        """Whether the deadline has passed."""
        return now_us >= self.deadline_us

    def restart(self, now_us: int) -> None:
        """Set the deadline to a full election time-out from now."""
        self.deadline_us = now_us + ELECTION_TIMEOUT_US + self._random.randrange(ELECTION_JITTER_US)

    def retry_soon(self, now_us: int) -> None:
        """Set the deadline to a few round trips from now: other nodes may soon restart or change replies."""
        self.deadline_us = self._retry_us(now_us)

    def retry_soon_at_the_latest(self, now_us: int) -> None:
        """Like `retry_soon`, but never postpone the current deadline."""
        self.deadline_us = min(self.deadline_us, self._retry_us(now_us))

    def _retry_us(self, now_us: int) -> int:
        return now_us + RETRY_DELAY_US + self._random.randrange(RETRY_JITTER_US)
