"""A simulation of the data plane together with the control plane.

It runs the production code of proxies and controllers, with servers that send heartbeats and drain, a tenant
that exceeds its limit, and faults of all of them. Invariants, in addition to those of the control plane:

- No proxy activates a version that the log does not contain, or one older than its active version.
- Each fencing token has one owner that adds to the counter, and the tokens of adds never decrease.
- The quota holds in every window, over all proxies.
- A proxy sends no request to a server after the reply to a watch request that it sent after the server's
  drain or deregistration was acknowledged.
"""

from random import Random

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.lab.partitions.quota import max_in_window
from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.invariants import Invariants
from lapisgrade.lab.simulation.proxies import ProxyMachine, SimulatedClock, SimulatedProxy
from lapisgrade.lab.simulation.proxy_faults import ProxyFaultInjector
from lapisgrade.lab.simulation.server import SimulatedServer
from lapisgrade.lab.simulation.tenant_load import (
    API_KEY,
    BURSTY,
    STEADY,
    TenantLoad,
    TenantOperator,
    allowed_in_a_window,
)
from lapisgrade.lab.simulation.virtual_loop import SECOND
from lapisgrade.policy.attempt import Attempt

PROXIES = 5
SERVERS = 4
TENANT_OPERATOR_NUMBER = 9
OPERATOR_PAUSE_S = 0.6  # short enough for a change within the 5 s that a simulation waits for one at its end
DEPARTURE_TIMEOUT_S = 8.0  # maximum wait for a server's departure before the leader is killed without one
QUOTA_WINDOW_S = 5.0  # the default `quota_win` of `Slo`
DEPARTURE_FAULT_RATE = 0.2  # fraction of faults that hit the leader after it acknowledged a departure
CONTROLLER_FAULT_RATE = 0.3  # fraction of the other faults that hit controllers; the rest hit proxies


