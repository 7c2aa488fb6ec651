"""Load, speed and health of a server, and the expected latency of a request there. Does no I/O.

`policy.observed_server` tracks the results of attempts; this module adds the load that servers report and the
health that neighbours report.
"""

import math

from lapisgrade.gateway import SECOND, registry
from lapisgrade.gateway.registry import ServerState
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.observed_server import ObservedServer

REMOVED_STATES = (ServerState.GONE, ServerState.LOST)
# Weight of the part of a server's reported load that neighbours do not account for: the fraction of it that
# is probably still there.
UNREPORTED_LOAD_WEIGHT = 0.5
UNREPORTED_REQUESTS = 0.05  # expected requests at a server of the subset by proxies that are not neighbours
LOAD_REPORT_DECAY_US = 400_000  # time constant of a reported load's decay; the duration of a few requests
DEFAULT_OTHER_PROXIES_LOAD = 0.5  # assumed requests of other proxies at a server without a recent report
# Number by which this proxy's requests at a server may exceed its slots: the next one is there when a slot
# becomes free. The others wait in this proxy's queue, as a server doesn't know their order of service.
MAX_QUEUED = 1
UNHEALTHY_REPORT_WEIGHT = 1.5  # number of this proxy's successes that outweigh one neighbour's report
PRIOR_WEIGHT = 2.0  # weight, in responses, of the assumption that a server has normal health and speed
MIN_HEALTH = 0.02  # prevents a division by zero in the expected latency
# A server is reported as unhealthy if its recent failures exceed both this number and this multiple of its
# recent successes. Failures that are long past do not count.
UNHEALTHY_FAILURES = 0.8
UNHEALTHY_FAILURE_RATIO = 0.5
WARM_UP_SPEED = 0.5  # assumed speed of a server in slow start, relative to its normal speed
# A server is ejected for this time if its recent failures exceed this number plus this multiple of its recent
# successes.
EJECTION_US = SECOND
EJECTION_FAILURES = 2
EJECTION_FAILURE_RATIO = 3
REJECTED_EXTRA_LOAD = 4  # assumed requests beyond the slots of a server that rejected a request
MAX_LATENCY_RATIO = 10.0  # upper bound on one latency sample, relative to the usual latency


