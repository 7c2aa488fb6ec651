"""Limits the rate at which the leader stages versions of the configuration. Pure.

The state holds at most `MAX_STAGED_VERSIONS` staged versions; one more drops the oldest. A dropped version's
change takes effect with a later version, which was staged later. So if versions were dropped faster than
`ACTIVATION_TIMEOUT_US`, none would satisfy rule 2 of `version_activation`, and no change would take effect
while one proxy is slow or does not respond. Therefore the leader delays a change until there is room:

    versions staged      | earliest time of the next one
    ---------------------+--------------------------------------------------
    below UNPACED        | now
    below MAX            | PACED_INTERVAL_US after the last one was staged
    MAX                  | once a version is activated

At that interval, rule 2 activates a version before the next one fills the last place. The delay is decided
before a change is proposed, and the log contains no trace of it, so all releases apply the same log alike.
"""

from lapisgrade.gateway.controller.state import MAX_STAGED_VERSIONS
from lapisgrade.gateway.controller.version_activation import ACTIVATION_TIMEOUT_US

UNPACED_VERSIONS = MAX_STAGED_VERSIONS // 2  # staged without a delay, for changes in quick succession
PACED_INTERVAL_US = ACTIVATION_TIMEOUT_US // (MAX_STAGED_VERSIONS - UNPACED_VERSIONS)


def staging_delay_us(now_us: int, staged: int, proposed: int, last_staged_us: int | None) -> int:
    """Return the time until another version may be proposed, in us; 0 if it may be proposed now.

    Args:
        now_us: The monotonic time.
        staged: The number of staged versions.
        proposed: The number of versions in the log that are not applied yet.
        last_staged_us: When the newest staged version was staged; None if there is none.
    """
    used = staged + proposed
    if used < UNPACED_VERSIONS:
        return 0
    if used >= MAX_STAGED_VERSIONS or proposed or last_staged_us is None:
        return PACED_INTERVAL_US  # the next application of an entry may shorten it
    return max(0, last_staged_us + PACED_INTERVAL_US - now_us)
