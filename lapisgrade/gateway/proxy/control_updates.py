"""Applies the leader's replies to watch requests: versions, servers and live proxies."""

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.membership.partial_view import PartialView
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.load_reporter import LoadReporter
from lapisgrade.gateway.proxy.peer_reachability import PeerReachability
from lapisgrade.gateway.proxy.server_list import ServerList
from lapisgrade.gateway.proxy.version_rollout import VersionRollout
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US
from lapisgrade.gateway.routing.router import Router
from lapisgrade.interface import Clock

# Number of proxies of a newer membership that are added to the partial view, so that partitions reconnect.
MAX_INTRODUCED_PROXIES = 2


class ControlUpdates:
    """The controllers' updates that this proxy has applied.

    Attributes:
        versions: The active and staged versions of the configuration.
        servers: This proxy's copy of the server registry.
        registry_incarnation: Incarnation of the registry that the servers come from.
        registry_revision: Revision of that registry up to which the servers are known.
        requests_known_servers: Whether the leader is new and requests the servers that this proxy knows.
        ownership_ends_us: Time until which this proxy may own counts under the present membership.
    """

    def __init__(
        self,
        context: ProxyContext,
        clock: Clock,
        router: Router,
        quota_owner: QuotaOwner,
        partial_view: PartialView,
        versions: VersionRollout,
        servers: ServerList,
        reachability: PeerReachability,
        load_reporter: LoadReporter,
    ) -> None:
        """Create the state of a proxy that has not applied any update."""
        self._context = context
        self._clock = clock
        self._router = router
        self._quota_owner = quota_owner
        self._partial_view = partial_view
        self._reachability = reachability
        self._load_reporter = load_reporter
        self.versions = versions
        self.servers = servers
        self.registry_incarnation = ""
        self.registry_revision = 0
        self.requests_known_servers = False
        self.ownership_ends_us = 0

    def apply(self, reply: rpc_messages.WatchReply, sent_us: int) -> None:
        """Apply the leader's reply to a watch request that was sent at `sent_us`.

        Servers and members are updated even if a version is invalid.

        Raises:
            InvalidInputError: A version is invalid.
            msgspec.MsgspecError: A version is not valid JSON or does not have the expected structure.
        """
        now_us = self._context.now_us
        self._clock.now_us = max(self._clock.now_us, now_us())
        version_error = self._apply_versions(reply)
        if reply.servers or reply.is_full_update:
            self.servers.apply(reply)
        self.registry_incarnation = reply.registry_incarnation
        self.registry_revision = reply.registry_revision
        self.requests_known_servers = reply.requests_known_servers
        members = self._quota_owner.on_watch_reply(now_us(), reply)
        if members is not None:
            self._apply_live_proxies(members)
        has_all_versions = version_error is None and not reply.lacks_versions
        if has_all_versions and self._context.settings.hostname in self._quota_owner.proxies:
            # Only a reply to a member confirms that no version was missed: the leader does not wait for other
            # proxies before it activates a version.
            tables = self._router.route_versions
            tables.confirmed_us = max(tables.confirmed_us, sent_us)
        if reply.fencing_token == self._quota_owner.fencing_token:
            self.ownership_ends_us = sent_us + OWNERSHIP_LEASE_US
            self._router.set_proxy_count(len(self._quota_owner.proxies))
        if version_error is not None:
            raise version_error

    def _apply_versions(
        self, reply: rpc_messages.WatchReply
    ) -> InvalidInputError | msgspec.MsgspecError | None:
        """Apply versions of the configuration; return the error if one of them is invalid."""
        try:
            self.versions.apply(reply)
        except (InvalidInputError, msgspec.MsgspecError) as error:
            return error
        return None

    def _apply_live_proxies(self, members: rpc_messages.ProxiesByName) -> None:
        """Apply a newer list of live proxies."""
        self._router.subsets.update_members(members)
        addresses = [member[0] for member in members.values()]
        count = min(MAX_INTRODUCED_PROXIES, len(addresses))
        self._partial_view.add_addresses(self._context.random.sample(addresses, count))
        self._load_reporter.on_change()
        self._reachability.terminated_proxies &= set(members)
