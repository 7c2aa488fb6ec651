"""What the control plane's parts cost as a deployment grows: processor time, bytes and memory by size,
measured on the program's own code in this process, and the slopes that docs/CAPACITY.md reckons with.

Processor times are of one core of the machine it runs on, the best of some repeats.
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

REPEATS = 5
SIZES = (500, 2_000, 8_000)  # routes; a tenant for each, and four and a half for each at the target
SERVERS = (500, 2_000, 8_000)
ASKS = (100, 400, 1_500)  # limiters


@dataclass(frozen=True, slots=True)
class Row:
    """One figure at several sizes."""

    what: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def slope(self) -> float:
        """By least squares, a unit of size."""
        mean_size, mean_value = sum(self.sizes) / len(self.sizes), sum(self.values) / len(self.values)
        pairs = list(zip(self.sizes, self.values, strict=True))
        above = sum((size - mean_size) * (value - mean_value) for size, value in pairs)
        return above / sum((size - mean_size) ** 2 for size in self.sizes)


def best_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """The least time that a call takes, us."""
    least = float("inf")
    for _ in range(repeats):
        began = time.perf_counter()
        call()
        least = min(least, time.perf_counter() - began)
    return least * 1e6


def sample_configuration(routes: int, tenants: int, ver: int = 7) -> dict:
    """One as the operators send it."""
    rules = [
        {
            "Name": f"r-{i:05x}", "Mode": "idem", "Target_time": "600ms", "Prio": 2, "Public": False,
            "Match": {"Pfx": f"/p{i:05x}/"},
            "Action": {"Svc": f"svc{i % 370}", "Timeout": "1500ms", "Tries": 2},
        }
        for i in range(routes)
    ]  # fmt: skip
    ports = [{"Vhost": f"v{i}.example", "Policy": rules[i::16]} for i in range(16)]
    people = [
        {"Name": f"t{i}", "Apikeys": [f"{i:020x}", f"k{i:019x}"], "Prio": 1, "RateS": 80, "Burst": 80}
        for i in range(tenants)
    ]
    pools = [{"Name": f"svc{i}", "Hcheck": "/healthz", "Maxconn": 130} for i in range(370)]
    return {"Ver": ver, "Tenants": people, "Ports": ports, "Pools": pools}


def sample_change(base: int) -> ConfigurationChange:
    rule = {
        "Name": "r-00001", "Match": {"Pfx": "/p00001/"},
        "Action": {"Svc": "svc1", "Timeout": f"{base}ms"},
    }  # fmt: skip
    body = {"Ver": base + 1, "Base": base, "Upsert": {"Ports": [{"Vhost": "v1.example", "Policy": [rule]}]}}
    return ConfigurationChange(False, msgspec.json.encode(body))


def held_bytes(make: Callable[[], object]) -> int:
    """Memory that what it makes keeps."""
    gc.collect()
    tracemalloc.start()
    made = make()
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return kept


Figures = dict[tuple[str, str], float]  # by what and its unit


def of_configuration(sizes: tuple[int, ...]) -> list[Row]:
    """By routes, with as many tenants."""
    columns = [with_routes(size) for size in sizes]
    return [Row(what, unit, sizes, tuple(each[what, unit] for each in columns)) for what, unit in columns[0]]


def with_routes(size: int) -> Figures:
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
        ("a version whole, as JSON", "bytes"): len(text),
        ("a version whole, on the wire", "bytes"): len(whole.data),
        ("judging a change at the leader", "us"): best_us(lambda: state_machine.prepare(change)),
        ("a change in the log", "bytes"): len(entry),
        ("applying it at a member", "us"): best_us(lambda: applied(state_machine, entry)),
        ("a change to a proxy", "bytes"): len(delta.data),
        ("reading it at a proxy", "us"): best_us(lambda: table(decode(delta, text))),
        ("a snapshot", "bytes"): len(state_machine.dump()),
        ("making a snapshot", "us"): best_us(state_machine.dump),
        ("a version read, at a proxy", "bytes of memory"): held_bytes(lambda: table_alone(text)),
    }


def table(text: bytes) -> RouteTable:
    return RouteTable(configuration.read(msgspec.json.decode(text)))


def table_alone(text: bytes) -> RouteTable:
    """With all that is remembered of it: nothing was read before."""
    configuration.converter.cache_clear()
    return table(text)


def applied(state_machine: StateMachine, entry: bytes) -> None:
    """Take a version over, and forget it again."""
    state = state_machine.state
    before = (state.configuration, state.version, dict(state.staged_versions), dict(state.applied_changes))
    state_machine.apply(2, entry)
    state.configuration, state.version, state.staged_versions, state.applied_changes = before


def of_servers(sizes: tuple[int, ...]) -> list[Row]:
    """By servers: the register at the leader, and what it tells."""
    memory, beats, lists, sizes_of = [], [], [], []
    body = msgspec.json.encode(
        {"Svc": "svc1", "Addr": "10.0.0.1:80", "Az": "z", "Ver": "v1", "Slots": 4, "State": "up", "Seq": 1}
    )
    for size in sizes:
        watch = registered(size)
        memory.append(held_bytes(lambda size=size: registered(size)))
        server = api.parse_heartbeat("i-1", body)

        def beat(watch: Watch = watch, server=server) -> None:
            made = api.parse_heartbeat("i-1", body)
            made.sequence_number = server.sequence_number = server.sequence_number + 1
            watch.on_heartbeat(2_000_000, made)

        beats.append(best_us(beat, 50))
        watch.is_registry_complete = True
        lists.append(best_us(lambda watch=watch: watch.registry.changes_since(2_000_000, 0)))
        sizes_of.append(len(msgspec.msgpack.encode(watch.registry.changes_since(2_000_000, 0))))
    return [
        Row("the register at the leader", "bytes of memory", sizes, tuple(memory)),
        Row("a beat at the leader", "us", sizes, tuple(beats)),
        Row("the whole register, listed", "us", sizes, tuple(lists)),
        Row("the whole register, told", "bytes", sizes, tuple(sizes_of)),
    ]


def registered(size: int) -> Watch:
    watch = Watch(1_300_000, 0)
    for i in range(size):
        body = {"Svc": f"svc{i % 370}", "Addr": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:80", "Seq": 1}
        server = api.parse_heartbeat(f"i-{i:08x}", msgspec.json.encode(body))
        watch.on_heartbeat(1_000_000, server)
    return watch


def of_limiters(sizes: tuple[int, ...]) -> list[Row]:
    """By limiters: one ask without news at the leader, with its frames, and the list of who lives."""
    state_machine = StateMachine()
    state_machine.apply(
        1,
        encode_command(
            ConfigurationChange(True, msgspec.json.encode({**sample_configuration(50, 50), "Base": 0}))
        ),
    )
    codec = Codec(rpc_messages.Message)
    asks, lists = [], []
    for size in sizes:
        watch = registered(100)
        for i in range(size):
            watch.reply_if_changed(1_000_000, ask(f"edge-{i}"), state_machine.state, [])
        live_proxies = watch.live_proxies(2_000_000, state_machine.state)
        lists.append(len(encode_command(live_proxies)))
        frame = codec.encode(1, ask("edge-1"))

        def answered(watch: Watch = watch, frame: bytes = frame) -> None:
            ((number, asked),) = codec.decode(bytearray(frame))
            news = watch.reply_if_changed(1_100_000, asked, state_machine.state, [])
            codec.encode(number, news or watch.unchanged_reply(asked, state_machine.state, []))

        asks.append(best_us(answered, 50))
    return [
        Row("an ask without news at the leader", "us", sizes, tuple(asks)),
        Row("the list of who lives", "bytes", sizes, tuple(lists)),
    ]


def ask(name: str) -> rpc_messages.WatchRequest:
    return rpc_messages.WatchRequest(
        name, "10.0.0.1:7661", "0123456789abcdef", "zone", 7, "0+", 1 << 30, 0, staged_version=7
    )


def of_words() -> list[Row]:
    """A server's word that it leaves, in the log."""
    state_machine, entry = StateMachine(), encode_command(ServerLeaving("i-00000001", True))
    return [
        Row("a leaving server in the log", "bytes", (1, 2), (len(entry), 2 * len(entry))),
        Row("applying it", "us", (1, 2), (best_us(lambda: state_machine.apply(1, entry), 50),) * 2),
    ]


def rows() -> list[Row]:
    return [*of_configuration(SIZES), *of_servers(SERVERS), *of_limiters(ASKS), *of_words()]


def report(say: Callable[[str], None]) -> None:
    """A Markdown table of all figures and their slopes."""
    say("| what | unit | by | values | slope a unit of size |")
    say("| --- | --- | --- | --- | --- |")
    for each in rows():
        values = ", ".join(f"{value:,.0f}" for value in each.values)
        say(f"| {each.what} | {each.unit} | {each.sizes} | {values} | {each.slope:,.4g} |")
