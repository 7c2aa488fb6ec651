"""The configuration that operators put into force: its records, and how it is read and checked. Pure.

The fields of the records bear the configuration's own keys in lower case (`Apikeys` is `apikeys`), as
messages about faults name them. What the operator sent is stored as it was laid out, so that it can be
read back the same; the records are what the data plane needs of it. Times are microseconds.
"""

import functools
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import cattrs
import msgspec
from attrs import define, field

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway.settings import Span, strict_converter, structure, wire_name

MAX_BYTES = 8 * 1024 * 1024  # of one configuration; far beyond what a leader's memory is asked to keep
MAX_NAME_LENGTH = 256  # characters
MAX_CACHED_ITEMS = 8192  # routes, tenants and services each whose text is not read again
MAX_SHOWN_LENGTH = 100  # characters of a name in a message
DEFAULT_HEAD_TIMEOUT = Span(3 * SECOND)
DEFAULT_IDLE_TIMEOUT = Span(15 * SECOND)
DEFAULT_HEAD_BYTES = 16_384
DEFAULT_BODY_BYTES = 64 * 1024 * 1024


class ApiKey(str):
    """A tenant's API key: a secret, which no message shows, not even where it can't be read."""

    __slots__ = ()


def wire_field(name: str, **options: Any) -> Any:
    """Return an attrs field that the configuration has under another key than `wire_name` would make."""
    return field(metadata={"wire": name}, **options)


def check_positive(_: Any, attribute: Any, value: Any) -> None:
    """Validate a number above 0."""
    if value <= 0:
        raise ValueError(f"{wire_name(attribute.name)} is {value}, not above 0")


def check_not_negative(_: Any, attribute: Any, value: Any) -> None:
    """Validate a number from 0 on."""
    if value < 0:
        raise ValueError(f"{wire_name(attribute.name)} is {value}, below 0")


def check_leading_slash(_: Any, attribute: Any, value: str) -> None:
    """Validate the prefix of a path."""
    if not value.startswith("/"):
        raise ValueError(f"{value!r} does not begin with a slash")


def check_name(_: Any, attribute: Any, value: str) -> None:
    """Validate the name of an item."""
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"{wire_name(attribute.name)} must have 1 to {MAX_NAME_LENGTH} characters")


class Mode(StrEnum):
    """How often a route's requests may run; the values are the configuration's own words.

    Attributes:
        IDEM: Idempotent: as often as is of use.
        MUTATE: At most once for each attempt of a client.
        KEYED: At most once for all attempts of a tenant with one `Op-Key`.
    """

    IDEM = "idem"
    MUTATE = "mutate"
    KEYED = "keyed"


def to_mode(value: str) -> Mode:
    """Return the mode of that name.

    Raises:
        ValueError: There is none.
    """
    if value not in tuple(Mode):
        raise ValueError(f"{value!r} is no mode, as idem, mutate and keyed are")
    return Mode(value)


@define(frozen=True, slots=True)
class Share:
    """A service's part of a split route.

    Attributes:
        svc: The service.
        wt: Its weight; its part is the weight divided by the sum of all.
    """

    svc: str = field(validator=check_name)
    wt: float = field(validator=check_not_negative)


@define(frozen=True, slots=True)
class Action:
    """Where a route's requests go, and how long and how often they are tried.

    Attributes:
        timeout: Until the client has its answer at the latest, in us.
        svc: The service; empty where the route is split.
        split: The services that share the route; empty where it goes to one.
        tries: How many attempts a request may take.
    """

    timeout: Span = field(validator=check_positive)
    svc: str = ""
    split: tuple[Share, ...] = ()
    tries: int = field(default=2, validator=check_positive)

    def __attrs_post_init__(self) -> None:
        """Check that the route goes to one service or to a split."""
        if bool(self.svc) == bool(self.split):
            raise ValueError("either Svc or Split, not both and not none")
        if self.split and sum(share.wt for share in self.split) <= 0:
            raise ValueError("the weights of Split add up to 0")

    def shares(self) -> tuple[Share, ...]:
        """Return the services with their weights; one with weight 1 where the route is not split."""
        return self.split or (Share(self.svc, 1.0),)


@define(frozen=True, slots=True)
class Match:
    """Which requests a route takes: those whose path begins with `pfx`."""

    pfx: str = field(validator=check_leading_slash)


@define(frozen=True, slots=True)
class Rule:
    """A route.

    Attributes:
        name: Unique in the configuration.
        match: Which requests it takes.
        action: Where they go.
        mode: How often its requests may run.
        target_time: The latency target, in us.
        prio: The priority; where there is too much load, the lowest is shed first.
        public: Whether requests without an API key are taken.
    """

    name: str = field(validator=check_name)
    match: Match
    action: Action
    mode: Mode = field(default=Mode.MUTATE, converter=to_mode)
    target_time: Span = wire_field("Target_time", default=Span(SECOND))
    prio: int = 1
    public: bool = False


