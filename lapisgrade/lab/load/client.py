"""Sends a schedule to limiters on loopback, open-loop, and counts what comes back.

Each operation is sent at its due time by the clock, whether or not earlier ones have been answered;
its latency is counted from that due time, so a stall of the target shows in every operation that was
due during it (no coordinated omission). The client's own lateness (sent later than due) is counted
apart as its lag.

On one connection goes one request at a time; when all are busy a new one is opened, up to `most_connections`
for each limiter; past that an operation waits for a connection, and the wait counts in its latency.

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

GRACE_US = 500_000  # the protocol's figure: past its timeout an answer is late for this long, then it is lost
MOST_US = 600 * SECOND  # the longest latency the histograms hold
DIGITS = 3  # significant digits of the histograms
READ_BYTES = 65_536
MOST_ANSWER = 4 << 20  # bytes of one answer that are held; a longer one counts as given up
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99, 100.0)
OUTCOMES = ("finished", "turned back", "given up", "lost", "not sent")


@dataclass(slots=True)
class Tally:
    """What the run saw: counts and latency by outcome, the client's lag, statuses and retry advice."""

    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    latency: dict[str, HdrHistogram] = field(default_factory=dict)
    lag: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MOST_US, DIGITS))
    statuses: dict[int, int] = field(default_factory=dict)
    advised: int = 0  # turn-backs that said when to come back
    late: int = 0  # answers after the timeout, within the grace
    resent: int = 0  # requests sent again on a new connection after one closed across them
    by_category: dict[str, dict[str, int]] = field(default_factory=dict)

    def histogram(self, outcome: str) -> HdrHistogram:
        if outcome not in self.latency:
            self.latency[outcome] = HdrHistogram(1, MOST_US, DIGITS)
        return self.latency[outcome]

    def all_latency(self) -> HdrHistogram:
        """Latency of every operation that got an answer."""
        total = HdrHistogram(1, MOST_US, DIGITS)
        for outcome in ("finished", "turned back", "given up"):
            if outcome in self.latency:
                total.add(self.latency[outcome])
        return total

    @property
    def sent(self) -> int:
        return sum(self.counts.values()) - self.counts["not sent"]


class Broken(Exception):
    """The connection ended or went wrong before a whole answer; `heard` says whether any of it came."""

    def __init__(self, heard: bool) -> None:
        super().__init__("the connection broke")
        self.heard = heard


