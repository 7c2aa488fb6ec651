"""The single task that owns the policy and its engine; other code reaches them through its queue.

Sockets and timers `enqueue` events. The host handles one event at a time: it advances the clock and lets the
engine run the policy's generators. The engine calls the host to execute the commands that they yield.
"""

import asyncio
import traceback
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from lapisgrade.engine import Caller, Engine, Task
from lapisgrade.interface import (
    AddToCounter,
    AttemptResult,
    Call,
    Clock,
    CounterReply,
    Operation,
    Reject,
    RejectReason,
    WakeReason,
)
from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection import call_after_pending_io
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.events import (
    AttemptClosed,
    CallFinished,
    ClientDisconnected,
    ClientRequest,
    CounterCallFinished,
    Event,
    RequestReceived,
    ServersUpdated,
    TimerFired,
)
from lapisgrade.net.http import Message
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.response_writer import ResponseWriter
from lapisgrade.net.server_protocol import parse_load_report

OVERDUE_CHECK_INTERVAL_S = 0.25  # interval between checks for operations beyond their deadline
MAX_OVERDUE_US = 250_000  # time after its deadline in which an operation's own timer ends it
_TOO_MANY_REQUESTS = 429
_BAD_GATEWAY = 502


class CounterService(Protocol):
    """A client of the counter service, used by the policy."""

    def add(self, task: Task, add: AddToCounter) -> None:
        """Add to a count. A `CounterCallFinished` event reports the result."""


class LocalResponse(NamedTuple):
    """Status and header fields of a response that the limiter generates itself."""

    status: int
    header_lines: bytes


