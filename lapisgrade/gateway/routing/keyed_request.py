"""Execution of a request with an operation key: claim the key, then run the operation or replay its response.

`KeyedRequest.run` is a generator for `lapisgrade.engine` and does no I/O. It starts after the tenant's quota
has admitted the request.

===================  ==================================================  ===================
State                Event                                               Next
===================  ==================================================  ===================
CLAIMING             this attempt's claim is granted                     RUNNING
CLAIMING             the claim is granted too late for a run             rejected (503)
CLAIMING             another attempt holds the key                       WAITING_FOR_OUTCOME
CLAIMING             no reply while a run still fits, or no room         rejected (503)
RUNNING              all attempts at servers have finished               finished
WAITING_FOR_OUTCOME  the other attempt is ANSWERED                       response replayed
WAITING_FOR_OUTCOME  it is still RUNNING at this request's deadline      rejected (409)
WAITING_FOR_OUTCOME  it is NOT_RUN                                       CLAIMING, replacing it
WAITING_FOR_OUTCOME  it is NOT_RUN, after MAX_CLAIM_ROUNDS claims        rejected (503)
WAITING_FOR_OUTCOME  it is UNKNOWN                                       failed (502)
WAITING_FOR_OUTCOME  this proxy has too many pending calls               rejected (503)
any but RUNNING      the client disconnects                              finished
===================  ==================================================  ===================

* CLAIMING: the proxy asks the leader to record this attempt as the holder of the key. No server has received
  the request. An attempt that leaves this state for any other than RUNNING is permanently NOT_RUN; if the
  leader records its claim nevertheless, the next repeat replaces it.
* RUNNING: the request is sent to servers as a non-idempotent request (`request_attempts`). The run continues
  if the client disconnects.
* WAITING_FOR_OUTCOME: the proxy queries the outcome from the proxy whose attempt holds the key.

Each round of CLAIMING is a new attempt with its own name, since an attempt that was reported as NOT_RUN must
never run.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Any

from lapisgrade.gateway.consensus.timing import ELECTION_JITTER_US, ELECTION_TIMEOUT_US
from lapisgrade.gateway.operations.attempts import OperationAttempts
from lapisgrade.gateway.operations.outcomes import NOT_RUN, UNKNOWN, Outcome, OutcomeState
from lapisgrade.gateway.operations.table import Claim, ClaimResult, tenant_in_claim
from lapisgrade.gateway.routing.request import ReplayResponse, Respond, RoutedRequest
from lapisgrade.gateway.routing.request_attempts import RequestAttempts
from lapisgrade.gateway.routing.time_left import last_start_us, response_deadline_us, spread_retry_after_us
from lapisgrade.interface import Call, Clock, RejectReason
from lapisgrade.policy.latency import LatencyEstimate

# Maximum number of claims per request. Each claim after the first replaces an attempt that never ran.
MAX_CLAIM_ROUNDS = 4
# Time in which a leader that is there replies to a claim, including the controllers' disk syncs.
CLAIM_REPLY_US = 100_000
# Mean Retry-After of a claim without a reply: an election is over by then.
ELECTION_US = ELECTION_TIMEOUT_US + ELECTION_JITTER_US


@dataclass(slots=True)
class ClaimKey(Call):
    """Request a claim from the leader. The result is its `ClaimResult`, or None without a reply in time."""

    claim: Claim
    until_us: int  # deadline of the call


@dataclass(slots=True)
class FetchOutcome(Call):
    """Query the outcome of an attempt from its proxy. The result is the `Outcome`.

    The result is RUNNING only if the attempt is still running at `until_us`, and UNKNOWN if the proxy does
    not reply. It is None if the call was not sent because too many are pending.
    """

    attempt: str
    owner: str  # RPC address of the attempt's proxy
    until_us: int  # deadline of the call


class KeyedRequest:
    """One request with an operation key, from its first claim to its response."""

    __slots__ = ("_attempts", "_clock", "_latency", "_random", "_request", "_start_attempts")

    def __init__(
        self,
        request: RoutedRequest,
        clock: Clock,
        random: Random,
        attempts: OperationAttempts,
        latency: LatencyEstimate,
        start_attempts: Callable[[], RequestAttempts],
    ) -> None:
        """Create the request without sending a claim.

        Args:
            request: The client's request.
            clock: The host's clock.
            random: The router's random number generator.
            attempts: This proxy's attempts at keyed operations.
            latency: Latency estimate of the request's route.
            start_attempts: Creates the attempts at servers once the claim is granted.
        """
        self._request = request
        self._clock = clock
        self._random = random
        self._attempts = attempts
        self._latency = latency
        self._start_attempts = start_attempts

    def run(self) -> Generator[Any, Any, None]:
        """Yield calls, attempts and timers until the request is answered, or abandoned before it runs."""
        replaced = ""
        for _ in range(MAX_CLAIM_ROUNDS):
            attempt = self._attempts.begin(self._clock.now_us)
            try:
                holder = yield ClaimKey(self._claim(attempt, replaced), self._claim_until_us())
                if holder is not None and holder.attempt == attempt and self._may_run():
                    yield from self._run(attempt)
                    return
                self._record_outcome(attempt, NOT_RUN)
            finally:
                # This has an effect only if the generator was closed or failed before it recorded an outcome.
                self._record_outcome(attempt, UNKNOWN)
            if not self._is_held_by_another(holder, attempt):
                break
            outcome = yield FetchOutcome(holder.attempt, holder.owner, response_deadline_us(self._request))
            if outcome is None:
                break
            if outcome.state is not OutcomeState.NOT_RUN:
                yield self._response_to_repeat(outcome)
                return
            replaced = holder.attempt
        yield self._unavailable_response()

    # ---- claiming

    def _claim(self, attempt: str, replaced: str) -> Claim:
        request = self._request
        tenant = tenant_in_claim(request.customer)
        return Claim(tenant, request.operation_key, attempt, self._attempts.address, replaced)

    def _claim_until_us(self) -> int:
        """Return the deadline of the claim in us: as long as a run still fits into the caller's time.

        If it doesn't fit from the start, the claim waits only for a leader that replies at once.
        """
        now_us = self._clock.now_us
        until_us = max(last_start_us(self._request, self._latency, now_us), now_us + CLAIM_REPLY_US)
        return min(until_us, response_deadline_us(self._request))

    def _may_run(self) -> bool:
        """Return whether the client is still connected and a response can still reach it in time."""
        return not self._request.is_abandoned and self._clock.now_us < response_deadline_us(self._request)

    def _is_held_by_another(self, holder: ClaimResult | None, attempt: str) -> bool:
        """Return whether another attempt holds the key and the client is still there for its outcome."""
        if holder is None or self._request.is_abandoned:
            return False
        return holder.attempt not in ("", attempt)

    # ---- running

    def _run(self, attempt: str) -> Generator[Any, Any, None]:
        """Send the request to servers and record the outcome."""
        request_attempts = self._start_attempts()
        yield from request_attempts.run()
        self._record_outcome(attempt, self._outcome_of(request_attempts))

    def _outcome_of(self, request_attempts: RequestAttempts) -> Outcome:
        if self._request.response is not None:
            return self._request.response
        return UNKNOWN if request_attempts.may_have_run else NOT_RUN

    def _record_outcome(self, attempt: str, outcome: Outcome) -> None:
        self._attempts.finish(self._clock.now_us, attempt, outcome)

    # ---- local responses

    def _response_to_repeat(self, outcome: Outcome) -> Respond | ReplayResponse:
        """Return the response for the outcome of the attempt that holds the key, which may have run."""
        if outcome.state is OutcomeState.ANSWERED:
            return ReplayResponse(RejectReason.FAILED, outcome=outcome)
        if outcome.state is OutcomeState.RUNNING:
            return Respond(RejectReason.RETRY_LATER, 0, HTTPStatus.CONFLICT)
        return Respond(RejectReason.FAILED, 0, HTTPStatus.BAD_GATEWAY)

    def _unavailable_response(self) -> Respond:
        """Return the response to a request that was not sent to a server and never will be."""
        delay_us = spread_retry_after_us(self._random, ELECTION_US)
        return Respond(RejectReason.RETRY_LATER, delay_us, HTTPStatus.SERVICE_UNAVAILABLE)