class DataPlaneSimulation(ControlPlaneSimulation):
    """A control plane with proxies, servers, and a tenant's clients.

    Attributes:
        load: The tenant's limit and load.
        proxy_machines: The proxies' machines.
        servers: All servers by id, including those that have ended.
        sent_us: Times at which the tenant's requests were sent to a server.
        counter_adds: Number of adds that the tenant's counter accepted.
        newest_fencing_token: Fencing token of the last of them.
        counter_owner: Name of the proxy that made the last of them.
        rejections: Number of rejected requests by status.
    """

    def __init__(self, seed: int, clock: SimulatedClock, load: TenantLoad, max_pause_s: float = 1.5) -> None:
        super().__init__(seed, operators=1, max_pause_s=max_pause_s)
        self.clock = clock
        clock.loop = self.loop
        self.load = load
        self._replace_operators(max_pause_s)
        self.proxy_machines = [ProxyMachine(self, number) for number in range(1, PROXIES + 1)]
        self.proxy_faults = ProxyFaultInjector(
            self.cluster, self.random, self.proxy_machines, self.faults.call_after
        )
        self.servers: dict[str, SimulatedServer] = {}
        self.sent_us: list[int] = []
        self.counter_adds = 0
        self.newest_fencing_token = 0
        self.counter_owner = ""
        self.rejections: dict[int, int] = {}
        self._busy_until_us = 0  # end of the tenant's busy period
        for machine in self.proxy_machines:
            machine.start()
        for _ in range(SERVERS):
            self.add_server()
        self.loop.schedule(2 * SECOND, None, self._send_requests)

    def _replace_operators(self, max_pause_s: float) -> None:
        """Replace the operators by one that configures the tenant."""
        operator = TenantOperator(
            self.cluster, TENANT_OPERATOR_NUMBER, self.history, max_pause_s=min(max_pause_s, OPERATOR_PAUSE_S)
        )
        operator.load = self.load
        # A simulation waits for a change at its end, which consecutive reads could delay too long.
        operator.max_consecutive_reads = 1
        for replaced in self.operators:
            replaced.process.is_alive = False
        self.operators = [operator]
        operator.start_task(operator.run())

    @property
    def invariants(self) -> Invariants:
        """The control plane's invariants, which also collect the violations of the data plane."""
        return self.cluster.invariants

    def add_server(self) -> None:
        """Start a server at a new address; another one is started when it ends."""
        server = SimulatedServer(self.cluster, len(self.servers) + 1, self.add_server)
        self.servers[server.id] = server
        server.start_task(server.run())

    def _send_requests(self) -> None:
        """Send one of the tenant's requests to a random proxy, and schedule the next."""
        machine = self.random.choice(self.proxy_machines)
        if machine.is_running:
            path = f"/p{self.random.randrange(3)}/1"
            self.loop.schedule(0, machine.process, machine.proxy.request, path, API_KEY)
        load = self.load
        pause_s = self.random.expovariate(load.demand_factor * load.rate)
        if any(load.idle_s) and self.loop.now_us >= self._busy_until_us:
            pause_s += self.random.uniform(*load.idle_s)
            busy_s = pause_s + self.random.uniform(*load.busy_s)
            self._busy_until_us = self.loop.now_us + round(busy_s * SECOND)
        self.loop.schedule(round(pause_s * SECOND), None, self._send_requests)

    # ---- reports of the proxies

    def on_request_sent(self, proxy: SimulatedProxy, attempt: Attempt) -> bool:
        """Check a request that is sent to a server; return whether that server is still running."""
        server = self.servers[attempt.server.address]
        self.sent_us.append(self.loop.now_us)
        last_watch_us = proxy.last_watch_us - proxy.process.skew_us
        if server.departure_acknowledged_us and last_watch_us > server.departure_acknowledged_us:
            self.invariants.report_violation(
                f"{proxy.settings.hostname} sends to {server.id} after an update about its departure"
            )
        return not server.has_ended

    def on_request_rejected(self, proxy: SimulatedProxy, status: int) -> None:
        """Check that a proxy with an active version rejects a request only with 503, which allows a retry.

        All versions in the log allow the tenant's requests.
        """
        self.rejections[status] = self.rejections.get(status, 0) + 1
        if status != 503 and proxy.active_version:
            self.invariants.report_violation(
                f"{proxy.settings.hostname} responds {status} to a request that all versions allow"
            )

    def on_version_activated(self, proxy: SimulatedProxy, previous_version: int) -> None:
        """Check the version that a proxy has activated against the log and its previously active version."""
        name = proxy.settings.hostname
        if proxy.active_version not in self.invariants.versions:
            self.invariants.report_violation(
                f"{name} activates version {proxy.active_version}, which is not in the log"
            )
        if proxy.active_version < previous_version:
            self.invariants.report_violation(
                f"{name} replaces version {previous_version} by the older version {proxy.active_version}"
            )

    def observe_quota_owner(self, proxy: SimulatedProxy) -> None:
        """Wrap the proxy's quota owner, so that each add to a counter that it owns is checked."""
        owner: QuotaOwner = proxy.quota_owner
        add = owner.add

        def checked_add(
            now_us: int, request: rpc_messages.QuotaRequest, lease_expires_us: int
        ) -> rpc_messages.QuotaReply:
            reply = add(now_us, request, lease_expires_us)
            if reply.is_accepted:
                self._on_counter_added(owner)
            return reply

        owner.add = checked_add  # type: ignore[method-assign]

    def _on_counter_added(self, owner: QuotaOwner) -> None:
        """Check that an accepted add has no older token, and no other owner of the same token."""
        self.counter_adds += 1
        token, name = self.newest_fencing_token, self.counter_owner
        if owner.fencing_token < token:
            self.invariants.report_violation(
                f"{owner.name} adds with fencing token {owner.fencing_token}, after {name} with {token}"
            )
        elif owner.fencing_token == token and owner.name != name:
            self.invariants.report_violation(f"{owner.name} and {name} both add with fencing token {token}")
        self.newest_fencing_token = owner.fencing_token
        self.counter_owner = owner.name

    # ---- faults

    def lose_leader_after_departure(self) -> None:
        """Cut the leader's power right after it has acknowledged a server's departure."""
        before = self._acknowledged_departures()
        self.loop.run_until(lambda: self._acknowledged_departures() > before, DEPARTURE_TIMEOUT_S, 0.002)
        leader = self.cluster.leader()
        if leader is None or not self.faults.can_lose_another():
            return
        self.faults.mark_lost(leader, 1.5)
        leader.kill(True, False)
        self.faults.call_after(1.5, leader.start)

    def _acknowledged_departures(self) -> int:
        return sum(each.departure_acknowledged_us > 0 for each in self.servers.values())

    def finish(self) -> None:
        """Run a quiet period, then check the recovery, and the quota over the whole simulation."""
        for machine in self.proxy_machines:
            machine.start()
        super().finish()
        allowed = allowed_in_a_window(self.load)
        worst = max_in_window([each / SECOND for each in self.sent_us], QUOTA_WINDOW_S)
        if worst > allowed:
            self.invariants.report_violation(
                f"{worst} requests of the tenant in a window, {allowed:g} are allowed"
            )


def simulate(seed: int) -> DataPlaneSimulation:
    """Run a simulation with random faults of proxies and controllers."""
    random = Random(seed)
    simulation = DataPlaneSimulation(seed, SimulatedClock(), BURSTY if seed % 2 else STEADY)
    simulation.start()
    for _ in range(random.randrange(4, 9)):
        if random.random() < DEPARTURE_FAULT_RATE:
            simulation.lose_leader_after_departure()
        elif random.random() < CONTROLLER_FAULT_RATE:
            fault = simulation.faults.choose()
            fault(simulation.faults)
        else:
            simulation.proxy_faults.inject_random(simulation.counter_owner)
        simulation.loop.run_for(random.choice((0.1, 0.8, 2.0, 4.0)))
    simulation.finish()
    return simulation
