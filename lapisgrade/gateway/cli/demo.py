"""`lapisgrade system-demo`: runs a small system on loopback under a small load, and prints the results."""

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
"""Interval between rounds of requests; the load stays within the tenant's quota in `SAMPLE`."""

EXPECTED_ERRORS = (OSError, TimeoutError, MalformedMessageError)
"""Errors that count as failed requests; any other error ends the demo."""

STATUS_MEANINGS = {
    "401": "unknown API key",
    "404": "no matching route",
    "429": "the tenant's quota is exhausted, or its owner did not reply",
    "502": "a server may have run the request without answering it",
    "503": "no server was available, or the proxy has no active configuration yet",
    "504": "the request reached its deadline",
}
"""Causes of failed requests, by HTTP status."""


@dataclass
class LoadResult:
    """Results of the load.

    Attributes:
        outcomes: Number of requests by outcome: the HTTP status, or the name of the error's type.
        first_failures: Time and proxy of the first failure, by outcome.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    first_failures: dict[str, str] = field(default_factory=dict)

    def add(self, at_s: float, proxy: str, response: Message | BaseException) -> None:
        """Count one response, or the error that occurred instead.

        Args:
            at_s: When the request was sent, in seconds since the start of the load.
            proxy: The name of the proxy.
            response: The response or error.
        """
        outcome, retry_after = type(response).__name__, None
        if isinstance(response, Message):
            assert isinstance(response.head, h11.Response)
            outcome, retry_after = str(response.head.status_code), response.headers().get(b"retry-after")
        self.outcomes[outcome] += 1
        if outcome == "200" or outcome in self.first_failures:
            return
        retry_hint = f", with Retry-After: {retry_after.decode()} s" if retry_after else ""
        self.first_failures[outcome] = f"the first after {at_s:.2f} s at proxy {proxy}{retry_hint}"

    def failure_lines(self) -> list[str]:
        """Describe the failed requests by outcome."""
        return [
            f"  not served: {self.outcomes[outcome]} with {outcome}"
            f" ({STATUS_MEANINGS.get(outcome, 'no complete response')}), {first_failure}"
            for outcome, first_failure in sorted(self.first_failures.items())
        ]


async def drive_load(site: LocalCluster, seconds: float) -> LoadResult:
    """Send a request to each proxy in every round, for `seconds`, without retries."""
    result = LoadResult()
    started_s = time.monotonic()
    while time.monotonic() - started_s < seconds:
        requests = [site.get(name, "/stock/1", "key-of-sfax", tries=1) for name in site.names]
        at_s = time.monotonic() - started_s
        responses = await asyncio.gather(*requests, return_exceptions=True)
        for name, response in zip(site.names, responses, strict=True):
            if isinstance(response, BaseException) and not isinstance(response, EXPECTED_ERRORS):
                raise response
            result.add(at_s, name, response)
        await asyncio.sleep(ROUND_INTERVAL_S)
    return result


async def run_demo(seconds: float, print_line: Print = print) -> ExitCode:
    """Run the demo with `seconds` of load; return OBJECTION if a request failed or none was sent."""
    async with LocalCluster() as site:
        await _start(site, print_line)
        result = await drive_load(site, seconds)
    outcomes = ", ".join(f"{outcome}: {count}" for outcome, count in sorted(result.outcomes.items()))
    print_line(f"responses in {seconds:.0f} s: {outcomes}")
    for line in result.failure_lines():
        print_line(line)
    has_failed = bool(result.first_failures) or not result.outcomes
    return ExitCode.OBJECTION if has_failed else ExitCode.DONE


async def _start(site: LocalCluster, print_line: Print) -> None:
    """Start the servers, and wait until the sample configuration is active at every proxy."""
    for _ in range(SERVER_COUNT):
        await site.start_server("garantie")
    print_line(
        f"{len(site.names)} machines, each with a controller and a proxy; "
        f"{SERVER_COUNT} servers with heartbeats"
    )
    started_s = time.monotonic()
    while await site.put(SAMPLE) != 200:
        await asyncio.sleep(ROUND_INTERVAL_S)
    print_line(f"configuration version 1 committed after {time.monotonic() - started_s:.2f} s")
    await site.until(lambda: all(proxy.ready for proxy in site.proxies.values()))
    for name in site.names:
        print_line(f"  proxy {name} accepts requests at http://{site.ip[name]}:{HTTP_PORT}")
    print_line(
        "  try: curl -i -H 'Host: a.example' -H 'Try-Id: 1' -H 'Authorization: Bearer key-of-sfax' "
        f"http://{site.ip['m1']}:{HTTP_PORT}/stock/1"
    )
