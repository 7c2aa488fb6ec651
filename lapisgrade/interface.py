"""The generator protocol between decisions and their host, and the typed settings that decisions read.

What decides performs no I/O and reads no clock. A host starts one generator for each operation, the engine
(`lapisgrade.engine`) drives it: the generator yields a *command* and is resumed with that command's result.

| command | carried out by | resumed with |
| --- | --- | --- |
| `Send`, `Cancel` | the host's connections | `None`, at once; the end comes as `AttemptFinished` |
| `Reject`, `LogMessage` | the host | `None`, at once |
| `Spawn`, `Resume` | the engine | `None`, at once |
| `Sleep` | the engine's timers | an *event*: a `WakeReason`, or an `AttemptFinished` |
| `AddToCounter` | the host's counter client | a `CounterReply` |
| `Call` | the engine's caller, where it has one | the result of the call |

Events reach a generator only while it sleeps; an event that comes while it waits for a `CounterReply` or the
result of a `Call` is dropped, so whoever resumes reads the operation's state again. A generator that returns
has finished its operation: a final answer was delivered by the host (`AttemptResult.is_final`) or by
`Reject`.

This module holds types only and decides nothing. All times are whole microseconds on the host's one clock;
`now_us`, `started_us`, `arrived_us`, `deadline_us` and `until_us` are points in time, all other `_us` fields
are durations.
"""

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, TypeVar

# ---- settings, read once at start


class RepeatSafety(Enum):
    """Whether an operation of a category may be executed more than once."""

    IDEMPOTENT = auto()
    DEDUPLICATED = auto()
    NON_IDEMPOTENT = auto()


class DeduplicationScope(Enum):
    """Which servers recognize and drop the repeats of a deduplicated operation."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


@dataclass(slots=True)
class Category:
    """A class of operations: how urgent, how valuable, and how safe to repeat."""

    name: str
    repeat_safety: RepeatSafety
    latency_target_us: int
    timeout_us: int  # a response after this is worth nothing
    value: float  # of a unit that is answered within the latency target
    late_value: float = 0.0  # of a unit that is answered after it
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0  # how long a server remembers an idempotency key
    is_streaming: bool = False


@dataclass(slots=True)
class Plan:
    """What a customer has booked."""

    name: str
    rate: float  # the quota, in units a second; 0: no such quota
    burst: float  # units
    value_factor: float = 1.0  # multiplies the category's value
    overage_value: float = 0.0  # earned by a unit beyond the quota
    overage_cost: float = 0.0  # lost by it
    max_in_flight: int = 0  # concurrent attempts; 0: not limited
    rate_limit_per_s: float = 0.0  # units a second that may never be passed; 0: not limited
    rate_limit_burst: float = 0.0
    rate_limit_slack: float = 0.0


@dataclass(slots=True)
class ServerRules:
    """What the service's rules allow toward draining and newly started servers."""

    drain_grace_us: int  # after the notification that a server drains, attempts may still reach it
    slow_start_us: int  # how long a server takes to warm up
    slow_start_initial_weight: float  # its share of full capacity when it starts
    overload_window_us: int
    max_overload_factor: float  # of what a warming server can do; more within the window makes it fail


@dataclass(slots=True)
class Permissions:
    """What a limiter may do with an operation."""

    max_attempts: int
    may_cancel: bool
    may_hedge: bool
    may_probe: bool
    max_retry_after_us: int  # 0: clients get no Retry-After


@dataclass(slots=True)
class Placement:
    """Where this limiter stands among its peers."""

    limiter_index: int
    limiter_count: int
    zone: str


@dataclass(slots=True)
class CounterSettings:
    """How the shared counter service is reached."""

    is_available: bool
    timeout_us: int


@dataclass(slots=True)
class ConnectionSettings:
    """How connections to servers behave."""

    connect_timeout_us: int
    idle_timeout_us: int  # the other side closes an idle connection after this, at the latest


@dataclass(slots=True)
class Clock:
    """The limiter's one source of time; whoever hosts the limiter advances it."""

    now_us: int = 0


# ---- inputs and events


