"""Configurations: reading and checks, changes by named item, and the table that requests are routed by. Pure.

What the operator sent is kept as it was laid out, so that it can be read back the same; the records here are
what the data plane needs of it.
"""

import functools
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import cattrs
import msgspec
from attrs import define, field

from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway import SECOND
from lapisgrade.gateway.settings import Span, camel, checker, take

MOST_BYTES = 8 * 1024 * 1024  # of one configuration; far beyond what a leader's memory is asked to hold
HEADER, IDLE = Span(3 * SECOND), Span(15 * SECOND)  # what clients may take where the configuration is silent
MOST_REMEMBERED = 8192  # routes, and tenants, that were read and are not read again; a large configuration's
BODY, HEAD = 64 * 1024 * 1024, 16_384  # bytes, the same


def wired(name: str, **more: Any) -> Any:
    return field(metadata={"wire": name}, **more)


def positive(_: Any, attribute: Any, value: float) -> None:
    if value <= 0:
        raise ValueError(f"{camel(attribute.name)} is {value}, not above 0")


def natural(_: Any, attribute: Any, value: float) -> None:
    if value < 0:
        raise ValueError(f"{camel(attribute.name)} is {value}, below 0")


def slashed(_: Any, attribute: Any, value: str) -> None:
    if not value.startswith("/"):
        raise ValueError(f"{value!r} does not begin with a slash")


def named(_: Any, attribute: Any, value: str) -> None:
    if not 0 < len(value) <= 256:
        raise ValueError(f"{camel(attribute.name)} must have 1 to 256 characters")


def moded(_: Any, attribute: Any, value: str) -> None:
    if value not in ("idem", "mutate"):
        raise ValueError(f"{value!r} is no mode, as idem and mutate are")


@define(frozen=True, slots=True)
class Share:
    svc: str = field(validator=named)
    wt: float = field(validator=natural)


@define(frozen=True, slots=True)
class Action:
    timeout: Span = field(validator=positive)
    svc: str = ""
    split: tuple[Share, ...] = ()
    tries: int = field(default=2, validator=positive)

    def __attrs_post_init__(self) -> None:
        if bool(self.svc) == bool(self.split):
            raise ValueError("either Svc or Split, not both and not none")
        if self.split and sum(each.wt for each in self.split) <= 0:
            raise ValueError("the weights of Split add up to 0")

    def shares(self) -> tuple[Share, ...]:
        return self.split or (Share(self.svc, 1.0),)


@define(frozen=True, slots=True)
class Match:
    pfx: str = field(validator=slashed)


@define(frozen=True, slots=True)
class Rule:
    name: str = field(validator=named)
    match: Match
    action: Action
    mode: str = field(default="mutate", validator=moded)
    target_time: Span = wired("Target_time", default=Span(SECOND))
    prio: int = 1
    public: bool = False


@define(frozen=True, slots=True)
class Port:
    vhost: str = field(validator=named)
    policy: tuple[Rule, ...] = ()


@define(frozen=True, slots=True)
class Pool:
    name: str = field(validator=named)
    hcheck: str = "/healthz"
    maxconn: int = field(default=100, validator=positive)


@define(frozen=True, slots=True)
class Tenant:
    name: str = field(validator=named)
    apikeys: tuple[str, ...] = ()
    prio: int | None = None
    rate_s: float = field(default=0.0, validator=natural, metadata={"wire": "RateS"})
    burst: float = field(default=0.0, validator=natural)


@define(frozen=True, slots=True)
class Caps:
    hdr_bytes: int = field(default=HEAD, validator=positive)
    body_bytes: int = field(default=BODY, validator=natural)
    hdr: Span = field(default=HEADER, validator=positive)
    idle: Span = field(default=IDLE, validator=positive)


@define(frozen=True, slots=True)
class Configuration:
    ver: int = field(validator=positive)
    ports: tuple[Port, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] | None = None
    caps: Caps = Caps()


@functools.cache
def converter() -> cattrs.Converter:
    """Strict, and with `None` for a priority left out. Versions share most of their items: one that was read
    lately is not read again."""
    made, plain = checker(), checker()
    for kind in (Rule, Tenant, Pool):
        made.register_structure_hook(kind, remembering(plain, kind))
    return made


def remembering(plain: cattrs.Converter, kind: type) -> Callable[[Any, type], Any]:
    """A hook that reads each text of a record of that kind once."""

    @functools.lru_cache(MOST_REMEMBERED)
    def structured(text: bytes) -> Any:
        return plain.structure(msgspec.json.decode(text), kind)

    return lambda raw, _: structured(msgspec.json.encode(raw))


def read(raw: Any) -> Configuration:
    """Return a configuration, read and checked.

    Raises:
        ConfigurationError: It can't be accepted; each mistake is named with its place.
    """
    if not isinstance(raw, dict):
        raise ConfigurationError("a configuration is an object")
    made: Configuration = take(converter(), raw, Configuration)
    unique("service", [each.name for each in made.pools])
    unique("route", [rule.name for port in made.ports for rule in port.policy])
    unique("tenant", [each.name for each in made.tenants or ()])
    unique("key", [key for each in made.tenants or () for key in each.apikeys])
    unique("prefix", [f"{port.vhost}{rule.match.pfx}" for port in made.ports for rule in port.policy])
    services = {each.name for each in made.pools}
    for port in made.ports:
        for rule in port.policy:
            for share in rule.action.shares():
                if share.svc not in services:
                    raise ConfigurationError(f"route {rule.name}: service {share.svc!r} is not in Pools")
    return made


