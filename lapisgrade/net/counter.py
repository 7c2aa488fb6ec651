"""Calls to the counter, in RESP2, one behind another on one connection."""

import asyncio
import re
from collections import Counter as Counts
from collections import deque
from collections.abc import Callable

from lapisgrade.engine import Task
from lapisgrade.interface import AddToCounter
from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import CounterCallFinished, Event
from lapisgrade.net.http import (
    READ_BYTES,
    MalformedMessageError,
    Reader,
    call_after_pending_io,
    connect,
    is_stale,
    limit_read_size,
)

# A whole answer, and what may yet become one. A total that can be read is true; anything else tells nothing.
_ANSWER = re.compile(
    rb"\$(?P<size>\d{1,2})\r\n(?P<total>[-+]?(?:\d+\.?\d*|\.\d+)(?:[eE][-+]?\d{1,3})?)\r\n"
    rb"|-(?P<error>[^\r\n]{1,256})\r\n"
)
MOST_TOTAL = 1e15  # far past what all limiters could add; more would not be a number to reckon with
_BEGUN = re.compile(rb"(?:\$(?:\d{1,2}(?:\r(?:\n(?:[-+.\deE]{1,64}\r?)?)?)?)?|-[^\r\n]{0,256}\r?)?")


class Call:
    """One call; `task` is None once its end has been told, as when its answer comes too late."""

    __slots__ = ("task", "timer", "words", "written")

    def __init__(self, task: Task, words: bytes) -> None:
        self.task: Task | None = task
        self.words = words
        self.timer: asyncio.TimerHandle | None = None
        self.written = False


class Line:
    """One connection to the counter: the calls that wait for it to come up, and those written on it."""

    __slots__ = (
        "_address",
        "_buffer",
        "_desk",
        "_heard",
        "_reader",
        "_task",
        "_writer",
        "out",
        "waiting",
    )

    def __init__(self, desk: "Counter", address: tuple[str, int]) -> None:
        self._desk, self._address = desk, address
        self.waiting: deque[Call] = deque()
        self.out: deque[Call] = deque()  # written, not answered
        self._reader: Reader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._heard = 0.0  # when it last brought something, or had nothing to bring
        self._buffer = b""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def usable(self) -> bool:
        """Whether a further call may go out on it; one that can't be used is let go of."""
        if self._writer is None:
            return True
        if self.out and asyncio.get_running_loop().time() - self._heard > self._desk.dial:
            self.end(CloseReason.CONNECTION_LOST)  # guards against a peer that has vanished
        elif not self.out and is_stale(self._reader, self._writer):
            self.end(CloseReason.IDLE)
        else:
            return True
        return False

    def add(self, call: Call) -> None:
        if self._writer is None:
            self.waiting.append(call)
            return
        if not self.out:
            self._heard = asyncio.get_running_loop().time()
        self.out.append(call)
        call.written = True
        self._writer.write(call.words)

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self._desk.dial):
                reader, writer = await connect(*self._address)
        except TimeoutError:
            return self.end(CloseReason.CONNECT_TIMEOUT)
        except OSError:
            return self.end(CloseReason.CONNECTION_REFUSED)
        limit_read_size(writer)
        self._reader, self._writer = reader, writer
        while self.waiting:
            call = self.waiting.popleft()
            if call.task is not None:  # one that was given up must not be written any more
                self.add(call)
        try:
            while chunk := await reader.read(READ_BYTES):
                self._heard = asyncio.get_running_loop().time()
                self._feed(chunk)
        except OSError:
            pass
        except MalformedMessageError as wrong:
            self._desk.say(f"the counter: {wrong}")
            self.end(CloseReason.MALFORMED)
        finally:
            self.end(CloseReason.CONNECTION_LOST)

    def end(self, ending: CloseReason) -> None:
        """Let go of it; what was written on it may have been added."""
        self._desk.forget(self)
        for call in (*self.out, *self.waiting):
            self._desk.ended(call, ending)
        self.out.clear()
        self.waiting.clear()
        if self._writer is not None:
            self._writer.transport.abort()
        if self._task is not asyncio.current_task():
            self._task.cancel()

    def _feed(self, chunk: bytes) -> None:
        """Answers, each one line or, for a bulk string, two."""
        data = self._buffer + chunk if self._buffer else chunk
        at = 0
        while (answer := _ANSWER.match(data, at)) is not None:
            at = answer.end()
            total = 0.0
            if answer["total"] is not None:
                total = float(answer["total"])
                if len(answer["total"]) != int(answer["size"]) or not abs(total) < MOST_TOTAL:
                    raise MalformedMessageError(f"no total: {answer[0][:80]!r}")
                ending = CloseReason.ANSWERED
            else:
                ending = CloseReason.REJECTED
                if not answer["error"].startswith(b"BUSY"):
                    self._desk.say(f"the counter says {answer['error'][:80]!r}")
            if not self.out:
                raise MalformedMessageError("an answer without a call")
            call = self.out.popleft()
            if call.task is None:
                self._desk.counts["counter answers too late"] += 1
            self._desk.ended(call, ending, total)
        self._buffer = data[at:]
        if _BEGUN.fullmatch(self._buffer) is None:  # guards against noise, and answers that never end
            raise MalformedMessageError(f"an answer to no call of ours: {self._buffer[:80]!r}")


