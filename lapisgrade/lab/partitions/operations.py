"""Keyed operations with real processes, under overlapping signals, restarts and configuration changes.

    result = await run_case("signals", net=101, folder=folder, random=Random(1))

Clients keep their connections until the process ends, and repeat their operations at other proxies after
failures and after successes. `operation_history.find_violations` checks the history of clients and servers.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapisgrade.gateway.local_cluster import SAMPLE
from lapisgrade.lab.partitions import case_table
from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.partitions.operation_clients import Client
from lapisgrade.lab.partitions.operation_faults import (
    BLACKOUTS,
    CHANGES,
    CONTROLLER_FAULTS,
    DISK_FAULTS,
    GRACE_PERIOD_S,
    PROXY_FAULTS,
    FaultInjector,
    Usage,
)
from lapisgrade.lab.partitions.operation_history import Attempt, AttemptEnd, History, find_violations
from lapisgrade.lab.partitions.operation_server import OperationServer

log = logging.getLogger("operations")

MODE = "keyed"  # mode of the operations' route
SERVER_COUNT = 4  # servers of the route's service, besides the fleet's own one, which is drained
OPERATION_CLIENTS, LOOKUP_CLIENTS = 8, 4  # number of clients of each kind
FAULT_COUNT = 20  # default for one run of a case
CALM_LOAD_S = 8.0  # duration of the load in cases without faults
LOAD_AFTER_FAULTS_S = 2.0  # duration of the load after the last fault has ended
SLOTS = 16  # requests that a server runs at once, by default
MAX_SHOWN = 10  # violations shown of one run
FIRST_NETWORK, NETWORKS = 120, 100  # cases run in 127.120 to 127.219
TITLES = [
    "case",
    "seed",
    "faults",
    "operations: attempts, served",
    "look-ups, served",
    "runs",
    "statuses",
    "max memory, descriptors",
    "stalls",
    "violations",
]
TENANTS = {"sfax": "key-of-sfax", "gabes": "key-of-gabes"}  # API keys by tenant


@dataclass(slots=True, frozen=True)
class Case:
    """Parameters of a case.

    Attributes:
        faults: Relative frequency of each fault; empty for a case without faults.
        has_server_faults: Whether servers fail some requests.
        slots: Requests that each server runs at once.
        server_fault: Fault of all servers, as `FakeServer.fault`.
        machines: Number of machines, each with a proxy.
        controllers: Number of machines that also have a controller.
    """

    faults: dict[str, int] = field(default_factory=dict)
    has_server_faults: bool = True
    slots: int = SLOTS
    server_fault: str = ""
    machines: int = 5
    controllers: int = 3


ALL_FAULTS = PROXY_FAULTS | CONTROLLER_FAULTS | CHANGES
CASES = {
    "calm": Case(has_server_faults=False),
    "unruly": Case(),
    "full": Case(has_server_faults=False, slots=1, server_fault="silent"),
    "signals": Case(PROXY_FAULTS | CHANGES),
    "controllers": Case(ALL_FAULTS),
    "many": Case(ALL_FAULTS, machines=30, controllers=5),
    "emptied": Case(ALL_FAULTS | DISK_FAULTS),
    "blackout": Case(PROXY_FAULTS | CHANGES | BLACKOUTS),
    "herd": Case(PROXY_FAULTS | CHANGES | {"kill all proxies": 2}),
}


@dataclass(slots=True)
class CaseResult:
    """Measurements and violations of one run of a case.

    Attributes:
        case: Name of the case.
        operations: Attempts with an operation key.
        lookups: Attempts without one.
        runs: Runs at all servers.
        injected: Number of injections of each fault.
        usage: Maximum resource usage of any process.
        stalls: Number of stalls of this process, which runs the clients.
        violations: Descriptions of everything that happened and must not.
    """

    case: str
    operations: list[Attempt] = field(default_factory=list)
    lookups: list[Attempt] = field(default_factory=list)
    runs: int = 0
    injected: Counter[str] = field(default_factory=Counter)
    usage: Usage = field(default_factory=Usage)
    stalls: int = 0
    violations: list[str] = field(default_factory=list)


def share_served(attempts: list[Attempt]) -> float:
    """Return the fraction of operations, or of requests without a key, with a successful response."""
    outcomes: dict[tuple[str, str], bool] = {}
    for attempt in attempts:
        operation = (attempt.tenant, attempt.key or attempt.try_id)
        outcomes[operation] = outcomes.get(operation, False) or attempt.is_success
    return sum(outcomes.values()) / len(outcomes) if outcomes else 0.0


def _sample() -> dict:
    """Return the sample configuration with `TENANTS`, without quotas, and with `MODE`."""
    tenants = [
        {"Name": name, "Apikeys": [key], "Prio": 1, "RateS": 0, "Burst": 0} for name, key in TENANTS.items()
    ]
    port = SAMPLE["Ports"][0]
    rules = [{**each, "Mode": MODE} if each["Name"] == "r-claim" else each for each in port["Policy"]]
    return {**SAMPLE, "Tenants": tenants, "Ports": [{**port, "Policy": rules}]}


async def run_case(
    case_name: str, net: int, folder: str, random: Random, faults: int = FAULT_COUNT
) -> CaseResult:
    """Run one case.

    Args:
        case_name: Name of the case.
        net: Second number of the machines' addresses, in 127/8.
        folder: Folder for the fleet's files.
        random: Source of all random choices.
        faults: Number of faults to inject, in a case with faults.

    Raises:
        TimeoutError: The fleet didn't start, or its proxies didn't use the case's servers in time.
    """
    case, history, result = CASES[case_name], History(), CaseResult(case_name)
    fleet = Fleet(net, folder, case.machines, case.controllers, grace=f"{GRACE_PERIOD_S:g}s")
    fleet.sample = _sample()
    async with fleet:
        injector = FaultInjector(fleet, history, Random(random.getrandbits(64)))
        servers = await _start_servers(fleet, case, history, random)
        watching = asyncio.create_task(injector.watch())
        clients = [Client(fleet, history, random, TENANTS) for _ in range(OPERATION_CLIENTS + LOOKUP_CLIENTS)]
        loads = [asyncio.create_task(each.run_operations()) for each in clients[:OPERATION_CLIENTS]]
        loads += [asyncio.create_task(each.run_lookups()) for each in clients[OPERATION_CLIENTS:]]
        try:
            if case.faults:
                await injector.run(case.faults, faults)
            await asyncio.sleep(LOAD_AFTER_FAULTS_S if case.faults else CALM_LOAD_S)
        finally:
            errors = await _stop([*loads, watching])
            for server in servers:
                server.close()
    result.violations = find_violations(history, MODE == "keyed") + [
        f"a client failed: {each!r}" for each in errors
    ]
    attempts = [each for each in history.attempts.values() if each.end is not AttemptEnd.CANCELLED]
    result.operations = [each for each in attempts if each.key]
    result.lookups = [each for each in attempts if not each.key]
    result.runs, result.injected = len(history.runs), injector.injected
    result.usage, result.stalls = injector.usage, len(history.stalls)
    return result


async def _start_servers(fleet: Fleet, case: Case, history: History, random: Random) -> list[OperationServer]:
    """Start the servers, drain the fleet's own one, and wait until all proxies use the new ones."""
    servers = []
    for number in range(2, SERVER_COUNT + 2):
        address = (f"{fleet.server.address[0].rsplit('.', 1)[0]}.{number}", fleet.server.address[1])
        server = OperationServer(f"i-{number}", address, history, random, case.slots, case.has_server_faults)
        server.fault = case.server_fault
        await server.start()
        fleet.tasks.append(asyncio.create_task(fleet.send_heartbeats(server)))
        servers.append(server)
    fleet.server.state = "drain"

    async def has_every_proxy_used_them() -> bool:
        before = len(history.runs)
        for name in fleet.ip:
            await fleet.call(name, "a.example", "/stock/1", TENANTS["sfax"])
        return len(history.runs) - before == len(fleet.ip)

    await fleet.wait_until(has_every_proxy_used_them)
    history.runs.clear()
    return servers


