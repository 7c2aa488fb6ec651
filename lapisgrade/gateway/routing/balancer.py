"""Load balancing among the servers of one service. Does no I/O.

The candidates are the servers of this proxy's subset and a few randomly chosen others (Mitzenmacher, "The
Power of Two Choices", 2001). The balancer chooses the candidate with the lowest expected latency, which
depends on the server's speed and on its load. The load is estimated from this proxy's requests in flight, the
requests in flight that its neighbours report (`subsets`), and the load in the server's last response, which
decays over time as requests finish.
"""

import math
from collections.abc import Collection
from functools import partial
from random import Random

from lapisgrade.gateway import registry
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.registry import ServerState
from lapisgrade.gateway.routing.service_latency import ServiceLatency
from lapisgrade.gateway.routing.upstream_server import REMOVED_STATES, UpstreamAttempt, UpstreamServer
from lapisgrade.gateway.routing.wait_queue import QueuedRequest, WaitQueue
from lapisgrade.interface import AttemptOutcome, AttemptResult
from lapisgrade.policy.latency import LatencyEstimate

OTHER_CANDIDATES = 2  # random candidates from the rest of the zone, and as many from other zones
MAX_SUBSET_CANDIDATES = 12  # maximum number of candidates from this proxy's subset
# Penalties, as fractions of the usual latency. The proxies of another subset do not receive this proxy's load
# reports; traffic to another zone costs money.
OTHER_SUBSET_PENALTY = 0.05
OTHER_ZONE_PENALTY = 0.12
JITTER = 0.02  # maximum random increase of the expected latency; spreads load over equal servers
INITIAL_LATENCY_US = 100_000.0  # assumed latency of a service before its first response
RUNS_AGE_US = 10_000  # how long a count of the runs in progress is used
MAX_ROUTES = 2048  # number of routes with a latency estimate beyond which all estimates are dropped


