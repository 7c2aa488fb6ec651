"""Puts one limiter together from what it is told at its start, and runs it until it is told to end."""

import asyncio
import contextlib
import json
import signal
from collections import Counter
from collections.abc import Callable
from typing import Any

from lapisgrade import start
from lapisgrade.decide import Limiter
from lapisgrade.net import counter, discovery, front, hops, log
from lapisgrade.net.host import Host, wall
from lapisgrade.start import Fields, Malformed

FORM = {
    "name": str,
    "listen": str,
    "discovery": str,
    "seed": str,
    "limits": dict,
    "known": dict,
    "settings": dict,
}
# The protocol's figure: so long after its word to end, new connections keep coming to a limiter.
COMING = 0.4  # s
LOOK = 0.02  # s between looks whether all is answered


class Service:
    """One limiter. `run` ends once it has been told to end and nothing is owed any more."""

    def __init__(self, told: dict[str, Any]) -> None:
        """Takes what the configuration holds; Malformed, where that can't be read."""
        for name, kind in FORM.items():
            if not isinstance(told.get(name), kind):
                raise Malformed(f"{name} is missing or not of the kind {kind.__name__}")
        info = start.flat(told["settings"])
        try:
            seed = int(told["seed"], 16)
            sockets = Fields(told["limits"]).whole("sockets", 1024)
        except ValueError as wrong:
            raise Malformed(f"seed: {wrong}") from None
        self.counts: Counter[str] = Counter()
        self._log = log.Log(told["name"])
        if not isinstance(clock := told.get("clock", {}), dict):
            raise Malformed("clock is not of the kind dict")
        clock = Fields(clock)
        self.say, now = self._log.say, wall(clock.micros("offset_ms"), clock.number("drift_ppm"))
        say = self.say
        self._listen, self._known = start.address(told["listen"], "listen"), told["known"]
        self.host = Host(
            lambda clock: Limiter(
                clock,
                seed,
                start.post(info),
                start.desk(info),
                start.categories(info),
                start.duties(info),
                start.leave(info),
            ),
            now,
            say,
            self.counts,
        )
        put, lines = self.host.put, start.lines(info)
        # Half of the descriptors for clients, a quarter for servers; the rest is for all else.
        self._front = front.Front(
            put,
            now,
            say,
            self.counts,
            start.categories(info),
            start.plans(info),
            sockets // 2,
            start.post(info).limiter_count,
            start.most_units(info),
        )
        self.host.pool = hops.Pool(put, now, say, self.counts, lines, sockets // 4)
        desk = start.desk(info)
        watched, counted = addresses(told, desk.is_available)
        if counted is not None:
            self.host.counter = counter.Counter(
                put, say, self.counts, counted, desk.timeout_us, lines.connect_timeout_us
            )
        self._discovery = discovery.Discovery(
            put,
            say,
            self.counts,
            watched,
            self.host.pool,
            self.host.module.random,
            start.post(info).limiter_count,
        )
        self._end = asyncio.Event()

    def end(self) -> None:
        self._end.set()

    def reload(self, told: dict[str, Any]) -> None:
        """Go on with what a new configuration says; what can't be read in it leaves all as it was.

        Discovery and the counter move, under what is open; all else holds until the next start.
        """
        watched, counted = addresses(told, self.host.counter is not None)
        self.counts["reloads"] += 1
        self._discovery.move(watched)
        if counted is not None:
            self.host.counter.move(counted)

    async def run(self) -> None:
        self._discovery.take(self._known)
        deciding = asyncio.create_task(self.host.run())
        self._discovery.start()
        await self._front.listen(self._listen)
        try:
            await self._end.wait()
            self._front.ending = True
            await asyncio.sleep(COMING)
            self._front.shut()
            self._front.close_idle()
            while self._front.clients or self.host.owed:
                await asyncio.sleep(LOOK)
                self._front.close_idle()
        finally:
            deciding.cancel()
            self._discovery.close()
            self._front.close()
            self.host.pool.close()
            if self.host.counter is not None:
                self.host.counter.close()
            self.report()

    def report(self) -> None:
        self._log.counts(self.counts)


def addresses(told: dict[str, Any], counts: bool) -> tuple[tuple[str, int], tuple[str, int] | None]:
    """Where discovery and, for a limiter that counts, the counter are."""
    watched = start.address(told.get("discovery"), "discovery")
    return watched, start.address(told.get("counter"), "counter") if counts else None


def read(path: str) -> dict[str, Any]:
    """The configuration in a file."""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as wrong:
        raise Malformed(f"{path}: {wrong}") from None
    if not isinstance(told, dict):
        raise Malformed(f"{path}: not an object")
    return told


async def serve(
    path: str, beside: Callable[["Service"], contextlib.AbstractAsyncContextManager] | None = None
) -> None:
    """Run one limiter as this process, as the file there tells it, with what runs `beside` it where that
    is given.

    SIGTERM ends it, SIGHUP has it read the file again, SIGUSR1 prints its counters.
    """
    service = Service(read(path))

    def reload() -> None:
        try:
            service.reload(read(path))
        except Malformed as wrong:
            service.say(f"goes on as before: {wrong}")

    loop = asyncio.get_running_loop()

    def end(by: signal.Signals) -> None:
        service.say(f"told to end by {by.name}")
        service.end()

    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, end, each)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, service.report)
    async with beside(service) if beside is not None else contextlib.nullcontext():
        await service.run()
