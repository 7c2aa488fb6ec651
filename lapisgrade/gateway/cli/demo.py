"""`lapisgrade system-demo`: a whole small system on loopback, some load, and what came of it."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lapisgrade.gateway.local_cluster import HTTP, SAMPLE, LocalCluster
from lapisgrade.net.http import MalformedMessageError, Message

SERVERS = 4
PAUSE = 0.05  # s between two rounds of requests; within the tenant's limit in the sample
MEANING = {
    "401": "the proxy knows no such key",
    "404": "the proxy knows no such route",
    "429": "the tenant's count had no room, or could not be asked",
    "502": "a server may have run it and did not answer",
    "503": "no server could take it, or the configuration is not in force there yet",
    "504": "its time was over",
}


@dataclass
class Load:
    """What came of the requests: how many by outcome, and the first of each that was not served."""

    outcomes: Counter[str] = field(default_factory=Counter)
    first_wrong: dict[str, str] = field(default_factory=dict)

    def add(self, at_s: float, proxy: str, answer: Message | BaseException) -> None:
        """Count one answer, or the error that came in its place."""
        whole = isinstance(answer, Message)
        outcome = str(answer.head.status_code) if whole else type(answer).__name__
        self.outcomes[outcome] += 1
        if outcome == "200" or outcome in self.first_wrong:
            return
        back = answer.headers().get(b"retry-after") if whole else None
        when = f", to come back after {back.decode()} s" if back else ""
        self.first_wrong[outcome] = f"the first after {at_s:.2f} s at proxy {proxy}{when}"

    def lines(self) -> list[str]:
        """For people: what was not served, and why."""
        return [
            f"  not served: {self.outcomes[outcome]} with {outcome}"
            f" ({MEANING.get(outcome, 'no whole answer')}), {first}"
            for outcome, first in sorted(self.first_wrong.items())
        ]


async def drive(site: LocalCluster, seconds: float) -> Load:
    """Ask each proxy in turn for so long; nothing is tried again."""
    load, began = Load(), time.monotonic()
    while time.monotonic() - began < seconds:
        asked = [site.get(name, "/stock/1", "key-of-sfax", tries=1) for name in site.names]
        at_s = time.monotonic() - began
        for name, answer in zip(
            site.names, await asyncio.gather(*asked, return_exceptions=True), strict=True
        ):
            if isinstance(answer, BaseException) and not isinstance(
                answer, (OSError, TimeoutError, MalformedMessageError)
            ):
                raise answer
            load.add(at_s, name, answer)
        await asyncio.sleep(PAUSE)
    return load


async def demo(seconds: float, say: Callable[[str], None] = print) -> int:
    """Start a cluster, apply the sample, drive some load; 0 where all was served, else 1 and why."""
    async with LocalCluster() as site:
        for _ in range(SERVERS):
            await site.start_server("garantie")
        say(f"{len(site.names)} machines, each with a controller and a proxy; {SERVERS} servers that beat")
        began = time.monotonic()
        while await site.put(SAMPLE) != 200:
            await asyncio.sleep(PAUSE)
        say(f"configuration 1 is on a majority's disks after {time.monotonic() - began:.2f} s")
        await site.until(lambda: all(each.ready for each in site.proxies.values()))
        for name in site.names:
            say(f"  proxy {name} takes requests at http://{site.ip[name]}:{HTTP}")
        say(
            "  try: curl -i -H 'Host: a.example' -H 'Try-Id: 1' -H 'Authorization: Bearer key-of-sfax' "
            f"http://{site.ip['m1']}:{HTTP}/stock/1"
        )
        load = await drive(site, seconds)
    told = ", ".join(f"{outcome}: {count}" for outcome, count in sorted(load.outcomes.items()))
    say(f"answers in {seconds:.0f} s: {told}")
    for line in load.lines():
        say(line)
    return 1 if load.first_wrong or not load.outcomes else 0
