"""Failures of the control plane with real processes.

A leader is partitioned, or is killed or loses its disk right after an acknowledgement; a member is down
during hundreds of changes. The history of changes and reads is checked as that of one register
(`lab/simulation/linearizability.py`).

    result = await run_case("cut", net=141, folder=folder, random=Random(1))
"""

import asyncio
import functools
import os
import shutil
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.settings import Address
from lapisgrade.lab.partitions import case_table
from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.simulation.linearizability import UNANSWERED, Event, first_violation
from lapisgrade.net.http import MalformedMessageError

PARTITION_S = 20.0  # duration of a leader's partition
CHANGES = 500  # acknowledged while a member is down
REQUEST_TIMEOUT_S = 1.0  # maximum time that an operator waits for a response
STEP_TIMEOUT_S = 30.0  # maximum duration of any step; a case that takes longer has failed
MAX_KILL_DELAY_S = 0.005  # from an acknowledgement until the controller that sent it is killed
FINAL_STATUSES = (400, 409, 412, 413, 422)  # the change was rejected; after any other error it is retried
FIRST_NETWORK, NETWORKS = 160, 40  # cases run in 127.160 to 127.199
CALM_S = 0.5  # duration of the load before and after the fault
TITLES = [
    "case",
    "seed",
    "acknowledged",
    "refused",
    "unknown",
    "reads",
    "max latency s",
    "catch-up s",
    "violations",
]


@dataclass(slots=True)
class CaseResult:
    """Measurements and violations of one run of a case.

    Attributes:
        case: Name of the case.
        acknowledged: Acknowledged changes.
        refused: Changes that were rejected with a final status.
        unknown_outcomes: Changes without a final response.
        reads: Successful reads.
        max_latency_s: Longest time of a change until its final response or until it was given up, among
            operators that reach all machines.
        catch_up_s: Time from the restart of a member that was down until it serves reads.
        violations: Descriptions of everything that happened and must not.
    """

    case: str
    acknowledged: int = 0
    refused: int = 0
    unknown_outcomes: int = 0
    reads: int = 0
    max_latency_s: float = 0.0
    catch_up_s: float = 0.0
    violations: list[str] = field(default_factory=list)


class Operator:
    """Sends changes and reads to all controllers, or to only one, and records the responses.

    A change that gets no final response is retried at the next controller that the operator reaches.

    Attributes:
        fleet: Fleet that it operates.
        name: Its name, part of the pools that its changes add.
        only_machine: The one machine that it reaches; empty if it reaches all.
        events: Its history, for the linearizability check.
        acknowledged: Versions that were acknowledged.
        pools_by_version: The pool that each of its acknowledged versions adds.
        newest_version: Newest version that it has seen.
        max_latency_s: Longest time until a change got a final response or was given up.
        refused: Number of rejected changes.
    """

    def __init__(self, fleet: Fleet, name: str, only_machine: str = "") -> None:
        """Create an operator of `fleet`; `only_machine` is as in the class docstring."""
        self.fleet, self.name, self.only_machine = fleet, name, only_machine
        self.events: list[Event] = []
        self.acknowledged: set[int] = set()
        self.pools_by_version: dict[int, str] = {}
        self.newest_version, self.max_latency_s, self.refused = 1, 0.0, 0

    async def run(self) -> None:
        """Send reads and changes until cancelled."""
        while True:
            await (self.read() if self.fleet.random.random() < 0.3 else self.change())
            await asyncio.sleep(0.01)

    def target(self, turn: int) -> Address:
        """Return the address of controller number `turn`, modulo their count, or of `only_machine`."""
        addresses = self.fleet.controller_addresses
        return (
            Address((self.fleet.ip[self.only_machine], addresses[0][1]))
            if self.only_machine
            else addresses[turn % len(addresses)]
        )

    async def call(self, turn: int, call: str, body: bytes) -> tuple[int, bytes]:
        """Send a request to controller number `turn`; return its status and body, or 0 and no body.

        Args:
            turn: Number of the controller, as in `target`.
            call: Name of the remote procedure.
            body: Encoded argument of the call.
        """
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                response = await send_request(self.target(turn), "POST", f"/-/rpc?call={call}", body)
        except (OSError, TimeoutError, MalformedMessageError):
            return 0, b""
        return response.head.status_code, b"".join(response.body)

    async def change(self) -> bool:
        """Send a change until it gets a final response; return whether it was accepted.

        Gives up after `STEP_TIMEOUT_S`, or after `REQUEST_TIMEOUT_S` if it reaches only one machine.
        """
        base_version, version = self.newest_version, self.newest_version + 1 + self.fleet.random.randrange(2)
        pool = f"mark-{self.name}-{len(self.events)}"
        body = msgspec.json.encode(
            {"Ver": version, "Base": base_version, "Upsert": {"Pools": [{"Name": pool}]}}
        )
        started_s, turn, status = time.monotonic(), self.fleet.random.randrange(3), 0
        called_us, index = round(started_s * 1e6), len(self.events)
        # Recorded now without a response, in case this task is cancelled before the response.
        self.events.append(Event("change", called_us, UNANSWERED, version, base_version))
        while status != 200 and status not in FINAL_STATUSES:
            if time.monotonic() - started_s > (
                STEP_TIMEOUT_S if not self.only_machine else REQUEST_TIMEOUT_S
            ):
                break
            turn += 1
            status, _ = await self.call(turn, "conf.update", body)
            if status != 200 and status not in FINAL_STATUSES:
                await asyncio.sleep(0.05)
        is_final = status == 200 or status in FINAL_STATUSES
        ended_s = time.monotonic()
        self.max_latency_s = max(self.max_latency_s, ended_s - started_s)
        is_accepted = status == 200 if is_final else None
        returned_us = round(ended_s * 1e6) if is_final else UNANSWERED
        self.events[index] = Event("change", called_us, returned_us, version, base_version, is_accepted)
        if is_accepted:
            self.acknowledged.add(version)
            self.pools_by_version[version], self.newest_version = pool, max(self.newest_version, version)
        else:
            self.refused += is_final
            await self.read()
        return bool(is_accepted)

    async def read(self, turn: int | None = None) -> int:
        """Ask a controller, a random one by default, for its newest version; return 0 if it fails."""
        called_us = round(time.monotonic() * 1e6)
        turn = self.fleet.random.randrange(3) if turn is None else turn
        status, body = await self.call(turn, "conf.show", b"")
        if status != 200:
            return 0
        version = msgspec.json.decode(body)["Ver"]
        self.events.append(Event("read", called_us, round(time.monotonic() * 1e6), version))
        self.newest_version = max(self.newest_version, version)
        return version


