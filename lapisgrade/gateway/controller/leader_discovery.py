"""Finds the leader, and keeps this controller's node a member of the cluster.

A controller with a disk knows the leader from its node; one without a disk asks the controllers that its
settings name. A node that hears no leader, or is no voter, offers itself to every controller it knows of;
one that shuts down asks the leader to be removed from the voters.
"""

import asyncio
from collections.abc import Callable
from random import Random

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.consensus.membership import MIN_VOTERS
from lapisgrade.gateway.consensus.messages import JoinRequest, LeaveRequest
from lapisgrade.gateway.consensus.messages import Message as ConsensusMessage
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Address, Settings

DISCOVERY_TIMEOUT_S = 0.2  # that a controller may take to say who leads
JOIN_INTERVAL_S = 0.3  # between two join requests, on average
LEAVE_TIMEOUT_S = 0.6  # that a node which shuts down waits to be removed from the voters
LEAVE_INTERVAL_S = LEAVE_TIMEOUT_S / 12  # between two leave requests


class LeaderDiscovery:
    """Knows, or asks for, the leader's address."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        rpc: RpcEndpoint,
        settings: Callable[[], Settings],
        random: Random,
    ) -> None:
        """`settings` returns those in force, which a SIGHUP replaces."""
        self._consensus = consensus
        self._rpc = rpc
        self._settings = settings
        self._random = random
        self._own_address = settings().internal_address(0)
        self._leader_hint = ""  # what another controller said, where this one has no node

    def remote_leader_address(self) -> str:
        """Return the leader's address as far as it is known; empty if unknown, or this controller's own."""
        node = self._consensus.node
        leader = node.leader_address if node is not None else self._leader_hint
        return leader if leader != str(self._own_address) else ""

    async def discover_leader(self) -> None:
        """Ask another controller who leads, if this one has no node to tell."""
        if self._consensus.node is not None:
            return
        seeds = [Address((peer[0], self._own_address[1])) for peer in self._settings().peers]
        others = [address for address in seeds if address != self._own_address]
        address = self._random.choice(others or [self._own_address])
        request = rpc_messages.WatchRequest("", "", "", "", 0, "", 0, 0)
        result = await self._rpc.call(address, request, DISCOVERY_TIMEOUT_S)
        reply = result.value_or(None)
        if isinstance(reply, rpc_messages.WatchReply):
            self._leader_hint = str(address) if reply.is_leader else reply.leader_address


class ClusterMembership:
    """Has this controller's node join the voters, and leave them at a shutdown."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        send: Callable[[str, ConsensusMessage], None],
        settings: Callable[[], Settings],
        clock: Callable[[], int],
        random: Random,
    ) -> None:
        """`send` posts a message to an address; `settings` returns those in force; `clock` tells us."""
        self._consensus = consensus
        self._send = send
        self._settings = settings
        self._clock = clock
        self._random = random
        self._port = settings().internal_address(0)[1]  # of every controller

    async def run_join_requests(self) -> None:
        """Request to join whenever the node needs to, until cancelled. The driver must be started."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S * (0.5 + self._random.random()))
            node = self._consensus.started_node
            has_no_leader = not node.is_leader and (not node.leader or node.identity not in node.voters)
            if has_no_leader and not node.is_stopping:
                self._request_join()

    def _request_join(self) -> None:
        """Offer the node to all controllers that settings, the log or the leader's last message name."""
        node = self._consensus.started_node
        addresses = {f"{peer[0]}:{self._port}" for peer in self._settings().peers}
        addresses |= set(node.voters.values())
        addresses |= {node.leader_address}
        for address in sorted(addresses - {node.address, ""}):
            self._send(address, JoinRequest(node.identity, node.address))

    async def leave(self) -> None:
        """Hand leadership over, and wait a while to be removed where enough other voters are left."""
        node = self._consensus.node
        if node is None:
            return
        self._consensus.step_down()
        ends_us = self._clock() + int(LEAVE_TIMEOUT_S * SECOND)
        while self._is_removable_voter() and self._clock() < ends_us:
            if node.leader_address:
                self._send(node.leader_address, LeaveRequest(node.identity))
            await asyncio.sleep(LEAVE_INTERVAL_S)

    def _is_removable_voter(self) -> bool:
        node = self._consensus.node
        return node is not None and len(node.voters) > MIN_VOTERS and node.identity in node.voters
