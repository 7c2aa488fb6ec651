"""The part of `conf.status` about versions, refused changes, proxies and servers."""

from typing import Any

from lapisgrade.gateway.controller.refused_changes import RefusedChange
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.controller.version_activation import ProxyStatus
from lapisgrade.gateway.registry import Server, ServerState


def status_report(
    now_us: int,
    state: State,
    last_refused: RefusedChange | None,
    proxies: dict[str, ProxyStatus],
    servers: list[Server],
) -> dict[str, Any]:
    """Return the newest and active versions, the versions of each proxy, and the servers, for JSON.

    `last_refused` is the last change that this leader refused, if any.
    """
    return {
        "Newest": state.version,
        "InForce": state.active_version,
        "EverAccepted": state.version > 0,
        "LastRefused": None if last_refused is None else last_refused.report(now_us),
        "Proxies": [_proxy_report(now_us, name, proxy) for name, proxy in sorted(proxies.items())],
        "Servers": _server_report(servers),
    }


def _proxy_report(now_us: int, name: str, proxy: ProxyStatus) -> dict[str, Any]:
    return {
        "Name": name,
        "Az": proxy.zone,
        "At": proxy.address,
        "Life": proxy.incarnation,
        "Core": proxy.has_local_controller,
        "Leaving": proxy.is_terminating,
        "Held": proxy.staged_version,
        "InForce": proxy.active_version,
        "HeardMs": (now_us - proxy.last_seen_us) // 1000,
    }


def _server_report(servers: list[Server]) -> dict[str, dict[str, int]]:
    """Return the numbers of servers that are up and of their slots, by service."""
    report: dict[str, dict[str, int]] = {}
    for server in servers:
        if server.state == ServerState.UP and server.service:
            totals = report.setdefault(server.service, {"Up": 0, "Slots": 0})
            totals["Up"] += 1
            totals["Slots"] += server.slots
    return report
