"""Operators of the simulated control plane, and the history of their operations."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.network import Endpoint
from lapisgrade.lab.simulation.operator_call import OPERATOR_PORT, CallReply, OperatorCall
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, Process

REPLY_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 40  # maximum attempts to send a change, whose outcome then remains unknown
REJECTED_STATUSES = (400, 409, 412, 413, 422)  # final statuses, which end the retries of a change
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.5
BACKOFF_FACTOR = 1.6
READ_RATE = 0.4  # fraction of an operator's calls that are reads
SAME_FORMAT_RATE = 0.7  # fraction of the sends of a change whose JSON is not reformatted
DELTA_RATE = 0.7  # fraction of the changes that are deltas; the others are complete configurations
MAX_RESEND_DELAY_S = 3  # maximum time from the final reply to a change until it is sent again
UPDATE_CALL = "conf.update"
REPLACE_CALL = "conf.replace"


@dataclass(slots=True)
class Operation:
    """One change or read, as observed by its caller."""

    kind: str  # "change" or "read"
    called_us: int
    returned_us: int | None = None  # None until a final reply
    status: int = 0  # HTTP status of the final reply; 0 until then
    version: int = 0  # version of the change, or version that was read; 0 if there is none
    base: int = 0  # version that the change is based on
    text: bytes = b""  # the body of the change, or the configuration that was read


async def call_any(cluster: Cluster, endpoint: Endpoint, call: str, body: bytes) -> CallReply | None:
    """Call a random machine, except removed ones; return None if there is no reply."""
    machines = [each for each in cluster.machines.values() if not each.is_removed]
    machine = cluster.loop.random.choice(machines)
    result = await endpoint.call((machine.ip, OPERATOR_PORT), OperatorCall(call, "", body), REPLY_TIMEOUT_S)
    reply = result.value_or(None)
    return reply if isinstance(reply, CallReply) else None


class Client:
    """A client process on its own host, which no partition affects."""

    def __init__(self, cluster: Cluster, name: str, host: str) -> None:
        self.cluster = cluster
        self.loop = cluster.loop
        self.random = cluster.loop.random
        self.process = Process(name)
        cluster.processes.append(self.process)
        self.endpoint = Endpoint(cluster.network, self.process, host, self._on_call, lambda message: None)

    async def _on_call(self, message: object) -> None:
        return None

    async def run(self) -> None:
        """Run the client."""
        raise NotImplementedError

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Start a task in the client's process."""
        token = CURRENT_PROCESS.set(self.process)
        try:
            return self.loop.create_task(work)
        finally:
            CURRENT_PROCESS.reset(token)


