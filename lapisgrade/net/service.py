"""Puts one limiter together from what it is told at its start, and runs it until it is told to end."""

import asyncio
import contextlib
import json
import signal
from collections import Counter
from collections.abc import Callable
from typing import Any

from lapisgrade.net import counter, discovery, front, hops, log
from lapisgrade.net.host import Host, wall
from lapisgrade.policy import Limiter
from lapisgrade.settings import (
    Fields,
    MalformedInputError,
    flatten,
    parse_address,
    read_categories,
    read_connection_settings,
    read_counter_settings,
    read_max_units,
    read_permissions,
    read_placement,
    read_plans,
    read_server_rules,
)

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
        """Takes what the configuration holds; MalformedInputError, where that can't be read."""
        for name, kind in FORM.items():
            if not isinstance(told.get(name), kind):
                raise MalformedInputError(f"{name} is missing or not of the kind {kind.__name__}")
        info = flatten(told["settings"])
        try:
            seed = int(told["seed"], 16)
            sockets = Fields(told["limits"]).integer("sockets", 1024)
        except ValueError as wrong:
            raise MalformedInputError(f"seed: {wrong}") from None
        self.counts: Counter[str] = Counter()
        self._log = log.Log(told["name"])
        if not isinstance(clock := told.get("clock", {}), dict):
            raise MalformedInputError("clock is not of the kind dict")
        clock = Fields(clock)
        self.say, now = self._log.say, wall(clock.duration_us("offset_ms"), clock.number("drift_ppm"))
        say = self.say
        self._listen, self._known = parse_address(told["listen"], "listen"), told["known"]
        self.host = Host(
            lambda clock: Limiter(
                clock,
                seed,
                read_placement(info),
                read_counter_settings(info),
                read_categories(info),
                read_server_rules(info),
                read_permissions(info),
            ),
            now,
            say,
            self.counts,
        )
        put, lines = self.host.put, read_connection_settings(info)
        # Half of the descriptors for clients, a quarter for servers; the rest is for all else.
        self._front = front.Front(
            put,
            now,
            say,
            self.counts,
            read_categories(info),
            read_plans(info),
            sockets // 2,
            read_placement(info).limiter_count,
            read_max_units(info),
        )
        self.host.pool = hops.Pool(put, now, say, self.counts, lines, sockets // 4)
        desk = read_counter_settings(info)
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
            read_placement(info).limiter_count,
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
    watched = parse_address(told.get("discovery"), "discovery")
    return watched, parse_address(told.get("counter"), "counter") if counts else None


def read(path: str) -> dict[str, Any]:
    """The configuration in a file."""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as wrong:
        raise MalformedInputError(f"{path}: {wrong}") from None
    if not isinstance(told, dict):
        raise MalformedInputError(f"{path}: not an object")
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
        except MalformedInputError as wrong:
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
