"""One limiter's view of which limiters live: pure, driven by messages and a clock.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, in a shuffled round; one that does not
answer is probed through a few others; one that nobody reaches is suspected, and dead once nothing refuted
that in time. Updates on members are sent along with the probes and their answers. Lifeguard (Dadgar,
Phillips, Currey 2017): a member that misses answers lowers its own health, and is slower to judge; a
suspicion runs out sooner the more members share it.

    ALIVE <-----------------(ALIVE, of a higher incarnation)-----------------------+
      |                                                     |                      |
      +--(nobody reaches it, or another suspects it)--> SUSPECT --(not refuted)--> DEAD --> forgotten

A suspicion ends at `MemberTable.suspicion_ends_us`; a dead member is kept for `dead_retention_us`.

The shell hands each message to `on_message`, calls `on_timer` at `wakes_us` or later, and sends what both
return. Times are whole microseconds of its own clock; nothing here needs clocks to agree. Randomness comes
from the `random.Random` that is handed in: the same events give the same messages.
"""

from dataclasses import dataclass
from random import Random

import msgspec

from lapisgrade.members.dissemination import UpdateQueue
from lapisgrade.members.failure_detector import FailureDetector, Send
from lapisgrade.members.health import LocalHealth
from lapisgrade.members.messages import Ack, MemberState, Message, Ping, PingRequest, Sync, Update
from lapisgrade.members.table import MAX_MEMBERS, MAX_SUSPECTERS, Member, MemberTable
from lapisgrade.members.timing import Timing

MAX_NAME_LENGTH = 64  # characters
MAX_INCARNATION = 1 << 62  # an update may name any: one that leaves no room above it is ignored


@dataclass(slots=True)
class MemberMetrics:
    """Counters of one member since its start, in messages or updates."""

    sent: int = 0  # messages
    received: int = 0  # messages
    refuted: int = 0  # updates that held this member suspect or dead, or spoke of an earlier incarnation
    suspected: int = 0  # members that came to be suspected here
    died: int = 0  # members that came to be held dead here
    invalid: int = 0  # updates out of bounds


