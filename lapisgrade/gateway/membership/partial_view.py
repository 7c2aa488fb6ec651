"""A partial view: the proxies that a proxy knows without the controllers. Pure.

Cyclon (Voulgaris, Gavidia, van Steen, 2005): in each round, a proxy sends a few entries to the neighbour with
the oldest entry, which replies with some of its own. This exchange is a shuffle. The proxy removes that
neighbour from its view when it sends the shuffle. A terminated neighbour is thus dropped, and a live one
returns with a newer entry from another proxy. The graph stays connected and close to random, and the cost of
a round per proxy does not depend on the number of proxies.

Each shuffle also carries the newest hint of the controllers' leader and addresses. A hint only says where to
send a request: the reply confirms or refutes it, so a false hint costs one request. Times are in us.
"""

import re
from random import Random

import msgspec

from lapisgrade.gateway import SECOND

MAX_VIEW_SIZE = 16  # maximum neighbours in a view; twice the logarithm of a few thousand proxies
SHUFFLE_ENTRIES = 6  # entries per shuffle, including the sender's own; they fit into one datagram
SHUFFLE_INTERVAL_US = SECOND
FAST_SHUFFLE_INTERVAL_US = SECOND // 5  # interval while the view is small, as after a start
MIN_VIEW_SIZE = MAX_VIEW_SIZE // 2  # a view with fewer neighbours is small
MAX_CONTROLLERS = 16  # maximum controller addresses in a hint
MAX_ZONE_LENGTH = 64  # maximum characters in a zone name
MAX_PORT = 65_535
_ADDRESS_PATTERN = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}")


def is_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address and port, which `settings.parse_address` accepts too.

    Other proxies' messages name addresses, and this proxy sends requests to them, so they are validated.
    """
    return _ADDRESS_PATTERN.fullmatch(text) is not None and 0 < int(text.rpartition(":")[2]) <= MAX_PORT


class Neighbour(msgspec.Struct, array_like=True, frozen=True):
    """One entry of a view.

    Attributes:
        address: Address at which the neighbour receives messages and datagrams of other proxies.
        zone: Zone of the neighbour.
        age: Number of rounds since the neighbour itself sent the entry, 0 or more.
    """

    address: str
    zone: str
    age: int = 0


class ControlHint(msgspec.Struct, array_like=True, frozen=True):
    """The leader of the controllers in a term, and the addresses of the controllers."""

    term: int = 0
    leader: str = ""
    controllers: list[str] = []


class Shuffle(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Some neighbours of the sender; unless it is a reply, the receiver replies with some of its own."""

    is_reply: bool
    control_hint: ControlHint
    updates: list[Neighbour] = []


class SendShuffle(msgspec.Struct, frozen=True):
    """Command to send a shuffle to a neighbour."""

    to: str
    message: Shuffle


