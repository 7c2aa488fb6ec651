"""The leader's state of live proxies and servers, and the updates that a proxy lacks. Pure.

A watch request states which configuration version, registry revision and list of live proxies the proxy has;
the reply contains whatever is newer. The leader tracks live proxies by their requests, and proposes three
commands:

* `Activate`: activates a version (rules in `version_activation`).
* `LiveProxies`: replaces the list of live proxies, which determines the owners of quota counts. The index of
  its log entry is the owners' fencing token. A new leader continues with the last list, so no count changes
  its owner because of an election.
* `ServerSnapshot`: stores the live servers, from which a new leader initializes its registry.

The registry is complete once every server has had time to send a heartbeat to this leader. Its incarnation is
the leader's term, with the suffix `+` once it is complete. A proxy with another incarnation is sent the
complete registry.
"""

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion
from lapisgrade.gateway.controller.commands import Activate, LiveProxies, ServerSnapshot
from lapisgrade.gateway.controller.configuration_feed import MAX_REPLY_BYTES, ConfigurationFeed
from lapisgrade.gateway.controller.proxy_list_feed import PROXY_LIST_INTERVAL_US, ProxyListFeed
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.controller.version_activation import ProxyStatus, VersionActivation
from lapisgrade.gateway.quota.ownership import eligible_owners
from lapisgrade.gateway.registry import Registry, Server, ServerState

# Time without a watch request after which a proxy is removed and its quota counts get new owners. Above
# OWNERSHIP_LEASE_US, so that the proxy no longer acts as an owner.
PROXY_TIMEOUT_US = 2_000_000
SERVER_SNAPSHOT_INTERVAL_US = 1_000_000  # minimum interval between server snapshots
MAX_PROXIES = 4096  # bounds memory against a flood of proxy names; beyond it only known ones are recorded

_LIVE_STATES = (ServerState.UP, ServerState.DRAIN)


class _Outdated(msgspec.Struct, frozen=True):
    """The parts of a proxy's state that are outdated.

    Attributes:
        needs_full_registry: The proxy has another registry, so all of this one has to be sent.
        has_registry_changes: The proxy lacks at least one change of the registry.
        configuration: The proxy lacks the active or the newest version, or requests it in full.
        proxy_list: The proxy's list of live proxies is not the newest.
        is_proxy_list_unknown: It is neither the newest list nor the previous one.
    """

    needs_full_registry: bool
    has_registry_changes: bool
    configuration: bool
    proxy_list: bool
    is_proxy_list_unknown: bool

    def has_any(self) -> bool:
        """Return whether there is anything to send."""
        return self.has_registry_changes or self.configuration or self.proxy_list