class Counter:
    """The counter service; answers come in the order of the calls, late ones too."""

    def __init__(
        self,
        put: Callable[[Event], None],
        say: Callable[[str], None],
        counts: Counts[str],
        address: tuple[str, int],
        time_out_us: int,
        dial_us: int,
    ) -> None:
        self._put, self.say, self.counts, self._address = put, say, counts, address
        self._patience, self.dial = time_out_us / SECOND, dial_us / SECOND
        self._line: Line | None = None  # that new calls go out on
        self._left: list[Line] = []  # at an address left, until their calls are answered or overdue

    def add(self, task: Task, add: AddToCounter) -> None:
        words = [b"INCRTTL", b"%d" % add.counter_id, b"%.6f" % add.amount, b"%d" % max(1, add.ttl_us // 1000)]
        call = Call(task, b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in words))
        call.timer = asyncio.get_running_loop().call_later(self._patience, self._overdue, call)
        self.counts["counter calls"] += 1
        self._newest().add(call)

    def move(self, address: tuple[str, int]) -> None:
        """From now on calls go to another address; those written are answered where they went."""
        if address == self._address:
            return
        self._address, line, self._line = address, self._line, None
        if line is None:
            return
        for call in line.waiting:
            if call.task is not None:
                self._newest().add(call)
        line.waiting.clear()
        self._left.append(line)
        asyncio.get_running_loop().call_later(
            self._patience, call_after_pending_io, lambda: line.end(CloseReason.TIMED_OUT)
        )

    def close(self) -> None:
        """The end: no call goes out any more."""
        for line in [*self._left, *([self._line] if self._line is not None else [])]:
            line.end(CloseReason.CANCELLED)

    def forget(self, line: Line) -> None:
        if self._line is line:
            self._line = None
        elif line in self._left:
            self._left.remove(line)

    def ended(self, call: Call, ending: CloseReason, total: float = 0.0) -> None:
        if call.task is not None:
            call.timer.cancel()
            self.counts[f"counter calls {ending.value}"] += 1
            self._put(CounterCallFinished(call.task, ending, total))
            call.task = None

    def _newest(self) -> Line:
        if self._line is None or not self._line.usable():
            self._line = Line(self, self._address)
        return self._line

    def _overdue(self, call: Call) -> None:
        call_after_pending_io(
            lambda: self.ended(call, CloseReason.TIMED_OUT if call.written else CloseReason.NOT_SENT)
        )
