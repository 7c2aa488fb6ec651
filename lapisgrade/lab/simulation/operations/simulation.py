"""A simulation of keyed operations: controllers, proxies, clients that repeat keys, servers that record runs.

The shells of controllers and proxies are the real ones, as are the clients' connections and the protocol
towards servers; sockets, disks and the clock are simulated. The rules are checked all the time (`history`),
and after a calm time at the end:

- a new key is answered 200 by each proxy, and its repeat elsewhere has the same answer;
- an operation whose answer a client has gets that answer again, where its proxy's process still runs;
- all controllers hold the same records.
"""

from random import Random

import msgspec

from lapisgrade.gateway.operations.table import OperationRecord
from lapisgrade.lab.simulation.clients import REPLACE_CALL, Operator
from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.operations.clients import TENANTS, KeyedClients, api_key_of
from lapisgrade.lab.simulation.operations.faults import KeyedFaults
from lapisgrade.lab.simulation.operations.history import OK, Answer, OperationHistory, OperationId
from lapisgrade.lab.simulation.operations.proxy import KeyedProxyMachine
from lapisgrade.lab.simulation.operations.servers import RecordingServers
from lapisgrade.lab.simulation.proxies import SimulatedClock, SimulatedProxy
from lapisgrade.lab.simulation.server import SimulatedServer
from lapisgrade.lab.simulation.virtual_loop import SECOND, Process
from lapisgrade.policy.attempt import Attempt

PROXIES = 4
SERVERS = 3
OPERATOR_NUMBER = 9
OPERATOR_PAUSE_S = 1.0
READY_TIMEOUT_S = 6.0  # in which all proxies can serve after the start
KEY_WINDOW_US = 60 * SECOND
NEW_KEY_TRIES = 3  # at rest, until a new key is answered by a success
ASK_TIMEOUT_S = 3.0  # of one of them
KNOWN_ANSWERS_ASKED = 6  # at rest
LATE_COPY_RATE = 0.005  # of all messages between proxies and controllers
SILENCE_S = 3.0  # after which the last claims are applied everywhere
RETENTION_S = 80.0  # after which no record is owed any more
KNOWN_PART = 0.8  # of the window in which an answer must still be known at rest


class KeyedOperator(Operator):
    """An operator whose configurations have a keyed route and two tenants."""

    def make_change(self, version: int, base: int) -> tuple[str, bytes]:
        """Return a change as any operator's, with route and tenants in each complete configuration."""
        call, body = super().make_change(version, base)
        if call != REPLACE_CALL:
            return call, body
        fields = msgspec.json.decode(body)
        rule = {
            "Name": "keyed",
            "Mode": "keyed",
            "Match": {"Pfx": "/keyed/"},
            "Action": {"Svc": "svc", "Timeout": "2s", "Tries": 2},
        }
        fields["Ports"][0]["Policy"].append(rule)
        fields["Tenants"] = [{"Name": tenant, "Apikeys": [api_key_of(tenant)]} for tenant in TENANTS]
        return call, msgspec.json.encode(fields)


