"""Proxies that claim operation keys of the simulated control plane, while faults are injected into it.

Each client sends a claim until it is answered or given up, runs the operation where its attempt holds the
key, and otherwise takes the key over from an attempt that is known never to run. No operation may run twice,
and the table's clock may never count more time than has passed.
"""

import asyncio
from random import Random

from lapisgrade.gateway.operations.table import Claim
from lapisgrade.gateway.rpc_messages import ClaimReply, ClaimRequest
from lapisgrade.lab.simulation.clients import Client
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.log_limits import log_limits
from lapisgrade.lab.simulation.operator_call import RPC_PORT

CLAIM_CLIENTS = 4
CLAIM_TIMEOUT_S = 0.6
CLAIM_RETRY_DELAY_S = 0.05
MAX_SENDS = 8  # of one claim; then the attempt gives up and never runs
MAX_TAKE_OVERS = 3
MAX_PAUSE_S = 0.1
NOT_RUN_RATE = 0.4  # of the attempts that hold their key
KEYS = 6  # that are claimed at the same time
KEY_LIFETIME_US = 1_000_000  # after which others are claimed; far below the window


class ClaimBook:
    """What all clients know together: which operations ran, and which attempts never will."""

    def __init__(self) -> None:
        self.runs: dict[str, str] = {}  # attempt by key
        self.not_run: set[str] = set()
        self.answered = 0  # claims

    def run(self, cluster: Cluster, key: str, attempt: str) -> None:
        """Run an operation, which no other attempt may have run."""
        first = self.runs.setdefault(key, attempt)
        if first != attempt:
            cluster.invariants.report_violation(f"{key} is run by {first} and by {attempt}")


class ClaimClient(Client):
    """A proxy that is sent requests with operation keys, the same as the other clients."""

    def __init__(self, cluster: Cluster, number: int, book: ClaimBook) -> None:
        super().__init__(cluster, f"claimer {number}", f"10.3.0.{number}")
        self.number = number
        self.book = book
        self.leader_address = ""
        self._attempts = 0

    async def run(self) -> None:
        """Claim keys for ever."""
        while True:
            await asyncio.sleep(self.random.random() * MAX_PAUSE_S)
            self._check_clocks()
            period = self.loop.now_us // KEY_LIFETIME_US
            await self._attempt(f"k-{period}-{self.random.randrange(KEYS)}")

    async def _attempt(self, key: str) -> None:
        """Make one attempt at an operation, as often in place of another as one never runs."""
        self._attempts += 1
        attempt = f"{self.number}-{self._attempts}"
        replaces = ""
        for _ in range(MAX_TAKE_OVERS):
            holder = await self._claim(Claim("sfax", key, attempt, f"10.3.0.{self.number}:7600", replaces))
            if holder == attempt and self.random.random() >= NOT_RUN_RATE:
                return self.book.run(self.cluster, key, attempt)
            if holder not in self.book.not_run or holder == attempt:
                break
            replaces = holder
        self.book.not_run.add(attempt)

    async def _claim(self, claim: Claim) -> str:
        """Return the attempt that holds the key; empty where that isn't known."""
        for _ in range(MAX_SENDS):
            reply = await self._send(claim)
            if reply.is_known:
                self.book.answered += 1
                return reply.attempt
            await asyncio.sleep(CLAIM_RETRY_DELAY_S)
        return ""

    async def _send(self, claim: Claim) -> ClaimReply:
        address = self.leader_address or self._random_address()
        host, _, port = address.rpartition(":")
        result = await self.endpoint.call((host, int(port)), ClaimRequest(claim), CLAIM_TIMEOUT_S)
        reply = result.value_or(None)
        if not isinstance(reply, ClaimReply):
            reply = ClaimReply(False)
        self.leader_address = address if reply.is_known else reply.leader_address
        return reply

    def _random_address(self) -> str:
        machines = [each for each in self.cluster.machines.values() if not each.is_removed]
        return f"{self.random.choice(machines).ip}:{RPC_PORT}"

    def _check_clocks(self) -> None:
        for machine in self.cluster.running_machines():
            counted_us = machine.controller.state_machine.state.operations.clock_us
            if counted_us > self.loop.now_us - self.cluster.started_us:
                self.cluster.invariants.report_violation(f"{machine.name} has counted {counted_us} us")


class ClaimSimulation(ControlPlaneSimulation):
    """The control plane with clients that claim operation keys."""

    def __init__(self, seed: int, size: int, tolerate: int) -> None:
        super().__init__(seed, size, tolerate, operators=1)
        self.book = ClaimBook()
        self.claim_clients = [ClaimClient(self.cluster, i, self.book) for i in range(CLAIM_CLIENTS)]
        for client in self.claim_clients:
            client.start_task(client.run())

    def _stop_changes(self) -> None:
        super()._stop_changes()
        for client in self.claim_clients:
            client.process.is_alive = False


def simulate_claims(seed: int) -> ClaimSimulation:
    """Run a simulation whose size and faults the seed draws, with short logs, so that snapshots occur."""
    random = Random(seed)
    size, tolerate = random.choice(((3, 1), (5, 1), (6, 2)))
    with log_limits(random.choice((2, 6, 24)), random.choice((300, 65_536))):
        simulation = ClaimSimulation(seed, size, tolerate)
        simulation.start()
        simulation.inject_random_faults(random.randrange(4, 8))
        simulation.finish()
    return simulation
