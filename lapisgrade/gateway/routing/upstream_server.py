"""One server as one proxy sees it: its load, its speed and its health, and what a request takes there. Pure.

What attempts tell is learned by `policy.observed_server`; here, what servers and neighbours report.
"""

import math

from lapisgrade.gateway import SECOND, registry
from lapisgrade.gateway.registry import ServerState
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.observed_server import ObservedServer

REMOVED_STATES = (ServerState.GONE, ServerState.LOST)
UNREPORTED_LOAD_WEIGHT = 0.5  # of a reported load beyond the neighbours' that is likely still there
UNREPORTED_REQUESTS = 0.05  # requests that proxies other than neighbours have at a server of the subset
LOAD_REPORT_DECAY_US = 400_000  # a reported load counts 1/e after it, a few requests' work
DEFAULT_LOAD_OF_OTHERS = 0.5  # requests that others are taken to have at a server without a recent report
MAX_QUEUED = 3  # requests beyond the slots that one proxy would let wait at a server
UNHEALTHY_REPORT_WEIGHT = 1.5  # good answers of our own that outweigh one neighbour's report of bad health
PRIOR_WEIGHT = 2.0  # answers; weight of the assumption that a server is as healthy and as fast as the others
MIN_HEALTH = 0.02  # guards the expected latency against a division by zero
UNHEALTHY_FAILURES = 0.8  # recent failures from which a server is reported to neighbours as unhealthy
UNHEALTHY_FAILURE_RATIO = 0.5  # of the good answers that the failures must exceed, too
WARM_UP_SPEED = 0.5  # of its speed that a server has while it warms up (slow start)
EJECTION_US = SECOND  # for which a server that fails is ejected
EJECTION_FAILURES = 2  # recent failures that a server may have without any good answer
EJECTION_FAILURE_RATIO = 3  # times the good answers that it may have beside them
REJECTED_EXTRA_LOAD = 4  # requests beyond the slots that a server without room is taken to have
MAX_LATENCY_RATIO = 10.0  # times the usual latency that one slow answer counts as, at most


class UpstreamServer(ObservedServer):
    """One incarnation of one server."""

    __slots__ = ()

    def __init__(self, registration: registry.Server, now_us: int) -> None:
        super().__init__(registration.id)
        self.registration = registration
        self.warm_up_ends_us = now_us + registration.warm_up_us
        self.reported_load = 0.0  # requests there beside ours, by its own last report
        self.reported_us = 0  # when that came; 0: never
        self.ejected_until_us = 0

    def is_removed(self) -> bool:
        """Whether it takes no requests any more and will not come back."""
        return self.registration.state in REMOVED_STATES

    def has_capacity(self) -> bool:
        """Whether this proxy may send it one more request."""
        return len(self.in_flight) < self.registration.slots + MAX_QUEUED

    def load_of_others(self, now_us: int, neighbours_in_flight: int | None) -> float:
        """Requests of other proxies that are likely there; the neighbours' are None where unknown."""
        fade = math.exp((self.reported_us - now_us) / LOAD_REPORT_DECAY_US) if self.reported_us else 0.0
        if neighbours_in_flight is None:
            return self.reported_load * fade + DEFAULT_LOAD_OF_OTHERS * (1 - fade)
        unreported = max(0.0, self.reported_load - neighbours_in_flight)
        return neighbours_in_flight + UNREPORTED_LOAD_WEIGHT * unreported * fade + UNREPORTED_REQUESTS

    def on_load_report(self, now_us: int, running: int, waiting: int) -> None:
        """Take in the load that an answer reports, without ours and the request that was answered."""
        self.reported_load = max(0.0, running + waiting - len(self.in_flight) - 1.0)
        self.reported_us = now_us

    def on_rejection(self, now_us: int) -> None:
        """It had no room for a request."""
        self.reported_load = float(self.registration.slots + REJECTED_EXTRA_LOAD)
        self.reported_us = now_us

    def confidence(self, now_us: int, unhealthy_reports: int) -> float:
        """What so many neighbours' reports leave of its health: more, the better it answered us of late."""
        own = PRIOR_WEIGHT + self.successes.read(now_us)
        return own / (own + UNHEALTHY_REPORT_WEIGHT * unhealthy_reports)

    def expected_latency_us(
        self,
        now_us: int,
        usual_us: float,
        mean_us: float,
        neighbours_in_flight: int | None,
        unhealthy_reports: int = 0,
    ) -> float:
        """What a request that takes `usual_us` elsewhere takes here, behind others of `mean_us` each."""
        slots = max(1, self.registration.slots)
        ahead = self.load(now_us, mean_us) + self.load_of_others(now_us, neighbours_in_flight)
        slowness = (self.latency_ratio.read(now_us) + PRIOR_WEIGHT) / (
            self.latency_samples.read(now_us) + PRIOR_WEIGHT
        )
        warm_up = 1 / WARM_UP_SPEED if now_us < self.warm_up_ends_us else 1.0
        queued = max(0.0, ahead + 1 - slots) / slots
        health = self.health(now_us, usual_us) * self.confidence(now_us, unhealthy_reports)
        return slowness * warm_up * (usual_us + queued * mean_us) / max(MIN_HEALTH, health)

    def on_good_answer(self, now_us: int, latency_ratio: float) -> None:
        """It answered; `latency_ratio`: in how many times the usual latency."""
        self.latency_ratio.add(now_us, min(latency_ratio, MAX_LATENCY_RATIO))
        self.latency_samples.add(now_us, 1)
        self.successes.add(now_us, 1)

    def on_failure(self, now_us: int, blame: float) -> None:
        """It failed a request; one that fails most is ejected (outlier ejection)."""
        self.failures.add(now_us, blame)
        allowed = EJECTION_FAILURES + EJECTION_FAILURE_RATIO * self.successes.read(now_us)
        if self.failures.read(now_us) > allowed:
            self.ejected_until_us = now_us + EJECTION_US

    def is_unhealthy(self, now_us: int) -> bool:
        """Whether it is reported to neighbours as unhealthy: not where its failures are long past."""
        failures = self.failures.read(now_us)
        if failures <= UNHEALTHY_FAILURES:
            return False
        return failures > UNHEALTHY_FAILURE_RATIO * self.successes.read(now_us)


class UpstreamAttempt(Attempt):
    """One attempt of a routed request."""

    __slots__ = ()

    operation: RoutedRequest
    server: UpstreamServer
