"""A simulation of keyed operations: controllers, proxies, clients that repeat keys, servers that record runs.

It runs the production code of controllers and proxies, including clients' connections and the protocol
towards servers; sockets, disks and the clock are simulated. The rules in `history` are checked continuously.
After a quiet period at the end:

- Each proxy responds 200 to a new key, and a repeat at a random proxy gets the same response.
- A repeat of an operation with a known response gets the same response if its proxy's process still runs.
- All controllers have the same records.
"""

from random import Random

import msgspec

from lapisgrade.gateway.operations.table import OperationRecord
from lapisgrade.lab.simulation.clients import REPLACE_CALL, Operator
from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.network import MAX_LATE_DUPLICATE_US
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
OPERATOR_PAUSE_S = 1.0  # maximum pause between the operator's calls
READY_TIMEOUT_S = 6.0  # maximum time until all proxies are ready after the start
KEY_WINDOW_US = 60 * SECOND  # idempotency window of a key
MAX_CHECK_TRIES = 3  # maximum tries to get a success after the quiet period
CHECK_TIMEOUT_S = 3.0  # time-out of each of those tries
CHECKED_ANSWERS = 6  # number of known responses that are checked after the quiet period
LATE_DUPLICATE_RATE = 0.005  # fraction of messages between proxies and controllers that arrive again, late
LAST_CLAIMS_S = 3.0  # time after which the last claims are applied at all controllers
# Time from the last try until all records are dropped; a late duplicate of its claim may be recorded anew.
MAX_RECORD_AGE_S = 80.0 + MAX_LATE_DUPLICATE_US / SECOND
KNOWN_WINDOW_FRACTION = 0.8  # fraction of the window in which responses must still be known at the end


