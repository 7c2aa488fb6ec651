"""Plays of a break and its heal with real processes whose links are cut, and what their history must show.

    found = await run_case("edge", net=101, folder=folder, chance=Random(1))

A route for claims is edited on each side of the break; claims (what may run once) and urgent look-ups come to
every proxy all the while. `breaches` is pure: it judges the history of the claims alone.
"""

import asyncio
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import median

import msgspec

from lapisgrade.gateway.cli.drafts import DraftClient
from lapisgrade.gateway.cli.operator_client import OperatorClient, lagging_proxies
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.fake_server import FakeServer
from lapisgrade.gateway.http_client import post_to_any, send_request
from lapisgrade.gateway.local_cluster import HTTP_PORT, SAMPLE
from lapisgrade.lab.partitions.fleet import POLL_INTERVAL_S, Fleet, RunCounter
from lapisgrade.net.http import MalformedMessageError

CALM = 1.5  # s of calls before the break, to compare with
BROKEN = (0.5, 3.0)  # s that the break lasts once both sides are edited
AFTER = 1.0  # s of calls after the moment
REOPENED = 1.5  # s of a break that opens again
STEP_TIMEOUT_S = 20.0  # s that anything may take; a play that takes longer has failed
NET, NETS = 120, 100  # 127.120 to 127.219 are the plays' machines
CLAIM = SAMPLE["Ports"][0]["Policy"][1]
KEY = f"Bearer {SAMPLE['Tenants'][0]['Apikeys'][0]}"
NEW = "reparation"  # the service that the claims' route moves to
HELD = {200: "ran", 503: "promised", 429: "promised"}  # any other answer says neither


def claim_rule_edit(**more) -> dict:
    """An edit of the claims' route: its fields, and those of its Action."""
    action = {**CLAIM["Action"], **more.pop("Action", {})}
    return {"Upsert": {"Ports": [{"Vhost": "a.example", "Policy": [{**CLAIM, **more, "Action": action}]}]}}


@dataclass(slots=True)
class Try:
    """One try of one claim."""

    claim: int
    proxy: str
    sent: float  # s, monotonic
    status: int = 0  # 0 for none
    took: float = 0.0


def breaches(
    tries: dict[str, Try], old: RunCounter, new: RunCounter, away: set[str] = frozenset()
) -> list[str]:
    """What must not be, over all tries by id: a claim that ran twice; a promise that was not kept; a success
    that no server ran; a claim by the old route that was sent after one went by the merged one, but for
    proxies that were `away` and could not know."""
    said: list[str] = []
    runs: Counter[int] = Counter()
    first = min((new.at[name] for name in tries if name in new), default=float("inf"))
    for name, each in tries.items():
        ran = old[name] + new[name] if name in old or name in new else 0
        runs[each.claim] += ran
        held = HELD.get(each.status)
        if held == "promised" and ran:
            said.append(f"{name}: answered {each.status}, and ran")
        if held == "ran" and not ran:
            said.append(f"{name}: answered {each.status}, and nobody ran it")
        if name in old and each.sent > first and each.proxy not in away:
            said.append(f"{name}: by the old route at {each.proxy}, {each.sent - first:.3f} s late")
    return said + [f"claim {number}: ran {count} times" for number, count in runs.items() if count > 1]


def p99(took: list[float]) -> float:
    return sorted(took)[int(0.99 * (len(took) - 1))] if took else 0.0


@dataclass(slots=True)
class CaseResult:
    """What a play showed."""

    case: str
    merged: float = 0.0  # s from the (last) heal to the merged version in force at every proxy
    claims: int = 0
    promised: int = 0  # tries told to come back, from the first heal on
    unclear: int = 0  # claims whose client can't know
    calm_p99: float = 0.0  # s, urgent look-ups
    rejoin_p99: float = 0.0
    urgent_failed: int = 0
    violations: list[str] = field(default_factory=list)


