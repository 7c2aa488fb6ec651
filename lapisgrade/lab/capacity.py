"""Measures the cost of the control plane by size of the deployment: processor time, bytes and memory.

The control plane's own code runs in this process. docs/CAPACITY.md computes with the resulting slopes.
Processor times are measured as elapsed time: the minimum of several repetitions of a call that computes on
one core of this machine.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lapisgrade.gateway import api, configuration, rpc_messages
from lapisgrade.gateway.configuration_delta import decode
from lapisgrade.gateway.controller.commands import ConfigurationChange, ServerLeaving, encode_command
from lapisgrade.gateway.controller.configuration_feed import ConfigurationFeed
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.rpc_connection import Codec

REPEATS = 5  # repetitions of a measured call, by default
ROUTE_COUNTS = (500, 2_000, 8_000)  # each with as many tenants; the target deployment has 4.5 per route
SERVER_COUNTS = (500, 2_000, 8_000)
LIMITER_COUNTS = (100, 400, 1_500)


@dataclass(frozen=True, slots=True)
class Row:
    """A figure measured at several sizes.

    Attributes:
        name: What is measured.
        unit: Unit of the values: `us` of processor time, `bytes`, or `bytes of memory`.
        sizes: Number of routes, servers or limiters of each measurement.
        values: The measurements, in the order of `sizes`.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def slope(self) -> float:
        """Increase of the value per route, server or limiter, by least squares."""
        mean_size, mean_value = sum(self.sizes) / len(self.sizes), sum(self.values) / len(self.values)
        pairs = list(zip(self.sizes, self.values, strict=True))
        covariance = sum((size - mean_size) * (value - mean_value) for size, value in pairs)
        return covariance / sum((size - mean_size) ** 2 for size in self.sizes)


def best_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the minimum duration in us of a call that is repeated `repeats` times."""
    least_s = float("inf")
    for _ in range(repeats):
        started_s = time.perf_counter()
        call()
        least_s = min(least_s, time.perf_counter() - started_s)
    return least_s * 1e6


def sample_configuration(routes: int, tenants: int, ver: int = 7) -> dict:
    """Return the version `ver` of a configuration, as the operators send it."""
    rules = [
        {
            "Name": f"r-{i:05x}", "Mode": "idem", "Target_time": "600ms", "Prio": 2, "Public": False,
            "Match": {"Pfx": f"/p{i:05x}/"},
            "Action": {"Svc": f"svc{i % 370}", "Timeout": "1500ms", "Tries": 2},
        }
        for i in range(routes)
    ]  # fmt: skip
    ports = [{"Vhost": f"v{i}.example", "Policy": rules[i::16]} for i in range(16)]
    tenant_rows = [
        {"Name": f"t{i}", "Apikeys": [f"{i:020x}", f"k{i:019x}"], "Prio": 1, "RateS": 80, "Burst": 80}
        for i in range(tenants)
    ]
    pools = [{"Name": f"svc{i}", "Hcheck": "/healthz", "Maxconn": 130} for i in range(370)]
    return {"Ver": ver, "Tenants": tenant_rows, "Ports": ports, "Pools": pools}


def sample_change(base: int) -> ConfigurationChange:
    """Return a change of one route of `sample_configuration`, based on the version `base`."""
    rule = {
        "Name": "r-00001", "Match": {"Pfx": "/p00001/"},
        "Action": {"Svc": "svc1", "Timeout": f"{base}ms"},
    }  # fmt: skip
    body = {"Ver": base + 1, "Base": base, "Upsert": {"Ports": [{"Vhost": "v1.example", "Policy": [rule]}]}}
    return ConfigurationChange(False, msgspec.json.encode(body))


def retained_bytes(make: Callable[[], object]) -> int:
    """Return the bytes of memory that the result of `make` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    result = make()
    retained = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return retained


Figures = dict[tuple[str, str], float]  # by name and unit


def measure_configuration(sizes: tuple[int, ...]) -> list[Row]:
    """Measure configurations, and changes of them, by number of routes, with as many tenants."""
    columns = [measure_routes(size) for size in sizes]
    return [
        Row(name, unit, sizes, tuple(figures[name, unit] for figures in columns)) for name, unit in columns[0]
    ]


def measure_routes(size: int) -> Figures:
    """Measure a configuration with that number of routes and of tenants, and a change of one route."""
    state_machine, feed = StateMachine(), ConfigurationFeed()
    state_machine.apply(
        1,
        encode_command(
            ConfigurationChange(True, msgspec.json.encode({**sample_configuration(size, size), "Base": 0}))
        ),
    )
    text, change = state_machine.state.configuration, sample_change(7)
    version = state_machine.prepare(change).command
    entry = encode_command(version)
    whole, delta = feed.version(7, text, 0), feed.version(8, decode(version.encoded, text), 7)
    return {
        ("configuration, JSON", "bytes"): len(text),
        ("configuration, encoded in full", "bytes"): len(whole.data),
        ("validating a change at the leader", "us"): best_us(lambda: state_machine.prepare(change)),
        ("change, log entry", "bytes"): len(entry),
        ("applying a change at a member", "us"): best_us(lambda: apply_and_restore(state_machine, entry)),
        ("change, encoded for a proxy", "bytes"): len(delta.data),
        ("decoding a change at a proxy", "us"): best_us(lambda: route_table(decode(delta, text))),
        ("snapshot", "bytes"): len(state_machine.dump()),
        ("creating a snapshot", "us"): best_us(state_machine.dump),
        ("parsed configuration at a proxy", "bytes of memory"): retained_bytes(
            lambda: table_without_cache(text)
        ),
    }


