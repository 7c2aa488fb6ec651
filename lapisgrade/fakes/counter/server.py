"""A counter that speaks RESP2 on loopback: `INCRTTL NAME AMOUNT LIFE_MS`, `PING`, `CLIENT`, `SELECT`.

Counts are kept per name with a life from their first addition, as the platform's counter keeps them.
Its mode can be changed while it runs, so that tests and the demo can script its faults: slow, silent,
busy, refusing connections, stale or spoilt answers, connections cut, restarted empty, split into two halves
that each take writes, and healed. A swap is a second `Counter` at another address.

RESP2 is read with hiredis (the well-known parser of the protocol), never by hand.
"""

import asyncio
import time
from enum import Enum

import hiredis

from lapisgrade.fakes.counter.store import Split, Store, Tally, answer, heal, split
from lapisgrade.fakes.listener import Listener

MAX_CONNECTIONS = 32  # the protocol's figure: connections held at one address; further ones are reset
IDLE_TIMEOUT_S = 10.0  # the protocol's figure: a connection idle for this long is closed
READ_BYTES = 16_384  # one read; a call is far shorter
MAX_BUFFERED_BYTES = 1 << 20  # of unanswered calls on one connection before it is closed (guards a flood)


class CounterMode(Enum):
    """How the counter answers from now on."""

    NORMAL = "well"
    SLOW = "slow"  # answers after `delay_s`
    SILENT = "silent"  # reads calls and never answers
    BUSY = "busy"  # turns every call away with -BUSY, adds nothing
    REFUSING = "refusing"  # closes each new connection at once
    STALE = "stale"  # adds, but answers with the total as it stood at the moment it turned stale
    SPOILT = "spoilt"  # adds, and answers with a bulk string that is no number


class Counter(Listener):
    """The fake counter on one loopback port. `await open()`, then `mode`, `delay_s`, `restart()`."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, max_connections: int = MAX_CONNECTIONS):
        super().__init__(host, port)
        self.max_connections = max_connections
        self.store, self.tally = Store(), Tally()
        self.mode, self.delay_s = CounterMode.NORMAL, 0.0
        self.partition: Split | None = None  # while split, the halves; each connection keeps to one
        self._accepted = 0
        self._stale: dict[bytes, float] = {}

    def restart(self) -> None:
        """Come back empty, as a counter that lost its memory: connections cut, every count forgotten."""
        self.reset_connections()
        self.store, self.partition = Store(), None

    def split(self) -> None:
        """Partition into two halves that each take writes and believe themselves complete.

        Connections from now on go to the halves in turn; those open now are reset, so that every caller meets
        one half or the other.
        """
        self.reset_connections()
        self.partition = split(self.store)

    def heal(self) -> None:
        """One counter again, holding the base and what each half added since the split."""
        if self.partition is not None:
            self.reset_connections()
            self.store, self.partition = heal(self.partition), None

    def set_mode(self, mode: CounterMode) -> None:
        """Answer in `mode` from now on; a stale counter keeps the totals as they stand now."""
        if mode is CounterMode.STALE:
            self._stale = {name: count.total for name, count in self.store.counts.items()}
        self.mode = mode

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is CounterMode.REFUSING or self.connections > self.max_connections:
            self.tally.reset_connections += 1
            return
        half = self._accepted % 2
        self._accepted += 1
        parser, mute = hiredis.Reader(), False
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    chunk = await reader.read(READ_BYTES)
                if not chunk:
                    break
                parser.feed(chunk)
                if parser.len() > MAX_BUFFERED_BYTES:
                    break
                if self.mode is CounterMode.SILENT:
                    mute = True  # reads on, so that it sees its caller go (guards the room for connections)
                    parser = hiredis.Reader()
                    continue
                if mute:
                    break  # it owes answers that will not come: none may be taken for a later call's
                while (words := parser.gets()) is not False:
                    writer.write(await self._answer(words, half))
                await writer.drain()
        except (OSError, TimeoutError, hiredis.ProtocolError, asyncio.CancelledError):
            pass  # a cancelled handler that re-raised would be logged by asyncio's streams as an error

    async def _answer(self, words, half: int) -> bytes:
        if self.mode is CounterMode.SLOW:
            await asyncio.sleep(self.delay_s)
        if self.mode is CounterMode.BUSY:
            self.tally.calls += 1
            self.tally.busy += 1
            return b"-BUSY try later\r\n"
        store = self.store if self.partition is None else self.partition.halves[half]
        words = words if isinstance(words, list) else [words]
        said = answer(store, self.tally, words, time.monotonic())
        if self.mode is CounterMode.SPOILT and said.startswith(b"$"):
            return b"$5\r\nfresh\r\n"
        if self.mode is CounterMode.STALE and said.startswith(b"$"):
            text = repr(self._stale.get(words[1], 0.0)).encode()
            return b"$%d\r\n%b\r\n" % (len(text), text)
        return said
