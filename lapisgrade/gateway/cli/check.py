"""Checks of a configuration before it is sent: what would change, what is wrong, and what to mind. Pure; it
sends nothing, and tells no key."""

import re
from typing import Any

import msgspec

from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.settings import Bad, an_object, camel
from lapisgrade.gateway.controller.watch import PROXY_TIMEOUT_US
from lapisgrade.gateway.configuration import Configuration, Rule
from lapisgrade.gateway.quota.ownership import eligible_owners, owner_of

WIRED = {"target_time": "Target_time", "warmup_time": "Warmup_time"}  # that the wire writes otherwise
MOST_TOLD = 200  # lines of one kind; a configuration may have many hundred routes
HINTS = (  # what a mistake's words hold, and how it is mended
    ("is not in Pools", "name the service under Pools, or send the route to one that is there"),
    ("add up to 0", "give one of the services a weight above 0"),
    ("below 0", "weights, RateS and Burst are 0 or more"),
    ("not above 0", "give it a value above 0"),
    ("is not a time", "times are a number and a unit, as in 1500ms or 2.5s"),
    ("does not begin with a slash", "prefixes begin and end with a slash"),
    ("not both and not none", "an Action has Svc, or Split with weights"),
    ("stands twice", "names, keys and a host's prefixes are there once"),
    ("is no mode", "Mode is idem for what may be repeated, else mutate"),
    ("not above", "Ver climbs with each change"),
    ("required field", "it can't be left out"),
)


def mended(wrong: str) -> str:
    """How what is wrong is mended; empty where that is plain."""
    return next((hint for words, hint in HINTS if words in wrong), "")


def read(text: bytes) -> dict:
    """A configuration's file as JSON; Bad where it is none."""
    return an_object(text, "a configuration")


def changed(before: dict, after: dict) -> list[str]:
    """What leads from the one to the other, a line a field; items that come or go as one line."""
    old, new = merge_fields.fields(before), merge_fields.fields(after)
    come = {path for path in new if merge_fields.is_item(path) and path not in old}
    lines = []
    for op in merge_fields.ops(old, new):
        if op.path in come or op.ends_item:
            lines.append(f"{'+' if op.has else '-'} {merge_fields.shown(op.path)}")
        elif op.path[:2] not in come:
            lines.append(
                f"  {merge_fields.shown(op.path)}: {_said(op.had, op.base)} -> {_said(op.has, op.new)}"
            )
    return lines


def _said(there: bool, value: Any) -> str:
    return msgspec.json.encode(value).decode() if there else "none"


def doubts(conf: Configuration, servers: dict[str, dict] | None = None) -> list[str]:
    """What may be meant otherwise, though it can be taken. `servers`: by service, how many are up and their
    slots; None where that is not known."""
    out: list[str] = []
    hosts: dict[str, int] = {}
    used: set[str] = set()
    for port in conf.ports:
        hosts[port.vhost.lower()] = hosts.get(port.vhost.lower(), 0) + 1
        for rule in port.policy:
            used |= {each.svc for each in rule.action.shares()}
            out += [f"route {rule.name}: {line}" for line in _of_rule(rule, conf)]
    out += [f"host {host} stands {count} times: its routes count together" for host, count in hosts.items()
            if count > 1]  # fmt: skip
    for pool in conf.pools:
        if pool.name not in used:
            out.append(f"service {pool.name}: no route goes there")
        elif servers is not None and not servers.get(pool.name, {}).get("Up"):
            out.append(f"service {pool.name}: no server is up")
    for tenant in conf.tenants or ():
        if not tenant.apikeys:
            out.append(f"tenant {tenant.name}: has no key, so no request is its")
        if tenant.burst and not tenant.rate_s:
            out.append(f"tenant {tenant.name}: a Burst without RateS is no limit")
        if tenant.rate_s and not tenant.burst:
            out.append(f"tenant {tenant.name}: no Burst: a second's rate is taken for it")
    if conf.tenants == ():
        out.append("Tenants is empty: every request but on public routes gets 401")
    return out


