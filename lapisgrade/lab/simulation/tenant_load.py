"""The tenant of a data plane simulation: its limit, its load, and an operator that configures it."""

from dataclasses import dataclass

import msgspec

from lapisgrade.gateway.settings import Slo
from lapisgrade.lab.partitions.quota import quota_bound
from lapisgrade.lab.simulation.clients import REPLACE_CALL, Operator

TENANT = "t"
KEY = "key"


@dataclass(frozen=True)
class TenantLoad:
    """A tenant's limit, and its load: `pressure` times its rate while busy, nothing while idle."""

    rate: int  # a second
    burst: int
    pressure: float
    busy_s: tuple[float, float] = (1.0, 6.0)
    idle_s: tuple[float, float] = (0.0, 0.0)  # in which its token bucket fills up


# A steady load finds leaks of the refill, a bursty one those of a full bucket.
STEADY = TenantLoad(20, 30, 5.0)
BURSTY = TenantLoad(40, 160, 4.0, idle_s=(0.5, 5.0))


class TenantOperator(Operator):
    """An operator whose configurations contain the tenant."""

    load = STEADY

    def make_change(self, version: int, base: int) -> tuple[str, bytes]:
        """Return a change as any operator's, with the tenant in each complete configuration."""
        call, body = super().make_change(version, base)
        if call != REPLACE_CALL:
            return call, body
        tenant = {"Name": TENANT, "Apikeys": [KEY], "RateS": self.load.rate, "Burst": self.load.burst}
        return call, msgspec.json.encode({**msgspec.json.decode(body), "Tenants": [tenant]})


def allowed_in_a_window(load: TenantLoad) -> float:
    """Return how many requests the quota lets the tenant send in a window."""
    return quota_bound(Slo(), load.rate, load.burst)
