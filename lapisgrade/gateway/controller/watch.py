"""What the leader knows of live proxies and servers, and what is new for a proxy. Pure.

A proxy's watch request names the version, the registry's revision and the list of live proxies that it has;
the reply has what is newer. The leader remembers each proxy by its requests, and proposes three commands:

* `Activate`: a version comes into force (rules in `version_activation`).
* `LiveProxies`: the list of live proxies has changed. By it the owners of counts are chosen. Its index in the
  log is the fencing token under which an owner acts, so a new leader goes on with the last leader's list,
  and no count changes its owner for an election.
* `ServerSnapshot`: the live servers, from which a new leader starts its registry.

A registry is complete once all servers had time to send this leader a heartbeat. Its id is the leader's term,
with a `+` once it is complete; a proxy that has another registry is sent a complete one.
"""

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion
from lapisgrade.gateway.controller.commands import Activate, LiveProxies, ServerSnapshot
from lapisgrade.gateway.controller.configuration_feed import ConfigurationFeed
from lapisgrade.gateway.controller.proxy_list_feed import ProxyListFeed
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.controller.version_activation import ProxyStatus, VersionActivation
from lapisgrade.gateway.quota.ownership import eligible_owners
from lapisgrade.gateway.registry import Registry, Server, ServerState

PROXY_TIMEOUT_US = 2_000_000  # without a request, until its counts go to others; above OWNERSHIP_LEASE_US
PROXY_LIST_INTERVAL_US = 150_000  # between two lists, at least: proxies that start together share a list
SERVER_SNAPSHOT_INTERVAL_US = 1_000_000  # between two server snapshots, at least
MAX_PROXIES = 4096  # guards memory against a flood of names

_LIVE_STATES = (ServerState.UP, ServerState.DRAIN)


class _Outdated(msgspec.Struct, frozen=True):
    """What of a proxy's knowledge is not the newest."""

    is_other_registry: bool  # all of it has to be sent
    has_registry_changes: bool
    configuration: bool
    proxy_list: bool
    is_proxy_list_unknown: bool  # neither the newest list nor the one before it

    def is_anything(self) -> bool:
        """Return whether there is something to send."""
        return self.has_registry_changes or self.configuration or self.proxy_list


