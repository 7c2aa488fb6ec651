"""Serves the watch requests of proxies (long polling).

A request is answered immediately if there are updates for that proxy, otherwise as soon as there are any, and
after `LONG_POLL_US` at the latest. `watch.Watch` determines the updates. This module waits for them, limits
the rate of replies, and probes proxies that were reported as unreachable.
"""

import asyncio
import logging
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
from lapisgrade.gateway.settings import is_valid_address, parse_address
from lapisgrade.gateway.watch_timing import LONG_POLL_US
from lapisgrade.net.rate_limited_log import RateLimitedLog

_dropped_versions_log = RateLimitedLog("controller", logging.getLogger("controller").warning)

MAX_PROBES = 16  # maximum number of proxies that are probed for one request
REPLY_COST_US = 200  # upper bound of the leader's CPU time for the reply to one proxy
MAX_FAN_OUT_INTERVAL_US = 250_000  # maximum time between rounds of replies; far below all update deadlines


class WatchService:
    """Serves watch requests on the leader; redirects them on other controllers."""

    def __init__(
        self,
        watch: Watch,
        consensus: ConsensusDriver,
        discovery: LeaderDiscovery,
        state_machine: StateMachine,
        clock: Callable[[], int],
        metrics: ControllerMetrics,
    ) -> None:
        """`clock` returns the monotonic time in us."""
        self.watch = watch
        self._consensus = consensus
        self._discovery = discovery
        self._state_machine = state_machine
        self._clock = clock
        self._metrics = metrics
        self._changed = asyncio.Event()  # set and replaced when requests are to be re-evaluated
        self._applied = asyncio.Event()  # set and replaced when the state has changed
        self._notified_us = 0  # when `_changed` was last set
        self._notify_timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Cancel a scheduled notification."""
        if self._notify_timer is not None:
            self._notify_timer.cancel()

    # ---- requests

    async def handle_watch(self, request: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        """Return the updates for a proxy, or after `LONG_POLL_US` a reply without updates."""
        self._metrics.watch_requests += 1
        if request.proxy and not is_valid_address(request.address):
            self._metrics.invalid_peer_addresses += 1
            return self._redirect()  # not recorded: other proxies would call it
        self._probe_refusing_proxies(request.unreachable_proxies)
        deadline_us = self._clock() + LONG_POLL_US
        while True:
            if not self._consensus.is_leader():
                return self._redirect()
            controllers = self._consensus.voter_addresses()
            reply = self.watch.reply_if_changed(
                self._clock(), request, self._state_machine.state, controllers
            )
            self._propose_activation()
            remaining_s = (deadline_us - self._clock()) / SECOND
            if reply is not None:
                return reply
            if remaining_s <= 0:
                return self._unchanged(request)
            request = without_known_servers(request)
            await self._wait_for_change(remaining_s)

    def _redirect(self) -> rpc_messages.WatchReply:
        """Return the leader's address, empty if unknown here, and the addresses of the voters."""
        leader = self._discovery.remote_leader_address()
        voters = self._consensus.voter_addresses() or self._discovery.known_voters()
        return rpc_messages.WatchReply(False, leader, voters)

    def _unchanged(self, request: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        return self.watch.unchanged_reply(
            request, self._state_machine.state, self._consensus.voter_addresses()
        )

    def _propose_activation(self) -> None:
        """Propose an activation immediately if the activation waited only for the current request."""
        activation = self.watch.activation(self._clock(), self._state_machine.state)
        if activation is not None:
            self._consensus.propose_all([activation])
            self._consensus.step()

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Return when watchers are notified, or after `timeout_s`."""
        await _wait(self._changed, timeout_s)

    def on_heartbeat(self, server: Server) -> None:
        """Record a server's heartbeat, and notify watchers if they need an update."""
        if self.watch.on_heartbeat(self._clock(), server):
            self.notify_watchers()

    # ---- probes

    def _probe_refusing_proxies(self, names: list[str]) -> None:
        """Start probes of the proxies that another proxy reported as unreachable."""
        for name in names[:MAX_PROBES]:
            proxy = self.watch.proxies.get(name)
            if proxy is not None and self._consensus.is_leader():
                asyncio.get_running_loop().create_task(self._probe_proxy(name, proxy.address))

    async def _probe_proxy(self, name: str, proxy_address: str) -> None:
        """Probe a proxy that refused a connection of another proxy; remove it if it refuses this one too."""
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
        """Reset the state of proxies and servers from the replicated state."""
        self.watch.become_leader(self._clock(), term, self._state_machine.state)

    def on_applied(self, is_established: bool) -> None:
        """Record staged versions; on the leader, also update which servers are draining or gone."""
        now_us, state = self._clock(), self._state_machine.state
        self._report_dropped_versions(self.watch.observe_staged_versions(now_us, state))
        if is_established:
            self.watch.update_departed_servers(now_us, state.departed_servers)
        applied, self._applied = self._applied, asyncio.Event()
        applied.set()

    def _report_dropped_versions(self, versions: list[int]) -> None:
        """Count staged versions that were dropped; log them if proxies wait for their activation."""
        self._metrics.staged_versions_dropped += len(versions)
        if versions and self._state_machine.state.live_proxies:
            _dropped_versions_log.write(
                f"dropped the staged versions {versions}: their changes take effect with a later version"
            )

    async def wait_until_applied(self, timeout_s: float) -> None:
        """Return when the state has changed, or after `timeout_s`."""
        await _wait(self._applied, timeout_s)

    def on_timer(self) -> None:
        """Remove proxies without recent requests and expire servers without recent heartbeats."""
        if self.watch.advance(self._clock()):
            self.notify_watchers()

    def due_commands(self) -> list[LogCommand | None]:
        """Return an activation, a list of live proxies and a server snapshot; None for those not due."""
        now_us, state = self._clock(), self._state_machine.state
        return [
            self.watch.activation(now_us, state),
            self.watch.live_proxies(now_us, state),
            self.watch.server_snapshot(now_us),
        ]

    def notify_watchers(self) -> None:
        """Re-evaluate pending requests: immediately, or at the end of the fan-out interval."""
        if self._notify_timer is not None:
            return
        due_us = self._notified_us + fan_out_interval_us(len(self.watch.proxies))
        delay_s = (due_us - self._clock()) / SECOND
        if delay_s <= 0:
            self._wake_watchers()
        else:
            self._notify_timer = asyncio.get_running_loop().call_later(delay_s, self._wake_watchers)

    def _wake_watchers(self) -> None:
        """Re-evaluate all pending requests now."""
        self._notify_timer = None
        self._notified_us = self._clock()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Return when the event is set, or after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass


def fan_out_interval_us(proxy_count: int) -> int:
    """Return the minimum interval between rounds of replies: twice the CPU time of one round.

    Protects the leader when hundreds of servers start or stop at once. With a round for each change, every
    proxy would be sent a reply for each change, and heartbeats would queue behind these replies.
    """
    return min(2 * REPLY_COST_US * proxy_count, MAX_FAN_OUT_INTERVAL_US)
