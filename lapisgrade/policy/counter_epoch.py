"""Which counter a customer's use is added to, and how much an amount weighs there.

Use decays with time, which a counter that only adds can't do. So amounts grow with time in place of it, and
whoever reads a total scales it back (Cormode et al., "Forward Decay", 2009). Another counter is used in each
epoch, so that what is added stays within the counter's range.
"""

import math
from hashlib import blake2b

from lapisgrade.rate import SECOND

MAX_EPOCH_US = 30 * SECOND  # that one counter id is used; short of the counter's longest TTL, seldom renewed
MAX_EPOCH_DECAYS = 15  # of `decay_us` in an epoch; amounts grow e-fold in each, and the counter takes 1e9


class CounterEpoch:
    """One customer's present epoch; the same at all limiters, by the clock."""

    __slots__ = ("_customer", "_decay_us", "_length_us", "_number", "counter_id")

    def __init__(self, customer: str, decay_us: int) -> None:
        """Create a customer's; in no epoch until `enter`."""
        self._customer = customer
        self._decay_us = decay_us
        self._length_us = min(MAX_EPOCH_US, MAX_EPOCH_DECAYS * decay_us)
        self._number = -1
        self.counter_id = 0

    def enter(self, now_us: int) -> bool:
        """Enter the epoch of the present time; returns whether it is another than before."""
        number = now_us // self._length_us
        if number == self._number:
            return False
        self._number = number
        digest = blake2b(f"{self._customer} {number}".encode(), digest_size=8).digest()
        self.counter_id = int.from_bytes(digest, "big") >> 1
        return True

    @property
    def start_us(self) -> int:
        """When the present epoch began."""
        return self._number * self._length_us

    def growth(self, now_us: int) -> float:
        """What an amount that is added now is multiplied by."""
        return math.exp((now_us - self.start_us) / self._decay_us)
