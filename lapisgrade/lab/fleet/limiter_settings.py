"""The settings of a limiter, in the format of its configuration, derived from a scenario."""

from typing import Any

from lapisgrade.interface import DeduplicationScope, RepeatSafety
from lapisgrade.lab.emulator.scenario import Scenario

# Values of a request class's settings `Idempotency` and `Group` (the servers that recognize a repeat).
IDEMPOTENCY_VALUES = {
    RepeatSafety.IDEMPOTENT: "repeatable",
    RepeatSafety.DEDUPLICATED: "by_key",
    RepeatSafety.NON_IDEMPOTENT: "once",
}
GROUP_VALUES = {
    DeduplicationScope.ALL: "all",
    DeduplicationScope.ZONE: "zone",
    DeduplicationScope.CELL: "cell",
}


def settings(scenario: Scenario, index: int) -> dict[str, Any]:
    """Return the settings of limiter `index` in the format of its configuration; durations are in ms."""
    return {
        "SelfIndex": index,
        "NInstances": scenario.limiters,
        "Zone": scenario.zone_of(index),
        "Zones": [f"z{number}" for number in range(scenario.zones)],
        "RequestClasses": [
            {
                "Name": each.name,
                "Idempotency": IDEMPOTENCY_VALUES[each.repeat_safety],
                "Aim": each.latency_target_us / 1000,
                "Deadline": each.timeout_us / 1000,
                "Worth": each.value,
                "LateWorth": each.late_value,
                "Group": GROUP_VALUES[each.deduplication_scope],
                "KeyTtl": each.deduplication_window_us / 1000,
            }
            for each in scenario.categories
        ],
        "TiersOfService": [
            {
                "Name": each.name,
                "UnitsPerS": each.rate,
                "Burst": each.burst,
                "BeyondEarns": each.overage_value,
                "ExcessCost": each.overage_cost,
                "NeverOverRate": each.rate_limit_per_s,
                "CeilingBurst": each.rate_limit_burst,
                "CapSlack": each.rate_limit_slack,
            }
            for each in scenario.plans
        ],
        "Ceilings": {
            "AttemptsCap": scenario.permissions.max_attempts,
            "Cancel": scenario.permissions.may_cancel,
            "ParallelTries": scenario.permissions.may_hedge,
            "RetryAfter": scenario.permissions.max_retry_after_us > 0,
            "MaxRetryAfter": scenario.permissions.max_retry_after_us / 1000,
            "DialTimeout": 200.0,
            "Keepalive": 30000.0,
        },
        "Rules": {
            "DrainGrace": scenario.server_rules.drain_grace_us / 1000,
            "Cold": scenario.server_rules.slow_start_us / 1000,
            "ColdFrom": scenario.server_rules.slow_start_initial_weight,
            "Fall": scenario.server_rules.overload_window_us / 1000,
            "FallMultiple": scenario.server_rules.max_overload_factor,
        },
        "Specifics": {
            "SharedCounter": scenario.uses_shared_counter,
            "CountLimit": scenario.counter_timeout_us / 1000,
            "UnitsTop": scenario.max_units,
        },
    }