@define(frozen=True, slots=True)
class Port:
    """A virtual host with its routes."""

    vhost: str = field(validator=check_name)
    policy: tuple[Rule, ...] = ()


@define(frozen=True, slots=True)
class Pool:
    """A service.

    Attributes:
        name: Unique in the configuration.
        hcheck: The path of its health check.
        maxconn: How many connections one of its servers takes.
        dedup: Whether its servers keep a record of operation keys of their own.
    """

    name: str = field(validator=check_name)
    hcheck: str = "/healthz"
    maxconn: int = field(default=100, validator=check_positive)
    dedup: bool = False


@define(frozen=True, slots=True)
class Tenant:
    """A customer with its API keys and its quota.

    Attributes:
        name: Unique in the configuration.
        apikeys: Each is one tenant's alone. They are secrets.
        prio: Overrides the priority of routes.
        rate_s: The quota, in requests a second; 0 for none.
        burst: How many requests the quota lets through at once.
    """

    name: str = field(validator=check_name)
    apikeys: tuple[ApiKey, ...] = ()
    prio: int | None = None
    rate_s: float = field(default=0.0, validator=check_not_negative, metadata={"wire": "RateS"})
    burst: float = field(default=0.0, validator=check_not_negative)


@define(frozen=True, slots=True)
class Caps:
    """What clients may send.

    Attributes:
        hdr_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        hdr: Time for a request's head to arrive, in us.
        idle: Time that a connection may stay without a request, in us.
    """

    hdr_bytes: int = field(default=DEFAULT_HEAD_BYTES, validator=check_positive)
    body_bytes: int = field(default=DEFAULT_BODY_BYTES, validator=check_not_negative)
    hdr: Span = field(default=DEFAULT_HEAD_TIMEOUT, validator=check_positive)
    idle: Span = field(default=DEFAULT_IDLE_TIMEOUT, validator=check_positive)


@define(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        ver: The version, above 0.
        ports: Virtual hosts; one may stand several times.
        pools: Services.
        tenants: Tenants; None where no API keys are wanted.
        caps: What clients may send.
    """

    ver: int = field(validator=check_positive)
    ports: tuple[Port, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] | None = None
    caps: Caps = Caps()


@functools.cache
def converter() -> cattrs.Converter:
    """Return the converter of configurations; versions share most of their items, so items are cached."""
    caching, plain = strict_converter(), strict_converter()
    plain.register_structure_hook(ApiKey, _read_api_key)
    for kind in (Rule, Tenant, Pool):
        caching.register_structure_hook(kind, _cached_hook(plain, kind))
    return caching


def _read_api_key(value: Any, _: type) -> str:
    if type(value) is not str:
        raise ValueError("an API key is not text")
    return value


def _cached_hook(plain: cattrs.Converter, kind: type) -> Callable[[Any, type], Any]:
    """Return a hook that reads each text of a record of that kind once."""

    @functools.lru_cache(MAX_CACHED_ITEMS)
    def structure_text(text: bytes) -> Any:
        return plain.structure(msgspec.json.decode(text), kind)

    return lambda raw, _: structure_text(msgspec.json.encode(raw))


def read(raw: Any) -> Configuration:
    """Return a configuration, read and checked.

    Raises:
        ConfigurationError: It can't be accepted; each mistake is named with its place.
    """
    if not isinstance(raw, dict):
        raise ConfigurationError("a configuration is an object")
    configuration: Configuration = structure(converter(), raw, Configuration, ConfigurationError)
    rules = [rule for port in configuration.ports for rule in port.policy]
    tenants = configuration.tenants or ()
    prefixes = [f"{port.vhost}{rule.match.pfx}" for port in configuration.ports for rule in port.policy]
    _check_unique("service", [pool.name for pool in configuration.pools])
    _check_unique("route", [rule.name for rule in rules])
    _check_unique("tenant", [tenant.name for tenant in tenants])
    _check_unique("key", [key for tenant in tenants for key in tenant.apikeys])
    _check_unique("prefix", prefixes)
    _check_services(rules, {pool.name for pool in configuration.pools})
    return configuration


def _check_unique(what: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            # A key is a secret and is never repeated to anybody.
            shown = "" if what == "key" else f": {name[:MAX_SHOWN_LENGTH]!r}"
            raise ConfigurationError(f"a {what} stands twice{shown}")
        seen.add(name)


def _check_services(rules: list[Rule], services: set[str]) -> None:
    for rule in rules:
        for share in rule.action.shares():
            if share.svc not in services:
                raise ConfigurationError(f"route {rule.name}: service {share.svc!r} is not in Pools")