class Watch:
    """The leader's knowledge; begun anew by `become_leader`."""

    def __init__(self, heartbeat_us: int, now_us: int) -> None:
        """`heartbeat_us` is the interval of the servers' heartbeats."""
        self.heartbeat_us = heartbeat_us
        self.term = 0
        self.registry = Registry(heartbeat_us, now_us)
        self.is_registry_complete = False
        self.proxies: dict[str, ProxyStatus] = {}
        self.departed_servers: dict[str, bool] = {}  # by the log; True for those that are gone
        self.configuration_feed = ConfigurationFeed()
        self.proxy_lists = ProxyListFeed()
        self._activation = VersionActivation()
        self._proxy_list_proposed_us = 0
        self._snapshot_proposed_us = 0
        self._snapshot_addresses: dict[str, str] = {}  # of the servers in the last snapshot

    @property
    def registry_incarnation(self) -> str:
        """Identifies the registry at the proxies."""
        return f"{self.term}+" if self.is_registry_complete else str(self.term)

    def become_leader(self, now_us: int, term: int, state: State) -> None:
        """Begin anew from what the log says."""
        self.term = term
        self.is_registry_complete = False
        self._proxy_list_proposed_us = now_us
        self.registry = Registry(self.heartbeat_us, now_us)
        # The proxies of the last list may still act, whenever their last request was.
        self.proxies = {
            name: ProxyStatus(
                *each,
                last_seen_us=now_us,
                has_local_controller=name in state.proxies_with_controller,
                is_terminating=name in state.terminating_proxies,
            )
            for name, each in state.live_proxies.items()
        }
        for server in state.server_snapshot:
            self.registry.restore(now_us, [msgspec.structs.replace(server, revision=0)])
        self._snapshot_proposed_us = now_us
        self._snapshot_addresses = {server.id: server.address for server in state.server_snapshot}
        self._activation.become_leader(now_us, state)
        self.update_departed_servers(now_us, state.departed_servers)
        self.proxy_lists = ProxyListFeed()
        self._remember_proxy_list(now_us, state)

    # ---- events

    def update_departed_servers(self, now_us: int, departed: dict[str, bool]) -> None:
        """Take in which servers drain (False) or are gone (True), by the log."""
        for server_id, gone in departed.items():
            server = self.registry.servers.get(server_id)
            state = ServerState.GONE if gone else ServerState.DRAIN
            if server is not None and server.state not in (ServerState.GONE, state):
                self.registry.mark_left(now_us, server_id, gone)
        self.departed_servers = departed

    def on_heartbeat(self, now_us: int, server: Server) -> bool:
        """Take a server's heartbeat in; return whether it changes what proxies know."""
        revision = self.registry.revision
        if server.id in self.departed_servers:
            server.state = ServerState.GONE if self.departed_servers[server.id] else ServerState.DRAIN
        self.registry.on_heartbeat(now_us, server)
        return self.registry.revision != revision

    def advance(self, now_us: int) -> bool:
        """Remove proxies without recent requests and expire servers without recent heartbeats.

        Returns:
            Whether that changes what proxies know.
        """
        revision, was_complete = self.registry.revision, self.is_registry_complete
        self.registry.expire(now_us)
        self.proxies = {
            name: proxy
            for name, proxy in self.proxies.items()
            if now_us - proxy.last_seen_us < PROXY_TIMEOUT_US
        }
        self.is_registry_complete = self.registry.is_complete(now_us)
        return (revision, was_complete) != (self.registry.revision, self.is_registry_complete)

    def on_proxy_unreachable(self, name: str, address: str) -> None:
        """Drop a proxy whose machine refused a connection there: its process is gone, and acts no more."""
        if name in self.proxies and self.proxies[name].address == address:
            del self.proxies[name]

    # ---- commands to propose

    def activation(self, now_us: int, state: State) -> Activate | None:
        """Return the activation that is due, if any."""
        return self._activation.due(now_us, state, self.proxies.values())

    def live_proxies(self, now_us: int, state: State) -> LiveProxies | None:
        """Return the list of live proxies, where it differs from the one in the log and is due."""
        members = {
            name: (proxy.address, proxy.incarnation, proxy.zone) for name, proxy in self.proxies.items()
        }
        core = sorted(name for name, proxy in self.proxies.items() if proxy.has_local_controller)
        leaving = sorted(name for name, proxy in self.proxies.items() if proxy.is_terminating)
        if (members, core, leaving) == (
            state.live_proxies,
            state.proxies_with_controller,
            state.terminating_proxies,
        ):
            return None
        if now_us - self._proxy_list_proposed_us < PROXY_LIST_INTERVAL_US:
            return None
        self._proxy_list_proposed_us = now_us
        return LiveProxies(members, core, leaving)

    def server_snapshot(self, now_us: int) -> ServerSnapshot | None:
        """Return the live servers, where they differ from the last snapshot and one is due."""
        if now_us - self._snapshot_proposed_us < SERVER_SNAPSHOT_INTERVAL_US:
            return None
        live = [server for server in self.registry.servers.values() if server.state in _LIVE_STATES]
        addresses = {server.id: server.address for server in live}
        if addresses == self._snapshot_addresses:
            return None
        self._snapshot_proposed_us = now_us
        self._snapshot_addresses = addresses
        return ServerSnapshot([msgspec.structs.replace(server, warm_up_us=0) for server in live])

    # ---- watch requests

    def reply_if_changed(
        self, now_us: int, request: rpc_messages.WatchRequest, state: State, controllers: list[str]
    ) -> rpc_messages.WatchReply | None:
        """Take a proxy's request in; return what is new for it, None if nothing is.

        Args:
            now_us: The steady clock.
            request: What the proxy has.
            state: The state machine's.
            controllers: Addresses that take watch requests, for the reply.
        """
        self._observe(now_us, request)
        outdated = self._outdated(request, state)
        if not outdated.is_anything():
            return None
        self._remember_proxy_list(now_us, state)
        return self._reply(now_us, request, state, controllers, outdated)

    def unchanged_reply(
        self, request: rpc_messages.WatchRequest, state: State, controllers: list[str]
    ) -> rpc_messages.WatchReply:
        """Return that what the proxy has is the newest."""
        return rpc_messages.WatchReply(
            is_leader=True,
            controllers=controllers,
            active_version=request.active_version,
            registry_incarnation=request.registry_incarnation,
            registry_revision=request.registry_revision,
            is_registry_complete=self.is_registry_complete,
            fencing_token=state.fencing_token,
        )

    def _observe(self, now_us: int, request: rpc_messages.WatchRequest) -> None:
        """Remember the proxy, and the servers that it knew from an earlier leader."""
        if request.proxy and len(self.proxies) < MAX_PROXIES:
            self.proxies[request.proxy] = ProxyStatus(
                request.address,
                request.incarnation,
                request.zone,
                last_seen_us=now_us,
                staged_version=_newest_version(request),
                active_version=request.active_version,
                has_local_controller=request.has_local_controller,
                is_terminating=request.is_terminating,
            )
        if request.known_servers:
            self.registry.restore(now_us, request.known_servers)

    def _outdated(self, request: rpc_messages.WatchRequest, state: State) -> _Outdated:
        # A proxy with this term's incomplete registry is sent all of the complete one: it can't know which
        # of its servers were never heard of again. One with the complete registry keeps it.
        is_other_registry = request.registry_incarnation != self.registry_incarnation and (
            self.is_registry_complete or request.registry_incarnation != f"{self.term}+"
        )
        lacks_active = state.active_version > request.active_version
        lacks_newest = state.version > _newest_version(request)
        known_tokens = (state.fencing_token, state.previous_fencing_token)
        return _Outdated(
            is_other_registry=is_other_registry,
            has_registry_changes=is_other_registry or self.registry.revision > request.registry_revision,
            configuration=request.needs_full_version or lacks_active or lacks_newest,
            proxy_list=request.fencing_token != state.fencing_token,
            is_proxy_list_unknown=request.fencing_token not in known_tokens,
        )

    def _reply(
        self,
        now_us: int,
        request: rpc_messages.WatchRequest,
        state: State,
        controllers: list[str],
        outdated: _Outdated,
    ) -> rpc_messages.WatchReply:
        is_new_list, is_unknown_list = outdated.proxy_list, outdated.is_proxy_list_unknown
        list_delta = (
            self.proxy_lists.delta(request.fencing_token, state.fencing_token) if is_new_list else None
        )
        active, staged = self._missing_versions(request, state)
        return rpc_messages.WatchReply(
            is_leader=True,
            controllers=controllers,
            active_version=state.active_version,
            active_configuration=active,
            staged_versions=staged,
            merged_versions=state.merged_versions,
            registry_incarnation=self.registry_incarnation,
            registry_revision=self.registry.revision,
            is_registry_complete=self.is_registry_complete,
            is_full_update=outdated.is_other_registry,
            servers=self._servers(now_us, request, outdated),
            wants_known_servers=request.registry_incarnation not in (str(self.term), f"{self.term}+"),
            fencing_token=state.fencing_token,
            previous_fencing_token=state.previous_fencing_token,
            live_proxies=state.live_proxies if is_new_list and list_delta is None else None,
            live_proxies_delta=list_delta,
            proxies_with_controller=state.proxies_with_controller if is_new_list else [],
            terminating_proxies=state.terminating_proxies if is_new_list else [],
            previous_owners=state.previous_owners if is_unknown_list else [],
            earlier_owners=self.proxy_lists.earlier_owners(now_us, state.previous_fencing_token)
            if is_unknown_list
            else [],
        )

    def _missing_versions(
        self, request: rpc_messages.WatchRequest, state: State
    ) -> tuple[EncodedVersion | None, dict[int, EncodedVersion]]:
        """Return the active version and the staged ones, as far as the proxy lacks them."""
        base = 0 if request.needs_full_version else _newest_version(request)
        active = None
        if state.active_version > base:
            active = self.configuration_feed.version(state.active_version, state.active_configuration, base)
            base = state.active_version
        return active, self.configuration_feed.chain(state.staged_versions, base)

    def _servers(self, now_us: int, request: rpc_messages.WatchRequest, outdated: _Outdated) -> list[Server]:
        """Return the servers that the proxy lacks, or whose state it lacks."""
        if not outdated.has_registry_changes:
            return []
        return self.registry.changes_since(
            now_us, 0 if outdated.is_other_registry else request.registry_revision
        )

    def _remember_proxy_list(self, now_us: int, state: State) -> None:
        """Keep the list in force, for deltas and for the owners by it."""
        if not self.proxy_lists.knows(state.fencing_token):
            owners = eligible_owners(
                state.live_proxies, state.proxies_with_controller, state.terminating_proxies
            )
            self.proxy_lists.remember(now_us, state.fencing_token, state.live_proxies, owners)


def without_known_servers(request: rpc_messages.WatchRequest) -> rpc_messages.WatchRequest:
    """Return the request, whose known servers were taken in, for its next look."""
    return msgspec.structs.replace(request, known_servers=[]) if request.known_servers else request


def _newest_version(request: rpc_messages.WatchRequest) -> int:
    """Return the newest version that the proxy has, active or staged."""
    return max(request.staged_version, request.active_version)
