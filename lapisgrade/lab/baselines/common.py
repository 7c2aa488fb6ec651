"""What both baselines do once an operation is let in: one hop to a ready server, and its end told."""

from collections.abc import Generator
from dataclasses import dataclass
from random import Random

from lapisgrade.interface import Answer, Cancel, Clock, Entry, Listed, Operation, Pause, Repeat, Send, Verdict

END_MARGIN = 6_000  # us before the hard stop at which a hop still out is called off
COME_BACK = 1_000_000  # us a client is told to wait where nothing better is known


@dataclass(slots=True)
class Named:
    address: str


@dataclass(slots=True)
class Hop:
    operation: Operation
    server: Named


class Plain:
    """The part of a baseline policy that sends: servers as listed, one hop each, no second tries."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.ready: list[str] = []
        self._states: dict[str, Listed] = {}

    def listed(self, entries: list[Entry], whole: bool) -> None:
        if whole:
            self._states = {}
        for entry in entries:
            self._states[entry.server] = entry.state
        self.ready = sorted(name for name, state in self._states.items() if state is Listed.READY)

    def landed(self, hop: Hop, report) -> None:
        """Nothing is learnt from a hop's end."""

    def send(self, op: Operation) -> Generator:
        if not self.ready:
            yield Answer(Verdict.TURN_BACK, COME_BACK)
            return
        hop = Hop(op, Named(self.random.choice(self.ready)))
        yield Send(hop)
        ended = yield Pause(op.ends_us - END_MARGIN)
        if isinstance(ended, tuple) and ended[1].outcome.name == "OK":
            return  # the server's answer is the final one
        if isinstance(ended, tuple) and ended[1].outcome.never_ran:
            yield Answer(Verdict.TURN_BACK, COME_BACK)
            return
        if not isinstance(ended, tuple):
            yield Cancel(hop)
        repeatable = op.category.repeat is Repeat.IDEMPOTENT
        verdict = Verdict.TURN_BACK if repeatable else Verdict.GIVE_UP
        if not op.over:
            yield Answer(verdict, COME_BACK if verdict is Verdict.TURN_BACK else 0)
