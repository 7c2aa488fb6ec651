"""Plays of the control plane's worst days with real processes: a leader that is cut off, killed or emptied
right after an acknowledgement, a member that is away for hundreds of changes. The history of orders and reads
is judged as that of one register (`lab/simulation/linearizability.py`).

    found = await run_case("cut", net=141, folder=folder, chance=Random(1))
"""

import asyncio
import os
import shutil
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.settings import Address
from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.simulation.linearizability import UNANSWERED, Event, first_violation
from lapisgrade.net.http import MalformedMessageError

LONG = 20.0  # s that a leader is cut off
CHANGES = 500  # while a member is away
PATIENCE = 1.0  # s that an operator waits for an answer
STEP_TIMEOUT_S = 30.0  # s that anything may take; a play that takes longer has failed
RIGHT_AFTER = 0.005  # s after an acknowledgement in which its machine is struck
ENDS = (400, 409, 412, 413, 422)
NET, NETS = 160, 40  # 127.160 to 127.199 are the plays' machines
CALM = 0.5  # s of orders before and after


@dataclass(slots=True)
class CaseResult:
    """What a play showed. Times in s."""

    case: str
    acknowledged: int = 0
    refused: int = 0
    unclear: int = 0
    reads: int = 0
    max_latency_s: float = 0.0  # until an order was answered clearly, by callers that reach all machines
    catch_up_s: float = 0.0  # until a member that was away had all changes
    violations: list[str] = field(default_factory=list)


class Operator:
    """Sends orders to one machine after another, or to one alone, and notes what it was told."""

    def __init__(self, fleet: Fleet, name: str, only: str = "") -> None:
        self.fleet, self.name, self.only = fleet, name, only
        self.events: list[Event] = []
        self.acknowledged: set[int] = set()
        self.marks: dict[int, str] = {}  # of its own versions: what tells them apart
        self.known, self.longest, self.refused = 1, 0.0, 0

    async def work(self) -> None:
        while True:
            await (self.read() if self.fleet.chance.random() < 0.3 else self.change())
            await asyncio.sleep(0.01)

    def place(self, turn: int) -> Address:
        ctl = self.fleet.controller_addresses
        return Address((self.fleet.ip[self.only], ctl[0][1])) if self.only else ctl[turn % len(ctl)]

    async def call(self, turn: int, call: str, body: bytes) -> tuple[int, bytes]:
        """Status and body; 0 for no answer."""
        try:
            async with asyncio.timeout(PATIENCE):
                got = await send_request(self.place(turn), "POST", f"/-/rpc?call={call}", body)
        except (OSError, TimeoutError, MalformedMessageError):
            return 0, b""
        return got.head.status_code, b"".join(got.body)

    async def change(self) -> bool:
        """One order, sent until its answer is clear; whether it was taken."""
        base, ver = self.known, self.known + 1 + self.fleet.chance.randrange(2)
        mark = f"mark-{self.name}-{len(self.events)}"
        body = msgspec.json.encode({"Ver": ver, "Base": base, "Upsert": {"Pools": [{"Name": mark}]}})
        began, turn, status = time.monotonic(), self.fleet.chance.randrange(3), 0
        called, at = round(began * 1e6), len(self.events)
        self.events.append(Event("change", called, UNANSWERED, ver, base))  # should this be ended midway
        while status != 200 and status not in ENDS:
            if time.monotonic() - began > (STEP_TIMEOUT_S if not self.only else PATIENCE):
                break
            turn += 1
            status, _ = await self.call(turn, "conf.update", body)
            if status != 200 and status not in ENDS:
                await asyncio.sleep(0.05)
        clear = status == 200 or status in ENDS
        ended = time.monotonic()
        self.longest = max(self.longest, ended - began)
        taken = status == 200 if clear else None
        returned = round(ended * 1e6) if clear else UNANSWERED
        self.events[at] = Event("change", called, returned, ver, base, taken)
        if taken:
            self.acknowledged.add(ver)
            self.marks[ver], self.known = mark, max(self.known, ver)
        else:
            self.refused += clear
            await self.read()
        return bool(taken)

    async def read(self, turn: int | None = None) -> int:
        """The version that a machine shows, 0 for none."""
        called = round(time.monotonic() * 1e6)
        turn = self.fleet.chance.randrange(3) if turn is None else turn
        status, body = await self.call(turn, "conf.show", b"")
        if status != 200:
            return 0
        ver = msgspec.json.decode(body)["Ver"]
        self.events.append(Event("read", called, round(time.monotonic() * 1e6), ver))
        self.known = max(self.known, ver)
        return ver


