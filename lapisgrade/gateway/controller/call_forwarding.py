"""Executes calls on the leader, locally or by forwarding them."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.leader_calls import LeaderCalls
from lapisgrade.gateway.controller.leader_discovery import LeaderDiscovery
from lapisgrade.gateway.controller.replies import encode_error
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.rpc_connection import MAX_FRAME_BYTES
from lapisgrade.gateway.rpc_messages import ForwardCall, ForwardCallReply
from lapisgrade.gateway.settings import parse_address

LEADER_WAIT_S = 0.7  # maximum time that a call waits until a leader is known
FORWARD_TIMEOUT_S = 0.9  # time-out of one forwarded call to the leader
RETRY_INTERVAL_S = 0.03  # interval between attempts to find the leader
MAX_FORWARDED_BYTES = MAX_FRAME_BYTES - 1024  # maximum size of a forwarded reply's body


class CallForwarder:
    """Executes calls locally while this controller leads; otherwise forwards them to the leader."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        leader_calls: LeaderCalls,
        discovery: LeaderDiscovery,
        rpc: RpcEndpoint,
        clock: Callable[[], int],
    ) -> None:
        """`clock` returns the monotonic time in us."""
        self._consensus = consensus
        self._leader_calls = leader_calls
        self._discovery = discovery
        self._rpc = rpc
        self._clock = clock

    async def forward(self, call: str, subject: str, body: bytes) -> ForwardCallReply:
        """Return the leader's reply; 503 if no leader has replied after `LEADER_WAIT_S`.

        A call that fails before that is sent again.
        """
        deadline_us = self._clock() + int(LEADER_WAIT_S * SECOND)
        while True:
            if self._consensus.is_leader():
                return await self._leader_calls.execute(call, subject, body)
            leader_address = self._discovery.remote_leader_address()
            if leader_address:
                reply = await self._call_leader(leader_address, ForwardCall(call, subject, body))
                if reply is not None:
                    return reply
            await self._discovery.discover_leader()
            if self._clock() > deadline_us:
                return encode_error(HTTPStatus.SERVICE_UNAVAILABLE, "no leader is known")
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call_leader(self, address: str, call: ForwardCall) -> ForwardCallReply | None:
        """Return the reply; None if the call fails, or the called controller does not lead (503, no body)."""
        result = await self._rpc.call(parse_address(address), call, FORWARD_TIMEOUT_S)
        reply = result.value_or(None)
        if not isinstance(reply, ForwardCallReply):
            return None
        is_refused = reply.status == HTTPStatus.SERVICE_UNAVAILABLE and not reply.body
        return None if is_refused else reply

    async def execute_as_leader(self, call: ForwardCall) -> ForwardCallReply:
        """Execute a call that another controller forwarded; 503 if this one doesn't lead.

        The reply is 500 if it would be too long for a frame; the caller then tries other controllers, among
        them this one.
        """
        if not self._consensus.is_leader():
            return ForwardCallReply(HTTPStatus.SERVICE_UNAVAILABLE)
        reply = await self._leader_calls.execute(call.call, call.subject, call.body)
        if len(reply.body) > MAX_FORWARDED_BYTES:
            message = f"{len(reply.body)} bytes are too many to be forwarded: call the leader itself"
            return encode_error(HTTPStatus.INTERNAL_SERVER_ERROR, message)
        return reply
