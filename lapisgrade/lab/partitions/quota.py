"""Plays of a tenant's quota with real processes: one that asks for far more than its limit, and one beside it
that stays inside, while the proxy that holds both counts is cut off, frozen or killed.

    found = await run_case("owner-cut", net=101, folder=folder, chance=Random(1))

What ran is judged at the server, over all proxies, against what QUOTA allows in any window.
"""

import asyncio
import contextlib
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import median

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.local_cluster import HTTP_PORT, SAMPLE
from lapisgrade.gateway.quota.count import LEASE_US
from lapisgrade.gateway.quota.ownership import eligible_owners, owner_of
from lapisgrade.gateway.settings import Slo
from lapisgrade.lab.partitions.fleet import Fleet, RunCounter
from lapisgrade.net.http import MalformedMessageError

MACHINES, CONTROLLERS = 6, 3  # counts are held away from controllers
RATE = BURST = 60  # of both tenants
HOT = 7.5  # times its rate that the one asks for, as the deployments' hot tenants do
CALM = 1 / 1.6  # of its rate that the other asks for, as on the deployments' common days
BEFORE, AFTER = 3.0, 6.0  # s of load before the fault, and after it: more than a window
FAULT = 4.5  # s; a lease and a half
AGAIN = 0.2  # s after which a process that was killed is started again
NET, NETS = 120, 100
SLO = Slo()


@dataclass(slots=True)
class CaseResult:
    """What a play showed."""

    case: str
    worst: int = 0  # runs of the hot tenant in its worst window
    used: float = 0.0  # of its rate, over the whole play
    asked: int = 0  # by the calm one
    refused: int = 0  # of those, 429
    failed: int = 0  # of those, any other end but 200
    violations: list[str] = field(default_factory=list)


def quota_bound(slo: Slo, rate: float, burst: float) -> float:
    """Runs in any QuotaWin, by RULES."""
    return (rate * slo.quota_win / SECOND + burst) * (1 + slo.quota_excess) + slo.quota_extra


def max_in_window(at: list[float], window: float) -> int:
    """The most of those times in any window of that length."""
    at, found, first = sorted(at), 0, 0
    for last, when in enumerate(at):
        while at[first] <= when - window:
            first += 1
        found = max(found, last - first + 1)
    return found


