"""Applies what the leading controller replies to a watch request: versions, servers and live proxies."""

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

MAX_INTRODUCED = 2  # proxies of a newer membership that the partial view learns of: partitions meet by it


class ControlUpdates:
    """Where this proxy stands in what the controllers say."""

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
        self._context = context
        self._clock = clock
        self._router = router
        self._quota_owner = quota_owner
        self._partial_view = partial_view
        self._reachability = reachability
        self._load_reporter = load_reporter
        self.versions = versions
        self.servers = servers
        self.registry_incarnation = ""  # of the registry that the servers are known from
        self.registry_revision = 0  # of that registry, up to which they are known
        self.wants_known_servers = False  # a new leader asks for the servers that this proxy knows
        self.ownership_ends_us = 0  # until when counts may be owned under the present membership

    def apply(self, reply: rpc_messages.WatchReply, sent_us: int) -> None:
        """Apply the leader's reply to a watch request that was sent then.

        Servers and members are taken in even where a version can't be read.

        Raises:
            InvalidInputError: A version can't be read.
            msgspec.MsgspecError: A version is no JSON of that form.
        """
        now_us = self._context.now_us
        self._clock.now_us = max(self._clock.now_us, now_us())
        unreadable = self._apply_versions(reply)
        if reply.servers or reply.is_full_update:
            self.servers.apply(reply)
        self.registry_incarnation = reply.registry_incarnation
        self.registry_revision = reply.registry_revision
        self.wants_known_servers = reply.wants_known_servers
        members = self._quota_owner.on_watch_reply(now_us(), reply)
        if members is not None:
            self._apply_live_proxies(members)
        if unreadable is None and self._context.settings.hostname in self._quota_owner.proxies:
            # The leader does not wait for one that is no member before it orders a version active.
            tables = self._router.tables
            tables.confirmed_us = max(tables.confirmed_us, sent_us)
        if reply.fencing_token == self._quota_owner.fencing_token:
            self.ownership_ends_us = sent_us + OWNERSHIP_LEASE_US
            self._router.set_proxy_count(len(self._quota_owner.proxies))
        if unreadable is not None:
            raise unreadable

    def _apply_versions(
        self, reply: rpc_messages.WatchReply
    ) -> InvalidInputError | msgspec.MsgspecError | None:
        """Take in versions of the configuration; returns why one can't be read."""
        try:
            self.versions.apply(reply)
        except (InvalidInputError, msgspec.MsgspecError) as error:
            return error
        return None

    def _apply_live_proxies(self, members: rpc_messages.ProxiesByName) -> None:
        """Take in a newer membership."""
        self._router.subsets.update_members(members)
        addresses = [member[0] for member in members.values()]
        count = min(MAX_INTRODUCED, len(addresses))
        self._partial_view.add_addresses(self._context.random.sample(addresses, count))
        self._load_reporter.on_change()
        self._reachability.terminated &= set(members)
