"""Client of the counter service, which pipelines RESP2 calls on one connection.

A call adds to a named count, and the reply is the new total. Replies arrive in the order of the calls, also
late ones. A call that timed out therefore stays in the connection's queue until its reply arrives, so that
the reply is not assigned to a later call.
"""

import asyncio
import re
from collections import deque
from collections.abc import Callable

from lapisgrade.engine import Task
from lapisgrade.interface import AddToCounter
from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection import (
    READ_BYTES,
    CountingStreamReader,
    call_after_pending_io,
    connect,
    is_stale,
    limit_read_size,
)
from lapisgrade.net.events import CounterCallFinished, Event
from lapisgrade.net.http import MalformedMessageError
from lapisgrade.net.metrics import NetMetrics

# A complete reply: a bulk string with a total, or an error. A valid total is trusted; malformed data does not
# show whether the call was executed.
_REPLY = re.compile(
    rb"\$(?P<size>\d{1,2})\r\n(?P<total>[-+]?(?:\d+\.?\d*|\.\d+)(?:[eE][-+]?\d{1,3})?)\r\n"
    rb"|-(?P<error>[^\r\n]{1,256})\r\n"
)
# A prefix of a valid reply.
_PARTIAL_REPLY = re.compile(rb"(?:\$(?:\d{1,2}(?:\r(?:\n(?:[-+.\deE]{1,64}\r?)?)?)?)?|-[^\r\n]{0,256}\r?)?")
MAX_TOTAL = 1e15  # far more than all limiters can add; a larger total is invalid
_MAX_SHOWN_BYTES = 80  # bytes of a reply to include in log lines
_US_PER_MS = 1000


class CounterCall:
    """One call; `task` waits for its result and is None once that is reported, for example at a time-out."""

    __slots__ = ("frame", "is_written", "task", "timer")

    def __init__(self, task: Task, frame: bytes) -> None:
        self.task: Task | None = task
        self.frame = frame
        self.timer: asyncio.TimerHandle | None = None
        self.is_written = False


class CounterConnection:
    """One connection, with the calls waiting for it to be established and those in flight on it."""

    __slots__ = (
        "_address",
        "_buffer",
        "_client",
        "_last_received_s",
        "_reader",
        "_task",
        "_writer",
        "in_flight",
        "pending",
    )

    def __init__(self, client: "CounterClient", address: tuple[str, int]) -> None:
        """Start to connect to `address`."""
        self._client = client
        self._address = address
        self.pending: deque[CounterCall] = deque()  # waiting for the connection
        self.in_flight: deque[CounterCall] = deque()  # written, without a reply
        self._reader: CountingStreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Time on the loop's clock of the last read, or of the last write with no other call in flight.
        self._last_received_s = 0.0
        self._buffer = b""  # start of an incomplete reply
        self._task = asyncio.get_running_loop().create_task(self._run())

    def ensure_usable(self) -> bool:
        """Return whether another call may be written; closes the connection if not."""
        if self._writer is None:
            return True
        silent_s = asyncio.get_running_loop().time() - self._last_received_s
        if self.in_flight and silent_s > self._client.connect_timeout_s:
            self.close(CloseReason.CONNECTION_LOST)  # the peer is probably unreachable
        elif not self.in_flight and is_stale(self._reader, self._writer):
            self.close(CloseReason.IDLE)
        else:
            return True
        return False

    def send(self, call: CounterCall) -> None:
        """Write a call, or queue it until the connection is established."""
        if self._writer is None:
            self.pending.append(call)
            return
        if not self.in_flight:
            self._last_received_s = asyncio.get_running_loop().time()
        self.in_flight.append(call)
        call.is_written = True
        self._writer.write(call.frame)

    def close(self, reason: CloseReason) -> None:
        """Close immediately and finish all calls with `reason`; those written may have been executed."""
        self._client.on_connection_closed(self)
        for call in (*self.in_flight, *self.pending):
            self._client.on_call_finished(call, reason)
        self.in_flight.clear()
        self.pending.clear()
        if self._writer is not None:
            self._writer.transport.abort()
        if self._task is not asyncio.current_task():
            self._task.cancel()

    async def _run(self) -> None:
        """Connect, write the pending calls, and read until the connection closes."""
        try:
            async with asyncio.timeout(self._client.connect_timeout_s):
                reader, writer = await connect(*self._address)
        except TimeoutError:
            return self.close(CloseReason.CONNECT_TIMEOUT)
        except OSError:
            return self.close(CloseReason.CONNECTION_REFUSED)
        limit_read_size(writer)
        self._reader = reader
        self._writer = writer
        while self.pending:
            call = self.pending.popleft()
            if call.task is not None:  # a call that timed out must not be written
                self.send(call)
        try:
            while chunk := await reader.read(READ_BYTES):
                self._last_received_s = asyncio.get_running_loop().time()
                self._receive(chunk)
        except OSError:
            pass  # reset by the counter service
        except MalformedMessageError as error:
            self._client.log(f"malformed reply from the counter service: {error}; connection closed")
            self.close(CloseReason.MALFORMED)
        finally:
            self.close(CloseReason.CONNECTION_LOST)

    def _receive(self, chunk: bytes) -> None:
        data = self._buffer + chunk if self._buffer else chunk
        offset = 0
        while (reply := _REPLY.match(data, offset)) is not None:
            offset = reply.end()
            self._on_reply(reply)
        self._buffer = data[offset:]
        if _PARTIAL_REPLY.fullmatch(self._buffer) is None:  # rejects invalid data and endless replies
            raise MalformedMessageError(f"not a valid RESP2 reply: {self._buffer[:_MAX_SHOWN_BYTES]!r}")

    def _on_reply(self, reply: re.Match[bytes]) -> None:
        """Finish the oldest call in flight."""
        total = 0.0
        if reply["total"] is not None:
            total = float(reply["total"])
            if len(reply["total"]) != int(reply["size"]) or not abs(total) < MAX_TOTAL:
                raise MalformedMessageError(f"not a valid total: {reply[0][:_MAX_SHOWN_BYTES]!r}")
            reason = CloseReason.ANSWERED
        else:
            reason = CloseReason.REJECTED
            if not reply["error"].startswith(b"BUSY"):
                self._client.log(f"counter service rejected a call: {reply['error'][:_MAX_SHOWN_BYTES]!r}")
        if not self.in_flight:
            raise MalformedMessageError("reply received without a call in flight")
        call = self.in_flight.popleft()
        if call.task is None:
            self._client.metrics.late_counter_replies += 1
        self._client.on_call_finished(call, reason, total)


