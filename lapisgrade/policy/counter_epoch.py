"""The counter id that holds a customer's use, and the weight of an amount that is added to it.

Use decays with time, but the counter can only add. So the amounts added grow with time instead, and readers
scale the total back (Cormode et al., "Forward Decay", 2009). Each epoch uses another counter id, which keeps
the amounts within the counter's range.
"""

import math
from hashlib import blake2b

from lapisgrade.rate import SECOND

MAX_EPOCH_US = 30 * SECOND  # maximum epoch length: below the counter's maximum TTL, and epochs change rarely
MAX_EPOCH_DECAYS = 15  # the same in `decay_us`: amounts grow e-fold in each, the counter is limited to 1e9


class CounterEpoch:
    """One customer's current epoch; the clock makes it the same at all limiters."""

    __slots__ = ("_customer", "_decay_us", "_length_us", "_number", "counter_id")

    def __init__(self, customer: str, decay_us: int) -> None:
        """Create the epoch of a customer; none is current until `enter`."""
        self._customer = customer
        self._decay_us = decay_us
        self._length_us = min(MAX_EPOCH_US, MAX_EPOCH_DECAYS * decay_us)
        self._number = -1  # counts epochs from time 0; -1: none
        self.counter_id = 0

    def enter(self, now_us: int) -> bool:
        """Switch to the epoch of `now_us`; returns whether it has changed."""
        number = now_us // self._length_us
        if number == self._number:
            return False
        self._number = number
        digest = blake2b(f"{self._customer} {number}".encode(), digest_size=8).digest()
        self.counter_id = int.from_bytes(digest, "big") >> 1
        return True

    @property
    def start_us(self) -> int:
        """The start of the current epoch."""
        return self._number * self._length_us

    def growth(self, now_us: int) -> float:
        """The factor by which an amount that is added now is multiplied."""
        return math.exp((now_us - self.start_us) / self._decay_us)
