"""When to ask a service again that rejects calls as all limiters ask it at once. Pure, chance handed in."""

from random import Random

MAX_STALENESS_S = 6.0  # the protocol's figure: when a change of the list counts as known at the latest
MAX_RENEWAL_DELAY_S = 0.2  # the protocol's figure: how soon the next call must come for the watch to go on
MAX_BACKOFF_S = 60.0  # that a call rejected again and again may be put off; a watch's longest wait
_MAX_DOUBLINGS = 16


class PollBackoff:
    """Exponential backoff with jitter, at a pace that all limiters keep together.

    The one service behind all agents works even on what it can't serve in time: callers who come back at
    once, as all do together after a restart, keep it from ever serving any. So a call that was rejected is
    repeated at a random time, such that all limiters' calls come one in half of
    `MAX_RENEWAL_DELAY_S`, and half as often with each
    rejection. The first call is never put off: what it would have told counts as known.
    """

    __slots__ = ("_limiters", "_random", "_rejections")

    def __init__(self, random: Random, limiters: int) -> None:
        self._random = random
        self._limiters = limiters
        self._rejections = 0  # since the last call that was answered

    def on_rejected(self) -> float:
        """Note a rejected call; returns the seconds before the next one."""
        spread_s = self._spread_s()
        self._rejections = min(_MAX_DOUBLINGS, self._rejections + 1)
        return MAX_RENEWAL_DELAY_S / 2 + self._random.random() * spread_s

    def on_answered(self) -> None:
        """Note an answered call."""
        self._rejections = 0

    def _spread_s(self) -> float:
        """The seconds over which the next calls of all limiters spread."""
        first_s = min(MAX_STALENESS_S, self._limiters * MAX_RENEWAL_DELAY_S / 2)
        return min(MAX_BACKOFF_S, first_s * 2**self._rejections)
