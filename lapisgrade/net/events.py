"""What socket code tells the host's task; its queue carries nothing else."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lapisgrade.interface import Entry, Operation
from lapisgrade.net.ending import Ending
from lapisgrade.net.handle import Client

if TYPE_CHECKING:
    from lapisgrade.engine import Task
    from lapisgrade.net.http import Message


@dataclass(slots=True, eq=False)
class Asked:
    """What a client sent, as far as it passes on to a server; an operation's `handle`."""

    client: Client | None  # None once it has its answer or has left: nothing is owed any more
    method: bytes
    target: bytes
    host: bytes
    request_id: bytes
    key: bytes | None
    body: list[memoryview | bytes]


@dataclass(slots=True)
class Taken:
    operation: Operation


@dataclass(slots=True)
class Left:
    """The client has gone before its answer."""

    operation: Operation


@dataclass(slots=True)
class Landed:
    """A hop has ended, with a whole answer or without one."""

    hop: Any
    ending: Ending
    message: "Message | None" = None


@dataclass(slots=True)
class Counted:
    task: "Task"
    ending: Ending
    total: float = 0.0


@dataclass(slots=True)
class News:
    """Discovery's word on the servers."""

    entries: list[Entry]
    whole: bool


@dataclass(slots=True)
class Tick:
    """The wake-up asked for last has come."""

    due_us: int


Event = Taken | Left | Landed | Counted | News | Tick
