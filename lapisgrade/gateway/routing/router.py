"""Request processing of a proxy: route matching, tenant quota, then attempts at the service's servers.

The router does no I/O: `handle` is a generator for `lapisgrade.engine`, like those of `lapisgrade.policy`.
The host starts it for each request. When an attempt finishes, the host calls `on_attempt_finished` before it
resumes the generator. The proxy's process passes the controllers' updates to the router. A failed request is
answered immediately; if it has certainly not run, the status guarantees that (429, 503) and the response has
a Retry-After.
"""

from collections.abc import Generator
from functools import partial
from http import HTTPStatus
from random import Random
from typing import Any

from lapisgrade.gateway import registry
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.operations.attempts import OperationAttempts
from lapisgrade.gateway.operations.table import RETENTION_MARGIN_US
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.keyed_request import KeyedRequest
from lapisgrade.gateway.routing.quota_grant import QuotaGrant
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.request_attempts import RequestAttempts
from lapisgrade.gateway.routing.retry_budget import RetryBudget
from lapisgrade.gateway.routing.route_table import RouteMatch, RouteTable
from lapisgrade.gateway.routing.route_versions import RouteVersions
from lapisgrade.gateway.routing.split import SplitChooser
from lapisgrade.gateway.routing.upstream_server import UpstreamAttempt
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import AttemptOutcome, AttemptResult, Clock

STALE_CONNECTION_BLAME = 0.3  # weight of a failure if the server probably dropped an idle connection
MAX_QUOTA_CLIENTS = 8192  # maximum number of quota clients; the least recently used one is evicted
# Maximum number of server ids with a known service, including departed servers; beyond it all are dropped.
MAX_SERVER_IDS = 4 * registry.MAX_SERVERS