def _of_rule(rule: Rule, conf: Configuration) -> list[str]:
    action, out = rule.action, []
    if not rule.match.pfx.endswith("/"):
        out.append(f"the prefix {rule.match.pfx} has no slash at its end: it begins other words too")
    if action.timeout < rule.target_time:
        out.append(
            f"is held {action.timeout / SECOND:g} s at most, and aims at {rule.target_time / SECOND:g} s"
        )
    if len(action.split) == 1:
        out.append("a split of one service")
    out += [f"service {each.svc} has weight 0: nothing goes there" for each in action.split if not each.wt]
    if len({each.svc for each in action.split}) < len(action.split):
        out.append("a service stands twice in its split")
    if rule.mode == "idem" and action.tries == 1:
        out.append("may be repeated, but is tried once")
    if rule.public and conf.tenants is None:
        out.append("is public where no key is wanted anyway")
    return out


def checked(text: bytes, servers: dict[str, dict] | None = None) -> tuple[list[str], list[str]]:
    """What is wrong with a configuration's file, each with how it is mended, and what to mind."""
    try:
        conf = configuration.read(read(text))
    except Bad as wrong:
        return [_with_hint(each) for each in str(wrong).split("; ")], []
    return [], doubts(conf, servers)[:MOST_TOLD]


def _with_hint(wrong: str) -> str:
    """With its place in the file's own words, and how it is mended."""
    words, mark, place = wrong.partition(" @ $")
    wrong = words + mark + re.sub(r"\.(\w+)", lambda part: f".{WIRED.get(part[1]) or camel(part[1])}", place)
    hint = mended(wrong)
    return f"{wrong} ({hint})" if hint else wrong


def loss(conf: Configuration, status: dict, names: list[str]) -> tuple[list[str], bool]:
    """What the loss of those machines at once would do, by what control says of itself (`conf.status`);
    whether changes could still be made."""
    proxies = {each["Name"]: each for each in status["Proxies"]}
    if strange := sorted(set(names) - set(proxies)):
        raise Bad(f"no proxy of that name: {', '.join(strange)}")
    hosts = {host_of(proxies[name]["At"]) for name in names}
    voters = [host_of(each["At"]) for each in status["Voters"]]
    left = sum(host not in hosts for host in voters)
    goes_on = 2 * left > len(voters)
    out = [
        f"disks: {left} of {len(voters)} left: "
        + (
            "a majority, changes go on"
            if goes_on
            else "no majority, nothing is acknowledged until one is back"
        )
    ]
    if host_of(status["Leader"]) in hosts:
        out.append(
            "the leader is among them: " + ("another is elected" if goes_on else "none can be elected")
        )
    zones: dict[str, list[int]] = {}
    for name, each in proxies.items():
        zone = zones.setdefault(each["Az"], [0, 0])
        zone[0] += name not in names
        zone[1] += 1
    out += [f"zone {zone}: {there} of {all_} proxies left" for zone, (there, all_) in sorted(zones.items())
            if there < all_]  # fmt: skip
    core = {name for name, each in proxies.items() if each["Core"]}
    moved = [
        tenant.name
        for tenant in conf.tenants or ()
        if tenant.rate_s and owner_of(tenant.name, eligible_owners(proxies, core)) in names
    ]
    if moved:
        out.append(
            f"counts that others take over, dark for some {PROXY_TIMEOUT_US / SECOND:g} s: {', '.join(moved)}"
        )
    if len(names) == len(proxies):
        out.append("no proxy is left: nothing is served")
    return out, goes_on


def host_of(place: str) -> str:
    return place.rpartition(":")[0]


def planned(current: dict, change: dict, servers: dict[str, dict]) -> tuple[list[str], list[str], list[str]]:
    """What a change of named items, or a whole configuration, would do on top of the current one: what
    changes, what is wrong, and what is to be minded that was not so before."""
    whole = "Upsert" not in change and "Del" not in change
    try:
        made = {**change} if whole else configuration.updated(current, change)
        made["Ver"] = current.get("Ver", 0) + 1
        made.pop("Base", None)
        conf = configuration.read(made)
    except (Bad, KeyError, TypeError, AttributeError) as wrong:
        return [], [_with_hint(each) for each in str(wrong).split("; ")], []
    known = set(doubts(configuration.read(current), servers)) if current else set()
    minded = [each for each in doubts(conf, servers) if each not in known]
    return changed(current, made)[:MOST_TOLD], [], minded[:MOST_TOLD]
