"""The generator protocol between a policy and its host, and the typed settings that a policy reads.

A policy performs no I/O and reads no clock. A host starts one generator per operation, and the engine
(`lapisgrade.engine`) drives it: the generator yields a *command* and is resumed with that command's result.

| command | executed by | resumed with |
| --- | --- | --- |
| `Send`, `Cancel` | the host's connections | `None`, at once; an attempt's end is an `AttemptFinished` |
| `Reject`, `LogMessage` | the host | `None`, at once |
| `Spawn`, `Resume` | the engine | `None`, at once |
| `Sleep` | the engine's timers | an *event*: a `WakeReason`, or an `AttemptFinished` |
| `AddToCounter` | the host's counter client | a `CounterReply` |
| `Call` | the engine's caller, if it has one | the result of the call |

Events reach a generator only while it sleeps. An event that occurs while it waits for a `CounterReply` or the
result of a `Call` is dropped, so the generator must check the operation's state again when it is resumed.
When a generator returns, its operation is finished: the host (`AttemptResult.is_final`) or `Reject` has
delivered the final answer.

This module contains types only. All times are integers in microseconds on the host's clock. `now_us`,
`started_us`, `arrived_us`, `deadline_us` and `until_us` are points in time; all other `_us` fields are
durations.
"""

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, TypeVar

# ---- settings, read once when the limiter starts


class RepeatSafety(Enum):
    """Whether an operation of a category may be executed more than once."""

    IDEMPOTENT = auto()  # a repeat has no further effect
    DEDUPLICATED = auto()  # servers discard a repeat by its idempotency key, see `DeduplicationScope`
    NON_IDEMPOTENT = auto()  # a repeat would have a second effect


class DeduplicationScope(Enum):
    """Which servers recognize and discard repeats of a deduplicated operation."""

    ALL = auto()  # all servers
    ZONE = auto()  # servers in the same zone as the one that executed it first
    CELL = auto()  # servers in the same cell as the one that executed it first


@dataclass(slots=True)
class Category:
    """A class of operations: how urgent and how valuable they are, and whether they may be repeated."""

    name: str
    repeat_safety: RepeatSafety
    latency_target_us: int
    timeout_us: int  # a later response has no value
    value: float  # per unit answered within the latency target
    late_value: float = 0.0  # per unit answered after the latency target
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0  # how long a server remembers an idempotency key
    is_streaming: bool = False  # whether responses are streamed to the client


@dataclass(slots=True)
class Plan:
    """The limits and prices of a customer's contract."""

    name: str
    rate: float  # quota in units per second; 0: no quota
    burst: float  # units of the quota that can be used at once
    value_factor: float = 1.0  # multiplies the category's value
    overage_value: float = 0.0  # revenue per unit beyond the quota
    overage_cost: float = 0.0  # cost per unit beyond the quota
    max_in_flight: int = 0  # concurrent attempts; 0: unlimited
    rate_limit_per_s: float = 0.0  # hard limit in units per second; 0: unlimited
    rate_limit_burst: float = 0.0  # units that can be used at once under the rate limit
    rate_limit_slack: float = 0.0  # units by which the rate limit may be exceeded; not used by the policy


@dataclass(slots=True)
class ServerRules:
    """The service's rules on draining and newly started servers."""

    drain_grace_us: int  # how long attempts may still arrive after the notification that a server drains
    slow_start_us: int  # duration of a server's warm-up
    slow_start_initial_weight: float  # fraction of full capacity that a server has when it starts
    overload_window_us: int  # time over which the load of a warming server is measured
    max_overload_factor: float  # load in a window, relative to capacity, above which a warming server fails


@dataclass(slots=True)
class Permissions:
    """What a limiter may do with an operation."""

    max_attempts: int  # per operation
    may_cancel: bool  # cancel attempts in flight
    may_hedge: bool  # start an attempt while another one is in flight
    may_probe: bool  # send health checks; not used by the policy
    max_retry_after_us: int  # 0: clients get no Retry-After


@dataclass(slots=True)
class Placement:
    """The limiter's position among all limiters of the service."""

    limiter_index: int
    limiter_count: int
    zone: str


@dataclass(slots=True)
class CounterSettings:
    """Availability of the shared counter service, and the time-out of a call to it."""

    is_available: bool  # whether there is a counter service at all
    timeout_us: int


@dataclass(slots=True)
class ConnectionSettings:
    """Time-outs of connections to servers."""

    connect_timeout_us: int
    idle_timeout_us: int  # the server closes an idle connection after this time at the latest


