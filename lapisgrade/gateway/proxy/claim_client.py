"""Sends this proxy's claims of operation keys to the leader of the controllers."""

import asyncio

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.operations.table import Claim, ClaimResult
from lapisgrade.gateway.proxy.claim_target import ClaimTarget
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address

# A call that times out closes the connection, which other calls share. The time-out is therefore longer than
# HEDGE_DELAY_S: another controller is called before the connection to a slow one is closed.
CALL_TIMEOUT_S = 1.0
# Time to wait for a reply before another controller is called; a claim is recorded in about 40 ms.
HEDGE_DELAY_S = 0.25
RETRY_DELAY_S = 0.02  # delay after a reply or HEDGE_DELAY_S before the next call

PendingCalls = dict[asyncio.Task[rpc_messages.ClaimReply | None], str]
"""The pending calls of one claim, each with the address of the called controller."""


class ClaimClient:
    """Sends claims, trying one controller after another until the leader replies."""

    def __init__(self, context: ProxyContext, rpc: RpcEndpoint, target: ClaimTarget) -> None:
        """Create a client that sends claims to the controller that `target` chooses."""
        self._context = context
        self._rpc = rpc
        self._target = target

    async def claim(self, claim: Claim, until_us: int) -> ClaimResult | None:
        """Return the attempt that holds the claim's key, or None if no leader names it before `until_us`."""
        pending: PendingCalls = {}
        try:
            reply = await self._first_known_reply(claim, until_us, pending)
        finally:
            for call in pending:
                call.cancel()
        self._update_metrics(claim, reply)
        return ClaimResult(reply.attempt, reply.owner) if reply is not None else None

    async def _first_known_reply(
        self, claim: Claim, until_us: int, pending: PendingCalls
    ) -> rpc_messages.ClaimReply | None:
        """Return the first reply that names the key's holder; recording the same claim twice is harmless."""
        while (remaining_s := (until_us - self._context.now_us()) / SECOND) > 0:
            self._send(claim, pending)
            if pending:
                timeout_s = min(remaining_s, HEDGE_DELAY_S)
                await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            reply = self._process_replies(pending)
            if reply is not None:
                return reply
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    def _send(self, claim: Claim, pending: PendingCalls) -> None:
        """Send a claim to the probable leader, unless a call to it is pending."""
        address = self._target.next()
        if address not in pending.values() and is_address(address):
            pending[asyncio.get_running_loop().create_task(self._call(address, claim))] = address

    async def _call(self, address: str, claim: Claim) -> rpc_messages.ClaimReply | None:
        """Return the reply of one controller, or None if the call fails."""
        self._context.metrics.claims_sent += 1
        request = rpc_messages.ClaimRequest(claim)
        result = await self._rpc.call(parse_address(address), request, CALL_TIMEOUT_S)
        reply = result.value_or(None)
        return reply if isinstance(reply, rpc_messages.ClaimReply) else None

    def _process_replies(self, pending: PendingCalls) -> rpc_messages.ClaimReply | None:
        """Return the first finished reply that names the key's holder, if there is one.

        If no call has finished, the target is told that none of the called controllers replied, but the calls
        stay pending.
        """
        finished = [call for call in pending if call.done()]
        for address in () if finished else pending.values():
            self._target.on_reply(address, None)
        for call in finished:
            address, reply = pending.pop(call), call.result()
            self._target.on_reply(address, reply)
            if reply is not None and reply.is_known:
                return reply
        return None

    def _update_metrics(self, claim: Claim, reply: rpc_messages.ClaimReply | None) -> None:
        metrics = self._context.metrics
        if reply is None:
            metrics.claims_unanswered += 1
        elif reply.attempt == claim.attempt:
            metrics.claims_granted += 1
        elif reply.attempt:
            metrics.claims_held += 1
        else:
            metrics.claims_not_recorded += 1
