"""The servers of one service, as one proxy sees them, and which of them a request goes to. Pure.

All servers of this proxy's subset are candidates, and some others by chance (Mitzenmacher, "The Power of Two
Choices", 2001); the one is taken where the request is likely done first: its work at that server's speed,
behind what is known to be there. What is known is what this proxy has in flight there, what its neighbours
report that they have (`subsets`), and the load that the server's last answer reported, which fades as work
ends.
"""

import math
from random import Random

from lapisgrade.decide.fleet import Attempt, LatencyEstimate
from lapisgrade.decide.fleet import Server as ObservedServer
from lapisgrade.gateway import SECOND, registry
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.interface import AttemptOutcome, AttemptResult

OTHER_CANDIDATES = 2  # servers of the zone's other subsets, and of other zones, that each choice looks at
MAX_SUBSET_CANDIDATES = 12  # servers of the own subset that each choice looks at
UNREPORTED_LOAD_WEIGHT = 0.5  # of a reported load beyond the neighbours' that is likely still there
UNREPORTED_REQUESTS = 0.05  # requests that proxies other than neighbours have at a server of the subset
OTHER_SUBSET_PENALTY = 0.05  # of the usual latency, for a server of another subset, which does not see us
OTHER_ZONE_PENALTY = 0.12  # of the usual latency, for a server of another zone: traffic there is priced
JITTER = 0.02  # of the expected latency, by chance, so that equals are not all sent to one
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
FIRST_LATENCY_US = 100_000.0  # what a request is taken to last before any was seen
FIRST_LATENCY_RATIO = 0.3  # of its route's target time, the same for one route
MAX_LATENCY_RATIO = 10.0  # times the usual latency that one slow answer counts as, at most
MAX_ROUTES = 2048  # routes whose latency is remembered


class UpstreamServer(ObservedServer):
    """One incarnation of one server."""

    __slots__ = ()

    def __init__(self, registration: registry.Server, now_us: int) -> None:
        super().__init__(registration.id)
        self.registration = registration
        self.warm_up_ends_us = now_us + registration.warm_us
        self.reported_load = 0.0  # requests there beside ours, by its own last report
        self.reported_us = 0  # when that came; 0: never
        self.ejected_until_us = 0

    def is_removed(self) -> bool:
        """Whether it takes no requests any more and will not come back."""
        return self.registration.state in ("gone", "lost")

    def has_room(self) -> bool:
        """Whether this proxy may send it one more request."""
        return len(self.out) < self.registration.slots + MAX_QUEUED

    def load_of_others(self, now_us: int, neighbours_in_flight: int | None) -> float:
        """Requests of other proxies that are likely there; the neighbours' are None where unknown."""
        fade = math.exp((self.reported_us - now_us) / LOAD_REPORT_DECAY_US) if self.reported_us else 0.0
        if neighbours_in_flight is None:
            return self.reported_load * fade + DEFAULT_LOAD_OF_OTHERS * (1 - fade)
        unreported = max(0.0, self.reported_load - neighbours_in_flight)
        return neighbours_in_flight + UNREPORTED_LOAD_WEIGHT * unreported * fade + UNREPORTED_REQUESTS

    def on_load_report(self, now_us: int, running: int, waiting: int) -> None:
        """Take in the load that an answer reports, without ours and the request that was answered."""
        self.reported_load = max(0.0, running + waiting - len(self.out) - 1.0)
        self.reported_us = now_us

    def on_rejection(self, now_us: int) -> None:
        """It had no room for a request."""
        self.reported_load = float(self.registration.slots + REJECTED_EXTRA_LOAD)
        self.reported_us = now_us

    def confidence(self, now_us: int, unhealthy_reports: int) -> float:
        """What so many neighbours' reports leave of its health: more, the better it answered us of late."""
        own = PRIOR_WEIGHT + self.good.read(now_us)
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
        slowness = (self.stretch.read(now_us) + PRIOR_WEIGHT) / (self.hops.read(now_us) + PRIOR_WEIGHT)
        warm_up = 1 / WARM_UP_SPEED if now_us < self.warm_up_ends_us else 1.0
        queued = max(0.0, ahead + 1 - slots) / slots
        health = self.health(now_us, usual_us) * self.confidence(now_us, unhealthy_reports)
        return slowness * warm_up * (usual_us + queued * mean_us) / max(MIN_HEALTH, health)

    def on_good_answer(self, now_us: int, latency_ratio: float) -> None:
        """It answered; `latency_ratio`: in how many times the usual latency."""
        self.stretch.add(now_us, min(latency_ratio, MAX_LATENCY_RATIO))
        self.hops.add(now_us, 1)
        self.good.add(now_us, 1)

    def on_failure(self, now_us: int, blame: float) -> None:
        """It failed a request; one that fails most is ejected (outlier ejection)."""
        self.ill.add(now_us, blame)
        allowed = EJECTION_FAILURES + EJECTION_FAILURE_RATIO * self.good.read(now_us)
        if self.ill.read(now_us) > allowed:
            self.ejected_until_us = now_us + EJECTION_US

    def is_unhealthy(self, now_us: int) -> bool:
        """Whether neighbours are told that it answers badly: not where that is long past."""
        failures = self.ill.read(now_us)
        if failures <= UNHEALTHY_FAILURES:
            return False
        return failures > UNHEALTHY_FAILURE_RATIO * self.good.read(now_us)


