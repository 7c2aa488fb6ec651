"""A limiter with a deliberate defect, to show that the checker detects violations.

`python -m lapisgrade.lab.fleet.defects KIND` runs the real limiter, changed to break one rule, with KIND from
`DEFECTS`. The program itself never imports this module.
"""

import sys
from dataclasses import replace

from lapisgrade import policy
from lapisgrade.interface import Operation, RepeatSafety, ServerState
from lapisgrade.net import discovery_client, host, service
from lapisgrade.policy import operation_attempts
from lapisgrade.settings import Fields

NEVER_S = 1e6  # longer than any run


def drop_answers() -> None:
    """Leave one operation in ten without an answer, and answer no overdue operation (rule 1)."""
    host.OVERDUE_CHECK_INTERVAL_S = NEVER_S
    original = policy.Limiter.handle

    def operation(self: policy.Limiter, op: Operation):
        if self.random.random() < 0.1:
            return
        yield from original(self, op)

    policy.Limiter.handle = operation


def repeat_non_idempotent() -> None:
    """Retry non-idempotent operations before their answers can arrive (rule 2)."""
    original = policy.Limiter.handle

    def operation(self: policy.Limiter, op: Operation):
        op.category = replace(op.category, repeat_safety=RepeatSafety.IDEMPOTENT)
        yield from original(self, op)

    policy.Limiter.handle, operation_attempts.OVERDUE_DEVIATIONS = operation, -1000.0


def ignore_drain() -> None:
    """Treat draining servers as ready (rule 3)."""
    discovery_client.LIFECYCLE_STATES["terminating"] = ServerState.READY


def remove_quotas() -> None:
    """Remove the quotas and rate limits of all plans (rule 5, and any stated bound)."""
    original = service.read_plans

    def plans(info: Fields) -> list:
        made = original(info)
        for plan in made:
            plan.rate = plan.rate_limit_per_s = 0.0
        return made

    service.read_plans = plans


# By name: the function that changes the limiter, and the number of the rule that is broken.
DEFECTS = {
    "swallow": (drop_answers, 1),
    "twice": (repeat_non_idempotent, 2),
    "deaf": (ignore_drain, 3),
    "unmetered": (remove_quotas, 5),
}


def main() -> int:
    """Run the limiter with the defect that the command line names; return its exit code.

    Without a valid name, print the usage and return 2.
    """
    if len(sys.argv) != 2 or sys.argv[1] not in DEFECTS:
        print(f"usage: defects KIND, one of {', '.join(DEFECTS)}", file=sys.stderr)
        return 2
    DEFECTS[sys.argv[1]][0]()
    from lapisgrade.__main__ import main as limiter

    return limiter()


if __name__ == "__main__":
    sys.exit(main())
