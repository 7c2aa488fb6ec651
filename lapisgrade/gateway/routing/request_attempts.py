"""Attempts of one request at the servers of its service: queueing, forwarding, retrying and hedging.

`RequestAttempts.run` is a generator for `lapisgrade.engine` and does no I/O. It yields `Send` for each
attempt and sleeps until a timer expires or an attempt finishes. It ends after an attempt has been answered
(the host has forwarded the response by then), or after it has yielded a `Respond`.

=========  ===============================================  =========
State      Event                                            Next
=========  ===============================================  =========
SELECTING  server chosen, attempt started                   WAITING
SELECTING  no server, no earlier attempt: queued            SELECTING
SELECTING  no server for a retry, or retry budget spent     failed
WAITING    hedge timer                                      HEDGING
HEDGING    server chosen, attempt started                   WAITING
HEDGING    retry budget spent                               WAITING
HEDGING    timer for an overdue attempt                     HEDGING
WAITING    attempt fails, others in flight                  WAITING
HEDGING    attempt fails, others in flight                  HEDGING
any        last attempt in flight fails, retry allowed      SELECTING
any        last attempt in flight fails, no retry allowed   failed
any        attempt answered, or client disconnected         finished
SELECTING  queueing time-out                                failed
WAITING    deadline                                         failed
HEDGING    deadline                                         failed
=========  ===============================================  =========

* SELECTING: no attempt is in flight, and the first attempt or a retry needs a server.
* WAITING: at least one attempt is in flight, and no other is due.
* HEDGING: at least one attempt is in flight, and a hedge needs a second server (Dean and Barroso, "The Tail
  at Scale", 2013). If no server is suitable, the search is repeated whenever an attempt finishes.

A non-idempotent request is retried only if no earlier attempt can have run, and it is never hedged. After its
client disconnects, a request with an operation key continues while an attempt is in flight, so that repeats
of the operation get its response.
"""

import math
from collections.abc import Generator
from enum import Enum, auto
from http import HTTPStatus
from random import Random

from lapisgrade.gateway.configuration import Rule
from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.gateway.routing.request import Respond, RoutedRequest
from lapisgrade.gateway.routing.retry_budget import RetryBudget
from lapisgrade.gateway.routing.time_left import response_deadline_us
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt, UpstreamServer
from lapisgrade.interface import (
    AttemptFinished,
    AttemptOutcome,
    AttemptResult,
    Clock,
    RejectReason,
    Send,
    Sleep,
    WakeReason,
)
from lapisgrade.policy.latency import LatencyEstimate

# Maximum queueing time as a fraction of the target time. A rejection after a quarter of the target time is
# penalised.
MAX_QUEUE_RATIO = 0.2
QUEUE_POLL_US = 8_000  # interval between searches for a server while a request is queued
# Mean Retry-After of a request that no server has run, as a fraction of the target time.
RETRY_AFTER_RATIO = 0.35
# An overdue attempt takes longer than nearly all others: the mean latency plus this many deviations, and at
# least this multiple of the mean.
OVERDUE_DEVIATIONS = 4.0
MIN_OVERDUE_RATIO = 2.5
# Time that a hedge is given to answer within the target time, as a multiple of the mean latency.
HEDGE_LATENCY_RATIO = 1.25
CLIENT_ROUND_TRIP_US = 20_000  # round trip between client and proxy, which is part of the target time
MAX_UNREACHED_ATTEMPTS = 2  # attempts beyond the route's limit, for those that do not reach a server
TIMER_SLACK_US = 1  # the deadline timer may fire this much early because of rounding


class State(Enum):
    """State of a request's attempts; see the table in the module's docstring."""

    SELECTING = auto()
    WAITING = auto()
    HEDGING = auto()


