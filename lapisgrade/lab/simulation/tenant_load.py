"""The tenant of a data plane simulation: its rate limit, its load, and the operator that configures it."""

from dataclasses import dataclass

import msgspec

from lapisgrade.gateway.settings import Slo
from lapisgrade.lab.partitions.quota import quota_bound
from lapisgrade.lab.simulation.clients import REPLACE_CALL, Operator

TENANT = "t"
API_KEY = "key"


@dataclass(frozen=True)
class TenantLoad:
    """A tenant's limit and load.

    Attributes:
        rate: Limit in requests per second.
        burst: Burst in requests.
        demand_factor: Request rate during a busy period, as a multiple of `rate`.
        busy_s: Minimum and maximum length of a busy period.
        idle_s: Minimum and maximum length of an idle period, in which the token bucket refills.
    """

    rate: int
    burst: int
    demand_factor: float
    busy_s: tuple[float, float] = (1.0, 6.0)
    idle_s: tuple[float, float] = (0.0, 0.0)


# A steady load detects excess refill of the token bucket; a bursty load detects excess use of a full bucket.
STEADY = TenantLoad(20, 30, 5.0)
BURSTY = TenantLoad(40, 160, 4.0, idle_s=(0.5, 5.0))


class TenantOperator(Operator):
    """An operator whose configurations contain the tenant, with the limit of `load`."""

    load = STEADY

    def make_change(self, version: int, base: int) -> tuple[str, bytes]:
        """Return a change like any operator's, with the tenant in each complete configuration."""
        call, body = super().make_change(version, base)
        if call != REPLACE_CALL:
            return call, body
        tenant = {"Name": TENANT, "Apikeys": [API_KEY], "RateS": self.load.rate, "Burst": self.load.burst}
        return call, msgspec.json.encode({**msgspec.json.decode(body), "Tenants": [tenant]})


def allowed_in_a_window(load: TenantLoad) -> float:
    """Return the number of requests that the quota allows the tenant in a window."""
    return quota_bound(Slo(), load.rate, load.burst)
