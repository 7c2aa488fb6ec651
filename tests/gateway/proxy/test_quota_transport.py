"""Calls to a count while the membership changes: they are retried until both proxies have the same one."""

import asyncio
import time
from collections.abc import Iterator
from random import Random
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.clock import now_us
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.peer_reachability import PeerReachability
from lapisgrade.gateway.proxy.quota_transport import ADD_TIMEOUT_S, QuotaTransport
from lapisgrade.gateway.quota.epochs import MembershipUpdate
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.net.close_reason import CloseReason

OWN_NAME, OLD_OWNER, NEW_OWNER = "me", "old", "new"


def members(*names: str) -> dict[str, tuple[str, str, str]]:
    return {
        name: (f"10.0.0.{index}:1", "1", "z")
        for index, name in enumerate((OWN_NAME, OLD_OWNER, NEW_OWNER), 1)
        if name in names
    }


class Peers:
    """The environment of a proxy's quota transport; `replies` has the other proxies' replies by name."""

    def __init__(self) -> None:
        self.tenant = next(
            name for name in map(str, range(999))
            if owner_of(name, [OWN_NAME, OLD_OWNER]) == OLD_OWNER
            and owner_of(name, [OWN_NAME, OLD_OWNER, NEW_OWNER]) == NEW_OWNER
        )  # fmt: skip
        settings = SimpleNamespace(hostname=OWN_NAME, ip="10.0.0.1")
        self.context = ProxyContext(settings, Random(1), now_us)
        self.quota_owner = QuotaOwner(OWN_NAME, "1", 0)
        self.quota_owner.update_members(
            0, MembershipUpdate(5, members(OWN_NAME, OLD_OWNER), previous_fencing_token=0)
        )
        self.updates = SimpleNamespace(ownership_ends_us=1 << 60)
        self.calls, self.results = [], []
        client = SimpleNamespace(quota_request=self._make_request, sharing_limiter_count=1)
        self.router = SimpleNamespace(quota_clients={self.tenant: client})
        self.host = SimpleNamespace(enqueue=self.results.append)
        self.replies = {}
        self.is_refusing = False  # whether the other proxies' machines refuse connections

    def transport(self) -> QuotaTransport:
        return QuotaTransport(
            self.context,
            self.host,
            self.router,
            self,
            self.quota_owner,
            self.updates,
            PeerReachability(self.context),
        )

    def _make_request(self, requester: str, fencing_token: int) -> rpc_messages.QuotaRequest:
        return rpc_messages.QuotaRequest(self.tenant, 1.0, requester, fencing_token, 10.0, 10.0)

    def peer(self, address) -> SimpleNamespace:
        return SimpleNamespace(is_refusing=self.is_refusing)

    async def call(self, address, request: rpc_messages.QuotaRequest, timeout_s: float):
        name = (OWN_NAME, OLD_OWNER, NEW_OWNER)[int(address[0].rpartition(".")[2]) - 1]
        self.calls.append((name, request.fencing_token))
        await asyncio.sleep(0)
        reply = self.replies.get(name)
        return Success(reply) if reply is not None else Failure(CallFailure.MAY_HAVE_RUN)


class CallingProxy:
    """A proxy that adds to a count which another proxy owns."""

    def __init__(self) -> None:
        self.peers = Peers()
        self.transport = self.peers.transport()

    async def add(self) -> CloseReason:
        started = time.monotonic()
        self.transport.add(None, SimpleNamespace(counter_id=self.peers.tenant))
        while not self.peers.results:
            await asyncio.sleep(0.005)
        assert time.monotonic() - started < 3 * ADD_TIMEOUT_S
        return self.peers.results[0].reason


@pytest.fixture
def caller() -> Iterator[CallingProxy]:
    proxy = CallingProxy()
    yield proxy
    proxy.transport.close()


