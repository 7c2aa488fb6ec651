"""Attempts of one request at the servers of its service: queueing, forwarding, retrying and hedging.

`RequestAttempts.run` is a generator for `lapisgrade.engine` and does no I/O. It yields `Send` for each
attempt and sleeps until a timer expires or an attempt finishes. It ends after an attempt has been answered
(the host has forwarded the response by then), or after it has yielded a `Respond`.

=========  ===============================================  =========
State      Event                                            Next
=========  ===============================================  =========
SELECTING  server chosen, attempt started                   WAITING
SELECTING  no server yet, or others are served before       SELECTING
SELECTING  no server in the time left, or no retry budget   failed
SELECTING  the tenant's quota is exhausted meanwhile        failed (429)
WAITING    hedge timer                                      HEDGING
HEDGING    server chosen, attempt started                   WAITING
HEDGING    retry budget spent                               WAITING
HEDGING    timer for an overdue attempt                     HEDGING
WAITING    attempt fails, others in flight                  WAITING
HEDGING    attempt fails, others in flight                  HEDGING
any        last attempt in flight fails, retry allowed      SELECTING
any        last attempt in flight fails, no retry allowed   failed
any        attempt answered, or client disconnected         finished
WAITING    deadline                                         failed
HEDGING    deadline                                         failed
=========  ===============================================  =========

* SELECTING: no attempt is in flight, and the first attempt or a retry needs a server. The request waits in
  the service's queue (`wait_queue`) as long as a run still fits into the caller's time (`time_left`), unless
  too many are served before it.
* WAITING: at least one attempt is in flight, and no other is due.
* HEDGING: at least one attempt is in flight, and a hedge needs a second server (Dean and Barroso, "The Tail
  at Scale", 2013). If no server is suitable, or others wait for their first one, the search is repeated
  whenever an attempt finishes.

A non-idempotent request is retried only if no earlier attempt can have run, and it is never hedged. After its
client disconnects, a request with an operation key continues while an attempt is in flight, so that repeats
of the operation get its response.
"""

import math
from collections.abc import Generator
from enum import Enum, auto
from http import HTTPStatus
from random import Random
from typing import Any

from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.gateway.routing.quota_grant import QuotaGrant
from lapisgrade.gateway.routing.request import Respond, RoutedRequest
from lapisgrade.gateway.routing.retry_budget import RetryBudget
from lapisgrade.gateway.routing.time_left import last_start_us, response_deadline_us, spread_retry_after_us
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt, UpstreamServer
from lapisgrade.interface import (
    AttemptFinished,
    AttemptOutcome,
    Clock,
    RejectReason,
    Resume,
    Send,
    Sleep,
    WakeReason,
)
from lapisgrade.policy.latency import LatencyEstimate