def unique(what: str, names: list[str]) -> None:
    seen = set()
    for name in names:
        if name in seen:
            # A key is a secret and is never repeated to anybody.
            raise ConfigurationError(
                f"a {what} stands twice" + ("" if what == "key" else f": {name[:100]!r}")
            )
        seen.add(name)


# ---- changes

# Lists of named items: what the wire calls them where they are put, and where only names are given.
NAMED = {"Pools": ("Pools", "Svcs"), "Tenants": ("Tenants",)}
ROUTES = ("Routes", "Ports", "Policy")


def updated(current: dict, change: dict) -> dict:
    """Return the whole configuration that a change of named items leaves.

    Raises:
        ConfigurationError: The change can't be read.
    """
    put, drop = change.get("Upsert") or {}, change.get("Del") or {}
    if not isinstance(put, dict) or not isinstance(drop, dict):
        raise ConfigurationError("Upsert and Del are objects")
    made = dict(current)
    made["Ver"] = change.get("Ver")
    gone = {name for word in ROUTES for name in names(drop, word)}
    ports: dict[str, list[dict]] = {}
    for port in current.get("Ports") or []:  # a host may stand twice
        ports.setdefault(port["Vhost"], []).extend(port.get("Policy") or [])
    place = {rule["Name"]: host for host, rules in ports.items() for rule in rules}
    for port in items(put, "Ports"):
        host = port.get("Vhost")
        if not isinstance(host, str):
            raise ConfigurationError("an item of Ports has no Vhost")
        rules = ports.setdefault(host, [])
        for rule in port.get("Policy") or []:
            if not isinstance(rule, dict) or not isinstance(rule.get("Name"), str):
                raise ConfigurationError("an item of Policy has no Name")
            old = place.get(rule["Name"])
            if old is not None and old != host:
                ports[old] = [each for each in ports[old] if each["Name"] != rule["Name"]]
            at = [i for i, each in enumerate(rules) if each["Name"] == rule["Name"]]
            rules[at[0] if at else len(rules) : at[0] + 1 if at else len(rules)] = [rule]
            place[rule["Name"]] = host
    left = {host: [each for each in rules if each["Name"] not in gone] for host, rules in ports.items()}
    made["Ports"] = [{"Vhost": host, "Policy": rules} for host, rules in left.items() if rules]
    for word, also in NAMED.items():
        old = {each["Name"]: each for each in current.get(word) or []}
        new = [each for name in also for each in items(put, name)]
        if any(not isinstance(each.get("Name"), str) for each in new):
            raise ConfigurationError(f"an item of {word} has no Name")
        old.update({each["Name"]: each for each in new})
        lost = {name for key in also for name in names(drop, key)}
        if word in current or new:
            made[word] = [each for name, each in old.items() if name not in lost]
    if "Caps" in put:
        made["Caps"] = put["Caps"]
    return made


def items(put: dict, word: str) -> list[dict]:
    found = put.get(word) or []
    if not isinstance(found, list) or any(not isinstance(each, dict) for each in found):
        raise ConfigurationError(f"{word} is not a list of objects")
    return found


def names(drop: dict, word: str) -> list[str]:
    found = drop.get(word) or []
    if not isinstance(found, list):
        raise ConfigurationError(f"{word} is not a list of names")
    return [each["Name"] if isinstance(each, dict) and "Name" in each else str(each) for each in found]


def digest(body: bytes) -> bytes:
    """Of a body's meaning: the same JSON laid out another way is the same change."""
    ordered = msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    return blake2b(ordered, digest_size=16).digest()


# ---- routing


class Table:
    """What a proxy routes by: one version, compiled."""

    __slots__ = ("_hosts", "keys", "made", "tenants", "ver")

    def __init__(self, made: Configuration) -> None:
        self.made, self.ver = made, made.ver
        hosts: dict[str, list[Rule]] = {}
        for port in made.ports:  # a host that stands twice has the routes of both (guards the first one's)
            hosts.setdefault(port.vhost.lower(), []).extend(port.policy)
        self._hosts = {
            host: sorted(rules, key=lambda rule: -len(rule.match.pfx)) for host, rules in hosts.items()
        }
        self.tenants = {each.name: each for each in made.tenants or ()}
        self.keys = (
            None if made.tenants is None else {key: each for each in made.tenants for key in each.apikeys}
        )

    def entry(self, host: str, path: str, key: str) -> "tuple[Rule, Tenant | None] | int":
        """The rule of a request and whose key it bears, or the status that refuses it."""
        rule = self.route(host, path)
        if rule is None:
            return 404
        tenant = self.keys.get(key) if self.keys is not None and key else None
        if tenant is None and self.keys is not None and not rule.public:
            return 401
        return rule, tenant

    def route(self, host: str, path: str) -> Rule | None:
        """The rule of that host with the longest prefix that begins the path."""
        rules = self._hosts.get(host.lower())
        if rules is None:
            rules = self._hosts.get(host.lower().partition(":")[0], ())
        path = path.partition("?")[0]
        return next((rule for rule in rules if path.startswith(rule.match.pfx)), None)