class Operator(Client):
    """Sends changes based on the newest version it has seen, and reads between them.

    A change is retried until a final reply.

    Attributes:
        known_version: The newest version that it has seen.
        lost_reply_rate: Fraction of the replies to changes that the operator ignores.
        max_consecutive_reads: Maximum number of reads between two changes; None for no limit.
        resend_rate: Fraction of the changes that are sent again some time after their final reply.
    """

    def __init__(
        self,
        cluster: Cluster,
        number: int,
        history: list[Operation],
        routes: int = 3,
        max_pause_s: float = 0.4,
    ) -> None:
        """Create an operator.

        Args:
            cluster: The cluster that it calls.
            number: Its number, which its address contains.
            history: Receives its operations.
            routes: Number of rules in its complete configurations.
            max_pause_s: Maximum seconds between its calls.
        """
        super().__init__(cluster, f"operator {number}", f"10.1.0.{number}")
        self.number = number
        self.history = history
        self.routes = routes
        self.known_version = 0
        self.max_pause_s = max_pause_s
        self.lost_reply_rate = 0.2
        self.max_consecutive_reads: int | None = None
        self.resend_rate = 0.2

    async def run(self) -> None:
        """Send changes and reads in an endless loop."""
        reads = 0
        while True:
            await asyncio.sleep(self.random.random() * self.max_pause_s)
            if self.random.random() < READ_RATE and reads != self.max_consecutive_reads:
                reads += 1
                await self.read()
            else:
                reads = 0
                await self.change()

    def make_change(self, version: int, base: int) -> tuple[str, bytes]:
        """Return the call and body of a change, which differs from any other change to that version."""
        services = [{"Name": "svc"}, {"Name": f"mark-{self.number}-{self.loop.now_us}"}]
        if base and self.random.random() < DELTA_RATE:
            delta = {"Ver": version, "Base": base, "Upsert": {"Pools": services[1:]}}
            return UPDATE_CALL, msgspec.json.encode(delta)
        rules = [
            {
                "Name": f"r{i}",
                "Match": {"Pfx": f"/p{i}/"},
                "Action": {"Svc": "svc", "Timeout": f"{1 + version % 9}s"},
            }
            for i in range(self.routes)
        ]
        ports = [{"Vhost": "a.example", "Policy": rules}]
        configuration = {"Ver": version, "Base": base, "Ports": ports, "Pools": services}
        return REPLACE_CALL, msgspec.json.encode(configuration)

    async def change(self) -> None:
        """Send a change until a final reply, at most `MAX_ATTEMPTS` times; then read if there was none."""
        base = self.known_version
        version = base + 1 + self.random.randrange(2)
        call, body = self.make_change(version, base)
        operation = Operation("change", self.loop.now_us, version=version, base=base, text=body)
        self.history.append(operation)
        backoff_s = FIRST_BACKOFF_S
        for _ in range(MAX_ATTEMPTS):
            reply = await call_any(self.cluster, self.endpoint, call, self.reformat(body))
            is_lost = self.random.random() < self.lost_reply_rate
            if (
                reply is not None
                and not is_lost
                and (reply.status == 200 or reply.status in REJECTED_STATUSES)
            ):
                await self._on_final_reply(operation, call, body, reply.status)
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)
        await self.read()

    async def _on_final_reply(self, operation: Operation, call: str, body: bytes, status: int) -> None:
        operation.status = status
        operation.returned_us = self.loop.now_us
        if status == 200:
            self.known_version = max(self.known_version, operation.version)
        else:
            await self.read()
        if self.random.random() < self.resend_rate:
            await self.resend(operation, call, body)

    def reformat(self, body: bytes) -> bytes:
        """Return the same change, sometimes with another order of keys and other white space."""
        if self.random.random() < SAME_FORMAT_RATE:
            return body
        fields = msgspec.json.decode(body)
        return msgspec.json.format(msgspec.json.encode(dict(reversed(fields.items()))), indent=1)

    async def resend(self, operation: Operation, call: str, body: bytes) -> None:
        """Send a change again some time after its reply, and check that the outcome is the same."""
        await asyncio.sleep(self.random.random() * MAX_RESEND_DELAY_S)
        reply = await call_any(self.cluster, self.endpoint, call, self.reformat(body))
        if reply is None or reply.status >= 500:
            return
        if operation.status == 200 and reply.status != 200:
            self.cluster.invariants.report_violation(
                f"version {operation.version} was accepted, and is rejected when sent again: {reply.status}"
            )
        if operation.status != 200 and reply.status == 200:
            self.cluster.invariants.report_violation(
                f"version {operation.version} was rejected, and is accepted when sent again"
            )

    async def read(self) -> None:
        """Read the configuration; a read without a reply is not added to the history."""
        operation = Operation("read", self.loop.now_us)
        reply = await call_any(self.cluster, self.endpoint, "conf.show", b"")
        if reply is None or reply.status not in (200, 404):
            return
        operation.returned_us = self.loop.now_us
        operation.status = reply.status
        if reply.status == 200:
            operation.text = reply.body
            operation.version = msgspec.json.decode(reply.body)["Ver"]
        self.history.append(operation)
        self.known_version = max(self.known_version, operation.version)