class KeyedOperator(Operator):
    """An operator whose configurations have a keyed route and two tenants."""

    def make_change(self, version: int, base: int) -> tuple[str, bytes]:
        """Return a change like any operator's, with route and tenants in each complete configuration."""
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
    """A control plane with proxies, servers, and clients of keyed operations.

    Attributes:
        operation_history: The history of tries, responses and runs.
        recording_servers: The servers that run requests.
        proxy_machines: The proxies' machines.
        keyed_faults: Injects faults that concern keyed operations.
        clients: The clients of keyed operations.
        lasts_beyond_retention: Whether `finish` waits until all records have expired.
        servers: The registered servers by id; they only send heartbeats.
    """

    def __init__(self, seed: int, size: int = 3, max_lost: int = 1) -> None:
        super().__init__(seed, size, max_lost, operators=0)
        self.clock = SimulatedClock()
        self.clock.loop = self.loop
        self.cluster.network.late_duplicate_rate = LATE_DUPLICATE_RATE
        self.client_process = Process("clients")
        self.cluster.processes.append(self.client_process)
        self.operation_history = OperationHistory(KEY_WINDOW_US, self.cluster.invariants.report_violation)
        self.recording_servers = RecordingServers(self.loop, self.operation_history)
        self.proxy_machines = [KeyedProxyMachine(self, number) for number in range(1, PROXIES + 1)]
        self.keyed_faults = KeyedFaults(self, self.random)
        self.clients = KeyedClients(self, Random(seed + 2))
        self.lasts_beyond_retention = False
        self._last_sender = self.proxy_machines[0]
        self.servers: dict[str, SimulatedServer] = {}
        for machine in self.proxy_machines:
            machine.start()
        for _ in range(SERVERS):
            self._add_server()
        self._start_operator()

    def _start_operator(self) -> None:
        operator = KeyedOperator(self.cluster, OPERATOR_NUMBER, self.history, max_pause_s=OPERATOR_PAUSE_S)
        operator.max_consecutive_reads = 1
        self.operators.append(operator)
        operator.start_task(operator.run())

    def _add_server(self) -> None:
        """Start a server that sends heartbeats; another one is started when it ends."""
        server = SimulatedServer(self.cluster, len(self.servers) + 1, self._add_server)
        self.servers[server.id] = server
        server.start_task(server.run())

    def start(self) -> None:
        """Run until the proxies have a configuration and the servers, then start the clients."""
        super().start()
        if not self.loop.run_until(self._is_ready, READY_TIMEOUT_S):
            self.cluster.invariants.report_violation("the proxies are not ready in time after the start")
        self.clients.start_task(self.clients.run())
        self.loop.run_for(1.0)

    def _is_ready(self) -> bool:
        return all(machine.proxy.ready for machine in self.proxy_machines if machine.is_running)

    def run_until_next_run(self, timeout_s: float) -> bool:
        """Run until a server starts to run a request; return False on a time-out."""
        before = self.recording_servers.run_count
        return self.loop.run_until(lambda: self.recording_servers.run_count > before, timeout_s, 0.0005)

    def last_sender(self) -> KeyedProxyMachine:
        """Return the machine whose proxy sent the last request to a server."""
        return self._last_sender

    # ---- reports of the proxies

    def on_request_sent(self, proxy: SimulatedProxy, attempt: Attempt) -> bool:
        """Record the sender; the recording servers never drain."""
        machines_by_name = {machine.name: machine for machine in self.proxy_machines}
        self._last_sender = machines_by_name[proxy.settings.hostname]
        return True

    def on_request_rejected(self, proxy: SimulatedProxy, status: int) -> None:
        """Do nothing; the responses to the clients are checked."""

    def on_version_activated(self, proxy: SimulatedProxy, previous_version: int) -> None:
        """Do nothing; the data plane simulation checks versions."""

    def observe_quota_owner(self, proxy: SimulatedProxy) -> None:
        """Do nothing; the tenants have no quota."""

    # ---- the checks at the end

    def finish(self) -> None:
        """Run a quiet period, then check that the system has recovered."""
        self.recording_servers.always_succeeds = True
        for machine in self.proxy_machines:
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
        """Check that each proxy runs a new key, and that a repeat at a random proxy gets its response."""
        for machine in self.proxy_machines:
            operation = (TENANTS[0], self.clients.new_key())
            first_answer = self._send_until_success(operation, machine, MAX_CHECK_TRIES)
            if first_answer is None or first_answer.status != OK:
                self.cluster.invariants.report_violation(
                    f"{machine.name} gives no success to a new key after the quiet period"
                )
                continue
            self._expect_answer(operation, first_answer.seal)

    def _expect_known_answers(self) -> None:
        """Check that repeats get the responses that proxies still know, for a random sample of operations."""
        since_us = self.loop.now_us - round(KNOWN_WINDOW_FRACTION * self.operation_history.window_us)
        known = [
            (operation, run.seal)
            for operation, run in self.operation_history.known_answers(since_us)
            if self.clients.is_alive(run.try_id)
        ]
        for operation, seal in self.random.sample(known, min(len(known), CHECKED_ANSWERS)):
            self._expect_answer(operation, seal)

    def _expect_answer(self, operation: OperationId, seal: str) -> None:
        """Check that a repeat at a random proxy gets the response with that seal."""
        machine = self.random.choice(self.proxy_machines)
        answer = self._send_until_success(operation, machine, MAX_CHECK_TRIES)
        if answer is None or answer.seal != seal:
            received = answer.status if answer is not None else "nothing"
            self.cluster.invariants.report_violation(
                f"{machine.name} responds {received} to {operation}, whose response is known"
            )

    def _send_until_success(
        self, operation: OperationId, machine: KeyedProxyMachine, tries: int
    ) -> Answer | None:
        """Send an operation until a success, at most `tries` times; return the last response."""
        answer = None
        for _ in range(tries):
            task = self.clients.start_task(self.clients.send(operation, machine, may_disconnect=False))
            self.loop.run_until(task.done, CHECK_TIMEOUT_S)
            answer = task.result() if task.done() else None
            if answer is not None and answer.status == OK:
                break
            self.loop.run_for(0.2)
        return answer

    def _expect_equal_records(self) -> None:
        """Stop the clients, and check that all controllers have the same records."""
        self.clients.is_open = False
        self.loop.run_for(LAST_CLAIMS_S)
        leader = self.cluster.leader()
        for machine in self.cluster.running_machines():
            if leader is not None and _records(machine) != _records(leader):
                self.cluster.invariants.report_violation(
                    f"{machine.name} has {len(_records(machine))} records, "
                    f"the leader has {len(_records(leader))}, or their contents differ"
                )

    def expect_bounded_records(self) -> None:
        """Check that new claims make the controllers drop the records beyond their retention.

        Clients that are closed still repeat the operations that they have begun, and so claim keys.
        """
        self.clients.is_open = False
        while (remaining_us := self._last_try_us() + round(MAX_RECORD_AGE_S * SECOND) - self.loop.now_us) > 0:
            self.loop.run_for(remaining_us / SECOND)
        for machine in self.proxy_machines:
            self._send_until_success((TENANTS[0], self.clients.new_key()), machine, MAX_CHECK_TRIES)
        leader = self.cluster.leader()
        count = len(_records(leader)) if leader is not None else 0
        if count > len(self.proxy_machines):
            self.cluster.invariants.report_violation(f"{count} records remain after their retention")

    def _last_try_us(self) -> int:
        return max((each.sent_us for each in self.operation_history.tries.values()), default=0)


def _records(machine: Machine) -> list[tuple[str, OperationRecord]]:
    """Return a controller's operation records in order."""
    return list(machine.controller.state_machine.state.operations.records.items())
