"""The proxies that a proxy knows without the controllers: a partial view, shuffled between neighbours. Pure.

Cyclon (Voulgaris, Gavidia, van Steen, 2005): in each round the neighbour heard of longest ago is asked to
exchange a few entries; it leaves the view as it is asked, so one that has terminated is forgotten, and comes
back as somebody younger names it. The graph stays connected and like a random one, and a round costs each
proxy the same however many they are.

Each shuffle also carries the newest hint of who leads the controllers and where they are: where to ask, which
the reply there proves or not, so that a lie costs one request. Times are in us.
"""

import re
from random import Random

import msgspec

from lapisgrade.gateway import SECOND

MAX_VIEW_SIZE = 16  # neighbours in a view; twice the logarithm of some thousands
SHUFFLE_ENTRIES = 6  # in one shuffle, one's own among them; a datagram holds them
SHUFFLE_INTERVAL_US = SECOND
FAST_SHUFFLE_INTERVAL_US = SECOND // 5  # while the view is small, as after a start
MIN_VIEW_SIZE = MAX_VIEW_SIZE // 2  # neighbours below which a view is small
MAX_CONTROLLERS = 16  # addresses of controllers that a hint may name
MAX_ZONE_LENGTH = 64  # characters
_ADDRESS_PATTERN = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}")


def is_address(text: str) -> bool:
    """Whether that is an IPv4 address and a port: requests are sent to what others name."""
    return _ADDRESS_PATTERN.fullmatch(text) is not None and int(text.rpartition(":")[2]) < 65_536


class Neighbour(msgspec.Struct, array_like=True, frozen=True):
    """One entry of a view."""

    address: str  # where it receives other proxies' messages, datagrams as well
    zone: str
    age: int = 0  # rounds since it said so itself


class ControlHint(msgspec.Struct, array_like=True, frozen=True):
    """Who leads the controllers in which term, and where the controllers are."""

    term: int = 0
    leader: str = ""
    controllers: list[str] = []


class Shuffle(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Some neighbours of the sender, which wants some of the receiver's unless this is the reply already."""

    is_reply: bool
    control_hint: ControlHint
    updates: list[Neighbour] = []


class SendShuffle(msgspec.Struct, frozen=True):
    """Send a shuffle to a neighbour."""

    to: str
    message: Shuffle


class PartialView:
    """One proxy's view.

    It is driven by `on_timer` at `next_shuffle_us` or later and by `on_shuffle` for each shuffle received;
    both return what is to be sent.
    """

    def __init__(self, address: str, zone: str, random: Random, now_us: int) -> None:
        self.address = address
        self.zone = zone
        self._random = random
        self.view: dict[str, Neighbour] = {}  # by address
        self.control_hint = ControlHint()
        self.next_shuffle_us = now_us + random.randrange(FAST_SHUFFLE_INTERVAL_US)
        self._sent_addresses: list[
            str
        ] = []  # in the shuffle in progress: these make room for what comes back

    def add_addresses(self, addresses: list[str]) -> None:
        """Add some that likely live, as settings or controllers name them; partitions meet again by it."""
        for address in addresses:
            self._add(Neighbour(address, "", 1), [])

    def neighbours(self) -> list[str]:
        """The addresses in the view."""
        return list(self.view)

    # ---- the hint of the controllers

    def on_control_hint(self, hint: ControlHint) -> None:
        """Take in a hint, our own or a neighbour's; the newest term's is kept."""
        is_older = hint.term < self.control_hint.term
        if is_older or not is_address(hint.leader) or len(hint.controllers) > MAX_CONTROLLERS:
            return
        if all(is_address(controller) for controller in hint.controllers):
            self.control_hint = hint

    def discard_leader(self, address: str) -> None:
        """Nobody leads there: the hint was old, or a lie, and the next one of any term counts again."""
        if address == self.control_hint.leader:
            self.control_hint = ControlHint(0, "", self.control_hint.controllers)

    # ---- shuffles

    def on_timer(self, now_us: int) -> list[SendShuffle]:
        """Begin a shuffle with the oldest neighbour, where it is time."""
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
        """Take in a neighbour's entries, and answer with ours; entries out of bounds are ignored."""
        self.on_control_hint(shuffle.control_hint)
        answer, sent = [], self._sent_addresses
        if not shuffle.is_reply:
            sample = self._sample(SHUFFLE_ENTRIES, source)
            answer = [SendShuffle(source, Shuffle(True, self.control_hint, sample))]
            sent = [neighbour.address for neighbour in sample]
        for neighbour in shuffle.updates[:SHUFFLE_ENTRIES]:
            self._add(neighbour, sent)
        return answer

    def _sample(self, count: int, excluded: str) -> list[Neighbour]:
        others = [neighbour for neighbour in self.view.values() if neighbour.address != excluded]
        return self._random.sample(others, min(count, len(others)))

    def _add(self, neighbour: Neighbour, sent: list[str]) -> None:
        """Add an entry to the view; those that were `sent` away, then older ones, make room for it."""
        if not self._is_acceptable(neighbour):
            return
        known = self.view.get(neighbour.address)
        if known is not None:
            if neighbour.age < known.age:
                self.view[neighbour.address] = neighbour
            return
        if len(self.view) >= MAX_VIEW_SIZE:
            replaced = self._address_to_evict(neighbour, sent)
            if replaced is None:
                return
            del self.view[replaced]
        self.view[neighbour.address] = neighbour

    def _is_acceptable(self, neighbour: Neighbour) -> bool:
        if neighbour.address == self.address or not is_address(neighbour.address):
            return False
        return len(neighbour.zone) <= MAX_ZONE_LENGTH and neighbour.age >= 0

    def _address_to_evict(self, neighbour: Neighbour, sent: list[str]) -> str | None:
        """The address that makes room for a neighbour in a full view; None where all are younger."""
        exchanged = next((address for address in sent if address in self.view), None)
        if exchanged is not None:
            return exchanged
        oldest = max(self.view.values(), key=lambda other: other.age)
        return oldest.address if oldest.age > neighbour.age else None
