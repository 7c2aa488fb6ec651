"""Controllers on simulated machines, the real shell each: started, killed, cut off, frozen, emptied,
replaced.

What they do is watched at every step by `watch.Watch`.
"""

from random import Random

import msgspec

from lapisgrade.lab.simulation.disk import Disk
from lapisgrade.lab.simulation.network import Answer, Endpoint, Hear, Network
from lapisgrade.lab.simulation.virtual_loop import CURRENT, SECOND, Process, VirtualLoop
from lapisgrade.lab.simulation.invariants import Invariants
from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.settings import Address, Bind, Settings, Span
from lapisgrade.gateway.controller.consensus_driver import ConsensusObserver
from lapisgrade.gateway.controller.server import Controller, ControllerEnvironment, ControllerStorage

PORT = 7600
CALLS_PORT = 8407  # where operators and servers call
BEAT = 1_300_000  # us


class OperatorCall(msgspec.Struct, array_like=True, tag="oc", frozen=True):
    """A call of an operator or server, as HTTP would bring it."""

    call: str
    of: str
    body: bytes


class CallReply(msgspec.Struct, array_like=True, tag="or", frozen=True):
    status: int
    body: bytes = b""


Message = rpc_messages.Message | OperatorCall | CallReply


class NoDrafts:
    """In place of the drafts' own store: none are kept."""

    def __init__(self) -> None:
        self.drafts: dict = {}

    async def load(self) -> None:
        pass

    def close(self) -> None:
        pass


class InvariantObserver(ConsensusObserver):
    """Has the invariants checked at each step of a controller."""

    def __init__(self, controller: "SimulatedController", invariants: Invariants) -> None:
        self._controller = controller
        self._invariants = invariants

    def on_started(self) -> None:
        self._invariants.started(self._controller)

    def on_lease_confirmed(self) -> None:
        self._invariants.serves(self._controller)

    def on_entry_applied(self, entry: Entry) -> None:
        self._invariants.applied(self._controller, entry)

    def on_effects_carried_out(self, restored: bool) -> None:
        self._invariants.stepped(self._controller, restored)


class SimulatedController(Controller):
    """A controller in a simulated environment, which takes operators' calls beside its own RPC."""

    def __init__(self, machine: "Machine", settings: Settings, process: Process) -> None:
        cluster = machine.cluster
        self.machine = machine

        def clock() -> int:
            return cluster.loop.now_us + process.skew_us

        def rpc(on_call: Answer, on_message: Hear) -> Endpoint:
            return Endpoint(cluster.network, process, machine.ip, on_call, on_message)

        environment = ControllerEnvironment(
            clock=clock,
            random=Random(cluster.loop.random.getrandbits(64)),
            started_us=clock(),
            storage=ControllerStorage(machine.disk, NoDrafts(), machine.disk),
            rpc=rpc,
            observer=InvariantObserver(self, cluster.invariants),
        )
        super().__init__(settings, environment)
        self.calls = Endpoint(cluster.network, process, machine.ip, self._on_operator_call, lambda word: None)

    async def run(self) -> None:
        await self.calls.listen((self.settings.ip, CALLS_PORT))
        await super().run()

    async def _on_operator_call(self, message: Message) -> Message | None:
        if not isinstance(message, OperatorCall):
            return None
        reply = await self.forwarder.forward(message.call, message.of, message.body)
        return CallReply(reply.status, reply.body)


class Machine:
    """A place for one controller process at a time, with a disk."""

    def __init__(self, cluster: "Cluster", name: str, ip: str) -> None:
        self.cluster, self.name, self.ip = cluster, name, ip
        self.disk = Disk(cluster.loop.random)
        self.process: Process | None = None
        self.controller: SimulatedController | None = None
        self.identity = ""  # of the node on its disk, as it started last
        self.lost_until = 0  # us; counted as lost while it is down, and for a time after
        self.removed = False

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.alive

    def start(self, bootstrap: bool = False) -> None:
        cluster = self.cluster
        self.process = process = Process(self.name)
        cluster.processes.append(process)
        settings = Settings(
            self.name,
            self.ip,
            "z",
            Bind(),
            (PORT, PORT + 15),
            tuple(Address((ip, CALLS_PORT)) for ip in cluster.seeds),
            bootstrap,
            True,
            "",
            Span(BEAT),
        )
        token = CURRENT.set(process)
        try:
            self.controller = SimulatedController(self, settings, process)
            cluster.loop.call_soon(lambda: cluster.loop.create_task(self._run(self.controller, process)))
        finally:
            CURRENT.reset(token)
        cluster.say(f"{self.name} starts")

    async def _run(self, controller: SimulatedController, process: Process) -> None:
        await controller.run()
        self.cluster.say(f"{self.name} has ended")
        controller.calls.close()
        process.alive = False

    def stop(self) -> None:
        """SIGTERM."""
        self.cluster.say(f"{self.name} is told to end")
        self.cluster.loop.after(0, self.process, self.controller.end)

    def kill(self, power: bool = False, wipe: bool = False) -> None:
        self.cluster.say(f"{self.name}: " + ("disk lost" if wipe else "power lost" if power else "killed"))
        if self.process is not None:
            self.process.alive = False
        if wipe:
            self.disk.empty()
        elif power:
            self.disk.lose_power()
        else:
            self.disk.kill()

    def freeze(self, seconds: float) -> None:
        self.cluster.say(f"{self.name} stands still for {seconds:.1f} s")
        self.process.frozen_until = self.cluster.loop.now_us + round(seconds * SECOND)


class Cluster:
    """Machines by name; `seeds` are the addresses that settings name."""

    def __init__(self, loop: VirtualLoop, size: int) -> None:
        self.loop = loop
        self.network = Network(loop, Message)
        self.processes: list[Process] = []
        self.machines: dict[str, Machine] = {}
        self.said: list[str] = []
        self.invariants = Invariants(self)
        self._made = 0
        for _ in range(size):
            self.add()
        self.seeds = [each.ip for each in list(self.machines.values())[:3]]
        for machine in self.machines.values():
            machine.start(bootstrap=True)

    def add(self) -> Machine:
        """A new machine, at an address of its own, with an empty disk."""
        self._made += 1
        machine = Machine(self, f"m{self._made}", f"10.0.0.{self._made}")
        self.machines[machine.name] = machine
        return machine

    def say(self, what: str) -> None:
        self.said.append(f"{self.loop.now_us / SECOND:9.3f} s  {what}")

    def running(self) -> list[Machine]:
        return [each for each in self.machines.values() if each.running]

    def nodes(self) -> list[Node]:
        return [each.controller.node for each in self.running() if each.controller.node is not None]

    def leader(self) -> Machine | None:
        """The machine that leads in the newest term."""
        leading = [
            each
            for each in self.running()
            if each.controller.node is not None and each.controller.node.is_leader
        ]
        return max(leading, key=lambda each: each.controller.node.term, default=None)

    def established(self) -> bool:
        leader = self.leader()
        return leader is not None and leader.controller.node.has_committed_in_term

    def cut(self, names: list[str], one_way: bool = False) -> None:
        """Cut those machines off from the others; `one_way`, so that only they aren't heard."""
        self.say(f"cut off{', one way' if one_way else ''}: {', '.join(names)}")
        inside = {self.machines[each].ip for each in names}
        outside = {each.ip for each in self.machines.values()} - inside
        self.network.cuts |= {(a, b) for a in inside for b in outside}
        if not one_way:
            self.network.cuts |= {(b, a) for a in inside for b in outside}

    def heal(self) -> None:
        self.say("the links are whole again")
        self.network.heal()
