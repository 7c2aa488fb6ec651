"""Backoff for polls of a service that all limiters call. No I/O; the caller provides the random source."""

from random import Random

MAX_STALENESS_S = 6.0  # time after which a change of the list counts as known, set by the protocol
MAX_RENEWAL_DELAY_S = 0.2  # time within which a watch must be renewed to continue, set by the protocol
MAX_BACKOFF_S = 60.0  # maximum delay after repeated rejections; equals the longest time-out of a watch
_MAX_DOUBLINGS = 16  # bounds the exponent; the delay reaches MAX_BACKOFF_S before


class PollBackoff:
    """Exponential backoff with jitter, with the total call rate of all limiters bounded.

    The single service behind all agents spends time even on calls that it can't answer in time. If all
    limiters retried immediately, as after a restart, no call would ever succeed. A rejected call is therefore
    retried after a random delay. The delays are such that all limiters together make one call per half of
    `MAX_RENEWAL_DELAY_S`, and half as many after each further rejection. The first call is never delayed,
    because the changes that it would return count as known.
    """

    __slots__ = ("_limiter_count", "_random", "_rejections")

    def __init__(self, random: Random, limiter_count: int) -> None:
        """Create the backoff of one of `limiter_count` limiters; `random` draws the jitter."""
        self._random = random
        self._limiter_count = limiter_count
        self._rejections = 0  # consecutive rejections since the last successful call

    def on_rejected(self) -> float:
        """Record a rejected call; returns the delay before the next one in seconds."""
        spread_s = self._spread_s()
        self._rejections = min(_MAX_DOUBLINGS, self._rejections + 1)
        return MAX_RENEWAL_DELAY_S / 2 + self._random.random() * spread_s

    def on_answered(self) -> None:
        """Record a successful call."""
        self._rejections = 0

    def _spread_s(self) -> float:
        """Return the interval in seconds over which the next calls of all limiters are spread."""
        first_s = min(MAX_STALENESS_S, self._limiter_count * MAX_RENEWAL_DELAY_S / 2)
        return min(MAX_BACKOFF_S, first_s * 2**self._rejections)