class CaseRun:
    def __init__(self, fleet: Fleet, hot: str, calm: str, holds: list[str], chance: Random) -> None:
        self.fleet, self.hot, self.calm, self.holds, self.chance = fleet, hot, calm, holds, chance
        self.calls: Counter[int] = Counter()  # the calm one's, by status
        self._tasks: set[asyncio.Task] = set()

    async def load(self, tenant: str, a_second: float) -> None:
        """An open loop: each request at its own time, at any proxy."""
        names, due, number = list(self.fleet.ip), time.monotonic(), 0
        while True:
            due += self.chance.expovariate(a_second)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            task = asyncio.create_task(self.one(tenant, f"{tenant} {number}", self.chance.choice(names)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def one(self, tenant: str, id: str, name: str) -> None:
        fields = {"Host": "a.example", "Try-Id": id, "Deadline-Ms": "900"}
        fields["Authorization"] = f"Bearer {tenant}"
        status, place = 0, (self.fleet.ip[name], HTTP_PORT)
        with contextlib.suppress(OSError, TimeoutError, MalformedMessageError):
            status = (await send_request(place, "GET", "/stock/1", fields=fields)).head.status_code
        if tenant == self.calm:
            self.calls[status] += 1

    async def end(self) -> None:
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def again(self, *names: str) -> None:
        """Those proxies are killed at one moment, and started again."""
        for name in names:
            self.fleet.send_signal("proxy", name, signal.SIGKILL)
        for name in names:
            await self.fleet.running["proxy", name].wait()
        await asyncio.sleep(AGAIN)
        for name in names:
            await self.fleet.start("proxy", name)


# ---- the cases; `holds` names the owner and those after it


async def none(run: CaseRun) -> None:
    """Nothing but load."""
    await asyncio.sleep(FAULT)


async def owner_cut(run: CaseRun) -> None:
    """The owner reaches nobody, and clients go on at it."""
    one = run.holds[0]
    run.fleet.part({one}, set(run.fleet.ip) - {one})
    await asyncio.sleep(FAULT)
    run.fleet.cut()


async def owner_deaf(run: CaseRun) -> None:
    """The owner says what it did, and hears nobody."""
    one = run.holds[0]
    run.fleet.cut(*((other, one) for other in run.fleet.ip if other != one))
    await asyncio.sleep(FAULT)
    run.fleet.cut()


async def half_cut(run: CaseRun) -> None:
    """All controllers and the owner's successor on one side, the owner and the rest on the other."""
    side = {run.holds[0], run.holds[2]}
    run.fleet.part(side, set(run.fleet.ip) - side)
    await asyncio.sleep(FAULT)
    run.fleet.cut()


async def owner_frozen(run: CaseRun) -> None:
    """The owner is stopped for a lease and a half, and wakes with all it knew."""
    run.fleet.send_signal("proxy", run.holds[0], signal.SIGSTOP)
    await asyncio.sleep(FAULT)
    run.fleet.send_signal("proxy", run.holds[0], signal.SIGCONT)


async def owners_killed(run: CaseRun) -> None:
    """The owner is killed, and its successor a moment after it took over."""
    for name in run.holds[:2]:
        await run.again(name)
        await asyncio.sleep(FAULT / 2)


async def all_killed(run: CaseRun) -> None:
    """Every proxy at one moment, twice."""
    for _ in range(2):
        await run.again(*run.fleet.ip)
        await asyncio.sleep(FAULT / 2)


async def cut_and_killed(run: CaseRun) -> None:
    """The owner is cut off, and while it is, all others are killed and come back."""
    one = run.holds[0]
    run.fleet.part({one}, set(run.fleet.ip) - {one})
    await asyncio.sleep(LEASE_US / SECOND / 3)
    await run.again(*(set(run.fleet.ip) - {one}))
    await asyncio.sleep(FAULT - LEASE_US / SECOND / 3)
    run.fleet.cut()


CASES = {"none": none, "owner-cut": owner_cut, "owner-deaf": owner_deaf, "half-cut": half_cut,
         "owner-frozen": owner_frozen, "owners-killed": owners_killed, "all-killed": all_killed,
         "cut-and-killed": cut_and_killed}  # fmt: skip


def owners(tenant: str, names: list[str], core: list[str]) -> list[str]:
    """Who holds its count, and who would after each is gone."""
    left, found = dict.fromkeys(names), []
    while kept := eligible_owners(left, core):
        found.append(owner_of(tenant, kept))
        del left[found[-1]]
        if not left:
            break
    return found


async def run_case(case: str, net: int, folder: str, chance: Random) -> CaseResult:
    """One case on machines of 127.`net`; TimeoutError where the fleet never came up."""
    names = [f"m{number}" for number in range(1, MACHINES + 1)]
    core = names[:CONTROLLERS]
    hot = f"hot{chance.randrange(1000)}"
    holds = owners(hot, names, core)
    calm = next(each for each in (f"calm{number}" for number in range(1000))
                if owners(each, names, core)[:2] == holds[:2])  # fmt: skip
    tenants = [{"Name": each, "Apikeys": [each], "RateS": RATE, "Burst": BURST} for each in (hot, calm)]
    tenants += SAMPLE["Tenants"]
    async with Fleet(net, folder, MACHINES, CONTROLLERS, tenants) as fleet:
        fleet.server.run_counts, fleet.server.slots = RunCounter(), 256
        one = CaseRun(fleet, hot, calm, holds, chance)
        began = time.monotonic()
        loads = [asyncio.create_task(one.load(*each)) for each in ((hot, HOT * RATE), (calm, CALM * RATE))]
        try:
            await asyncio.sleep(BEFORE)
            await CASES[case](one)
            await asyncio.sleep(AFTER)
        finally:
            for each in loads:
                each.cancel()
            await one.end()
        took = time.monotonic() - began
        at = [when for id, when in fleet.server.run_counts.at.items() if id.startswith(hot)]
        found = CaseResult(case, max_in_window(at, SLO.quota_win / SECOND), len(at) / (RATE * took + BURST))
        found.asked, found.refused = sum(one.calls.values()), one.calls[429]
        found.failed = found.asked - one.calls[200] - found.refused
        if found.worst > (bound := quota_bound(SLO, RATE, BURST)):
            found.violations.append(f"{found.worst} runs in a window, {bound:g} allowed")
        return found


async def print_table(cases: list[str], seeds: range, say: Callable[[str], None]) -> bool:
    """A Markdown table, a row a case; whether every play kept to the rule."""
    bound = quota_bound(SLO, RATE, BURST)
    say(f"Allowed in a window: {bound:g}.")
    say("")
    say("| case | plays | worst window, median and most | of what is allowed | of its rate "
        "| inside its quota: asked | 429 | other ends |")  # fmt: skip
    say("| --- | --- | --- | --- | --- | --- | --- | --- |")
    wrong: list[str] = []
    for case in cases:
        rows = []
        for seed in seeds:
            with tempfile.TemporaryDirectory() as folder:
                rows.append(await run_case(case, NET + seed % NETS, folder, Random(seed)))
            wrong += [f"{case}, seed {seed}: {each}" for each in rows[-1].violations]
        worst = max(each.worst for each in rows)
        say(
            f"| {case} | {len(rows)} | {median(each.worst for each in rows):g}, {worst} "
            f"| {worst / bound:.2f} | {median(each.used for each in rows):.2f} "
            f"| {sum(each.asked for each in rows)} | {sum(each.refused for each in rows)} "
            f"| {sum(each.failed for each in rows)} |"
        )
    for each in wrong:
        say(each)
    return not wrong