class CounterClient:
    """Client of the counter service at one address, which may change.

    The host calls `add`. Exactly one `CounterCallFinished` event is enqueued for each call.
    """

    def __init__(
        self,
        enqueue: Callable[[Event], None],
        log: Callable[[str], None],
        metrics: NetMetrics,
        address: tuple[str, int],
        timeout_us: int,
        connect_timeout_us: int,
    ) -> None:
        """Create a client without a connection.

        Args:
            enqueue: Receives the events.
            log: Writes one log line.
            metrics: Counters to update.
            address: Host and port of the counter service.
            timeout_us: Time-out of a call in microseconds.
            connect_timeout_us: Time-out for connecting in microseconds.
        """
        self._enqueue = enqueue
        self.log = log
        self.metrics = metrics
        self._address = address
        self._timeout_s = timeout_us / SECOND
        self.connect_timeout_s = connect_timeout_us / SECOND
        self._current: CounterConnection | None = None  # connection for new calls
        self._retiring: list[CounterConnection] = []  # connections to a previous address, with open calls

    def add(self, task: Task, add: AddToCounter) -> None:
        """Call the counter service; the task waits for the total."""
        ttl_ms = max(1, add.ttl_us // _US_PER_MS)
        call = CounterCall(
            task, _encode(b"INCRTTL", b"%d" % add.counter_id, b"%.6f" % add.amount, b"%d" % ttl_ms)
        )
        call.timer = asyncio.get_running_loop().call_later(self._timeout_s, self._on_timeout, call)
        self.metrics.counter_calls += 1
        self._usable_connection().send(call)

    def change_address(self, address: tuple[str, int]) -> None:
        """Send new calls to another address; calls already written keep their connection."""
        if address == self._address:
            return
        self._address = address
        retiring, self._current = self._current, None
        if retiring is None:
            return
        for call in retiring.pending:
            if call.task is not None:
                self._usable_connection().send(call)
        retiring.pending.clear()
        self._retiring.append(retiring)
        asyncio.get_running_loop().call_later(
            self._timeout_s, call_after_pending_io, lambda: retiring.close(CloseReason.TIMED_OUT)
        )

    def close(self) -> None:
        """Cancel all calls and close the connections."""
        for connection in [*self._retiring, *([self._current] if self._current is not None else [])]:
            connection.close(CloseReason.CANCELLED)

    def on_connection_closed(self, connection: CounterConnection) -> None:
        """Handle a closed connection."""
        if self._current is connection:
            self._current = None
        elif connection in self._retiring:
            self._retiring.remove(connection)

    def on_call_finished(self, call: CounterCall, reason: CloseReason, total: float = 0.0) -> None:
        """Report the result of a call, unless it is already reported."""
        if call.task is not None:
            call.timer.cancel()
            self.metrics.counter_calls_finished[reason] += 1
            self._enqueue(CounterCallFinished(call.task, reason, total))
            call.task = None

    def _usable_connection(self) -> CounterConnection:
        if self._current is None or not self._current.ensure_usable():
            self._current = CounterConnection(self, self._address)
        return self._current

    def _on_timeout(self, call: CounterCall) -> None:
        call_after_pending_io(
            lambda: self.on_call_finished(
                call, CloseReason.TIMED_OUT if call.is_written else CloseReason.NOT_SENT
            )
        )


def _encode(*arguments: bytes) -> bytes:
    """Encode a command as a RESP2 array of bulk strings."""
    bulk_strings = b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in arguments)
    return b"*%d\r\n%b" % (len(arguments), bulk_strings)