class Host:
    """Passes events to the policy in queue order and executes the policy's commands.

    Attributes:
        log_failure: Writes a log entry about an exception; by default like any other line.
    """

    parse_load_report = staticmethod(parse_load_report)
    # The owner of the host sets these before `run`.
    pool: ConnectionPool
    counter: CounterService
    caller: Caller  # set only if the policy calls other processes

    def __init__(
        self,
        build_policy: Callable[[Clock], Any],
        now: Callable[[], int],
        log: Callable[[str], None],
        metrics: NetMetrics,
    ) -> None:
        """Create the policy and its engine.

        Args:
            build_policy: Creates the policy with the host's clock.
            now: Returns the current time in microseconds.
            log: Writes one log line.
            metrics: Counters to update.
        """
        self.now = now
        self._log = self.log_failure = log
        self._metrics = metrics
        self._queue: asyncio.Queue[Event] = asyncio.Queue()
        self.enqueue = self._queue.put_nowait
        self.clock = Clock(now())
        self.engine = Engine(self, self.clock, self)
        self.policy = build_policy(self.clock)
        self.unanswered: dict[ClientRequest, Operation] = {}  # operations awaiting a final response
        self._overdue_check: asyncio.TimerHandle  # set by `run`
        self._wakeup_us = 0  # time of the most recently requested wake-up

    async def run(self) -> None:
        """Handle events until cancelled."""
        handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._on_request_received,
            ClientDisconnected: self._on_client_disconnected,
            AttemptClosed: self._on_attempt_closed,
            CounterCallFinished: self._on_counter_call_finished,
            CallFinished: self._on_call_finished,
            ServersUpdated: self._on_servers_updated,
            TimerFired: self._on_timer_fired,
        }
        self._end_overdue_operations()
        try:
            while True:
                event = await self._queue.get()
                self.clock.now_us = max(self.clock.now_us, self.now())
                try:
                    handlers[type(event)](event)
                except Exception:
                    self._on_failure(f"handler of {type(event).__name__}")
                    self._end_failed_operations()
        finally:
            self._overdue_check.cancel()

    def _on_failure(self, what: str) -> None:
        """Log and count the exception that is being handled."""
        self.log_failure(f"{what} failed: {traceback.format_exc()}")
        self._metrics.handler_failures += 1

    def _end_failed_operations(self) -> None:
        """Answer the operations whose generator has ended without an answer; others are not affected."""
        for operation in list(self.unanswered.values()):
            if operation.task is None or operation.task.is_finished:
                self._end_operation(operation)

    def _end_overdue_operations(self) -> None:
        """Answer operations that nothing has ended although their time is over; schedule the next check.

        Their generators have timers of their own, so that only a fault of this program leaves one.
        """
        self._overdue_check = asyncio.get_running_loop().call_later(
            OVERDUE_CHECK_INTERVAL_S, self._end_overdue_operations
        )
        latest_us = self.now() - MAX_OVERDUE_US
        for operation in [each for each in self.unanswered.values() if each.deadline_us < latest_us]:
            self.log_failure("an operation was not ended by its deadline")
            self._metrics.handler_failures += 1
            self._end_operation(operation)

    def _end_operation(self, operation: Operation) -> None:
        """Answer an operation without its generator, and wake that generator so that it ends too."""
        self.unanswered.pop(operation.handle, None)
        client = operation.handle.client
        try:
            if client is not None:
                response = self.local_response(Reject(RejectReason.FAILED))
                client.respond(response.status, [], 0, response.header_lines)
            operation.is_abandoned = True
            if operation.task is not None:
                self.engine.wake(operation, WakeReason.CLIENT_DISCONNECTED)
        except Exception:
            self._on_failure("the answer to a failed operation")

    # ---- events

    def _on_request_received(self, event: RequestReceived) -> None:
        operation = event.operation
        if operation.handle.client is None:
            return  # already disconnected
        self.unanswered[operation.handle] = operation
        self._metrics.requests += 1
        self.engine.run(self.policy.handle(operation), operation)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        operation = event.operation
        operation.is_abandoned = True
        if self.unanswered.pop(operation.handle, None) is not None:
            self._metrics.requests_abandoned += 1
            self.engine.wake(operation, WakeReason.CLIENT_DISCONNECTED)

    def _on_attempt_closed(self, event: AttemptClosed) -> None:
        attempt = event.attempt
        try:
            result = self.finish_attempt(event)
        except Exception:
            self._on_failure("the end of an attempt")
            self._end_operation(attempt.operation)
        else:
            self.engine.attempt_finished(attempt, result)

    def finish_attempt(self, event: AttemptClosed) -> AttemptResult:
        """Answer the client if the attempt ended with a final response; return the result for the policy."""
        attempt, operation = event.attempt, event.attempt.operation
        load = None
        try:
            self._forward_final_response(event)
            load = self.parse_load_report(event.message) if event.message is not None else None
        except Exception:
            self._on_failure("the response to an attempt")
            self._end_operation(operation)
        is_final = operation.handle.client is None
        result = AttemptResult(event.reason.outcome, self.clock.now_us - attempt.sent_us, is_final, load)
        self.policy.on_attempt_finished(attempt, result)
        return result

    def _forward_final_response(self, event: AttemptClosed) -> None:
        """Forward a success or a client error.

        Client errors are forwarded instead of retried, which keeps an invalid request away from the other
        servers: each of them would reject it too.
        """
        handle = event.attempt.operation.handle
        client = handle.client
        if client is not None and event.reason in (CloseReason.ANSWERED, CloseReason.CLIENT_ERROR):
            self.unanswered.pop(handle, None)
            self.forward_response(client, event.message)

    def _on_counter_call_finished(self, event: CounterCallFinished) -> None:
        self.engine.counter_replied(event.task, CounterReply(event.reason.counter_outcome, event.total))

    def _on_call_finished(self, event: CallFinished) -> None:
        self.engine.call_finished(event.task, event.result)

    def _on_servers_updated(self, event: ServersUpdated) -> None:
        self.policy.update_servers(event.endpoints, event.is_complete)

    def _on_timer_fired(self, event: TimerFired) -> None:
        self.engine.run_due_timers(is_wakeup=event.due_us == self._wakeup_us)

    # ---- responses

    def forward_response(self, client: ResponseWriter, message: Message) -> None:
        """Write a server's response to the client."""
        client.respond(message.head.status_code, message.body, message.size)

    def local_response(self, answer: Reject) -> LocalResponse:
        """Return status and header fields of a final answer that the limiter generates itself."""
        if answer.reason is RejectReason.FAILED:
            return LocalResponse(_BAD_GATEWAY, b"")
        if answer.retry_after_us <= 0:
            return LocalResponse(_TOO_MANY_REQUESTS, b"")
        retry_after = b"Retry-After: %.3f\r\n" % (answer.retry_after_us / SECOND)  # RFC 9110, section 10.2.3
        return LocalResponse(_TOO_MANY_REQUESTS, retry_after)

    # ---- called by the engine

    def send(self, attempt: Any) -> None:
        """Start an attempt. If that fails, it ends, and its server's idle connections are closed."""
        try:
            self.pool.send(attempt)
        except Exception:
            self._on_failure("an attempt")
            self.pool.abandon(attempt)

    def cancel(self, attempt: Any) -> None:
        """Cancel an attempt that is no longer needed."""
        self.pool.cancel(attempt)

    def reject(self, operation: Operation, answer: Reject) -> None:
        """Write a final answer that the limiter generates itself."""
        client = operation.handle.client
        if client is None:
            return  # the client disconnected in the meantime
        self.unanswered.pop(operation.handle, None)
        response = self.local_response(answer)
        client.respond(response.status, [], 0, response.header_lines)

    def add_to_counter(self, task: Task, add: AddToCounter) -> None:
        """Add to a count; the task waits for the total."""
        self.counter.add(task, add)

    def call(self, task: Task, call: Call) -> None:
        """Call another process; the task waits for the result."""
        self.caller.call(task, call)

    def log(self, text: str) -> None:
        """Write a log line."""
        self._log(text)

    def schedule_wakeup(self, when_us: int) -> None:
        """Enqueue a `TimerFired` at `when_us` on the clock of `now`. A later request replaces this one."""
        self._wakeup_us = when_us
        delay_s = max(0, when_us - self.now()) / SECOND
        asyncio.get_running_loop().call_later(
            delay_s, call_after_pending_io, lambda: self.enqueue(TimerFired(when_us))
        )
