"""Answers the watch requests of proxies (long polls), and tells watchers when to look again.

A request is answered at once if something is new for that proxy, else when something becomes new, or after
`LONG_POLL_US` without news. What is new is decided by `watch.Watch`; this module waits, paces and probes.
"""

import asyncio
from collections.abc import Callable

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller.commands import LogCommand
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.leader_discovery import LeaderDiscovery
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch, without_known_servers
from lapisgrade.gateway.registry import Server
from lapisgrade.gateway.rpc_peer import CONNECT_TIMEOUT_S
from lapisgrade.gateway.settings import parse_address
from lapisgrade.gateway.watch_timing import LONG_POLL_US

MAX_PROBES = 16  # proxies that one request may report as refusing connections
REPLY_COST_US = 200  # us of the leader's processor that one proxy's reply takes, at most
MAX_FAN_OUT_INTERVAL_US = 250_000  # us between two rounds of replies, at most: far inside all bounds on news


class WatchService:
    """Serves watch requests on the leader, and redirects them elsewhere."""

    def __init__(
        self,
        watch: Watch,
        consensus: ConsensusDriver,
        discovery: LeaderDiscovery,
        state_machine: StateMachine,
        clock: Callable[[], int],
        metrics: ControllerMetrics,
    ) -> None:
        """`clock` tells the steady time in us."""
        self.watch = watch
        self._consensus = consensus
        self._discovery = discovery
        self._state_machine = state_machine
        self._clock = clock
        self._metrics = metrics
        self._changed = asyncio.Event()  # set, and replaced, when watchers have to look again
        self._notified_us = 0  # when it was set last
        self._notify_timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Notify nobody any more."""
        if self._notify_timer is not None:
            self._notify_timer.cancel()

    # ---- requests

    async def handle_watch(self, request: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        """Return what is new for a proxy, or after a while that nothing is."""
        self._metrics.watch_requests += 1
        self._probe_refusing_proxies(request.unreachable_proxies)
        ends_us = self._clock() + LONG_POLL_US
        while True:
            if not self._consensus.is_leader():
                return self._redirect()
            controllers = self._consensus.voter_addresses()
            reply = self.watch.reply_if_changed(
                self._clock(), request, self._state_machine.state, controllers
            )
            self._propose_activation()
            remaining_s = (ends_us - self._clock()) / SECOND
            if reply is not None:
                return reply
            if remaining_s <= 0:
                return self._unchanged(request)
            request = without_known_servers(request)
            await self._wait_for_change(remaining_s)

    def _redirect(self) -> rpc_messages.WatchReply:
        """Return where else to ask, as this controller doesn't lead."""
        leader = self._discovery.remote_leader_address()
        return rpc_messages.WatchReply(False, leader, self._consensus.voter_addresses())

    def _unchanged(self, request: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        return self.watch.unchanged_reply(
            request, self._state_machine.state, self._consensus.voter_addresses()
        )

    def _propose_activation(self) -> None:
        """Propose to activate a staged version at once, if this request was the last to be waited for."""
        activation = self.watch.activation(self._clock(), self._state_machine.state)
        if activation is not None:
            self._consensus.propose_all([activation])
            self._consensus.step()

    async def _wait_for_change(self, timeout_s: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            pass

    def on_heartbeat(self, server: Server) -> None:
        """Take a server's heartbeat in, and notify watchers if it changes what they know."""
        if self.watch.on_heartbeat(self._clock(), server):
            self.notify_watchers()

    # ---- probes

    def _probe_refusing_proxies(self, names: list[str]) -> None:
        for name in names[:MAX_PROBES]:
            proxy = self.watch.proxies.get(name)
            if proxy is not None and self._consensus.is_leader():
                asyncio.get_running_loop().create_task(self._probe_proxy(name, proxy.address))

    async def _probe_proxy(self, name: str, proxy_address: str) -> None:
        """Connect to a proxy that refused another one: its process is gone if it refuses here too."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*parse_address(proxy_address))
            writer.close()
        except ConnectionRefusedError:
            self._metrics.proxies_found_dead += 1
            self.watch.on_proxy_unreachable(name, proxy_address)
        except (OSError, TimeoutError, ValueError):
            pass

    # ---- the leader's tasks (`consensus_driver.LeaderTasks`)

    def become_leader(self, term: int) -> None:
        """Begin to watch proxies and servers, from what the log says of them."""
        self.watch.become_leader(self._clock(), term, self._state_machine.state)

    def on_applied(self) -> None:
        """Take in which servers left, by the log."""
        self.watch.update_departed_servers(self._clock(), self._state_machine.state.departed_servers)

    def on_timer(self) -> None:
        """Remove proxies without recent requests and expire servers without recent heartbeats."""
        if self.watch.advance(self._clock()):
            self.notify_watchers()

    def due_commands(self) -> list[LogCommand | None]:
        """Return an activation, a list of live proxies and a server snapshot, each where it is due."""
        now_us, state = self._clock(), self._state_machine.state
        return [
            self.watch.activation(now_us, state),
            self.watch.live_proxies(now_us, state),
            self.watch.server_snapshot(now_us),
        ]

    def notify_watchers(self) -> None:
        """Have pending requests looked at again: at once, or at the end of the fan-out interval."""
        if self._notify_timer is not None:
            return
        due_us = self._notified_us + fan_out_interval_us(len(self.watch.proxies))
        delay_s = (due_us - self._clock()) / SECOND
        if delay_s <= 0:
            self._wake_watchers()
        else:
            self._notify_timer = asyncio.get_running_loop().call_later(delay_s, self._wake_watchers)

    def _wake_watchers(self) -> None:
        self._notify_timer = None
        self._notified_us = self._clock()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def fan_out_interval_us(proxy_count: int) -> int:
    """Return the least time between two rounds of replies to so many proxies: twice what one round costs.

    Guards the leader where hundreds of servers come or go at once: with a round for each change, every
    proxy would be sent a reply for each of them, and heartbeats would wait behind those replies.
    """
    return min(2 * REPLY_COST_US * proxy_count, MAX_FAN_OUT_INTERVAL_US)
