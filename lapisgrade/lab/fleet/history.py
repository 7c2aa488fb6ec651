"""The history of a run: events as JSON lines, encoded and validated by msgspec.

Each process writes its own file, in the order of its observations; `merged` reads all files in order of time.
Times are microseconds of the monotonic clock, which all processes of a machine share. Files are read as
streams.
"""

import heapq
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

SECOND = 1_000_000
MAX_LINE_BYTES = 1 << 20  # longer lines are rejected


class HistoryError(ValueError):
    """A history is malformed; the message names the file and the line."""


class Event(msgspec.Struct, tag_field="kind", frozen=True, kw_only=True):
    """An observation.

    Attributes:
        at: Time in us of the machine's monotonic clock.
    """

    at: int


class RunStarted(Event, tag="begin"):
    """The run started."""

    name: str  # of the scenario
    seed: int
    limiters: int
    seconds: float  # duration of the load
    settings: dict[str, Any]  # of the limiters, as in their configuration
    over_bound: float | None = None  # maximum units over the quota of any customer; None: not stated
    leeway_us: int = 0  # maximum delay that faults on links add to observations


class AttemptSent(Event, tag="sent"):
    """A client sent an attempt of an operation to a limiter.

    `op` is the attempt's id, `origin` the id of the operation's first attempt.
    """

    op: str
    origin: str
    due: int  # time (us) at which the attempt was due
    customer: str
    plan: str
    category: str
    units: int
    limiter: int
    ends: int  # time (us) at which the client's time-out expires


class AttemptAnswered(Event, tag="answered"):
    """An attempt ended for the client.

    `how` is `finished`, `turned back` (rejected), `given up`, `broken` (the connection failed or was refused)
    or `none` (no answer within the time-out and the grace).
    """

    op: str
    how: str
    advice_ms: int = 0  # delay that the limiter advised before a retry; 0: none


class RequestReceived(Event, tag="came"):
    """A request of an attempt reached a server; `ran` is whether the server accepted it for execution."""

    op: str
    server: str
    ran: bool


class CounterCalled(Event, tag="counted"):
    """The counter was called; `added` is false if it rejected the call and didn't add `amount`."""

    name: str  # of the count
    amount: float
    total: float  # of the count after the call; 0 if it was rejected
    added: bool = True


class DiscoveryCalled(Event, tag="asked"):
    """A limiter called its discovery agent."""

    limiter: int


class ConnectionOpened(Event, tag="opened"):
    """A connection was opened to a server, the counter or an agent."""

    to: str  # name of the server, `counter` or `discovery`


class ServerStateChanged(Event, tag="fact"):
    """A server's state changed, which discovery shows at once unless it is stale."""

    server: str
    state: str  # `in_service`, `terminating` or `terminated`


class ServerStateNotified(Event, tag="told"):
    """A limiter was notified of a server's state by its agent."""

    limiter: int
    server: str
    state: str


class FaultChanged(Event, tag="fault"):
    """A fault began, or ended (`on` is false)."""

    what: str  # kind of the fault
    target: str
    on: bool


class LimiterProcessChanged(Event, tag="life"):
    """A limiter's process was `started`, `up`, `killed`, `ended`, `paused` or `resumed`."""

    limiter: int
    what: str
    pid: int = 0  # process id; 0: the limiter has not been started


class RunEnded(Event, tag="end"):
    """The run ended; later events belong to the limiters' shutdown."""


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
    """Appends events to a file. Call `close()`, or use it as a context manager."""

    def __init__(self, path: Path | str) -> None:
        """Open the file for appending.

        Raises:
            OSError: The file can't be opened.
        """
        self._file = open(path, "ab", buffering=65_536)  # noqa: SIM115 (closed by close())
        self._encoder = msgspec.json.Encoder()

    def put(self, event: Event) -> None:
        """Append an event; it may stay in the buffer until `close()`."""
        self._file.write(self._encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Flush the buffer and close the file."""
        self._file.close()

    def __enter__(self) -> "Writer":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def read(path: Path | str) -> Iterator[Event]:
    """Read the events of a file. An incomplete last line is skipped, since its writer was killed.

    Raises:
        HistoryError: A line is longer than `MAX_LINE_BYTES` or isn't an event; the message names the line.
        OSError: The file can't be read.
    """
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if len(line) > MAX_LINE_BYTES:
                raise HistoryError(f"{path}:{number}: line is longer than {MAX_LINE_BYTES} bytes")
            if not line.endswith(b"\n"):
                return
            try:
                yield _DECODER.decode(line)
            except msgspec.MsgspecError as error:
                raise HistoryError(f"{path}:{number}: {error}") from None


def merged(paths: Iterable[Path | str]) -> Iterator[Event]:
    """Return the events of several files in order of time.

    Events of a file with equal times keep their order.

    A process may write events slightly out of order, since it takes an answer's time before it writes the
    event. Each file is therefore sorted within a window of events first.

    Raises:
        HistoryError: As `read`, while the events are iterated.
    """
    return heapq.merge(*(_ordered(read(path)) for path in paths), key=lambda event: event.at)


def _ordered(events: Iterator[Event], window: int = 4096) -> Iterator[Event]:
    """Sort events of which none is more than `window` places from its place in order of time."""
    window_heap: list[tuple[int, int, Event]] = []
    for number, event in enumerate(events):
        heapq.heappush(window_heap, (event.at, number, event))
        if len(window_heap) > window:
            yield heapq.heappop(window_heap)[2]
    while window_heap:
        yield heapq.heappop(window_heap)[2]
