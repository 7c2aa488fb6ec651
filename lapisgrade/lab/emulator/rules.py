"""Checks the five rules at each step of an emulated run, over all limiters together.

1. Each accepted operation gets exactly one final answer within its deadline plus a grace period. No attempt
   is sent after the answer.
2. No effect happens twice. A non-idempotent operation has at most one attempt that may have run. A
   deduplicated operation is sent again only within its deduplication scope and window. An operation is
   rejected as retryable after an attempt that may have run only if it is idempotent, or deduplicated by all
   servers (rule 2 of the protocol).
3. A server gets no attempt later than the drain grace after the limiter was notified that it drains or was
   removed.
4. A cold server is not overloaded: its load (running and queued) never exceeds `max_overload_factor` times
   its capacity at that time. This is our reading of the settings `Cold`, `ColdFrom` and `FallMultiple`.
5. No rate limit is exceeded by more than its slack. Each customer has a token bucket of `rate_limit_burst`,
   filled at `rate_limit_per_s`; each operation's first attempt takes its units. The bucket never falls below
   minus the slack.

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

SECOND = 1_000_000
ANSWER_GRACE_US = 500_000  # an answer is late up to this long after the deadline, then lost
MAX_RECORDED_BREACHES = 100  # further breaches are only counted


@dataclass(slots=True)
class Breach:
    """A violation of a rule, as written to the result file."""

    rule: int
    what: str
    operation: str
    step: int
    at_us: int


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt as the emulated fleet sees it."""

    server: str
    zone: str
    cell: int
    sent_us: int
    outcome: AttemptOutcome | None = None

    def may_have_run(self) -> bool:
        return not (self.outcome is not None and self.outcome.never_ran)


@dataclass(slots=True)
class OperationRecord:
    """An operation with its attempts and answers.

    Attributes:
        is_exempt: The limiter died or the client disconnected, so the limiter owes no answer.
    """

    op: Operation
    number: int
    attempts: list[ObservedAttempt] = field(default_factory=list)
    answer_count: int = 0
    is_exempt: bool = False


class RuleChecker:
    """Observes every attempt, answer and server load, and records the breaches.

    Attributes:
        breach_count: All breaches, including those not recorded.
        nearest_ceiling: Largest use of a rate limit's slack, as a share of it.
        most_cold_share: Largest load of a cold server, as a share of its overload limit.
    """

    def __init__(self, server_rules: ServerRules) -> None:
        self.server_rules = server_rules
        self.breaches: list[Breach] = []
        self.breach_count = 0
        self.step = 0
        self.now_us = 0
        self.buckets: dict[str, tuple[float, int]] = {}  # level in units and its time, by customer
        self.nearest_ceiling = 0.0
        self.most_cold_share = 0.0

    def record_breach(self, rule: int, what: str, record: OperationRecord | None) -> None:
        self.breach_count += 1
        if len(self.breaches) < MAX_RECORDED_BREACHES:
            name = (
                "-"
                if record is None
                else (
                    f"#{record.number} {record.op.customer} {record.op.category.name} "
                    f"arrived {record.op.arrived_us}"
                )
            )
            self.breaches.append(Breach(rule, what, name, self.step, self.now_us))

    def on_attempt_sent(
        self, record: OperationRecord, attempt: ObservedAttempt, notified: tuple[ServerState, int]
    ) -> None:
        """Check an attempt against rules 1, 2, 3 and 5, and add it to its operation.

        Args:
            record: The operation.
            attempt: The attempt that is sent now.
            notified: The server's state as last notified to the limiter, and the time of its last change.
        """
        op, now = record.op, self.now_us
        if record.answer_count or now >= op.deadline_us:
            self.record_breach(1, "a hop sent for an operation that has its answer or is over", record)
        may_have_run = [each for each in record.attempts if each.may_have_run()]
        repeat_safety = op.category.repeat_safety
        if repeat_safety is RepeatSafety.NON_IDEMPOTENT and may_have_run:
            self.record_breach(
                2, "an unrepeatable operation sent again after a hop that may have run", record
            )
        if repeat_safety is RepeatSafety.DEDUPLICATED and may_have_run:
            first, scope = may_have_run[0], op.category.deduplication_scope
            if (scope is DeduplicationScope.ZONE and attempt.zone != first.zone) or (
                scope is DeduplicationScope.CELL and attempt.cell != first.cell
            ):
                self.record_breach(2, "a deduplicated operation sent outside its group", record)
            if now > first.sent_us + op.category.deduplication_window_us:
                self.record_breach(2, "a deduplicated operation sent after its key is forgotten", record)
        state, since = notified
        if state is not ServerState.READY and now > since + self.server_rules.drain_grace_us:
            self.record_breach(
                3, f"sent to {attempt.server}, told {state.name.lower()} {now - since} us before", record
            )
        if not record.attempts and op.plan.rate_limit_per_s:
            self.check_rate_limit(record)
        record.attempts.append(attempt)

    def check_rate_limit(self, record: OperationRecord) -> None:
        """Take the operation's units from its customer's bucket, and check rule 5."""
        op, now = record.op, self.now_us
        plan = op.plan
        level, at = self.buckets.get(op.customer, (plan.rate_limit_burst, now))
        level = min(plan.rate_limit_burst, level + plan.rate_limit_per_s * (now - at) / SECOND) - op.units
        self.buckets[op.customer] = (level, now)
        if level < 0 and plan.rate_limit_slack > 0:
            self.nearest_ceiling = max(self.nearest_ceiling, -level / plan.rate_limit_slack)
        if level < -plan.rate_limit_slack:
            self.record_breach(
                5,
                f"{op.customer}'s ceiling passed by {-level:.1f} units, slack {plan.rate_limit_slack}",
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
                1, f"answered {self.now_us - record.op.deadline_us} us after its hard stop", record
            )
        category = record.op.category
        # A retry is harmless if the operation is idempotent, or if every server deduplicates it.
        deduplicated_by_all = (
            category.repeat_safety is RepeatSafety.DEDUPLICATED
            and category.deduplication_scope is DeduplicationScope.ALL
        )
        may_repeat = category.repeat_safety is RepeatSafety.IDEMPOTENT or deduplicated_by_all
        if is_retryable and not may_repeat and any(each.may_have_run() for each in record.attempts):
            self.record_breach(2, "turned back after a hop that may have run", record)

    def on_answer_overdue(self, record: OperationRecord) -> None:
        """Check rule 1 when the deadline and the grace period have passed."""
        if not record.answer_count and not record.is_exempt:
            self.record_breach(1, "no final answer by the hard stop and the grace", record)

    def on_server_load(self, server: str, load: int, capacity: int, is_cold: bool) -> None:
        """Check rule 4 when an attempt arrives at a server."""
        if not is_cold:
            return
        limit = self.server_rules.max_overload_factor * capacity
        self.most_cold_share = max(self.most_cold_share, load / limit)
        if load > limit:
            self.record_breach(4, f"cold {server} holds {load}, pushed over at {limit:g}", None)
