"""A fault schedule for the time until acknowledged changes take effect.

Operators send changes in quick succession while proxies are slow or freeze, and while leaders change. Each
acknowledged change must be active at all other proxies within `Apply`. Leaders are restarted gracefully, so
that they transfer their leadership and no change waits for an election.
"""

import asyncio
from collections.abc import Callable

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.virtual_loop import SECOND
from lapisgrade.lab.simulation.watch_client import WatchClient

APPLY_US = 2_500_000  # maximum time from an acknowledgement until all proxies in contact act by the change
CONTROLLERS, MAX_LOST = 5, 2  # of which two may be restarting at once
OPERATORS = 3
MAX_PAUSE_S = 0.06  # of an operator between its calls
CHANGES_S = 9.0  # duration of the changes
OBSERVED_CLIENTS = 2
FREEZING_CLIENTS = 4
FREEZE_S = 2.6  # above `watch.PROXY_TIMEOUT_US`
FREEZE_INTERVAL_S = 1.1
SLOW_POLL_S = 0.2
LEADER_INTERVAL_S = 0.75  # two terms end within `version_activation.ACTIVATION_TIMEOUT_US`
RESTART_S = 2.0  # time from the stop of a controller to its start


class ObservedWatchClient(WatchClient):
    """Records when each version became active.

    Attributes:
        activations: Time (us) and version of each activation, in order.
    """

    def __init__(self, cluster: Cluster, number: int) -> None:
        super().__init__(cluster, number)
        self.activations: list[tuple[int, int]] = []

    def on_reply(self, reply: rpc_messages.WatchReply) -> None:
        """Apply a reply, and record an activation."""
        before = self.active_version
        super().on_reply(reply)
        if self.active_version > before:
            self.activations.append((self.loop.now_us, self.active_version))

    def active_since_us(self, version: int) -> int | None:
        """Return when this or a newer version became active; None if none is."""
        return next((at_us for at_us, active in self.activations if active >= version), None)


class SlowWatchClient(WatchClient):
    """A proxy in contact with the leader that never completes the staging of a version."""

    async def poll(self) -> None:
        """Send a watch request after a pause."""
        await asyncio.sleep(SLOW_POLL_S)
        await super().poll()

    def _request(self) -> rpc_messages.WatchRequest:
        return msgspec.structs.replace(super()._request(), staged_version=self.active_version)


class ActivationSimulation(ControlPlaneSimulation):
    """A control plane whose proxies' activations are compared with the acknowledgements."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, CONTROLLERS, MAX_LOST, OPERATORS, max_pause_s=MAX_PAUSE_S)
        self.cluster.network.loss_rate = 0.0  # the bound is for proxies whose links are intact
        for operator in self.operators:
            operator.max_consecutive_reads = 0
            operator.lost_reply_rate = operator.resend_rate = 0.0
        self.observed = [ObservedWatchClient(self.cluster, 10 + i) for i in range(OBSERVED_CLIENTS)]
        self.freezing = [WatchClient(self.cluster, 20 + i) for i in range(FREEZING_CLIENTS)]
        for client in (*self.observed, *self.freezing):
            client.start_task(client.run())

    def start_slow_client(self) -> None:
        """Start a proxy that never stages a version in time."""
        client = SlowWatchClient(self.cluster, 30)
        client.start_task(client.run())

    def freeze_clients(self) -> None:
        """Freeze proxies one after another; their freezes overlap."""
        for number, client in enumerate(self.freezing):
            at_us = round(number * FREEZE_INTERVAL_S * SECOND)
            self.loop.schedule(at_us, None, self._freeze, client)

    def _freeze(self, client: WatchClient) -> None:
        self.cluster.note(f"limiter {client.number} is frozen for {FREEZE_S} s")
        client.process.frozen_until_us = self.loop.now_us + round(FREEZE_S * SECOND)

    def restart_leader_twice(self) -> None:
        """Stop the leader gracefully, and its successor soon after; start them again later."""
        for _ in range(2):
            leader = self.cluster.leader()
            if leader is not None:
                leader.stop()
                self.faults.call_after(RESTART_S, leader.start)
            self.loop.run_for(LEADER_INTERVAL_S)

    def check_activations(self, until_us: int) -> None:
        """Check the changes that were acknowledged before `until_us`."""
        for operation in self.history:
            is_acknowledged = operation.kind == "change" and operation.status == 200
            if not is_acknowledged or operation.returned_us is None or operation.returned_us > until_us:
                continue
            for client in self.observed:
                self._check_activation(client, operation.version, operation.returned_us)

    def _check_activation(self, client: ObservedWatchClient, version: int, acknowledged_us: int) -> None:
        active_us = client.active_since_us(version)
        delay_us = (self.loop.now_us if active_us is None else active_us) - acknowledged_us
        if delay_us > APPLY_US:
            self.cluster.invariants.report_violation(
                f"limiter {client.number} has version {version} {delay_us / SECOND:.2f} s after its "
                "acknowledgement"
            )


def _slow_proxy(simulation: ActivationSimulation) -> None:
    simulation.start_slow_client()
    simulation.loop.run_for(CHANGES_S)


def _frozen_proxies(simulation: ActivationSimulation) -> None:
    simulation.freeze_clients()
    simulation.loop.run_for(CHANGES_S)


def _leader_restarts(simulation: ActivationSimulation) -> None:
    simulation.start_slow_client()
    for _ in range(3):
        simulation.loop.run_for(simulation.random.random())
        simulation.restart_leader_twice()
        simulation.loop.run_for(2.0)


FAULTS: dict[str, Callable[[ActivationSimulation], None]] = {
    "slow-proxy": _slow_proxy,
    "frozen-proxies": _frozen_proxies,
    "leader-restarts": _leader_restarts,
}
"""The faults during which changes are sent, by name."""


def simulate_activations(seed: int, fault: str) -> ActivationSimulation:
    """Run a simulation of changes in quick succession during a fault, and check its activations."""
    simulation = ActivationSimulation(seed)
    simulation.start()
    FAULTS[fault](simulation)
    simulation.check_activations(simulation.loop.now_us - APPLY_US)
    simulation.finish()
    return simulation
