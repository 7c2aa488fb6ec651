"""Calls to a count while the list of live proxies changes: asked again where a list is on its way."""

import asyncio
import time
import unittest
from random import Random
from types import SimpleNamespace

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


class Asked(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.peers = Peers()
        self.transport = self.peers.transport()
        self.addCleanup(self.transport.close)

    async def add(self) -> CloseReason:
        began = time.monotonic()
        self.transport.add(None, SimpleNamespace(counter_id=self.peers.tenant))
        while not self.peers.ended:
            await asyncio.sleep(0.005)
        self.assertLess(time.monotonic() - began, 3 * ADD_TIMEOUT_S)
        return self.peers.ended[0].reason

    async def test_a_rejection_by_an_owner_with_a_later_list_is_retried_after_the_update(self) -> None:
        peers = self.peers
        peers.answers = {
            OLD: rpc_messages.QuotaReply(False, fencing_token=9),
            NEW: rpc_messages.QuotaReply(True, 3.0, 2, 9),
        }
        update = MembershipUpdate(9, listed(ME, OLD, NEW), (), 5)
        asyncio.get_running_loop().call_later(0.03, peers.quota_owner.update_members, 1, update)
        self.assertIs(await self.add(), CloseReason.ANSWERED)
        self.assertEqual((peers.asked[0], peers.asked[-1]), ((OLD, 5), (NEW, 9)))

    async def test_an_owner_with_an_earlier_list_is_asked_until_it_is_updated(self) -> None:
        peers = self.peers
        update = MembershipUpdate(9, listed(ME, OLD, NEW), previous_fencing_token=5)
        peers.quota_owner.update_members(1, update)
        peers.answers = {NEW: rpc_messages.QuotaReply(False, fencing_token=5)}
        asyncio.get_running_loop().call_later(
            0.04, peers.answers.update, {NEW: rpc_messages.QuotaReply(True, 3.0, 2, 9)}
        )
        self.assertIs(await self.add(), CloseReason.ANSWERED)

    async def test_a_call_ends_in_time_where_the_lists_never_agree(self) -> None:
        self.peers.answers = {OLD: rpc_messages.QuotaReply(False, fencing_token=9)}
        self.assertIs(await self.add(), CloseReason.REJECTED)
        self.assertLess(len(self.peers.asked), 12)

    async def test_a_rejection_under_the_same_list_is_final_and_silence_is_a_time_out(self) -> None:
        self.peers.answers = {OLD: rpc_messages.QuotaReply(False, fencing_token=5)}
        self.assertIs(await self.add(), CloseReason.REJECTED)
        self.assertEqual(len(self.peers.asked), 1)
        self.peers.answers, self.peers.ended[:] = {}, []
        self.assertIs(await self.add(), CloseReason.TIMED_OUT)


class TakeOverTest(unittest.IsolatedAsyncioTestCase):
    """This proxy has joined, and owns a count that `OLD` owned before."""

    async def asyncSetUp(self) -> None:
        self.peers = Peers()
        owner = self.peers.quota_owner = QuotaOwner(ME, "1", 0)
        owner.update_members(now_us(), MembershipUpdate(5, listed(OLD), previous_fencing_token=0))
        owner.update_members(now_us(), MembershipUpdate(9, listed(ME, OLD), previous_fencing_token=5))
        self.tenant = next(name for name in map(str, range(999)) if owner_of(name, [ME, OLD]) == ME)
        self.transport = self.peers.transport()
        self.addCleanup(self.transport.close)

    async def add(self) -> rpc_messages.QuotaReply:
        return await self.transport.answer_add(
            rpc_messages.QuotaRequest(self.tenant, 1.0, "x", 9, 10.0, 10.0)
        )

    async def test_it_continues_with_the_count_that_the_last_owner_hands_over(self) -> None:
        handed = rpc_messages.HandedCount(7.0, 0.0, 0)
        self.peers.answers = {OLD: rpc_messages.HandOverReply(False, handed)}
        reply = await self.add()
        self.assertTrue(reply.is_accepted)
        self.assertAlmostEqual(reply.total, 10.0 - 6.0, delta=0.5)
        self.assertEqual(self.peers.asked, [(OLD, 9)])

    async def test_it_begins_an_empty_count_where_the_last_owner_has_terminated(self) -> None:
        self.peers.is_refusing = True
        reply = await self.add()
        self.assertTrue(reply.is_accepted)
        self.assertAlmostEqual(reply.total, 10.0 + 1.0, delta=0.5)

    async def test_it_adds_nothing_where_the_last_owner_may_still_act(self) -> None:
        self.peers.answers = {OLD: rpc_messages.HandOverReply(True)}
        self.assertFalse((await self.add()).is_accepted)


if __name__ == "__main__":
    unittest.main()
