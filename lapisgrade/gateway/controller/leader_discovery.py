"""Discovers the leader, and makes this controller's node join and leave the cluster.

A controller with a disk learns the leader from its consensus node; one without a disk queries the controllers
in its settings. A node that has no leader, or is not a voter, sends join requests to all controllers whose
addresses it has. A node that shuts down requests that the leader remove it from the voters.
"""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.consensus.membership import MIN_VOTERS
from lapisgrade.gateway.consensus.messages import JoinRequest, LeaveRequest
from lapisgrade.gateway.consensus.messages import Message as ConsensusMessage
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Address, Settings, parse_address

MAX_KNOWN_VOTERS = 64  # maximum number of voters remembered by a controller without a disk
DISCOVERY_TIMEOUT_S = 0.2  # time-out of a query for the leader's address
JOIN_INTERVAL_S = 0.3  # average interval between join requests
LEAVE_TIMEOUT_S = 0.6  # maximum time that a node waits at shutdown to be removed from the voters
LEAVE_INTERVAL_S = LEAVE_TIMEOUT_S / 12  # interval between leave requests


class LeaderDiscovery:
    """Provides the leader's address."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        rpc: RpcEndpoint,
        settings: Callable[[], Settings],
        random: Random,
    ) -> None:
        """`settings` returns the current settings, which SIGHUP reloads."""
        self._consensus = consensus
        self._rpc = rpc
        self._settings = settings
        self._random = random
        self._own_address = settings().internal_address(0)
        # Reported by other controllers; used only while there is no node.
        self._leader_hint = ""
        self._known_voters: list[Address] = []

    def remote_leader_address(self) -> str:
        """Return the leader's address; empty if it is unknown, or is this controller's own."""
        node = self._consensus.node
        leader = node.leader_address if node is not None else self._leader_hint
        return leader if leader != str(self._own_address) else ""

    async def discover_leader(self) -> None:
        """Query another controller for the leader, if this one has no node.

        Those in the settings may have no disk either, and then know no more than this one.
        """
        if self._consensus.node is not None:
            return
        controllers = [Address((peer[0], self._own_address[1])) for peer in self._settings().peers]
        others = {address for address in (*controllers, *self._known_voters) if address != self._own_address}
        address = self._random.choice(sorted(others) or [self._own_address])
        # Without a proxy's name, so that a leader does not record this controller as a proxy.
        request = rpc_messages.WatchRequest("", "", "", "", 0, "", 0, 0)
        result = await self._rpc.call(address, request, DISCOVERY_TIMEOUT_S)
        reply = result.value_or(None)
        if isinstance(reply, rpc_messages.WatchReply):
            self._leader_hint = str(address) if reply.is_leader else reply.leader_address
            self._known_voters = _parse_addresses(reply.controllers) or self._known_voters

    def known_voters(self) -> list[str]:
        """Return the addresses of the voters that another controller reported; empty if there is a node."""
        return [str(address) for address in self._known_voters] if self._consensus.node is None else []


def _parse_addresses(texts: list[str]) -> list[Address]:
    """Return up to `MAX_KNOWN_VOTERS` of the addresses, without those that are invalid."""
    addresses = []
    for text in texts[:MAX_KNOWN_VOTERS]:
        with contextlib.suppress(ValueError):
            addresses.append(parse_address(text))
    return addresses


class ClusterMembership:
    """Makes this controller's node join the voters, and leave them at shutdown."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        send: Callable[[str, ConsensusMessage], None],
        settings: Callable[[], Settings],
        clock: Callable[[], int],
        random: Random,
    ) -> None:
        """`send` posts a message; `settings` returns the current ones; `clock` the monotonic time in us."""
        self._consensus = consensus
        self._send = send
        self._settings = settings
        self._clock = clock
        self._random = random
        self._port = settings().internal_address(0)[1]  # the same for all controllers

    async def run_join_requests(self) -> None:
        """Send join requests whenever the node has no leader or is not a voter, until cancelled.

        Start the driver first.
        """
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S * (0.5 + self._random.random()))
            node = self._consensus.started_node
            needs_join = not node.is_leader and (not node.leader or node.identity not in node.voters)
            if needs_join and not node.is_stopping:
                self._request_join()

    def _request_join(self) -> None:
        """Send join requests to the controllers in the settings, the voters and the last leader."""
        node = self._consensus.started_node
        addresses = {f"{peer[0]}:{self._port}" for peer in self._settings().peers}
        addresses |= set(node.voters.values())
        addresses |= {node.leader_address}
        for address in sorted(addresses - {node.address, ""}):
            self._send(address, JoinRequest(node.identity, node.address))

    async def leave(self) -> None:
        """Transfer leadership, and request removal from the voters while there are more than `MIN_VOTERS`.

        Gives up after `LEAVE_TIMEOUT_S`.
        """
        node = self._consensus.node
        if node is None:
            return
        self._consensus.step_down()
        deadline_us = self._clock() + int(LEAVE_TIMEOUT_S * SECOND)
        while self._is_removable_voter() and self._clock() < deadline_us:
            if node.leader_address:
                self._send(node.leader_address, LeaveRequest(node.identity))
            await asyncio.sleep(LEAVE_INTERVAL_S)

    def _is_removable_voter(self) -> bool:
        """Return whether the node is a voter, and enough others remain without it."""
        node = self._consensus.node
        return node is not None and len(node.voters) > MIN_VOTERS and node.identity in node.voters