class Line:
    """One connection to a limiter."""

    __slots__ = ("conn", "fresh", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.conn = h11.Connection(h11.CLIENT)
        self.fresh = True

    def close(self) -> None:
        self.writer.transport.abort()

    async def exchange(self, request: h11.Request, body: bytes) -> tuple[int, dict[str, str]]:
        """Status and headers of the answer; Broken where the connection failed first."""
        conn, heard = self.conn, False
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
                    heard = heard or bool(chunk)
                    conn.receive_data(chunk)
                elif isinstance(event, h11.InformationalResponse):
                    continue
                elif isinstance(event, h11.Response):
                    response = event
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > MOST_ANSWER:
                        raise Broken(True)
                elif isinstance(event, h11.EndOfMessage) and response is not None:
                    headers = {k.decode().lower(): v.decode("latin-1") for k, v in response.headers}
                    if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
                        conn.start_next_cycle()
                        self.fresh = False
                    else:
                        self.close()
                    return response.status_code, headers
                else:
                    raise Broken(heard)
        except (OSError, h11.ProtocolError):
            raise Broken(heard) from None


class Client:
    """The load tool. `await run(schedule)` returns the Tally once every operation has its end."""

    def __init__(self, targets: list[tuple[str, int]], seed: int, most_connections: int = 256) -> None:
        """`targets`: the limiters' addresses; each customer's operations are dealt among all of them."""
        self.targets, self.most_connections = targets, most_connections
        self.chance = Random(seed)
        self.tally = Tally()
        self._idle: list[deque[Line]] = [deque() for _ in targets]
        self._open = [0] * len(targets)
        self._waiting: list[deque[asyncio.Future]] = [deque() for _ in targets]  # for a connection
        self._number = 0
        self._stopped = False
        self._tasks: set[asyncio.Task] = set()

    def stop(self) -> None:
        """Send nothing more; what is out still gets its end."""
        self._stopped = True

    async def run(self, schedule: list[PlannedOperation]) -> Tally:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for planned in schedule:
            due = start + planned.due_us / SECOND
            if self._stopped:
                self.tally.counts["not sent"] += 1
                continue
            wait = due - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
                if self._stopped:
                    self.tally.counts["not sent"] += 1
                    continue
            task = asyncio.create_task(self._one(planned, due))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        for idle in self._idle:
            while idle:
                idle.pop().close()
        return self.tally

    async def _one(self, planned: PlannedOperation, due: float) -> None:
        loop = asyncio.get_running_loop()
        self.tally.lag.record_value(max(1, round((loop.time() - due) * SECOND)))
        self._number += 1
        number = f"{self.chance.getrandbits(64):016x}"
        which = self.chance.randrange(len(self.targets))
        key = f"{self.chance.getrandbits(128):032x}" if planned.category == "ticket" else ""
        reads = planned.category == "read"
        request, body = make_request(planned, number, key, reads, len(self.targets), 0)
        ends = due + (planned.timeout_us + GRACE_US) / SECOND
        status, headers = await self.exchange(which, request, body, ends)
        took_us = max(1, round((loop.time() - due) * SECOND))
        outcome = self._outcome(status, headers, took_us, planned)
        self.tally.counts[outcome] += 1
        self.tally.by_category.setdefault(planned.category, dict.fromkeys(OUTCOMES, 0))[outcome] += 1
        if outcome != "lost":
            self.tally.histogram(outcome).record_value(min(took_us, MOST_US))

    def _outcome(self, status: int, headers: dict[str, str], took_us: int, planned: PlannedOperation) -> str:
        if status > 0:
            self.tally.statuses[status] = self.tally.statuses.get(status, 0) + 1
        if status <= 0:
            return "lost" if status < 0 else "given up"
        if took_us > planned.timeout_us:
            self.tally.late += 1
        if status == 200:
            return "finished"
        if status in (429, 503):
            self.tally.advised += "retry-after" in headers
            return "turned back"
        return "given up"

    async def exchange(
        self, which: int, request: h11.Request, body: bytes, ends: float
    ) -> tuple[int, dict[str, str]]:
        """Status and headers of the limiter's answer: 0 where the connection failed, -1 where none came until
        `ends` (the loop's time). One that was at rest and closed across the request is tried once more
        anew."""
        try:
            async with asyncio.timeout_at(ends):
                for _ in range(2):
                    line = await self._line(which)
                    try:
                        answer = await line.exchange(request, body)
                    except Broken as broken:
                        self._lost_line(which, line)
                        if broken.heard or line.fresh:
                            return 0, {}
                        self.tally.resent += 1
                    except BaseException:
                        self._lost_line(which, line)  # given up on with an answer still to come on it
                        raise
                    else:
                        self._give_back(which, line)
                        return answer
        except TimeoutError:
            return -1, {}
        except OSError:
            pass
        return 0, {}

    async def _line(self, which: int) -> Line:
        idle = self._idle[which]
        while True:
            while idle:
                line = idle.pop()
                if not line.reader.at_eof():
                    return line
                self._lost_line(which, line)
            if self._open[which] < self.most_connections:
                self._open[which] += 1
                try:
                    return Line(*await asyncio.open_connection(*self.targets[which]))
                except BaseException:
                    self._open[which] -= 1
                    raise
            waiter = asyncio.get_running_loop().create_future()
            self._waiting[which].append(waiter)
            try:
                await waiter
            finally:
                with contextlib.suppress(ValueError):
                    self._waiting[which].remove(waiter)

    def _give_back(self, which: int, line: Line) -> None:
        if line.writer.transport.is_closing():
            self._lost_line(which, line)
            return
        self._idle[which].append(line)
        self._wake(which)

    def _lost_line(self, which: int, line: Line) -> None:
        line.close()
        self._open[which] -= 1
        self._wake(which)

    def _wake(self, which: int) -> None:
        waiting = self._waiting[which]
        while waiting:
            waiter = waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


def make_request(
    planned: PlannedOperation, number: str, key: str, reads: bool, spread: int, first: int
) -> tuple[h11.Request, bytes]:
    """The request of one try, and its body. `number` is its id, `key` its mark against repeats, where it has
    one; its customer is known to `spread` limiters from number `first` on."""
    headers = [
        ("Host", "api.internal"),
        ("X-Request-ID", number),
        ("X-Priority-Class", planned.category),
        ("X-Plan", planned.plan),
        ("X-Customer", f"{planned.customer:016x}"),
        ("X-Timeout", f"{planned.timeout_us / SECOND:.3f}"),
        ("X-Quota", f"units={planned.units},spread={spread},first={first}"),
    ]
    if reads:
        return h11.Request(method="GET", target="/api", headers=headers), b""
    body = b"operation " + number.encode()
    if key:
        headers.append(("Idempotency-Key", key))
    headers.append(("Content-Length", str(len(body))))
    return h11.Request(method="POST", target="/api", headers=headers), body


def percentiles(histogram: HdrHistogram) -> dict[float, int]:
    """Microseconds at each of PERCENTILES; empty for an empty histogram."""
    if histogram.get_total_count() == 0:
        return {}
    return {p: histogram.get_value_at_percentile(p) for p in PERCENTILES}


def summary(tally: Tally, wall_s: float | None = None) -> list[str]:
    """Lines for a person: counts, latency percentiles in milliseconds, and the client's lag."""
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
        f"late answers {tally.late}, turn-backs with Retry-After {tally.advised}, resent {tally.resent}"
    )
    return lines