async def test_a_rejection_by_an_owner_with_a_newer_membership_is_retried_after_the_update(
    caller: CallingProxy,
) -> None:
    peers = caller.peers
    peers.replies = {
        OLD_OWNER: rpc_messages.QuotaReply(False, fencing_token=9),
        NEW_OWNER: rpc_messages.QuotaReply(True, 3.0, 2, 9),
    }
    update = MembershipUpdate(9, members(OWN_NAME, OLD_OWNER, NEW_OWNER), (), 5)
    asyncio.get_running_loop().call_later(0.03, peers.quota_owner.update_members, 1, update)
    assert await caller.add() is CloseReason.ANSWERED
    assert (peers.calls[0], peers.calls[-1]) == ((OLD_OWNER, 5), (NEW_OWNER, 9))


async def test_an_add_is_retried_until_an_owner_with_an_older_membership_is_updated(
    caller: CallingProxy,
) -> None:
    peers = caller.peers
    update = MembershipUpdate(9, members(OWN_NAME, OLD_OWNER, NEW_OWNER), previous_fencing_token=5)
    peers.quota_owner.update_members(1, update)
    peers.replies = {NEW_OWNER: rpc_messages.QuotaReply(False, fencing_token=5)}
    asyncio.get_running_loop().call_later(
        0.04, peers.replies.update, {NEW_OWNER: rpc_messages.QuotaReply(True, 3.0, 2, 9)}
    )
    assert await caller.add() is CloseReason.ANSWERED


async def test_an_add_is_rejected_in_time_if_the_memberships_never_agree(caller: CallingProxy) -> None:
    caller.peers.replies = {OLD_OWNER: rpc_messages.QuotaReply(False, fencing_token=9)}
    assert await caller.add() is CloseReason.REJECTED
    assert len(caller.peers.calls) < 12


async def test_a_rejection_under_the_same_membership_is_final_and_a_missing_reply_is_a_time_out(
    caller: CallingProxy,
) -> None:
    caller.peers.replies = {OLD_OWNER: rpc_messages.QuotaReply(False, fencing_token=5)}
    assert await caller.add() is CloseReason.REJECTED
    assert len(caller.peers.calls) == 1
    caller.peers.replies, caller.peers.results[:] = {}, []
    assert await caller.add() is CloseReason.TIMED_OUT


class NewOwner:
    """A proxy that has just joined and owns a count that `OLD_OWNER` owned before."""

    def __init__(self) -> None:
        self.peers = Peers()
        owner = self.peers.quota_owner = QuotaOwner(OWN_NAME, "1", 0)
        owner.update_members(now_us(), MembershipUpdate(5, members(OLD_OWNER), previous_fencing_token=0))
        owner.update_members(
            now_us(), MembershipUpdate(9, members(OWN_NAME, OLD_OWNER), previous_fencing_token=5)
        )
        self.tenant = next(
            name for name in map(str, range(999)) if owner_of(name, [OWN_NAME, OLD_OWNER]) == OWN_NAME
        )
        self.transport = self.peers.transport()

    async def add(self) -> rpc_messages.QuotaReply:
        return await self.transport.answer_add(
            rpc_messages.QuotaRequest(self.tenant, 1.0, "x", 9, 10.0, 10.0)
        )


@pytest.fixture
def new_owner() -> Iterator[NewOwner]:
    proxy = NewOwner()
    yield proxy
    proxy.transport.close()


async def test_a_new_owner_continues_the_count_that_the_previous_owner_hands_over(
    new_owner: NewOwner,
) -> None:
    count = rpc_messages.HandedCount(7.0, 0.0, 0)
    new_owner.peers.replies = {OLD_OWNER: rpc_messages.HandOverReply(False, count)}
    reply = await new_owner.add()
    assert reply.is_accepted
    assert reply.total == pytest.approx(10.0 - 6.0, abs=0.5)
    assert new_owner.peers.calls == [(OLD_OWNER, 9)]


async def test_a_new_owner_starts_an_empty_count_if_the_previous_owner_has_terminated(
    new_owner: NewOwner,
) -> None:
    new_owner.peers.is_refusing = True
    reply = await new_owner.add()
    assert reply.is_accepted
    assert reply.total == pytest.approx(10.0 + 1.0, abs=0.5)


async def test_a_new_owner_rejects_adds_while_the_previous_owner_may_still_act(new_owner: NewOwner) -> None:
    new_owner.peers.replies = {OLD_OWNER: rpc_messages.HandOverReply(True)}
    assert not (await new_owner.add()).is_accepted
