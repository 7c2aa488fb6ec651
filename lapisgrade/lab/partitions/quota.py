"""A tenant's quota with real processes, while the proxy that owns its count is cut off, frozen or killed.

One tenant sends far more than its limit; another, whose count has the same owner, stays within its limit.

    result = await run_case("owner-cut", net=101, folder=folder, random=Random(1))

The requests that the server ran, from all proxies, are checked against the bound of QUOTA in every window.
"""

import asyncio
import contextlib
import signal
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
from lapisgrade.lab.partitions import case_table
from lapisgrade.lab.partitions.fleet import Fleet, RunCounter
from lapisgrade.net.http import MalformedMessageError

MACHINES, CONTROLLERS = 6, 3  # proxies on machines without a controller own the counts
RATE = BURST = 60  # of both tenants; requests per second, requests
HOT_LOAD = 7.5  # load of the first tenant as a multiple of its rate, as in the deployments
CALM_LOAD = 1 / 1.6  # load of the second tenant as a fraction of its rate, as in the deployments on most days
LOAD_BEFORE_S, LOAD_AFTER_S = 3.0, 6.0  # the load after the fault lasts longer than a window
FAULT_S = 4.5  # duration of the faults: one and a half leases of a count
RESTART_DELAY_S = 0.2  # from the end of a killed proxy until its restart
FIRST_NETWORK, NETWORKS = 120, 100  # cases run in 127.120 to 127.219
SLO = Slo()  # the default limits of the settings
TITLES = [
    "case",
    "runs",
    "most in a window, median and max",
    "share of the bound",
    "share of the rate",
    "tenant within its quota: requests",
    "429",
    "failed",
]


@dataclass(slots=True)
class CaseResult:
    """Measurements and violations of one run of a case.

    Attributes:
        case: Name of the case.
        max_in_window: Runs of the hot tenant in the window with the most.
        rate_share: Runs of the hot tenant in the whole case, divided by its rate and burst.
        calm_requests: Requests of the calm tenant.
        calm_rejected: Its requests that were answered 429.
        calm_failed: Its requests that ended neither with 200 nor with 429.
        violations: Descriptions of everything that happened and must not.
    """

    case: str
    max_in_window: int = 0
    rate_share: float = 0.0
    calm_requests: int = 0
    calm_rejected: int = 0
    calm_failed: int = 0
    violations: list[str] = field(default_factory=list)


def quota_bound(slo: Slo, rate: float, burst: float) -> float:
    """Return the most runs that QUOTA allows in any window of `quota_win`.

    Args:
        slo: Settings with the window and the excess that is allowed.
        rate: Quota in requests per second.
        burst: Burst of the quota in requests.
    """
    return (rate * slo.quota_win / SECOND + burst) * (1 + slo.quota_excess) + slo.quota_extra


def max_in_window(times: list[float], window: float) -> int:
    """Return the largest number of the times in any window of the length `window`, in the same unit."""
    times, most, first = sorted(times), 0, 0
    for last, current in enumerate(times):
        while times[first] <= current - window:
            first += 1
        most = max(most, last - first + 1)
    return most


