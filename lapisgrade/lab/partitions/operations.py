"""Plays of keyed operations with real processes, whose signals, restarts and configuration changes overlap.

    found = await run_case("signals", net=101, folder=folder, random=Random(1))

Clients keep their connections until the process is gone, and repeat their keys at other proxies after
failures and after successes. `operation_history.violations` judges what they and the servers have seen.
"""

import asyncio
import logging
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapisgrade.gateway.local_cluster import SAMPLE
from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.partitions.operation_clients import Client
from lapisgrade.lab.partitions.operation_faults import (
    BLACKOUTS,
    CHANGES,
    CONTROLLER_FAULTS,
    DISK_FAULTS,
    GRACE_S,
    PROXY_FAULTS,
    ProcessFaults,
    Usage,
)
from lapisgrade.lab.partitions.operation_history import Attempt, AttemptEnd, History, violations
from lapisgrade.lab.partitions.operation_server import OperationServer

log = logging.getLogger("operations")

MODE = "keyed"  # of the operations' route
SERVERS = 4
OPERATION_CLIENTS, LOOKUP_CLIENTS = 8, 4
FAULTS = 20  # in one play
LOAD_S = 8.0  # of requests where there are no faults
CALM_S = 2.0  # of requests after the last fault has ended
SLOTS = 16
MAX_SHOWN = 10  # violations of one play
NET, NETS = 120, 100  # 127.120 to 127.219 are the plays' machines
TENANTS = {"sfax": "key-of-sfax", "gabes": "key-of-gabes"}


@dataclass(slots=True, frozen=True)
class Case:
    """One kind of play.

    Attributes:
        faults: How often each fault is drawn.
        is_unruly: Whether servers go wrong.
        slots: Requests that a server takes at once.
        manner: As `FakeServer.fault`.
        machines: Each has a proxy.
        controllers: The machines that have a controller too.
    """

    faults: dict[str, int] = field(default_factory=dict)
    is_unruly: bool = True
    slots: int = SLOTS
    manner: str = ""
    machines: int = 5
    controllers: int = 3


ALL_FAULTS = PROXY_FAULTS | CONTROLLER_FAULTS | CHANGES
CASES = {
    "calm": Case(is_unruly=False),
    "unruly": Case(),
    "full": Case(is_unruly=False, slots=1, manner="silent"),
    "signals": Case(PROXY_FAULTS | CHANGES),
    "controllers": Case(ALL_FAULTS),
    "many": Case(ALL_FAULTS, machines=30, controllers=5),
    "emptied": Case(ALL_FAULTS | DISK_FAULTS),
    "blackout": Case(PROXY_FAULTS | CHANGES | BLACKOUTS),
    "herd": Case(PROXY_FAULTS | CHANGES | {"kill all proxies": 2}),
}


@dataclass(slots=True)
class CaseResult:
    """What a play showed."""

    case: str
    operations: list[Attempt] = field(default_factory=list)
    lookups: list[Attempt] = field(default_factory=list)
    runs: int = 0
    done: Counter[str] = field(default_factory=Counter)
    usage: Usage = field(default_factory=Usage)
    stalls: int = 0  # of the play itself
    violations: list[str] = field(default_factory=list)


def share_served(attempts: list[Attempt]) -> float:
    """The share of operations, or of requests without a key, that were answered with success."""
    outcomes: dict[tuple[str, str], bool] = {}
    for each in attempts:
        name = (each.tenant, each.key or each.try_id)
        outcomes[name] = outcomes.get(name, False) or each.is_success
    return sum(outcomes.values()) / len(outcomes) if outcomes else 0.0


def _sample() -> dict:
    """The sample configuration with our tenants, without quotas, and the operations' mode."""
    tenants = [
        {"Name": name, "Apikeys": [key], "Prio": 1, "RateS": 0, "Burst": 0} for name, key in TENANTS.items()
    ]
    port = SAMPLE["Ports"][0]
    rules = [{**each, "Mode": MODE} if each["Name"] == "r-claim" else each for each in port["Policy"]]
    return {**SAMPLE, "Tenants": tenants, "Ports": [{**port, "Policy": rules}]}