class KeyedSimulation(ControlPlaneSimulation):
    """A control plane with proxies, servers, and clients of keyed operations."""

    def __init__(self, seed: int, size: int = 3, tolerate: int = 1) -> None:
        super().__init__(seed, size, tolerate, operators=0)
        self.clock = SimulatedClock()
        self.clock.loop = self.loop
        self.cluster.network.late_copy_rate = LATE_COPY_RATE
        self.client_process = Process("clients")
        self.cluster.processes.append(self.client_process)
        self.operations = OperationHistory(KEY_WINDOW_US, self.cluster.invariants.report_violation)
        self.recording_servers = RecordingServers(self.loop, self.operations)
        self.machines = [KeyedProxyMachine(self, number) for number in range(1, PROXIES + 1)]
        self.keyed_faults = KeyedFaults(self, self.random)
        self.clients = KeyedClients(self, Random(seed + 2))
        self.lasts_beyond_retention = False  # whether the end waits until all records are out of date
        self._last_sender = self.machines[0]
        self.servers: dict[str, SimulatedServer] = {}
        for machine in self.machines:
            machine.start()
        for _ in range(SERVERS):
            self._add_server()
        self._start_operator()

    def _start_operator(self) -> None:
        operator = KeyedOperator(self.cluster, OPERATOR_NUMBER, self.history, pause=OPERATOR_PAUSE_S)
        operator.max_consecutive_reads = 1
        self.operators.append(operator)
        operator.start_task(operator.run())

    def _add_server(self) -> None:
        """Start a server's heartbeats; another one follows it when it ends."""
        server = SimulatedServer(self.cluster, len(self.servers) + 1, self._add_server)
        self.servers[server.id] = server
        server.start_task(server.run())

    def start(self) -> None:
        """Run until the proxies know a configuration and the servers; then the clients begin."""
        super().start()
        if not self.loop.run_until(self._is_ready, READY_TIMEOUT_S):
            self.cluster.invariants.report_violation("the proxies are not ready after the start")
        self.clients.start_task(self.clients.run())
        self.loop.run_for(1.0)

    def _is_ready(self) -> bool:
        return all(machine.proxy.ready for machine in self.machines if machine.is_running)

    def run_until_next_run(self, timeout_s: float) -> bool:
        """Run until a server begins to work on a request; return whether one did."""
        before = self.recording_servers.run_count
        return self.loop.run_until(lambda: self.recording_servers.run_count > before, timeout_s, 0.0005)

    def last_sender(self) -> KeyedProxyMachine:
        """Return the machine whose proxy sent a request to a server last."""
        return self._last_sender

    # ---- reports of the proxies

    def on_request_sent(self, proxy: SimulatedProxy, attempt: Attempt) -> bool:
        """Note who sends; the servers that answer take no part in drains."""
        names = {machine.name: machine for machine in self.machines}
        self._last_sender = names[proxy.settings.hostname]
        return True

    def on_request_rejected(self, proxy: SimulatedProxy, status: int) -> None:
        """Ignore it: the clients judge what they are answered."""

    def on_version_activated(self, proxy: SimulatedProxy, before: int) -> None:
        """Ignore it: the data plane's simulation checks versions."""

    def observe_quota_owner(self, proxy: SimulatedProxy) -> None:
        """Ignore it: the tenants have no quota."""

    # ---- the end

    def finish(self) -> None:
        """Run a quiet period, and check what must hold after it."""
        self.recording_servers.is_calm = True
        for machine in self.machines:
            machine.start()
        super().finish()

    def _expect_service(self) -> None:
        super()._expect_service()
        self._expect_new_keys()
        self._expect_known_answers()
        self._expect_equal_records()
        if self.lasts_beyond_retention:
            self.expect_bounded_records()

    def _expect_new_keys(self) -> None:
        """Check that each proxy has a new key run, and that a repeat elsewhere has its answer."""
        for machine in self.machines:
            operation = (TENANTS[0], self.clients.new_key())
            first = self._ask(operation, machine, NEW_KEY_TRIES)
            if first is None or first.status != OK:
                self.cluster.invariants.report_violation(f"{machine.name} has no answer to a new key at rest")
                continue
            self._expect_answer(operation, first.seal)

    def _expect_known_answers(self) -> None:
        """Check that the answers which proxies still know are given again."""
        since_us = self.loop.now_us - round(KNOWN_PART * self.operations.window_us)
        known = [
            (operation, run.seal)
            for operation, run in self.operations.known_answers(since_us)
            if self.clients.is_alive(run.try_id)
        ]
        for operation, seal in self.random.sample(known, min(len(known), KNOWN_ANSWERS_ASKED)):
            self._expect_answer(operation, seal)

    def _expect_answer(self, operation: OperationId, seal: str) -> None:
        machine = self.random.choice(self.machines)
        answer = self._ask(operation, machine, NEW_KEY_TRIES)
        if answer is None or answer.seal != seal:
            got = answer.status if answer is not None else "nothing"
            self.cluster.invariants.report_violation(
                f"{machine.name} answers {got} to {operation}, whose answer is known"
            )

    def _ask(self, operation: OperationId, machine: KeyedProxyMachine, tries: int) -> Answer | None:
        """Send an operation until it is answered by a success; return the last answer."""
        answer = None
        for _ in range(tries):
            task = self.clients.start_task(self.clients.send(operation, machine, may_leave=False))
            self.loop.run_until(task.done, ASK_TIMEOUT_S)
            answer = task.result() if task.done() else None
            if answer is not None and answer.status == OK:
                break
            self.loop.run_for(0.2)
        return answer

    def _expect_equal_records(self) -> None:
        """Check that all controllers have the same records, once the clients are silent."""
        self.clients.is_open = False
        self.loop.run_for(SILENCE_S)
        leader = self.cluster.leader()
        for machine in self.cluster.running_machines():
            if leader is not None and _records(machine) != _records(leader):
                self.cluster.invariants.report_violation(
                    f"{machine.name} has {len(_records(machine))} records, "
                    f"the leader {len(_records(leader))}, or others"
                )

    def expect_bounded_records(self) -> None:
        """Check that records beyond their retention are given back, once there are claims again."""
        self.clients.is_open = False
        self.loop.run_for(RETENTION_S)
        for machine in self.machines:
            self._ask((TENANTS[0], self.clients.new_key()), machine, NEW_KEY_TRIES)
        leader = self.cluster.leader()
        count = len(_records(leader)) if leader is not None else 0
        if count > len(self.machines):
            self.cluster.invariants.report_violation(f"{count} records are kept beyond their retention")


def _records(machine: Machine) -> list[tuple[str, OperationRecord]]:
    """Return a controller's records in their order."""
    return list(machine.controller.state_machine.state.operations.records.items())