class Members:
    """The members that one limiter knows.

    `alive()` is who is thought to live, this one among them; `changed` holds what changed since it was last
    emptied by the shell.
    """

    def __init__(
        self,
        name: str,
        address: str,
        incarnation: int,
        now_us: int,
        random: Random,
        timing: Timing | None = None,
    ) -> None:
        """Begin alone.

        Args:
            name: this member's.
            address: where others reach it.
            incarnation: higher than in any earlier process of the name, as a start time in ms is.
            now_us: the time.
            random: the source of all randomness.
            timing: the protocol's times, the same at all members.
        """
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.timing = timing or Timing()
        self.changed: list[Update] = []
        self.metrics = MemberMetrics()
        self.table = MemberTable(self.timing)
        self.health = LocalHealth(self.timing)
        self.failure_detector = FailureDetector(
            self.table, self.health, self.timing, random, now_us, self._send, self._suspect
        )
        self._random = random
        self._now_us = now_us
        self._updates = UpdateQueue(self.timing)
        self._next_sync_us = now_us + round(random.random() * self.timing.sync_interval_us)
        self._seeds: list[str] = []

    # ---- what the shell calls

    def join(self, addresses: list[str]) -> list[Send]:
        """Contact the members at these addresses; again now and then until one has answered."""
        self._seeds = [each for each in addresses if each != self.address]
        return [self._sync(each, False) for each in self._seeds]

    def alive(self) -> list[str]:
        """Return the names of those that live or are only suspected, this one among them, in order."""
        return sorted([self.name, *self.table.not_dead()])

    def holds_dead(self, name: str) -> bool:
        """Return whether that member is known and held dead."""
        member = self.table.by_name.get(name)
        return member is not None and member.state is MemberState.DEAD

    @property
    def wakes_us(self) -> int:
        """When `on_timer` is to be called next, at the latest."""
        suspects = self.table.with_state(MemberState.SUSPECT)
        times = [self._next_sync_us, *self.failure_detector.wake_times_us()]
        return min(times + [self.table.suspicion_ends_us(member) for member in suspects])

    def on_timer(self, now_us: int) -> list[Send]:
        """Do what is due at `now_us`."""
        self._now_us = max(self._now_us, now_us)
        out = self.failure_detector.on_timer(self._now_us)
        self._expire_members()
        out += self.failure_detector.expire_relayed(self._now_us)
        if self._now_us >= self._next_sync_us:
            out += self._begin_sync()
        return out

    def on_message(self, now_us: int, source: str, message: Message) -> list[Send]:
        """Take in a message from the address `source`."""
        self._now_us = max(self._now_us, now_us)
        self.metrics.received += 1
        incarnation = self.incarnation
        limit = max(self.timing.updates_per_message, self.timing.sync_members) + 1
        for update in message.updates[:limit]:
            self._apply(update)
        if isinstance(message, Ping):
            return [self._send(source, Ack(message.number))] if message.name == self.name else []
        if isinstance(message, PingRequest):
            return self.failure_detector.on_ping_request(self._now_us, source, message)
        if isinstance(message, Ack):
            return self.failure_detector.on_ack(message)
        # One that holds us dead learns at once that we live: partitions that meet again need no second round.
        is_refuted = self.incarnation != incarnation
        return [self._sync(source, True)] if not message.is_reply or is_refuted else []

    # ---- time

    def _expire_members(self) -> None:
        for member in list(self.table):
            if self._is_suspicion_over(member):
                self._report(member, MemberState.DEAD)
            elif self._is_retention_over(member):
                del self.table.by_name[member.name]
                self._updates.discard(member.name)

    def _is_suspicion_over(self, member: Member) -> bool:
        is_suspect = member.state is MemberState.SUSPECT
        return is_suspect and self._now_us >= self.table.suspicion_ends_us(member)

    def _is_retention_over(self, member: Member) -> bool:
        is_dead = member.state is MemberState.DEAD
        return is_dead and self._now_us - member.since_us > self.timing.dead_retention_us

    def _begin_sync(self) -> list[Send]:
        interval_us = self.timing.sync_interval_us
        self._next_sync_us = self._now_us + round(interval_us * (0.5 + self._random.random()))
        # Dead ones too, and seeds never met: two sides of a partition that is healed meet this way, and two
        # groups whose seeds were not up yet when they started.
        known = [member.address for member in self.table]
        unmet = [each for each in self._seeds if each not in known]
        addresses = unmet if unmet and (not known or self._random.random() < 0.5) else known
        return [self._sync(self._random.choice(addresses), False)] if addresses else []

    # ---- updates

    def _suspect(self, member: Member) -> None:
        self._report(member, MemberState.SUSPECT)

    def _report(self, member: Member, state: MemberState) -> None:
        """Take in this member's own judgement of another."""
        self._apply(Update(member.name, member.address, member.incarnation, state, self.name))

    def _apply(self, update: Update) -> None:
        """Take in what somebody reports of a member (SWIM, section 4.2)."""
        is_named = 0 < len(update.name) <= MAX_NAME_LENGTH
        if not is_named or update.state not in (0, 1, 2) or update.incarnation < 0:
            self.metrics.invalid += 1
            return
        if update.name == self.name:
            self._refute(update)
            return
        known = self.table.by_name.get(update.name)
        if known is None:
            if update.state == MemberState.DEAD or len(self.table.by_name) >= MAX_MEMBERS:
                return  # nothing is known that it could end
        elif self._is_same_suspicion(known, update):
            self._add_suspecter(known, update)
            return
        elif (update.incarnation, update.state) <= (known.incarnation, known.state):
            return
        self._replace(known, update)

    def _replace(self, known: Member | None, update: Update) -> None:
        """Begin a member's new state or incarnation."""
        state = MemberState(update.state)
        member = Member(update.name, update.address, update.incarnation, state, self._now_us)
        if state is MemberState.SUSPECT:
            member.suspecters.add(update.reporter)
            self.metrics.suspected += 1
        elif state is MemberState.DEAD:
            self.metrics.died += 1
        self.table.by_name[update.name] = member
        if known is None or known.state is not state or known.incarnation != update.incarnation:
            self.changed.append(update)
        self._updates.put(update)

    @staticmethod
    def _is_same_suspicion(known: Member, update: Update) -> bool:
        is_suspicion = known.state == update.state == MemberState.SUSPECT
        return is_suspicion and update.incarnation == known.incarnation

    def _add_suspecter(self, known: Member, update: Update) -> None:
        if (
            update.reporter
            and update.reporter not in known.suspecters
            and len(known.suspecters) < MAX_SUSPECTERS
        ):
            known.suspecters.add(update.reporter)
            self._updates.put(update)

    def _refute(self, update: Update) -> None:
        """Answer an update that holds this member suspect or dead, or names a later incarnation of it."""
        is_doubted = update.state != MemberState.ALIVE and update.incarnation >= self.incarnation
        if not is_doubted and update.incarnation <= self.incarnation:
            return
        if update.incarnation >= MAX_INCARNATION:
            self.metrics.invalid += 1
            return
        self.incarnation = update.incarnation + 1
        self.metrics.refuted += 1
        self.health.adjust(1)
        self._updates.put(self._own_update())

    def _own_update(self) -> Update:
        return Update(self.name, self.address, self.incarnation, MemberState.ALIVE)

    # ---- sending

    def _send(self, to: str, message: Ping | PingRequest | Ack) -> Send:
        self.metrics.sent += 1
        updates = self._updates.take(len(self.table.by_name) + 1)
        return Send(to, msgspec.structs.replace(message, updates=updates))

    def _sync(self, to: str, answer: bool) -> Send:
        """Return this member itself and a random part of the table, dead ones too: none is revived by it."""
        self.metrics.sent += 1
        known = sorted(self.table.by_name)
        picked = self._random.sample(known, min(self.timing.sync_members, len(known)))
        part = [self.table.by_name[name].as_update() for name in picked]
        return Send(to, Sync(answer, [self._own_update(), *part]))
