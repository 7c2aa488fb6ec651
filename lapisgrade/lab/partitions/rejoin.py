"""Edits on both sides of a network partition and their merge, with real processes whose links are cut.

    result = await run_case("cut-off", net=101, folder=folder, random=Random(1))

The route of the claims is edited on each side of the partition, while every proxy receives claims
(non-idempotent requests) and urgent look-ups. `find_violations` is a pure function that checks the history of
the claims.
"""

import asyncio
import shutil
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
from lapisgrade.lab.partitions import case_table
from lapisgrade.lab.partitions.fleet import POLL_INTERVAL_S, Fleet, RunCounter
from lapisgrade.net.http import MalformedMessageError

CALM_S = 1.5  # duration of the load before the partition, for comparison
PARTITION_S = (0.5, 3.0)  # shortest and longest time that the partition lasts once both sides are edited
LOAD_AFTER_MERGE_S = 1.0  # duration of the load once the merged version is active
SECOND_PARTITION_S = 1.5  # duration of the second partition, in the case in which it recurs
STEP_TIMEOUT_S = 20.0  # maximum duration of any step; a case that takes longer has failed
FIRST_NETWORK, NETWORKS = 120, 100  # cases run in 127.120 to 127.219
TITLES = [
    "case",
    "runs",
    "time to merge, s: min, median, max",
    "claims",
    "rejected as not run",
    "unknown",
    "look-ups, p99 before and after, ms",
    "failed",
    "violations",
]
CLAIM_RULE = SAMPLE["Ports"][0]["Policy"][1]  # the claims' route
AUTHORIZATION = f"Bearer {SAMPLE['Tenants'][0]['Apikeys'][0]}"
NEW_SERVICE = "reparation"  # the service that the claims' route is moved to
OUTCOME_BY_STATUS = {200: "ran", 503: "not run", 429: "not run"}  # after any other status it is unknown


def claim_rule_edit(**fields) -> dict:
    """Return a change of the claims' route, which the configuration states as a rule.

    Args:
        fields: New values of the rule's fields; those in `Action` are added to its present action.
    """
    action = {**CLAIM_RULE["Action"], **fields.pop("Action", {})}
    return {
        "Upsert": {"Ports": [{"Vhost": "a.example", "Policy": [{**CLAIM_RULE, **fields, "Action": action}]}]}
    }


@dataclass(slots=True)
class Attempt:
    """One attempt of one claim or look-up.

    Attributes:
        claim: Number of the claim; 0 for a look-up.
        proxy: Machine of the proxy that it is sent to.
        sent_s: Time of sending in s, monotonic.
        status: Status of the response; 0 without one.
        latency_s: Time in s until the response or failure; 0 while it is pending.
    """

    claim: int
    proxy: str
    sent_s: float
    status: int = 0
    latency_s: float = 0.0


def find_violations(
    attempts: dict[str, Attempt],
    old: RunCounter,
    new: RunCounter,
    isolated_proxies: set[str] = frozenset(),
) -> list[str]:
    """Check the attempts of all claims.

    Violations are a claim that ran twice, an attempt that ran despite a response that excludes it, a success
    that no server ran, and an attempt that took the old route although it was sent after the first run on the
    merged one.

    Args:
        attempts: All completed attempts of claims, by Try-Id.
        old: Runs at the old route's server.
        new: Runs at the merged route's server.
        isolated_proxies: Proxies that may use the old route because the merge can't have reached them.
    """
    violations: list[str] = []
    runs: Counter[int] = Counter()
    first_new_s = min((new.started_s[try_id] for try_id in attempts if try_id in new), default=float("inf"))
    for try_id, attempt in attempts.items():
        run_count = old[try_id] + new[try_id] if try_id in old or try_id in new else 0
        runs[attempt.claim] += run_count
        outcome = OUTCOME_BY_STATUS.get(attempt.status)
        if outcome == "not run" and run_count:
            violations.append(f"{try_id}: answered {attempt.status}, but a server ran it")
        if outcome == "ran" and not run_count:
            violations.append(f"{try_id}: answered {attempt.status}, but no server ran it")
        if try_id in old and attempt.sent_s > first_new_s and attempt.proxy not in isolated_proxies:
            violations.append(
                f"{try_id}: used the old route at {attempt.proxy} {attempt.sent_s - first_new_s:.3f} s after "
                "the first run on the new one"
            )
    return violations + [f"claim {number}: ran {count} times" for number, count in runs.items() if count > 1]


