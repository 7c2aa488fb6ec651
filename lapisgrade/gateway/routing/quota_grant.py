"""One request's unit of its tenant's quota, while the request waits. Does no I/O.

The owner of a count assumes that a granted unit arrives at a server within `MAX_GRANT_DELAY_S`. A request
that waits for a server therefore puts its unit back at once and takes another one when its turn comes. A unit
that became stale in another way, while an operation key was claimed, counts as spent; another one is taken.
"""

from collections.abc import Callable, Generator
from http import HTTPStatus
from typing import Any

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.quota.client import MAX_GRANT_DELAY_S, QuotaClient
from lapisgrade.gateway.routing.request import Respond, RoutedRequest
from lapisgrade.interface import Clock, RejectReason

MIN_RETRY_AFTER_US = 1_000  # minimum Retry-After of a request that exceeds its tenant's quota
MAX_GRANT_DELAY_US = int(MAX_GRANT_DELAY_S * SECOND)


class QuotaGrant:
    """The unit of a request whose tenant has a limit."""

    __slots__ = ("_clock", "_granted_us", "_quota_client", "_request")

    def __init__(self, clock: Clock, request: RoutedRequest, quota_client: Callable[[], QuotaClient]) -> None:
        """Create the grant of a request that has no unit yet.

        Args:
            clock: The host's clock.
            request: The request.
            quota_client: Returns the current quota client of the request's tenant.
        """
        self._clock = clock
        self._request = request
        self._quota_client = quota_client
        self._granted_us: int | None = None  # None: the request has no unit

    def is_fresh(self) -> bool:
        """Return whether the request has a unit that may still be sent to a server."""
        return self._granted_us is not None and self._clock.now_us - self._granted_us <= MAX_GRANT_DELAY_US

    def take(self) -> Generator[Any, Any, Respond | None]:
        """Take a unit; return the response if the quota is exhausted, otherwise None.

        The request may have been abandoned meanwhile.
        """
        self._granted_us = None
        quota_client = self._quota_client()
        quota_client.last_used_us = self._clock.now_us
        wait_us = yield from quota_client.admit(self._request)
        now_us = self._clock.now_us
        if wait_us is None:
            self._granted_us = now_us
            return None
        minimum_us = max(MIN_RETRY_AFTER_US, int(wait_us))
        retry_after_us = quota_client.retry_after_us(now_us, minimum_us, self._request.deadline_us)
        return Respond(RejectReason.RETRY_LATER, retry_after_us, HTTPStatus.TOO_MANY_REQUESTS)

    def put_back(self) -> None:
        """Give the unit back, unless it is stale: the request waits for a server without one."""
        if self.is_fresh():
            self._quota_client().put_back(self._clock.now_us, self._request.units)
        self._granted_us = None
