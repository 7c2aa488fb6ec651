"""`lapisgrade system-demo`: a whole small system on loopback, some load, and what came of it."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import h11

from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.cli.operator_client import Print
from lapisgrade.gateway.local_cluster import HTTP_PORT, SAMPLE, LocalCluster
from lapisgrade.net.http import MalformedMessageError, Message

SERVER_COUNT = 4
ROUND_INTERVAL_S = 0.05
"""Between two rounds of requests; within the tenant's limit in the sample configuration."""

EXPECTED_ERRORS = (OSError, TimeoutError, MalformedMessageError)
"""What may come in place of an answer."""

STATUS_MEANINGS = {
    "401": "the proxy knows no such key",
    "404": "the proxy knows no such route",
    "429": "the tenant's count had no room, or could not be asked",
    "502": "a server may have run it and did not answer",
    "503": "no server could take it, or the configuration is not in force there yet",
    "504": "its time was over",
}


@dataclass
class LoadResult:
    """What came of the requests: how many by outcome, and the first failure of each kind."""

    outcomes: Counter[str] = field(default_factory=Counter)
    first_failures: dict[str, str] = field(default_factory=dict)

    def add(self, at_s: float, proxy: str, answer: Message | BaseException) -> None:
        """Count one answer, or the error that came in its place."""
        outcome, retry_after = type(answer).__name__, None
        if isinstance(answer, Message):
            assert isinstance(answer.head, h11.Response)
            outcome, retry_after = str(answer.head.status_code), answer.headers().get(b"retry-after")
        self.outcomes[outcome] += 1
        if outcome == "200" or outcome in self.first_failures:
            return
        when = f", to come back after {retry_after.decode()} s" if retry_after else ""
        self.first_failures[outcome] = f"the first after {at_s:.2f} s at proxy {proxy}{when}"

    def failure_lines(self) -> list[str]:
        """Describe what was not served, and why."""
        return [
            f"  not served: {self.outcomes[outcome]} with {outcome}"
            f" ({STATUS_MEANINGS.get(outcome, 'no whole answer')}), {first}"
            for outcome, first in sorted(self.first_failures.items())
        ]


async def drive_load(site: LocalCluster, seconds: float) -> LoadResult:
    """Send a request to each proxy in rounds, for so long; nothing is retried."""
    result = LoadResult()
    started_s = time.monotonic()
    while time.monotonic() - started_s < seconds:
        requests = [site.get(name, "/stock/1", "key-of-sfax", tries=1) for name in site.names]
        at_s = time.monotonic() - started_s
        answers = await asyncio.gather(*requests, return_exceptions=True)
        for name, answer in zip(site.names, answers, strict=True):
            if isinstance(answer, BaseException) and not isinstance(answer, EXPECTED_ERRORS):
                raise answer
            result.add(at_s, name, answer)
        await asyncio.sleep(ROUND_INTERVAL_S)
    return result


async def run_demo(seconds: float, print_line: Print = print) -> ExitCode:
    """Start a cluster, apply the sample configuration, drive some load; an objection where any failed."""
    async with LocalCluster() as site:
        await _start(site, print_line)
        result = await drive_load(site, seconds)
    outcomes = ", ".join(f"{outcome}: {count}" for outcome, count in sorted(result.outcomes.items()))
    print_line(f"answers in {seconds:.0f} s: {outcomes}")
    for line in result.failure_lines():
        print_line(line)
    has_failed = bool(result.first_failures) or not result.outcomes
    return ExitCode.OBJECTION if has_failed else ExitCode.DONE


async def _start(site: LocalCluster, print_line: Print) -> None:
    """Start servers, and wait until the sample configuration is in force everywhere."""
    for _ in range(SERVER_COUNT):
        await site.start_server("garantie")
    print_line(
        f"{len(site.names)} machines, each with a controller and a proxy; {SERVER_COUNT} servers that beat"
    )
    started_s = time.monotonic()
    while await site.put(SAMPLE) != 200:
        await asyncio.sleep(ROUND_INTERVAL_S)
    print_line(f"configuration 1 is on a majority's disks after {time.monotonic() - started_s:.2f} s")
    await site.until(lambda: all(proxy.ready for proxy in site.proxies.values()))
    for name in site.names:
        print_line(f"  proxy {name} takes requests at http://{site.ip[name]}:{HTTP_PORT}")
    print_line(
        "  try: curl -i -H 'Host: a.example' -H 'Try-Id: 1' -H 'Authorization: Bearer key-of-sfax' "
        f"http://{site.ip['m1']}:{HTTP_PORT}/stock/1"
    )