class ServerState(Enum):
    """The state of a server in the endpoint list."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


@dataclass(slots=True)
class ServerEndpoint:
    """One server as the endpoint list describes it."""

    address: str
    state: ServerState
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    shape: str = ""
    started_us: int = 0  # 0: long ago


@dataclass(slots=True)
class Operation:
    """One request of a client, from its arrival to its one final answer."""

    customer: str
    plan: Plan
    category: Category
    units: float  # what it takes from the quota
    arrived_us: int
    deadline_us: int  # when its client stops waiting
    gateway_count: int  # limiters that this customer's operations are spread over
    first_gateway_index: int = 0
    is_client_retry: bool = False
    is_abandoned: bool = False  # its client has gone or timed out; no answer is due any more
    handle: Any = None  # the host's own record
    task: Any = None  # the engine's own record


class AttemptOutcome(Enum):
    """How one attempt ended."""

    OK = auto()
    ERROR = auto()
    INVALID_REQUEST = auto()  # the operation is at fault, not the server
    OVERLOADED = auto()  # the server refused it unexecuted
    TIMED_OUT = auto()
    CONNECT_FAILED = auto()
    CONNECTION_LOST = auto()
    CANCELLED = auto()
    NOT_SENT = auto()

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did not execute the operation."""
        return self in (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


@dataclass(slots=True)
class AttemptResult:
    """The result of one attempt, as the host saw it."""

    outcome: AttemptOutcome
    duration_us: int
    is_final: bool = False  # the client has its answer, or needs none: the operation is over
    server_load: dict[str, float] | None = None
    settled_units: float = 0.0  # the actual cost, where units are settled afterwards; 0: as estimated
    metered_use: int = 0  # the customer's use as the meter has it


@dataclass(slots=True)
class AttemptFinished:
    """Event: an attempt of a sleeping operation has ended."""

    attempt: Any  # what was handed out with `Send`
    result: AttemptResult


class WakeReason(Enum):
    """Event: why a sleeping generator is resumed, other than by the end of an attempt."""

    TIMER = auto()  # the time asked for has come
    RESUMED = auto()  # another generator yielded `Resume`
    RESPONSE_STARTED = auto()  # the client has received the first part of a streamed response
    CLIENT_DISCONNECTED = auto()  # the client has disconnected or timed out


class CounterOutcome(Enum):
    """How a call of the counter service ended."""

    ADDED = auto()
    REJECTED = auto()  # nothing was added
    TIMED_OUT = auto()  # may have been added


@dataclass(slots=True)
class CounterReply:
    """The result of `AddToCounter`."""

    outcome: CounterOutcome
    total: float = 0.0  # the count after the addition; meaningful only if `ADDED`


# ---- commands


@dataclass(slots=True)
class Send:
    """Start an attempt; `attempt` is the caller's own record and comes back in `AttemptFinished`."""

    attempt: Any


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight, which then ends as any other."""

    attempt: Any


@dataclass(slots=True)
class AddToCounter:
    """Add to a shared counter; resumed with a `CounterReply`."""

    counter_id: int
    amount: float
    ttl_us: int


@dataclass(slots=True)
class Call:
    """Call another process; resumed with the result.

    Each kind of call is a class of its own, which says what the result is, also where nobody answers.
    """


@dataclass(slots=True)
class Sleep:
    """Wait until a time; resumed with a `WakeReason`, or earlier with an `AttemptFinished`."""

    until_us: int


class RejectReason(Enum):
    """What a client is told of an operation that no server answered."""

    RETRY_LATER = auto()  # not executed, or safe to repeat: the client may try again
    FAILED = auto()  # may have been executed: the client must not assume either


@dataclass(slots=True)
class Reject:
    """Give the final answer where no server's response is one."""

    reason: RejectReason
    retry_after_us: int = 0  # 0: none is advised


@dataclass(slots=True)
class Spawn:
    """Run another generator beside this one."""

    generator: Generator[Any, Any, None]


@dataclass(slots=True)
class Resume:
    """Resume an operation's sleeping generator with `WakeReason.RESUMED`."""

    operation: Operation


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


# ---- what a generator is

Result = TypeVar("Result")
Command = Send | Cancel | Reject | LogMessage | Spawn | Resume | Sleep | AddToCounter | Call
Event = WakeReason | AttemptFinished
# Yields commands; what each is resumed with is in the table above.
CommandGenerator = Generator[Command, Any, Result]
