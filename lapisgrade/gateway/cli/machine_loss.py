"""Predicts the consequences of losing several machines at once, from `conf.status`. No I/O."""

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.cli.operator_client import JsonObject
from lapisgrade.gateway.configuration import Configuration
from lapisgrade.gateway.controller.watch import PROXY_TIMEOUT_US
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.quota.ownership import eligible_owners, owner_of


def describe_loss(conf: Configuration, status: JsonObject, names: list[str]) -> tuple[list[str], bool]:
    """Describe the consequences of losing the machines.

    Args:
        conf: The newest configuration.
        status: The reply of `conf.status`.
        names: The names of the machines' proxies.

    Returns:
        The lines of output, and whether a quorum remains, so that changes are still possible.

    Raises:
        InvalidInputError: A name is not that of a proxy.
    """
    proxies = {proxy["Name"]: proxy for proxy in status["Proxies"]}
    if unknown := sorted(set(names) - set(proxies)):
        raise InvalidInputError(f"unknown proxies: {', '.join(unknown)}")
    lost_hosts = {_host(proxies[name]["At"]) for name in names}
    voter_hosts = [_host(voter["At"]) for voter in status["Voters"]]
    remaining = sum(host not in lost_hosts for host in voter_hosts)
    has_majority = 2 * remaining > len(voter_hosts)
    lines = [
        _describe_voters(remaining, len(voter_hosts), has_majority),
        *_describe_leader(_host(status["Leader"]) in lost_hosts, has_majority),
        *_describe_zones(proxies, names),
        *_describe_counts(conf, proxies, names),
    ]
    if len(names) == len(proxies):
        lines.append("no proxies left: no request is served")
    return lines, has_majority


def _host(address: str) -> str:
    """Return the host of an address with a port."""
    return address.rpartition(":")[0]


def _describe_voters(remaining: int, total: int, has_majority: bool) -> str:
    consequence = (
        "a quorum, changes are still possible"
        if has_majority
        else "no quorum, no change is acknowledged until it is restored"
    )
    return f"voters: {remaining} of {total} left: {consequence}"


def _describe_leader(is_lost: bool, has_majority: bool) -> list[str]:
    if not is_lost:
        return []
    consequence = "a new one is elected" if has_majority else "no new one can be elected"
    return [f"the leader is lost: {consequence}"]


def _describe_zones(proxies: dict[str, JsonObject], lost: list[str]) -> list[str]:
    """Describe how many proxies remain in each zone that loses any."""
    zones: dict[str, list[str]] = {}
    for name, proxy in proxies.items():
        zones.setdefault(proxy["Az"], []).append(name)
    return [
        f"zone {zone}: {len(set(names) - set(lost))} of {len(names)} proxies left"
        for zone, names in sorted(zones.items())
        if set(names) & set(lost)
    ]


def _describe_counts(conf: Configuration, proxies: dict[str, JsonObject], lost: list[str]) -> list[str]:
    """Describe the quota counts whose owner is lost; they are listed by tenant."""
    with_controller = {name for name, proxy in proxies.items() if proxy["Core"]}
    owners = eligible_owners(proxies, with_controller)
    moved_tenants = [
        tenant.name
        for tenant in conf.tenants or ()
        if tenant.rate_s and owner_of(tenant.name, owners) in lost
    ]
    if not moved_tenants:
        return []
    return [
        f"quota counts that change owner, unavailable for about "
        f"{PROXY_TIMEOUT_US / SECOND:g} s: {', '.join(moved_tenants)}"
    ]