async def run_case(case_name: str, net: int, folder: str, random: Random, faults: int = FAULTS) -> CaseResult:
    """Play one case on machines of 127.`net`; TimeoutError where the system never came up."""
    case, history, found = CASES[case_name], History(), CaseResult(case_name)
    fleet = Fleet(net, folder, case.machines, case.controllers, grace=f"{GRACE_S:g}s")
    fleet.sample = _sample()
    async with fleet:
        process_faults = ProcessFaults(fleet, history, Random(random.getrandbits(64)))
        servers = await _start_servers(fleet, case, history, random)
        watching = asyncio.create_task(process_faults.watch())
        clients = [Client(fleet, history, random, TENANTS) for _ in range(OPERATION_CLIENTS + LOOKUP_CLIENTS)]
        loads = [asyncio.create_task(each.run_operations()) for each in clients[:OPERATION_CLIENTS]]
        loads += [asyncio.create_task(each.run_lookups()) for each in clients[OPERATION_CLIENTS:]]
        try:
            if case.faults:
                await process_faults.run(case.faults, faults)
            await asyncio.sleep(CALM_S if case.faults else LOAD_S)
        finally:
            ended = await _cancel([*loads, watching])
            for server in servers:
                server.close()
    found.violations = violations(history, MODE == "keyed") + [f"a client failed: {each!r}" for each in ended]
    attempts = [each for each in history.attempts.values() if each.end is not AttemptEnd.CANCELLED]
    found.operations = [each for each in attempts if each.key]
    found.lookups = [each for each in attempts if not each.key]
    found.runs, found.done = len(history.runs), process_faults.done
    found.usage, found.stalls = process_faults.usage, len(history.stalls)
    return found


async def _start_servers(fleet: Fleet, case: Case, history: History, random: Random) -> list[OperationServer]:
    """Start the play's servers, and have the fleet's own leave once all proxies know them."""
    servers = []
    for number in range(2, SERVERS + 2):
        address = (f"{fleet.server.address[0].rsplit('.', 1)[0]}.{number}", fleet.server.address[1])
        server = OperationServer(f"i-{number}", address, history, random, case.slots, case.is_unruly)
        server.fault = case.manner
        await server.start()
        fleet.tasks.append(asyncio.create_task(fleet.send_heartbeats(server)))
        servers.append(server)
    fleet.server.state = "drain"

    async def all_serve() -> bool:
        before = len(history.runs)
        for name in fleet.ip:
            await fleet.call(name, "a.example", "/stock/1", TENANTS["sfax"])
        return len(history.runs) - before == len(fleet.ip)

    await fleet.wait_until(all_serve)
    history.runs.clear()
    return servers


async def _cancel(tasks: list[asyncio.Task[None]]) -> list[BaseException]:
    """End tasks; the errors of those that had failed."""
    for each in tasks:
        each.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    return [
        each
        for each in ended
        if isinstance(each, BaseException) and not isinstance(each, asyncio.CancelledError)
    ]


async def print_table(cases: list[str], seeds: range, say: Callable[[str], None]) -> bool:
    """Print a Markdown table, a row for each play; whether nothing was seen that must not be."""
    say(f"Mode {MODE}.")
    say("| case | seed | faults | operations: attempts, served | look-ups, served | runs "
        "| statuses | most memory, descriptors | stalls | wrong |")  # fmt: skip
    say("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    wrong: list[str] = []
    for case in cases:
        for seed in seeds:
            with tempfile.TemporaryDirectory() as folder:
                try:
                    found = await run_case(case, NET + seed % NETS, folder, Random(seed))
                except TimeoutError:
                    found = CaseResult(case, violations=["something never came to be in time"])
            say(_row(found, seed))
            for line in found.violations[:MAX_SHOWN]:
                wrong.append(f"{case}, seed {seed}: {line}")
                log.warning(wrong[-1])  # before the table ends, as later plays may be broken off
    for line in wrong:
        say(line)
    return not wrong


def _row(found: CaseResult, seed: int) -> str:
    statuses = Counter(each.status or each.end.name for each in found.operations)
    shown = ", ".join(f"{name} {count}" for name, count in statuses.most_common())
    return (
        f"| {found.case} | {seed} | {found.done.total()} | {len(found.operations)}, "
        f"{share_served(found.operations):.3f} | {len(found.lookups)}, {share_served(found.lookups):.3f} "
        f"| {found.runs} | {shown} | {found.usage.resident_mb:.0f} MB, {found.usage.descriptors} "
        f"| {found.stalls} | {len(found.violations)} |"
    )