class Clients:
    """A claims' client and an urgent one at every proxy. A claim that was promised not to have run is sent
    again, with an id of its own, when its answer says; one whose answer says neither is left."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.tries: dict[str, Try] = {}
        self.urgent: list[Try] = []
        self.unclear = self.claims = 0
        self._tasks = [asyncio.create_task(doing(name)) for name in fleet.ip
                       for doing in (self._claims, self._look_ups)]  # fmt: skip

    async def _one(self, each: Try, path: str, id: str) -> float:
        fields = {"Host": "a.example", "Try-Id": id, "Deadline-Ms": "900", "Authorization": KEY}
        back = 0.0
        try:
            got = await send_request((self.fleet.ip[each.proxy], HTTP_PORT), "GET", path, fields=fields)
            each.status, back = got.head.status_code, float(got.headers().get(b"retry-after", b"0"))
        except (OSError, TimeoutError, MalformedMessageError):
            pass
        each.took = time.monotonic() - each.sent
        return back

    async def _claims(self, name: str) -> None:
        while True:
            self.claims += 1
            number, again = self.claims, True
            while again:
                id = f"c{len(self.tries):015x}"
                each = self.tries[id] = Try(number, name, time.monotonic())
                back = await self._one(each, "/claim/1", id)
                again = HELD.get(each.status) == "promised"
                if again:
                    await asyncio.sleep(back)
            self.unclear += each.status not in HELD
            await asyncio.sleep(2 * POLL_INTERVAL_S)

    async def _look_ups(self, name: str) -> None:
        while True:
            each = Try(0, name, time.monotonic())
            await self._one(each, "/stock/1", f"u{len(self.urgent):015x}{name}")
            self.urgent.append(each)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def end(self) -> None:
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class CaseRun:
    """One play: what the cases do with it."""

    def __init__(self, fleet: Fleet, chance: Random) -> None:
        self.fleet, self.chance = fleet, chance
        self.away: set[str] = set()  # proxies that could not know of the merge
        self.healed = 0.0

    async def wait_until(self, holds: Callable[[], Awaitable[bool]]) -> None:
        await self.fleet.wait_until(holds, STEP_TIMEOUT_S)

    def controllers(self, *names: str) -> list:
        return [
            self.fleet.controller_addresses[list(self.fleet.ip).index(name)]
            for name in names or self.fleet.ip
        ]

    async def settled(self) -> None:
        """Every controller votes, and every proxy is known."""
        client, names = OperatorClient(self.controllers(), lambda line: None), set(self.fleet.ip)

        async def known() -> bool:
            status, where = await client.call("conf.status")
            return status == 200 and len(where["Voters"]) == len(names) == len(where["Proxies"])

        await self.wait_until(known)

    async def acknowledged(self, ver: int, base: int, change: dict, *names: str) -> None:
        body = msgspec.json.encode({"Ver": ver, "Base": base, **change})

        async def taken() -> bool:
            return await post_to_any(self.controllers(*names), "/-/rpc?call=conf.update", body) == 200

        await self.wait_until(taken)

    async def alone(self, name: str) -> None:
        """The cut is felt: that controller reaches no leader."""
        client = OperatorClient(self.controllers(name), lambda line: None)

        async def none_reached() -> bool:
            status, known = await client.call("conf.drafts")
            return status == 200 and not known["Leader"]

        await self.wait_until(none_reached)

    async def drafted(self, name: str, change: dict, disks: int = 1) -> None:
        """Kept at that controller, once it is alone, and on so many disks."""
        await self.alone(name)
        said: list[str] = []
        client = DraftClient(self.controllers(name), said.append)

        async def kept() -> bool:
            said.clear()
            try:
                done = await client.send(msgspec.json.encode(change), name) == 0
            except InvalidInputError:
                return False
            return done and (disks == 1 or f"kept on {disks} disks" in said[0])

        await self.wait_until(kept)

    async def broken(self) -> None:
        await asyncio.sleep(self.chance.uniform(*BROKEN))

    def heal(self) -> None:
        self.fleet.cut()
        self.healed = time.monotonic()

    async def in_log(self, *names: str) -> None:
        """A draft has been handed in."""
        client = OperatorClient(self.controllers(*names), lambda line: None)

        async def merged() -> bool:
            status, known = await client.call("conf.drafts")
            return status == 200 and any(each["State"] != "kept" for each in known["Drafts"])

        await self.wait_until(merged)

    async def merged(self, timeout: str = "1500ms") -> None:
        """One version with both edits, in force at every proxy."""
        client = OperatorClient(self.controllers(), lambda line: None)

        async def everywhere() -> bool:
            try:
                conf, where = await client.fetch_newest()
            except InvalidInputError:
                return False
            rule = next(each for each in conf["Ports"][0]["Policy"] if each["Name"] == "r-claim")
            both = (rule["Action"].get("Svc"), rule["Action"]["Timeout"]) == (NEW, timeout)
            names = {each["Name"] for each in where["Proxies"]}
            return both and names == set(self.fleet.ip) and not lagging_proxies(where, conf["Ver"])

        await self.wait_until(everywhere)


# ---- the cases


async def edge(run: CaseRun, side: set[str] = frozenset({"m3"})) -> None:
    """One machine is cut off, and its people edit the route that the others edit too."""
    rest = set(run.fleet.ip) - side
    run.fleet.part(rest, side)
    name = min(side)
    await run.drafted(name, claim_rule_edit(Action={"Svc": NEW}), len(side))
    await run.acknowledged(6, 2, claim_rule_edit(Action={"Timeout": "1500ms"}), *sorted(rest))
    await run.broken()


async def cut_off(run: CaseRun) -> None:
    await edge(run)
    run.heal()


async def one_way(run: CaseRun) -> None:
    """It hears the others, and nothing that it says gets out."""
    run.fleet.cut(("m3", "m1"), ("m3", "m2"))
    await run.drafted("m3", claim_rule_edit(Action={"Svc": NEW}))
    await run.acknowledged(6, 2, claim_rule_edit(Action={"Timeout": "1500ms"}), "m1", "m2")
    await run.broken()
    run.heal()


async def three_sides(run: CaseRun) -> None:
    """Nobody reaches anybody, and each edits the route."""
    run.fleet.part({"m1"}, {"m2"}, {"m3"})
    for name, change in (
        ("m1", claim_rule_edit(Prio=4)),
        ("m2", claim_rule_edit(Action={"Svc": NEW})),
        ("m3", claim_rule_edit(Action={"Timeout": "1500ms"})),
    ):  # fmt: skip
        await run.drafted(name, change)
    await run.broken()
    run.heal()


async def opens_again(run: CaseRun) -> None:
    """The break opens again as soon as the draft is in the log; the merge goes on without that side."""
    await edge(run)
    run.fleet.cut()
    await run.in_log("m1", "m2")
    run.away = {"m3"}
    run.fleet.part({"m1", "m2"}, {"m3"})
    await asyncio.sleep(REOPENED)
    run.heal()


async def leader_lost(run: CaseRun) -> None:
    """The controller that leads is killed as soon as a draft is in the log, and started again."""
    await edge(run)
    run.heal()
    await run.in_log("m1", "m2")
    leader = await run.fleet.leader()
    await run.fleet.kill("controller", leader)
    await run.fleet.start("controller", leader)


async def wiped(run: CaseRun) -> None:
    """The machine that took the draft loses its disk; a neighbour of its side has a copy."""
    await edge(run, {"m4", "m5"})
    await run.fleet.kill("controller", "m4")
    shutil.rmtree(Path(run.fleet.folder) / "m4")
    await run.fleet.start("controller", "m4")
    run.heal()


CASES = {"cut-off": cut_off, "one-way": one_way, "three-sides": three_sides, "opens-again": opens_again,
         "leader-lost": leader_lost, "wiped": wiped}  # fmt: skip
MACHINES = {"wiped": 5}  # else three; a side of two without a majority needs five


async def run_case(case: str, net: int, folder: str, chance: Random) -> CaseResult:
    """One case on machines of 127.`net`; TimeoutError where something never came to be."""
    tenants = [{**SAMPLE["Tenants"][0], "RateS": 0, "Burst": 0}]
    async with Fleet(net, folder, MACHINES.get(case, 3), tenants=tenants) as fleet:
        second = FakeServer("i-2", NEW, (f"127.{net}.1.2", 8080), slots=64)
        await second.start()
        fleet.tasks.append(asyncio.create_task(fleet.beats(second)))
        fleet.server.run_counts, second.run_counts = RunCounter(), RunCounter()
        clients = None
        try:
            one = CaseRun(fleet, chance)
            await one.settled()
            pools = {"Upsert": {"Pools": [*SAMPLE["Pools"], {"Name": NEW}]}}
            await one.acknowledged(2, 1, pools)
            await OperatorClient(fleet.controller_addresses, lambda line: None).wait_until_active(
                2, STEP_TIMEOUT_S
            )
            clients, began = Clients(fleet), time.monotonic()
            await asyncio.sleep(CALM)
            cut = time.monotonic()
            await CASES[case](one)
            await one.merged()
            found = CaseResult(case, time.monotonic() - one.healed)
            await asyncio.sleep(AFTER)
        finally:
            if clients is not None:
                await clients.end()
            second.close()
        ended = {name: each for name, each in clients.tries.items() if each.took}
        calm = [each for each in clients.urgent if began + 0.2 < each.sent < cut]
        rejoin = [each for each in clients.urgent if each.sent > one.healed]
        found.claims, found.unclear = clients.claims, clients.unclear
        found.promised = sum(HELD.get(each.status) == "promised" for each in ended.values()
                             if each.sent > one.healed)  # fmt: skip
        found.calm_p99, found.rejoin_p99 = (p99([each.took for each in some]) for some in (calm, rejoin))
        found.urgent_failed = sum(each.status != 200 for each in rejoin)
        found.violations = breaches(ended, fleet.server.run_counts, second.run_counts, one.away)
        if not any(name in second.run_counts for name in ended):
            found.violations.append("no claim went by the merged route")
        return found


async def print_table(cases: list[str], seeds: range, say: Callable[[str], None]) -> bool:
    """A Markdown table, a row a case; whether nothing was seen that must not be."""
    say("| case | plays | to one version, s: least, median, most | claims | told to come back | unclear "
        "| look-ups, p99 calm and after, ms | failed | wrong |")  # fmt: skip
    say("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    wrong: list[str] = []
    for case in cases:
        rows = []
        for seed in seeds:
            with tempfile.TemporaryDirectory() as folder:
                try:
                    rows.append(await run_case(case, NET + seed % NETS, folder, Random(seed)))
                except TimeoutError:
                    rows.append(
                        CaseResult(
                            case,
                            STEP_TIMEOUT_S,
                            violations=[f"never one version within {STEP_TIMEOUT_S:g} s"],
                        )
                    )
            wrong += [f"{case}, seed {seed}: {each}" for each in rows[-1].violations]
        took = [each.merged for each in rows]
        calm, after = (median(getattr(each, name) * 1000 for each in rows)
                       for name in ("calm_p99", "rejoin_p99"))  # fmt: skip
        say(
            f"| {case} | {len(rows)} | {min(took):.2f}, {median(took):.2f}, {max(took):.2f} "
            f"| {sum(each.claims for each in rows)} | {sum(each.promised for each in rows)} "
            f"| {sum(each.unclear for each in rows)} | {calm:.0f}, {after:.0f} "
            f"| {sum(each.urgent_failed for each in rows)} | {sum(len(each.violations) for each in rows)} |"
        )
    for each in wrong:
        say(each)
    return not wrong
