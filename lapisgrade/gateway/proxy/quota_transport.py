"""RPC calls for quotas between proxies: adds to a tenant's count at its owner, and hand-overs of counts."""

import asyncio
import traceback
from collections.abc import Coroutine
from typing import Any

import msgspec

from lapisgrade.engine import Task
from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.control_updates import ControlUpdates
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.proxy.peer_reachability import PeerReachability
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address
from lapisgrade.interface import AddToCounter
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import CounterCallFinished

ADD_TIMEOUT_S = 0.15  # time-out of an add: two round trips between zones, with a margin for busy machines
RETRY_DELAY_S = 0.015  # delay before an add is retried because the owner has another membership
HAND_OVER_TIMEOUT_S = 0.1  # maximum time that an add waits for a hand-over; less than ADD_TIMEOUT_S


class QuotaTransport:
    """Sends the adds of the host (`add`) and answers other proxies (`answer_add`, `answer_hand_over`)."""

    def __init__(
        self,
        context: ProxyContext,
        host: ProxyHost,
        router: Router,
        rpc: RpcEndpoint,
        quota_owner: QuotaOwner,
        updates: ControlUpdates,
        reachability: PeerReachability,
    ) -> None:
        self._context = context
        self._host = host
        self._router = router
        self._rpc = rpc
        self._quota_owner = quota_owner
        self._updates = updates
        self._reachability = reachability
        self._tasks: set[asyncio.Task[None]] = set()
        self._hand_over_tasks: dict[str, asyncio.Task[None]] = {}  # by tenant

    # ---- this proxy's own adds

    def add(self, task: Task, add: AddToCounter) -> None:
        """Start an add to the count at the tenant's owner; its result is enqueued at the host."""
        quota_client = self._router.quota_clients.get(add.counter_id)
        owner_name = self._quota_owner.owner(add.counter_id)
        if quota_client is None or not owner_name:
            return self._finish(task, CloseReason.REJECTED)
        hostname = self._context.settings.hostname
        request = quota_client.quota_request(hostname, self._quota_owner.fencing_token)
        if owner_name == hostname and not self._quota_owner.predecessor(self._now_us(), request.tenant):
            return self._finish_with_reply(task, request, self._add_locally(request))
        self._start(self._run_add(task, request))

    def _now_us(self) -> int:
        return self._context.now_us()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _add_locally(self, request: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        return self._quota_owner.add(self._now_us(), request, self._updates.ownership_ends_us)

    async def _run_add(self, task: Task, request: rpc_messages.QuotaRequest) -> None:
        """Add at the owner; a failure of this proxy ends the call too, as the task would wait forever."""
        try:
            await self._add_at_owner(task, request)
        except Exception:
            self._context.metrics.quota_calls_failed += 1
            self._context.log_failure(f"an add to a quota's count failed: {traceback.format_exc()}")
            self._finish(task, CloseReason.TIMED_OUT)  # the owner may have counted it

    async def _add_at_owner(self, task: Task, request: rpc_messages.QuotaRequest) -> None:
        """Call the owner, which may be this proxy, until it accepts or replies under this proxy's membership.

        The call is retried while the memberships differ, as one of the two proxies is about to be updated.
        Retries end at ADD_TIMEOUT_S, or when a call fails.
        """
        deadline_us = self._now_us() + int(ADD_TIMEOUT_S * SECOND)
        while True:
            owner_name = self._quota_owner.owner(request.tenant)
            reply: rpc_messages.QuotaReply | CloseReason
            if owner_name == self._context.settings.hostname:
                reply = await self.answer_add(request)
            else:
                reply = await self._call_owner(request, owner_name, (deadline_us - self._now_us()) / SECOND)
            if isinstance(reply, CloseReason):
                return self._finish(task, reply)
            if (
                reply.is_accepted
                or self._is_current(request, owner_name, reply)
                or self._is_out_of_time(deadline_us)
            ):
                return self._finish_with_reply(task, request, reply)
            self._context.metrics.quota_calls_repeated += 1
            await asyncio.sleep(RETRY_DELAY_S)
            request = msgspec.structs.replace(request, fencing_token=self._quota_owner.fencing_token)

    def _is_current(
        self, request: rpc_messages.QuotaRequest, owner_name: str, reply: rpc_messages.QuotaReply
    ) -> bool:
        """Return whether a reply was given under this proxy's present membership."""
        is_owner = self._quota_owner.owner(request.tenant) == owner_name
        return is_owner and reply.fencing_token == self._quota_owner.fencing_token

    def _is_out_of_time(self, deadline_us: int) -> bool:
        """Return whether there is no time left for a retry."""
        return self._now_us() + 2 * int(RETRY_DELAY_S * SECOND) > deadline_us

    async def _call_owner(
        self, request: rpc_messages.QuotaRequest, owner_name: str, timeout_s: float
    ) -> rpc_messages.QuotaReply | CloseReason:
        """Return the owner's reply, or the reason why there is none."""
        member = self._quota_owner.proxies.get(owner_name)
        if member is None:
            return CloseReason.CONNECTION_REFUSED
        to = parse_address(member[0])
        result = await self._rpc.call(to, request, timeout_s)
        reply = result.value_or(None)
        self._reachability.on_call_finished(owner_name, self._rpc.peer(to).is_refusing)
        if isinstance(reply, rpc_messages.QuotaReply):
            self._reachability.on_reply(to)
            return reply
        self._context.metrics.quota_calls_unanswered += 1
        if result.failure() is CallFailure.MAY_HAVE_RUN:
            return CloseReason.TIMED_OUT
        return CloseReason.CONNECTION_REFUSED

    def _finish(self, task: Task, reason: CloseReason, total: float = 0.0) -> None:
        self._host.enqueue(CounterCallFinished(task, reason, total))

    def _finish_with_reply(
        self, task: Task, request: rpc_messages.QuotaRequest, reply: rpc_messages.QuotaReply
    ) -> None:
        if not reply.is_accepted:
            self._context.metrics.quota_calls_refused += 1
            return self._finish(task, CloseReason.REJECTED)
        quota_client = self._router.quota_clients.get(request.tenant)
        if quota_client is not None:
            quota_client.sharing_limiter_count = max(1, reply.active_limiters)
        self._context.metrics.quota_calls_granted += 1
        self._finish(task, CloseReason.ANSWERED, reply.total)

    # ---- calls of other proxies

    async def answer_add(self, request: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        """Add to a count of this proxy, after its previous owner has handed it over."""
        owner = self._quota_owner
        deadline_us, last_predecessor = self._now_us() + int(HAND_OVER_TIMEOUT_S * SECOND), ""
        while owner.owns(request.tenant):
            predecessor = owner.predecessor(self._now_us(), request.tenant)
            remaining_us = deadline_us - self._now_us()
            if predecessor in ("", self._context.settings.hostname, last_predecessor) or remaining_us <= 0:
                break
            last_predecessor = predecessor  # if it has no count, the next predecessor is an earlier owner
            await asyncio.wait({self._hand_over_task(request, predecessor)}, timeout=remaining_us / SECOND)
        return self._add_locally(request)

    def answer_hand_over(self, request: rpc_messages.HandOverRequest) -> rpc_messages.HandOverReply:
        """Hand a count over to its new owner, or reply that it must wait."""
        reply = self._quota_owner.answer_hand_over(self._now_us(), request)
        if reply.must_wait:
            self._context.metrics.hand_overs_deferred += 1
        else:
            self._context.metrics.hand_overs_sent += 1
        return reply

    def _hand_over_task(self, request: rpc_messages.QuotaRequest, predecessor: str) -> asyncio.Task[None]:
        """Return the pending hand-over request for a tenant's count, or start one."""
        hand_over_task = self._hand_over_tasks.get(request.tenant)
        if hand_over_task is None:
            hand_over_task = asyncio.get_running_loop().create_task(
                self._request_hand_over(request, predecessor)
            )
            self._hand_over_tasks[request.tenant] = hand_over_task
            hand_over_task.add_done_callback(lambda _: self._hand_over_tasks.pop(request.tenant, None))
        return hand_over_task

    async def _request_hand_over(self, request: rpc_messages.QuotaRequest, predecessor: str) -> None:
        """Request a count from its previous owner and apply the reply."""
        owner = self._quota_owner
        fencing_token, member = owner.fencing_token, owner.proxies.get(predecessor)
        if member is None:
            return
        to = parse_address(member[0])
        hand_over = rpc_messages.HandOverRequest(
            tenant=request.tenant,
            requester=self._context.settings.hostname,
            fencing_token=fencing_token,
            rate=request.rate,
            burst=request.burst,
            incarnation=owner.incarnation,
        )
        reply = (await self._rpc.call(to, hand_over, HAND_OVER_TIMEOUT_S)).value_or(None)
        if owner.fencing_token != fencing_token:
            return  # the membership has changed during the call
        if isinstance(reply, rpc_messages.HandOverReply):
            self._context.metrics.hand_overs_received += not reply.must_wait
            owner.on_hand_over_reply(self._now_us(), hand_over, reply, predecessor)
        elif self._rpc.peer(to).is_refusing:
            owner.on_predecessor_terminated(self._now_us(), hand_over, predecessor)

    def close(self) -> None:
        """Cancel all pending calls."""
        for task in (*self._tasks, *self._hand_over_tasks.values()):
            task.cancel()
