"""Checks the five rules of the project brief during an emulated run, over all limiters together.

1. Each accepted operation gets exactly one final answer, by its deadline plus a grace period. No attempt is
   sent after the answer or the deadline.
2. No effect happens twice. A non-idempotent operation has at most one attempt that may have run. A
   deduplicated operation is sent again only within its deduplication scope and window. An operation is
   rejected as retryable after an attempt that may have run only if it is idempotent, or deduplicated by all
   servers (rule 2 of the protocol).
3. A server gets no attempt later than the drain grace after the limiter was notified that it drains or was
   removed.
4. A cold server is not overloaded: its load (running and queued) never exceeds `max_overload_factor` times
   its capacity at that time. This is the project's reading of the settings `Cold`, `ColdFrom` and
   `FallMultiple`.
5. No rate limit is exceeded by more than its slack. Each customer has a token bucket of `rate_limit_burst`
   units, filled at `rate_limit_per_s`; the first attempt of each operation takes the operation's units. The
   bucket's level never falls below minus `rate_limit_slack`.

A breach is recorded with the rule, the operation, the step (number of events so far) and the time. The run
continues.
"""

from dataclasses import dataclass, field

from lapisgrade.interface import (
    AttemptOutcome,
    DeduplicationScope,
    Operation,
    RepeatSafety,
    ServerRules,
    ServerState,
)

SECOND = 1_000_000  # us
# Set by the protocol: an answer is late up to this long after the deadline, then lost.
ANSWER_GRACE_US = 500_000
MAX_RECORDED_BREACHES = 100  # further breaches are counted, not recorded


