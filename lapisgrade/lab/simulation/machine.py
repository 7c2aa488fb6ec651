"""A simulated machine: a disk, and at most one process, which runs the production code of a controller."""

from random import Random
from typing import Protocol

from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.controller.consensus_driver import ConsensusObserver
from lapisgrade.gateway.controller.server import Controller, ControllerEnvironment, ControllerStorage
from lapisgrade.gateway.settings import Address, Bind, Settings, Span
from lapisgrade.lab.simulation.disk import Disk
from lapisgrade.lab.simulation.network import Endpoint, Network, OnCall, OnMessage
from lapisgrade.lab.simulation.operator_call import OPERATOR_PORT, RPC_PORT, CallReply, Message, OperatorCall
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, SECOND, Process, VirtualLoop

HEARTBEAT_INTERVAL_US = 1_300_000  # mean interval at which `server.SimulatedServer` sends heartbeats
RPC_PORTS = (RPC_PORT, RPC_PORT + 15)  # first and last port for calls between processes


class ControllerChecks(Protocol):
    """Invariant checks at each step of a controller."""

    def on_started(self, controller: "SimulatedController") -> None:
        """Check a controller that has recovered from its disk."""

    def on_lease_confirmed(self, controller: "SimulatedController") -> None:
        """Check a controller that is about to reply as the leader."""

    def on_entry_applied(self, controller: "SimulatedController", entry: Entry) -> None:
        """Check an entry that a controller has applied."""

    def on_effects_carried_out(self, controller: "SimulatedController", restored: bool) -> None:
        """Check a controller after a step; `restored` if it loaded a snapshot."""


class Environment(Protocol):
    """The cluster that a machine belongs to."""

    loop: VirtualLoop
    network: Network
    processes: list[Process]
    seeds: list[str]

    @property
    def checks(self) -> ControllerChecks:
        """The checks at each step of a controller."""

    def note(self, text: str) -> None:
        """Add a line to the transcript."""


class NoDrafts:
    """A draft store without drafts."""

    def __init__(self) -> None:
        self.drafts: dict = {}

    async def load(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class InvariantObserver(ConsensusObserver):
    """Runs the invariant checks at each step of a controller."""

    def __init__(self, controller: "SimulatedController", checks: ControllerChecks) -> None:
        self._controller = controller
        self._checks = checks

    def on_started(self) -> None:
        """Check a node that has recovered from its disk."""
        self._checks.on_started(self._controller)

    def on_lease_confirmed(self) -> None:
        """Check a leader that is about to reply."""
        self._checks.on_lease_confirmed(self._controller)

    def on_entry_applied(self, entry: Entry) -> None:
        """Check an entry that was applied."""
        self._checks.on_entry_applied(self._controller, entry)

    def on_effects_carried_out(self, restored: bool) -> None:
        """Check the node after a step."""
        self._checks.on_effects_carried_out(self._controller, restored)


class SimulatedController(Controller):
    """A controller in a simulated environment, which also handles operators' calls over the network.

    Attributes:
        operator_endpoint: Receives the calls of operators and servers, in place of the HTTP server.
    """

    def __init__(self, machine: "Machine", settings: Settings, process: Process) -> None:
        cluster = machine.cluster
        self.machine = machine

        def clock() -> int:
            return process.clock_us(cluster.loop.now_us)

        def rpc(on_call: OnCall, on_message: OnMessage) -> Endpoint:
            return Endpoint(cluster.network, process, machine.ip, on_call, on_message)

        environment = ControllerEnvironment(
            clock=clock,
            random=Random(cluster.loop.random.getrandbits(64)),
            started_us=clock(),
            storage=ControllerStorage(machine.disk, NoDrafts(), machine.disk),
            rpc=rpc,
            observer=InvariantObserver(self, cluster.checks),
        )
        super().__init__(settings, environment)
        self.operator_endpoint = Endpoint(
            cluster.network, process, machine.ip, self._on_operator_call, lambda message: None
        )

    async def run(self) -> None:
        """Listen for operators' calls, and run the controller until its shutdown is complete."""
        await self.operator_endpoint.listen((self.settings.ip, OPERATOR_PORT))
        await super().run()

    async def _on_operator_call(self, message: Message) -> Message | None:
        if not isinstance(message, OperatorCall):
            return None
        reply = await self.forwarder.forward(message.call, message.subject, message.body)
        return CallReply(reply.status, reply.body)


class Machine:
    """A host with a disk and at most one controller process.

    Attributes:
        process: The newest process, which may have ended; None before the first start.
        controller: The controller of that process.
        identity: Identity of the node on its disk at its last start.
        lost_until_us: End of its downtime and recovery, until when it counts as lost.
        is_removed: Whether it was replaced by another machine.
    """

    def __init__(self, cluster: Environment, name: str, ip: str) -> None:
        self.cluster = cluster
        self.name = name
        self.ip = ip
        self.disk = Disk(cluster.loop.random)
        self.process: Process | None = None
        self.controller: SimulatedController | None = None
        self.identity = ""
        self.lost_until_us = 0
        self.is_removed = False

    @property
    def is_running(self) -> bool:
        """Whether its process is alive."""
        return self.process is not None and self.process.is_alive

    def start(self, bootstrap: bool = False) -> None:
        """Start a controller process on the machine's disk."""
        cluster = self.cluster
        self.process = process = Process(self.name)
        cluster.processes.append(process)
        settings = process_settings(self.name, self.ip, cluster.seeds, bootstrap, is_controller=True)
        token = CURRENT_PROCESS.set(process)
        try:
            self.controller = SimulatedController(self, settings, process)
            cluster.loop.call_soon(lambda: cluster.loop.create_task(self._run(self.controller, process)))
        finally:
            CURRENT_PROCESS.reset(token)
        cluster.note(f"{self.name} starts")

    async def _run(self, controller: SimulatedController, process: Process) -> None:
        await controller.run()
        self.cluster.note(f"{self.name} has exited")
        controller.operator_endpoint.close()
        process.is_alive = False

    def stop(self) -> None:
        """Start a graceful shutdown, as on SIGTERM."""
        self.cluster.note(f"{self.name} starts a graceful shutdown")
        self.cluster.loop.schedule(0, self.process, self.controller.end)

    def kill(self, power: bool = False, wipe: bool = False) -> None:
        """Kill the process, as on SIGKILL, a loss of `power`, or a loss of the disk (`wipe`)."""
        self.cluster.note(f"{self.name}: " + ("disk lost" if wipe else "power lost" if power else "killed"))
        if self.process is not None:
            self.process.is_alive = False
        if wipe:
            self.disk.wipe()
        elif power:
            self.disk.lose_power()
        else:
            self.disk.kill()

    def freeze(self, seconds: float) -> None:
        """Suspend the process for `seconds`."""
        self.cluster.note(f"{self.name} is frozen for {seconds:.1f} s")
        self.process.frozen_until_us = self.cluster.loop.now_us + round(seconds * SECOND)


def process_settings(name: str, ip: str, seeds: list[str], bootstrap: bool, is_controller: bool) -> Settings:
    """Return the settings of a simulated process."""
    addresses = tuple(Address((seed, OPERATOR_PORT)) for seed in seeds)
    heartbeat = Span(HEARTBEAT_INTERVAL_US)
    return Settings(name, ip, "z", Bind(), RPC_PORTS, addresses, bootstrap, is_controller, "", heartbeat)
