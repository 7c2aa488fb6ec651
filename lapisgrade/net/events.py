"""Events from sockets and timers, the contents of the host's queue."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lapisgrade.interface import Operation, ServerEndpoint
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.response_writer import ResponseWriter

if TYPE_CHECKING:
    from lapisgrade.engine import Task
    from lapisgrade.net.http import Message


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request as it is forwarded to servers; the `handle` of its operation."""

    client: ResponseWriter | None  # None once the client is answered or has disconnected
    method: bytes
    target: bytes
    host: bytes
    request_id: bytes
    key: bytes | None  # the idempotency key
    body: list[memoryview | bytes]  # slices of the body


@dataclass(slots=True)
class RequestReceived:
    """A client sent a complete and valid request."""

    operation: Operation


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected before its response."""

    operation: Operation


@dataclass(slots=True)
class AttemptClosed:
    """An attempt ended on its connection; `message` is None without a complete response.

    The host decides whether to forward the response, and converts the event to an `interface.AttemptResult`.
    """

    attempt: Any
    reason: CloseReason
    message: "Message | None" = None


@dataclass(slots=True)
class CounterCallFinished:
    """A call to the counter service ended; `total` is the new total if it was answered."""

    task: "Task"
    reason: CloseReason
    total: float = 0.0


@dataclass(slots=True)
class CallFinished:
    """A call to another process ended; the type of `result` depends on the call."""

    task: "Task"
    result: Any


@dataclass(slots=True)
class ServersUpdated:
    """The endpoint list changed; a complete list replaces all previous entries."""

    endpoints: list[ServerEndpoint]
    is_complete: bool


@dataclass(slots=True)
class TimerFired:
    """The wake-up requested for `due_us` is due."""

    due_us: int


Event = (
    RequestReceived
    | ClientDisconnected
    | AttemptClosed
    | CounterCallFinished
    | CallFinished
    | ServersUpdated
    | TimerFired
)
