"""A router before one service with slots, in simulated time; requests arrive as a test schedules them."""

import heapq
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lapisgrade.engine import Engine
from lapisgrade.gateway import SECOND, configuration, registry
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.operations.table import ClaimResult
from lapisgrade.gateway.routing.keyed_request import ClaimKey
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import AttemptOutcome, AttemptResult, Clock, WakeReason

MS = 1_000
START_US = 100 * SECOND


@dataclass
class Caller:
    """One request as its client sees it; times are in us since the start of the simulation."""

    sent_us: int
    time_us: int
    target_us: int = 600 * MS
    priority: int = 1
    tenant_priority: int | None = None
    mode: str = "mutate"
    status: int = 0
    ended_us: int = -1
    retry_after_us: int = 0
    attempts: int = 0
    body_bytes: int = 0
    operation_key: str = ""
    request: Any = None


@dataclass
class ServiceSimulation:
    """Servers that work `work_us` on each request; `host` and `caller` of the router's engine.

    Attributes:
        server_count: Number of servers.
        slots: Requests that each server works on at once.
        server_queue: Requests that each server queues beyond those; further ones get Not-Run.
        work_us: Duration of a run.
        starts_us: When the servers become known.
        leader_from_us: When a leader grants claims.
    """

    server_count: int = 1
    slots: int = 4
    server_queue: int = 3
    work_us: int = 100 * MS
    starts_us: int = 0
    leader_from_us: int = 0
    seed: int = 1
    callers: list[Caller] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock = Clock(START_US)
        self.router = Router(self.clock, self.seed, Slo(), "z", "p", "10.0.0.1:1", "p")
        self.engine = Engine(self, self.clock, self)
        self.events: list[tuple[int, int, Any]] = []
        self.event_count = 0
        self.running: dict[str, int] = {}
        self.waiting: dict[str, list[Any]] = {}
        self.callers_by_request: dict[int, Caller] = {}
        cluster = self.router.cluster("a")
        for name in (f"r{priority}" for priority in range(4)):
            for _ in range(400):
                cluster.latency(START_US, name).add(START_US, self.work_us, 1.0)
        for _ in range(400):
            cluster.overall_latency.add(START_US, self.work_us, 1.0)

    def schedule(self, at_us: int, action: Any) -> None:
        """Run an action at a time since the start; those of one time in the order of the calls."""
        self.event_count += 1
        heapq.heappush(self.events, (START_US + at_us, self.event_count, action))

    @property
    def now_us(self) -> int:
        """Time since the start of the simulation."""
        return self.clock.now_us - START_US

    def run(self, callers: list[Caller]) -> list[Caller]:
        """Play the callers until all have their answer, and return them."""
        self.callers = callers
        self.schedule(self.starts_us, self._start_servers)
        for caller in callers:
            self.schedule(caller.sent_us, lambda caller=caller: self._arrive(caller))
        while self.events:
            due_us, _, action = heapq.heappop(self.events)
            self.clock.now_us = max(self.clock.now_us, due_us)
            action()
        return callers

    def _start_servers(self) -> None:
        for number in range(self.server_count):
            name = f"s{number}"
            self.running[name], self.waiting[name] = 0, []
            server = registry.Server(name, "a", f"10.0.0.9:{number + 1}", "z", self.slots, "up", 1)
            self.router.update_servers([server], False)

    def _arrive(self, caller: Caller) -> None:
        action = {"Svc": "a", "Timeout": "60s", "Tries": 2}
        rule = {"Name": f"r{caller.priority}", "Match": {"Pfx": "/"}, "Action": action, "Mode": caller.mode,
                "Prio": caller.priority, "Target_time": f"{caller.target_us // MS}ms"}  # fmt: skip
        conf = {"Ver": 1, "Ports": [{"Vhost": "h", "Policy": [rule]}], "Pools": [{"Name": "a"}]}
        table = RouteTable(configuration.read(msgspec.json.decode(msgspec.json.encode(conf))))
        tenant = None if caller.tenant_priority is None else Tenant("t", prio=caller.tenant_priority)
        caller.request = RoutedRequest(
            customer="", arrived_us=self.clock.now_us, deadline_us=self.clock.now_us + caller.time_us,
            rule=table.match("h", "/", "")[0], tenant=tenant, service="a",
            operation_key=caller.operation_key, body_bytes=caller.body_bytes,
        )  # fmt: skip
        self.callers_by_request[id(caller.request)] = caller
        self.engine.run(self.router.handle(caller.request), caller.request)

    def disconnect(self, caller: Caller) -> None:
        """Let a caller leave."""
        caller.request.is_abandoned = True
        self.engine.wake(caller.request, WakeReason.CLIENT_DISCONNECTED)

    # ---- the engine's host and caller

    def send(self, attempt: Any) -> None:
        attempt_caller = self.callers_by_request[id(attempt.operation)]
        attempt_caller.attempts += 1
        name = attempt.server.address
        if self.running[name] < self.slots:
            self._run(name, attempt)
        elif len(self.waiting[name]) < self.server_queue:
            self.waiting[name].append(attempt)
        else:
            self.schedule(self.now_us + MS, lambda: self._finish(attempt, AttemptOutcome.OVERLOADED))

    def _run(self, name: str, attempt: Any) -> None:
        self.running[name] += 1
        self.schedule(self.now_us + self.work_us, lambda: self._end_run(name, attempt))

    def _end_run(self, name: str, attempt: Any) -> None:
        self.running[name] -= 1
        if self.waiting[name]:
            self._run(name, self.waiting[name].pop(0))
        self._finish(attempt, AttemptOutcome.OK)

    def _finish(self, attempt: Any, outcome: AttemptOutcome) -> None:
        caller = self.callers_by_request[id(attempt.operation)]
        is_final = outcome is AttemptOutcome.OK
        if is_final and caller.ended_us < 0:
            caller.status, caller.ended_us = 200, self.now_us
        result = AttemptResult(outcome, self.clock.now_us - attempt.sent_us, is_final or caller.ended_us >= 0)
        self.router.on_attempt_finished(attempt, result)
        self.engine.attempt_finished(attempt, result)

    def reject(self, operation: Any, answer: Any) -> None:
        caller = self.callers_by_request[id(operation)]
        if caller.ended_us < 0:
            caller.status, caller.ended_us = int(answer.status), self.now_us
            caller.retry_after_us = answer.retry_after_us

    def call(self, task: Any, call: Any) -> None:
        assert isinstance(call, ClaimKey)
        granted_us = max(self.now_us + MS, self.leader_from_us)
        is_granted = granted_us < call.until_us - START_US
        result = ClaimResult(call.claim.attempt, call.claim.owner) if is_granted else None
        at_us = granted_us if is_granted else call.until_us - START_US
        self.schedule(at_us, lambda: self.engine.call_finished(task, result))

    def schedule_wakeup(self, when_us: int) -> None:
        self.schedule(when_us - START_US, lambda: self.engine.run_due_timers(is_wakeup=True))
