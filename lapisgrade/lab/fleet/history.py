"""The history of one run: events as JSON lines, encoded and validated by msgspec.

Each process writes a file of its own, in the order of its observations; `merged` reads them as one, by time.
Times are microseconds of the machine's monotonic clock, which all processes of one machine share. Nothing
stays in memory but the lines being read.
"""

import heapq
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

SECOND = 1_000_000
MAX_LINE_BYTES = 1 << 20  # a longer line is no event


class HistoryError(ValueError):
    """A history can't be read; the message says where."""


class Event(msgspec.Struct, tag_field="kind", frozen=True, kw_only=True):
    """Something observed at `at` (us)."""

    at: int


class RunStarted(Event, tag="begin"):
    """The run starts; `settings` are the limiters' settings, as in their configuration."""

    name: str
    seed: int
    limiters: int
    seconds: float
    settings: dict[str, Any]
    over_bound: float | None = None  # units over, by any customer; None where the scenario states none
    leeway_us: int = 0  # how far links that delay may move what is seen


class AttemptSent(Event, tag="sent"):
    """A client sent an operation (`op`, the id of this try) to a limiter; `origin` is its first try's id."""

    op: str
    origin: str
    due: int
    customer: str
    plan: str
    category: str
    units: int
    limiter: int
    ends: int  # when its client stops waiting


class AttemptAnswered(Event, tag="answered"):
    """How it ended for the client: `finished`, `turned back`, `given up`, `broken` (the connection failed
    or was refused) or `none` (no answer in its time and the grace)."""

    op: str
    how: str
    advice_ms: int = 0


class RequestReceived(Event, tag="came"):
    """A hop of an operation reached a server; `ran` says whether it was taken to be run."""

    op: str
    server: str
    ran: bool


class CounterCalled(Event, tag="counted"):
    """The counter was called; `amount` was added, unless the call was rejected."""

    name: str
    amount: float
    total: float
    added: bool = True


class DiscoveryCalled(Event, tag="asked"):
    """A limiter called its discovery agent."""

    limiter: int


class ConnectionOpened(Event, tag="opened"):
    """A connection was opened to a server, the counter or an agent."""

    to: str


class ServerStateChanged(Event, tag="fact"):
    """A server's state changed at discovery."""

    server: str
    state: str


class ServerStateNotified(Event, tag="told"):
    """A limiter was notified of a server's state by its agent."""

    limiter: int
    server: str
    state: str


class FaultChanged(Event, tag="fault"):
    """A fault began, or ended (`on` false)."""

    what: str
    target: str
    on: bool


class LimiterProcessChanged(Event, tag="life"):
    """A limiter's process: `started`, `up`, `killed`, `ended`, `paused`, `resumed`, with its process id."""

    limiter: int
    what: str
    pid: int = 0


class RunEnded(Event, tag="end"):
    """The run is over; what comes later is the limiters' shutdown."""


AnyEvent = (
    RunStarted
    | RunEnded
    | AttemptSent
    | AttemptAnswered
    | RequestReceived
    | CounterCalled
    | DiscoveryCalled
    | ConnectionOpened
    | ServerStateChanged
    | ServerStateNotified
    | FaultChanged
    | LimiterProcessChanged
)
_DECODER = msgspec.json.Decoder(AnyEvent)


def now_us() -> int:
    """Return the machine's monotonic time (us)."""
    return time.monotonic_ns() // 1000


class Writer:
    """Appends events to one file. `close()` it, or use it as a context."""

    def __init__(self, path: Path | str) -> None:
        self._file = open(path, "ab", buffering=65_536)  # noqa: SIM115 (closed by close())
        self._encoder = msgspec.json.Encoder()

    def put(self, event: Event) -> None:
        """Append an event."""
        self._file.write(self._encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Write what is buffered, and close the file."""
        self._file.close()

    def __enter__(self) -> "Writer":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def read(path: Path | str) -> Iterator[Event]:
    """Read the events of one file, without a last line cut short (its writer was killed).

    Raises:
        HistoryError: A line is no event; the message names the line.
    """
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if len(line) > MAX_LINE_BYTES:
                raise HistoryError(f"{path}:{number}: longer than {MAX_LINE_BYTES} bytes")
            if not line.endswith(b"\n"):
                return
            try:
                yield _DECODER.decode(line)
            except msgspec.MsgspecError as error:
                raise HistoryError(f"{path}:{number}: {error}") from None


def merged(paths: Iterable[Path | str]) -> Iterator[Event]:
    """The events of several files by time; those of one file and one time stay in their order.

    A process may write an event a little after a later one (an answer's time is taken before it is written):
    each file is sorted within a window of events first.
    """
    return heapq.merge(*(_ordered(read(path)) for path in paths), key=lambda event: event.at)


def _ordered(events: Iterator[Event], window: int = 4096) -> Iterator[Event]:
    window_heap: list[tuple[int, int, Event]] = []
    for number, event in enumerate(events):
        heapq.heappush(window_heap, (event.at, number, event))
        if len(window_heap) > window:
            yield heapq.heappop(window_heap)[2]
    while window_heap:
        yield heapq.heappop(window_heap)[2]
