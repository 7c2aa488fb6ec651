"""Calls to the counter, in RESP2, one behind another on one connection."""

import asyncio
from collections import Counter as Counts
from collections import deque
from collections.abc import Callable

from lapisgrade.engine import Task
from lapisgrade.interface import Add
from lapisgrade.net import SECOND
from lapisgrade.net.ending import Ending
from lapisgrade.net.events import Counted, Event
from lapisgrade.net.http import CHUNK, late, stale, steady


class Call:
    """One call; `task` is None once its end has been told, as when its answer comes too late."""

    __slots__ = ("task", "timer", "words", "written")

    def __init__(self, task: Task, words: bytes) -> None:
        self.task: Task | None = task
        self.words = words
        self.timer: asyncio.TimerHandle | None = None
        self.written = False


class Counter:
    """The counter service; answers come in the order of the calls, late ones too."""

    def __init__(
        self, put: Callable[[Event], None], say: Callable[[str], None], counts: Counts[str],
        address: str, time_out_us: int, dial_us: int,
    ) -> None:
        self._put, self._say, self._counts = put, say, counts
        host, _, port = address.rpartition(":")
        self._address = (host, int(port or 0))
        self._patience, self._dial = time_out_us / SECOND, dial_us / SECOND
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._runs: asyncio.Task | None = None
        self._waiting: deque[Call] = deque()  # for the connection
        self._out: deque[Call] = deque()  # written, not answered
        self._heard = 0.0  # when the connection last brought something, or had nothing to bring
        self._buffer = b""

    def add(self, task: Task, add: Add) -> None:
        words = [b"INCRTTL", b"%d" % add.name, b"%.6f" % add.amount, b"%d" % max(1, add.life_us // 1000)]
        call = Call(task, b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in words))
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(self._patience, self._overdue, call)
        self._counts["counter calls"] += 1
        if self._writer is not None and self._out and loop.time() - self._heard > self._dial:
            self._writer.transport.abort()  # guards against a peer that has vanished
            self._lost(Ending.BROKEN)
        elif self._writer is not None and not self._out and stale(self._reader, self._writer):
            self._lost(Ending.IDLE)
        if self._writer is not None:
            self._write(call)
        else:
            self._waiting.append(call)
            if self._runs is None:
                self._runs = loop.create_task(self._run())

    def close(self) -> None:
        """The end: no call goes out any more."""
        if self._runs is not None:
            self._runs.cancel()
        if self._writer is not None:
            self._writer.transport.abort()

    def _write(self, call: Call) -> None:
        if not self._out:
            self._heard = asyncio.get_running_loop().time()
        self._out.append(call)
        call.written = True
        self._writer.write(call.words)

    async def _run(self) -> None:
        """One life of the connection."""
        writer = None
        try:
            async with asyncio.timeout(self._dial):
                reader, writer = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError) as wrong:
            self._runs = None
            never = isinstance(wrong, TimeoutError)
            return self._lost(Ending.NEVER_UP if never else Ending.REFUSED)
        steady(writer)
        self._reader, self._writer, self._buffer = reader, writer, b""
        while self._waiting:
            call = self._waiting.popleft()
            if call.task is not None:  # one that was given up must not be written any more
                self._write(call)
        try:
            while chunk := await reader.read(CHUNK):
                if self._writer is not writer:
                    break  # given up meanwhile: its answers are no longer looked for
                self._heard = asyncio.get_running_loop().time()
                self._feed(chunk)
        except (OSError, ValueError) as wrong:
            self._say(f"the counter's connection: {wrong!r}")
        writer.transport.abort()
        if self._writer is writer:
            self._lost(Ending.BROKEN)

    def _lost(self, ending: Ending) -> None:
        """The connection is gone; what was written on it may have been added."""
        self._writer, self._runs = None, None
        for call in (*self._out, *self._waiting):
            self._end(call, ending)
        self._out.clear()
        self._waiting.clear()

    def _end(self, call: Call, ending: Ending, total: float = 0.0) -> None:
        if call.task is not None:
            call.timer.cancel()
            self._counts[f"counter calls {ending.value}"] += 1
            self._put(Counted(call.task, ending, total))
            call.task = None

    def _overdue(self, call: Call) -> None:
        late(lambda: self._end(call, Ending.OVERDUE if call.written else Ending.WITHHELD))

    def _feed(self, chunk: bytes) -> None:
        """Answers, each one line or, for a bulk string, two."""
        data = self._buffer + chunk if self._buffer else chunk
        at = 0
        while (end := data.find(b"\r\n", at)) >= 0:
            kind, line = data[at : at + 1], data[at + 1 : end]
            total = 0.0
            if kind == b"$":
                size = int(line)
                if len(data) < end + 2 + size + 2:
                    break
                total = float(data[end + 2 : end + 2 + size])
                end += size + 2
                ending = Ending.ANSWERED
            elif kind == b"-":
                ending = Ending.TURNED_AWAY
                if not line.startswith(b"BUSY"):
                    self._say(f"the counter says {line[:80]!r}")
            else:
                raise ValueError(f"an answer to no call of ours: {data[at:end][:80]!r}")
            at = end + 2
            if not self._out:
                raise ValueError("an answer without a call")
            call = self._out.popleft()
            if call.task is None:
                self._counts["counter answers too late"] += 1
            self._end(call, ending, total)
        self._buffer = data[at:]