class Router:
    """Routes all requests of one proxy."""

    def __init__(
        self,
        clock: Clock,
        seed: int,
        slo: Slo,
        zone: str,
        name: str = "",
        address: str = "",
        incarnation: str = "",
    ) -> None:
        """Create a router without servers and routes.

        Args:
            clock: The host's clock.
            seed: Seed of the random number generator.
            slo: The service level objectives.
            zone: The proxy's zone.
            name: The proxy's name.
            address: The proxy's RPC address.
            incarnation: Incarnation of the proxy's process.
        """
        self.clock = clock
        self.random = Random(seed)
        self.slo = slo
        self.zone = zone
        self.started_us = clock.now_us
        self.proxy_count = 1  # number of live proxies, which share quotas and RetryExtra
        self.subsets = Subsets(name, zone)
        self.route_versions = RouteVersions()
        self.clusters: dict[str, UpstreamCluster] = {}  # by service
        self.service_by_server: dict[str, str] = {}  # name of the service, by server id
        self.retry_budgets: dict[str, RetryBudget] = {}  # by service
        self.quota_clients: dict[str, QuotaClient] = {}  # by tenant, the least recently used first
        self.idle_connections = IdleConnections()
        self.operation_attempts = OperationAttempts(address, incarnation, slo.key_win + RETENTION_MARGIN_US)
        self.split = SplitChooser(self.random)

    # ---- updates from the controllers

    def activate(self, table: RouteTable) -> None:
        """Activate a version of the configuration and apply its tenants' quotas."""
        self.route_versions.activate(table)
        for name, quota_client in list(self.quota_clients.items()):
            tenant = table.tenants.get(name)
            if tenant is None:
                del self.quota_clients[name]
            elif tenant != quota_client.tenant:
                quota_client.set_limit(tenant)
                quota_client.set_proxy_count(self.proxy_count)

    def set_proxy_count(self, proxy_count: int) -> None:
        """Set the number of live proxies that share quotas and retry budgets."""
        if proxy_count == self.proxy_count:
            return
        self.proxy_count = proxy_count
        for retry_budget in self.retry_budgets.values():
            retry_budget.proxy_count = proxy_count
        for quota_client in self.quota_clients.values():
            quota_client.set_proxy_count(proxy_count)

    def update_servers(self, servers: list[registry.Server], is_complete: bool) -> None:
        """Add, update and remove servers.

        Args:
            servers: Registry entries; a missing service or address of a known server is filled in.
            is_complete: Whether the list holds all servers, so that those that are not in it are removed.
        """
        now_us = self.clock.now_us
        if is_complete:
            self._remove_unlisted(now_us, {server.id for server in servers})
        for server in servers:
            # The update of a departed server may lack its service and address, as a new leader may not know
            # them.
            service = server.service or self.service_by_server.get(server.id, "")
            if not service:
                continue
            self.service_by_server[server.id] = service
            server.service = service
            cluster = self.cluster(service)
            if not server.address and (known := cluster.servers.get(server.id)) is not None:
                server.address = known.registration.address
            cluster.update(now_us, server)
        if len(self.service_by_server) > MAX_SERVER_IDS:
            self.service_by_server.clear()

    def _remove_unlisted(self, now_us: int, listed_ids: set[str]) -> None:
        for cluster in self.clusters.values():
            for server in list(cluster.servers.values()):
                if server.address not in listed_ids:
                    server.registration.state = registry.ServerState.GONE
                    cluster.update(now_us, server.registration)

    # ---- state of each service and tenant

    def cluster(self, service: str) -> UpstreamCluster:
        """Return the servers of a service; the cluster is created if it is new."""
        cluster = self.clusters.get(service)
        if cluster is None:
            cluster = self.clusters[service] = UpstreamCluster(self.random, self.zone, self.subsets)
        return cluster

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; it is created if it is new."""
        retry_budget = self.retry_budgets.get(service)
        if retry_budget is None:
            retry_budget = RetryBudget(self.slo, self.started_us, self.proxy_count)
            self.retry_budgets[service] = retry_budget
        return retry_budget

    def quota_client(self, tenant: Tenant) -> QuotaClient:
        """Return the client of a tenant's quota and mark it as the most recently used.

        A new client gets the active limit: `tenant` may be of the version before, under which a request was
        matched, and `activate` has changed only the clients that existed.
        """
        quota_client = self.quota_clients.pop(tenant.name, None)
        if quota_client is None:
            active = self.route_versions.active
            tenant = active.tenants.get(tenant.name, tenant) if active is not None else tenant
            quota_client = QuotaClient(self.clock, tenant, self.slo, self.proxy_count, self.started_us)
        self.quota_clients[tenant.name] = quota_client
        if len(self.quota_clients) > MAX_QUOTA_CLIENTS:
            del self.quota_clients[next(iter(self.quota_clients))]
        return quota_client

    # ---- requests

    def match(self, now_us: int, host: str, target: str, key: str) -> RouteMatch | HTTPStatus:
        """Return the rule and tenant of a request, or the HTTP status of its rejection."""
        return self.route_versions.match(now_us, host, target, key)

    def handle(self, request: RoutedRequest) -> Generator[Any, Any, None]:
        """Serve a request, or answer 429 if its tenant's quota is exceeded; a generator for the engine."""
        self.retry_budget(request.service).on_request(self.clock.now_us)
        if request.tenant is None or request.tenant.rate_s <= 0:
            yield from self.serve(request)
            return
        grant = QuotaGrant(self.clock, request, partial(self.quota_client, request.tenant))
        refusal = yield from grant.take()
        if request.is_abandoned:
            return
        if refusal is not None:
            yield refusal
            return
        yield from self.serve(request, grant)

    def serve(self, request: RoutedRequest, grant: QuotaGrant | None = None) -> Generator[Any, Any, None]:
        """Return the generator for the engine that serves an admitted request.

        Args:
            request: The request.
            grant: Its unit of its tenant's quota; None if the tenant has no limit.
        """
        if not request.operation_key:
            return self._make_attempts(request, grant).run()
        latency = self.cluster(request.service).latency(self.clock.now_us, request.rule.name)
        keyed_request = KeyedRequest(
            request,
            self.clock,
            self.random,
            self.operation_attempts,
            latency,
            partial(self._make_attempts, request, grant),
        )
        return keyed_request.run()

    def _make_attempts(self, request: RoutedRequest, grant: QuotaGrant | None) -> RequestAttempts:
        """Create the attempts of a request at its service's servers."""
        cluster, retry_budget = self.cluster(request.service), self.retry_budget(request.service)
        return RequestAttempts(request, self.clock, self.random, cluster, retry_budget, grant)

    def on_attempt_finished(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Update the idle limit, load and health of the attempt's server.

        The host calls it before it resumes the request.
        """
        request = attempt.operation
        attempt.server.in_flight.pop(attempt, None)  # first, so that a failure below doesn't occupy its slot
        now_us, cluster = self.clock.now_us, self.cluster(request.service)
        was_broken = result.outcome is AttemptOutcome.CONNECTION_LOST
        was_stale = self.idle_connections.on_attempt_finished(
            now_us, attempt, request.service, was_broken, result.duration_us
        )
        latency = cluster.latency(self.clock.now_us, request.rule.name)
        blame = STALE_CONNECTION_BLAME if was_stale else 1.0
        cluster.on_attempt_finished(now_us, attempt, result, latency, blame)

    # ---- reports to neighbours

    def in_flight(self) -> dict[str, int]:
        """Return this proxy's requests in flight by server id, without servers that have none."""
        return {
            name: count for cluster in self.clusters.values() for name, count in cluster.in_flight().items()
        }

    def unhealthy_servers(self) -> list[str]:
        """Return the ids of the servers that this proxy considers unhealthy."""
        now_us = self.clock.now_us
        return [name for cluster in self.clusters.values() for name in cluster.unhealthy_servers(now_us)]
