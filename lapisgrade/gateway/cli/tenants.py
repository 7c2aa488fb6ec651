"""Onboarding and withdrawal of a tenant as described by a ticket.

A ticket is a JSON object with a tenant's fields, `Ports` and `Pools`, each as in a configuration. The ticket
and the newest configuration determine a plan: a change with objections and warnings. Only `TenantClient`,
which carries out a plan, does I/O.
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
"""Fields of a ticket that are fields of the tenant in a configuration."""


@define(frozen=True, slots=True)
class Ticket:
    """One tenant with its routes and services; encoded as in a configuration.

    Attributes:
        name: The tenant's name.
        apikeys: The tenant's API keys; at least one.
        prio: Overrides the priority of routes; None to keep it.
        rate_s: The tenant's quota in requests per second; 0 for no limit.
        burst: The burst of the quota, in requests.
        ports: The hosts with the tenant's routes.
        pools: The services of these routes, if they are new or changed.
    """

    name: str = field(validator=configuration.check_name)
    apikeys: tuple[str, ...] = ()
    prio: int | None = None
    rate_s: float = field(default=0.0, validator=configuration.check_not_negative, metadata={"wire": "RateS"})
    burst: float = field(default=0.0, validator=configuration.check_not_negative)
    ports: tuple[configuration.Port, ...] = ()
    pools: tuple[configuration.Pool, ...] = ()

    def rules(self) -> list[tuple[str, Rule]]:
        """Return the ticket's routes, each with its host."""
        return rules_by_host(self.ports)


@define(slots=True)
class Plan:
    """A change in the format of `conf.update`, with its description for the operator.

    Attributes:
        change: The change.
        lines: What the change adds, changes or removes.
        objections: Reasons why the change must not be sent.
        warnings: Possible side effects.
    """

    change: JsonObject
    lines: list[str] = field(factory=list)
    objections: list[str] = field(factory=list)
    warnings: list[str] = field(factory=list)


def read_ticket(text: bytes) -> tuple[Ticket, JsonObject]:
    """Return a validated ticket and its JSON object.

    Raises:
        InvalidInputError: The ticket is invalid; the message names the faults with their places.
    """
    raw = decode_object(text, "a ticket")
    if unknown := sorted(set(raw) - {*TENANT_FIELDS, "Ports", "Pools"}):
        raise InvalidInputError(f"unknown keys: {', '.join(unknown)[:200]}")
    ticket: Ticket = structure(configuration.converter(), raw, Ticket)
    if not ticket.apikeys:
        raise InvalidInputError("Apikeys: a tenant needs a key")
    return ticket, raw


def rules_by_host(ports: Iterable[configuration.Port]) -> list[tuple[str, Rule]]:
    """Return the routes of the hosts, each with its host."""
    return [(port.vhost, rule) for port in ports for rule in port.policy]


