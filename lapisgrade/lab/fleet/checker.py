"""Checks the history of a run for rule violations and computes the figures of docs/lab-fleet.md.

Pure: events in, `Findings` out; no clock and no I/O. Operations are dropped once they can no longer break a
rule.

The rules, by number:

1. Each attempt gets exactly one final answer within its time-out and the protocol's grace, and no request of
   it reaches a server after its end.
2. A non-idempotent operation runs at most once over all its attempts, and is not rejected after it ran. A
   deduplicated one does not run again after its key has expired.
3. No request reaches a draining or removed server once the limiter was told and the drain grace has passed.
5. No customer exceeds its rate limit by more than the slack.

Rule 4 is checked only by the emulator, since a history doesn't show a server's capacity.

A history doesn't show the limiter's internal state. A request counts from its arrival at the server, a server
list from the agent's reply. `LEEWAY_US` allows for that difference and for a busy machine: it is far longer
than either takes, and far shorter than the delays that a defect causes. A limiter that was killed or paused
isn't held responsible for the attempts that were in flight in it at that time.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from lapisgrade.interface import Category, DeduplicationScope, Plan, RepeatSafety
from lapisgrade.lab import quota
from lapisgrade.lab.fleet import history as h
from lapisgrade.settings import flatten, read_categories, read_plans, read_server_rules

SECOND = 1_000_000
GRACE_US = 500_000  # defined by the protocol: a response later than its time-out by more than this is lost
LEEWAY_US = 1 * SECOND  # maximum delay between a limiter's action and its observation elsewhere
BIN_US = 100_000  # bin width of the goodput and call series
# Service is full again when goodput reaches this share of the baseline over this window.
FULL_SERVICE_SHARE, FULL_SERVICE_WINDOW_US = 0.95, 2 * SECOND
BASELINE_US = 5 * SECOND  # maximum length of the baseline, which ends at the first fault
MAX_BREACHES = 200  # violations kept in full; further ones are only counted
ENDS = ("finished", "turned back", "given up", "broken", "none")  # outcomes, as in `AttemptAnswered.how`
CALLS = ("counter", "discovery", "servers", "connections")  # kinds of call that are counted


class Breach(msgspec.Struct):
    """A violation.

    Attributes:
        rule: Number of the rule, 1, 2, 3 or 5; 0 for a bound stated by the scenario.
        what: Description.
        op: Id of the attempt; empty if the violation isn't one attempt's.
        at_s: Time in s from the start of the run.
    """

    rule: int
    what: str
    op: str = ""
    at_s: float = 0.0


class FaultSeen(msgspec.Struct):
    """A fault, with times in s from the start of the run.

    `full_service_s` is the time in s from the fault's end to full service; None if not reached in the run.
    """

    what: str
    target: str
    began_s: float
    ended_s: float
    full_service_s: float | None = None


class Findings(msgspec.Struct):
    """The violations and figures of one run."""

    name: str = ""  # of the scenario
    seed: int = 0
    limiters: int = 0
    seconds: float = 0.0  # duration of the load
    ends: dict[str, int] = msgspec.field(default_factory=lambda: dict.fromkeys(ENDS, 0))
    exempt: int = 0  # unanswered attempts in flight in a limiter that was killed or paused; also in `ends`
    broken: int = 0  # number of violations
    breaches: list[Breach] = []  # the first MAX_BREACHES of them
    quotas: dict[str, dict[str, float]] = {}  # by plan: the figures of lab/quota.py
    over: dict[str, float] = {}  # by customer: maximum units over the quota in any window
    over_bound: float | None = None  # stated bound of `over`; None: not stated
    faults: list[FaultSeen] = []
    # by kind of call: peak bin after the start of the first fault, relative to the baseline mean
    stampede: dict[str, float] = {}
    staleness_s: float = 0.0  # maximum time from a server's departure to a request that still reached it
    goodput: list[int] = []  # number of operations finished, by bin
    calls: dict[str, list[int]] = {}  # by kind: number of calls, by bin
    share: dict[int, int] = {}  # number of attempts sent, by limiter

    @property
    def ok(self) -> bool:
        """Whether no rule was broken and no stated bound was exceeded."""
        return not self.broken


@dataclass(slots=True)
class Attempt:
    """An attempt of an operation, kept while it can still break a rule."""

    sent: h.AttemptSent
    answered: h.AttemptAnswered | None = None
    received: list[h.RequestReceived] = field(default_factory=list)
    is_excused: bool = False  # its limiter was down or paused while the attempt may have been in flight


@dataclass(slots=True)
class ProcessStatus:
    """Whether a limiter's process is down, and whether it is paused."""

    is_down: bool = False
    is_paused: bool = False
    resumed_us: int = 0  # time of the last resume


