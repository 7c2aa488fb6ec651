"""The attempts of one request at its service's servers: forwarding, retrying, hedging and giving up. Pure.

`RequestAttempts.run` is a generator for `lapisgrade.engine`. It yields `Send` for each attempt, sleeps until
a timer or the end of an attempt, and ends in one of two ways: an attempt was answered (the host has delivered
the answer by then), or a `Respond` with a status of our own.

=========  ===============================================  =========
State      Event                                            Next
=========  ===============================================  =========
SELECTING  a server is chosen, the attempt starts           WAITING
SELECTING  no server yet, and none was tried: queued        SELECTING
SELECTING  no server, or the retry budget is spent          given up
WAITING    the hedge timer                                  HEDGING
HEDGING    a server is chosen, the attempt starts           WAITING
HEDGING    the retry budget is spent                        WAITING
HEDGING    the timer of the overdue attempt                 HEDGING
WAITING    an attempt fails, others are in flight           WAITING
HEDGING    an attempt fails, others are in flight           HEDGING
any        the last in flight fails, another may follow     SELECTING
any        the last in flight fails, none may follow        given up
any        an attempt is answered, or the client has gone   ended
SELECTING  the end of queueing                              given up
WAITING    the deadline                                     given up
HEDGING    the deadline                                     given up
=========  ===============================================  =========

* SELECTING: nothing is in flight, and a server is wanted for the first attempt or a retry.
* WAITING: at least one attempt is in flight and nothing else is wanted.
* HEDGING: as WAITING, and a second server is wanted beside the first (Dean and Barroso, "The Tail at Scale",
  2013). As long as none fits, it is looked for again whenever an attempt ends.

A request that may run only once is sent again only where no earlier attempt can have run, and never hedged.
One that bears an operation key goes on without its client while an attempt is in flight, for its repeats.
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

RESPONSE_MARGIN_US = 12_000  # from our deadline to the client's; also from the last attempt's start to ours
MAX_QUEUE_RATIO = 0.2  # of the target time that a request may be queued; from a quarter on it is penalised
QUEUE_POLL_US = 8_000  # between searches for a server while a request is queued
RETRY_AFTER_RATIO = 0.35  # of the target time after which one that found no server is to come back
OVERDUE_DEVIATIONS = 4.0  # above the mean latency that an attempt may take before it is overdue
MIN_OVERDUE_RATIO = 2.5  # times the mean latency, the least of that
HEDGE_LATENCY_RATIO = 1.25  # times the mean latency that a hedge is given to answer inside the target time
CLIENT_ROUND_TRIP_US = 20_000  # of the target time that the ways to the client and back take
MAX_UNREACHED_ATTEMPTS = 2  # that may fail before they reach a server, beyond the route's attempts
TIMER_SLACK_US = 1  # that the deadline's timer may come early, by rounding


class State(Enum):
    """What a request's attempts are at; see the module's table."""

    SELECTING = auto()
    WAITING = auto()
    HEDGING = auto()


class RequestAttempts:
    """One request's attempts, from the first one to its end."""

    __slots__ = (
        "_attempts",
        "_clock",
        "_cluster",
        "_hedge_us",
        "_latency",
        "_may_have_run",
        "_overdue_us",
        "_queue_until_us",
        "_random",
        "_reached_servers",
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
        rule = request.rule
        self._request = request
        self._clock = clock
        self._random = random
        self._cluster = cluster
        self._retry_budget = retry_budget
        self._latency: LatencyEstimate = cluster.latency(rule.name, rule.target_time)
        self._state = State.SELECTING
        self._attempts: list[UpstreamAttempt] = []
        self._reached_servers = 0  # attempts that have ended and had reached a server
        self._may_have_run = False  # whether any attempt that has ended may have run
        self._hedge_us = request.deadline_us  # when the next attempt may start beside those in flight
        self._overdue_us = request.deadline_us  # when the last attempt takes longer than nearly all others
        self._queue_until_us = self._end_of_queueing(clock.now_us)

    def run(self) -> Generator[Send | Sleep | Respond, WakeReason | AttemptFinished | None, None]:
        """Yield what to do until one attempt ends the request or none may follow."""
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
            if event is WakeReason.CLIENT_DISCONNECTED and not self._goes_on_without_client():
                return
            if self._state is State.SELECTING:
                continue  # still queued: search for a server again
            if isinstance(event, AttemptFinished):
                self._note_end(event.result)
                if event.result.is_final:
                    return
                if not self._may_go_on():
                    break
            elif self._is_timed_out():
                yield Respond(RejectReason.FAILED, 0, HTTPStatus.GATEWAY_TIMEOUT)
                return
            else:
                self._on_timer()
        yield self._failure_response()

    # ---- deadlines

    def _end_of_queueing(self, now_us: int) -> int:
        """Until when the request may be queued for its first server, in us."""
        longest_us = now_us + int(MAX_QUEUE_RATIO * self._request.rule.target_time)
        return min(longest_us, self._last_attempt_us())

    def _last_attempt_us(self) -> int:
        """When an attempt is too late, as its answer would no longer reach the client in time."""
        return self._request.deadline_us - RESPONSE_MARGIN_US

    def _next_timer_us(self, now_us: int) -> int:
        """Until when to sleep: the next search for a server, the next hedge or the request's deadline."""
        if self._state is State.SELECTING:
            return min(now_us + QUEUE_POLL_US, self._queue_until_us)
        if self._request.is_idempotent:
            return min(self._hedge_us, self._request.deadline_us)
        return self._request.deadline_us

    def _is_timed_out(self) -> bool:
        return self._clock.now_us >= self._request.deadline_us - TIMER_SLACK_US

    # ---- the first attempt, and what limits all of them

    def _may_queue(self, now_us: int) -> bool:
        """Whether the request may go on waiting here for its first server."""
        return not self._attempts and now_us < self._queue_until_us

    def _has_attempts_left(self, in_flight: int) -> bool:
        """Whether the route allows one more attempt beside so many in flight."""
        allowed = self._request.rule.action.tries
        started = len(self._attempts)
        return (
            started < max(allowed, 1) + MAX_UNREACHED_ATTEMPTS and self._reached_servers + in_flight < allowed
        )

    def _select_server(self, now_us: int, usual_us: float) -> UpstreamServer | None:
        """The server of the next attempt, paid for; None where none is wanted, or none may take one now."""
        if self._state is State.WAITING:
            return None
        in_flight = len(self._in_flight())
        if not self._has_attempts_left(in_flight):
            return None
        is_early_hedge = bool(in_flight) and now_us < self._overdue_us
        within_us = HEDGE_LATENCY_RATIO * usual_us if is_early_hedge else math.inf
        tried = [attempt.server for attempt in self._attempts]
        server = self._cluster.choose(now_us, usual_us, tried, within_us)
        if server is None or not self._must_be_paid(in_flight):
            return server
        if self._retry_budget.try_spend(now_us, is_early_hedge):
            return server
        if in_flight:
            self._state = State.WAITING  # the hedge is dropped; the next one waits for its own timer
        return None

    def _must_be_paid(self, in_flight: int) -> bool:
        """Whether an attempt is charged to the retry budget: all but the first that reaches a server."""
        return bool(self._reached_servers or in_flight)

    def _start_attempt(self, server: UpstreamServer, now_us: int) -> UpstreamAttempt:
        attempt = UpstreamAttempt(self._request, server, len(self._attempts), now_us)
        self._attempts.append(attempt)
        self._cluster.on_attempt_started(now_us, attempt)
        return attempt

    def _in_flight(self) -> list[UpstreamAttempt]:
        return [attempt for attempt in self._attempts if attempt.is_in_flight]

    # ---- hedging

    def _schedule_hedge(self, now_us: int, usual_us: float) -> None:
        """An attempt has just started: decide when it is overdue, and when it is hedged."""
        deviation_us = self._latency.deviation(now_us)
        overdue_after_us = max(MIN_OVERDUE_RATIO * usual_us, usual_us + OVERDUE_DEVIATIONS * deviation_us)
        self._overdue_us = now_us + int(overdue_after_us)
        self._hedge_us = self._hedge_time(now_us, usual_us, deviation_us)
        self._state = State.WAITING

    def _hedge_time(self, now_us: int, usual_us: float, deviation_us: float) -> int:
        """When an idempotent request whose attempt starts now is sent to another server too, in us.

        Early enough that the hedge's answer is inside the target time, where the attempt has had its usual
        time by then; else only once it is overdue. Guards requests at servers that became slow or stopped
        answering: an answer beyond the target time may be worth a tenth.
        """
        request = self._request
        hedge_takes_us = int(HEDGE_LATENCY_RATIO * usual_us)
        latest_us = request.arrived_us + request.rule.target_time - CLIENT_ROUND_TRIP_US - hedge_takes_us
        if latest_us < now_us + usual_us + deviation_us:
            return self._overdue_us
        return min(latest_us, self._overdue_us)

    def _on_timer(self) -> None:
        """Hedge where it is due; an early hedge that fails is repeated once, when the attempt is overdue."""
        now_us = self._clock.now_us
        if not self._request.is_idempotent or now_us < self._hedge_us:
            self._state = State.WAITING
            return
        self._state = State.HEDGING
        self._hedge_us = self._overdue_us if now_us < self._overdue_us else self._request.deadline_us

    # ---- the end of an attempt

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run, or may still."""
        return self._may_have_run or bool(self._in_flight())

    def _goes_on_without_client(self) -> bool:
        """Whether what is in flight is of use to others than the client, which has gone."""
        return bool(self._request.operation_key and self._in_flight())

    def _note_end(self, result: AttemptResult) -> None:
        """Take in how an attempt ended."""
        if result.outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT):
            self._reached_servers += 1
        if not result.outcome.never_ran:
            self._may_have_run = True

    def _may_go_on(self) -> bool:
        """Whether the request goes on after an attempt that was not its end."""
        if self._in_flight():
            return True
        if not self._may_retry():
            return False
        self._state = State.SELECTING
        return True

    def _may_retry(self) -> bool:
        """Whether a further attempt may follow, now that none is in flight."""
        if self._clock.now_us >= self._last_attempt_us():
            return False
        return self._request.is_idempotent or not self._may_have_run

    def _failure_response(self) -> Respond:
        """The final answer without a server's: what surely has not run may come back (503)."""
        if self._may_have_run:
            return Respond(RejectReason.FAILED, 0, HTTPStatus.BAD_GATEWAY)
        return_after_us = retry_after_us(self._random, self._request.rule)
        return Respond(RejectReason.RETRY_LATER, return_after_us, HTTPStatus.SERVICE_UNAVAILABLE)


def retry_after_us(random: Random, rule: Rule) -> int:
    """When a request that found no server may come back: spread, so that those refused together don't."""
    return math.ceil(rule.target_time * RETRY_AFTER_RATIO * (0.5 + random.random()))
