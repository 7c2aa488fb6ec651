"""Sends a schedule to limiters on loopback, open-loop, and counts the outcomes.

Each operation is sent at its due time, whether or not earlier ones have been answered. Its latency runs from
the due time to the answer, so a stall of the target shows in every operation that was due during it (no
coordinated omission). The delay between due time and sending is the client's lag, and is recorded separately.

A connection carries one request at a time. If all are busy, a new one is opened, up to `max_connections` per
limiter; beyond that an operation waits for a connection, and its latency includes the wait.

Latencies go into HdrHistograms (the `hdrhistogram` package), in microseconds.
"""

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass, field
from random import Random

import h11
from hdrh.histogram import HdrHistogram

from lapisgrade.lab.load.schedule import SECOND, PlannedOperation

GRACE_US = 500_000  # set by the protocol: an operation not answered this long after its time-out is lost
MAX_LATENCY_US = 600 * SECOND  # highest latency in the histograms; a longer one is recorded as this
DIGITS = 3  # significant digits of the histograms
READ_BYTES = 65_536  # maximum bytes per read
MAX_ANSWER_BYTES = 4 << 20  # maximum bytes of an answer's body; a longer one counts as given up
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99, 100.0)
OUTCOMES = ("finished", "turned back", "given up", "lost", "not sent")


@dataclass(slots=True)
class Tally:
    """Results of a run.

    Attributes:
        counts: Operations by outcome (one of OUTCOMES).
        latency: Latency in us by outcome, without lost and unsent operations.
        lag: Delay in us between due time and sending of each operation.
        statuses: Answers by HTTP status.
        retry_advised: Rejections with a Retry-After header.
        late: Answers after the time-out, within the grace period.
        resent: Requests sent again because an idle connection closed as they were sent.
        by_category: Operations sent by category, then by outcome.
    """

    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    latency: dict[str, HdrHistogram] = field(default_factory=dict)
    lag: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, DIGITS))
    statuses: dict[int, int] = field(default_factory=dict)
    retry_advised: int = 0
    late: int = 0
    resent: int = 0
    by_category: dict[str, dict[str, int]] = field(default_factory=dict)

    def histogram(self, outcome: str) -> HdrHistogram:
        """Return the latency histogram of an outcome; creates it at first use."""
        if outcome not in self.latency:
            self.latency[outcome] = HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        return self.latency[outcome]

    def all_latency(self) -> HdrHistogram:
        """Return the latency of all operations that got an answer."""
        total = HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        for outcome in ("finished", "turned back", "given up"):
            if outcome in self.latency:
                total.add(self.latency[outcome])
        return total

    @property
    def sent(self) -> int:
        """Number of operations sent that have an outcome."""
        return sum(self.counts.values()) - self.counts["not sent"]


class ConnectionBrokenError(Exception):
    """A connection failed before the answer was complete.

    Attributes:
        has_received: Whether any bytes of the answer arrived.
    """

    def __init__(self, has_received: bool) -> None:
        super().__init__("the connection failed before the answer was complete")
        self.has_received = has_received