class CaseRun:
    """A fleet and its operators; `judge` says what was wrong."""

    def __init__(self, fleet: Fleet, chance: Random, found: CaseResult) -> None:
        self.fleet, self.chance, self.found = fleet, chance, found
        fleet.chance = chance
        self.operators = [Operator(fleet, "a"), Operator(fleet, "b")]
        self.tasks: list[asyncio.Task] = []

    def begin(self, *more: Operator) -> None:
        self.operators += more
        self.tasks += [asyncio.create_task(each.work()) for each in (more or self.operators)]

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def judge(self) -> None:
        found, operators = self.found, self.operators
        last = Operator(self.fleet, "last")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not await last.change():
                pass
        operators.append(last)
        _, shown = await last.call(0, "conf.show", b"")
        names = {each["Name"] for each in msgspec.json.decode(shown)["Pools"]}
        for each in operators:
            found.violations += [
                f"version {ver} was acknowledged and is gone"
                for ver in each.marks
                if each.marks[ver] not in names
            ]
        events = [event for each in operators for event in each.events]
        found.acknowledged = sum(bool(each.is_accepted) for each in events)
        found.refused = sum(each.refused for each in operators)
        found.unclear = sum(each.kind == "change" and each.is_accepted is None for each in events)
        found.reads = sum(each.kind == "read" for each in events)
        found.max_latency_s = max(each.longest for each in operators if not each.only)
        if (at := first_violation(events, 1)) is not None:
            found.violations.append(f"the history up to {at / 1e6:.3f} s can't be explained")

    async def struck(self, wipe: bool) -> None:
        """The machine that acknowledges an order loses its process right after, and with `wipe` its disk."""
        leader = await self.fleet.leader()
        one = Operator(self.fleet, "struck", leader)
        one.known = await one.read() or 1
        self.operators.append(one)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not await one.change():
                one.known = await one.read() or one.known
        await asyncio.sleep(RIGHT_AFTER * self.chance.random())
        await self.fleet.kill("controller", leader)
        if wipe:
            shutil.rmtree(os.path.join(self.fleet.folder, leader))
        await asyncio.sleep(self.chance.random())
        await self.fleet.start("controller", leader)


async def cut(run: CaseRun, seconds: float, one_way: str = "") -> None:
    """The leader is cut off from the other machines; orders and questions come to both sides."""
    fleet = run.fleet
    leader = await fleet.leader()
    others = [each for each in fleet.ip if each != leader]
    await asyncio.sleep(CALM)
    pairs = [(leader, each) for each in others] if one_way != "in" else []
    pairs += [(each, leader) for each in others] if one_way != "out" else []
    fleet.cut(*pairs)
    alone = Operator(fleet, "alone", leader)
    run.begin(alone)
    await asyncio.sleep(2.0)
    before = len([each for each in alone.events if each.is_accepted])
    await asyncio.sleep(max(0.0, seconds - 2.0))
    confirmed = len([each for each in alone.events if each.is_accepted]) - before
    if confirmed and not one_way:
        run.found.violations.append(f"a leader that was cut off confirmed {confirmed} orders")
    fleet.cut()
    await asyncio.sleep(2.0 + CALM)


async def acknowledged(run: CaseRun, wipe: bool) -> None:
    """Three times: struck right after an acknowledgement."""
    for _ in range(3):
        await asyncio.sleep(CALM)
        await run.struck(wipe)
        await asyncio.sleep(2.5)


async def away(run: CaseRun, changes: int) -> None:
    """One member is away for so many changes, comes back while they go on, and is asked once it leads."""
    fleet = run.fleet
    leader = await fleet.leader()
    member = next(each for each in fleet.controllers if each != leader)
    await fleet.kill("controller", member)
    wanted = sum(len(each.acknowledged) for each in run.operators) + changes
    async with asyncio.timeout(STEP_TIMEOUT_S + changes / 4):
        while sum(len(each.acknowledged) for each in run.operators) < wanted:
            await asyncio.sleep(0.05)
    began = time.monotonic()
    await fleet.start("controller", member)
    one = Operator(fleet, "asked", member)
    run.operators.append(one)
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not await one.read():
            await asyncio.sleep(0.05)
    run.found.catch_up_s = time.monotonic() - began
    await asyncio.sleep(1.0)
    await fleet.kill("controller", leader)  # the member and one other are a majority now
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not await one.change():
            one.known = await one.read() or one.known
    await fleet.start("controller", leader)
    await asyncio.sleep(CALM)


Case = Callable[[CaseRun, float], Awaitable[None]]
CASES: dict[str, Case] = {
    "cut": lambda run, part: cut(run, LONG * part),
    "cut one way, not heard": lambda run, part: cut(run, LONG * part, "out"),
    "cut one way, hears nobody": lambda run, part: cut(run, LONG * part, "in"),
    "killed right after": lambda run, part: acknowledged(run, False),
    "emptied right after": lambda run, part: acknowledged(run, True),
    "away": lambda run, part: away(run, round(CHANGES * part)),
}


async def run_case(case: str, net: int, folder: str, chance: Random, part: float = 1.0) -> CaseResult:
    """One play; `part` of the long cuts and of the changes."""
    found = CaseResult(case)
    async with Fleet(net, folder) as fleet:
        one = CaseRun(fleet, chance, found)
        one.begin()
        try:
            await CASES[case](one, part)
        except TimeoutError:
            found.violations.append("something took too long")
        await one.end()
        await one.judge()
    return found


async def print_table(names: list[str], seeds: range, say: Callable[[str], None], part: float = 1.0) -> bool:
    """A row a play; whether nothing wrong was seen."""
    say("| case | seed | acknowledged | refused | unclear | reads | longest wait s | caught up s | wrong |")
    say("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    sound = True
    for turn, (name, seed) in enumerate((name, seed) for name in names for seed in seeds):
        with tempfile.TemporaryDirectory() as folder:
            found = await run_case(name, NET + turn % NETS, folder, Random(seed), part)
        sound = sound and not found.violations
        say(
            f"| {name} | {seed} | {found.acknowledged} | {found.refused} | {found.unclear} | {found.reads} | "
            f"{found.max_latency_s:.2f} | {found.catch_up_s:.2f} | {'; '.join(found.violations) or '-'} |"
        )
    return sound
