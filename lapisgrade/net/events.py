"""What socket code tells the host's task; its queue carries nothing else."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lapisgrade.interface import Operation, ServerEndpoint
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.handle import Client

if TYPE_CHECKING:
    from lapisgrade.engine import Task
    from lapisgrade.net.http import Message


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client sent, as far as it passes on to a server; an operation's `handle`."""

    client: Client | None  # None once it has its answer or has left: nothing is owed any more
    method: bytes
    target: bytes
    host: bytes
    request_id: bytes
    key: bytes | None
    body: list[memoryview | bytes]


@dataclass(slots=True)
class RequestReceived:
    operation: Operation


@dataclass(slots=True)
class ClientDisconnected:
    """The client has gone before its answer."""

    operation: Operation


@dataclass(slots=True)
class AttemptFinished:
    """A hop has ended, with a whole answer or without one."""

    attempt: Any
    reason: CloseReason
    message: "Message | None" = None


@dataclass(slots=True)
class CounterCallFinished:
    task: "Task"
    reason: CloseReason
    total: float = 0.0


@dataclass(slots=True)
class ServersUpdated:
    """Discovery's word on the servers."""

    entries: list[ServerEndpoint]
    whole: bool


@dataclass(slots=True)
class TimerFired:
    """The wake-up asked for last has come."""

    due_us: int


Event = (
    RequestReceived | ClientDisconnected | AttemptFinished | CounterCallFinished | ServersUpdated | TimerFired
)
