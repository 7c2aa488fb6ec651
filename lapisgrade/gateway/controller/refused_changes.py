"""What a leader remembers of the configuration changes that it refused: for `conf.status`, log and metrics.

A gateway whose only configuration is refused serves nothing, and looks like one that nobody has configured;
the last refusal tells the two apart. It is kept in memory by the leader that refused, and is not replicated.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.metrics import ControllerMetrics

MAX_REASON_LENGTH = 300  # characters of a reason that are kept and logged


class RefusedChange(msgspec.Struct, frozen=True):
    """One refused change.

    Attributes:
        call: The call that brought it, such as `conf.replace`.
        status: The HTTP status that it was answered with.
        reason: What is wrong with it, cut to `MAX_REASON_LENGTH`.
        refused_us: When it was refused, by the controller's steady clock.
    """

    call: str
    status: int
    reason: str
    refused_us: int

    def report(self, now_us: int) -> dict[str, Any]:
        """Return it for `conf.status`, as JSON has it."""
        return {
            "Call": self.call,
            "Status": self.status,
            "Reason": self.reason,
            "AgoMs": (now_us - self.refused_us) // 1000,
        }


class RefusedChanges:
    """Counts and logs refused changes, and keeps the last one."""

    def __init__(self, metrics: ControllerMetrics, write_line: Callable[[str], None]) -> None:
        """`write_line` logs a line; it bounds how many are written."""
        self.last: RefusedChange | None = None
        self._metrics = metrics
        self._write_line = write_line

    def record(self, call: str, result: ApplyResult, now_us: int) -> None:
        """Take in the refusal of a change that came by that call."""
        reason = " ".join(result.reason.split())[:MAX_REASON_LENGTH]
        self.last = RefusedChange(call, result.status, reason, now_us)
        self._metrics.changes_refused[f"{call} {int(result.status)}"] += 1
        self._write_line(f"{call} refused with {int(result.status)}: {reason}")