def p99(values: list[float]) -> float:
    """Return the 99th percentile, or 0 without values."""
    return sorted(values)[int(0.99 * (len(values) - 1))] if values else 0.0


@dataclass(slots=True)
class CaseResult:
    """Measurements and violations of one run of a case.

    Attributes:
        case: Name of the case.
        merge_s: Time from the last heal until the merged version is active at every proxy.
        claims: Claims sent.
        rejected: Attempts of claims that were sent after the last heal and rejected as not run.
        unknown_outcomes: Claims that may have run, as far as their client can tell.
        calm_p99_s: 99th percentile of the latency of look-ups before the partition, without the first 0.2 s.
        rejoin_p99_s: The same of look-ups after the last heal.
        urgent_failed: Look-ups after the last heal that failed.
        violations: Descriptions of everything that happened and must not.
    """

    case: str
    merge_s: float = 0.0
    claims: int = 0
    rejected: int = 0
    unknown_outcomes: int = 0
    calm_p99_s: float = 0.0
    rejoin_p99_s: float = 0.0
    urgent_failed: int = 0
    violations: list[str] = field(default_factory=list)


class Clients:
    """Two clients at every proxy: one sends claims, one sends look-ups.

    A claim that is rejected as not run is retried with a new Try-Id after the Retry-After of the response. A
    claim with an unknown outcome is not retried.

    Attributes:
        fleet: Fleet that receives the load.
        attempts: Attempts of claims by Try-Id.
        lookups: Completed look-ups.
        unknown_outcomes: Claims with an unknown outcome.
        claims: Claims sent.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start the clients; `stop` cancels them."""
        self.fleet = fleet
        self.attempts: dict[str, Attempt] = {}
        self.lookups: list[Attempt] = []
        self.unknown_outcomes = self.claims = 0
        self._tasks = [asyncio.create_task(client(name)) for name in fleet.ip
                       for client in (self._send_claims, self._send_lookups)]  # fmt: skip

    async def _send(self, attempt: Attempt, path: str, id: str) -> float:
        """Send an attempt with the Try-Id `id` and record its end; return its Retry-After in s, or 0."""
        fields = {"Host": "a.example", "Try-Id": id, "Deadline-Ms": "900", "Authorization": AUTHORIZATION}
        retry_after_s = 0.0
        try:
            response = await send_request(
                (self.fleet.ip[attempt.proxy], HTTP_PORT), "GET", path, fields=fields
            )
            attempt.status, retry_after_s = (
                response.head.status_code,
                float(response.headers().get(b"retry-after", b"0")),
            )
        except (OSError, TimeoutError, MalformedMessageError):
            pass
        attempt.latency_s = time.monotonic() - attempt.sent_s
        return retry_after_s

    async def _send_claims(self, name: str) -> None:
        """Send claims to the proxy on machine `name`, one after another, until cancelled."""
        while True:
            self.claims += 1
            number, must_send = self.claims, True
            while must_send:
                id = f"c{len(self.attempts):015x}"
                attempt = self.attempts[id] = Attempt(number, name, time.monotonic())
                retry_after_s = await self._send(attempt, "/claim/1", id)
                must_send = OUTCOME_BY_STATUS.get(attempt.status) == "not run"
                if must_send:
                    await asyncio.sleep(retry_after_s)
            self.unknown_outcomes += attempt.status not in OUTCOME_BY_STATUS
            await asyncio.sleep(2 * POLL_INTERVAL_S)

    async def _send_lookups(self, name: str) -> None:
        """Send look-ups to the proxy on machine `name`, one after another, until cancelled."""
        while True:
            attempt = Attempt(0, name, time.monotonic())
            await self._send(attempt, "/stock/1", f"u{len(self.lookups):015x}{name}")
            self.lookups.append(attempt)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class CaseRun:
    """The steps that the cases consist of; each wait raises TimeoutError after `STEP_TIMEOUT_S`.

    Attributes:
        fleet: The fleet under test.
        random: Source of all random choices.
        isolated_proxies: Proxies that the merge couldn't reach at once, as they were partitioned again.
        healed_s: Time of the last heal in s, monotonic; 0 before it.
    """

    def __init__(self, fleet: Fleet, random: Random) -> None:
        """Create a run on a fleet that was started."""
        self.fleet, self.random = fleet, random
        self.isolated_proxies: set[str] = set()
        self.healed_s = 0.0

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Poll a coroutine function until it returns true."""
        await self.fleet.wait_until(condition, STEP_TIMEOUT_S)

    def controllers(self, *names: str) -> list:
        """Return the control addresses of these machines, or of all if none are given."""
        return [
            self.fleet.controller_addresses[list(self.fleet.ip).index(name)]
            for name in names or self.fleet.ip
        ]

    async def wait_for_members(self) -> None:
        """Wait until every controller is a voter and every proxy is registered."""
        client, names = OperatorClient(self.controllers(), lambda line: None), set(self.fleet.ip)

        async def has_all_members() -> bool:
            status, members = await client.call("conf.status")
            return status == 200 and len(members["Voters"]) == len(names) == len(members["Proxies"])

        await self.wait_until(has_all_members)

    async def apply_change(self, version: int, base_version: int, change: dict, *names: str) -> None:
        """Send a change of version `base_version` to `version` until a controller accepts it.

        Args:
            version: New version.
            base_version: Version that the change is based on.
            change: The change, as fields of a `conf.update` call.
            names: Machines of the controllers that it is sent to; all if none are given.
        """
        body = msgspec.json.encode({"Ver": version, "Base": base_version, **change})

        async def is_accepted() -> bool:
            return await post_to_any(self.controllers(*names), "/-/rpc?call=conf.update", body) == 200

        await self.wait_until(is_accepted)

    async def wait_until_leaderless(self, name: str) -> None:
        """Wait until the controller on machine `name` reports that it knows no leader."""
        client = OperatorClient(self.controllers(name), lambda line: None)

        async def has_no_leader() -> bool:
            status, drafts = await client.call("conf.drafts")
            return status == 200 and not drafts["Leader"]

        await self.wait_until(has_no_leader)

    async def store_draft(self, name: str, change: dict, disks: int = 1) -> None:
        """Store a draft at the controller on machine `name` once it knows no leader.

        Args:
            name: Machine of the controller.
            change: The change that the draft contains.
            disks: Number of disks that must have a copy, in all.
        """
        await self.wait_until_leaderless(name)
        lines: list[str] = []
        client = DraftClient(self.controllers(name), lines.append)

        async def is_stored() -> bool:
            lines.clear()
            try:
                is_done = await client.send(msgspec.json.encode(change), name) == 0
            except InvalidInputError:
                return False
            return is_done and (disks == 1 or f"kept on {disks} disks" in lines[0])

        await self.wait_until(is_stored)

    async def stay_partitioned(self) -> None:
        """Wait for a random time within `PARTITION_S`."""
        await asyncio.sleep(self.random.uniform(*PARTITION_S))

    def heal(self) -> None:
        """Restore all links."""
        self.fleet.set_cuts()
        self.healed_s = time.monotonic()

    async def wait_for_delivered_draft(self, *names: str) -> None:
        """Wait until these controllers show a draft that was delivered to the leader."""
        client = OperatorClient(self.controllers(*names), lambda line: None)

        async def is_delivered() -> bool:
            status, drafts = await client.call("conf.drafts")
            return status == 200 and any(each["State"] != "kept" for each in drafts["Drafts"])

        await self.wait_until(is_delivered)

    async def wait_until_merged(self, timeout: str = "1500ms") -> None:
        """Wait until a version with both sides' edits is active at every proxy.

        Args:
            timeout: Time-out of the route in the edit of the majority's side.
        """
        client = OperatorClient(self.controllers(), lambda line: None)

        async def is_active_everywhere() -> bool:
            try:
                conf, members = await client.fetch_newest()
            except InvalidInputError:
                return False
            rule = next(each for each in conf["Ports"][0]["Policy"] if each["Name"] == "r-claim")
            has_both = (rule["Action"].get("Svc"), rule["Action"]["Timeout"]) == (NEW_SERVICE, timeout)
            names = {each["Name"] for each in members["Proxies"]}
            return has_both and names == set(self.fleet.ip) and not lagging_proxies(members, conf["Ver"])

        await self.wait_until(is_active_everywhere)


# ---- the cases


async def edit_both_sides(run: CaseRun, minority: set[str] = frozenset({"m3"})) -> None:
    """Partition the machines `minority` from the others, edit the claims' route on both sides, and wait."""
    majority = set(run.fleet.ip) - minority
    run.fleet.partition(majority, minority)
    name = min(minority)
    await run.store_draft(name, claim_rule_edit(Action={"Svc": NEW_SERVICE}), len(minority))
    await run.apply_change(6, 2, claim_rule_edit(Action={"Timeout": "1500ms"}), *sorted(majority))
    await run.stay_partitioned()


