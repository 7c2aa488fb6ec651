"""A counter that speaks RESP2 on loopback: `INCRTTL NAME AMOUNT LIFE_MS`, `PING`, `CLIENT`, `SELECT`.

Counts are kept per name with a life from their first addition, as the platform's counter keeps them.
Its manner can be changed while it runs, so that tests and the demo can script its faults: slow, silent,
busy, refusing connections, connections cut, or restarted empty.

RESP2 is read with hiredis (the well-known parser of the protocol), never by hand.
"""

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum

import hiredis

from lapisgrade.standins.listener import Listener

LONGEST_LIFE_MS = 60_000  # the protocol's figure: a longer life counts as this
MOST_AMOUNT = 1e9  # the protocol's figure: the most that one call may add
NAME_BYTES = 64  # the protocol's figure: the longest name
MOST_CONNECTIONS = 32  # the protocol's figure: connections held at one address; further ones are reset
IDLE_S = 10.0  # the protocol's figure: a connection idle for this long is closed
READ_BYTES = 16_384  # one read; a call is far shorter
MOST_BUFFERED = 1 << 20  # bytes of unanswered calls held for one connection before it is cut (guards a flood)
SILENT_S = 3600.0  # how long a silent counter sits on a call: longer than anyone waits


class Manner(Enum):
    """How the counter answers from now on."""

    WELL = "well"
    SLOW = "slow"  # answers after `delay_s`
    SILENT = "silent"  # reads calls and never answers
    BUSY = "busy"  # turns every call away with -BUSY, adds nothing
    REFUSING = "refusing"  # closes each new connection at once


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
            count = Count(0.0, now_s + min(life_ms, LONGEST_LIFE_MS) / 1000)
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
    if not 1 <= len(name) <= NAME_BYTES or abs(amount) > MOST_AMOUNT or amount != amount or life_ms < 1:
        tally.errors += 1
        return b"-ERR name, amount or life out of range\r\n"
    total = store.add(name, amount, life_ms, now_s)
    tally.added += 1
    tally.amounts[name] = tally.amounts.get(name, 0.0) + amount
    text = repr(total).encode()
    return b"$%d\r\n%b\r\n" % (len(text), text)


class Counter(Listener):
    """The stand-in counter on one loopback port. `await open()`, then `manner`, `delay_s`, `restart()`."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, most_connections: int = MOST_CONNECTIONS):
        super().__init__(host, port)
        self.most_connections = most_connections
        self.store, self.tally = Store(), Tally()
        self.manner, self.delay_s = Manner.WELL, 0.0

    def restart(self) -> None:
        """Come back empty, as a counter that lost its memory: connections cut, every count forgotten."""
        self.cut()
        self.store = Store()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.manner is Manner.REFUSING or self.connections > self.most_connections:
            self.tally.reset_connections += 1
            return
        parser = hiredis.Reader()
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    chunk = await reader.read(READ_BYTES)
                if not chunk:
                    break
                parser.feed(chunk)
                if parser.len() > MOST_BUFFERED:
                    break
                while (words := parser.gets()) is not False:
                    writer.write(await self._answer(words))
                await writer.drain()
        except (OSError, TimeoutError, hiredis.ProtocolError, asyncio.CancelledError):
            pass  # a cancelled handler that re-raised would be logged by asyncio's streams as an error

    async def _answer(self, words) -> bytes:
        if self.manner is Manner.SILENT:
            await asyncio.sleep(SILENT_S)
        if self.manner is Manner.SLOW:
            await asyncio.sleep(self.delay_s)
        if self.manner is Manner.BUSY:
            self.tally.calls += 1
            self.tally.busy += 1
            return b"-BUSY try later\r\n"
        return answer(self.store, self.tally, words if isinstance(words, list) else [words], time.monotonic())
