"""One version of the configuration, compiled for matching requests to routes. Pure."""

from http import HTTPStatus
from typing import NamedTuple

from lapisgrade.gateway.configuration import Configuration, Rule, Tenant


class RouteMatch(NamedTuple):
    """The route of a request, and the tenant whose key it bears; None for a public route without one."""

    rule: Rule
    tenant: Tenant | None


class RouteTable:
    """What a proxy matches requests by.

    Attributes:
        configuration: What the table was compiled from.
        version: The configuration's version.
        tenants: Tenants by name.
        tenants_by_key: Tenants by API key; None where the configuration wants no keys at all.
    """

    __slots__ = ("_rules_by_host", "configuration", "tenants", "tenants_by_key", "version")

    def __init__(self, configuration: Configuration) -> None:
        """Compile a configuration that was checked."""
        self.configuration = configuration
        self.version = configuration.ver
        rules_by_host: dict[str, list[Rule]] = {}
        # A host that stands twice has the routes of both (guards the first one's).
        for port in configuration.ports:
            rules_by_host.setdefault(port.vhost.lower(), []).extend(port.policy)
        self._rules_by_host = {
            host: sorted(rules, key=lambda rule: -len(rule.match.pfx))
            for host, rules in rules_by_host.items()
        }
        self.tenants = {tenant.name: tenant for tenant in configuration.tenants or ()}
        self.tenants_by_key = (
            None
            if configuration.tenants is None
            else {key: tenant for tenant in configuration.tenants for key in tenant.apikeys}
        )

    def match(self, host: str, target: str, key: str) -> RouteMatch | HTTPStatus:
        """Return the route and tenant of a request, or the HTTP status that refuses it."""
        rule = self.find_rule(host, target)
        if rule is None:
            return HTTPStatus.NOT_FOUND
        wants_key = self.tenants_by_key is not None
        tenant = self.tenants_by_key.get(key) if self.tenants_by_key is not None and key else None
        if tenant is None and wants_key and not rule.public:
            return HTTPStatus.UNAUTHORIZED
        return RouteMatch(rule, tenant)

    def find_rule(self, host: str, target: str) -> Rule | None:
        """Return the rule of that host with the longest prefix that begins the path."""
        rules = self._rules_by_host.get(host.lower())
        if rules is None:
            rules = self._rules_by_host.get(host.lower().partition(":")[0], [])
        path = target.partition("?")[0]
        return next((rule for rule in rules if path.startswith(rule.match.pfx)), None)