class RequestAttempts:
    """The attempts of one request; `run` serves the request."""

    __slots__ = (
        "_attempts",
        "_clock",
        "_cluster",
        "_hedge_at_us",
        "_latency",
        "_may_have_run",
        "_overdue_at_us",
        "_queue_deadline_us",
        "_random",
        "_reached_count",
        "_request",
        "_retry_budget",
        "_state",
    )

    def __init__(
        self,
        request: RoutedRequest,
        clock: Clock,
        random: Random,
        cluster: UpstreamCluster,
        retry_budget: RetryBudget,
    ) -> None:
        """Create a request that has no attempt yet; its time in the queue starts now.

        Args:
            request: The client's request.
            clock: The host's clock.
            random: The router's random number generator.
            cluster: The servers of the request's service.
            retry_budget: The service's retry budget.
        """
        rule = request.rule
        self._request = request
        self._clock = clock
        self._random = random
        self._cluster = cluster
        self._retry_budget = retry_budget
        self._latency: LatencyEstimate = cluster.latency(rule.name, rule.target_time)
        self._state = State.SELECTING
        self._attempts: list[UpstreamAttempt] = []
        self._reached_count = 0  # finished attempts that reached a server
        self._may_have_run = False  # whether any finished attempt may have run
        self._hedge_at_us = request.deadline_us  # when the next hedge is due
        self._overdue_at_us = request.deadline_us  # when the latest attempt is overdue
        self._queue_deadline_us = self._compute_queue_deadline(clock.now_us)

    def run(self) -> Generator[Send | Sleep | Respond, WakeReason | AttemptFinished | None, None]:
        """Yield attempts and timers until the request is answered or fails."""
        while True:
            now_us = self._clock.now_us
            usual_us = self._latency.mean(now_us)
            server = self._select_server(now_us, usual_us)
            if server is not None:
                yield Send(self._start_attempt(server, now_us))
                self._schedule_hedge(now_us, usual_us)
            elif self._state is State.SELECTING and not self._may_queue(now_us):
                break

            event = yield Sleep(self._next_timer_us(now_us))
            if event is WakeReason.CLIENT_DISCONNECTED and not self._continues_without_client():
                return
            if self._state is State.SELECTING:
                continue  # still queued
            if isinstance(event, AttemptFinished):
                self._record_result(event.result)
                if event.result.is_final:
                    return
                if not self._should_continue():
                    break
            elif self._is_timed_out():
                yield Respond(RejectReason.FAILED, 0, HTTPStatus.GATEWAY_TIMEOUT)
                return
            else:
                self._on_timer()
        yield self._failure_response()

    # ---- deadlines

    def _compute_queue_deadline(self, now_us: int) -> int:
        """Return the time in us until which the request may be queued for its first server."""
        max_until_us = now_us + int(MAX_QUEUE_RATIO * self._request.rule.target_time)
        return min(max_until_us, self._latest_start_us())

    def _latest_start_us(self) -> int:
        """Return the time in us from which on a queued request or a retry is not sent.

        Its response would no longer reach the client in time.
        """
        return response_deadline_us(self._request)

    def _next_timer_us(self, now_us: int) -> int:
        """Return the time in us of the next search for a server, the next hedge or the request's deadline."""
        if self._state is State.SELECTING:
            return min(now_us + QUEUE_POLL_US, self._queue_deadline_us)
        if self._request.is_idempotent:
            return min(self._hedge_at_us, self._request.deadline_us)
        return self._request.deadline_us

    def _is_timed_out(self) -> bool:
        return self._clock.now_us >= self._request.deadline_us - TIMER_SLACK_US

    # ---- server selection and limits on attempts

    def _may_queue(self, now_us: int) -> bool:
        """Return whether the request may stay queued for its first server."""
        return not self._attempts and now_us < self._queue_deadline_us

    def _has_attempts_left(self, in_flight: int) -> bool:
        """Return whether the route allows another attempt in addition to those in flight.

        The route limits the attempts that reach a server. All attempts together may exceed that limit by
        `MAX_UNREACHED_ATTEMPTS`.
        """
        allowed = self._request.rule.action.tries
        started = len(self._attempts)
        return (
            started < max(allowed, 1) + MAX_UNREACHED_ATTEMPTS and self._reached_count + in_flight < allowed
        )

    def _select_server(self, now_us: int, usual_us: float) -> UpstreamServer | None:
        """Choose the server of the next attempt and charge the retry budget.

        Returns:
            The server, or None if no attempt is due, allowed or possible now.
        """
        if self._state is State.WAITING:
            return None
        in_flight = len(self._in_flight())
        if not self._has_attempts_left(in_flight):
            return None
        is_early_hedge = bool(in_flight) and now_us < self._overdue_at_us
        max_latency_us = HEDGE_LATENCY_RATIO * usual_us if is_early_hedge else math.inf
        tried = [attempt.server for attempt in self._attempts]
        server = self._cluster.choose(now_us, usual_us, tried, max_latency_us)
        if server is None or not self._needs_retry_budget(in_flight):
            return server
        if self._retry_budget.try_spend(now_us, is_early_hedge):
            return server
        if in_flight:
            # No budget: an early hedge is tried again when the attempt is overdue, a later one is dropped.
            self._state = State.WAITING
        return None

    def _needs_retry_budget(self, in_flight: int) -> bool:
        """Return whether the next attempt is charged to the retry budget.

        It is not if no attempt is in flight and no earlier one reached a server.
        """
        return bool(self._reached_count or in_flight)

    def _start_attempt(self, server: UpstreamServer, now_us: int) -> UpstreamAttempt:
        attempt = UpstreamAttempt(self._request, server, len(self._attempts), now_us)
        self._attempts.append(attempt)
        self._cluster.on_attempt_started(now_us, attempt)
        return attempt

    def _in_flight(self) -> list[UpstreamAttempt]:
        return [attempt for attempt in self._attempts if attempt.is_in_flight]

    # ---- hedging

    def _schedule_hedge(self, now_us: int, usual_us: float) -> None:
        """Compute when the attempt that has just started is overdue, and when it is hedged."""
        deviation_us = self._latency.deviation(now_us)
        overdue_after_us = max(MIN_OVERDUE_RATIO * usual_us, usual_us + OVERDUE_DEVIATIONS * deviation_us)
        self._overdue_at_us = now_us + int(overdue_after_us)
        self._hedge_at_us = self._hedge_time(now_us, usual_us, deviation_us)
        self._state = State.WAITING

    def _hedge_time(self, now_us: int, usual_us: float, deviation_us: float) -> int:
        """Return when to hedge an idempotent request whose attempt starts now, in us.

        The hedge starts early enough to be answered within the target time, unless the attempt would not have
        had its usual latency by then; in that case it starts when the attempt is overdue. This limits the
        damage from servers that become slow or stop responding: a response after the target time may be worth
        a tenth.
        """
        request = self._request
        hedge_latency_us = int(HEDGE_LATENCY_RATIO * usual_us)
        latest_us = request.arrived_us + request.rule.target_time - CLIENT_ROUND_TRIP_US - hedge_latency_us
        if latest_us < now_us + usual_us + deviation_us:
            return self._overdue_at_us
        return min(latest_us, self._overdue_at_us)

    def _on_timer(self) -> None:
        """Start a hedge if it is due; an early hedge is retried once, when the attempt is overdue."""
        now_us = self._clock.now_us
        if not self._request.is_idempotent or now_us < self._hedge_at_us:
            self._state = State.WAITING
            return
        self._state = State.HEDGING
        self._hedge_at_us = self._overdue_at_us if now_us < self._overdue_at_us else self._request.deadline_us

    # ---- results of attempts

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run or may still run."""
        return self._may_have_run or bool(self._in_flight())

    def _continues_without_client(self) -> bool:
        """Return whether the request continues without its client, for repeats of its operation."""
        return bool(self._request.operation_key and self._in_flight())

    def _record_result(self, result: AttemptResult) -> None:
        """Record whether a finished attempt reached a server and may have run."""
        if result.outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT):
            self._reached_count += 1
        if not result.outcome.never_ran:
            self._may_have_run = True

    def _should_continue(self) -> bool:
        """Return whether the request continues after a failed attempt."""
        if self._in_flight():
            return True
        if not self._may_retry():
            return False
        self._state = State.SELECTING
        return True

    def _may_retry(self) -> bool:
        """Return whether a retry is allowed when no attempt is in flight."""
        if self._clock.now_us >= self._latest_start_us():
            return False
        return self._request.is_idempotent or not self._may_have_run

    def _failure_response(self) -> Respond:
        """Return the response to a failed request: 503 if it has certainly not run, otherwise 502."""
        if self._may_have_run:
            return Respond(RejectReason.FAILED, 0, HTTPStatus.BAD_GATEWAY)
        delay_us = retry_after_us(self._random, self._request.rule)
        return Respond(RejectReason.RETRY_LATER, delay_us, HTTPStatus.SERVICE_UNAVAILABLE)


def retry_after_us(random: Random, rule: Rule) -> int:
    """Return the Retry-After in us of a request that no server has run.

    It is randomized, so that requests that were rejected together are not retried together.
    """
    return math.ceil(rule.target_time * RETRY_AFTER_RATIO * (0.5 + random.random()))
