"""A counter that speaks RESP2 on loopback: `INCRTTL NAME AMOUNT LIFE_MS`, `PING`, `CLIENT`, `SELECT`.

Like the platform's counter it keeps one count per name, with a lifetime from the first addition. Tests and
the demo inject faults while it runs: slow, missing, stale or corrupt replies, rejected calls, refused or
reset connections, a restart with empty state, a split into two halves that both accept writes, and the heal
of that split. To replace the counter, start a second `Counter` at another address.

RESP2 is parsed by hiredis, the established parser of the protocol, not by code of this project.
"""

import asyncio
import time
from enum import Enum

import hiredis

from lapisgrade.fakes.counter.store import CounterStats, SplitStore, Store, execute_command, heal, split
from lapisgrade.fakes.listener import Listener

MAX_CONNECTIONS = 32  # set by the protocol: open connections per address; further ones are reset
IDLE_TIMEOUT_S = 10.0  # set by the protocol: an idle connection is closed after this time
READ_BYTES = 16_384  # maximum bytes per read; a call is far shorter
MAX_BUFFERED_BYTES = 1 << 20  # unanswered calls per connection; beyond that it is closed, against floods


class CounterMode(Enum):
    """How the counter replies."""

    NORMAL = "well"
    SLOW = "slow"  # replies after `delay_s`
    SILENT = "silent"  # reads calls and never replies
    BUSY = "busy"  # rejects every call with -BUSY and adds nothing
    REFUSING = "refusing"  # closes each new connection immediately
    STALE = "stale"  # adds, but replies with the total from when this mode was set
    SPOILT = "spoilt"  # adds, but replies with a bulk string that is not a number


class Counter(Listener):
    """The fake counter on one loopback port.

    After `await open()`, inject faults with `set_mode()`, `delay_s`, `restart()`, `split()` and `heal()`.

    Attributes:
        max_connections: Maximum number of open connections; further ones are reset.
        store: The counts; not used while the counter is split.
        stats: Counters of calls and connections since the fake was created.
        mode: How it replies; set it with `set_mode()`.
        delay_s: Delay of each reply in mode SLOW.
        split_store: The halves while the counter is split, else None; each connection uses one of them.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, max_connections: int = MAX_CONNECTIONS):
        super().__init__(host, port)
        self.max_connections = max_connections
        self.store, self.stats = Store(), CounterStats()
        self.mode, self.delay_s = CounterMode.NORMAL, 0.0
        self.split_store: SplitStore | None = None
        self._accepted = 0
        self._stale_totals: dict[bytes, float] = {}

    def restart(self) -> None:
        """Reset all connections and drop all counts, like a counter process that restarts."""
        self.reset_connections()
        self.store, self.split_store = Store(), None

    def split(self) -> None:
        """Split into two halves that each accept writes as if they were the only counter.

        Open connections are reset, and new ones are assigned to the halves in turn, so that every client
        uses one half or the other.
        """
        self.reset_connections()
        self.split_store = split(self.store)

    def heal(self) -> None:
        """Merge the halves: the counts at the split plus the additions of both halves since."""
        if self.split_store is not None:
            self.reset_connections()
            self.store, self.split_store = heal(self.split_store), None

    def set_mode(self, mode: CounterMode) -> None:
        """Set the mode. STALE also saves the current totals, to reply with them."""
        if mode is CounterMode.STALE:
            self._stale_totals = {name: count.total for name, count in self.store.counts.items()}
        self.mode = mode

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is CounterMode.REFUSING or self.connections > self.max_connections:
            self.stats.reset_connections += 1
            return
        half = self._accepted % 2
        self._accepted += 1
        parser, owes_replies = hiredis.Reader(), False
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
                    # Keep reading, to notice that the client disconnects: until then the connection counts
                    # towards `max_connections`.
                    owes_replies = True
                    parser = hiredis.Reader()
                    continue
                if owes_replies:
                    break  # earlier calls got no reply, so a reply now would be matched to the wrong call
                while (command := parser.gets()) is not False:
                    writer.write(await self._answer(command, half))
                await writer.drain()
        except (OSError, TimeoutError, hiredis.ProtocolError, asyncio.CancelledError):
            pass  # asyncio's streams log an error for a handler that re-raises its cancellation

    async def _answer(self, command, half: int) -> bytes:
        """Return the reply to one call according to the mode; while split, `half` (0 or 1) executes it."""
        if self.mode is CounterMode.SLOW:
            await asyncio.sleep(self.delay_s)
        if self.mode is CounterMode.BUSY:
            self.stats.calls += 1
            self.stats.busy += 1
            return b"-BUSY try later\r\n"
        store = self.store if self.split_store is None else self.split_store.halves[half]
        command = command if isinstance(command, list) else [command]
        reply = execute_command(store, self.stats, command, time.monotonic())
        if self.mode is CounterMode.SPOILT and reply.startswith(b"$"):
            return b"$5\r\nfresh\r\n"
        if self.mode is CounterMode.STALE and reply.startswith(b"$"):
            text = repr(self._stale_totals.get(command[1], 0.0)).encode()
            return b"$%d\r\n%b\r\n" % (len(text), text)
        return reply
