"""Categories, plans and server rules of the limiters under test."""

from lapisgrade.interface import (
    Category,
    DeduplicationScope,
    Plan,
    RepeatSafety,
    ServerRules,
)

SECOND = 1_000_000  # us
# In order: drain grace in us, slow start in us, initial share of the capacity, overload window in us, and the
# load relative to the capacity above which a warming server fails.
SERVER_RULES = ServerRules(250_000, 15 * SECOND, 0.2, SECOND, 3.0)
CATEGORIES = [
    Category("idempotent", RepeatSafety.IDEMPOTENT, SECOND, 2 * SECOND, 1.0),
    Category(
        "deduplicated",
        RepeatSafety.DEDUPLICATED,
        2 * SECOND,
        5 * SECOND,
        4.0,
        0.2,
        DeduplicationScope.ZONE,
        900_000,
    ),
    Category("non_idempotent", RepeatSafety.NON_IDEMPOTENT, 2 * SECOND, 8 * SECOND, 3.0, 0.2),
]
PLANS = [
    Plan("small", 2.0, 8.0, overage_cost=0.5),
    Plan("capped", 9.0, 20.0, rate_limit_per_s=18.0, rate_limit_burst=40.0, rate_limit_slack=4.0),
    Plan("narrow", 5.0, 10.0, max_in_flight=2),
    Plan("quick", 12.0, 14.0),
]
