"""Events from sockets and timers to the host; its queue carries nothing else."""

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
    """What a client sent, as far as it is forwarded to a server; an operation's `handle`."""

    client: ResponseWriter | None  # None once it is answered or has disconnected: nothing is owed any more
    method: bytes
    target: bytes
    host: bytes
    request_id: bytes
    key: bytes | None
    body: list[memoryview | bytes]


@dataclass(slots=True)
class RequestReceived:
    """A client has sent a complete request that asks for an operation."""

    operation: Operation


@dataclass(slots=True)
class ClientDisconnected:
    """The client has gone before its response."""

    operation: Operation


@dataclass(slots=True)
class AttemptClosed:
    """A server's side of an attempt has ended, with a complete response or without one.

    The host makes an `interface.AttemptFinished` of it, once it is clear what becomes of the client.
    """

    attempt: Any
    reason: CloseReason
    message: "Message | None" = None


@dataclass(slots=True)
class CounterCallFinished:
    """A call to the counter service has ended; `total` is the count where it was answered."""

    task: "Task"
    reason: CloseReason
    total: float = 0.0


@dataclass(slots=True)
class CallFinished:
    """A call of another process has ended; `result` is what its kind of call says."""

    task: "Task"
    result: Any


@dataclass(slots=True)
class ServersUpdated:
    """The endpoint list has changed; a complete list names all servers there are."""

    endpoints: list[ServerEndpoint]
    is_complete: bool


@dataclass(slots=True)
class TimerFired:
    """The wake-up requested for `due_us` has come."""

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