async def cut_off(run: CaseRun) -> None:
    """A partition of one machine, which then heals."""
    await edit_both_sides(run)
    run.heal()


async def one_way(run: CaseRun) -> None:
    """One machine receives from the others, but nothing that it sends arrives."""
    run.fleet.set_cuts(("m3", "m1"), ("m3", "m2"))
    await run.store_draft("m3", claim_rule_edit(Action={"Svc": NEW_SERVICE}))
    await run.apply_change(6, 2, claim_rule_edit(Action={"Timeout": "1500ms"}), "m1", "m2")
    await run.stay_partitioned()
    run.heal()


async def three_sides(run: CaseRun) -> None:
    """All machines are isolated from each other, and the route is edited at each."""
    run.fleet.partition({"m1"}, {"m2"}, {"m3"})
    for name, change in (
        ("m1", claim_rule_edit(Prio=4)),
        ("m2", claim_rule_edit(Action={"Svc": NEW_SERVICE})),
        ("m3", claim_rule_edit(Action={"Timeout": "1500ms"})),
    ):
        await run.store_draft(name, change)
    await run.stay_partitioned()
    run.heal()


async def opens_again(run: CaseRun) -> None:
    """The partition recurs as soon as the draft is delivered; the merge continues without that machine."""
    await edit_both_sides(run)
    run.fleet.set_cuts()
    await run.wait_for_delivered_draft("m1", "m2")
    run.isolated_proxies = {"m3"}
    run.fleet.partition({"m1", "m2"}, {"m3"})
    await asyncio.sleep(SECOND_PARTITION_S)
    run.heal()


