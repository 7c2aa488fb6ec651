"""A simulated proxy: its watch requests, and the production code of its router, in simulated time."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from lapisgrade.gateway import configuration, rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode
from lapisgrade.gateway.routing import router
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock
from lapisgrade.lab.emulator.sim import Sim

MS = 1_000  # us
WATCH_TIMEOUT_US = 900 * MS  # time after which a proxy sends a new watch request


@dataclass(slots=True)
class WatchCall:
    """A pending watch request."""

    proxy: "Proxy"
    request: rpc_messages.WatchRequest
    incarnation: int  # the proxy's incarnation when it sent the request
    number: int  # sequence number of the request within the incarnation
    sent_us: int  # when the proxy sent the request
    reply_by_us: int = 0  # end of the long poll: the leader replies then even without an update


class ProxyWorld(Protocol):
    """The simulated environment of a proxy."""

    @property
    def sim(self) -> Sim:
        """The simulated clock and event queue."""

    def deliver(self, proxy: "Proxy", handler: Callable[..., None], *args: Any) -> None:
        """Call a handler after a network delay, unless the message is lost."""

    def on_watch_request(self, call: WatchCall) -> None:
        """Handle a watch request as the leader."""

    def note(self, text: str) -> None:
        """Add a line to the transcript."""


class Proxy:
    """One proxy's watch requests and its router."""

    def __init__(self, world: ProxyWorld, name: str) -> None:
        """Start the proxy."""
        self.world = world
        self.name = name
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Start a new incarnation without any state."""
        self.incarnation += 1
        self.is_terminating = False
        self.router = router.Router(Clock(self.world.sim.now), 1, Slo(), "z", self.name)
        self.active_version = 0
        self.fencing_token = 0
        self.frozen_until_us = 0
        self.request_number = 0
        self.live_proxies: rpc_messages.ProxiesByName = {}
        self.encoded_configurations: dict[int, bytes] = {}  # by version; the bases of deltas
        self.send_watch_request()

    def send_watch_request(self) -> None:
        """Send a watch request; the next one follows its reply or its time-out."""
        self.request_number += 1
        request = rpc_messages.WatchRequest(
            self.name,
            "10.0.0.1:1",
            str(self.incarnation),
            "z",
            self.active_version,
            "1+",  # incarnation of the complete registry of term 1; servers are not simulated
            1 << 30,  # a revision above any
            self.fencing_token,
            staged_version=max(self.router.route_versions.staged, default=self.active_version),
            is_terminating=self.is_terminating,
        )
        call = WatchCall(self, request, self.incarnation, self.request_number, self.world.sim.now)
        self.world.deliver(self, self.world.on_watch_request, call)
        self.world.sim.after(WATCH_TIMEOUT_US, self._on_watch_timeout, call)

    def _on_watch_timeout(self, call: WatchCall) -> None:
        if self.is_pending(call):
            self.send_watch_request()

    def is_pending(self, call: WatchCall) -> bool:
        """Whether this is the newest request of the current incarnation."""
        return (call.incarnation, call.number) == (self.incarnation, self.request_number)

    def on_watch_reply(self, reply: rpc_messages.WatchReply, call: WatchCall) -> None:
        """Apply a reply once the proxy isn't frozen; the reply to an older request is ignored.

        It confirms that the proxy has missed no version only if the proxy is in the list of live proxies, and
        the reply leaves no version out.
        """
        if self.world.sim.now < self.frozen_until_us:
            self.world.sim.at(self.frozen_until_us, self.on_watch_reply, reply, call)
            return
        if not self.is_pending(call):
            return
        route_versions = self.router.route_versions
        members = reply.updated_proxies(self.fencing_token, self.live_proxies)
        if members is not None:
            self.live_proxies = members
        if self.name in self.live_proxies and not reply.lacks_versions:
            route_versions.confirmed_us = max(route_versions.confirmed_us, call.sent_us)
        if reply.active_configuration is not None and reply.active_version > self.active_version:
            self._activate(self._decode(reply.active_configuration))
        elif reply.active_version in route_versions.staged:
            self._activate(route_versions.staged[reply.active_version])
        elif reply.active_version > self.active_version:
            route_versions.staged.clear()
        for encoded_version in reply.staged_versions.values():
            route_versions.stage(self._decode(encoded_version))
        self.fencing_token = reply.fencing_token
        self.send_watch_request()

    def _decode(self, encoded_version: EncodedVersion) -> RouteTable:
        encoded = decode(encoded_version, self.encoded_configurations.get(encoded_version.base, b""))
        self.encoded_configurations[encoded_version.version] = encoded
        return RouteTable(configuration.read(msgspec.json.decode(encoded)))

    def _activate(self, table: RouteTable) -> None:
        self.active_version = table.version
        self.router.activate(table)
        self.world.note(f"{self.name} activates version {self.active_version}")

    def call(self, tenant: int) -> int:
        """Return the status of a tenant's request; 200 if the router accepts it."""
        match = self.router.match(self.world.sim.now, f"t{tenant}.example", "/", f"key-t{tenant}")
        return match if isinstance(match, int) else 200
