"""The records of one request on its way through the router: what was asked, and our own final answer."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from lapisgrade.gateway.configuration import Mode, Rule, Tenant
from lapisgrade.gateway.operations import outcomes
from lapisgrade.interface import Operation, Reject


@dataclass(slots=True, eq=False, kw_only=True)
class RoutedRequest(Operation):
    """One attempt of a client: the request, its route and tenant, and the service that runs it."""

    # Plans, categories and units are the other deployments'; here a tenant's quota counts requests.
    plan: Any = None
    category: Any = None
    units: float = 1.0
    gateway_count: int = 1
    rule: Rule
    tenant: Tenant | None  # None: a public route
    service: str
    operation_key: str = ""  # set where the route is keyed
    response: outcomes.Outcome | None = None  # of a keyed request: the server's complete response

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.rule.mode is Mode.IDEM


@dataclass(slots=True)
class Respond(Reject):
    """Answer the client ourselves, with this HTTP status."""

    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE


@dataclass(slots=True)
class RespondAgain(Reject):
    """Answer the client with the response that an earlier attempt at its operation got from its server."""

    outcome: outcomes.Outcome = outcomes.UNKNOWN
