"""The limits on requests that were in force during a run, and the requests that they don't explain. Pure."""

import math
from dataclasses import dataclass, field
from http import HTTPStatus

from lapisgrade.lab.partitions.operation_history import Attempt

# From the acknowledgement of a version until all proxies use it: 2.5 s in the operators' deployments, and the
# time for which a busy machine may be late.
APPLY_S = 2.5 + 2.5
MAX_SHOWN_FAULTS = 8  # in the description of a violation
TOO_LARGE_STATUSES = (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)


@dataclass(slots=True)
class LimitChange:
    """One version's limit on bodies; times are monotonic.

    Attributes:
        body_bytes: Maximum size of a request's body.
        sent_s: When it was first sent; from then on it may be in force.
        acknowledged_s: When it was acknowledged; `APPLY_S` later, no earlier version is in force.
    """

    body_bytes: int
    sent_s: float
    acknowledged_s: float = math.inf


@dataclass(slots=True)
class LimitHistory:
    """All versions' limits in order; the first is in force from the start.

    Attributes:
        changes: The limits of all versions.
        controller_faults_s: Times of all faults of controllers, for the description of violations.
    """

    changes: list[LimitChange] = field(default_factory=list)
    controller_faults_s: list[float] = field(default_factory=list)

    def limits_in_force(self, from_s: float, until_s: float) -> list[int]:
        """Return the limits that may have been in force at some time of a period."""
        limits = []
        for position, change in enumerate(self.changes):
            later = self.changes[position + 1 :]
            replaced_s = min((each.acknowledged_s + APPLY_S for each in later), default=math.inf)
            if change.sent_s <= until_s and from_s <= replaced_s:
                limits.append(change.body_bytes)
        return limits

    def find_violations(self, attempts: list[Attempt]) -> list[str]:
        """Return descriptions of proper requests that were denied, and of too large ones that were served."""
        violations = []
        for attempt in attempts:
            limits = self.limits_in_force(attempt.sent_s, attempt.ended_s)
            size, place = attempt.body_bytes, f"{attempt.try_id} at {attempt.proxy}"
            if attempt.status in TOO_LARGE_STATUSES and size <= min(limits):
                violations.append(
                    f"{place}: {attempt.status} for {size} bytes, {limits} allowed{self._context(attempt)}"
                )
            if attempt.is_success and size > max(limits):
                violations.append(f"{place}: served, {size} bytes, {limits} allowed{self._context(attempt)}")
        return violations

    def _context(self, attempt: Attempt) -> str:
        """Describe the last acknowledgement and the last faults of controllers before an attempt."""
        acknowledged = [each.acknowledged_s for each in self.changes if each.acknowledged_s < attempt.sent_s]
        since_s = attempt.sent_s - max(acknowledged, default=0.0)
        faults_s = [attempt.sent_s - each for each in self.controller_faults_s if each < attempt.ended_s]
        shown = ", ".join(f"{each:.1f}" for each in faults_s[-MAX_SHOWN_FAULTS:]) or "none"
        return f"; sent {since_s:.1f} s after an acknowledgement; faults of controllers, s before: {shown}"
