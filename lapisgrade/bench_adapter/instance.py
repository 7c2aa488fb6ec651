"""One limiter on the bench: its policy, its engine and the objects behind the bench's ids."""

from collections.abc import Callable
from typing import Any

from lapisgrade.bench_adapter import wire
from lapisgrade.bench_adapter.wire import format_ms
from lapisgrade.engine import Engine, Task
from lapisgrade.interface import (
    AddToCounter,
    AttemptOutcome,
    AttemptResult,
    Clock,
    CounterOutcome,
    CounterReply,
    Operation,
    Reject,
    RejectReason,
    ServerEndpoint,
    WakeReason,
)
from lapisgrade.policy import Limiter
from lapisgrade.settings import (
    Fields,
    MalformedInputError,
    read_categories,
    read_counter_settings,
    read_permissions,
    read_placement,
    read_plans,
    read_server_rules,
)


class LimiterInstance:
    """One limiter of the bench; a host for the engine (`lapisgrade.engine.Host`)."""

    __slots__ = (
        "_attempts",
        "_categories",
        "_must_subscribe",
        "_pending_calls",
        "_pending_operations",
        "_plans",
        "_prefix",
        "_wakeup_tag",
        "clock",
        "engine",
        "output_lines",
        "policy",
    )

    def __init__(self, limiter_id: int, fields: Fields, clock: Clock, output_lines: list[str]) -> None:
        """Create the limiter of a CONFIGURE message.

        Args:
            limiter_id: The limiter's id on the bench.
            fields: The fields of the message, including the settings.
            clock: The limiter's clock; advanced by the caller.
            output_lines: Receives the limiter's messages to the bench.

        Raises:
            MalformedInputError: A setting is missing or malformed.
        """
        self._prefix = f" LimiterId={limiter_id}"  # first field of each message to the bench
        self._wakeup_tag = 0  # tag of the last requested wake-up
        self.output_lines = output_lines
        self._pending_operations: dict[int, Operation] = {}  # without a final answer, by ticket
        self._attempts: dict[tuple[int, int], Any] = {}  # in flight, by ticket and attempt number
        self._pending_calls: dict[int, list[Task]] = {}  # calls to the counter, by counter id, oldest first
        categories = read_categories(fields)
        self._categories = {category.name: category for category in categories}
        self._plans = {plan.name: plan for plan in read_plans(fields)}
        self._must_subscribe = fields.get("RegistryMode", "automatic") == "subscribe"
        self.clock = clock
        self.engine = Engine(self, clock)
        self.policy = Limiter(
            clock,
            fields.integer("Entropy", 0),
            read_placement(fields),
            read_counter_settings(fields),
            categories,
            read_server_rules(fields),
            read_permissions(fields),
        )

    # ---- commands, executed for the engine

    def send(self, attempt: Any) -> None:
        """See `lapisgrade.engine.Host`."""
        ticket = attempt.operation.handle
        self._attempts[ticket, attempt.number] = attempt
        self.output_lines.append(f"PLACE{self._prefix} Ticket={ticket} Server={attempt.server.address}")

    def cancel(self, attempt: Any) -> None:
        """See `lapisgrade.engine.Host`."""
        ticket = attempt.operation.handle
        if (ticket, attempt.number) in self._attempts:
            self.output_lines.append(f"WITHDRAW{self._prefix} Ticket={ticket} SendNo={attempt.number}")

    def reject(self, operation: Operation, answer: Reject) -> None:
        """See `lapisgrade.engine.Host`."""
        ticket = operation.handle
        if self._pending_operations.pop(ticket, None) is None:
            raise RuntimeError(f"operation with ticket {ticket} already has its final answer")
        if answer.reason is RejectReason.FAILED:
            self.output_lines.append(f"RESPOND_ERROR{self._prefix} Ticket={ticket}")
        else:
            retry_after = f" StayAway={format_ms(answer.retry_after_us)}" if answer.retry_after_us > 0 else ""
            self.output_lines.append(f"OVERLOAD_REPLY{self._prefix} Ticket={ticket}{retry_after}")

    def add_to_counter(self, task: Task, add: AddToCounter) -> None:
        """See `lapisgrade.engine.Host`."""
        self._pending_calls.setdefault(add.counter_id, []).append(task)
        self.output_lines.append(
            f"POST_AMOUNT{self._prefix} Lives={format_ms(add.ttl_us)} Counter={add.counter_id} "
            f"Step={add.amount:.6g}"
        )

    def log(self, text: str) -> None:
        """See `lapisgrade.engine.Host`."""
        self.output_lines.append(f"RECORD{self._prefix} Words={text}")

    def schedule_wakeup(self, when_us: int) -> None:
        """See `lapisgrade.engine.Host`."""
        self._wakeup_tag += 1
        self.output_lines.append(f"DEFER{self._prefix} Time={format_ms(when_us)} Tag={self._wakeup_tag}")

    def _subscribe_to_changes(self) -> None:
        self.output_lines.append(f"STREAM_CHANGES{self._prefix} Want=1")

    # ---- messages from the bench

    def on_order(self, fields: Fields) -> None:
        """Handle an operation that arrives from a client."""
        now_us = self.clock.now_us
        ticket = fields.integer("Ticket")
        plan = fields.choice("Terms", self._plans)
        operation = Operation(
            customer=fields.text("UserKey"),
            plan=plan,
            category=fields.choice("Category", self._categories),
            units=fields.number("CostUnits", 1.0),
            arrived_us=now_us,
            deadline_us=now_us + fields.duration_us("TimeBudget"),
            sharing_limiter_count=max(1, fields.integer("EntryPoints", 1)),
            first_limiter_index=fields.integer("FirstDoor", 0),
            is_client_retry=fields.boolean("AgainByClient"),
            handle=ticket,
        )
        self._pending_operations[ticket] = operation
        self.engine.run(self.policy.handle(operation), operation)

    def on_completed(self, fields: Fields) -> None:
        """Handle the end of an attempt."""
        ticket, attempt_number = fields.integer("Ticket"), fields.integer("SendNo", 0)
        outcome = fields.choice("StateCode", wire.OUTCOMES)
        attempt = self._attempts.pop((ticket, attempt_number), None)
        if attempt is None:
            return
        is_final = fields.boolean("DoneFlag") or outcome is AttemptOutcome.OK
        result = AttemptResult(
            outcome,
            fields.duration_us("Duration"),
            is_final,
            wire.parse_server_load(fields.get("Stats")),
            fields.number("FinalUnits"),
            fields.integer("Metered", 0),
        )
        self.policy.on_attempt_finished(attempt, result)
        if ticket in self._pending_operations:
            if is_final:
                del self._pending_operations[ticket]
            self.engine.attempt_finished(attempt, result)

    def on_opened(self, fields: Fields) -> None:
        """Handle the start of a streamed response."""
        operation = self._pending_operations.get(fields.integer("Ticket"))
        if operation is not None:
            self.engine.wake(operation, WakeReason.RESPONSE_STARTED)

    def on_expired(self, fields: Fields) -> None:
        """Handle an operation whose client stopped waiting."""
        operation = self._pending_operations.pop(fields.integer("Ticket"), None)
        if operation is not None:
            operation.is_abandoned = True
            self.engine.wake(operation, WakeReason.CLIENT_DISCONNECTED)

    def on_counter_reply(self, fields: Fields) -> None:
        """Handle the end of the oldest call to a counter."""
        waiting_tasks = self._pending_calls.get(fields.integer("Counter"))
        if not waiting_tasks:
            return
        outcome = fields.choice("StateCode", wire.COUNTER_OUTCOMES)
        if outcome is CounterOutcome.ADDED and "ResultValue" not in fields:
            raise MalformedInputError("ResultValue is missing")
        counter_id = fields.integer("Counter")
        task = waiting_tasks.pop(0)
        if not waiting_tasks:
            del self._pending_calls[counter_id]
        self.engine.counter_replied(task, CounterReply(outcome, fields.number("ResultValue")))

    def on_topology(self, form: str, endpoints: list[ServerEndpoint]) -> None:
        """Handle an endpoint list, a change of it, or its unavailability."""
        if form != "unavailable":
            self.policy.update_servers(endpoints, form != "update")
        if self._must_subscribe and form in ("restored", "unavailable"):
            # The bench sends changes to subscribers only, and stops when the endpoint list becomes
            # unavailable.
            self._subscribe_to_changes()

    def on_status(self, fields: Fields) -> None:
        """Validate the result of a health check, which is otherwise ignored."""
        fields.text("Server")

    def on_peer(self, fields: Fields) -> None:
        """Validate a message from a peer, which is otherwise ignored."""
        fields.integer("Neighbour")

    def on_wakeup(self, fields: Fields) -> None:
        """Handle a requested wake-up."""
        self.engine.run_due_timers(is_wakeup=fields.integer("Tag") == self._wakeup_tag)


# By message name.
HANDLERS: dict[str, Callable[[LimiterInstance, Fields], None]] = {
    "ORDER": LimiterInstance.on_order,
    "COMPLETED": LimiterInstance.on_completed,
    "OPENED": LimiterInstance.on_opened,
    "EXPIRED": LimiterInstance.on_expired,
    "TALLY_BACK": LimiterInstance.on_counter_reply,
    "STATUS_BACK": LimiterInstance.on_status,
    "PEER": LimiterInstance.on_peer,
    "TICK_DUE": LimiterInstance.on_wakeup,
}