async def leader_lost(run: CaseRun) -> None:
    """The leader is killed as soon as the draft is delivered, and restarted."""
    await edit_both_sides(run)
    run.heal()
    await run.wait_for_delivered_draft("m1", "m2")
    leader = await run.fleet.leader()
    await run.fleet.kill("controller", leader)
    await run.fleet.start("controller", leader)


async def wiped(run: CaseRun) -> None:
    """The controller that stored the draft loses its disk; another one on its side has a copy."""
    await edit_both_sides(run, {"m4", "m5"})
    await run.fleet.kill("controller", "m4")
    shutil.rmtree(Path(run.fleet.folder) / "m4")
    await run.fleet.start("controller", "m4")
    run.heal()


CASES = {"cut-off": cut_off, "one-way": one_way, "three-sides": three_sides, "opens-again": opens_again,
         "leader-lost": leader_lost, "wiped": wiped}  # fmt: skip
MACHINES = {"wiped": 5}  # all others have 3; a minority of two machines needs five


async def run_case(case: str, net: int, folder: str, random: Random) -> CaseResult:
    """Run one case.

    Args:
        case: Name of the case.
        net: Second number of the machines' addresses, in 127/8.
        folder: Folder for the fleet's files.
        random: Source of all random choices.

    Raises:
        TimeoutError: The fleet didn't start, or a step took longer than `STEP_TIMEOUT_S`.
    """
    tenants = [{**SAMPLE["Tenants"][0], "RateS": 0, "Burst": 0}]
    async with Fleet(net, folder, MACHINES.get(case, 3), tenants=tenants) as fleet:
        new_server = FakeServer("i-2", NEW_SERVICE, (f"127.{net}.1.2", 8080), slots=64)
        await new_server.start()
        fleet.tasks.append(asyncio.create_task(fleet.send_heartbeats(new_server)))
        fleet.server.run_counts, new_server.run_counts = RunCounter(), RunCounter()
        clients = None
        try:
            run = CaseRun(fleet, random)
            await run.wait_for_members()
            pools = {"Upsert": {"Pools": [*SAMPLE["Pools"], {"Name": NEW_SERVICE}]}}
            await run.apply_change(2, 1, pools)
            await OperatorClient(fleet.controller_addresses, lambda line: None).wait_until_active(
                2, STEP_TIMEOUT_S
            )
            clients, started_s = Clients(fleet), time.monotonic()
            await asyncio.sleep(CALM_S)
            partitioned_s = time.monotonic()
            await CASES[case](run)
            await run.wait_until_merged()
            result = CaseResult(case, time.monotonic() - run.healed_s)
            await asyncio.sleep(LOAD_AFTER_MERGE_S)
        finally:
            if clients is not None:
                await clients.stop()
            new_server.close()
        completed = {name: each for name, each in clients.attempts.items() if each.latency_s}
        calm = [each for each in clients.lookups if started_s + 0.2 < each.sent_s < partitioned_s]
        rejoin = [each for each in clients.lookups if each.sent_s > run.healed_s]
        result.claims, result.unknown_outcomes = clients.claims, clients.unknown_outcomes
        result.rejected = sum(OUTCOME_BY_STATUS.get(each.status) == "not run" for each in completed.values()
                              if each.sent_s > run.healed_s)  # fmt: skip
        result.calm_p99_s, result.rejoin_p99_s = (
            p99([each.latency_s for each in lookups]) for lookups in (calm, rejoin)
        )
        result.urgent_failed = sum(each.status != 200 for each in rejoin)
        result.violations = find_violations(
            completed, fleet.server.run_counts, new_server.run_counts, run.isolated_proxies
        )
        if not any(name in new_server.run_counts for name in completed):
            result.violations.append("no claim used the merged route")
        return result


