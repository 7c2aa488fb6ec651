"""A request's unit of its tenant's quota: put back while the request waits, taken again when it is stale."""

import pytest
from support.quota_simulation import SECOND, SLO

from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.gateway.routing.quota_grant import MAX_GRANT_DELAY_US, QuotaGrant
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.interface import Clock


class Grants:
    """A quota client with a lease of three units, and requests that take them."""

    def __init__(self) -> None:
        self.clock = Clock(10 * SECOND)
        self.client = QuotaClient(self.clock, Tenant("t", rate_s=10, burst=5), SLO, 4, 0)
        self.client.leased_units, self.client.lease_expires_us = 3.0, 11 * SECOND

    def take(self) -> QuotaGrant:
        """Return the grant of a new request, which gets its unit from the lease."""
        request = RoutedRequest(
            customer="t", arrived_us=0, deadline_us=1 << 40, rule=None, tenant=None, service="a"
        )
        grant = QuotaGrant(self.clock, request, lambda: self.client)
        take_unit(grant)
        return grant


def take_unit(grant: QuotaGrant) -> None:
    with pytest.raises(StopIteration) as stop:
        next(grant.take())
    assert stop.value.value is None  # not refused


def test_a_waiting_request_holds_no_unit() -> None:
    grants = Grants()
    waiting = grants.take()
    waiting.put_back()
    assert (grants.client.leased_units, waiting.is_fresh()) == (3.0, False)
    waiting.put_back()  # it has none to give back
    assert grants.client.leased_units == 3.0
    take_unit(waiting)
    assert (grants.client.leased_units, waiting.is_fresh()) == (2.0, True)


def test_a_unit_is_returned_to_the_count_if_its_lease_has_ended() -> None:
    grants = Grants()
    grants.client.lease_expires_us = grants.clock.now_us + 1
    waiting = grants.take()
    grants.clock.now_us += 1
    waiting.put_back()
    assert (grants.client.leased_units, grants.client.unreported.value) == (2.0, -1.0)


def test_a_stale_unit_counts_as_spent_and_another_one_is_taken() -> None:
    grants = Grants()
    late = grants.take()
    grants.clock.now_us += MAX_GRANT_DELAY_US + 1
    assert not late.is_fresh()
    late.put_back()
    assert grants.client.leased_units == 2.0
    take_unit(late)
    assert (grants.client.leased_units, late.is_fresh()) == (1.0, True)