def plan_onboarding(current: JsonObject, servers: JsonObject, text: bytes) -> Plan:
    """Plan the change that onboards a tenant.

    Args:
        current: The newest configuration, as JSON.
        servers: By service, the numbers of servers that are up and of their slots (`Servers` of
            `conf.status`).
        text: The ticket's file.

    Raises:
        InvalidInputError: The ticket is invalid.
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
        is_known = pool.name in {existing_pool.name for existing_pool in existing.pools}
        plan.lines.append(f"service {pool.name}: {'changes' if is_known else 'new'}")
    try:
        configuration.read(apply_change(current, plan.change))
    except InvalidInputError as error:
        if not plan.objections:  # otherwise the error has the same cause as the objections
            plan.objections.append(str(error))
    return plan


def _next_version(current: JsonObject) -> JsonObject:
    """Return the version numbers of a change that is derived from the current configuration."""
    version = current.get("Ver", 0)
    return {"Ver": version + 1, "Base": version}


def _review_tenant(plan: Plan, ticket: Ticket, existing: Configuration) -> None:
    """Describe the tenant, its quota, and conflicts of its keys."""
    tenants = {tenant.name: tenant for tenant in existing.tenants or ()}
    has_limit = bool(ticket.rate_s)
    limit = (
        f"{ticket.rate_s:g} requests/s with a burst of {ticket.burst:g} requests" if has_limit else "no limit"
    )
    change = "changes" if ticket.name in tenants else "new"
    plan.lines.append(f"tenant {ticket.name}: {change}, {len(ticket.apikeys)} keys, {limit}")
    for other in tenants.values():
        if other.name != ticket.name and set(other.apikeys) & set(ticket.apikeys):
            plan.objections.append(f"a key of the ticket belongs to tenant {other.name}")
    if existing.tenants is None and existing.ports:
        plan.warnings.append("no request needs an API key now; after this change every request does")


def _review_route(plan: Plan, host: str, rule: Rule, existing: Configuration) -> None:
    """Describe a route, and its conflicts with other routes of the same host."""
    routes = {other.name: (other_host, other) for other_host, other in rules_by_host(existing.ports)}
    services = ", ".join(share.svc for share in rule.action.shares())
    plan.lines.append(f"route {rule.name}: {host}{rule.match.pfx} to {services}")
    if rule.name in routes:
        plan.objections.append(f"route {rule.name} already exists, at {routes[rule.name][0]}")
    for other_host, other in routes.values():
        if other_host.lower() == host.lower() and other.name != rule.name:
            _review_prefixes(plan, rule, other)


def _review_prefixes(plan: Plan, rule: Rule, other: Rule) -> None:
    """Describe which requests both routes of a host match; the one with the longer prefix gets them."""
    prefix, other_prefix = rule.match.pfx, other.match.pfx
    if other_prefix == prefix:
        plan.objections.append(f"route {rule.name}: {other.name} has the same prefix")
    elif prefix.startswith(other_prefix):
        plan.warnings.append(f"route {rule.name} takes requests from {other.name}, whose prefix is shorter")
    elif other_prefix.startswith(prefix):
        plan.warnings.append(f"route {rule.name} is partly shadowed by {other.name}")


def _review_capacity(plan: Plan, ticket: Ticket, rule: Rule, servers: JsonObject) -> None:
    """Warn if the tenant's rate may need more slots (Little's law) than its services have."""
    target_s = rule.target_time / SECOND
    for share in rule.action.shares():
        slots = servers.get(share.svc, {}).get("Slots", 0)
        concurrency = ticket.rate_s * rule.target_time / SECOND
        if not slots:
            plan.warnings.append(f"service {share.svc}: no server is up")
        elif concurrency > slots:
            plan.warnings.append(
                f"service {share.svc}: {ticket.rate_s:g} requests/s within {target_s:g} s "
                f"may take up to {concurrency:g} slots, but it has {slots}"
            )


def plan_withdrawal(current: JsonObject, text: bytes) -> Plan:
    """Plan the change that removes a tenant and its routes; services stay, as other tenants may use them."""
    ticket, _ = read_ticket(text)
    existing = configuration.read(current)
    existing_routes = {rule.name for _, rule in rules_by_host(existing.ports)}
    routes = [rule.name for _, rule in ticket.rules() if rule.name in existing_routes]
    plan = Plan({**_next_version(current), "Del": {"Tenants": [ticket.name], "Routes": routes}})
    if ticket.name not in {tenant.name for tenant in existing.tenants or ()}:
        plan.objections.append(f"tenant {ticket.name} does not exist")
    plan.lines = [f"tenant {ticket.name} is removed", *(f"route {name} is removed" for name in routes)]
    return plan


class TenantClient(OperatorClient):
    """Prints and carries out the plan for a ticket."""

    async def print_plan(self, text: bytes) -> ExitCode:
        """Print the plan for onboarding the tenant, without sending the change."""
        current, status = await self.fetch_newest()
        plan = plan_onboarding(current, status["Servers"], text)
        self._print_line(f"changes to version {plan.change['Base']}, at {len(status['Proxies'])} proxies:")
        return ExitCode.OBJECTION if self._print_and_check(plan) else ExitCode.DONE

    async def apply(self, text: bytes, timeout_s: float, withdraw: bool = False) -> ExitCode:
        """Send the change, and wait until it is active at every proxy.

        Args:
            text: The ticket's file.
            timeout_s: Maximum time to wait until the change is active.
            withdraw: Whether to withdraw the tenant instead of onboarding it.
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
                self._print_line("another change was applied first: planning again")
                continue
            if status_code != HTTPStatus.OK:
                reason = reply.get("Err", "no majority confirmed it; check with `lapisgrade status`")
                self._print_line(f"answered {status_code}: {reason}")
                return ExitCode.OBJECTION
            return await self.wait_until_active(plan.change["Ver"], timeout_s)
        return ExitCode.OBJECTION

    def _print_and_check(self, plan: Plan) -> list[str]:
        """Print a plan; return its objections."""
        for line in plan.lines:
            self._print_line(f"  {line}")
        for line in plan.warnings:
            self._print_line(f"  warning: {line}")
        for line in plan.objections:
            self._print_line(f"  objection: {line}")
        return plan.objections