@dataclass(slots=True)
class Clock:
    """The limiter's only source of time; its host advances it."""

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
    cell: int = 0  # a part of the servers; see `DeduplicationScope`
    weight: float = 1.0  # capacity relative to other servers
    shape: str = ""  # machine type; not used by the policy
    started_us: int = 0  # 0: long ago


@dataclass(slots=True)
class Operation:
    """One request of a client, from its arrival to its final answer."""

    customer: str
    plan: Plan
    category: Category
    units: float  # units charged to the quota
    arrived_us: int
    deadline_us: int  # when the client stops waiting
    sharing_limiter_count: int  # number of limiters that share this customer's operations
    first_limiter_index: int = 0  # index of the first of these limiters; not used by the policy
    is_client_retry: bool = False  # the client has sent it before; not used by the policy
    is_abandoned: bool = False  # the client disconnected or timed out; no answer is needed
    handle: Any = None  # the host's record of it
    task: Any = None  # the engine's record of it


class AttemptOutcome(Enum):
    """How one attempt ended."""

    OK = auto()
    ERROR = auto()
    INVALID_REQUEST = auto()  # the operation is at fault, not the server
    OVERLOADED = auto()  # the server rejected it without executing it
    TIMED_OUT = auto()
    CONNECT_FAILED = auto()
    CONNECTION_LOST = auto()
    CANCELLED = auto()  # by the limiter, after the request was sent
    NOT_SENT = auto()  # the host did not start to send it

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did not execute the operation."""
        return self in (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


@dataclass(slots=True)
class AttemptResult:
    """The result of one attempt, as observed by the host."""

    outcome: AttemptOutcome
    duration_us: int
    is_final: bool = False  # the operation is finished: the client has its answer or needs none
    server_load: dict[str, float] | None = None  # load report in the response; None: none
    settled_units: float = 0.0  # actual units if they are known only afterwards; 0: as estimated
    metered_use: int = 0  # the customer's use according to the meter; not used by the policy


@dataclass(slots=True)
class AttemptFinished:
    """Event: an attempt of a sleeping operation has ended."""

    attempt: Any  # the attempt of the `Send` command
    result: AttemptResult


class WakeReason(Enum):
    """Event: why a sleeping generator is resumed, unless an attempt ended."""

    TIMER = auto()  # the requested time was reached
    RESUMED = auto()  # another generator yielded `Resume`
    RESPONSE_STARTED = auto()  # the client received the first part of a streamed response
    CLIENT_DISCONNECTED = auto()  # the client disconnected or timed out


class CounterOutcome(Enum):
    """How a call to the counter service ended."""

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
    """Start an attempt; `attempt` is the policy's record and is returned in `AttemptFinished`."""

    attempt: Any


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight; `AttemptFinished` follows as for any other attempt."""

    attempt: Any


@dataclass(slots=True)
class AddToCounter:
    """Add to a shared counter; resumed with a `CounterReply`."""

    counter_id: int
    amount: float  # may be negative
    ttl_us: int  # how long the counter service keeps the count, if this call creates it


@dataclass(slots=True)
class Call:
    """Call another process; resumed with the result.

    Each kind of call is a subclass that defines the result, including the one without a reply.
    """


@dataclass(slots=True)
class Sleep:
    """Wait until a time; resumed with a `WakeReason`, or earlier with an `AttemptFinished`."""

    until_us: int


class RejectReason(Enum):
    """The answer to the client for an operation that no server answered."""

    RETRY_LATER = auto()  # not executed, or safe to repeat: the client may try again
    FAILED = auto()  # may or may not have been executed; the client must assume neither


@dataclass(slots=True)
class Reject:
    """Give an operation its final answer if it gets no server's response."""

    reason: RejectReason
    retry_after_us: int = 0  # 0: no advice


@dataclass(slots=True)
class Spawn:
    """Run another generator concurrently."""

    generator: Generator[Any, Any, None]


@dataclass(slots=True)
class Resume:
    """Resume an operation's sleeping generator with `WakeReason.RESUMED`."""

    operation: Operation


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


# ---- generator types

Result = TypeVar("Result")
Command = Send | Cancel | Reject | LogMessage | Spawn | Resume | Sleep | AddToCounter | Call
Event = WakeReason | AttemptFinished
# Yields commands; the table above lists the result of each.
CommandGenerator = Generator[Command, Any, Result]