class UpstreamServer(ObservedServer):
    """One incarnation of one server.

    Attributes:
        address: The server's id; the network address is in the registration.
        registration: The server's entry in the registry.
        warm_up_ends_us: When its slow start ends.
        reported_load: Number of other proxies' requests by the server's last load report, or assumed after a
            rejection.
        reported_us: Time of that report or rejection; 0 if there was none.
        max_in_flight: Number of this proxy's attempts that the server takes at once: one more after as many
            responses, and those in flight when it rejects one (additive increase).
        full_until_us: When a slot may be free again after a rejection of this proxy's only attempt.
        ejected_until_us: Until then, no request is sent to the server; 0 if it was never ejected.
    """

    __slots__ = ()

    def __init__(self, registration: registry.Server, now_us: int) -> None:
        """Create the record of a server that was registered or became known now."""
        super().__init__(registration.id)
        self.registration = registration
        self.warm_up_ends_us = now_us + registration.warm_up_us
        self.reported_load = 0.0
        self.reported_us = 0
        self.max_in_flight = float(registration.slots + MAX_QUEUED)
        self.full_until_us = 0
        self.ejected_until_us = 0

    def is_removed(self) -> bool:
        """Return whether the server is gone or lost, so that this record is dropped once it has no attempt.

        A lost server that sends heartbeats again gets a new record.
        """
        return self.registration.state in REMOVED_STATES

    def has_capacity(self, now_us: int) -> bool:
        """Return whether this proxy may send the server another request."""
        return len(self.in_flight) + 1 <= self.max_in_flight and now_us >= self.full_until_us

    def other_proxies_load(self, now_us: int, neighbours_in_flight: int | None) -> float:
        """Return the expected number of other proxies' requests at the server.

        Args:
            now_us: The current time.
            neighbours_in_flight: Requests that neighbours report; None if unknown.
        """
        decay = math.exp((self.reported_us - now_us) / LOAD_REPORT_DECAY_US) if self.reported_us else 0.0
        if neighbours_in_flight is None:
            return self.reported_load * decay + DEFAULT_OTHER_PROXIES_LOAD * (1 - decay)
        unreported = max(0.0, self.reported_load - neighbours_in_flight)
        return neighbours_in_flight + UNREPORTED_LOAD_WEIGHT * unreported * decay + UNREPORTED_REQUESTS

    def on_load_report(self, now_us: int, running: int, waiting: int) -> None:
        """Record the load that a response reports, without this proxy's requests and the answered one.

        Args:
            now_us: The current time.
            running: Number of requests that the server runs.
            waiting: Number of requests that wait for a slot.
        """
        self.reported_load = max(0.0, running + waiting - len(self.in_flight) - 1.0)
        self.reported_us = now_us

    def on_rejection(self, now_us: int, mean_us: float) -> None:
        """Record that the server rejected a request for lack of capacity.

        Args:
            now_us: The current time.
            mean_us: Mean latency of the service's requests.
        """
        self.max_in_flight = float(max(1, len(self.in_flight)))
        if not self.in_flight:
            self.full_until_us = now_us + int(mean_us / max(1, self.registration.slots))
        self.reported_load = float(self.registration.slots + REJECTED_EXTRA_LOAD)
        self.reported_us = now_us

    def confidence(self, now_us: int, unhealthy_reports: int) -> float:
        """Return the factor from 0 to 1 by which neighbours' unhealthy reports reduce the server's health.

        The more of this proxy's own recent requests succeeded, the less the reports weigh.
        """
        own_weight = PRIOR_WEIGHT + self.successes.read(now_us)
        return own_weight / (own_weight + UNHEALTHY_REPORT_WEIGHT * unhealthy_reports)

    def expected_latency_us(
        self,
        now_us: int,
        usual_us: float,
        mean_us: float,
        neighbours_in_flight: int | None,
        unhealthy_reports: int = 0,
    ) -> float:
        """Return the expected latency of a request at this server.

        Args:
            now_us: The current time.
            usual_us: Mean latency of the request's route.
            mean_us: Mean latency of the requests ahead of it, which are those of all routes.
            neighbours_in_flight: Requests that neighbours report; None if unknown.
            unhealthy_reports: Number of neighbours that report the server as unhealthy.
        """
        slots = max(1, self.registration.slots)
        load_ahead = self.load(now_us, mean_us) + self.other_proxies_load(now_us, neighbours_in_flight)
        slowness = (self.latency_ratio.read(now_us) + PRIOR_WEIGHT) / (
            self.latency_samples.read(now_us) + PRIOR_WEIGHT
        )
        warm_up = 1 / WARM_UP_SPEED if now_us < self.warm_up_ends_us else 1.0
        queued = max(0.0, load_ahead + 1 - slots) / slots
        health = self.health(now_us, usual_us) * self.confidence(now_us, unhealthy_reports)
        return slowness * warm_up * (usual_us + queued * mean_us) / max(MIN_HEALTH, health)

    def on_success(self, now_us: int, latency_ratio: float) -> None:
        """Record a successful response; `latency_ratio` is its latency relative to the usual one."""
        self.latency_ratio.add(now_us, min(latency_ratio, MAX_LATENCY_RATIO))
        self.latency_samples.add(now_us, 1)
        self.successes.add(now_us, 1)
        maximum = float(self.registration.slots + MAX_QUEUED)
        self.max_in_flight = min(maximum, self.max_in_flight + 1 / self.max_in_flight)

    def on_failure(self, now_us: int, blame: float) -> None:
        """Record a failure, and eject a server whose requests mostly fail (outlier detection).

        Args:
            now_us: The current time.
            blame: Weight of the failure against the server, from 0 to 1.
        """
        self.failures.add(now_us, blame)
        allowed = EJECTION_FAILURES + EJECTION_FAILURE_RATIO * self.successes.read(now_us)
        if self.failures.read(now_us) > allowed:
            self.ejected_until_us = now_us + EJECTION_US

    def is_unhealthy(self, now_us: int) -> bool:
        """Return whether recent failures make the server unhealthy in reports to neighbours."""
        failures = self.failures.read(now_us)
        if failures <= UNHEALTHY_FAILURES:
            return False
        return failures > UNHEALTHY_FAILURE_RATIO * self.successes.read(now_us)


class UpstreamAttempt(Attempt):
    """One attempt of a routed request."""

    __slots__ = ()

    operation: RoutedRequest
    server: UpstreamServer
