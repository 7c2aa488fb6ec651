"""The operators' configuration: its records (attrs), parsing and validation. No I/O.

The fields of the records are the keys of the configuration in lower case (`Apikeys` is `apikeys`), as error
messages name them. The configuration is stored as the operator sent it, so that it can be read back
unchanged; the records hold the part that the data plane needs. Times are in microseconds.
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

# Maximum size of one version. Controllers decide by it whether a log entry has an effect, so another value
# would change the meaning of logs on disk.
MAX_BYTES = 8 * 1024 * 1024
# Maximum size of a version that is read from a snapshot or the leader: earlier releases did not limit the
# results of merged drafts, nor of all changes.
MAX_STORED_BYTES = 8 * MAX_BYTES
MAX_NAME_LENGTH = 256  # characters
MAX_CACHED_ITEMS = 8192  # cache size for parsed items, for each of routes, tenants and services
MAX_SHOWN_LENGTH = 100  # maximum number of characters of a name in a message
DEFAULT_HEAD_TIMEOUT = Span(3 * SECOND)
DEFAULT_IDLE_TIMEOUT = Span(15 * SECOND)
DEFAULT_HEAD_BYTES = 16_384
DEFAULT_BODY_BYTES = 64 * 1024 * 1024


class ApiKey(str):
    """A tenant's API key: a secret that no message contains, even if it is invalid."""

    __slots__ = ()


def wire_field(name: str, **options: Any) -> Any:
    """Return an attrs field whose key in the configuration differs from its `wire_name`."""
    return field(metadata={"wire": name}, **options)


def check_positive(_: Any, attribute: Any, value: Any) -> None:
    """Validate that a number is above 0."""
    if value <= 0:
        raise ValueError(f"{wire_name(attribute.name)} is {value}, not above 0")


def check_not_negative(_: Any, attribute: Any, value: Any) -> None:
    """Validate that a number is not below 0."""
    if value < 0:
        raise ValueError(f"{wire_name(attribute.name)} is {value}, below 0")


def check_leading_slash(_: Any, attribute: Any, value: str) -> None:
    """Validate that a path prefix starts with a slash."""
    if not value.startswith("/"):
        raise ValueError(f"{value!r} does not begin with a slash")


def check_name(_: Any, attribute: Any, value: str) -> None:
    """Validate the length of an item's name."""
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"{wire_name(attribute.name)} must have 1 to {MAX_NAME_LENGTH} characters")


class Mode(StrEnum):
    """How often a route's requests may run; the values are those of the configuration.

    Attributes:
        IDEM: Idempotent: any number of times.
        MUTATE: At most once per attempt of a client.
        KEYED: At most once for all attempts of a tenant with the same `Op-Key`.
    """

    IDEM = "idem"
    MUTATE = "mutate"
    KEYED = "keyed"


def to_mode(value: str) -> Mode:
    """Return the mode with the given name.

    Raises:
        ValueError: No mode has this name.
    """
    if value not in tuple(Mode):
        raise ValueError(f"{value!r} is no mode, as idem, mutate and keyed are")
    return Mode(value)


@define(frozen=True, slots=True)
class Share:
    """A service's share of a split route.

    Attributes:
        svc: The service.
        wt: Its weight; its share is the weight divided by the sum of all weights.
    """

    svc: str = field(validator=check_name)
    wt: float = field(validator=check_not_negative)


@define(frozen=True, slots=True)
class Action:
    """Services, time-out and attempt limit of a route's requests.

    Attributes:
        timeout: Time after which a request is answered at the latest, in us.
        svc: The service; empty if the route is split.
        split: The services that share the route; empty if it has a single service.
        tries: Maximum number of attempts per request.
    """

    timeout: Span = field(validator=check_positive)
    svc: str = ""
    split: tuple[Share, ...] = ()
    tries: int = field(default=2, validator=check_positive)

    def __attrs_post_init__(self) -> None:
        """Validate that the route has either one service or a split."""
        if bool(self.svc) == bool(self.split):
            raise ValueError("either Svc or Split, not both and not none")
        if self.split and sum(share.wt for share in self.split) <= 0:
            raise ValueError("the weights of Split add up to 0")

    def shares(self) -> tuple[Share, ...]:
        """Return the services with their weights; a single service has weight 1."""
        return self.split or (Share(self.svc, 1.0),)


@define(frozen=True, slots=True)
class Match:
    """A route's requests: those whose path starts with `pfx`."""

    pfx: str = field(validator=check_leading_slash)


@define(frozen=True, slots=True)
class Rule:
    """A route.

    Attributes:
        name: Unique in the configuration.
        match: The requests that it matches.
        action: Where they are forwarded.
        mode: How often its requests may run.
        target_time: The latency target, in us.
        prio: The priority; under overload the lowest priority is shed first.
        public: Whether requests without an API key are accepted.
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
        maxconn: Maximum number of connections per server.
        dedup: Whether its servers deduplicate operation keys themselves.
    """

    name: str = field(validator=check_name)
    hcheck: str = "/healthz"
    maxconn: int = field(default=100, validator=check_positive)
    dedup: bool = False


@define(frozen=True, slots=True)
class Tenant:
    """A customer with its API keys and quota.

    Attributes:
        name: Unique in the configuration.
        apikeys: Its keys, which are secret; a key belongs to only one tenant.
        prio: Overrides the priority of routes.
        rate_s: The quota, in requests per second; 0 for no quota.
        burst: Burst of the quota, in requests.
    """

    name: str = field(validator=check_name)
    apikeys: tuple[ApiKey, ...] = ()
    prio: int | None = None
    rate_s: float = field(default=0.0, validator=check_not_negative, metadata={"wire": "RateS"})
    burst: float = field(default=0.0, validator=check_not_negative)


@define(frozen=True, slots=True)
class Caps:
    """Limits on clients' requests and connections.

    Attributes:
        hdr_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        hdr: Maximum time for a request's head to arrive, in us.
        idle: Maximum idle time of a connection, in us.
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
        ports: Virtual hosts; a host may be listed several times.
        pools: Services.
        tenants: Tenants; None if requests need no API key.
        caps: Limits on clients.
    """

    ver: int = field(validator=check_positive)
    ports: tuple[Port, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] | None = None
    caps: Caps = Caps()


@functools.cache
def converter() -> cattrs.Converter:
    """Return the converter of configurations; it caches items, as versions share most of them."""
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
    """Return a structure hook that parses each distinct text of a record of the kind only once."""

    @functools.lru_cache(MAX_CACHED_ITEMS)
    def structure_text(text: bytes) -> Any:
        return plain.structure(msgspec.json.decode(text), kind)

    return lambda raw, _: structure_text(msgspec.json.encode(raw))


def read(raw: Any) -> Configuration:
    """Parse and validate a configuration.

    Raises:
        ConfigurationError: It is invalid; the message has the first faults with their places.
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


def _check_unique(item_kind: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            # API keys are secret and never appear in messages.
            shown_name = "" if item_kind == "key" else f": {name[:MAX_SHOWN_LENGTH]!r}"
            raise ConfigurationError(f"a {item_kind} stands twice{shown_name}")
        seen.add(name)


def _check_services(rules: list[Rule], services: set[str]) -> None:
    for rule in rules:
        for share in rule.action.shares():
            if share.svc not in services:
                raise ConfigurationError(f"route {rule.name}: service {share.svc!r} is not in Pools")
