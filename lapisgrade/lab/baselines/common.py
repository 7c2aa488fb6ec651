"""What both baselines do once an operation is let in: one hop to a ready server, and its end told."""

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

END_MARGIN = 6_000  # us before the hard stop at which a hop still out is called off
COME_BACK = 1_000_000  # us a client is told to wait where nothing better is known


@dataclass(slots=True)
class BaselineServer:
    address: str


@dataclass(slots=True)
class BaselineAttempt:
    operation: Operation
    server: BaselineServer


class BaselinePolicy:
    """The part of a baseline policy that sends: servers as listed, one hop each, no second tries."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.ready: list[str] = []
        self._states: dict[str, ServerState] = {}

    def update_servers(self, entries: list[ServerEndpoint], whole: bool) -> None:
        if whole:
            self._states = {}
        for entry in entries:
            self._states[entry.address] = entry.state
        self.ready = sorted(name for name, state in self._states.items() if state is ServerState.READY)

    def on_attempt_finished(self, hop: BaselineAttempt, report) -> None:
        """Nothing is learnt from a hop's end."""

    def send(self, op: Operation) -> Generator:
        if not self.ready:
            yield Reject(RejectReason.RETRY_LATER, COME_BACK)
            return
        hop = BaselineAttempt(op, BaselineServer(self.random.choice(self.ready)))
        yield Send(hop)
        ended = yield Sleep(op.deadline_us - END_MARGIN)
        if isinstance(ended, AttemptFinished) and ended.result.outcome.name == "OK":
            return  # the server's answer is the final one
        if isinstance(ended, AttemptFinished) and ended.result.outcome.never_ran:
            yield Reject(RejectReason.RETRY_LATER, COME_BACK)
            return
        if not isinstance(ended, AttemptFinished):
            yield Cancel(hop)
        repeatable = op.category.repeat_safety is RepeatSafety.IDEMPOTENT
        verdict = RejectReason.RETRY_LATER if repeatable else RejectReason.FAILED
        if not op.is_abandoned:
            yield Reject(verdict, COME_BACK if verdict is RejectReason.RETRY_LATER else 0)