async def print_table(cases: list[str], seeds: range, echo: Callable[[str], None]) -> bool:
    """Run each case with each seed and print a Markdown table; return whether there were no violations.

    Args:
        cases: Names of the cases.
        seeds: Seeds of the runs of each case.
        echo: Prints a line.
    """
    case_table.print_header(TITLES, echo)
    violations: list[str] = []
    for case in cases:
        results = []
        for seed in seeds:
            result = await _run_in_time(case, seed)
            results.append(result)
            violations += case_table.labelled_violations(case, seed, result)
        case_table.print_row(_row(case, results), echo)
    for violation in violations:
        echo(violation)
    return not violations


async def _run_in_time(case: str, seed: int) -> CaseResult:
    """Run a case; a step that takes too long is a violation."""
    try:
        return await case_table.run_with_seed(run_case, case, seed, FIRST_NETWORK + seed % NETWORKS)
    except TimeoutError:
        violation = f"a step took longer than {STEP_TIMEOUT_S:g} s"
        return CaseResult(case, STEP_TIMEOUT_S, violations=[violation])


def _row(case: str, results: list[CaseResult]) -> list[str]:
    """Return the row of a case in the table."""
    merge_s = [result.merge_s for result in results]
    calm_ms = median(result.calm_p99_s * 1000 for result in results)
    rejoin_ms = median(result.rejoin_p99_s * 1000 for result in results)
    return [
        case,
        str(len(results)),
        f"{min(merge_s):.2f}, {median(merge_s):.2f}, {max(merge_s):.2f}",
        str(sum(result.claims for result in results)),
        str(sum(result.rejected for result in results)),
        str(sum(result.unknown_outcomes for result in results)),
        f"{calm_ms:.0f}, {rejoin_ms:.0f}",
        str(sum(result.urgent_failed for result in results)),
        str(sum(len(result.violations) for result in results)),
    ]
