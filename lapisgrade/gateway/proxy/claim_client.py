"""Sends this proxy's claims of operation keys to the leading controller."""

import asyncio

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.operations.table import Claim, ClaimResult
from lapisgrade.gateway.proxy.claim_target import ClaimTarget
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address

# A call that times out closes the connection, which other calls share; so it is left open for longer than
# another controller waits to be asked.
CALL_TIMEOUT_S = 1.0
SILENCE_S = 0.25  # after which another controller is asked as well; a claim is recorded within some 40 ms
RETRY_DELAY_S = 0.02  # before the next controller is asked

PendingCalls = dict[asyncio.Task[rpc_messages.ClaimReply | None], str]
"""The calls of one claim that have no reply yet, and which controller each asks."""


class ClaimClient:
    """`claim` asks one controller after another."""

    def __init__(self, context: ProxyContext, rpc: RpcEndpoint, target: ClaimTarget) -> None:
        """`target` says which controller leads."""
        self._context = context
        self._rpc = rpc
        self._target = target

    async def claim(self, claim: Claim, until_us: int) -> ClaimResult | None:
        """Return who holds the claim's key; None where no leader has said so by then."""
        pending: PendingCalls = {}
        try:
            reply = await self._first_known_reply(claim, until_us, pending)
        finally:
            for call in pending:
                call.cancel()
        self._count(claim, reply)
        return ClaimResult(reply.attempt, reply.owner) if reply is not None else None

    async def _first_known_reply(
        self, claim: Claim, until_us: int, pending: PendingCalls
    ) -> rpc_messages.ClaimReply | None:
        """The first reply of a leader that knows who holds the key; the same claim may be recorded twice."""
        while (left_s := (until_us - self._context.now_us()) / SECOND) > 0:
            self._send(claim, pending)
            if pending:
                timeout_s = min(left_s, SILENCE_S)
                await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            reply = self._take_replies(pending)
            if reply is not None:
                return reply
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    def _send(self, claim: Claim, pending: PendingCalls) -> None:
        """Send a claim to the controller that likely leads, unless it has not replied yet."""
        address = self._target.next()
        if address not in pending.values() and is_address(address):
            pending[asyncio.get_running_loop().create_task(self._call(address, claim))] = address

    async def _call(self, address: str, claim: Claim) -> rpc_messages.ClaimReply | None:
        """The reply of one controller; None where there is none."""
        self._context.metrics.claims_sent += 1
        request = rpc_messages.ClaimRequest(claim)
        result = await self._rpc.call(parse_address(address), request, CALL_TIMEOUT_S)
        reply = result.value_or(None)
        return reply if isinstance(reply, rpc_messages.ClaimReply) else None

    def _take_replies(self, pending: PendingCalls) -> rpc_messages.ClaimReply | None:
        """Take in the calls that have ended; where none has, those asked count as silent."""
        ended = [call for call in pending if call.done()]
        for address in () if ended else pending.values():
            self._target.on_reply(address, None)
        for call in ended:
            address, reply = pending.pop(call), call.result()
            self._target.on_reply(address, reply)
            if reply is not None and reply.is_known:
                return reply
        return None

    def _count(self, claim: Claim, reply: rpc_messages.ClaimReply | None) -> None:
        metrics = self._context.metrics
        if reply is None:
            metrics.claims_unanswered += 1
        elif reply.attempt == claim.attempt:
            metrics.claims_granted += 1
        elif reply.attempt:
            metrics.claims_held += 1
        else:
            metrics.claims_not_recorded += 1
