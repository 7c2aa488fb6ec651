"""Proxies that claim operation keys from the simulated control plane, under faults.

Each client sends a claim until it gets a reply or gives up. It runs the operation if its attempt owns the
key, and otherwise takes the key over from an attempt that is known never to run. No operation may run twice,
and the operation table's clock may never count more time than has passed.
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
MAX_CLAIM_SENDS = 8  # maximum number of sends of a claim; then the attempt never runs
MAX_TAKE_OVERS = 3  # maximum number of different claims of an attempt; all but the first are take-overs
MAX_PAUSE_S = 0.1  # maximum pause of a client between its attempts
NEVER_RUN_RATE = 0.4  # fraction of the attempts that own their key and still never run
KEYS = 6  # number of keys that are claimed concurrently
KEY_LIFETIME_US = 1_000_000  # time until a new set of keys is claimed; far below the idempotency window


class ClaimHistory:
    """The common knowledge of all clients: which operations ran, and which attempts never run."""

    def __init__(self) -> None:
        self.runs: dict[str, str] = {}  # attempt by key
        self.never_run: set[str] = set()
        self.answered = 0  # number of claims whose outcome a client knows

    def run(self, cluster: Cluster, key: str, attempt: str) -> None:
        """Record the run of an operation, and check that no other attempt ran it."""
        first = self.runs.setdefault(key, attempt)
        if first != attempt:
            cluster.invariants.report_violation(f"{key} is run by attempt {first} and by attempt {attempt}")


class ClaimClient(Client):
    """A proxy that receives requests with the same operation keys as the other clients."""

    def __init__(self, cluster: Cluster, number: int, claim_history: ClaimHistory) -> None:
        super().__init__(cluster, f"claimer {number}", f"10.3.0.{number}")
        self.number = number
        self.claim_history = claim_history
        self.leader_address = ""
        self._attempts = 0

    async def run(self) -> None:
        """Claim keys in an endless loop."""
        while True:
            await asyncio.sleep(self.random.random() * MAX_PAUSE_S)
            self._check_clocks()
            key_period = self.loop.now_us // KEY_LIFETIME_US
            await self._attempt(f"k-{key_period}-{self.random.randrange(KEYS)}")

    async def _attempt(self, key: str) -> None:
        """Attempt an operation; take its key over if the attempt that owns the key never runs."""
        self._attempts += 1
        attempt = f"{self.number}-{self._attempts}"
        replaced_attempt = ""
        for _ in range(MAX_TAKE_OVERS):
            holder = await self._claim(
                Claim("sfax", key, attempt, f"10.3.0.{self.number}:7600", replaced_attempt)
            )
            if holder == attempt and self.random.random() >= NEVER_RUN_RATE:
                return self.claim_history.run(self.cluster, key, attempt)
            if holder not in self.claim_history.never_run or holder == attempt:
                break
            replaced_attempt = holder
        self.claim_history.never_run.add(attempt)

    async def _claim(self, claim: Claim) -> str:
        """Return the attempt that owns the key, or an empty string if it isn't known."""
        for _ in range(MAX_CLAIM_SENDS):
            reply = await self._send(claim)
            if reply.is_known:
                self.claim_history.answered += 1
                return reply.attempt
            await asyncio.sleep(CLAIM_RETRY_DELAY_S)
        return ""

    async def _send(self, claim: Claim) -> ClaimReply:
        """Send a claim once, to the leader if it is known; a missing reply counts as an unknown outcome."""
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
        """Check that no operation table's clock counts more time than has passed since the start."""
        for machine in self.cluster.running_machines():
            counted_us = machine.controller.state_machine.state.operations.clock_us
            if counted_us > self.loop.now_us - self.cluster.started_us:
                self.cluster.invariants.report_violation(
                    f"{machine.name}: the operation table counts {counted_us} us, more than have passed"
                )


class ClaimSimulation(ControlPlaneSimulation):
    """The control plane with clients that claim operation keys."""

    def __init__(self, seed: int, size: int, max_lost: int) -> None:
        super().__init__(seed, size, max_lost, operators=1)
        self.claim_history = ClaimHistory()
        self.claim_clients = [ClaimClient(self.cluster, i, self.claim_history) for i in range(CLAIM_CLIENTS)]
        for client in self.claim_clients:
            client.start_task(client.run())

    def _stop_changes(self) -> None:
        super()._stop_changes()
        for client in self.claim_clients:
            client.process.is_alive = False


def simulate_claims(seed: int) -> ClaimSimulation:
    """Run a simulation with a random cluster size, random faults, and short logs, so that snapshots occur."""
    random = Random(seed)
    size, max_lost = random.choice(((3, 1), (5, 1), (6, 2)))
    with log_limits(random.choice((2, 6, 24)), random.choice((300, 65_536))):
        simulation = ClaimSimulation(seed, size, max_lost)
        simulation.start()
        simulation.inject_random_faults(random.randrange(4, 8))
        simulation.finish()
    return simulation
