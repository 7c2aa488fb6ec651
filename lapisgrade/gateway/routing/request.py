"""Records of a request in the router: the request itself, and responses that the proxy generates."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from lapisgrade.gateway.configuration import Mode, Rule, Tenant
from lapisgrade.gateway.operations import outcomes
from lapisgrade.interface import Operation, Reject


@dataclass(slots=True, eq=False, kw_only=True)
class RoutedRequest(Operation):
    """A client's request with its route, tenant and service.

    Its `deadline_us` is the proxy's deadline, which is before the client's.
    """

    # Only other deployments use plans, categories and units; here a tenant's quota counts requests.
    plan: Any = None
    category: Any = None
    units: float = 1.0
    sharing_limiter_count: int = 1
    rule: Rule
    tenant: Tenant | None  # None: a public route
    service: str
    body_bytes: int = 0  # size of the body
    operation_key: str = ""  # empty if the request is not keyed
    response: outcomes.Outcome | None = None  # the server's complete response to a keyed request

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.rule.mode is Mode.IDEM


@dataclass(slots=True)
class Respond(Reject):
    """Answer the client with a response that the proxy generates, with this status."""

    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE


@dataclass(slots=True)
class ReplayResponse(Reject):
    """Answer the client with the recorded response to an earlier attempt at its operation."""

    outcome: outcomes.Outcome = outcomes.UNKNOWN