class PartialView:
    """One proxy's view.

    The caller calls `on_timer` at `next_shuffle_us` or later and `on_shuffle` for each received shuffle, and
    sends the messages that they return.

    Attributes:
        address: This proxy's own address.
        zone: This proxy's zone.
        view: The neighbours by address.
        control_hint: The newest hint of the controllers.
        next_shuffle_us: When the next shuffle is due.
    """

    def __init__(self, address: str, zone: str, random: Random, now_us: int) -> None:
        """Create an empty view; the first shuffle is due within `FAST_SHUFFLE_INTERVAL_US`."""
        self.address = address
        self.zone = zone
        self._random = random
        self.view: dict[str, Neighbour] = {}
        self.control_hint = ControlHint()
        self.next_shuffle_us = now_us + random.randrange(FAST_SHUFFLE_INTERVAL_US)
        # Neighbours whose entries were sent in the last shuffle; entries of the reply may replace them.
        self._sent_addresses: list[str] = []

    def add_addresses(self, addresses: list[str]) -> None:
        """Add addresses of proxies that are probably live, from the settings or the controllers.

        After a network partition, this is what connects the views of the two sides again.
        """
        for address in addresses:
            self._add(Neighbour(address, "", 1), [])

    def neighbours(self) -> list[str]:
        """Return the addresses in the view."""
        return list(self.view)

    # ---- hints of the controllers

    def on_control_hint(self, hint: ControlHint) -> None:
        """Replace the hint by one from this proxy or a neighbour, unless that is older or out of bounds."""
        is_older = hint.term < self.control_hint.term
        if is_older or not is_address(hint.leader) or len(hint.controllers) > MAX_CONTROLLERS:
            return
        if all(is_address(controller) for controller in hint.controllers):
            self.control_hint = hint

    def discard_leader(self, address: str) -> None:
        """Drop the hinted leader if it is `address`, which turned out not to lead: the hint was old or false.

        The next hint is accepted whatever its term.
        """
        if address == self.control_hint.leader:
            self.control_hint = ControlHint(0, "", self.control_hint.controllers)

    # ---- shuffles

    def on_timer(self, now_us: int) -> list[SendShuffle]:
        """Start a shuffle with the oldest neighbour if one is due; return the message to send."""
        if now_us < self.next_shuffle_us:
            return []
        interval_us = SHUFFLE_INTERVAL_US if len(self.view) >= MIN_VIEW_SIZE else FAST_SHUFFLE_INTERVAL_US
        self.next_shuffle_us = now_us + interval_us * 3 // 4 + self._random.randrange(interval_us // 2)
        if not self.view:
            return []
        self.view = {name: Neighbour(name, each.zone, each.age + 1) for name, each in self.view.items()}
        oldest = max(self.view.values(), key=lambda neighbour: neighbour.age)
        del self.view[oldest.address]
        sample = self._sample(SHUFFLE_ENTRIES - 1, oldest.address)
        self._sent_addresses = [neighbour.address for neighbour in sample]
        own_entry = Neighbour(self.address, self.zone)
        return [SendShuffle(oldest.address, Shuffle(False, self.control_hint, [own_entry, *sample]))]

    def on_shuffle(self, source: str, shuffle: Shuffle) -> list[SendShuffle]:
        """Add the entries of a shuffle to the view and, unless it is a reply, return a reply with others.

        Entries out of bounds are ignored.
        """
        self.on_control_hint(shuffle.control_hint)
        replies, sent = [], self._sent_addresses
        if not shuffle.is_reply:
            sample = self._sample(SHUFFLE_ENTRIES, source)
            replies = [SendShuffle(source, Shuffle(True, self.control_hint, sample))]
            sent = [neighbour.address for neighbour in sample]
        for neighbour in shuffle.updates[:SHUFFLE_ENTRIES]:
            self._add(neighbour, sent)
        return replies

    def _sample(self, count: int, excluded: str) -> list[Neighbour]:
        others = [neighbour for neighbour in self.view.values() if neighbour.address != excluded]
        return self._random.sample(others, min(count, len(others)))

    def _add(self, neighbour: Neighbour, sent: list[str]) -> None:
        """Add an entry to the view; a known neighbour keeps the newer of its entries.

        If the view is full, an entry in `sent` is evicted, or else the oldest one if the new one is younger.
        """
        if not self._is_acceptable(neighbour):
            return
        known = self.view.get(neighbour.address)
        if known is not None:
            if neighbour.age < known.age:
                self.view[neighbour.address] = neighbour
            return
        if len(self.view) >= MAX_VIEW_SIZE:
            evicted = self._address_to_evict(neighbour, sent)
            if evicted is None:
                return
            del self.view[evicted]
        self.view[neighbour.address] = neighbour

    def _is_acceptable(self, neighbour: Neighbour) -> bool:
        if neighbour.address == self.address or not is_address(neighbour.address):
            return False
        return len(neighbour.zone) <= MAX_ZONE_LENGTH and neighbour.age >= 0

    def _address_to_evict(self, neighbour: Neighbour, sent: list[str]) -> str | None:
        """Return the address to evict from a full view for a neighbour; None if no entry is older."""
        exchanged_address = next((address for address in sent if address in self.view), None)
        if exchanged_address is not None:
            return exchanged_address
        oldest = max(self.view.values(), key=lambda other: other.age)
        return oldest.address if oldest.age > neighbour.age else None
