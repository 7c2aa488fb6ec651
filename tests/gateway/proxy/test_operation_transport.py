"""Claims during leader changes and outcome queries between proxies, on a simulated network."""

import asyncio
from collections.abc import Iterator
from random import Random
from types import SimpleNamespace
from unittest import mock

import pytest
from returns.result import Failure, Success

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.clock import now_us
from lapisgrade.gateway.operations.attempts import OperationAttempts
from lapisgrade.gateway.operations.outcomes import NOT_RUN, RUNNING, UNKNOWN, Outcome, OutcomeState
from lapisgrade.gateway.operations.table import Claim, ClaimResult
from lapisgrade.gateway.proxy import operation_transport
from lapisgrade.gateway.proxy.claim_client import HEDGE_DELAY_S, ClaimClient
from lapisgrade.gateway.proxy.claim_target import ClaimTarget
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.operation_transport import OperationTransport
from lapisgrade.gateway.routing.keyed_request import ClaimKey, FetchOutcome

OWN_ADDRESS, OTHER_ADDRESS = "10.0.0.9:1", "10.0.0.8:1"
A, B, C = (f"10.0.0.{number}:1" for number in (1, 2, 3))  # addresses of the controllers; A leads at first
CLAIM = Claim("t", "k", "mine-1", OWN_ADDRESS)
GRANTED = rpc_messages.ClaimReply(True, "mine-1", OWN_ADDRESS)
ANSWER = Outcome(OutcomeState.ANSWERED, 200, b"", b"x")


class Network:
    """A proxy's transport with the reply of each address: a message, or None for no reply."""

    def __init__(self) -> None:
        self.context = ProxyContext(SimpleNamespace(), Random(1), now_us)
        self.replies: dict[str, object] = {}
        self.called_addresses: list[str] = []
        self.failure = CallFailure.MAY_HAVE_RUN  # result of calls to addresses without a reply
        watch_target = SimpleNamespace(leader=A, seeds=[A, B, C], controllers=[])
        claims = ClaimClient(self.context, self, ClaimTarget(Random(1), watch_target))
        self.attempts = OperationAttempts(OWN_ADDRESS, "mine", 60 * SECOND)
        self.results: list[object] = []
        host = SimpleNamespace(enqueue=lambda event: self.results.append(event.result))
        self.transport = OperationTransport(self.context, host, self, claims, self.attempts)

    async def call(self, to, message, timeout_s):
        address = f"{to[0]}:{to[1]}"
        self.called_addresses.append(address)
        if address not in self.replies:
            await asyncio.sleep(0)
            return Failure(self.failure)
        reply = self.replies[address]
        await asyncio.sleep(0 if reply is not None else timeout_s)
        return Success(reply) if reply is not None else Failure(self.failure)

    async def result_of(self, call) -> object:
        """Return the result of a call that is enqueued at the host."""
        self.results.clear()
        self.transport.call(None, call)
        while not self.results:
            await asyncio.sleep(0.001)
        return self.results[0]

    async def claim(self, timeout_s: float = 1.0) -> object:
        return await self.result_of(ClaimKey(CLAIM, now_us() + int(timeout_s * SECOND)))

    async def fetch(self, attempt: str, owner: str, timeout_s: float = 0.5) -> object:
        return await self.result_of(FetchOutcome(attempt, owner, now_us() + int(timeout_s * SECOND)))


@pytest.fixture
def network() -> Iterator[Network]:
    instance = Network()
    yield instance
    instance.transport.close()


async def test_a_claim_follows_the_leader_that_a_controller_names(network: Network) -> None:
    network.replies = {A: rpc_messages.ClaimReply(False, leader_address=B), B: GRANTED}
    assert await network.claim() == ClaimResult("mine-1", OWN_ADDRESS)
    assert await network.claim() == ClaimResult("mine-1", OWN_ADDRESS)
    assert network.called_addresses == [A, B, B]


async def test_a_claim_is_answered_by_another_controller_while_the_first_does_not_reply(
    network: Network,
) -> None:
    network.replies = {A: None, B: GRANTED, C: rpc_messages.ClaimReply(False, leader_address=B)}
    started_us = now_us()
    assert await network.claim() == ClaimResult("mine-1", OWN_ADDRESS)
    assert now_us() - started_us < 2.5 * HEDGE_DELAY_S * SECOND
    assert network.called_addresses.count(A) == 1


async def test_an_unanswered_claim_times_out_after_a_bounded_number_of_calls(network: Network) -> None:
    for network.replies, max_calls in (({A: None, B: None, C: None}, 3), ({}, 20)):
        network.called_addresses.clear()
        started_us = now_us()
        assert await network.claim(timeout_s=0.3) is None
        assert 0.25 < (now_us() - started_us) / SECOND < 0.6
        assert 0 < len(network.called_addresses) <= max_calls
    assert network.context.metrics.claims_unanswered == 2


async def test_the_calls_to_controllers_do_not_grow_with_the_claims_that_wait_for_a_leader(
    network: Network,
) -> None:
    async def calls_of(claim_count: int) -> int:
        network.called_addresses.clear()
        claims = network.transport._claims
        until_us = now_us() + SECOND // 2
        pending = [asyncio.create_task(claims.claim(CLAIM, until_us)) for _ in range(claim_count)]
        assert await asyncio.gather(*pending) == [None] * claim_count
        return len(network.called_addresses)

    network.replies = dict.fromkeys((A, B, C), rpc_messages.ClaimReply(False))
    alone = await calls_of(1)
    assert await calls_of(64) <= alone + 2 * 64  # each claim calls once itself, and once after the search


