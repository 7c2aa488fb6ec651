"""Copy of the controllers' server registry, which updates the router and the connection pool."""

import logging

from lapisgrade.gateway import registry, rpc_messages
from lapisgrade.gateway.proxy.metrics import ProxyMetrics
from lapisgrade.gateway.proxy.server_pool import ServerPool
from lapisgrade.gateway.registry import ServerState
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.routing.upstream_server import REMOVED_STATES
from lapisgrade.gateway.settings import parse_address
from lapisgrade.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("proxy")
_invalid_log = RateLimitedLog("proxy", log.warning)

MAX_LOGGED_ID_LENGTH = 60  # characters
SERVING_STATES = (ServerState.UP, ServerState.DRAIN)  # a draining server finishes its requests
MAX_SERVERS = 4096  # number of servers above which GONE servers are removed; LOST ones are always removed


class ServerList:
    """A proxy's copy of the registry, from which a new leader may restore its own."""

    def __init__(self, router: Router, pool: ServerPool, metrics: ProxyMetrics) -> None:
        self._router = router
        self._metrics = metrics
        self._pool = pool
        self.by_id: dict[str, registry.Server] = {}

    def apply(self, reply: rpc_messages.WatchReply) -> None:
        """Add, update and remove servers; a complete list replaces all servers."""
        is_complete = reply.is_full_update and reply.is_registry_complete
        if is_complete:
            self.by_id = {}
        servers = [server for server in reply.servers if self._has_usable_address(server)]
        for server in servers:
            known = self.by_id.get(server.id)
            if known is not None and not server.address:
                server.address, server.service = known.address, known.service
            self.by_id[server.id] = server
        self._router.update_servers(servers, is_complete)
        self._pool.update_addresses(
            {
                server.id: tuple(parse_address(server.address)) if server.state in SERVING_STATES else None
                for server in servers
                if server.address
            }
        )
        self._remove_departed()

    def _has_usable_address(self, server: registry.Server) -> bool:
        """Return whether the address is missing or valid; log and count an invalid one.

        Controllers reject such heartbeats, but those of an earlier release may have stored some.
        """
        try:
            if server.address:
                parse_address(server.address)
        except ValueError as error:
            self._metrics.invalid_servers += 1
            _invalid_log.write(f"left out server {server.id[:MAX_LOGGED_ID_LENGTH]!r}: {error}")
            return False
        return True

    def _remove_departed(self) -> None:
        for server in [known for known in self.by_id.values() if known.state in REMOVED_STATES]:
            if server.state == ServerState.LOST or len(self.by_id) > MAX_SERVERS:
                del self.by_id[server.id]