class UpstreamAttempt(Attempt):
    """One attempt of a routed request."""

    __slots__ = ()

    operation: RoutedRequest
    server: UpstreamServer


class UpstreamCluster:
    """One service's servers."""

    def __init__(self, random: Random, zone: str, subsets: Subsets) -> None:
        self._random = random
        self._zone = zone
        self._subsets = subsets
        self.overall_latency = LatencyEstimate(FIRST_LATENCY_US)  # of all routes together
        self.servers: dict[str, UpstreamServer] = {}
        self._latencies: dict[str, LatencyEstimate] = {}  # by route
        self._sorted_at = -1  # the subsets' change count when the following were made; -1: they are outdated
        self._subset_ids: set[str] = set()
        self._own_subset: list[UpstreamServer] = []
        self._own_zone: list[UpstreamServer] = []  # but for the own subset
        self._other_zones: list[UpstreamServer] = []

    # ---- the servers

    def update(self, now_us: int, registration: registry.Server) -> None:
        """Take in a server that came, went or changed."""
        self._sorted_at = -1
        known = self.servers.get(registration.id)
        if registration.state in ("gone", "lost") or not registration.address:
            if known is not None:
                known.registration = registration
                if not known.out:
                    del self.servers[registration.id]
        elif known is None:
            self.servers[registration.id] = UpstreamServer(registration, now_us)
        else:
            known.registration = registration
            known.warm_up_ends_us = now_us + registration.warm_us

    def _sort(self) -> None:
        """Sort the servers that take requests: the own subset's, the zone's others, and other zones'."""
        if self._sorted_at == self._subsets.changes:
            return
        self._sorted_at = self._subsets.changes
        up = [server for server in self.servers.values() if server.registration.state == "up"]
        own_zone = [server for server in up if server.registration.zone == self._zone]
        self._subset_ids = self._subsets.share([server.address for server in own_zone])
        self._own_subset = [server for server in own_zone if server.address in self._subset_ids]
        self._own_zone = [server for server in own_zone if server.address not in self._subset_ids]
        self._other_zones = [server for server in up if server.registration.zone != self._zone]

    # ---- the choice

    def choose(
        self, now_us: int, usual_us: float, tried: list[UpstreamServer], within_us: float = math.inf
    ) -> UpstreamServer | None:
        """Choose the server for a request.

        Returns:
            None where all are taken up, or none is likely done `within_us`.
        """
        self._sort()
        candidates = self._candidates(now_us, tried)
        if not candidates:
            return None
        is_known, mean_us = self._subsets.known(now_us), self.overall_latency.mean(now_us)

        def cost(server: UpstreamServer) -> float:
            return self._cost(now_us, usual_us, mean_us, server, is_known)

        best = min(candidates, key=cost)
        return best if within_us == math.inf or cost(best) <= within_us else None

    def _candidates(self, now_us: int, tried: list[UpstreamServer]) -> list[UpstreamServer]:
        def fits(server: UpstreamServer) -> bool:
            return server.has_room() and now_us >= server.ejected_until_us and server not in tried

        candidates = [server for server in self._own_subset if fits(server)]
        if len(candidates) > MAX_SUBSET_CANDIDATES:
            candidates = self._random.sample(candidates, MAX_SUBSET_CANDIDATES)
        for others in (self._own_zone, self._other_zones):
            candidates += filter(fits, self._random.sample(others, min(OTHER_CANDIDATES, len(others))))
        return candidates or [server for server in self._own_zone + self._other_zones if fits(server)]

    def _cost(
        self, now_us: int, usual_us: float, mean_us: float, server: UpstreamServer, is_known: bool
    ) -> float:
        """The expected latency of a request at a server, with the penalties for where it is."""
        in_subset = server.address in self._subset_ids
        neighbours = self._subsets.out(now_us, server.address) if is_known and in_subset else None
        reports = self._subsets.doubts(now_us, server.address) if in_subset else 0
        latency_us = server.expected_latency_us(now_us, usual_us, mean_us, neighbours, reports)
        latency_us *= 1 + JITTER * self._random.random()
        return latency_us + self._placement_penalty(server, in_subset) * usual_us

    def _placement_penalty(self, server: UpstreamServer, in_subset: bool) -> float:
        """The part of the usual latency that a server must be better by, by where it is."""
        if in_subset:
            return 0.0
        return OTHER_ZONE_PENALTY if server.registration.zone != self._zone else OTHER_SUBSET_PENALTY

    # ---- attempts

    def latency(self, route: str, target_us: int) -> LatencyEstimate:
        """The latency of a route's requests of late."""
        latency = self._latencies.get(route)
        if latency is None:
            if len(self._latencies) > MAX_ROUTES:  # guards memory; routes come and go
                self._latencies.clear()
            latency = self._latencies[route] = LatencyEstimate(FIRST_LATENCY_RATIO * target_us)
        return latency

    def on_attempt_started(self, now_us: int, attempt: UpstreamAttempt) -> None:
        """A request is sent to a server."""
        server = attempt.server
        server.out[attempt] = None
        server.last_sent = now_us
        server.silent_from = server.silent_from or now_us

    def on_attempt_finished(
        self,
        now_us: int,
        attempt: UpstreamAttempt,
        result: AttemptResult,
        latency: LatencyEstimate,
        blame: float = 1.0,
    ) -> None:
        """Learn from how an attempt ended.

        Args:
            now_us: The present time.
            attempt: The attempt.
            result: How it ended.
            latency: Its route's.
            blame: The server's part in a failure, from 0 to 1.
        """
        server, outcome = attempt.server, result.outcome
        attempt.out = False
        server.out.pop(attempt, None)
        if result.server_load is not None:
            server.on_load_report(
                now_us, int(result.server_load["running"]), int(result.server_load["waiting"])
            )
        if (
            outcome in (AttemptOutcome.OK, AttemptOutcome.OVERLOADED, AttemptOutcome.INVALID_REQUEST)
            or not server.out
        ):
            server.silent_from = now_us if server.out else 0
        if outcome is AttemptOutcome.OVERLOADED:
            server.on_rejection(now_us)
        elif outcome is AttemptOutcome.OK:
            self._on_good_answer(now_us, server, latency, result.duration_us)
        elif outcome not in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            # A server's own failure is an answer, but no sound one; it says little of how long work takes.
            server.on_failure(now_us, blame)
        if server.is_removed() and not server.out:
            self.servers.pop(server.address, None)

    def _on_good_answer(
        self, now_us: int, server: UpstreamServer, latency: LatencyEstimate, took_us: int
    ) -> None:
        usual_us = latency.mean(now_us)
        latency.add(now_us, took_us, 1.0)
        self.overall_latency.add(now_us, took_us, 1.0)
        server.on_good_answer(now_us, took_us / usual_us)

    # ---- what neighbours are told

    def unhealthy_servers(self, now_us: int) -> list[str]:
        """Ids of the servers that answer this proxy badly."""
        return [server.address for server in self.servers.values() if server.is_unhealthy(now_us)]

    def in_flight(self) -> dict[str, int]:
        """How many requests this proxy has in flight at each server that has any, by the server's id."""
        return {server.address: len(server.out) for server in self.servers.values() if server.out}
