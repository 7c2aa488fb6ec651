"""What the time that a caller has left allows. Does no I/O; times are in microseconds."""

import math
from random import Random

from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.policy.latency import LatencyEstimate

# Time from the proxy's deadline for a request to the client's, for the response to arrive. Requests that wait
# are sent at least this long before the proxy's deadline, too.
RESPONSE_MARGIN_US = 12_000


def response_deadline_us(request: RoutedRequest) -> int:
    """Return the time from which on a server's response would no longer reach the client in time."""
    return request.deadline_us - RESPONSE_MARGIN_US


def last_start_us(request: RoutedRequest, latency: LatencyEstimate, now_us: int) -> int:
    """Return the time until which it is worth waiting to start a run.

    A run that starts later is more likely than not cut off at the caller's deadline: its server worked in
    vain, and whether a non-idempotent request has run is then unknown. A rejection tells that it has not.

    Args:
        request: The request.
        latency: Latency estimate of its route.
        now_us: The current time.
    """
    return response_deadline_us(request) - int(latency.mean(now_us))


def spread_retry_after_us(random: Random, expected_us: float) -> int:
    """Return the Retry-After of a request that could be served after `expected_us`.

    It is randomized, so that requests that were rejected together are not retried together.
    """
    return math.ceil(expected_us * (0.5 + random.random()))
