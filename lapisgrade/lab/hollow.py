"""Hollow limiters that share one process ask a real controller for news: what one costs the leader, on
sockets.

Each asks as a proxy does, has what it was told last, and asks again when it is answered.
"""

import asyncio
import os
import tempfile
from dataclasses import dataclass, field

from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.local_cluster import INNER
from lapisgrade.gateway.rpc import RpcEndpoint

NET = 205  # 127.205 is this measurement's
SETTLE = 3.0  # s until all are known and none has news
WITHIN = 0.7  # s that an ask may take
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Load:
    """What one size showed, a second."""

    limiters: int
    asks: float
    cores: float  # of the leader's process
    resident_mb: float
    unanswered: int = 0

    @property
    def us_an_ask(self) -> float:
        return 1e6 * self.cores / max(self.asks, 1e-9)


@dataclass(slots=True)
class Limiter:
    name: str
    news: rpc_messages.WatchReply = field(default_factory=lambda: rpc_messages.WatchReply(False))

    def ask(self) -> rpc_messages.WatchRequest:
        news = self.news
        return rpc_messages.WatchRequest(
            self.name,
            "127.0.0.1:9",
            self.name,
            "z",
            news.active_version,
            news.registry_incarnation,
            news.registry_revision,
            news.fencing_token,
            staged_version=news.active_version,
        )


class Crowd:
    """So many limiters at one leader."""

    def __init__(self, place: tuple[str, int], count: int) -> None:
        self.place, self.answered, self.unanswered = place, 0, 0
        self.limiters = [Limiter(f"hollow-{number}") for number in range(count)]
        self.exchanges = [RpcEndpoint(rpc_messages.Message, self._nothing) for _ in range(count)]
        self.tasks: list[asyncio.Task] = []

    async def _nothing(self, message: rpc_messages.Message) -> None:
        return None

    def begin(self) -> None:
        pairs = zip(self.limiters, self.exchanges, strict=True)
        self.tasks = [asyncio.create_task(self._follow(*each)) for each in pairs]

    async def _follow(self, limiter: Limiter, rpc: RpcEndpoint) -> None:
        while True:
            got = (await rpc.call(self.place, limiter.ask(), WITHIN)).value_or(None)
            if isinstance(got, rpc_messages.WatchReply) and got.is_leader:
                limiter.news, self.answered = got, self.answered + 1
            else:
                self.unanswered += 1
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for rpc in self.exchanges:
            rpc.close()


def used_s(pid: int) -> float:
    """Processor time of a process so far."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(sizes: list[int], seconds: float = 5.0) -> list[Load]:
    """The leader's load by the number of limiters."""
    out = []
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(NET, folder) as fleet:
            for size in sizes:
                leader = await fleet.leader()
                pid = fleet.running["controller", leader].pid
                crowd = Crowd((fleet.ip[leader], INNER), size)
                crowd.begin()
                await asyncio.sleep(SETTLE)
                before, asked, lost = used_s(pid), crowd.answered, crowd.unanswered
                await asyncio.sleep(seconds)
                cores = (used_s(pid) - before) / seconds
                asks = (crowd.answered - asked) / seconds
                out.append(Load(size, asks, cores, resident_mb(pid), crowd.unanswered - lost))
                await crowd.end()
                await asyncio.sleep(2.5)  # the leader counts them out
    return out
