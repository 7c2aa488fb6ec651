"""Onboarding and withdrawal of one tenant by a ticket.

A ticket is a JSON object that says who the tenant is, what it may take and where its requests go: a tenant's
fields beside `Ports` and `Pools`, each as in a configuration. From it and the newest configuration a change
is planned, with what speaks against it. All is pure but for `TenantClient`, which carries a plan out.
"""

from collections.abc import Iterable
from http import HTTPStatus

import msgspec
from attrs import define, field

from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.cli.operator_client import MAX_ATTEMPTS, JsonObject, OperatorClient
from lapisgrade.gateway.configuration import Configuration, Rule
from lapisgrade.gateway.configuration_change import apply_change
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.settings import decode_object, structure

TENANT_FIELDS = ("Name", "Apikeys", "Prio", "RateS", "Burst")


@define(frozen=True, slots=True)
class Ticket:
    """One tenant with the routes and services that come with it; encoded as in a configuration."""

    name: str = field(validator=configuration.check_name)
    apikeys: tuple[str, ...] = ()
    prio: int | None = None
    rate_s: float = field(default=0.0, validator=configuration.check_not_negative, metadata={"wire": "RateS"})
    burst: float = field(default=0.0, validator=configuration.check_not_negative)
    ports: tuple[configuration.Port, ...] = ()
    pools: tuple[configuration.Pool, ...] = ()

    def rules(self) -> list[tuple[str, Rule]]:
        """The ticket's routes, with the host of each."""
        return rules_by_host(self.ports)


@define(slots=True)
class Plan:
    """A change as `conf.update` takes it, described for people."""

    change: JsonObject
    lines: list[str] = field(factory=list)  # what will change
    objections: list[str] = field(factory=list)  # what keeps it from being sent
    warnings: list[str] = field(factory=list)  # what it may cost


def read_ticket(text: bytes) -> tuple[Ticket, JsonObject]:
    """Return a ticket, checked, and as it was written.

    Raises:
        InvalidInputError: each mistake and its place.
    """
    raw = decode_object(text, "a ticket")
    if unknown := sorted(set(raw) - {*TENANT_FIELDS, "Ports", "Pools"}):
        raise InvalidInputError(f"unknown: {', '.join(unknown)[:200]}")
    ticket: Ticket = structure(configuration.converter(), raw, Ticket)
    if not ticket.apikeys:
        raise InvalidInputError("Apikeys: a tenant needs a key")
    return ticket, raw


def rules_by_host(ports: Iterable[configuration.Port]) -> list[tuple[str, Rule]]:
    """The routes of those hosts, with the host of each."""
    return [(port.vhost, rule) for port in ports for rule in port.policy]


def plan_onboarding(current: JsonObject, servers: JsonObject, text: bytes) -> Plan:
    """Plan the change that brings a tenant in.

    Args:
        current: the newest configuration, as JSON.
        servers: by service, how many are up and their slots (`Servers` of `conf.status`).
        text: the ticket.
    """
    ticket, raw = read_ticket(text)
    upsert: JsonObject = {"Tenants": [{name: raw[name] for name in TENANT_FIELDS if name in raw}]}
    upsert.update({name: raw[name] for name in ("Ports", "Pools") if raw.get(name)})
    plan = Plan({**_next_version(current), "Upsert": upsert})
    existing = configuration.read(current)
    _review_tenant(plan, ticket, existing)
    for host, rule in ticket.rules():
        _review_route(plan, host, rule, existing)
        _review_capacity(plan, ticket, rule, servers)
    for pool in ticket.pools:
        is_known = pool.name in {each.name for each in existing.pools}
        plan.lines.append(f"service {pool.name}: {'changes' if is_known else 'new'}")
    try:
        configuration.read(apply_change(current, plan.change))
    except InvalidInputError as error:
        if not plan.objections:  # they say the same
            plan.objections.append(str(error))
    return plan


def _next_version(current: JsonObject) -> JsonObject:
    version = current.get("Ver", 0)
    return {"Ver": version + 1, "Base": version}


def _review_tenant(plan: Plan, ticket: Ticket, existing: Configuration) -> None:
    tenants = {each.name: each for each in existing.tenants or ()}
    has_limit = bool(ticket.rate_s)
    limit = f"{ticket.rate_s:g} a second and {ticket.burst:g} on top" if has_limit else "no limit"
    change = "changes" if ticket.name in tenants else "new"
    plan.lines.append(f"tenant {ticket.name}: {change}, {len(ticket.apikeys)} keys, {limit}")
    for other in tenants.values():
        if other.name != ticket.name and set(other.apikeys) & set(ticket.apikeys):
            plan.objections.append(f"a key of the ticket is held by tenant {other.name}")
    if existing.tenants is None and existing.ports:
        plan.warnings.append("no keys were wanted so far: every request needs one from then on")