class CaseRun:
    """One run of a case: a fleet and the load of the two tenants.

    Attributes:
        fleet: The fleet under test.
        hot: Tenant that exceeds its quota.
        calm: Tenant that stays within its quota.
        owners: The proxy that owns both counts, then its successors in order.
        random: Source of all random choices.
        calm_statuses: Number of the calm tenant's requests by status; 0 counts those without a response.
    """

    def __init__(self, fleet: Fleet, hot: str, calm: str, owners: list[str], random: Random) -> None:
        """Create a run without load; the attributes are as in the class docstring."""
        self.fleet, self.hot, self.calm, self.owners, self.random = fleet, hot, calm, owners, random
        self.calm_statuses: Counter[int] = Counter()
        self._tasks: set[asyncio.Task] = set()

    async def send_load(self, tenant: str, rate_per_s: float) -> None:
        """Send a tenant's requests to random proxies until cancelled, without waiting for responses.

        Args:
            tenant: Tenant, whose API key is its name.
            rate_per_s: Mean number of requests per second; the intervals are exponentially distributed.
        """
        names, due_s, number = list(self.fleet.ip), time.monotonic(), 0
        while True:
            due_s += self.random.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            number += 1
            task = asyncio.create_task(self.send_one(tenant, f"{tenant} {number}", self.random.choice(names)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def send_one(self, tenant: str, id: str, name: str) -> None:
        """Send one request with the Try-Id `id` to the proxy on machine `name`.

        Its status is counted if the tenant is the calm one.
        """
        fields = {"Host": "a.example", "Try-Id": id, "Deadline-Ms": "900"}
        fields["Authorization"] = f"Bearer {tenant}"
        status, address = 0, (self.fleet.ip[name], HTTP_PORT)
        with contextlib.suppress(OSError, TimeoutError, MalformedMessageError):
            status = (await send_request(address, "GET", "/stock/1", fields=fields)).head.status_code
        if tenant == self.calm:
            self.calm_statuses[status] += 1

    async def stop(self) -> None:
        """Cancel all pending requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def kill_and_restart(self, *names: str) -> None:
        """Kill these proxies at the same moment, and restart them."""
        for name in names:
            self.fleet.send_signal("proxy", name, signal.SIGKILL)
        for name in names:
            await self.fleet.running["proxy", name].wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for name in names:
            await self.fleet.start("proxy", name)


# ---- the cases


async def none(run: CaseRun) -> None:
    """No fault."""
    await asyncio.sleep(FAULT_S)


async def owner_cut(run: CaseRun) -> None:
    """The owner is isolated from all other machines; its clients still reach it."""
    owner = run.owners[0]
    run.fleet.partition({owner}, set(run.fleet.ip) - {owner})
    await asyncio.sleep(FAULT_S)
    run.fleet.set_cuts()


async def owner_deaf(run: CaseRun) -> None:
    """The owner's messages arrive, but it receives none."""
    owner = run.owners[0]
    run.fleet.set_cuts(*((other, owner) for other in run.fleet.ip if other != owner))
    await asyncio.sleep(FAULT_S)
    run.fleet.set_cuts()


async def half_cut(run: CaseRun) -> None:
    """The owner and its second successor are partitioned from its first successor and all controllers."""
    side = {run.owners[0], run.owners[2]}
    run.fleet.partition(side, set(run.fleet.ip) - side)
    await asyncio.sleep(FAULT_S)
    run.fleet.set_cuts()


async def owner_frozen(run: CaseRun) -> None:
    """The owner is paused (SIGSTOP) for one and a half leases, and continues with its old state."""
    run.fleet.send_signal("proxy", run.owners[0], signal.SIGSTOP)
    await asyncio.sleep(FAULT_S)
    run.fleet.send_signal("proxy", run.owners[0], signal.SIGCONT)


async def owners_killed(run: CaseRun) -> None:
    """The owner is killed and restarted, and then its successor, shortly after it became the owner."""
    for name in run.owners[:2]:
        await run.kill_and_restart(name)
        await asyncio.sleep(FAULT_S / 2)


async def all_killed(run: CaseRun) -> None:
    """All proxies are killed at the same moment and restarted, twice."""
    for _ in range(2):
        await run.kill_and_restart(*run.fleet.ip)
        await asyncio.sleep(FAULT_S / 2)


async def cut_and_killed(run: CaseRun) -> None:
    """The owner is isolated, and during that time all other proxies are killed and restarted."""
    owner = run.owners[0]
    run.fleet.partition({owner}, set(run.fleet.ip) - {owner})
    await asyncio.sleep(LEASE_US / SECOND / 3)
    await run.kill_and_restart(*(set(run.fleet.ip) - {owner}))
    await asyncio.sleep(FAULT_S - LEASE_US / SECOND / 3)
    run.fleet.set_cuts()


CASES = {"none": none, "owner-cut": owner_cut, "owner-deaf": owner_deaf, "half-cut": half_cut,
         "owner-frozen": owner_frozen, "owners-killed": owners_killed, "all-killed": all_killed,
         "cut-and-killed": cut_and_killed}  # fmt: skip


def owner_succession(tenant: str, names: list[str], controllers: list[str]) -> list[str]:
    """Return the owner of a tenant's count, followed by the successor after each loss of an owner.

    Args:
        tenant: The tenant.
        names: All machines, each with a proxy.
        controllers: Machines that also run a controller.
    """
    remaining, owners = dict.fromkeys(names), []
    while eligible := eligible_owners(remaining, controllers):
        owners.append(owner_of(tenant, eligible))
        del remaining[owners[-1]]
        if not remaining:
            break
    return owners


async def run_case(case: str, net: int, folder: str, random: Random) -> CaseResult:
    """Run one case.

    Args:
        case: Name of the case.
        net: Second number of the machines' addresses, in 127/8.
        folder: Folder for the fleet's files.
        random: Source of all random choices.

    Raises:
        TimeoutError: The fleet didn't start.
    """
    names = [f"m{number}" for number in range(1, MACHINES + 1)]
    controllers = names[:CONTROLLERS]
    hot = f"hot{random.randrange(1000)}"
    owners = owner_succession(hot, names, controllers)
    # Both tenants' counts have the same owner and first successor.
    calm = next(each for each in (f"calm{number}" for number in range(1000))
                if owner_succession(each, names, controllers)[:2] == owners[:2])  # fmt: skip
    tenants = [{"Name": each, "Apikeys": [each], "RateS": RATE, "Burst": BURST} for each in (hot, calm)]
    tenants += SAMPLE["Tenants"]
    async with Fleet(net, folder, MACHINES, CONTROLLERS, tenants) as fleet:
        fleet.server.run_counts, fleet.server.slots = RunCounter(), 256
        run = CaseRun(fleet, hot, calm, owners, random)
        started_s = time.monotonic()
        loads = [asyncio.create_task(run.send_load(*each))
                 for each in ((hot, HOT_LOAD * RATE), (calm, CALM_LOAD * RATE))]  # fmt: skip
        try:
            await asyncio.sleep(LOAD_BEFORE_S)
            await CASES[case](run)
            await asyncio.sleep(LOAD_AFTER_S)
        finally:
            for load in loads:
                load.cancel()
            await run.stop()
        duration_s = time.monotonic() - started_s
        run_times_s = [at_s for id, at_s in fleet.server.run_counts.started_s.items() if id.startswith(hot)]
        result = CaseResult(case, max_in_window(run_times_s, SLO.quota_win / SECOND),
                            len(run_times_s) / (RATE * duration_s + BURST))  # fmt: skip
        result.calm_requests, result.calm_rejected = sum(run.calm_statuses.values()), run.calm_statuses[429]
        result.calm_failed = result.calm_requests - run.calm_statuses[200] - result.calm_rejected
        if result.max_in_window > (bound := quota_bound(SLO, RATE, BURST)):
            result.violations.append(
                f"{result.max_in_window} runs in a window, at most {bound:g} are allowed"
            )
        return result


async def print_table(cases: list[str], seeds: range, echo: Callable[[str], None]) -> bool:
    """Run each case with each seed and print a Markdown table; return whether there were no violations.

    Args:
        cases: Names of the cases.
        seeds: Seeds of the runs of each case.
        echo: Prints a line.
    """
    bound = quota_bound(SLO, RATE, BURST)
    echo(f"Maximum number of runs in a window: {bound:g}.")
    echo("")
    case_table.print_header(TITLES, echo)
    violations: list[str] = []
    for case in cases:
        results = []
        for seed in seeds:
            result = await case_table.run_with_seed(run_case, case, seed, FIRST_NETWORK + seed % NETWORKS)
            results.append(result)
            violations += case_table.labelled_violations(case, seed, result)
        case_table.print_row(_row(case, results, bound), echo)
    for violation in violations:
        echo(violation)
    return not violations


def _row(case: str, results: list[CaseResult], bound: float) -> list[str]:
    """Return the row of a case in the table."""
    worst = max(result.max_in_window for result in results)
    return [
        case,
        str(len(results)),
        f"{median(result.max_in_window for result in results):g}, {worst}",
        f"{worst / bound:.2f}",
        f"{median(result.rate_share for result in results):.2f}",
        str(sum(result.calm_requests for result in results)),
        str(sum(result.calm_rejected for result in results)),
        str(sum(result.calm_failed for result in results)),
    ]
