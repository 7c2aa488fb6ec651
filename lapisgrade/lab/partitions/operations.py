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
from lapisgrade.lab.partitions.limit_history import LimitChange
from lapisgrade.lab.partitions.operation_clients import Client
from lapisgrade.lab.partitions.operation_faults import (
    BLACKOUTS,
    CHANGES,
    CONTROLLER_FAULTS,
    DISK_FAULTS,
    FREEZES,
    GRACE_PERIOD_S,
    LIMIT_CHANGES,
    PROXY_FAULTS,
    FaultInjector,
)
from lapisgrade.lab.partitions.operation_history import Attempt, AttemptEnd, History, find_violations
from lapisgrade.lab.partitions.operation_servers import ServerGroup
from lapisgrade.lab.partitions.process_monitor import ProcessMonitor, Usage
from lapisgrade.lab.partitions.silent_connections import keep_silent_connections

log = logging.getLogger("operations")

MODE = "keyed"  # mode of the operations' route
OPERATION_CLIENTS, LOOKUP_CLIENTS = 8, 4  # number of clients of each kind
FAULT_COUNT = 20  # default for one run of a case
CALM_LOAD_S = 8.0  # duration of the load in cases without faults
LOAD_AFTER_FAULTS_S = 2.0  # duration of the load after the last fault has ended
SLOTS = 16  # requests that a server runs at once, by default
DEFAULT_NOFILE = 1024  # descriptors that each process may use
CROWDED_NOFILE = 4100  # the same in cases with silent connections, as in the operators' deployments
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
        silent_connections: Number of connections at the first machine that never send a request.
        max_body_bytes: Maximum size of the body of an operation; 0 for a short one.
        replaces_servers: Whether servers drain and are replaced during the load.
    """

    faults: dict[str, int] = field(default_factory=dict)
    has_server_faults: bool = True
    slots: int = SLOTS
    server_fault: str = ""
    machines: int = 5
    controllers: int = 3
    silent_connections: int = 0
    max_body_bytes: int = 0
    replaces_servers: bool = False


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
    "crowded": Case(
        ALL_FAULTS | LIMIT_CHANGES | FREEZES,
        machines=4,
        silent_connections=1_150,
        max_body_bytes=48_000,
        replaces_servers=True,
    ),
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
    nofile = CROWDED_NOFILE if case.silent_connections else DEFAULT_NOFILE
    fleet = Fleet(net, folder, case.machines, case.controllers, grace=f"{GRACE_PERIOD_S:g}s", nofile=nofile)
    fleet.sample = _sample()
    async with fleet:
        monitor = ProcessMonitor(fleet, history)
        injector = FaultInjector(fleet, history, Random(random.getrandbits(64)), monitor)
        monitor.on_unexpected_end = injector.on_unexpected_end
        injector.limits.changes.append(LimitChange(SAMPLE["Caps"]["BodyBytes"], 0.0, 0.0))
        servers = ServerGroup(fleet, case, history, random)
        await servers.start()
        background = [asyncio.create_task(monitor.run())]
        if case.silent_connections:
            monitor.max_descriptors = nofile
            first_machine = next(iter(fleet.ip))
            background.append(
                asyncio.create_task(keep_silent_connections(fleet, first_machine, case.silent_connections))
            )
        if case.replaces_servers:
            background.append(asyncio.create_task(servers.replace_repeatedly()))
        clients = [
            Client(fleet, history, random, TENANTS, case.max_body_bytes)
            for _ in range(OPERATION_CLIENTS + LOOKUP_CLIENTS)
        ]
        loads = [asyncio.create_task(each.run_operations()) for each in clients[:OPERATION_CLIENTS]]
        loads += [asyncio.create_task(each.run_lookups()) for each in clients[OPERATION_CLIENTS:]]
        try:
            if case.faults:
                await injector.run(case.faults, faults)
            await asyncio.sleep(LOAD_AFTER_FAULTS_S if case.faults else CALM_LOAD_S)
        finally:
            errors = await _stop([*loads, *background])
            servers.close()
    attempts = [each for each in history.attempts.values() if each.end is not AttemptEnd.CANCELLED]
    result.violations = find_violations(history, MODE == "keyed")
    result.violations += injector.limits.find_violations(attempts)
    result.violations += monitor.find_logged_exceptions()
    result.violations += [f"a client failed: {each!r}" for each in errors]
    result.operations = [each for each in attempts if each.key]
    result.lookups = [each for each in attempts if not each.key]
    result.runs, result.injected = len(history.runs), injector.injected
    result.usage, result.stalls = monitor.usage, len(history.stalls)
    return result


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