class Watch:
    """The leader's state of proxies and servers; `become_leader` resets it."""

    def __init__(self, heartbeat_us: int, now_us: int) -> None:
        """`heartbeat_us` is the interval between a server's heartbeats."""
        self.heartbeat_us = heartbeat_us
        self.term = 0
        self.registry = Registry(heartbeat_us, now_us)
        self.is_registry_complete = False
        self.proxies: dict[str, ProxyStatus] = {}
        self.departed_servers: dict[str, bool] = {}  # by server id: False if draining, True if gone
        self.configuration_feed = ConfigurationFeed()
        self.proxy_lists = ProxyListFeed()
        self._activation = VersionActivation()
        self._proxy_list_proposed_us = 0
        self._snapshot_proposed_us = 0
        self._snapshot_addresses: dict[str, str] = {}  # by server id, in the last proposed snapshot

    @property
    def registry_incarnation(self) -> str:
        """The identifier of the registry that proxies compare."""
        return f"{self.term}+" if self.is_registry_complete else str(self.term)

    def become_leader(self, now_us: int, term: int, state: State) -> None:
        """Reset to the replicated state at the start of a term."""
        self.term = term
        self.is_registry_complete = False
        self._proxy_list_proposed_us = now_us
        self.registry = Registry(self.heartbeat_us, now_us)
        # Proxies of the last list may still act as owners, whenever they were last seen by the old leader.
        self.proxies = {
            name: ProxyStatus(
                *member,
                last_seen_us=now_us,
                has_local_controller=name in state.proxies_with_controller,
                is_terminating=name in state.terminating_proxies,
            )
            for name, member in state.live_proxies.items()
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
        """Update the registry from the replicated map of draining (False) and gone (True) servers."""
        for server_id, is_gone in departed.items():
            server = self.registry.servers.get(server_id)
            state = ServerState.GONE if is_gone else ServerState.DRAIN
            if server is not None and server.state not in (ServerState.GONE, state):
                self.registry.mark_left(now_us, server_id, is_gone)
        self.departed_servers = departed

    def on_heartbeat(self, now_us: int, server: Server) -> bool:
        """Record a server's heartbeat; return whether proxies need an update."""
        revision = self.registry.revision
        if server.id in self.departed_servers:
            server.state = ServerState.GONE if self.departed_servers[server.id] else ServerState.DRAIN
        self.registry.on_heartbeat(now_us, server)
        return self.registry.revision != revision

    def advance(self, now_us: int) -> bool:
        """Remove proxies without recent requests and expire servers without recent heartbeats.

        Returns:
            Whether proxies need an update.
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
        """Remove a proxy whose machine refused a connection to `address`.

        Its process has ended, so it no longer acts as an owner of quota counts.
        """
        if name in self.proxies and self.proxies[name].address == address:
            del self.proxies[name]

    def observe_staged_versions(self, now_us: int, state: State) -> list[int]:
        """Record when versions were staged; see `VersionActivation.observe`."""
        return self._activation.observe(now_us, state)

    def last_staged_us(self) -> int | None:
        """Return when the newest staged version was staged; None if no version is staged."""
        return self._activation.last_staged_us()

    # ---- commands to propose

    def activation(self, now_us: int, state: State) -> Activate | None:
        """Return the activation that is due, if any."""
        return self._activation.due(now_us, state, self.proxies.values())

    def live_proxies(self, now_us: int, state: State) -> LiveProxies | None:
        """Return the list of live proxies if it differs from the committed one and is due."""
        members = {
            name: (proxy.address, proxy.incarnation, proxy.zone) for name, proxy in self.proxies.items()
        }
        with_controller = sorted(name for name, proxy in self.proxies.items() if proxy.has_local_controller)
        terminating = sorted(name for name, proxy in self.proxies.items() if proxy.is_terminating)
        if (members, with_controller, terminating) == (
            state.live_proxies,
            state.proxies_with_controller,
            state.terminating_proxies,
        ):
            return None
        if now_us - self._proxy_list_proposed_us < PROXY_LIST_INTERVAL_US:
            return None
        self._proxy_list_proposed_us = now_us
        return LiveProxies(members, with_controller, terminating)

    def server_snapshot(self, now_us: int) -> ServerSnapshot | None:
        """Return a server snapshot if one is due, and servers or their addresses differ from the last one."""
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
        """Record a proxy's request and return the updates that it lacks; None if there are none.

        Args:
            now_us: The monotonic time.
            request: The request, which states what the proxy has.
            state: The replicated state.
            controllers: Addresses that accept watch requests, for the reply.
        """
        self._observe(now_us, request)
        outdated = self._outdated(request, state)
        if not outdated.has_any():
            return None
        self._remember_proxy_list(now_us, state)
        return self._reply(now_us, request, state, controllers, outdated)

    def unchanged_reply(
        self, request: rpc_messages.WatchRequest, state: State, controllers: list[str]
    ) -> rpc_messages.WatchReply:
        """Return a reply without updates."""
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
        """Record the proxy, and the servers that it knows from an earlier leader."""
        has_room = request.proxy in self.proxies or len(self.proxies) < MAX_PROXIES
        if request.proxy and has_room:
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
        """Compare what the proxy has with the current state."""
        # A proxy that has the incomplete registry of this term is sent the complete one in full, because it
        # can't tell which of its servers sent no heartbeat to this leader. A proxy that has the complete
        # registry keeps it.
        needs_full_registry = request.registry_incarnation != self.registry_incarnation and (
            self.is_registry_complete or request.registry_incarnation != f"{self.term}+"
        )
        lacks_active = state.active_version > request.active_version
        lacks_newest = state.version > _newest_version(request)
        known_tokens = (state.fencing_token, state.previous_fencing_token)
        return _Outdated(
            needs_full_registry=needs_full_registry,
            has_registry_changes=needs_full_registry or self.registry.revision > request.registry_revision,
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
        """Return a reply with the updates of the outdated parts."""
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
            is_full_update=outdated.needs_full_registry,
            servers=self._servers(now_us, request, outdated),
            requests_known_servers=request.registry_incarnation not in (str(self.term), f"{self.term}+"),
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
            lacks_versions=max([_newest_version(request), state.active_version, *staged]) < state.version,
        )

    def _missing_versions(
        self, request: rpc_messages.WatchRequest, state: State
    ) -> tuple[EncodedVersion | None, dict[int, EncodedVersion]]:
        """Return the active and staged versions that the proxy lacks, as many as one reply holds."""
        base = 0 if request.needs_full_version else _newest_version(request)
        if state.active_version <= base:
            return None, self.configuration_feed.chain(state.staged_versions, base)
        active = self.configuration_feed.version(state.active_version, state.active_configuration, base)
        remaining_bytes = MAX_REPLY_BYTES - len(active.data)
        staged = self.configuration_feed.chain(state.staged_versions, state.active_version, remaining_bytes)
        return active, staged

    def _servers(self, now_us: int, request: rpc_messages.WatchRequest, outdated: _Outdated) -> list[Server]:
        """Return the servers that are new or changed for the proxy."""
        if not outdated.has_registry_changes:
            return []
        return self.registry.changes_since(
            now_us, 0 if outdated.needs_full_registry else request.registry_revision
        )

    def _remember_proxy_list(self, now_us: int, state: State) -> None:
        """Store the current list, from which deltas and earlier owners are computed."""
        if not self.proxy_lists.contains(state.fencing_token):
            owners = eligible_owners(
                state.live_proxies, state.proxies_with_controller, state.terminating_proxies
            )
            self.proxy_lists.add(now_us, state.fencing_token, state.live_proxies, owners)


def without_known_servers(request: rpc_messages.WatchRequest) -> rpc_messages.WatchRequest:
    """Return the request without its known servers, which were recorded already."""
    return msgspec.structs.replace(request, known_servers=[]) if request.known_servers else request


def _newest_version(request: rpc_messages.WatchRequest) -> int:
    """Return the newest version that the proxy has, active or staged."""
    return max(request.staged_version, request.active_version)