def route_table(text: bytes) -> RouteTable:
    """Build the route table of a configuration in JSON, as a proxy does."""
    return RouteTable(configuration.read(msgspec.json.decode(text)))


def table_without_cache(text: bytes) -> RouteTable:
    """Build the route table with an empty converter cache, so that the cached items count too."""
    configuration.converter.cache_clear()
    return route_table(text)


def apply_and_restore(state_machine: StateMachine, entry: bytes) -> None:
    """Apply a new version as a member does, and restore the previous state for the next repetition."""
    state = state_machine.state
    before = (state.configuration, state.version, dict(state.staged_versions), dict(state.applied_changes))
    state_machine.apply(2, entry)
    state.configuration, state.version, state.staged_versions, state.applied_changes = before


def measure_servers(sizes: tuple[int, ...]) -> list[Row]:
    """Measure the leader's server registry, a heartbeat and the list of all servers, by number of servers."""
    memory, heartbeat_us, listing_us, encoded_bytes = [], [], [], []
    body = msgspec.json.encode(
        {"Svc": "svc1", "Addr": "10.0.0.1:80", "Az": "z", "Ver": "v1", "Slots": 4, "State": "up", "Seq": 1}
    )
    for size in sizes:
        watch = registry_with(size)
        memory.append(retained_bytes(lambda size=size: registry_with(size)))
        server = api.parse_heartbeat("i-1", body)

        def heartbeat(watch: Watch = watch, server=server) -> None:
            received = api.parse_heartbeat("i-1", body)
            received.sequence_number = server.sequence_number = server.sequence_number + 1
            watch.on_heartbeat(2_000_000, received)

        heartbeat_us.append(best_us(heartbeat, 50))
        watch.is_registry_complete = True
        listing_us.append(best_us(lambda watch=watch: watch.registry.changes_since(2_000_000, 0)))
        encoded_bytes.append(len(msgspec.msgpack.encode(watch.registry.changes_since(2_000_000, 0))))
    return [
        Row("server registry at the leader", "bytes of memory", sizes, tuple(memory)),
        Row("heartbeat at the leader", "us", sizes, tuple(heartbeat_us)),
        Row("listing the full registry", "us", sizes, tuple(listing_us)),
        Row("full registry, encoded", "bytes", sizes, tuple(encoded_bytes)),
    ]


def registry_with(size: int) -> Watch:
    """Return a leader's watch with that number of servers in its registry."""
    watch = Watch(1_300_000, 0)
    for number in range(size):
        body = {
            "Svc": f"svc{number % 370}",
            "Addr": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
            "Seq": 1,
        }
        server = api.parse_heartbeat(f"i-{number:08x}", msgspec.json.encode(body))
        watch.on_heartbeat(1_000_000, server)
    return watch


def measure_limiters(sizes: tuple[int, ...]) -> list[Row]:
    """Measure a watch reply without changes, with its frames, and the list of live proxies, by limiters."""
    state_machine = StateMachine()
    state_machine.apply(
        1,
        encode_command(
            ConfigurationChange(True, msgspec.json.encode({**sample_configuration(50, 50), "Base": 0}))
        ),
    )
    codec = Codec(rpc_messages.Message)
    reply_us, list_bytes = [], []
    for size in sizes:
        watch = registry_with(100)
        for number in range(size):
            watch.reply_if_changed(1_000_000, watch_request(f"edge-{number}"), state_machine.state, [])
        live_proxies = watch.live_proxies(2_000_000, state_machine.state)
        list_bytes.append(len(encode_command(live_proxies)))
        frame = codec.encode(1, watch_request("edge-1"))

        def reply_once(watch: Watch = watch, frame: bytes = frame) -> None:
            ((request_number, request),) = codec.decode(bytearray(frame))
            reply = watch.reply_if_changed(1_100_000, request, state_machine.state, [])
            codec.encode(request_number, reply or watch.unchanged_reply(request, state_machine.state, []))

        reply_us.append(best_us(reply_once, 50))
    return [
        Row("unchanged watch reply at the leader", "us", sizes, tuple(reply_us)),
        Row("live proxy list", "bytes", sizes, tuple(list_bytes)),
    ]


def watch_request(name: str) -> rpc_messages.WatchRequest:
    """Return the watch request of the proxy with that name, which has the newest version."""
    return rpc_messages.WatchRequest(
        name, "10.0.0.1:7661", "0123456789abcdef", "zone", 7, "0+", 1 << 30, 0, staged_version=7
    )


def measure_server_leaving() -> list[Row]:
    """Measure the log entry of a server that leaves; the bytes for two servers are computed from it."""
    state_machine, entry = StateMachine(), encode_command(ServerLeaving("i-00000001", True))
    return [
        Row("leaving server, log entry", "bytes", (1, 2), (len(entry), 2 * len(entry))),
        Row(
            "applying a leaving server",
            "us",
            (1, 2),
            (best_us(lambda: state_machine.apply(1, entry), 50),) * 2,
        ),
    ]


def rows() -> list[Row]:
    """Measure all figures."""
    return [
        *measure_configuration(ROUTE_COUNTS),
        *measure_servers(SERVER_COUNTS),
        *measure_limiters(LIMITER_COUNTS),
        *measure_server_leaving(),
    ]


def report(print_line: Callable[[str], None]) -> None:
    """Measure all figures, and print a Markdown table of them and their slopes with `print_line`."""
    print_line("| figure | unit | sizes | values | slope per unit of size |")
    print_line("| --- | --- | --- | --- | --- |")
    for row in rows():
        values = ", ".join(f"{value:,.0f}" for value in row.values)
        print_line(f"| {row.name} | {row.unit} | {row.sizes} | {values} | {row.slope:,.4g} |")