class UpstreamCluster:
    """The servers of one service.

    Attributes:
        overall_latency: Latency of successful attempts over all routes.
        servers: Servers by id.
        queue: Requests that wait for one of the servers.
    """

    def __init__(self, random: Random, zone: str, subsets: Subsets) -> None:
        """Create a cluster without servers.

        Args:
            random: The router's random number generator.
            zone: Zone of this proxy.
            subsets: This proxy's subset and the load reports of its neighbours.
        """
        self._random = random
        self._zone = zone
        self._subsets = subsets
        self.overall_latency = ServiceLatency(INITIAL_LATENCY_US)
        self.servers: dict[str, UpstreamServer] = {}
        self.queue = WaitQueue()
        self._runs = 0
        self._runs_counted_us = -RUNS_AGE_US
        self._latencies: dict[str, ServiceLatency] = {}  # by route
        # Revision of the subsets that the groups below were computed from; -1 if they are outdated.
        self._grouped_at_revision = -1
        self._subset_ids: set[str] = set()  # ids of the servers in `_own_subset`
        self._own_subset: list[UpstreamServer] = []
        self._rest_of_zone: list[UpstreamServer] = []  # servers of this zone outside the subset
        self._other_zones: list[UpstreamServer] = []

    # ---- the servers

    def update(self, now_us: int, registration: registry.Server) -> None:
        """Add, update or remove a server; a removed one stays while attempts are in flight there."""
        self._grouped_at_revision = -1
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

    def _group_servers(self) -> None:
        """Group the servers in state UP: this proxy's subset, the rest of the zone, and other zones."""
        if self._grouped_at_revision == self._subsets.revision:
            return
        self._grouped_at_revision = self._subsets.revision
        up_servers = [
            server for server in self.servers.values() if server.registration.state == ServerState.UP
        ]
        own_zone = [server for server in up_servers if server.registration.zone == self._zone]
        self._subset_ids = self._subsets.assigned_servers([server.address for server in own_zone])
        self._own_subset = [server for server in own_zone if server.address in self._subset_ids]
        self._rest_of_zone = [server for server in own_zone if server.address not in self._subset_ids]
        self._other_zones = [server for server in up_servers if server.registration.zone != self._zone]

    # ---- the choice

    def choose(
        self, now_us: int, usual_us: float, tried: list[UpstreamServer], max_latency_us: float = math.inf
    ) -> UpstreamServer | None:
        """Choose the server for a request.

        Args:
            now_us: The current time.
            usual_us: Mean latency of the request's route.
            tried: Servers of the request's earlier attempts, which are not chosen again.
            max_latency_us: Maximum expected latency, including the penalty for another subset or zone.

        Returns:
            The server, or None if no untried server has capacity or all exceed the maximum expected latency.
        """
        self._group_servers()
        candidates = self._candidates(now_us, tried)
        if not candidates:
            return None
        is_load_known, mean_us = self._subsets.is_load_known(now_us), self.overall_latency.mean(now_us)
        cost = partial(self._cost, now_us, usual_us, mean_us, is_load_known)
        best = min(candidates, key=cost)
        return best if max_latency_us == math.inf or cost(best) <= max_latency_us else None

    def _candidates(self, now_us: int, tried: list[UpstreamServer]) -> list[UpstreamServer]:
        """Return the candidates for one choice: servers with capacity, not ejected and not tried before.

        They are sampled from this proxy's subset, the rest of the zone, and other zones. If none of the
        sampled servers fits, all servers outside the subset that fit are candidates.
        """
        fits = partial(_fits, now_us, tried)
        candidates = [server for server in self._own_subset if fits(server)]
        if len(candidates) > MAX_SUBSET_CANDIDATES:
            candidates = self._random.sample(candidates, MAX_SUBSET_CANDIDATES)
        for others in (self._rest_of_zone, self._other_zones):
            candidates += filter(fits, self._random.sample(others, min(OTHER_CANDIDATES, len(others))))
        return candidates or [server for server in self._rest_of_zone + self._other_zones if fits(server)]

    def _cost(
        self, now_us: int, usual_us: float, mean_us: float, is_load_known: bool, server: UpstreamServer
    ) -> float:
        """Return the expected latency of a request at a server, including jitter and placement penalty."""
        in_subset = server.address in self._subset_ids
        neighbours = self._subsets.in_flight(now_us, server.address) if is_load_known and in_subset else None
        reports = self._subsets.unhealthy_reports(now_us, server.address) if in_subset else 0
        latency_us = server.expected_latency_us(now_us, usual_us, mean_us, neighbours, reports)
        latency_us *= 1 + JITTER * self._random.random()
        return latency_us + self._placement_penalty(server, in_subset) * usual_us

    def _placement_penalty(self, server: UpstreamServer, in_subset: bool) -> float:
        """Return the penalty for a server outside this proxy's subset, as a fraction of the usual latency."""
        if in_subset:
            return 0.0
        return OTHER_ZONE_PENALTY if server.registration.zone != self._zone else OTHER_SUBSET_PENALTY

    # ---- waiting requests

    def has_untried_server(self, tried: list[UpstreamServer]) -> bool:
        """Return whether a server in state UP, free or not, had no attempt yet."""
        return not tried or any(
            server.registration.state == ServerState.UP and server not in tried
            for server in self.servers.values()
        )

    def has_free_server(self, now_us: int) -> bool:
        """Return whether a server in state UP has capacity and is not ejected."""
        return any(
            server.registration.state == ServerState.UP and _fits(now_us, (), server)
            for server in self.servers.values()
        )

    def expected_wait_us(self, now_us: int, entry: QueuedRequest) -> float:
        """Return how long a request is expected to wait for a server, in us; 0 if nothing is in flight.

        By Little's law, a run ends every mean latency / runs in progress.
        """
        runs = self._runs_in_progress(now_us)
        if not runs:
            return 0.0
        return (self.queue.turns_before(entry) + 1) * self.overall_latency.mean(now_us) / runs

    def expected_backlog_us(self, now_us: int) -> float:
        """Return after which time the attempts in flight and the requests that wait now are done, in us."""
        waiting_per_run = len(self.queue) / max(1, self._runs_in_progress(now_us))
        return self.overall_latency.mean(now_us) * (1 + waiting_per_run)

    def _runs_in_progress(self, now_us: int) -> int:
        """Return the number of this proxy's attempts in flight with a slot, `RUNS_AGE_US` ago or later."""
        if now_us - self._runs_counted_us >= RUNS_AGE_US:
            self._runs_counted_us = now_us
            self._runs = sum(
                min(len(server.in_flight), max(1, server.registration.slots))
                for server in self.servers.values()
            )
        return self._runs

    # ---- attempts

    def latency(self, now_us: int, route: str) -> LatencyEstimate:
        """Return the latency estimate of a route; a new one starts from the service's latency."""
        latency = self._latencies.get(route)
        if latency is None:
            if len(self._latencies) > MAX_ROUTES:  # bounds memory when routes change
                self._latencies.clear()
            latency = self._latencies[route] = ServiceLatency(self.overall_latency.mean(now_us))
        return latency

    def on_attempt_started(self, now_us: int, attempt: UpstreamAttempt) -> None:
        """Record an attempt as in flight at its server."""
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
        """Update the server's load and health from the result of an attempt.

        Args:
            now_us: The current time.
            attempt: The attempt.
            result: Its result.
            latency: Latency estimate of the request's route.
            blame: Weight of a failure against the server, from 0 to 1.
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
            # The server has responded, or no attempt is left that it could respond to.
            server.unresponsive_since_us = now_us if server.in_flight else 0
        if outcome is AttemptOutcome.OVERLOADED:
            server.on_rejection(now_us, self.overall_latency.mean(now_us))
        elif outcome is AttemptOutcome.OK:
            self._on_success(now_us, server, latency, result.duration_us)
        elif outcome not in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            # A failure is no latency sample: even with a response, it does not show how long requests take.
            server.on_failure(now_us, blame)
        if server.is_removed() and not server.in_flight:
            self.servers.pop(server.address, None)

    def _on_success(
        self, now_us: int, server: UpstreamServer, latency: LatencyEstimate, latency_us: int
    ) -> None:
        """Record a successful attempt in the latency estimates and at its server.

        Compared with a guess, the first attempts of a route would tell nothing of their servers' speed.
        """
        usual_us = latency.mean(now_us) if latency.is_known(now_us) else latency_us
        latency.add(now_us, latency_us, 1.0)
        self.overall_latency.add(now_us, latency_us, 1.0)
        server.on_success(now_us, latency_us / usual_us)

    # ---- reports to neighbours

    def unhealthy_servers(self, now_us: int) -> list[str]:
        """Return the ids of the servers that this proxy considers unhealthy."""
        return [server.address for server in self.servers.values() if server.is_unhealthy(now_us)]

    def in_flight(self) -> dict[str, int]:
        """Return this proxy's requests in flight by server id, without servers that have none."""
        return {server.address: len(server.in_flight) for server in self.servers.values() if server.in_flight}


def _fits(now_us: int, tried: Collection[UpstreamServer], server: UpstreamServer) -> bool:
    """Return whether a server has capacity, is not ejected and has not been tried."""
    return server.has_capacity(now_us) and now_us >= server.ejected_until_us and server not in tried
