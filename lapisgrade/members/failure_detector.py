"""SWIM's failure detector: probes of one member a period, in a shuffled round (sections 3.1 and 4.3). Pure.

idle --(the next member is due)--> direct probe --(no answer in `probe_timeout_us`)--> indirect probes
  ^                                     |                                                  |
  +------------(an answer came)---------+--------------------------------------------------+
  |                                                                                        |
  +-------------------(no answer by the end of the period: it is suspected)----------------+
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lapisgrade.members.health import LocalHealth
from lapisgrade.members.messages import Ack, MemberState, Message, Ping, PingRequest
from lapisgrade.members.table import Member, MemberTable
from lapisgrade.members.timing import Timing

MAX_RELAYED = 64  # probes for others in progress at once
NUMBERS = 1 << 31  # of probes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address."""

    to: str
    message: Message


@dataclass(slots=True)
class Probe:
    """A probe in progress."""

    target: str
    number: int
    indirect_at_us: int  # when others are asked; past that, 0
    ends_us: int
    requests: int = 0  # members that were asked
    missed: int = 0  # of those asked, who replied that they got no answer either


@dataclass(slots=True)
class RelayedProbe:
    """A probe made for another."""

    requester: str  # address
    number: int  # the requester's
    ends_us: int


class FailureDetector:
    """The probes of one member, and those that it relays for others.

    Driven by `on_timer` at `wakes_us` or later, and by `on_ping_request` and `on_ack`. A member that nobody
    reaches is reported by `suspect`.
    """

    def __init__(
        self,
        table: MemberTable,
        health: LocalHealth,
        timing: Timing,
        random: Random,
        now_us: int,
        send: Callable[[str, Ping | PingRequest | Ack], Send],
        suspect: Callable[[Member], None],
    ) -> None:
        self._table = table
        self._health = health
        self._timing = timing
        self._random = random
        self._send = send
        self._suspect = suspect
        self.relayed: dict[int, RelayedProbe] = {}  # by this member's number
        self._round: list[str] = []  # the members that this round has not come to yet
        self._probe: Probe | None = None
        self._number = random.getrandbits(31)
        self._next_probe_us = now_us + round(random.random() * timing.probe_interval_us)

    def wake_times_us(self) -> list[int]:
        """Return when something is due."""
        times = [self._next_probe_us]
        if self._probe is not None:
            times.append(self._probe.indirect_at_us or self._probe.ends_us)
        return times + [each.ends_us for each in self.relayed.values()]

    def on_timer(self, now_us: int) -> list[Send]:
        """Ask others, judge and begin the next probe, as far as each is due."""
        out: list[Send] = []
        probe = self._probe
        if probe is not None and probe.indirect_at_us and now_us >= probe.indirect_at_us:
            out += self._probe_indirectly(probe)
        if probe is not None and now_us >= probe.ends_us:
            self._give_up(probe)
        if now_us >= self._next_probe_us:
            out += self._begin(now_us)
        return out

    def _probe_indirectly(self, probe: Probe) -> list[Send]:
        probe.indirect_at_us = 0
        target = self._table.by_name.get(probe.target)
        others = [each for each in self._table.with_state(MemberState.ALIVE) if each.name != probe.target]
        if target is None:
            return []
        out = []
        for other in self._random.sample(others, min(self._timing.indirect_probes, len(others))):
            probe.requests += 1
            out.append(self._send(other.address, PingRequest(probe.number, target.name, target.address)))
        # Once more itself: one lost datagram is no sign.
        out.append(self._send(target.address, Ping(probe.number, target.name)))
        return out

    def _give_up(self, probe: Probe) -> None:
        self._probe = None
        target = self._table.by_name.get(probe.target)
        # Those asked who did not even reply that they got no answer: it is this member that is cut off or
        # slow.
        unanswered = probe.requests - probe.missed
        self._health.adjust(unanswered if probe.requests else 1)
        # Where others suspect it already, this is one suspecter more.
        if target is not None and target.state is not MemberState.DEAD:
            self._suspect(target)

    def _begin(self, now_us: int) -> list[Send]:
        self._next_probe_us = now_us + self._health.scale(self._timing.probe_interval_us)
        target = self._next_target()
        if target is None or self._probe is not None:
            return []
        number = self._next_number()
        self._probe = Probe(
            target.name,
            number,
            now_us + self._health.scale(self._timing.probe_timeout_us),
            now_us + self._health.scale(self._timing.probe_interval_us),
        )
        return [self._send(target.address, Ping(number, target.name))]

    def _next_number(self) -> int:
        self._number = (self._number + 1) % NUMBERS
        return self._number

    def _next_target(self) -> Member | None:
        """Return the next of a shuffled round over those not dead: each is probed once a round."""
        while True:
            if not self._round:
                self._round = sorted(self._table.not_dead())
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            member = self._table.by_name.get(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    # ---- messages

    def on_ping_request(self, now_us: int, source: str, message: PingRequest) -> list[Send]:
        """Probe a member for another one."""
        if len(self.relayed) >= MAX_RELAYED:
            return []
        number = self._next_number()
        # The reply that it missed must come before the requester's own time-out.
        wait_us = self._timing.probe_timeout_us * 4 // 5
        self.relayed[number] = RelayedProbe(source, message.number, now_us + wait_us)
        return [self._send(message.address, Ping(number, message.name))]

    def on_ack(self, message: Ack) -> list[Send]:
        """Take in an answer to a probe, or pass it on to the member for which it was made."""
        relayed = self.relayed.pop(message.number, None)
        if relayed is not None:
            return [self._send(relayed.requester, Ack(relayed.number))]
        probe = self._probe
        if probe is None or message.number != probe.number:
            return []
        if message.missed:
            probe.missed += 1
        else:
            self._probe = None
            self._health.adjust(-1)
        return []

    def expire_relayed(self, now_us: int) -> list[Send]:
        """Tell the members for which a probe was made that it got no answer in time."""
        out = []
        for number, relayed in list(self.relayed.items()):
            if now_us >= relayed.ends_us:
                del self.relayed[number]
                out.append(self._send(relayed.requester, Ack(relayed.number, True)))
        return out
