"""A client of the simulated control plane that watches the configuration like a proxy."""

import asyncio

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.lab.simulation.clients import Client
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.operator_call import RPC_PORT

WATCH_TIMEOUT_S = 0.6
WATCH_RETRY_DELAY_S = 0.05


class WatchClient(Client):
    """Watches the configuration, and checks that versions and fencing tokens never decrease.

    Attributes:
        active_version: Newest active version in a reply of which it has the configuration.
        configurations: Decoded configurations by version, from the active one on.
        leader_address: Address of the leader; empty if it isn't known.
        term: Newest term of a leader's reply.
        needs_full_version: Whether the last reply contained a delta that could not be decoded.
        last_contact_us: Send time of the last watch request whose reply was applied.
    """

    def __init__(self, cluster: Cluster, number: int) -> None:
        super().__init__(cluster, f"limiter {number}", f"10.2.0.{number}")
        self.number = number
        self.active_version = 0
        self.registry_incarnation = ""
        self.registry_revision = 0
        self.fencing_token = 0
        self.configurations: dict[int, bytes] = {}
        self.leader_address = ""
        self.term = 0
        self.needs_full_version = False
        self.last_contact_us = 0

    async def run(self) -> None:
        """Send watch requests in an endless loop."""
        while True:
            await self.poll()

    async def poll(self) -> None:
        """Send a watch request to the leader, or to a random machine if it isn't known; apply the reply."""
        address = self.leader_address or self._random_address()
        host, _, port = address.rpartition(":")
        sent_us = self.loop.now_us
        result = await self.endpoint.call((host, int(port)), self._request(), WATCH_TIMEOUT_S)
        reply = result.value_or(None)
        if not isinstance(reply, rpc_messages.WatchReply) or not reply.is_leader:
            is_reply = isinstance(reply, rpc_messages.WatchReply)
            self.leader_address = reply.leader_address if is_reply else ""
            await asyncio.sleep(WATCH_RETRY_DELAY_S)
            return
        self.leader_address = address
        # The registry's incarnation is the leader's term, with a "+" once the registry is complete.
        term = int(reply.registry_incarnation.rstrip("+"))
        if term < self.term:  # the reply of a former leader
            self.leader_address = ""
            return
        self.term = term
        if self._apply(reply):
            self.last_contact_us = sent_us
            self.registry_incarnation = reply.registry_incarnation
            self.registry_revision = reply.registry_revision
            self.fencing_token = reply.fencing_token

    def _random_address(self) -> str:
        machines = [each for each in self.cluster.machines.values() if not each.is_removed]
        return f"{self.random.choice(machines).ip}:{RPC_PORT}"

    def _request(self) -> rpc_messages.WatchRequest:
        return rpc_messages.WatchRequest(
            f"limiter-{self.number}",
            f"10.2.0.{self.number}:7600",
            "life",
            "z",
            self.active_version,
            self.registry_incarnation,
            self.registry_revision,
            self.fencing_token,
            staged_version=max(self.configurations, default=self.active_version),
            needs_full_version=self.needs_full_version,
        )

    def _apply(self, reply: rpc_messages.WatchReply) -> bool:
        """Apply a leader's reply; return whether its configurations could be decoded."""
        try:
            self.on_reply(reply)
        except InvalidInputError as error:
            if self.needs_full_version:
                self.cluster.invariants.report_violation(
                    f"limiter {self.number} can't decode a full version: {error}"
                )
            self.needs_full_version = True
            return False
        self.needs_full_version = False
        return True

    def on_reply(self, reply: rpc_messages.WatchReply) -> None:
        """Store the configurations in a leader's reply; check that version and token don't decrease."""
        invariants = self.cluster.invariants
        if reply.active_configuration is not None:
            self.store_version(reply.active_configuration)
        for encoded in reply.staged_versions.values():
            if encoded.version not in self.configurations:
                self.store_version(encoded)
        version = reply.active_version
        if version < self.active_version:
            invariants.report_violation(
                f"limiter {self.number} receives active version {version} after {self.active_version}"
            )
        if reply.fencing_token < self.fencing_token:
            invariants.report_violation(
                f"limiter {self.number} receives token {reply.fencing_token} after {self.fencing_token}"
            )
        if version > self.active_version:
            if version in self.configurations:
                self.active_version = version
            self.configurations = {
                stored: text for stored, text in self.configurations.items() if stored >= self.active_version
            }

    def store_version(self, encoded: EncodedVersion) -> None:
        """Decode a configuration, and check that it equals the one in the log."""
        text = decode(encoded, self.configurations.get(encoded.base, b""))
        self.configurations[encoded.version] = text
        logged = self.cluster.invariants.versions.get(encoded.version)
        if logged is None or logged[1] != text:
            self.cluster.invariants.report_violation(
                f"limiter {self.number} has a configuration unlike the log's version {encoded.version}"
            )
