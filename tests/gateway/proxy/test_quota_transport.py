"""Calls to a count while the list of live proxies changes: asked again where a list is on its way."""

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

ME, OLD, NEW = "me", "old", "new"


def listed(*names: str) -> dict[str, tuple[str, str, str]]:
    return {
        name: (f"10.0.0.{turn}:1", "1", "z") for turn, name in enumerate((ME, OLD, NEW), 1) if name in names
    }


class Peers:
    """What a proxy that asks others for their counts has beside its transport; `answers` by name."""

    def __init__(self) -> None:
        self.tenant = next(
            name for name in map(str, range(999))
            if owner_of(name, [ME, OLD]) == OLD and owner_of(name, [ME, OLD, NEW]) == NEW
        )  # fmt: skip
        settings = SimpleNamespace(hostname=ME, ip="10.0.0.1")
        self.context = ProxyContext(settings, Random(1), now_us)
        self.quota_owner = QuotaOwner(ME, "1", 0)
        self.quota_owner.update_members(0, MembershipUpdate(5, listed(ME, OLD), previous_fencing_token=0))
        self.updates = SimpleNamespace(ownership_ends_us=1 << 60)
        self.asked, self.ended = [], []
        client = SimpleNamespace(quota_request=self._ask, gateways=1)
        self.router = SimpleNamespace(quota_clients={self.tenant: client})
        self.host = SimpleNamespace(enqueue=self.ended.append)
        self.answers = {}
        self.is_refusing = False  # whether nobody listens at the other proxies

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

    def _ask(self, by: str, fence: int) -> rpc_messages.QuotaRequest:
        return rpc_messages.QuotaRequest(self.tenant, 1.0, by, fence, 10.0, 10.0)

    def peer(self, place) -> SimpleNamespace:
        return SimpleNamespace(is_refusing=self.is_refusing)

    async def call(self, place, ask: rpc_messages.QuotaRequest, within: float):
        name = (ME, OLD, NEW)[int(place[0].rpartition(".")[2]) - 1]
        self.asked.append((name, ask.fencing_token))
        await asyncio.sleep(0)
        reply = self.answers.get(name)
        return Success(reply) if reply is not None else Failure(CallFailure.MAY_HAVE_RUN)


class CallingProxy:
    """A proxy that adds to a count which another proxy owns."""

    def __init__(self) -> None:
        self.peers = Peers()
        self.transport = self.peers.transport()

    async def add(self) -> CloseReason:
        began = time.monotonic()
        self.transport.add(None, SimpleNamespace(counter_id=self.peers.tenant))
        while not self.peers.ended:
            await asyncio.sleep(0.005)
        assert time.monotonic() - began < 3 * ADD_TIMEOUT_S
        return self.peers.ended[0].reason


@pytest.fixture
def caller() -> Iterator[CallingProxy]:
    proxy = CallingProxy()
    yield proxy
    proxy.transport.close()


async def test_a_rejection_by_an_owner_with_a_later_list_is_retried_after_the_update(
    caller: CallingProxy,
) -> None:
    peers = caller.peers
    peers.answers = {
        OLD: rpc_messages.QuotaReply(False, fencing_token=9),
        NEW: rpc_messages.QuotaReply(True, 3.0, 2, 9),
    }
    update = MembershipUpdate(9, listed(ME, OLD, NEW), (), 5)
    asyncio.get_running_loop().call_later(0.03, peers.quota_owner.update_members, 1, update)
    assert await caller.add() is CloseReason.ANSWERED
    assert (peers.asked[0], peers.asked[-1]) == ((OLD, 5), (NEW, 9))


async def test_an_owner_with_an_earlier_list_is_asked_until_it_is_updated(caller: CallingProxy) -> None:
    peers = caller.peers
    update = MembershipUpdate(9, listed(ME, OLD, NEW), previous_fencing_token=5)
    peers.quota_owner.update_members(1, update)
    peers.answers = {NEW: rpc_messages.QuotaReply(False, fencing_token=5)}
    asyncio.get_running_loop().call_later(
        0.04, peers.answers.update, {NEW: rpc_messages.QuotaReply(True, 3.0, 2, 9)}
    )
    assert await caller.add() is CloseReason.ANSWERED


async def test_a_call_ends_in_time_where_the_lists_never_agree(caller: CallingProxy) -> None:
    caller.peers.answers = {OLD: rpc_messages.QuotaReply(False, fencing_token=9)}
    assert await caller.add() is CloseReason.REJECTED
    assert len(caller.peers.asked) < 12


async def test_a_rejection_under_the_same_list_is_final_and_silence_is_a_time_out(
    caller: CallingProxy,
) -> None:
    caller.peers.answers = {OLD: rpc_messages.QuotaReply(False, fencing_token=5)}
    assert await caller.add() is CloseReason.REJECTED
    assert len(caller.peers.asked) == 1
    caller.peers.answers, caller.peers.ended[:] = {}, []
    assert await caller.add() is CloseReason.TIMED_OUT


class NewOwner:
    """This proxy has joined, and owns a count that `OLD` owned before."""

    def __init__(self) -> None:
        self.peers = Peers()
        owner = self.peers.quota_owner = QuotaOwner(ME, "1", 0)
        owner.update_members(now_us(), MembershipUpdate(5, listed(OLD), previous_fencing_token=0))
        owner.update_members(now_us(), MembershipUpdate(9, listed(ME, OLD), previous_fencing_token=5))
        self.tenant = next(name for name in map(str, range(999)) if owner_of(name, [ME, OLD]) == ME)
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


async def test_it_continues_with_the_count_that_the_last_owner_hands_over(new_owner: NewOwner) -> None:
    handed = rpc_messages.HandedCount(7.0, 0.0, 0)
    new_owner.peers.answers = {OLD: rpc_messages.HandOverReply(False, handed)}
    reply = await new_owner.add()
    assert reply.is_accepted
    assert reply.total == pytest.approx(10.0 - 6.0, abs=0.5)
    assert new_owner.peers.asked == [(OLD, 9)]


async def test_it_begins_an_empty_count_where_the_last_owner_has_terminated(new_owner: NewOwner) -> None:
    new_owner.peers.is_refusing = True
    reply = await new_owner.add()
    assert reply.is_accepted
    assert reply.total == pytest.approx(10.0 + 1.0, abs=0.5)


async def test_it_adds_nothing_where_the_last_owner_may_still_act(new_owner: NewOwner) -> None:
    new_owner.peers.answers = {OLD: rpc_messages.HandOverReply(True)}
    assert not (await new_owner.add()).is_accepted
