"""A simulated server, which registers with heartbeats, drains and deregisters."""

import asyncio
from collections.abc import Callable

import msgspec

from lapisgrade.lab.simulation.clients import REPLY_TIMEOUT_S, Client
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.operator_call import OPERATOR_PORT, CallReply, OperatorCall
from lapisgrade.lab.simulation.virtual_loop import SECOND

HEARTBEAT_INTERVAL_S = 1.3  # mean interval, as in the processes' settings (`machine.process_settings`)
DRAIN_DURATION_S = 3.0  # time from the acknowledgement of a server's departure to its end
LATE_DUPLICATE_RATE = 0.1  # fraction of the calls of which a duplicate arrives late
MAX_DUPLICATE_DELAY_S = 3.0
NO_DRAIN_RATE = 0.3  # fraction of the servers that deregister without draining
MIN_LIFETIME_S = 4.0  # minimum time from a server's registration to its departure
LIFETIME_SPREAD_S = 30  # difference between the longest and the shortest lifetime


class SimulatedServer(Client):
    """A server that sends heartbeats, drains, and ends after its departure is acknowledged.

    Attributes:
        id: Its id in the server registry.
        departure_acknowledged_us: Time at which its drain, or its deregistration without a drain, was
            acknowledged; 0 before.
        has_ended: Whether it refuses connections.
    """

    def __init__(self, cluster: Cluster, number: int, on_ended: Callable[[], None]) -> None:
        super().__init__(cluster, f"server {number}", f"10.4.0.{number}")
        self.id = f"i-{number}"
        self.departure_acknowledged_us = 0
        self.has_ended = False
        self._on_ended = on_ended
        self._sequence = 0

    async def run(self) -> None:
        """Run the server from its registration to its end."""
        lifetime_s = MIN_LIFETIME_S + self.random.random() * LIFETIME_SPREAD_S
        started_us = self.loop.now_us
        while self.loop.now_us - started_us < lifetime_s * SECOND:
            await self.call("servers.heartbeat", "up")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self.random.random()))
        skips_drain = self.random.random() < NO_DRAIN_RATE
        while not await self.call("servers.deregister" if skips_drain else "servers.heartbeat", "drain"):
            await asyncio.sleep(0.2)
        self.departure_acknowledged_us = self.loop.now_us
        self.cluster.note(f"{self.id}: departure acknowledged")
        await asyncio.sleep(DRAIN_DURATION_S)
        if not skips_drain:
            await self.call("servers.deregister", "drain")
        self.has_ended = True
        self._on_ended()

    async def call(self, name: str, state: str) -> bool:
        """Call a random controller; return whether it acknowledged the call.

        Args:
            name: Name of the call.
            state: State of the server in the call's body.
        """
        self._sequence += 1
        body = {
            "Svc": "svc",
            "Addr": f"{self.endpoint.host}:8080",
            "Az": "z",
            "Ver": "v",
            "Slots": 50,
            "State": state,
            "Warmup_time": "0ms",
            "Seq": self._sequence,
        }
        machine = self.random.choice([each for each in self.cluster.machines.values() if not each.is_removed])
        message = OperatorCall(name, self.id, msgspec.json.encode(body))
        if self.random.random() < LATE_DUPLICATE_RATE:
            delay_us = round(self.random.random() * MAX_DUPLICATE_DELAY_S * SECOND)
            self.loop.schedule(delay_us, None, self._deliver_duplicate, machine, message)
        result = await self.endpoint.call((machine.ip, OPERATOR_PORT), message, REPLY_TIMEOUT_S)
        reply = result.value_or(None)
        return isinstance(reply, CallReply) and reply.status == 200

    def _deliver_duplicate(self, machine: Machine, message: OperatorCall) -> None:
        """Deliver a late duplicate of a call, and ignore the reply."""
        self.start_task(self._send_once(machine, message))

    async def _send_once(self, machine: Machine, message: OperatorCall) -> None:
        await self.endpoint.call((machine.ip, OPERATOR_PORT), message, REPLY_TIMEOUT_S)
