"""Known defects of the data plane, each of which `simulation.data_plane` must find."""

from typing import Any

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.controller import watch
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import LiveProxies, ServerLeaving
from lapisgrade.gateway.controller.leader_calls import LeaderCalls
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.registry import Server
from lapisgrade.gateway.routing.router import Router
from lapisgrade.lab.explore import quota_defects
from lapisgrade.lab.explore.defects import Defect, Defects

_commit, _update_servers = LeaderCalls.commit, Router.update_servers


def _apply_live_proxies_without_new_token(self: StateMachine, index: int, command: LiveProxies) -> None:
    """A new list of live proxies keeps the previous fencing token."""
    state = self.state
    state.fencing_token = state.fencing_token or index
    state.live_proxies = command.members
    state.proxies_with_controller, state.terminating_proxies = (
        command.proxies_with_controller,
        command.terminating_proxies,
    )


def _update_servers_ignoring_drain(self: Router, servers: list[Server], is_complete: bool) -> None:
    """A draining server receives requests like any other."""
    for each in servers:
        if each.state == "drain":
            each.state = "up"
    _update_servers(self, servers, is_complete)


async def _commit_without_departures(self: LeaderCalls, command: Any) -> rpc_messages.ForwardCallReply:
    """A server's departure is acknowledged though it is only in the leader's memory."""
    if not isinstance(command, ServerLeaving):
        return await _commit(self, command)
    self.watch_service.watch.registry.mark_left(self.clock(), command.server, command.is_gone)
    self.watch_service.notify_watchers()
    return rpc_messages.ForwardCallReply(ApplyResult(200).status)


def _update_departed_servers_to_none(self: watch.Watch, now_us: int, departed: dict[str, bool]) -> None:
    """A new leader ignores the departures in the log, and relies on heartbeats only."""
    self.departed_servers = {}


# First seed and number of seeds of the search for a defect; 0 and 12 for all others.
FIRST_SEED_AND_COUNT = {"asks-nobody": (24, 12), "forgets-leases": (24, 12), "old-fence": (20, 12)}
QUOTA_DEFECTS = ("never-expires", "any-fence", "asks-nobody", "forgets-leases", "undivided")
DEFECTS: Defects = {
    **{name: quota_defects.DEFECTS[name] for name in QUOTA_DEFECTS},
    "old-fence": Defect(StateMachine, "apply_live_proxies", _apply_live_proxies_without_new_token),
    "counted-out-too-soon": Defect(watch, "PROXY_TIMEOUT_US", 400_000),
    "sends-to-draining": Defect(Router, "update_servers", _update_servers_ignoring_drain),
    "leaving-not-logged": Defect(LeaderCalls, "commit", _commit_without_departures),
    "forgets-who-left": Defect(watch.Watch, "update_departed_servers", _update_departed_servers_to_none),
}