class Checker:
    """Checks a history. Call `process_event` for each event in order of time, then `finish`.

    Attributes:
        findings: The findings so far; `finish` completes them.
    """

    def __init__(self) -> None:
        """Create a checker of one run."""
        self.findings = Findings()
        self._categories: dict[str, Category] = {}
        self._plans: dict[str, Plan] = {}
        self._started_us = self._ended_us = 0
        self._grace_us = self._leeway_us = 0
        self._attempts: dict[str, Attempt] = {}
        self._deadlines: deque[tuple[int, str]] = deque()  # (time to close, attempt), nearly in order of time
        # by origin: requests that ran, kept while a repeat would break rule 2
        self._effects: dict[str, list[h.RequestReceived]] = {}
        self._effect_expiries: deque[tuple[int, str]] = deque()
        # Closed attempts that a paused limiter may still send on after it resumes.
        self._excused_attempts: set[str] = set()
        self._processes: dict[int, ProcessStatus] = {}  # by limiter
        self._notified: dict[tuple[int, str], h.ServerStateNotified] = {}  # by limiter and server
        self._departed_us: dict[str, int] = {}  # by server: when it started to drain or was removed
        self._rate_limits: dict[str, quota.Bucket] = {}  # by customer
        self._quotas: dict[str, quota.Quota] = {}  # by customer
        self._plan_of: dict[str, str] = {}  # by customer
        self._open_faults: dict[tuple[str, str], FaultSeen] = {}  # by kind and target
        self._handlers = {
            h.RunStarted: self._on_run_started,
            h.AttemptSent: self._on_sent,
            h.AttemptAnswered: self._on_answered,
            h.RequestReceived: self._on_received,
            h.ServerStateChanged: self._on_state_changed,
            h.ServerStateNotified: self._on_state_notified,
            h.FaultChanged: self._on_fault,
            h.LimiterProcessChanged: self._on_process_event,
            h.RunEnded: self._on_run_ended,
            h.CounterCalled: lambda event: self._count_call("counter", event.at),
            h.DiscoveryCalled: lambda event: self._count_call("discovery", event.at),
            h.ConnectionOpened: lambda event: self._count_call("connections", event.at),
        }

    def process_event(self, event: h.Event) -> None:
        """Check the next event in order of time."""
        while self._deadlines and self._deadlines[0][0] <= event.at:
            self._close_attempt(self._deadlines.popleft()[1])
        while self._effect_expiries and self._effect_expiries[0][0] <= event.at:
            self._effects.pop(self._effect_expiries.popleft()[1], None)
        self._handlers[type(event)](event)

    def finish(self) -> Findings:
        """Close all attempts after the last event, compute the figures and return the findings."""
        while self._deadlines:
            self._close_attempt(self._deadlines.popleft()[1])
        findings = self.findings
        findings.over = {name: each.max_excess for name, each in self._quotas.items()}
        for plan in self._plans:
            accounts = [each for name, each in self._quotas.items() if self._plan_of[name] == plan]
            if accounts:
                findings.quotas[plan] = quota.summary(accounts, findings.seconds)
        worst = max(findings.over, key=findings.over.get, default="")
        if findings.over_bound is not None and worst and findings.over[worst] > findings.over_bound:
            what = f"customer {worst} got {findings.over[worst]:.1f} units over its quota in a window"
            what += f"; the stated bound is {findings.over_bound:.1f}"
            findings.broken += 1
            # First, so that reports don't cut it off.
            findings.breaches.insert(0, Breach(0, what, "", findings.seconds))
        bins = max(1, ((self._ended_us or self._started_us) - self._started_us) // BIN_US)
        for series in (findings.goodput, *findings.calls.values()):
            del series[bins:]
            series.extend([0] * (bins - len(series)))
        self._measure_recovery(bins)
        return findings

    # ---- figures

    def _measure_recovery(self, bins: int) -> None:
        """Compute each fault's time to full service, and the peaks of calls, in a run of `bins` bins.

        The baseline is the goodput, or the calls, in the bins before the first fault.
        """
        findings = self.findings
        if not findings.faults:
            return
        baseline_end = min(bins, int(min(each.began_s for each in findings.faults) * SECOND / BIN_US))
        baseline_start = max(0, baseline_end - BASELINE_US // BIN_US)
        baseline = findings.goodput[baseline_start:baseline_end]
        mean, width = sum(baseline) / max(1, len(baseline)), FULL_SERVICE_WINDOW_US // BIN_US
        for fault in findings.faults:
            first_bin = -(-int(fault.ended_s * SECOND) // BIN_US)  # rounded up
            for start in range(first_bin, bins - width + 1):
                if sum(findings.goodput[start : start + width]) >= FULL_SERVICE_SHARE * mean * width:
                    fault.full_service_s = max(0.0, start * BIN_US / SECOND - fault.ended_s)
                    break
        for kind, series in findings.calls.items():
            mean_calls = sum(series[baseline_start:baseline_end]) / max(1, baseline_end - baseline_start)
            findings.stampede[kind] = (
                max(series[baseline_end:], default=0) / mean_calls if mean_calls else 0.0
            )

    def _count(self, series: list[int], at_us: int) -> None:
        """Add one to the bin of the time `at_us` unless it is outside the run."""
        bin_number = (at_us - self._started_us) // BIN_US
        if self._started_us and bin_number >= 0 and not (self._ended_us and at_us > self._ended_us):
            series.extend([0] * (bin_number + 1 - len(series)))
            series[bin_number] += 1

    def _count_call(self, kind: str, at_us: int) -> None:
        self._count(self.findings.calls.setdefault(kind, []), at_us)

    def _report_breach(self, rule: int, what: str, op: str, at_us: int) -> None:
        self.findings.broken += 1
        if len(self.findings.breaches) < MAX_BREACHES:
            self.findings.breaches.append(Breach(rule, what, op, (at_us - self._started_us) / SECOND))

    # ---- events

    def _on_run_started(self, event: h.RunStarted) -> None:
        findings, info = self.findings, flatten(event.settings)
        findings.name, findings.seed, findings.limiters = event.name, event.seed, event.limiters
        findings.seconds, findings.over_bound = event.seconds, event.over_bound
        findings.calls = {kind: [] for kind in CALLS}  # calls before the run's start don't count
        self._categories = {each.name: each for each in read_categories(info)}
        self._plans = {each.name: each for each in read_plans(info)}
        self._started_us, self._grace_us = event.at, read_server_rules(info).drain_grace_us
        self._leeway_us = LEEWAY_US + event.leeway_us

    def _on_sent(self, event: h.AttemptSent) -> None:
        self._attempts[event.op] = attempt = Attempt(event)
        process_status = self._processes.get(event.limiter)
        attempt.is_excused = process_status is not None and (
            process_status.is_down or process_status.is_paused
        )
        self._deadlines.append((event.ends + GRACE_US + self._leeway_us, event.op))
        self.findings.share[event.limiter] = self.findings.share.get(event.limiter, 0) + 1
        self._quota(event).on_arrival(event.units, event.at)

    def _quota(self, sent: h.AttemptSent) -> quota.Quota:
        """Return the quota of the customer that sent the attempt."""
        account = self._quotas.get(sent.customer)
        if account is None:
            plan = self._plans[sent.plan]
            account = self._quotas[sent.customer] = quota.Quota(plan.rate, plan.burst, self._started_us)
            self._plan_of[sent.customer] = sent.plan
        return account

    def _on_answered(self, event: h.AttemptAnswered) -> None:
        attempt = self._attempts.get(event.op)
        if attempt is None:
            return
        if attempt.answered is not None:
            self._report_breach(1, "a second final answer", event.op, event.at)
            return
        attempt.answered = event
        if event.how == "finished":
            self._count(self.findings.goodput, event.at)
            self._quota(attempt.sent).on_admission(attempt.sent.units, event.at)

    def _on_received(self, event: h.RequestReceived) -> None:
        self._count_call("servers", event.at)
        if event.server in self._departed_us:
            stale_s = (event.at - self._departed_us[event.server]) / SECOND
            self.findings.staleness_s = max(self.findings.staleness_s, stale_s)
        attempt = self._attempts.get(event.op)
        if attempt is None:
            if event.op not in self._excused_attempts:
                what = f"sent to {event.server}, but no client's attempt with this id is open"
                self._report_breach(1, what, event.op, event.at)
            return
        answered, sent = attempt.answered, attempt.sent
        ended_us = min(answered.at if answered is not None else sent.ends, sent.ends)
        if event.at > ended_us + self._leeway_us and not attempt.is_excused:
            self._report_breach(
                1,
                f"sent to {event.server} {event.at - ended_us} us after the attempt's end",
                event.op,
                event.at,
            )
        self._check_notified_state(attempt, event)
        if not attempt.received:
            self._check_rate_limit(sent, event.at)
        attempt.received.append(event)
        if event.ran:
            self._check_repeat(attempt, event)

    def _check_repeat(self, attempt: Attempt, event: h.RequestReceived) -> None:
        """Check rule 2 over all attempts of a client's operation."""
        sent, category = attempt.sent, self._categories[attempt.sent.category]
        if category.repeat_safety is RepeatSafety.IDEMPOTENT:
            return
        effects = self._effects.get(sent.origin)
        if effects is None:
            effects = self._effects[sent.origin] = []
            keep = category.timeout_us * 4 + category.deduplication_window_us + self._leeway_us
            self._effect_expiries.append((event.at + keep, sent.origin))
        effects.append(event)
        if len(effects) < 2:
            return
        first = effects[0]
        if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
            self._report_breach(2, f"ran at {first.server} and again at {event.server}", event.op, event.at)
        elif (
            category.deduplication_scope is DeduplicationScope.ALL
            and event.at > first.at + category.deduplication_window_us + self._leeway_us
        ):
            self._report_breach(
                2,
                f"ran at {first.server}, and again at {event.server} after its key had expired",
                event.op,
                event.at,
            )

    def _check_notified_state(self, attempt: Attempt, event: h.RequestReceived) -> None:
        """Check rule 3: no request reaches a server after the limiter learned of its drain and the grace."""
        notified = self._notified.get((attempt.sent.limiter, event.server))
        if notified is None or notified.state == "in_service":
            return
        process_status = self._processes.get(attempt.sent.limiter, ProcessStatus())
        if process_status.is_paused or process_status.resumed_us > notified.at:
            return  # paused since the notification: it read the server list only after it resumed
        if event.at > notified.at + self._grace_us + self._leeway_us:
            self._report_breach(
                3,
                f"sent to {event.server} {event.at - notified.at} us after limiter "
                f"{attempt.sent.limiter} was told that it is {notified.state}",
                event.op,
                event.at,
            )

    def _check_rate_limit(self, sent: h.AttemptSent, at_us: int) -> None:
        """Check rule 5, the rate limit. The first request of each attempt consumes its units."""
        plan = self._plans[sent.plan]
        if plan.rate_limit_per_s <= 0:
            return
        bucket = self._rate_limits.get(sent.customer)
        if bucket is None:
            # Extra burst for the slack, and for requests that links delay by up to the run's leeway.
            extra = plan.rate_limit_slack + plan.rate_limit_per_s * (self._leeway_us - LEEWAY_US) / SECOND
            burst = plan.rate_limit_burst + extra
            bucket = self._rate_limits[sent.customer] = quota.Bucket(
                plan.rate_limit_per_s, burst, burst, self._started_us
            )
        if not bucket.take(sent.units, at_us):
            self._report_breach(
                5,
                f"customer {sent.customer} exceeded its rate limit by more than the slack",
                sent.op,
                at_us,
            )
            bucket.level -= sent.units

    def _on_state_changed(self, event: h.ServerStateChanged) -> None:
        if event.state == "in_service":
            self._departed_us.pop(event.server, None)
        else:
            self._departed_us.setdefault(event.server, event.at)

    def _on_state_notified(self, event: h.ServerStateNotified) -> None:
        old = self._notified.get((event.limiter, event.server))
        # A repeated notification, or a removal after a drain, keeps the time of the first one.
        if old is None or event.state == "in_service" or old.state == "in_service":
            self._notified[event.limiter, event.server] = event

    def _on_fault(self, event: h.FaultChanged) -> None:
        at_s = (event.at - self._started_us) / SECOND
        key = event.what, event.target
        if event.on:
            fault = self._open_faults[key] = FaultSeen(event.what, event.target, at_s, at_s)
            self.findings.faults.append(fault)
        elif key in self._open_faults:
            self._open_faults.pop(key).ended_s = at_s

    def _on_process_event(self, event: h.LimiterProcessChanged) -> None:
        process_status = self._processes.setdefault(event.limiter, ProcessStatus())
        if event.what in ("killed", "ended"):
            process_status.is_down = True
        elif event.what == "up":
            process_status.is_down = process_status.is_paused = False
            # The new process knows none of the states that the old one was notified of.
            for key in [key for key in self._notified if key[0] == event.limiter]:
                del self._notified[key]
        elif event.what == "paused":
            process_status.is_paused = True
        elif event.what == "resumed":
            process_status.is_paused, process_status.resumed_us = False, event.at
        if process_status.is_down or process_status.is_paused:
            for attempt in self._attempts.values():
                if attempt.sent.limiter == event.limiter and attempt.answered is None:
                    attempt.is_excused = True

    def _on_run_ended(self, event: h.RunEnded) -> None:
        self._ended_us = event.at

    def _close_attempt(self, op: str) -> None:
        """Check the end of an attempt whose time-out, grace and leeway have passed, and drop it."""
        attempt = self._attempts.pop(op, None)
        if attempt is None:
            return
        if attempt.is_excused:
            self._excused_attempts.add(op)
        how = attempt.answered.how if attempt.answered is not None else "none"
        self.findings.ends[how] += 1
        sent, category = attempt.sent, self._categories[attempt.sent.category]
        if how in ("none", "broken"):
            if attempt.is_excused:
                self.findings.exempt += 1
            else:
                what = "no answer in time" if how == "none" else "its connection ended without an answer"
                self._report_breach(1, f"{what} (limiter {sent.limiter})", op, sent.ends)
        if (
            how == "turned back"
            and category.repeat_safety is RepeatSafety.NON_IDEMPOTENT
            and any(each.ran for each in attempt.received)
        ):
            self._report_breach(
                2, f"turned back after it ran at {attempt.received[0].server}", op, attempt.answered.at
            )


def check(events) -> Findings:
    """Return the findings of a complete history whose events are in order of time."""
    checker = Checker()
    for event in events:
        checker.process_event(event)
    return checker.finish()