@dataclass(slots=True)
class Breach:
    """A violation of a rule, as written to the result file.

    Attributes:
        rule: Number of the rule, 1 to 5.
        what: Human-readable description.
        operation: The operation's number, customer, category and arrival time; `-` for rule 4.
        step: Number of events up to the breach.
        at_us: Simulated time.
    """

    rule: int
    what: str
    operation: str
    step: int
    at_us: int


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt as the emulated fleet sees it; `outcome` is None while it is in flight."""

    server: str
    zone: str
    cell: int
    sent_us: int
    outcome: AttemptOutcome | None = None

    def may_have_run(self) -> bool:
        """Return whether the server may have executed the operation, or may still execute it."""
        return not (self.outcome is not None and self.outcome.never_ran)


@dataclass(slots=True)
class OperationRecord:
    """An operation with its attempts and answers.

    Attributes:
        number: Position among the operations of all clients, from 1.
        attempts: Attempts in the order in which they were sent.
        answer_count: Number of final answers so far.
        is_exempt: Whether the limiter owes no answer, because it died or the client disconnected.
    """

    op: Operation
    number: int
    attempts: list[ObservedAttempt] = field(default_factory=list)
    answer_count: int = 0
    is_exempt: bool = False


class RuleChecker:
    """Observes every attempt, answer and server load, and records the breaches.

    The caller sets `step` and `now_us` before each call.

    Attributes:
        breaches: The first MAX_RECORDED_BREACHES breaches.
        breach_count: Number of all breaches, including those not recorded.
        step: Number of events so far, for breaches.
        now_us: Current simulated time.
        buckets: By customer: level of the rate limit's token bucket in units, and its time in us.
        nearest_ceiling: Largest use of a rate limit's slack, as a share of it; over 1 is a breach.
        most_cold_share: Largest load of a cold server, as a share of its overload limit; over 1 is a breach.
    """

    def __init__(self, server_rules: ServerRules) -> None:
        """Create a checker that has observed nothing."""
        self.server_rules = server_rules
        self.breaches: list[Breach] = []
        self.breach_count = 0
        self.step = 0
        self.now_us = 0
        self.buckets: dict[str, tuple[float, int]] = {}
        self.nearest_ceiling = 0.0
        self.most_cold_share = 0.0

    def record_breach(self, rule: int, what: str, record: OperationRecord | None) -> None:
        """Count a breach, and record it if there is room; `record` is None if it concerns no operation."""
        self.breach_count += 1
        if len(self.breaches) < MAX_RECORDED_BREACHES:
            description = (
                "-"
                if record is None
                else (
                    f"#{record.number} {record.op.customer} {record.op.category.name} "
                    f"arrived {record.op.arrived_us}"
                )
            )
            self.breaches.append(Breach(rule, what, description, self.step, self.now_us))

    def on_attempt_sent(
        self, record: OperationRecord, attempt: ObservedAttempt, notified: tuple[ServerState, int]
    ) -> None:
        """Check an attempt against rules 1, 2, 3 and 5, and add it to its operation.

        Args:
            record: The operation.
            attempt: The attempt that is sent now.
            notified: The server's state as last notified to the limiter, and the time in us of the
                notification that changed it.
        """
        operation, now_us = record.op, self.now_us
        if record.answer_count or now_us >= operation.deadline_us:
            self.record_breach(
                1, "an attempt was sent after the operation's final answer or deadline", record
            )
        may_have_run = [earlier for earlier in record.attempts if earlier.may_have_run()]
        repeat_safety = operation.category.repeat_safety
        if repeat_safety is RepeatSafety.NON_IDEMPOTENT and may_have_run:
            self.record_breach(
                2, "a non-idempotent operation was sent again after an attempt that may have run", record
            )
        if repeat_safety is RepeatSafety.DEDUPLICATED and may_have_run:
            first, scope = may_have_run[0], operation.category.deduplication_scope
            if (scope is DeduplicationScope.ZONE and attempt.zone != first.zone) or (
                scope is DeduplicationScope.CELL and attempt.cell != first.cell
            ):
                self.record_breach(
                    2, "a deduplicated operation was sent again outside its deduplication scope", record
                )
            if now_us > first.sent_us + operation.category.deduplication_window_us:
                self.record_breach(
                    2, "a deduplicated operation was sent again after its deduplication window", record
                )
        state, since_us = notified
        if state is not ServerState.READY and now_us > since_us + self.server_rules.drain_grace_us:
            self.record_breach(
                3,
                f"sent to {attempt.server}, known to the limiter as {state.name.lower()} "
                f"for {now_us - since_us} us",
                record,
            )
        if not record.attempts and operation.plan.rate_limit_per_s:
            self.check_rate_limit(record)
        record.attempts.append(attempt)

    def check_rate_limit(self, record: OperationRecord) -> None:
        """Take the operation's units from its customer's token bucket, and check rule 5."""
        operation, now_us = record.op, self.now_us
        plan = operation.plan
        level, updated_us = self.buckets.get(operation.customer, (plan.rate_limit_burst, now_us))
        level = (
            min(plan.rate_limit_burst, level + plan.rate_limit_per_s * (now_us - updated_us) / SECOND)
            - operation.units
        )
        self.buckets[operation.customer] = (level, now_us)
        if level < 0 and plan.rate_limit_slack > 0:
            self.nearest_ceiling = max(self.nearest_ceiling, -level / plan.rate_limit_slack)
        if level < -plan.rate_limit_slack:
            self.record_breach(
                5,
                f"{operation.customer}'s rate limit exceeded by {-level:.1f} units, "
                f"slack {plan.rate_limit_slack}",
                record,
            )

    def on_answer(self, record: OperationRecord, is_retryable: bool) -> None:
        """Check an answer against rules 1 and 2.

        Args:
            record: The operation.
            is_retryable: The operation is rejected, and the client may retry it later.
        """
        record.answer_count += 1
        if record.is_exempt:
            return
        if record.answer_count > 1:
            self.record_breach(1, "a second final answer", record)
        if self.now_us > record.op.deadline_us + ANSWER_GRACE_US:
            self.record_breach(
                1, f"answered {self.now_us - record.op.deadline_us} us after its deadline", record
            )
        category = record.op.category
        # A retry is harmless if the operation is idempotent, or if every server deduplicates it.
        deduplicated_by_all = (
            category.repeat_safety is RepeatSafety.DEDUPLICATED
            and category.deduplication_scope is DeduplicationScope.ALL
        )
        may_repeat = category.repeat_safety is RepeatSafety.IDEMPOTENT or deduplicated_by_all
        if is_retryable and not may_repeat and any(attempt.may_have_run() for attempt in record.attempts):
            self.record_breach(2, "rejected as retryable after an attempt that may have run", record)

    def on_answer_overdue(self, record: OperationRecord) -> None:
        """Check rule 1 for an operation whose deadline and grace period have passed."""
        if not record.answer_count and not record.is_exempt:
            self.record_breach(1, "no final answer by the deadline and the grace period", record)

    def on_server_load(self, server: str, load: int, capacity: int, is_cold: bool) -> None:
        """Check rule 4 for a server at which an attempt has arrived.

        Args:
            server: The server's name.
            load: Operations running and queued at it, with the new one.
            capacity: Operations that it can run concurrently now.
            is_cold: Whether it is in its slow start; a warm server is not checked.
        """
        if not is_cold:
            return
        limit = self.server_rules.max_overload_factor * capacity
        self.most_cold_share = max(self.most_cold_share, load / limit)
        if load > limit:
            self.record_breach(
                4, f"cold server {server} has a load of {load}, its overload limit is {limit:g}", None
            )
