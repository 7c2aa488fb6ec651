"""The servers of one service, as one proxy sees them, and which of them a request goes to. Pure.

All servers of this proxy's subset are candidates, and some others by chance (Mitzenmacher, "The Power of Two
Choices", 2001); the one is taken where the request is likely done first: its work at that server's speed,
behind what is known to be there. What is known is what this proxy has in flight there, what its neighbours
report that they have (`subsets`), and the load that the server's last answer reported, which fades as work
ends.
"""

import math
from functools import partial
from random import Random

from lapisgrade.gateway import registry
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.registry import ServerState
from lapisgrade.gateway.routing.upstream_server import REMOVED_STATES, UpstreamAttempt, UpstreamServer
from lapisgrade.interface import AttemptOutcome, AttemptResult
from lapisgrade.policy.latency import LatencyEstimate

OTHER_CANDIDATES = 2  # servers of the zone's other subsets, and of other zones, that each choice considers
MAX_SUBSET_CANDIDATES = 12  # servers of the own subset that each choice considers
OTHER_SUBSET_PENALTY = 0.05  # of the usual latency, for a server of another subset, which does not see us
OTHER_ZONE_PENALTY = 0.12  # of the usual latency, for a server of another zone: traffic there is priced
JITTER = 0.02  # of the expected latency, by chance, so that equals are not all sent to one
FIRST_LATENCY_US = 100_000.0  # what a request is taken to last before any was seen
FIRST_LATENCY_RATIO = 0.3  # of its route's target time, the same for one route
MAX_ROUTES = 2048  # routes whose latency is remembered


class UpstreamCluster:
    """One service's servers."""

    def __init__(self, random: Random, zone: str, subsets: Subsets) -> None:
        self._random = random
        self._zone = zone
        self._subsets = subsets
        self.overall_latency = LatencyEstimate(FIRST_LATENCY_US)  # of all routes together
        self.servers: dict[str, UpstreamServer] = {}
        self._latencies: dict[str, LatencyEstimate] = {}  # by route
        self._sorted_at = -1  # the subsets' revision when the following were made; -1: they are outdated
        self._subset_ids: set[str] = set()
        self._own_subset: list[UpstreamServer] = []
        self._own_zone: list[UpstreamServer] = []  # but for the own subset
        self._other_zones: list[UpstreamServer] = []

    # ---- the servers

    def update(self, now_us: int, registration: registry.Server) -> None:
        """Take in a server that came, went or changed."""
        self._sorted_at = -1
        known = self.servers.get(registration.id)
        if registration.state in REMOVED_STATES or not registration.address:
            if known is not None:
                known.registration = registration
                if not known.in_flight:
                    del self.servers[registration.id]
        elif known is None:
            self.servers[registration.id] = UpstreamServer(registration, now_us)
        else:
            known.registration = registration
            known.warm_up_ends_us = now_us + registration.warm_up_us

    def _sort(self) -> None:
        """Sort the servers that take requests: the own subset's, the zone's others, and other zones'."""
        if self._sorted_at == self._subsets.revision:
            return
        self._sorted_at = self._subsets.revision
        up = [server for server in self.servers.values() if server.registration.state == ServerState.UP]
        own_zone = [server for server in up if server.registration.zone == self._zone]
        self._subset_ids = self._subsets.assigned_servers([server.address for server in own_zone])
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
        is_known, mean_us = self._subsets.is_load_known(now_us), self.overall_latency.mean(now_us)
        cost = partial(self._cost, now_us, usual_us, mean_us, is_known)
        best = min(candidates, key=cost)
        return best if within_us == math.inf or cost(best) <= within_us else None

    def _candidates(self, now_us: int, tried: list[UpstreamServer]) -> list[UpstreamServer]:
        def fits(server: UpstreamServer) -> bool:
            return server.has_capacity() and now_us >= server.ejected_until_us and server not in tried

        candidates = [server for server in self._own_subset if fits(server)]
        if len(candidates) > MAX_SUBSET_CANDIDATES:
            candidates = self._random.sample(candidates, MAX_SUBSET_CANDIDATES)
        for others in (self._own_zone, self._other_zones):
            candidates += filter(fits, self._random.sample(others, min(OTHER_CANDIDATES, len(others))))
        return candidates or [server for server in self._own_zone + self._other_zones if fits(server)]

    def _cost(
        self, now_us: int, usual_us: float, mean_us: float, is_known: bool, server: UpstreamServer
    ) -> float:
        """The expected latency of a request at a server, with the penalties for where it is."""
        in_subset = server.address in self._subset_ids
        neighbours = self._subsets.in_flight(now_us, server.address) if is_known and in_subset else None
        reports = self._subsets.unhealthy_reports(now_us, server.address) if in_subset else 0
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
        server.in_flight[attempt] = None
        server.last_sent_us = now_us
        server.unresponsive_since_us = server.unresponsive_since_us or now_us

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
        attempt.is_in_flight = False
        server.in_flight.pop(attempt, None)
        if result.server_load is not None:
            server.on_load_report(
                now_us, int(result.server_load["running"]), int(result.server_load["waiting"])
            )
        if (
            outcome in (AttemptOutcome.OK, AttemptOutcome.OVERLOADED, AttemptOutcome.INVALID_REQUEST)
            or not server.in_flight
        ):
            server.unresponsive_since_us = now_us if server.in_flight else 0
        if outcome is AttemptOutcome.OVERLOADED:
            server.on_rejection(now_us)
        elif outcome is AttemptOutcome.OK:
            self._on_good_answer(now_us, server, latency, result.duration_us)
        elif outcome not in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            # A server's own failure is an answer, but no sound one; it says little of how long work takes.
            server.on_failure(now_us, blame)
        if server.is_removed() and not server.in_flight:
            self.servers.pop(server.address, None)

    def _on_good_answer(
        self, now_us: int, server: UpstreamServer, latency: LatencyEstimate, took_us: int
    ) -> None:
        usual_us = latency.mean(now_us)
        latency.add(now_us, took_us, 1.0)
        self.overall_latency.add(now_us, took_us, 1.0)
        server.on_good_answer(now_us, took_us / usual_us)

    # ---- reports to neighbours

    def unhealthy_servers(self, now_us: int) -> list[str]:
        """Ids of the servers that answer this proxy badly."""
        return [server.address for server in self.servers.values() if server.is_unhealthy(now_us)]

    def in_flight(self) -> dict[str, int]:
        """How many requests this proxy has in flight at each server that has any, by the server's id."""
        return {server.address: len(server.in_flight) for server in self.servers.values() if server.in_flight}
