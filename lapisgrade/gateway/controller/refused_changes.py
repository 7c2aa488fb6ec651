"""Records refused configuration changes for `conf.status`, the log and the metrics.

A gateway whose only configuration was refused serves nothing, and looks like one without a configuration; the
last refused change tells the two cases apart. The leader that refused it stores it in memory; it is not
replicated.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.metrics import ControllerMetrics

MAX_REASON_LENGTH = 300  # maximum number of characters of a reason that are stored and logged


class RefusedChange(msgspec.Struct, frozen=True):
    """One refused change.

    Attributes:
        call: The call with the change, such as `conf.replace`.
        status: The HTTP status of the reply.
        reason: Why the change was refused, truncated to `MAX_REASON_LENGTH`.
        refused_us: The monotonic time of the refusal.
    """

    call: str
    status: int
    reason: str
    refused_us: int

    def report(self, now_us: int) -> dict[str, Any]:
        """Return the change for the JSON of `conf.status`."""
        return {
            "Call": self.call,
            "Status": self.status,
            "Reason": self.reason,
            "AgoMs": (now_us - self.refused_us) // 1000,
        }


class RefusedChanges:
    """Counts and logs refused changes, and stores the last one."""

    def __init__(self, metrics: ControllerMetrics, write_line: Callable[[str], None]) -> None:
        """`write_line` logs a line; it limits the rate of lines."""
        self.last: RefusedChange | None = None
        self._metrics = metrics
        self._write_line = write_line

    def record(self, call: str, result: ApplyResult, now_us: int) -> None:
        """Record that the change of that call was refused."""
        reason = " ".join(result.reason.split())[:MAX_REASON_LENGTH]
        self.last = RefusedChange(call, result.status, reason, now_us)
        self._metrics.changes_refused[f"{call} {int(result.status)}"] += 1
        self._write_line(f"{call} refused with {int(result.status)}: {reason}")
