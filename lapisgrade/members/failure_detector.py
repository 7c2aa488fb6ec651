"""SWIM's failure detector: one probe per period, in shuffled rounds (sections 3.1 and 4.3). Pure.

idle --(next probe is due)--> direct probe --(no ack in `probe_timeout_us`)--> indirect probes
  ^                                |                                               |
  +---------(ack received)---------+-----------------------------------------------+
  |                                                                                |
  +------------(no ack by the end of the period: the target is suspected)----------+
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lapisgrade.members.health import LocalHealth
from lapisgrade.members.messages import Ack, MemberState, Message, Ping, PingRequest
from lapisgrade.members.table import Member, MemberTable
from lapisgrade.members.timing import Timing

MAX_RELAYED = 64  # maximum number of concurrent probes on behalf of other members
PROBE_NUMBER_COUNT = 1 << 31  # probe numbers wrap around at this value


@dataclass(frozen=True, slots=True)
class Send:
    """A message to be sent to an address."""

    to: str
    message: Message


@dataclass(slots=True)
class Probe:
    """The probe of another member that this one has in progress."""

    target: str  # name
    number: int
    indirect_at_us: int  # time at which the indirect probes are due; 0 once they are sent
    deadline_us: int  # time at which the probe fails
    indirect_requests: int = 0  # number of members asked to probe the target
    negative_acks: int = 0  # number of these that replied that the target did not answer them


@dataclass(slots=True)
class RelayedProbe:
    """A probe on behalf of another member."""

    requester: str  # address
    number: int  # number of the requester's own probe
    deadline_us: int  # time at which a negative ack is sent to the requester


class FailureDetector:
    """The probes of one member, and those that it relays for others.

    Call `on_timer` at the earliest of `wake_times_us()` or later, and `on_ping_request` and `on_ack` for the
    messages received. A member whose probes all fail is passed to the `suspect` callback.
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
        """Start without a probe in progress; the first one is due within one probe interval.

        Args:
            table: The other members.
            health: This member's own health, which scales its intervals and time-outs.
            timing: Protocol parameters.
            random: Source of all randomness.
            now_us: Current time on the local clock.
            send: Returns a message to an address with queued updates attached.
            suspect: Called with each member whose probes all failed.
        """
        self._table = table
        self._health = health
        self._timing = timing
        self._random = random
        self._send = send
        self._suspect = suspect
        self.relayed: dict[int, RelayedProbe] = {}  # by probe number of this member
        self._round: list[str] = []  # members left to probe in this round
        self._probe: Probe | None = None
        self._number = random.getrandbits(31)
        self._next_probe_us = now_us + round(random.random() * timing.probe_interval_us)

    def wake_times_us(self) -> list[int]:
        """Return the times at which `on_timer` or `expire_relayed` has work to do."""
        times = [self._next_probe_us]
        if self._probe is not None:
            times.append(self._probe.indirect_at_us or self._probe.deadline_us)
        return times + [each.deadline_us for each in self.relayed.values()]

    def on_timer(self, now_us: int) -> list[Send]:
        """Send indirect probes, fail the current probe and start the next one, as far as each is due."""
        sends: list[Send] = []
        probe = self._probe
        if probe is not None and probe.indirect_at_us and now_us >= probe.indirect_at_us:
            sends += self._probe_indirectly(probe)
        if probe is not None and now_us >= probe.deadline_us:
            self._fail_probe(probe)
        if now_us >= self._next_probe_us:
            sends += self._start_probe(now_us)
        return sends

    def _probe_indirectly(self, probe: Probe) -> list[Send]:
        """Ask a few random members to probe the target, and repeat the direct probe."""
        probe.indirect_at_us = 0
        target = self._table.by_name.get(probe.target)
        others = [each for each in self._table.with_state(MemberState.ALIVE) if each.name != probe.target]
        if target is None:
            return []
        sends = []
        for other in self._random.sample(others, min(self._timing.indirect_probes, len(others))):
            probe.indirect_requests += 1
            sends.append(self._send(other.address, PingRequest(probe.number, target.name, target.address)))
        # The direct probe is repeated because the loss of a single datagram is no sign of a failure.
        sends.append(self._send(target.address, Ping(probe.number, target.name)))
        return sends

    def _fail_probe(self, probe: Probe) -> None:
        """End a probe without an ack: adjust this member's health and suspect the target."""
        self._probe = None
        target = self._table.by_name.get(probe.target)
        # If members that were asked to probe the target sent not even a negative ack, this member itself is
        # probably slow or cut off.
        unanswered = probe.indirect_requests - probe.negative_acks
        self._health.adjust(unanswered if probe.indirect_requests else 1)
        # If the target is already suspected, this adds one more suspecter.
        if target is not None and target.state is not MemberState.DEAD:
            self._suspect(target)

    def _start_probe(self, now_us: int) -> list[Send]:
        """Probe the next member of the round, unless a probe is still in progress."""
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
        self._number = (self._number + 1) % PROBE_NUMBER_COUNT
        return self._number

    def _next_target(self) -> Member | None:
        """Return the next target. Each round covers every member that is not dead once, in random order."""
        while True:
            if not self._round:
                self._round = sorted(self._table.not_dead_names())
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            member = self._table.by_name.get(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    # ---- messages

    def on_ping_request(self, now_us: int, source: str, message: PingRequest) -> list[Send]:
        """Probe a member on behalf of another; ignored if `MAX_RELAYED` such probes are in progress."""
        if len(self.relayed) >= MAX_RELAYED:
            return []
        number = self._next_number()
        # The negative ack must arrive before the requester's own time-out.
        wait_us = self._timing.probe_timeout_us * 4 // 5
        self.relayed[number] = RelayedProbe(source, message.number, now_us + wait_us)
        return [self._send(message.address, Ping(number, message.name))]

    def on_ack(self, message: Ack) -> list[Send]:
        """Handle an ack or negative ack to this member's own probe, or forward an ack of a relayed probe."""
        relayed = self.relayed.pop(message.number, None)
        if relayed is not None:
            return [self._send(relayed.requester, Ack(relayed.number))]
        probe = self._probe
        if probe is None or message.number != probe.number:
            return []
        if message.missed:
            probe.negative_acks += 1
        else:
            self._probe = None
            self._health.adjust(-1)
        return []

    def expire_relayed(self, now_us: int) -> list[Send]:
        """Send a negative ack to the requester of each relayed probe that has timed out."""
        sends = []
        for number, relayed in list(self.relayed.items()):
            if now_us >= relayed.deadline_us:
                del self.relayed[number]
                sends.append(self._send(relayed.requester, Ack(relayed.number, True)))
        return sends
