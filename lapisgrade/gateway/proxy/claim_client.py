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
    """Sends claims, trying one controller after another until the leader replies.

    While no leader replies, one of the proxy's claims searches for it and the others wait. The load on the
    controllers therefore doesn't grow with the number of claims that wait for an election.
    """

    def __init__(self, context: ProxyContext, rpc: RpcEndpoint, target: ClaimTarget) -> None:
        """Create a client that sends claims to the controller that `target` chooses."""
        self._context = context
        self._rpc = rpc
        self._target = target
        self._search: asyncio.Future[None] | None = None  # done when the searching claim has ended

    async def claim(self, claim: Claim, until_us: int) -> ClaimResult | None:
        """Return the attempt that holds the claim's key, or None if no leader names it before `until_us`."""
        pending: PendingCalls = {}
        search: asyncio.Future[None] | None = None  # this claim's own search
        reply = None
        try:
            while reply is None and (remaining_s := self._remaining_s(until_us)) > 0:
                if self._search is not search:
                    reply = await self._wait_for_search(pending, remaining_s)
                    continue
                reply = await self._try_once(claim, pending, min(remaining_s, HEDGE_DELAY_S))
                if reply is None and self._search is None:
                    search = self._search = asyncio.get_running_loop().create_future()
        finally:
            if search is not None:
                self._search = None
                search.set_result(None)
            for call in pending:
                call.cancel()
        self._update_metrics(claim, reply)
        return ClaimResult(reply.attempt, reply.owner) if reply is not None else None

    def _remaining_s(self, until_us: int) -> float:
        return (until_us - self._context.now_us()) / SECOND

    async def _wait_for_search(
        self, pending: PendingCalls, timeout_s: float
    ) -> rpc_messages.ClaimReply | None:
        """Wait for the end of another claim's search, or a reply to an earlier call of this claim."""
        assert self._search is not None
        await asyncio.wait({self._search, *pending}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        return self._process_replies(pending)

    async def _try_once(
        self, claim: Claim, pending: PendingCalls, timeout_s: float
    ) -> rpc_messages.ClaimReply | None:
        """Call the probable leader once; return a reply, to this or an earlier call, that names the holder.

        Recording the same claim twice is harmless.
        """
        self._send(claim, pending)
        if pending:
            finished, _ = await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if not finished:
                # None of the called controllers replied; the calls stay pending.
                for address in pending.values():
                    self._target.on_reply(address, None)
        reply = self._process_replies(pending)
        if reply is None:
            await asyncio.sleep(RETRY_DELAY_S)
        return reply

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
        """Return the first finished reply that names the key's holder, if there is one."""
        for call in [call for call in pending if call.done()]:
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
