"""Watches the leader of the controllers for updates, through another proxy if no controller replies."""

import asyncio
import logging
import traceback
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

REPLY_TIMEOUT_S = LONG_POLL_US / SECOND + 0.35  # time-out of a watch request: the leader's delay and 0.35 s
RETRY_DELAY_S = 0.05  # delay before the next controller is tried

ApplyUpdate = Callable[[rpc_messages.WatchReply, int], None]


class WatchClient:
    """Sends watch requests (`run`) and relays those of other proxies (`relay`)."""

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
        is_shutting_down: Callable[[], bool],
    ) -> None:
        """Create a client that applies each reply of the leader by `apply_update(reply, sent_us)`.

        Args:
            context: The proxy's context.
            own_address: The RPC address of this proxy.
            rpc: The endpoint for sending requests.
            target: Chooses the controller or proxy for the next request.
            quota_owner: Its membership's fencing token is sent with each request.
            updates: The updates applied so far, which each request reports.
            reachability: Records which controllers and proxies replied.
            apply_update: Applies the leader's reply to a request that was sent at `sent_us`.
            is_shutting_down: Whether this process is shutting down; the controllers then transfer its quotas
                to other proxies.
        """
        self._context = context
        self._own_address = own_address
        self._rpc = rpc
        self._target = target
        self._quota_owner = quota_owner
        self._updates = updates
        self._reachability = reachability
        self._apply_update = apply_update
        self._is_shutting_down = is_shutting_down

    async def run(self) -> None:
        """Send watch requests, one at a time, until cancelled; no request or reply ends this task."""
        while True:
            try:
                was_applied = await self._watch_once()
            except (InvalidInputError, msgspec.MsgspecError) as error:
                log.error("invalid configuration version from the leader; requesting it in full: %s", error)
                self._updates.versions.requests_full_version = True
                was_applied = False
            except Exception:
                self._context.metrics.watch_failures += 1
                self._context.log_failure(f"a watch request failed: {traceback.format_exc()}")
                was_applied = False
            if not was_applied:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _watch_once(self) -> bool:
        """Send one request and apply the leader's reply; return False without such a reply."""
        target, metrics, now_us = self._target, self._context.metrics, self._context.now_us
        to, sent_us = parse_address(target.next(now_us())), now_us()
        reply = await self._send_request(to)
        metrics.watch_requests += 1
        if not target.on_reply(now_us(), reply) or reply is None:
            metrics.watch_requests_unanswered += 1
            return False
        self._apply_update(reply, sent_us)
        return True

    async def relay(self, request: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        """Forward the request of a proxy that reaches no controller, if this proxy knows the leader."""
        leader = self._target.leader
        since_reply_us = self._context.now_us() - self._target.leader_replied_us
        if not leader or since_reply_us > REPLY_TIMEOUT_S * SECOND:
            return rpc_messages.WatchReply(False)
        self._context.metrics.watch_requests_relayed += 1
        reply = await self._rpc.call(parse_address(leader), request, REPLY_TIMEOUT_S)
        return reply.value_or(None) or rpc_messages.WatchReply(False)

    async def _send_request(self, to: tuple[str, int]) -> rpc_messages.WatchReply | None:
        """Send one request; return its reply, or None if the call fails."""
        result = await self._rpc.call(to, self._request(), REPLY_TIMEOUT_S)
        reply = result.value_or(None)
        if not isinstance(reply, rpc_messages.WatchReply):
            return None
        self._reachability.on_reply(to, reply.is_leader)
        return reply

    def _request(self) -> rpc_messages.WatchRequest:
        """Create a request that reports this proxy's state, so that the reply contains only changes."""
        settings, updates = self._context.settings, self._updates
        # After a failure, the request omits the membership, so that the leader replies immediately.
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
            known_servers=list(updates.servers.by_id.values()) if updates.requests_known_servers else [],
            unreachable_proxies=sorted(self._reachability.terminated_proxies),
            staged_version=updates.versions.staged_version,
            has_local_controller=settings.quorum,
            needs_full_version=updates.versions.requests_full_version,
            is_terminating=self._is_shutting_down(),
        )
