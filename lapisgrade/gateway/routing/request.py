"""The records of one request on its way through the router: what was asked, and our own final answer."""

from dataclasses import dataclass

from lapisgrade.gateway.configuration import Rule, Tenant
from lapisgrade.interface import Answer, Operation


@dataclass(slots=True, eq=False)
class RoutedRequest(Operation):
    """One attempt of a client: the request, its route and tenant, and the service that runs it."""

    rule: Rule | None = None
    tenant: Tenant | None = None
    service: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.rule.mode == "idem"


@dataclass(slots=True)
class Respond(Answer):
    """Answer the client ourselves, with this HTTP status."""

    status: int = 503