class Connection:
    """A connection to a limiter.

    Attributes:
        is_new: Whether no exchange has completed on it yet.
    """

    __slots__ = ("conn", "is_new", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.conn = h11.Connection(h11.CLIENT)
        self.is_new = True

    def close(self) -> None:
        self.writer.transport.abort()

    async def exchange(self, request: h11.Request, body: bytes) -> tuple[int, dict[str, str]]:
        """Send a request; return the status and headers of the answer. Header names are in lower case.

        Raises:
            ConnectionBrokenError: The connection failed before the answer was complete, or the answer's body
                exceeds MAX_ANSWER_BYTES.
        """
        conn, has_received = self.conn, False
        try:
            self.writer.write(
                conn.send(request)
                + (conn.send(h11.Data(data=body)) if body else b"")
                + conn.send(h11.EndOfMessage())
            )
            response, size = None, 0
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    chunk = await self.reader.read(READ_BYTES)
                    has_received = has_received or bool(chunk)
                    conn.receive_data(chunk)
                elif isinstance(event, h11.InformationalResponse):
                    continue
                elif isinstance(event, h11.Response):
                    response = event
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > MAX_ANSWER_BYTES:
                        raise ConnectionBrokenError(True)
                elif isinstance(event, h11.EndOfMessage) and response is not None:
                    headers = {
                        name.decode().lower(): value.decode("latin-1") for name, value in response.headers
                    }
                    if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
                        conn.start_next_cycle()
                        self.is_new = False
                    else:
                        self.close()
                    return response.status_code, headers
                else:
                    raise ConnectionBrokenError(has_received)
        except (OSError, h11.ProtocolError):
            raise ConnectionBrokenError(has_received) from None


class Client:
    """The load tool. `await run(schedule)` returns the tally once every operation has ended."""

    def __init__(self, targets: list[tuple[str, int]], seed: int, max_connections: int = 256) -> None:
        """Initialize a client.

        Args:
            targets: Host and port of each limiter; one is chosen at random for each operation.
            seed: Seed of all randomness.
            max_connections: Maximum number of connections to each limiter.
        """
        self.targets, self.max_connections = targets, max_connections
        self.random = Random(seed)
        self.tally = Tally()
        # Each by limiter: idle connections, number of open ones, and operations that wait for one.
        self._idle: list[deque[Connection]] = [deque() for _ in targets]
        self._open_count = [0] * len(targets)
        # By limiter: futures of the operations that wait for a connection.
        self._waiting: list[deque[asyncio.Future]] = [deque() for _ in targets]
        self._number = 0
        self._stopped = False
        self._tasks: set[asyncio.Task] = set()

    def stop(self) -> None:
        """Send no further operations; those in flight still end."""
        self._stopped = True

    async def run(self, schedule: list[PlannedOperation]) -> Tally:
        """Send each operation at its due time; return the tally once all have ended."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for planned in schedule:
            due_s = started_s + planned.due_us / SECOND
            if self._stopped:
                self.tally.counts["not sent"] += 1
                continue
            wait_s = due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                if self._stopped:
                    self.tally.counts["not sent"] += 1
                    continue
            task = asyncio.create_task(self._run_operation(planned, due_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        for idle in self._idle:
            while idle:
                idle.pop().close()
        return self.tally

    async def _run_operation(self, planned: PlannedOperation, due_s: float) -> None:
        """Send an operation that was due at `due_s` (the loop's time) and record its outcome."""
        loop = asyncio.get_running_loop()
        self.tally.lag.record_value(max(1, round((loop.time() - due_s) * SECOND)))
        self._number += 1
        request_id = f"{self.random.getrandbits(64):016x}"
        limiter = self.random.randrange(len(self.targets))
        idempotency_key = f"{self.random.getrandbits(128):032x}" if planned.category == "ticket" else ""
        is_read = planned.category == "read"
        request, body = make_request(planned, request_id, idempotency_key, is_read, len(self.targets), 0)
        deadline_s = due_s + (planned.timeout_us + GRACE_US) / SECOND
        status, headers = await self.exchange(limiter, request, body, deadline_s)
        latency_us = max(1, round((loop.time() - due_s) * SECOND))
        outcome = self._outcome(status, headers, latency_us, planned)
        self.tally.counts[outcome] += 1
        self.tally.by_category.setdefault(planned.category, dict.fromkeys(OUTCOMES, 0))[outcome] += 1
        if outcome != "lost":
            self.tally.histogram(outcome).record_value(min(latency_us, MAX_LATENCY_US))

    def _outcome(
        self, status: int, headers: dict[str, str], latency_us: int, planned: PlannedOperation
    ) -> str:
        """Return the outcome for a status as `exchange` returns it; count the status, lateness and advice."""
        if status > 0:
            self.tally.statuses[status] = self.tally.statuses.get(status, 0) + 1
        if status <= 0:
            return "lost" if status < 0 else "given up"
        if latency_us > planned.timeout_us:
            self.tally.late += 1
        if status == 200:
            return "finished"
        if status in (429, 503):
            self.tally.retry_advised += "retry-after" in headers
            return "turned back"
        return "given up"

    async def exchange(
        self, limiter: int, request: h11.Request, body: bytes, deadline_s: float
    ) -> tuple[int, dict[str, str]]:
        """Send a request to a limiter; return the status and headers of its answer.

        The status is 0 if the connection failed, and -1 if no answer arrived before the deadline. If an idle
        connection closes before any byte of the answer, the request is sent once more.

        Args:
            limiter: Index of the limiter in `targets`.
            request: The request.
            body: Body of the request.
            deadline_s: Latest time of the answer (the loop's time).
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                for _ in range(2):
                    connection = await self._acquire_connection(limiter)
                    try:
                        answer = await connection.exchange(request, body)
                    except ConnectionBrokenError as broken:
                        self._close_connection(limiter, connection)
                        if broken.has_received or connection.is_new:
                            return 0, {}
                        self.tally.resent += 1
                    except BaseException:
                        # An answer may still arrive on this connection, so it can't be used again.
                        self._close_connection(limiter, connection)
                        raise
                    else:
                        self._release_connection(limiter, connection)
                        return answer
        except TimeoutError:
            return -1, {}
        except OSError:
            pass
        return 0, {}

    async def _acquire_connection(self, limiter: int) -> Connection:
        """Return an idle connection to a limiter or a new one; wait if `max_connections` are in use.

        Raises:
            OSError: The limiter refused the connection.
        """
        idle = self._idle[limiter]
        while True:
            while idle:
                connection = idle.pop()
                if not connection.reader.at_eof():
                    return connection
                self._close_connection(limiter, connection)
            if self._open_count[limiter] < self.max_connections:
                self._open_count[limiter] += 1
                try:
                    return Connection(*await asyncio.open_connection(*self.targets[limiter]))
                except BaseException:
                    self._open_count[limiter] -= 1
                    raise
            waiter = asyncio.get_running_loop().create_future()
            self._waiting[limiter].append(waiter)
            try:
                await waiter
            finally:
                with contextlib.suppress(ValueError):
                    self._waiting[limiter].remove(waiter)

    def _release_connection(self, limiter: int, connection: Connection) -> None:
        """Make a connection available to the next operation, unless it is closing."""
        if connection.writer.transport.is_closing():
            self._close_connection(limiter, connection)
            return
        self._idle[limiter].append(connection)
        self._wake(limiter)

    def _close_connection(self, limiter: int, connection: Connection) -> None:
        connection.close()
        self._open_count[limiter] -= 1
        self._wake(limiter)

    def _wake(self, limiter: int) -> None:
        """Wake the operation that has waited longest for a connection to the limiter."""
        waiting = self._waiting[limiter]
        while waiting:
            waiter = waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


def make_request(
    planned: PlannedOperation,
    request_id: str,
    idempotency_key: str,
    is_read: bool,
    spread: int,
    first_limiter: int,
) -> tuple[h11.Request, bytes]:
    """Return the request of an attempt, and its body.

    Args:
        planned: The operation.
        request_id: Id of the attempt.
        idempotency_key: Key by which repeated attempts are recognized; empty for none.
        is_read: Whether it is a GET without a body, else a POST.
        spread: Number of limiters that serve the customer.
        first_limiter: Number of the first of them; the others follow it.
    """
    headers = [
        ("Host", "api.internal"),
        ("X-Request-ID", request_id),
        ("X-Priority-Class", planned.category),
        ("X-Plan", planned.plan),
        ("X-Customer", f"{planned.customer:016x}"),
        ("X-Timeout", f"{planned.timeout_us / SECOND:.3f}"),
        ("X-Quota", f"units={planned.units},spread={spread},first={first_limiter}"),
    ]
    if is_read:
        return h11.Request(method="GET", target="/api", headers=headers), b""
    body = b"operation " + request_id.encode()
    if idempotency_key:
        headers.append(("Idempotency-Key", idempotency_key))
    headers.append(("Content-Length", str(len(body))))
    return h11.Request(method="POST", target="/api", headers=headers), body


def percentiles(histogram: HdrHistogram) -> dict[float, int]:
    """Return the values in us by percentile, for each of PERCENTILES; empty for an empty histogram."""
    if histogram.get_total_count() == 0:
        return {}
    return {p: histogram.get_value_at_percentile(p) for p in PERCENTILES}


def summary(tally: Tally, wall_s: float | None = None) -> list[str]:
    """Return a summary as text lines: counts, latency percentiles in ms, and the client's lag.

    Args:
        tally: Results of the run.
        wall_s: Duration of the run; None to leave it out.
    """
    counts = ", ".join(f"{name} {tally.counts[name]}" for name in OUTCOMES)
    lines = [f"sent {tally.sent}: {counts}"]
    if wall_s:
        lines[0] += f" in {wall_s:.1f} s"
    for label, histogram in (("all answered", tally.all_latency()), *sorted(tally.latency.items())):
        shown = percentiles(histogram)
        if shown:
            text = "  ".join(f"p{p:g} {shown[p] / 1000:.1f}" for p in PERCENTILES[:-1])
            lines.append(f"latency ms, {label}: {text}  max {shown[100.0] / 1000:.1f}")
    lag = percentiles(tally.lag)
    if lag:
        lines.append(f"lag of the load tool ms: p99 {lag[99.0] / 1000:.1f}  max {lag[100.0] / 1000:.1f}")
    lines.append(
        f"late answers {tally.late}, rejections with Retry-After {tally.retry_advised}, resent {tally.resent}"
    )
    return lines