def _review_route(plan: Plan, host: str, rule: Rule, existing: Configuration) -> None:
    """Describe a route, and how it stands to those of the same host."""
    routes = {other.name: (other_host, other) for other_host, other in rules_by_host(existing.ports)}
    services = ", ".join(share.svc for share in rule.action.shares())
    plan.lines.append(f"route {rule.name}: {host}{rule.match.pfx} to {services}")
    if rule.name in routes:
        plan.objections.append(f"route {rule.name} is there already, at {routes[rule.name][0]}")
    for other_host, other in routes.values():
        if other_host.lower() == host.lower() and other.name != rule.name:
            _review_prefixes(plan, rule, other)


def _review_prefixes(plan: Plan, rule: Rule, other: Rule) -> None:
    prefix, other_prefix = rule.match.pfx, other.match.pfx
    if other_prefix == prefix:
        plan.objections.append(f"route {rule.name}: {other.name} has that prefix")
    elif prefix.startswith(other_prefix):
        plan.warnings.append(f"route {rule.name} takes from {other.name}, whose prefix is shorter")
    elif other_prefix.startswith(prefix):
        plan.warnings.append(f"route {rule.name} is hidden in part by {other.name}")


def _review_capacity(plan: Plan, ticket: Ticket, rule: Rule, servers: JsonObject) -> None:
    """Compare the slots that the tenant's rate takes (Little's law) with those that are there."""
    target_s = rule.target_time / SECOND
    for share in rule.action.shares():
        slots = servers.get(share.svc, {}).get("Slots", 0)
        concurrency = ticket.rate_s * rule.target_time / SECOND
        if not slots:
            plan.warnings.append(f"service {share.svc}: no server is up")
        elif concurrency > slots:
            plan.warnings.append(
                f"service {share.svc}: {ticket.rate_s:g} a second within {target_s:g} s "
                f"may take {concurrency:g} slots at once, and it has {slots}"
            )


def plan_withdrawal(current: JsonObject, text: bytes) -> Plan:
    """Plan the change that takes a tenant and its routes out; services stay, as others may use them."""
    ticket, _ = read_ticket(text)
    existing = configuration.read(current)
    existing_routes = {rule.name for _, rule in rules_by_host(existing.ports)}
    routes = [rule.name for _, rule in ticket.rules() if rule.name in existing_routes]
    plan = Plan({**_next_version(current), "Del": {"Tenants": [ticket.name], "Routes": routes}})
    if ticket.name not in {each.name for each in existing.tenants or ()}:
        plan.objections.append(f"tenant {ticket.name} is not there")
    plan.lines = [f"tenant {ticket.name} goes", *(f"route {name} goes" for name in routes)]
    return plan


class TenantClient(OperatorClient):
    """Carries out the plans for a ticket."""

    async def print_plan(self, text: bytes) -> ExitCode:
        """Print what bringing the tenant in would change; sends nothing."""
        current, status = await self.fetch_newest()
        plan = plan_onboarding(current, status["Servers"], text)
        self._print_line(f"on top of version {plan.change['Base']}, at {len(status['Proxies'])} proxies:")
        return ExitCode.OBJECTION if self._print_and_check(plan) else ExitCode.DONE

    async def apply(self, text: bytes, timeout_s: float, withdraw: bool = False) -> ExitCode:
        """Send the change, and follow it until it is in force everywhere.

        Args:
            text: the ticket.
            timeout_s: how long to follow the change.
            withdraw: whether to take the tenant out.
        """
        for _ in range(MAX_ATTEMPTS):
            current, status = await self.fetch_newest()
            plan = (
                plan_withdrawal(current, text)
                if withdraw
                else plan_onboarding(current, status["Servers"], text)
            )
            if self._print_and_check(plan):
                return ExitCode.OBJECTION
            status_code, reply = await self.call("conf.update", msgspec.json.encode(plan.change))
            if status_code == HTTPStatus.PRECONDITION_FAILED:
                self._print_line("somebody else's change came first: planned anew")
                continue
            if status_code != HTTPStatus.OK:
                reason = reply.get("Err", "no majority has said so; look at status")
                self._print_line(f"answered {status_code}: {reason}")
                return ExitCode.OBJECTION
            return await self.wait_until_active(plan.change["Ver"], timeout_s)
        return ExitCode.OBJECTION

    def _print_and_check(self, plan: Plan) -> list[str]:
        """Print a plan; returns its objections."""
        for line in plan.lines:
            self._print_line(f"  {line}")
        for line in plan.warnings:
            self._print_line(f"  mind: {line}")
        for line in plan.objections:
            self._print_line(f"  against it: {line}")
        return plan.objections
