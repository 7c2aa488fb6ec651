"""Assembles one limiter from its configuration, and runs it until shutdown is requested."""

import asyncio
import contextlib
import signal
from collections import Counter
from collections.abc import Callable
from typing import Any

from lapisgrade.interface import Clock
from lapisgrade.net.client_listener import ClientListener
from lapisgrade.net.clock import wall_clock
from lapisgrade.net.connection_pool import ConnectionPool
from lapisgrade.net.counter_client import CounterClient
from lapisgrade.net.discovery_client import DiscoveryClient
from lapisgrade.net.host import Host
from lapisgrade.net.metrics import NetMetrics
from lapisgrade.net.rate_limited_log import RateLimitedLog
from lapisgrade.net.request_parser import RequestParser
from lapisgrade.net.service_configuration import (
    Address,
    check_value_types,
    read_configuration,
    read_service_addresses,
)
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

# By the protocol, a limiter may get new connections for this long after SIGTERM.
ACCEPT_AFTER_SHUTDOWN_S = 0.4
DRAIN_CHECK_INTERVAL_S = 0.02  # interval between checks whether all requests are answered
DEFAULT_SOCKETS = 1024  # number of descriptors, unless the configuration sets `limits.sockets`
# Half of the descriptors are for clients and a quarter for servers; the rest is for everything else.
CLIENT_SOCKETS_DIVISOR = 2
SERVER_SOCKETS_DIVISOR = 4


class Service:
    """One limiter. `run` returns once shutdown is requested and all requests are answered."""

    def __init__(self, configuration: dict[str, Any]) -> None:
        """Assemble a limiter from a parsed configuration file.

        Raises:
            MalformedInputError: A value is missing or invalid.
        """
        check_value_types(configuration)
        settings = flatten(configuration["settings"])
        seed, sockets = _read_seed_and_sockets(configuration)
        self.metrics = NetMetrics()
        self.companion_counts: Counter[str] = Counter()  # counters of the companion, by name
        self._log = RateLimitedLog(configuration["name"])
        self.log = self._log.write
        now = _read_clock(configuration)
        self._listen_address = parse_address(configuration["listen"], "listen")
        self._known_servers = configuration["known"]  # initial server list
        self.host = Host(lambda clock: _build_policy(clock, seed, settings), now, self.log, self.metrics)
        connections = read_connection_settings(settings)
        self.listener = self._build_listener(settings, now, sockets // CLIENT_SOCKETS_DIVISOR)
        self.host.pool = ConnectionPool(
            self.host.enqueue, now, self.log, self.metrics, connections, sockets // SERVER_SOCKETS_DIVISOR
        )
        counter = read_counter_settings(settings)
        discovery_address, counter_address = read_service_addresses(
            configuration, uses_counter=counter.is_available
        )
        self._counter: CounterClient | None = None
        if counter_address is not None:
            self.host.counter = self._counter = CounterClient(
                self.host.enqueue,
                self.log,
                self.metrics,
                counter_address,
                counter.timeout_us,
                connections.connect_timeout_us,
            )
        self._discovery = self._build_discovery(settings, discovery_address)
        self._shutdown_requested = asyncio.Event()

    def _build_listener(
        self, settings: Fields, now: Callable[[], int], max_connections: int
    ) -> ClientListener:
        parser = RequestParser(
            read_categories(settings),
            read_plans(settings),
            read_placement(settings).limiter_count,
            read_max_units(settings),
        )
        return ClientListener(self.host.enqueue, now, self.log, self.metrics, parser, max_connections)

    def _build_discovery(self, settings: Fields, address: Address) -> DiscoveryClient:
        return DiscoveryClient(
            self.host.enqueue,
            self.log,
            self.metrics,
            address,
            self.host.pool,
            self.host.policy.random,
            read_placement(settings).limiter_count,
        )

    def shut_down(self) -> None:
        """Request shutdown: `run` answers the open requests, then returns."""
        self._shutdown_requested.set()

    def reload(self, configuration: dict[str, Any]) -> None:
        """Apply the addresses of discovery and the counter service from a new configuration.

        Requests in flight are not interrupted. All other settings take effect at the next start.

        Raises:
            MalformedInputError: An address is invalid; the current configuration stays in use.
        """
        discovery_address, counter_address = read_service_addresses(
            configuration, uses_counter=self._counter is not None
        )
        self.metrics.reloads += 1
        self._discovery.change_address(discovery_address)
        if counter_address is not None and self._counter is not None:
            self._counter.change_address(counter_address)

    async def run(self) -> None:
        """Serve clients until `shut_down`, and then until all open requests are answered."""
        self._discovery.apply(self._known_servers)
        host_task = asyncio.create_task(self.host.run())
        self._discovery.start()
        await self.listener.listen(self._listen_address)
        try:
            await self._shutdown_requested.wait()
            await self._drain()
        finally:
            host_task.cancel()
            self._discovery.close()
            self.listener.close()
            self.host.pool.close()
            if self._counter is not None:
                self._counter.close()
            self.log_metrics()

    async def _drain(self) -> None:
        """Fail readiness checks, accept late connections for a while, then answer the open requests."""
        self.listener.is_draining = True
        await asyncio.sleep(ACCEPT_AFTER_SHUTDOWN_S)
        self.listener.stop_accepting()
        self.listener.close_idle()
        while self.listener.clients or self.host.unanswered:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            self.listener.close_idle()

    def log_metrics(self) -> None:
        """Log all counters."""
        self._log.write_counts({**self.metrics.nonzero(), **self.companion_counts})


def _read_seed_and_sockets(configuration: dict[str, Any]) -> tuple[int, int]:
    try:
        seed = int(configuration["seed"], 16)
        return seed, Fields(configuration["limits"]).integer("sockets", DEFAULT_SOCKETS)
    except ValueError as error:
        raise MalformedInputError(f"seed: {error}") from None


def _read_clock(configuration: dict[str, Any]) -> Callable[[], int]:
    clock = configuration.get("clock", {})
    if not isinstance(clock, dict):
        raise MalformedInputError("clock must be an object")
    fields = Fields(clock)
    return wall_clock(fields.duration_us("offset_ms"), fields.number("drift_ppm"))


def _build_policy(clock: Clock, seed: int, settings: Fields) -> Limiter:
    return Limiter(
        clock,
        seed,
        read_placement(settings),
        read_counter_settings(settings),
        read_categories(settings),
        read_server_rules(settings),
        read_permissions(settings),
    )


async def serve(
    path: str, companion: Callable[["Service"], contextlib.AbstractAsyncContextManager[None]] | None = None
) -> None:
    """Run one limiter in this process, with the configuration file at `path`.

    SIGTERM and SIGINT shut it down, SIGHUP reloads the configuration file, SIGUSR1 logs the counters.

    Args:
        path: The configuration file.
        companion: Returns a context manager that stays entered while the limiter runs; None for none.

    Raises:
        MalformedInputError: The configuration is invalid.
    """
    service = Service(read_configuration(path))

    def reload() -> None:
        try:
            service.reload(read_configuration(path))
        except MalformedInputError as error:
            service.log(f"reload failed, keeping the current configuration: {error}")

    def shut_down(received: signal.Signals) -> None:
        service.log(f"received {received.name}, shutting down")
        service.shut_down()

    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, shut_down, each)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, service.log_metrics)
    async with companion(service) if companion is not None else contextlib.nullcontext():
        await service.run()
