"""The part that both baseline policies share: sending an admitted operation to one ready server."""

from collections.abc import Generator
from dataclasses import dataclass
from random import Random

from lapisgrade.interface import (
    AttemptFinished,
    Cancel,
    Clock,
    Operation,
    Reject,
    RejectReason,
    RepeatSafety,
    Send,
    ServerEndpoint,
    ServerState,
    Sleep,
)

CANCEL_MARGIN_US = 6_000  # how long before the deadline an unfinished attempt is cancelled
RETRY_AFTER_US = 1_000_000  # retry delay for clients where no better one is known


@dataclass(slots=True)
class BaselineServer:
    """The server of an attempt."""

    address: str


@dataclass(slots=True)
class BaselineAttempt:
    """One attempt of an operation at one server."""

    operation: Operation
    server: BaselineServer


class BaselinePolicy:
    """A policy without `handle`: keeps the list of ready servers and sends one attempt, without retries.

    Attributes:
        ready: Addresses of the ready servers, sorted.
    """

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.ready: list[str] = []
        self._states: dict[str, ServerState] = {}

    def update_servers(self, entries: list[ServerEndpoint], is_complete: bool) -> None:
        """Apply changes of the server list, or a complete list."""
        if is_complete:
            self._states = {}
        for entry in entries:
            self._states[entry.address] = entry.state
        self.ready = sorted(name for name, state in self._states.items() if state is ServerState.READY)

    def on_attempt_finished(self, attempt: BaselineAttempt, report) -> None:
        """Ignore the result: the policy learns nothing from attempts."""

    def send(self, op: Operation) -> Generator:
        """Send an admitted operation; on a failure, reject it, as retryable only if that is safe."""
        if not self.ready:
            yield Reject(RejectReason.RETRY_LATER, RETRY_AFTER_US)
            return
        attempt = BaselineAttempt(op, BaselineServer(self.random.choice(self.ready)))
        yield Send(attempt)
        event = yield Sleep(op.deadline_us - CANCEL_MARGIN_US)
        if isinstance(event, AttemptFinished) and event.result.outcome.name == "OK":
            return  # the server's response is forwarded
        if isinstance(event, AttemptFinished) and event.result.outcome.never_ran:
            yield Reject(RejectReason.RETRY_LATER, RETRY_AFTER_US)
            return
        if not isinstance(event, AttemptFinished):
            yield Cancel(attempt)
        is_repeatable = op.category.repeat_safety is RepeatSafety.IDEMPOTENT
        reason = RejectReason.RETRY_LATER if is_repeatable else RejectReason.FAILED
        if not op.is_abandoned:
            yield Reject(reason, RETRY_AFTER_US if reason is RejectReason.RETRY_LATER else 0)
