"""The counts of the fake counter and what a call does to them: pure, the clock handed in.

A split keeps the counts at the moment of the split as a base, and gives each half a copy of it that takes
writes of its own; a heal merges the halves so that nothing is counted twice or lost: for each name, the base
plus what each half added since.
"""

from dataclasses import dataclass, field

MAX_LIFETIME_MS = 60_000  # the protocol's figure: a longer life counts as this
MAX_AMOUNT = 1e9  # the protocol's figure: the most that one call may add
MAX_NAME_BYTES = 64  # the protocol's figure: the longest name


@dataclass(slots=True)
class Count:
    """One name's total and when it is forgotten (seconds on the monotonic clock)."""

    total: float
    until_s: float


@dataclass(slots=True)
class Tally:
    """What the counter has done; the demo and the tests read it."""

    calls: int = 0
    added: int = 0
    busy: int = 0
    errors: int = 0
    reset_connections: int = 0
    amounts: dict[bytes, float] = field(default_factory=dict)  # all that was ever added, per name


class Store:
    """The counts, apart from any socket: what a call does to them. Pure but for the clock it is handed."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[bytes, Count] = {}

    def add(self, name: bytes, amount: float, life_ms: int, now_s: float) -> float:
        """The new total of `name` after adding `amount`; a name past its life starts again from nothing."""
        count = self.counts.get(name)
        if count is None or count.until_s <= now_s:
            count = Count(0.0, now_s + min(life_ms, MAX_LIFETIME_MS) / 1000)
            self.counts[name] = count
        count.total = round(count.total + amount, 7)
        return count.total

    def forget(self, now_s: float) -> int:
        """Drop the names past their life; how many went."""
        gone = [name for name, count in self.counts.items() if count.until_s <= now_s]
        for name in gone:
            del self.counts[name]
        return len(gone)


def answer(store: Store, tally: Tally, words: list, now_s: float) -> bytes:
    """The RESP2 answer to one call, given as its list of words."""
    tally.calls += 1
    if not words or not all(isinstance(each, bytes) for each in words):
        tally.errors += 1
        return b"-ERR a call is an array of bulk strings\r\n"
    verb = words[0].upper()
    if verb == b"PING":
        return b"+PONG\r\n"
    if verb in (b"CLIENT", b"SELECT"):
        return b"+OK\r\n"
    if verb != b"INCRTTL":
        tally.errors += 1
        return b"-ERR unknown command '%b'\r\n" % words[0][:32]
    if len(words) != 4:
        tally.errors += 1
        return b"-ERR INCRTTL takes a name, an amount and a life in milliseconds\r\n"
    name = words[1]
    try:
        amount, life_ms = float(words[2]), int(words[3])
    except ValueError:
        tally.errors += 1
        return b"-ERR the amount or the life is not a number\r\n"
    if not 1 <= len(name) <= MAX_NAME_BYTES or abs(amount) > MAX_AMOUNT or amount != amount or life_ms < 1:
        tally.errors += 1
        return b"-ERR name, amount or life out of range\r\n"
    total = store.add(name, amount, life_ms, now_s)
    tally.added += 1
    tally.amounts[name] = tally.amounts.get(name, 0.0) + amount
    text = repr(total).encode()
    return b"$%d\r\n%b\r\n" % (len(text), text)


@dataclass(slots=True)
class Split:
    """Two halves that each believe themselves whole, and the counts that they were split from."""

    base: dict[bytes, Count]
    halves: tuple[Store, Store]


def split(store: Store) -> Split:
    """Part the counts into two halves, each starting from what was counted until now."""
    base = {name: Count(count.total, count.until_s) for name, count in store.counts.items()}
    halves = (Store(), Store())
    for half in halves:
        half.counts = {name: Count(count.total, count.until_s) for name, count in base.items()}
    return Split(base, halves)


def heal(partition: Split) -> Store:
    """One store again: for each name, the base and what each half added to it since the split."""
    healed = Store()
    names = list(partition.base)
    for half in partition.halves:
        names.extend(name for name in half.counts if name not in partition.base and name not in names)
    for name in names:
        base = partition.base.get(name)
        counts = [half.counts.get(name) for half in partition.halves]
        total = base.total if base else 0.0
        for count in counts:
            if count is not None:
                # A half whose name lived out its life and began again added all it holds.
                same_life = base is not None and count.until_s == base.until_s
                total += count.total - base.total if same_life else count.total
        until = max(count.until_s for count in [base, *counts] if count is not None)
        healed.counts[name] = Count(round(total, 7), until)
    return healed