async def test_all_waiting_claims_are_sent_when_the_search_has_found_the_leader(network: Network) -> None:
    network.replies = dict.fromkeys((A, B, C), rpc_messages.ClaimReply(False))
    until_us = now_us() + 2 * SECOND
    claims = [asyncio.create_task(network.transport._claims.claim(CLAIM, until_us)) for _ in range(8)]
    await asyncio.sleep(0.2)
    elected_us = now_us()
    network.replies = {A: rpc_messages.ClaimReply(False, leader_address=B), B: GRANTED, C: None}
    assert await asyncio.gather(*claims) == [ClaimResult("mine-1", OWN_ADDRESS)] * 8
    assert now_us() - elected_us < 2.5 * HEDGE_DELAY_S * SECOND


async def test_an_outcome_query_is_retried_a_bounded_number_of_times_after_connection_failures(
    network: Network,
) -> None:
    network.replies = {OTHER_ADDRESS: rpc_messages.OutcomeReply(ANSWER)}
    assert await network.fetch("its-1", OTHER_ADDRESS) == ANSWER
    network.replies, network.called_addresses[:] = {}, []
    assert await network.fetch("its-1", OTHER_ADDRESS) == UNKNOWN
    assert 1 < len(network.called_addresses) <= operation_transport.FETCH_ATTEMPTS
    assert await network.fetch("its-1", "no address") == UNKNOWN


@pytest.mark.parametrize("is_remote", [False, True])
async def test_an_outcome_query_waits_for_a_running_attempt_to_finish(
    network: Network, is_remote: bool
) -> None:
    async def query(attempt: str, timeout_s: float) -> object:
        if not is_remote:
            return await network.fetch(attempt, OWN_ADDRESS, timeout_s)
        request = rpc_messages.OutcomeRequest(attempt, int(timeout_s * SECOND))
        return (await network.transport.answer_outcome(request)).outcome

    for outcome in (ANSWER, NOT_RUN):
        attempt = network.attempts.begin(now_us())
        assert await query(attempt, 0.05) == RUNNING
        asyncio.get_running_loop().call_later(0.05, network.attempts.finish, now_us(), attempt, outcome)
        assert await query(attempt, 5.0) == outcome
    assert await query("of an earlier process", 5.0) == UNKNOWN
    assert network.transport._waiters == {}


async def test_an_outcome_query_waits_for_all_of_the_callers_time_but_the_replys(network: Network) -> None:
    waits_s: list[float] = []

    async def call(_to, message, timeout_s):
        waits_s.append(message.wait_us / SECOND)
        await asyncio.sleep(min(message.wait_us / SECOND, timeout_s))
        return Success(rpc_messages.OutcomeReply(RUNNING))

    network.call = call
    assert await network.fetch("its-1", OTHER_ADDRESS, 0.8) == RUNNING
    assert waits_s == [0.0, pytest.approx(0.8 - operation_transport.REPLY_MARGIN_S, abs=0.05)]


async def test_an_attempt_that_was_at_work_is_running_if_the_last_reply_is_late(network: Network) -> None:
    async def call(_to, message, timeout_s):
        if not message.wait_us:
            return Success(rpc_messages.OutcomeReply(RUNNING))
        await asyncio.sleep(timeout_s)
        return Failure(CallFailure.MAY_HAVE_RUN)

    network.call = call
    assert await network.fetch("its-1", OTHER_ADDRESS, 0.2) == RUNNING


async def test_the_number_of_waiting_outcome_queries_is_bounded(network: Network) -> None:
    attempt = network.attempts.begin(now_us())
    request = rpc_messages.OutcomeRequest(attempt, 1 << 62)
    with mock.patch.object(operation_transport, "MAX_WAITING_REPLIES", 2):
        waiting = [asyncio.create_task(network.transport.answer_outcome(request)) for _ in range(2)]
        await asyncio.sleep(0)
        assert (await network.transport.answer_outcome(request)).outcome == RUNNING
    network.attempts.finish(now_us(), attempt, ANSWER)
    assert [reply.outcome for reply in await asyncio.gather(*waiting)] == [ANSWER, ANSWER]


async def test_calls_beyond_the_limit_are_rejected(network: Network) -> None:
    network.replies = {A: None, B: None, C: None}
    with mock.patch.object(operation_transport, "MAX_CALLS", 1):
        network.transport.call(None, ClaimKey(CLAIM, now_us() + SECOND))
        assert await network.claim() == ClaimResult()
        attempt = network.attempts.begin(now_us())
        network.transport.call(None, FetchOutcome(attempt, network.attempts.address, now_us() + SECOND))
        assert await network.fetch("its-1", OTHER_ADDRESS) is None


async def test_waiting_outcome_queries_do_not_block_claims(network: Network) -> None:
    network.replies = {A: GRANTED}
    with mock.patch.object(operation_transport, "MAX_CALLS", 1):
        attempt = network.attempts.begin(now_us())
        network.transport.call(None, FetchOutcome(attempt, network.attempts.address, now_us() + SECOND))
        assert await network.claim() == ClaimResult("mine-1", OWN_ADDRESS)
