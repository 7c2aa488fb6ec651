"""Asks the leading controller for updates, on and on: through another proxy where no controller answers."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.control_updates import ControlUpdates
from lapisgrade.gateway.proxy.peer_reachability import PeerReachability
from lapisgrade.gateway.proxy.watch_target import WatchTarget
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address
from lapisgrade.gateway.watch_timing import LONG_POLL_US

log = logging.getLogger("proxy")

REPLY_TIMEOUT_S = LONG_POLL_US / SECOND + 0.35  # that a watch request may take
RETRY_DELAY_S = 0.05  # before the next controller is asked

ApplyUpdate = Callable[[rpc_messages.WatchReply, int], None]


class WatchClient:
    """`run` watches until it is cancelled; `relay` passes on another proxy's request."""

    def __init__(
        self,
        context: ProxyContext,
        own_address: str,
        rpc: RpcEndpoint,
        target: WatchTarget,
        quota_owner: QuotaOwner,
        updates: ControlUpdates,
        reachability: PeerReachability,
        apply_update: ApplyUpdate,
        is_ending: Callable[[], bool],
    ) -> None:
        """Create a client that applies each reply of a leader by `apply_update(reply, sent_us)`.

        Args:
            context: The proxy's.
            own_address: Where other proxies and the controllers reach this proxy.
            rpc: What carries the requests.
            target: Which controller or proxy is asked next.
            quota_owner: Whose membership each request names.
            updates: What is known already.
            reachability: Learns who has replied.
            apply_update: Takes in the leader's reply to a request that was sent then, in us.
            is_ending: Whether this process shuts down; the controllers then give its quotas to others.
        """
        self._context = context
        self._own_address = own_address
        self._rpc = rpc
        self._target = target
        self._quota_owner = quota_owner
        self._updates = updates
        self._reachability = reachability
        self._apply_update = apply_update
        self._is_ending = is_ending

    async def run(self) -> None:
        """Send one watch request after another."""
        target, metrics, now_us = self._target, self._context.metrics, self._context.now_us
        while True:
            to, sent_us = parse_address(target.next(now_us())), now_us()
            reply = await self._send_request(to)
            metrics.watch_requests += 1
            if not target.on_reply(now_us(), reply) or reply is None:
                metrics.watch_requests_unanswered += 1
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            try:
                self._apply_update(reply, sent_us)
            except (InvalidInputError, msgspec.MsgspecError) as wrong:
                log.error("a configuration that can't be read: %s", wrong)
                self._updates.versions.has_lost_base = True
                await asyncio.sleep(RETRY_DELAY_S)

    async def relay(self, request: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        """Pass on the request of a proxy that reaches no controller, where the leader is known."""
        leader = self._target.leader
        silent_us = self._context.now_us() - self._target.leader_replied_us
        if not leader or silent_us > REPLY_TIMEOUT_S * SECOND:
            return rpc_messages.WatchReply(False)
        self._context.metrics.watch_requests_relayed += 1
        reply = await self._rpc.call(parse_address(leader), request, REPLY_TIMEOUT_S)
        return reply.value_or(None) or rpc_messages.WatchReply(False)

    async def _send_request(self, to: tuple[str, int]) -> rpc_messages.WatchReply | None:
        """Send one request; None where it brings no reply."""
        result = await self._rpc.call(to, self._request(), REPLY_TIMEOUT_S)
        reply = result.value_or(None)
        if not isinstance(reply, rpc_messages.WatchReply):
            return None
        self._reachability.on_reply(to, reply.is_leader)
        return reply

    def _request(self) -> rpc_messages.WatchRequest:
        """What this proxy knows, and what it wants to know beyond it."""
        settings, updates = self._context.settings, self._updates
        # The leader replies at once to one that names no membership: where a request was not answered.
        fencing_token = self._quota_owner.fencing_token if not self._target.failures else 0
        return rpc_messages.WatchRequest(
            proxy=settings.hostname,
            address=self._own_address,
            incarnation=self._context.incarnation,
            zone=settings.az,
            active_version=updates.versions.active_version,
            registry_incarnation=updates.registry_incarnation,
            registry_revision=updates.registry_revision,
            fencing_token=fencing_token,
            known_servers=list(updates.servers.by_id.values()) if updates.wants_known_servers else [],
            unreachable_proxies=sorted(self._reachability.terminated),
            staged_version=updates.versions.staged_version,
            has_local_controller=settings.quorum,
            needs_full_version=updates.versions.has_lost_base,
            is_terminating=self._is_ending(),
        )
