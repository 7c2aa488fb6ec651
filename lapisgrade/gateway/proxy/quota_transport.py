"""Carries quota calls between proxies: adds to whoever owns a tenant's count, and hand-overs of counts."""

import asyncio
from collections import Counter
from typing import Protocol

import msgspec

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.clock import now_us
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Settings, address
from lapisgrade.gateway.verdict import Verdict
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import CounterCallFinished
from lapisgrade.net.host import Host

ADD = 0.15  # s that an add to a count may take; two round trips between zones and a busy machine
LISTED = 0.015  # s after which one that has another list of live proxies is asked again
HAND_OVER = 0.1  # s that an add waits for the count's hand-over; within ADD


class Process(Protocol):
    """What the transport needs of the proxy that it works for."""

    settings: Settings
    counts: Counter[str]
    host: Host
    router: Router
    rpc: RpcEndpoint
    quota_owner: QuotaOwner
    acts_until: int  # us until when counts may be owned under the list of live proxies
    refused: set[str]  # proxies whose machine says that nobody listens there

    def touch(self, place: tuple[str, int]) -> None: ...


class QuotaTransport:
    """`add` is called by the host; `answer_add` and `answer_hand_over` by other proxies."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._tasks: set[asyncio.Task] = set()
        self._fetching: dict[str, asyncio.Task] = {}  # hand-overs asked for, by tenant

    # ---- adds of this proxy's own

    def add(self, task, add) -> None:
        """Have an add counted, and tell the host what came of it."""
        process = self._process
        quota_client = process.router.quota_clients.get(add.name)
        name = process.quota_owner.owners.owner(add.name)
        if quota_client is None or not name:
            return process.host.enqueue(CounterCallFinished(task, CloseReason.REJECTED))
        ask = quota_client.ask(process.settings.hostname, process.quota_owner.fence)
        owned = name == process.settings.hostname
        if owned and not process.quota_owner.predecessor(now_us(), ask.tenant):
            return self._told(task, ask, process.quota_owner.take(now_us(), ask, process.acts_until))
        self._start(self._ask(task, ask))

    def _start(self, coroutine) -> None:
        doing = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(doing)
        doing.add_done_callback(self._tasks.discard)

    async def _ask(self, task, ask: rpc_messages.QuotaRequest) -> None:
        """Ask the owner, here or elsewhere; once more where it has another list than this proxy, as one of
        the two lists is on its way."""
        process = self._process
        ends_us = now_us() + int(ADD * SECOND)
        while True:
            name = process.quota_owner.owners.owner(ask.tenant)
            if name == process.settings.hostname:
                reply = await self.answer_add(ask)
            else:
                reply = await self._call(ask, name, (ends_us - now_us()) / SECOND)
            if isinstance(reply, CloseReason):
                return process.host.enqueue(CounterCallFinished(task, reply))
            elsewhere = process.quota_owner.owners.owner(ask.tenant) != name
            same = reply.fence == process.quota_owner.fence and not elsewhere
            if reply.held or same or now_us() + 2 * int(LISTED * SECOND) > ends_us:
                return self._told(task, ask, reply)
            process.counts["counts asked for again"] += 1
            await asyncio.sleep(LISTED)
            ask = msgspec.structs.replace(ask, fence=process.quota_owner.fence)

    async def _call(
        self, ask: rpc_messages.QuotaRequest, name: str, within: float
    ) -> rpc_messages.QuotaReply | CloseReason:
        """The word of that owner, or how the call to it ended."""
        process = self._process
        member = process.quota_owner.proxies.get(name)
        if member is None:
            return CloseReason.CONNECTION_REFUSED
        place = address(member[0])
        got = await process.rpc.call(place, ask, within)
        reply = got.value_or(None)
        if process.rpc.peer(place).refused:
            process.refused.add(name)
        else:
            process.refused.discard(name)
        if isinstance(reply, rpc_messages.QuotaReply):
            process.touch(place)
            return reply
        process.counts["counts unanswered"] += 1
        return (
            CloseReason.TIMED_OUT if got.failure() is Verdict.MAY_HAVE_RUN else CloseReason.CONNECTION_REFUSED
        )

    def _told(self, task, ask: rpc_messages.QuotaRequest, reply: rpc_messages.QuotaReply) -> None:
        process = self._process
        quota_client = process.router.quota_clients.get(ask.tenant)
        if not reply.held:
            process.counts["counts not held"] += 1
            return process.host.enqueue(CounterCallFinished(task, CloseReason.REJECTED))
        if quota_client is not None:
            quota_client.gateways = max(1, reply.limiters)
        process.counts["counts added"] += 1
        process.host.enqueue(CounterCallFinished(task, CloseReason.ANSWERED, reply.total))

    # ---- what other proxies ask

    async def answer_add(self, ask: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        """Add to a count here, once the owner before has handed it over."""
        process, owner = self._process, self._process.quota_owner
        ends_us, asked = now_us() + int(HAND_OVER * SECOND), ""
        while owner.owns(ask.tenant):
            predecessor = owner.predecessor(now_us(), ask.tenant)
            left_us = ends_us - now_us()
            if predecessor in ("", process.settings.hostname, asked) or left_us <= 0:
                break
            asked = predecessor  # one that has nothing to say leads to the owner before it
            await asyncio.wait({self._fetch(ask, predecessor)}, timeout=left_us / SECOND)
        return owner.take(now_us(), ask, process.acts_until)

    def answer_hand_over(self, ask: rpc_messages.HandOverRequest) -> rpc_messages.HandOverReply:
        """Leave a count to its new owner."""
        reply = self._process.quota_owner.hand_over(now_us(), ask)
        self._process.counts["counts not handed over" if reply.wait else "counts handed over"] += 1
        return reply

    def _fetch(self, ask: rpc_messages.QuotaRequest, predecessor: str) -> asyncio.Task:
        """The call that asks the owner before for a count; one at a time for each tenant."""
        fetching = self._fetching.get(ask.tenant)
        if fetching is None:
            fetching = asyncio.get_running_loop().create_task(self._hand_over(ask, predecessor))
            self._fetching[ask.tenant] = fetching
            fetching.add_done_callback(lambda _: self._fetching.pop(ask.tenant, None))
        return fetching

    async def _hand_over(self, ask: rpc_messages.QuotaRequest, predecessor: str) -> None:
        process, owner = self._process, self._process.quota_owner
        fence, member = owner.fence, owner.proxies.get(predecessor)
        if member is None:
            return
        place = address(member[0])
        wants = rpc_messages.HandOverRequest(
            ask.tenant, process.settings.hostname, fence, ask.rate, ask.burst, owner.own
        )
        reply = (await process.rpc.call(place, wants, HAND_OVER)).value_or(None)
        if owner.fence != fence:
            return  # another list has come meanwhile
        if isinstance(reply, rpc_messages.HandOverReply):
            process.counts["counts taken over"] += not reply.wait
            owner.handed(now_us(), ask.tenant, reply, ask.rate, ask.burst, predecessor)
        elif process.rpc.peer(place).refused:
            owner.gone(now_us(), ask.tenant, ask.rate, ask.burst, predecessor)

    def close(self) -> None:
        """Nothing more is asked."""
        for task in (*self._tasks, *self._fetching.values()):
            task.cancel()
