"""The counts of the fake counter and the execution of calls. Pure: the clock is an argument.

A split keeps the counts at that moment as a base and gives each half a copy that accepts writes. A heal
merges the halves so that each addition counts once: for each name, the base plus what each half added.
"""

from dataclasses import dataclass, field

MAX_LIFETIME_MS = 60_000  # set by the protocol: longer lifetimes are reduced to this
MAX_AMOUNT = 1e9  # set by the protocol: maximum amount of one call
MAX_NAME_BYTES = 64  # set by the protocol: maximum length of a name


@dataclass(slots=True)
class Count:
    """The total of one name and its expiry (seconds on the monotonic clock)."""

    total: float
    expires_s: float


@dataclass(slots=True)
class CounterStats:
    """Counters of the calls, for the demo and the tests."""

    calls: int = 0
    added: int = 0  # calls that added an amount
    busy: int = 0  # calls rejected with -BUSY
    errors: int = 0  # calls rejected with -ERR
    reset_connections: int = 0  # connections that were refused, or were beyond the maximum
    amounts: dict[bytes, float] = field(default_factory=dict)  # sum of all additions since the start, by name


class Store:
    """The counts by name, without I/O; the time is an argument."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[bytes, Count] = {}

    def add(self, name: bytes, amount: float, lifetime_ms: int, now_s: float) -> float:
        """Add `amount` to the count `name` and return the new total.

        A count that is missing or expired starts at 0, with a lifetime of `lifetime_ms` from `now_s`; later
        additions do not extend it.
        """
        count = self.counts.get(name)
        if count is None or count.expires_s <= now_s:
            count = Count(0.0, now_s + min(lifetime_ms, MAX_LIFETIME_MS) / 1000)
            self.counts[name] = count
        count.total = round(count.total + amount, 7)
        return count.total

    def remove_expired(self, now_s: float) -> int:
        """Remove the expired counts and return their number."""
        expired = [name for name, count in self.counts.items() if count.expires_s <= now_s]
        for name in expired:
            del self.counts[name]
        return len(expired)


def execute_command(store: Store, stats: CounterStats, command: list, now_s: float) -> bytes:
    """Execute one call, given as the list of its name and arguments, and return the RESP2 reply."""
    stats.calls += 1
    if not command or not all(isinstance(each, bytes) for each in command):
        stats.errors += 1
        return b"-ERR a call is an array of bulk strings\r\n"
    verb = command[0].upper()
    if verb == b"PING":
        return b"+PONG\r\n"
    if verb in (b"CLIENT", b"SELECT"):
        return b"+OK\r\n"
    if verb != b"INCRTTL":
        stats.errors += 1
        return b"-ERR unknown command '%b'\r\n" % command[0][:32]
    if len(command) != 4:
        stats.errors += 1
        return b"-ERR INCRTTL takes a name, an amount and a life in milliseconds\r\n"
    name = command[1]
    try:
        amount, lifetime_ms = float(command[2]), int(command[3])
    except ValueError:
        stats.errors += 1
        return b"-ERR the amount or the life is not a number\r\n"
    if (
        not 1 <= len(name) <= MAX_NAME_BYTES
        or abs(amount) > MAX_AMOUNT
        or amount != amount
        or lifetime_ms < 1
    ):
        stats.errors += 1
        return b"-ERR name, amount or life out of range\r\n"
    total = store.add(name, amount, lifetime_ms, now_s)
    stats.added += 1
    stats.amounts[name] = stats.amounts.get(name, 0.0) + amount
    text = repr(total).encode()
    return b"$%d\r\n%b\r\n" % (len(text), text)


@dataclass(slots=True)
class SplitStore:
    """Two halves of a split counter, and the counts at the time of the split."""

    base: dict[bytes, Count]
    halves: tuple[Store, Store]


def split(store: Store) -> SplitStore:
    """Return a split of the store whose halves both start from its current counts."""
    base = {name: Count(count.total, count.expires_s) for name, count in store.counts.items()}
    halves = (Store(), Store())
    for half in halves:
        half.counts = {name: Count(count.total, count.expires_s) for name, count in base.items()}
    return SplitStore(base, halves)


def heal(split_store: SplitStore) -> Store:
    """Merge a split: for each name, the base plus what each half added since the split."""
    healed = Store()
    names = list(split_store.base)
    for half in split_store.halves:
        names.extend(name for name in half.counts if name not in split_store.base and name not in names)
    for name in names:
        base = split_store.base.get(name)
        counts = [half.counts.get(name) for half in split_store.halves]
        total = base.total if base else 0.0
        for count in counts:
            if count is not None:
                # A count that expired and restarted in this half consists only of the half's own additions.
                same_lifetime = base is not None and count.expires_s == base.expires_s
                total += count.total - base.total if same_lifetime else count.total
        latest_s = max(count.expires_s for count in [base, *counts] if count is not None)
        healed.counts[name] = Count(round(total, 7), latest_s)
    return healed