class CaseRun:
    """One run of a case: a fleet and its operators.

    Attributes:
        fleet: The fleet under test.
        random: Source of all random choices.
        result: Result, which `check` fills in.
        operators: All operators, whose histories are checked together.
        tasks: Running operators.
    """

    def __init__(self, fleet: Fleet, random: Random, result: CaseResult) -> None:
        """Create a run with two operators that reach all controllers; `start_operators` starts them."""
        self.fleet, self.random, self.result = fleet, random, result
        fleet.random = random
        self.operators = [Operator(fleet, "a"), Operator(fleet, "b")]
        self.tasks: list[asyncio.Task] = []

    def start_operators(self, *added: Operator) -> None:
        """Add these operators and start them; without arguments, start the two that exist from the start."""
        self.operators += added
        self.tasks += [asyncio.create_task(operator.run()) for operator in (added or self.operators)]

    async def stop_operators(self) -> None:
        """Cancel all running operators."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def check(self) -> None:
        """Check the history of all operators and fill in the result.

        One more change must be accepted first. Violations are an acknowledged change that is missing from the
        configuration afterwards, and a history that is not linearizable.

        Raises:
            TimeoutError: No further change is accepted within `STEP_TIMEOUT_S`.
        """
        result, operators = self.result, self.operators
        last = Operator(self.fleet, "last")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not await last.change():
                pass
        operators.append(last)
        _, configuration = await last.call(0, "conf.show", b"")
        names = {each["Name"] for each in msgspec.json.decode(configuration)["Pools"]}
        for operator in operators:
            result.violations += [
                f"version {version} was acknowledged, but its change is missing from the configuration"
                for version in operator.pools_by_version
                if operator.pools_by_version[version] not in names
            ]
        events = [event for operator in operators for event in operator.events]
        result.acknowledged = sum(bool(each.is_accepted) for each in events)
        result.refused = sum(each.refused for each in operators)
        result.unknown_outcomes = sum(each.kind == "change" and each.is_accepted is None for each in events)
        result.reads = sum(each.kind == "read" for each in events)
        result.max_latency_s = max(each.max_latency_s for each in operators if not each.only_machine)
        if (at := first_violation(events, 1)) is not None:
            result.violations.append(f"the history up to {at / 1e6:.3f} s is not linearizable")

    async def kill_after_acknowledgement(self, wipe: bool) -> None:
        """Kill the leader right after it acknowledges a change, delete its data if `wipe`, and restart it.

        Raises:
            TimeoutError: No change is accepted within `STEP_TIMEOUT_S`.
        """
        leader = await self.fleet.leader()
        operator = Operator(self.fleet, "struck", leader)
        operator.newest_version = await operator.read() or 1
        self.operators.append(operator)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not await operator.change():
                operator.newest_version = await operator.read() or operator.newest_version
        await asyncio.sleep(MAX_KILL_DELAY_S * self.random.random())
        await self.fleet.kill("controller", leader)
        if wipe:
            shutil.rmtree(os.path.join(self.fleet.folder, leader))
        await asyncio.sleep(self.random.random())
        await self.fleet.start("controller", leader)


async def partition_leader(run: CaseRun, duration_s: float, direction: str = "") -> None:
    """Cut the leader's links to all other machines, while operators use both sides.

    With both directions cut, the leader must not acknowledge any change from 2 s after the cut on.

    Args:
        run: The run of this case.
        duration_s: Duration of the partition, at least 2 s.
        direction: "out" to cut only what the leader sends, "in" to cut only what it receives; empty for both.
    """
    fleet = run.fleet
    leader = await fleet.leader()
    others = [each for each in fleet.ip if each != leader]
    await asyncio.sleep(CALM_S)
    pairs = [(leader, each) for each in others] if direction != "in" else []
    pairs += [(each, leader) for each in others] if direction != "out" else []
    fleet.set_cuts(*pairs)
    isolated = Operator(fleet, "alone", leader)
    run.start_operators(isolated)
    await asyncio.sleep(2.0)
    before = len([each for each in isolated.events if each.is_accepted])
    await asyncio.sleep(max(0.0, duration_s - 2.0))
    acknowledged = len([each for each in isolated.events if each.is_accepted]) - before
    if acknowledged and not direction:
        run.result.violations.append(f"a partitioned leader acknowledged {acknowledged} changes")
    fleet.set_cuts()
    await asyncio.sleep(2.0 + CALM_S)


async def kill_leader(run: CaseRun, wipe: bool) -> None:
    """Kill the leader right after an acknowledgement, and delete its data if `wipe`, three times."""
    for _ in range(3):
        await asyncio.sleep(CALM_S)
        await run.kill_after_acknowledgement(wipe)
        await asyncio.sleep(2.5)


async def stop_member(run: CaseRun, changes: int) -> None:
    """Keep a member down during `changes` changes, restart it, and kill the leader once it caught up.

    The load continues during all steps. At the end the restarted member must accept a change.

    Raises:
        TimeoutError: The changes, the restarted member's first read or its change took too long.
    """
    fleet = run.fleet
    leader = await fleet.leader()
    member = next(each for each in fleet.controllers if each != leader)
    await fleet.kill("controller", member)
    goal = sum(len(each.acknowledged) for each in run.operators) + changes
    async with asyncio.timeout(STEP_TIMEOUT_S + changes / 4):
        while sum(len(each.acknowledged) for each in run.operators) < goal:
            await asyncio.sleep(0.05)
    started_s = time.monotonic()
    await fleet.start("controller", member)
    operator = Operator(fleet, "asked", member)
    run.operators.append(operator)
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not await operator.read():
            await asyncio.sleep(0.05)
    run.result.catch_up_s = time.monotonic() - started_s
    await asyncio.sleep(1.0)
    await fleet.kill("controller", leader)  # the restarted member and one other now form the quorum
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not await operator.change():
            operator.newest_version = await operator.read() or operator.newest_version
    await fleet.start("controller", leader)
    await asyncio.sleep(CALM_S)


Case = Callable[[CaseRun, float], Awaitable[None]]  # the second argument is `scale` of `run_case`
CASES: dict[str, Case] = {
    "cut": lambda run, scale: partition_leader(run, PARTITION_S * scale),
    "cut one way, not heard": lambda run, scale: partition_leader(run, PARTITION_S * scale, "out"),
    "cut one way, hears nobody": lambda run, scale: partition_leader(run, PARTITION_S * scale, "in"),
    "killed right after": lambda run, scale: kill_leader(run, False),
    "emptied right after": lambda run, scale: kill_leader(run, True),
    "away": lambda run, scale: stop_member(run, round(CHANGES * scale)),
}


async def run_case(case: str, net: int, folder: str, random: Random, scale: float = 1.0) -> CaseResult:
    """Run one case.

    Args:
        case: Name of the case.
        net: Second number of the machines' addresses, in 127/8.
        folder: Folder for the fleet's files.
        random: Source of all random choices.
        scale: Factor for `PARTITION_S` and `CHANGES`.

    Raises:
        TimeoutError: The fleet didn't start, or accepted no change at the end.
    """
    result = CaseResult(case)
    async with Fleet(net, folder) as fleet:
        run = CaseRun(fleet, random, result)
        run.start_operators()
        try:
            await CASES[case](run, scale)
        except TimeoutError:
            result.violations.append("a step of the case timed out")
        await run.stop_operators()
        await run.check()
    return result


async def print_table(
    names: list[str], seeds: range, echo: Callable[[str], None], scale: float = 1.0
) -> bool:
    """Run each case with each seed and print a Markdown table; return whether there were no violations.

    Args:
        names: Names of the cases.
        seeds: Seeds of the runs of each case.
        echo: Prints a line.
        scale: As for `run_case`.
    """
    case_table.print_header(TITLES, echo)
    run_scaled = functools.partial(run_case, scale=scale)
    is_sound = True
    for turn, (name, seed) in enumerate((name, seed) for name in names for seed in seeds):
        net = FIRST_NETWORK + turn % NETWORKS
        result = await case_table.run_with_seed(run_scaled, name, seed, net)
        is_sound = is_sound and not result.violations
        case_table.print_row(_row(result, seed), echo)
    return is_sound


def _row(result: CaseResult, seed: int) -> list[str]:
    """Return the row of a run in the table."""
    return [
        result.case,
        str(seed),
        str(result.acknowledged),
        str(result.refused),
        str(result.unknown_outcomes),
        str(result.reads),
        f"{result.max_latency_s:.2f}",
        f"{result.catch_up_s:.2f}",
        "; ".join(result.violations) or "-",
    ]