# Interval between searches for a server by the request whose turn it is; attempts that end wake it as well.
NEXT_POLL_US = 8_000
QUEUE_POLL_US = 100_000  # the same for the other queued requests, which are woken when their turn comes
# An overdue attempt takes longer than nearly all others: the mean latency plus this many deviations, and at
# least this multiple of the mean.
OVERDUE_DEVIATIONS = 4.0
MIN_OVERDUE_RATIO = 2.5
# A hedge starts when about 19 of 20 attempts have ended: the mean latency plus this many deviations.
HEDGE_DEVIATIONS = 2.0
# Maximum expected latency at the server of such a hedge, as a multiple of the mean latency: a free slot.
HEDGE_LATENCY_RATIO = 1.25
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
        "_entry",
        "_full_servers",
        "_grant",
        "_hedge_at_us",
        "_latency",
        "_may_have_run",
        "_overdue_at_us",
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
        grant: QuotaGrant | None = None,
    ) -> None:
        """Create a request that has no attempt yet.

        Args:
            request: The client's request.
            clock: The host's clock.
            random: The router's random number generator.
            cluster: The servers of the request's service.
            retry_budget: The service's retry budget.
            grant: The request's unit of its tenant's quota; None if the tenant has no limit.
        """
        self._request = request
        self._clock = clock
        self._random = random
        self._cluster = cluster
        self._retry_budget = retry_budget
        self._grant = grant
        self._entry = cluster.queue.entry(request)
        self._latency: LatencyEstimate = cluster.latency(clock.now_us, request.rule.name)
        self._state = State.SELECTING
        self._attempts: list[UpstreamAttempt] = []
        self._full_servers: list[UpstreamServer] = []  # servers that rejected an attempt for lack of capacity
        self._reached_count = 0  # finished attempts that reached a server
        self._may_have_run = False  # whether any finished attempt may have run
        self._hedge_at_us = request.deadline_us  # when the next hedge is due
        self._overdue_at_us = request.deadline_us  # when the latest attempt is overdue

    def run(self) -> Generator[Any, Any, None]:
        """Yield attempts and timers until the request is answered or fails."""
        while True:
            try:
                server, refusal = yield from self._wait_for_server()
            finally:
                self._cluster.queue.remove(self._entry)
            if self._request.is_abandoned:
                yield from self._wake_next()
                return
            if server is None:
                yield from self._wake_next()
                yield refusal or self._failure_response()
                return
            yield Send(self._start_attempt(server))
            yield from self._wake_next()
            if (yield from self._await_attempts()):
                return

    # ---- waiting for a server

    def _wait_for_server(self) -> Generator[Any, Any, tuple[UpstreamServer | None, Respond | None]]:
        """Wait for the server of the first attempt or a retry, while no attempt is in flight.

        Returns:
            The server, or None; and the response if the tenant's quota was exhausted meanwhile.
        """
        queue, entry = self._cluster.queue, self._entry
        self._state = State.SELECTING
        while not (self._request.is_abandoned or entry.is_displaced):
            now_us = self._clock.now_us
            server = self._find_server(now_us)
            if server is not None:
                if self._grant is not None and not self._grant.is_fresh() and not self._may_have_run:
                    entry.is_passed_over = True  # the others don't wait for the count as well
                    yield from self._wake_next()
                    refusal = yield from self._grant.take()
                    if refusal is not None:
                        return None, refusal
                    continue
                if self._needs_retry_budget(0) and not self._retry_budget.try_spend(now_us):
                    return None, None
                queue.serve(entry)
                return server, None
            if not self._may_wait(now_us):
                return None, None
            yield from self._enter_queue()
            if entry.is_displaced:
                break
            yield Sleep(min(self._next_poll_us(now_us), self._last_start_us(now_us)))
        return None, None

    def _find_server(self, now_us: int) -> UpstreamServer | None:
        """Return a suitable server with capacity if the request's turn has come."""
        entry, cluster = self._entry, self._cluster
        if not self._has_attempts_left(0):
            return None
        if not entry.is_passed_over and not cluster.queue.precedes_all(entry):
            return None
        tried = self._tried_servers()
        server = cluster.choose(now_us, self._latency.mean(now_us), tried)
        entry.is_passed_over = server is None and bool(tried) and cluster.has_free_server(now_us)
        return server

    def _may_wait(self, now_us: int) -> bool:
        """Return whether a server is expected while a run still fits into the caller's time."""
        if not self._has_attempts_left(0):
            return False
        if not self._cluster.has_untried_server(self._tried_servers()):
            return False
        latest_us = self._last_start_us(now_us)
        if self._cluster.queue.turns_before(self._entry):
            # Slots are scarce: a run that may be cut off would take one from a request that it can serve.
            latest_us -= int(self._latency.deviation(now_us))
            return now_us + self._cluster.expected_wait_us(now_us, self._entry) < latest_us
        return now_us < latest_us

    def _enter_queue(self) -> Generator[Any, Any, None]:
        """Join the queue, without a unit of the quota; wake those that have no room in it any more.

        A unit with which an attempt may have run is spent.
        """
        if self._grant is not None and not self._may_have_run:
            self._grant.put_back()
        for displaced in self._cluster.queue.add(self._entry):
            yield Resume(displaced.request)
        if self._entry.is_passed_over:
            yield from self._wake_next()

    def _wake_next(self) -> Generator[Any, Any, None]:
        """Wake the request that is served next."""
        next_entry = self._cluster.queue.next()
        if next_entry is not None and next_entry is not self._entry:
            yield Resume(next_entry.request)

    def _next_poll_us(self, now_us: int) -> int:
        is_next = self._entry.is_passed_over or self._cluster.queue.next() is self._entry
        return now_us + (NEXT_POLL_US if is_next else QUEUE_POLL_US)

    def _last_start_us(self, now_us: int) -> int:
        return last_start_us(self._request, self._latency, now_us)

    def _tried_servers(self) -> list[UpstreamServer]:
        """Return the servers that are not asked again; one that was only full is, if there is no other."""
        tried = [attempt.server for attempt in self._attempts]
        if not self._full_servers or self._cluster.has_untried_server(tried):
            return tried
        return [server for server in tried if server not in self._full_servers]

    # ---- waiting for a response

    def _await_attempts(self) -> Generator[Any, Any, bool]:
        """Wait until an attempt is answered or the request fails, and hedge; return False for a retry."""
        self._schedule_hedge(self._clock.now_us)
        while True:
            event = yield Sleep(self._next_timer_us())
            if event is WakeReason.CLIENT_DISCONNECTED and not self._continues_without_client():
                return True
            if isinstance(event, AttemptFinished):
                self._record_result(event)
                yield from self._wake_next()
                if event.result.is_final:
                    return True
                if not self._in_flight():
                    break
            elif self._is_timed_out():
                yield Respond(RejectReason.FAILED, 0, HTTPStatus.GATEWAY_TIMEOUT)
                return True
            else:
                self._on_timer()
            if self._state is State.HEDGING:
                server = self._select_hedge_server(self._clock.now_us)
                if server is not None:
                    yield Send(self._start_attempt(server))
                    self._schedule_hedge(self._clock.now_us)
        if self._may_retry():
            return False
        yield self._failure_response()
        return True

    def _next_timer_us(self) -> int:
        """Return the time in us of the next hedge or the request's deadline."""
        if self._request.is_idempotent:
            return min(self._hedge_at_us, self._request.deadline_us)
        return self._request.deadline_us

    def _is_timed_out(self) -> bool:
        return self._clock.now_us >= self._request.deadline_us - TIMER_SLACK_US

    # ---- limits on attempts

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

    def _needs_retry_budget(self, in_flight: int) -> bool:
        """Return whether the next attempt is charged to the retry budget.

        It is not if no attempt is in flight and no earlier one reached a server.
        """
        return bool(self._reached_count or in_flight)

    def _start_attempt(self, server: UpstreamServer) -> UpstreamAttempt:
        now_us = self._clock.now_us
        attempt = UpstreamAttempt(self._request, server, len(self._attempts), now_us)
        self._attempts.append(attempt)
        self._cluster.on_attempt_started(now_us, attempt)
        return attempt

    def _in_flight(self) -> list[UpstreamAttempt]:
        return [attempt for attempt in self._attempts if attempt.is_in_flight]

    # ---- hedging

    def _select_hedge_server(self, now_us: int) -> UpstreamServer | None:
        """Choose the server of a hedge and charge the retry budget; None if there is none now."""
        in_flight = len(self._in_flight())
        if self._cluster.queue or not self._has_attempts_left(in_flight):
            return None
        usual_us = self._latency.mean(now_us)
        if now_us + usual_us > response_deadline_us(self._request):
            return None  # it would usually not answer in the caller's time
        is_early_hedge = now_us < self._overdue_at_us
        max_latency_us = HEDGE_LATENCY_RATIO * usual_us if is_early_hedge else math.inf
        server = self._cluster.choose(now_us, usual_us, self._tried_servers(), max_latency_us)
        if server is None or self._retry_budget.try_spend(now_us, is_early_hedge):
            return server
        # No budget: an early hedge is tried again when the attempt is overdue, a later one is dropped.
        self._state = State.WAITING
        return None

    def _schedule_hedge(self, now_us: int) -> None:
        """Compute when the attempt that has just started is hedged, and when it is overdue.

        The first hedge goes to a server with a free slot and leaves a part of the budget to retries. The
        server of an overdue attempt probably doesn't respond any more; the second hedge goes to any server.
        While nothing is known of the work, both are due after half of the caller's time.
        """
        self._state = State.WAITING
        if not self._latency.is_known(now_us):
            self._hedge_at_us = self._overdue_at_us = (now_us + self._request.deadline_us) // 2
            return
        usual_us, deviation_us = self._latency.mean(now_us), self._latency.deviation(now_us)
        overdue_after_us = max(MIN_OVERDUE_RATIO * usual_us, usual_us + OVERDUE_DEVIATIONS * deviation_us)
        self._overdue_at_us = now_us + int(overdue_after_us)
        self._hedge_at_us = now_us + int(usual_us + HEDGE_DEVIATIONS * deviation_us)

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

    def _record_result(self, event: AttemptFinished) -> None:
        """Record whether a finished attempt reached a server and may have run."""
        result = event.result
        if result.outcome is AttemptOutcome.OVERLOADED:
            self._full_servers.append(event.attempt.server)
        if result.outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT):
            self._reached_count += 1
        if not result.outcome.never_ran:
            self._may_have_run = True

    def _may_retry(self) -> bool:
        """Return whether a retry is allowed when no attempt is in flight."""
        if self._clock.now_us >= response_deadline_us(self._request):
            return False
        return self._request.is_idempotent or not self._may_have_run

    def _failure_response(self) -> Respond:
        """Return the response to a failed request: 503 if it has certainly not run, otherwise 502."""
        if self._may_have_run:
            return Respond(RejectReason.FAILED, 0, HTTPStatus.BAD_GATEWAY)
        backlog_us = self._cluster.expected_backlog_us(self._clock.now_us)
        delay_us = spread_retry_after_us(self._random, backlog_us)
        return Respond(RejectReason.RETRY_LATER, delay_us, HTTPStatus.SERVICE_UNAVAILABLE)