async def _stop(tasks: list[asyncio.Task[None]]) -> list[BaseException]:
    """Cancel tasks; return the errors of those that had failed."""
    for task in tasks:
        task.cancel()
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    return [
        each
        for each in outcomes
        if isinstance(each, BaseException) and not isinstance(each, asyncio.CancelledError)
    ]


async def print_table(cases: list[str], seeds: range, echo: Callable[[str], None]) -> bool:
    """Run each case with each seed and print a Markdown table; return whether there were no violations.

    Args:
        cases: Names of the cases.
        seeds: Seeds of the runs of each case.
        echo: Prints a line.
    """
    echo(f"Mode {MODE}.")
    case_table.print_header(TITLES, echo)
    violations: list[str] = []
    for case in cases:
        for seed in seeds:
            try:
                net = FIRST_NETWORK + seed % NETWORKS
                result = await case_table.run_with_seed(run_case, case, seed, net)
            except TimeoutError:
                result = CaseResult(case, violations=["the fleet or its servers did not start in time"])
            case_table.print_row(_row(result, seed), echo)
            for violation in case_table.labelled_violations(case, seed, result)[:MAX_SHOWN]:
                violations.append(violation)
                log.warning(violation)  # at once, as later runs may be interrupted
    for violation in violations:
        echo(violation)
    return not violations


def _row(result: CaseResult, seed: int) -> list[str]:
    """Return the row of a run in the table."""
    statuses = Counter(each.status or each.end.name for each in result.operations)
    shown = ", ".join(f"{name} {count}" for name, count in statuses.most_common())
    return [
        result.case,
        str(seed),
        str(result.injected.total()),
        f"{len(result.operations)}, {share_served(result.operations):.3f}",
        f"{len(result.lookups)}, {share_served(result.lookups):.3f}",
        str(result.runs),
        shown,
        f"{result.usage.resident_mb:.0f} MB, {result.usage.descriptors}",
        str(result.stalls),
        str(len(result.violations)),
    ]
