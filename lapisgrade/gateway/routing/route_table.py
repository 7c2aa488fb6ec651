"""Route table compiled from one version of the configuration. Does no I/O."""

from http import HTTPStatus
from typing import NamedTuple

from lapisgrade.gateway.configuration import Configuration, Rule, Tenant


class RouteMatch(NamedTuple):
    """The route of a request and the tenant of its API key; no tenant for a public route without a key."""

    rule: Rule
    tenant: Tenant | None


class RouteTable:
    """Matches requests to routes and tenants.

    Attributes:
        configuration: The configuration that the table was compiled from.
        version: The configuration's version.
        tenants: Tenants by name.
        tenants_by_key: Tenants by API key; None if the configuration requires no keys.
    """

    __slots__ = ("_rules_by_host", "configuration", "tenants", "tenants_by_key", "version")

    def __init__(self, configuration: Configuration) -> None:
        """Compile a validated configuration."""
        self.configuration = configuration
        self.version = configuration.ver
        rules_by_host: dict[str, list[Rule]] = {}
        # A host that is listed twice has the routes of both entries, so the first entry's are not lost.
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
        """Return the route and tenant of a request, or the HTTP status of its rejection.

        Args:
            host: Host header of the request.
            target: Target of the request.
            key: API key of the request; empty if it has none.
        """
        rule = self.find_rule(host, target)
        if rule is None:
            return HTTPStatus.NOT_FOUND
        requires_key = self.tenants_by_key is not None
        tenant = self.tenants_by_key.get(key) if self.tenants_by_key is not None and key else None
        if tenant is None and requires_key and not rule.public:
            return HTTPStatus.UNAUTHORIZED
        return RouteMatch(rule, tenant)

    def find_rule(self, host: str, target: str) -> Rule | None:
        """Return the host's rule with the longest prefix of the path, or None.

        Args:
            host: Host header of the request; a port in it is ignored unless the configuration lists the host
                with that port.
            target: Target of the request; the query is ignored.
        """
        rules = self._rules_by_host.get(host.lower())
        if rules is None:
            rules = self._rules_by_host.get(host.lower().partition(":")[0], [])
        path = target.partition("?")[0]
        return next((rule for rule in rules if path.startswith(rule.match.pfx)), None)
