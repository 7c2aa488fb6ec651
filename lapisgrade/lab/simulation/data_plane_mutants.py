"""Wrong versions of the data plane, each of which the plays of `data_plane` must find."""

from typing import Any


from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.controller import watch
from lapisgrade.gateway.controller.leader_calls import LeaderCalls
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import LiveProxies, ServerLeaving
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.registry import Server
from lapisgrade.gateway.routing.router import Router
from lapisgrade.lab.explore import quota_defects
from lapisgrade.lab.explore.defects import Defect, Defects

FOREVER = 1 << 60  # us

_commit, _update_servers = LeaderCalls.commit, Router.update_servers


def _old_fence(self: StateMachine, index: int, item: LiveProxies) -> None:
    """A new list of live proxies bears the fence of the one before."""
    state = self.state
    state.fencing_token = state.fencing_token or index
    state.live_proxies = item.members
    state.proxies_with_controller, state.terminating_proxies = (
        item.proxies_with_controller,
        item.terminating_proxies,
    )


def _listed_as_up(self: Router, servers: list[Server], is_complete: bool) -> None:
    """A server that drains is sent requests like any other."""
    for each in servers:
        if each.state == "drain":
            each.state = "up"
    _update_servers(self, servers, is_complete)


async def _unlogged(self: LeaderCalls, item: Any) -> rpc_messages.ForwardCallReply:
    """A server's leaving is acknowledged by the leader's memory alone."""
    if not isinstance(item, ServerLeaving):
        return await _commit(self, item)
    self.watch_service.watch.registry.mark_left(self.clock(), item.server, item.is_gone)
    self.watch_service.notify_watchers()
    return rpc_messages.ForwardCallReply(ApplyResult(200).status)


def _forgets_who_left(self: watch.Watch, now_us: int, departed: dict[str, bool]) -> None:
    """A new leader goes by beats alone."""
    self.departed_servers = {}


# The first seed and how many from it on are enough to find each; 0 and 12 where nothing else is said.
FOUND_FROM = {"asks-nobody": (24, 12), "forgets-leases": (24, 12)}
OF_QUOTA = ("never-expires", "any-fence", "asks-nobody", "forgets-leases", "undivided")
DEFECTS: Defects = {
    **{name: quota_defects.DEFECTS[name] for name in OF_QUOTA},
    "old-fence": Defect(StateMachine, "apply_live_proxies", _old_fence),
    "counted-out-too-soon": Defect(watch, "PROXY_TIMEOUT_US", 400_000),
    "sends-to-draining": Defect(Router, "update_servers", _listed_as_up),
    "leaving-not-logged": Defect(LeaderCalls, "commit", _unlogged),
    "forgets-who-left": Defect(watch.Watch, "update_departed_servers", _forgets_who_left),
}
