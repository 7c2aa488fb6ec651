"""One limiter's view of the live limiters. Pure: driven by messages and a clock.

The protocol is SWIM (Das, Gupta, Motivala 2002). Each period one member is probed, in shuffled rounds. A
member that does not acknowledge is probed indirectly through a few others; if that fails too, it is
suspected, and declared dead unless it refutes the suspicion in time. Updates are piggybacked on probes and
acks. Lifeguard (Dadgar, Phillips, Currey 2017) adds two things: a member that misses acks considers itself
less healthy and lengthens its time-outs, and a suspicion times out sooner the more members share it.

    ALIVE <------------------(ALIVE with a higher incarnation)------------------------+
      |                                                        |                      |
      +--(probes fail, or another member suspects it)--> SUSPECT --(not refuted)--> DEAD --> removed

A suspicion times out at `MemberTable.suspicion_ends_us`; a dead member is kept for `dead_retention_us`.

The host passes each message to `on_message`, calls `on_timer` at `next_wakeup_us` or later, and sends the
messages that both return. Times are integer microseconds of the local clock; clocks need not be
synchronized. All randomness comes from the `random.Random` argument, so equal events give equal messages.
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
# An update that names this incarnation or a higher one for this member is counted as invalid and ignored. A
# refutation needs a higher incarnation than the update, and without a limit none might be left.
MAX_INCARNATION = 1 << 62


@dataclass(slots=True)
class MemberMetrics:
    """Counters of one member since its start."""

    sent: int = 0  # messages
    received: int = 0  # messages
    refuted: int = 0  # updates that called this member suspect or dead, or named a later incarnation of it
    suspected: int = 0  # transitions of other members to SUSPECT
    died: int = 0  # transitions of other members to DEAD
    invalid: int = 0  # updates with values out of range


class Members:
    """The membership state of one limiter.

    `alive()` returns the members considered alive, including this one. `unreported_changes` collects changes
    of the state or incarnation of other members until the host clears it.
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
        """Start as the only member.

        Args:
            name: Name of this member.
            address: Address at which others reach this member.
            incarnation: Must exceed that of every earlier process of this name; the start time in ms does.
            now_us: Current time on the local clock.
            random: Source of all randomness.
            timing: Protocol parameters; must be the same at all members.
        """
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.timing = timing or Timing()
        self.unreported_changes: list[Update] = []
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

    # ---- called by the host

    def join(self, addresses: list[str]) -> list[Send]:
        """Return the messages that contact the members at these addresses.

        Addresses that are not in the table yet are contacted again from time to time.
        """
        self._seeds = [each for each in addresses if each != self.address]
        return [self._sync(each, False) for each in self._seeds]

    def alive(self) -> list[str]:
        """Return the sorted names of all members that are alive or suspected, including this one."""
        return sorted([self.name, *self.table.not_dead_names()])

    def considers_dead(self, name: str) -> bool:
        """Return whether the member is known and its state is DEAD."""
        member = self.table.by_name.get(name)
        return member is not None and member.state is MemberState.DEAD

    @property
    def next_wakeup_us(self) -> int:
        """Time at which `on_timer` is due next."""
        suspects = self.table.with_state(MemberState.SUSPECT)
        times = [self._next_sync_us, *self.failure_detector.wake_times_us()]
        return min(times + [self.table.suspicion_ends_us(member) for member in suspects])

    def on_timer(self, now_us: int) -> list[Send]:
        """Handle the probes, time-outs and syncs that are due at `now_us`; return the messages to send."""
        self._now_us = max(self._now_us, now_us)
        sends = self.failure_detector.on_timer(self._now_us)
        self._expire_members()
        sends += self.failure_detector.expire_relayed(self._now_us)
        if self._now_us >= self._next_sync_us:
            sends += self._start_sync()
        return sends

    def on_message(self, now_us: int, source: str, message: Message) -> list[Send]:
        """Handle a message received from the address `source`; return the messages to send."""
        self._now_us = max(self._now_us, now_us)
        self.metrics.received += 1
        incarnation_before = self.incarnation
        # A Sync carries at most `sync_members` updates and the sender's own; any further ones are ignored.
        limit = max(self.timing.updates_per_message, self.timing.sync_members) + 1
        for update in message.updates[:limit]:
            self._apply(update)
        if isinstance(message, Ping):
            return [self._send(source, Ack(message.number))] if message.name == self.name else []
        if isinstance(message, PingRequest):
            return self.failure_detector.on_ping_request(self._now_us, source, message)
        if isinstance(message, Ack):
            return self.failure_detector.on_ack(message)
        # A reply is answered too if it made this member refute its death: the sender then learns at once that
        # this member is alive, and the two sides of a healed partition need no second exchange.
        has_refuted = self.incarnation != incarnation_before
        return [self._sync(source, True)] if not message.is_reply or has_refuted else []

    # ---- timers

    def _expire_members(self) -> None:
        """Declare dead the members whose suspicion has timed out; remove those whose retention is over."""
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
        return is_dead and self._now_us - member.state_since_us > self.timing.dead_retention_us

    def _start_sync(self) -> list[Send]:
        """Send a Sync to a random address, and schedule the next one after 0.5 to 1.5 times the interval."""
        interval_us = self.timing.sync_interval_us
        self._next_sync_us = self._now_us + round(interval_us * (0.5 + self._random.random()))
        # Candidates include dead members, so that the sides of a healed partition find each other, and seeds
        # not yet in the table, so that groups started before their seeds find each other.
        known = [member.address for member in self.table]
        pending_seeds = [each for each in self._seeds if each not in known]
        addresses = pending_seeds if pending_seeds and (not known or self._random.random() < 0.5) else known
        return [self._sync(self._random.choice(addresses), False)] if addresses else []

    # ---- updates

    def _suspect(self, member: Member) -> None:
        self._report(member, MemberState.SUSPECT)

    def _report(self, member: Member, state: MemberState) -> None:
        """Apply this member's own verdict on another member."""
        self._apply(Update(member.name, member.address, member.incarnation, state, self.name))

    def _apply(self, update: Update) -> None:
        """Apply an update on a member, if it overrides what is known of the member (SWIM, section 4.2)."""
        is_name_valid = 0 < len(update.name) <= MAX_NAME_LENGTH
        if not is_name_valid or update.state not in (0, 1, 2) or update.incarnation < 0:
            self.metrics.invalid += 1
            return
        if update.name == self.name:
            self._refute(update)
            return
        known = self.table.by_name.get(update.name)
        if known is None:
            if update.state == MemberState.DEAD or len(self.table.by_name) >= MAX_MEMBERS:
                return  # the death of an unknown member changes nothing, and a full table accepts no new one
        elif self._is_same_suspicion(known, update):
            self._add_suspecter(known, update)
            return
        elif (update.incarnation, update.state) <= (known.incarnation, known.state):
            return
        self._replace(known, update)

    def _replace(self, known: Member | None, update: Update) -> None:
        """Store a new state or incarnation of a member, and queue the update for dissemination."""
        state = MemberState(update.state)
        member = Member(update.name, update.address, update.incarnation, state, self._now_us)
        if state is MemberState.SUSPECT:
            member.suspecters.add(update.reporter)
            self.metrics.suspected += 1
        elif state is MemberState.DEAD:
            self.metrics.died += 1
        self.table.by_name[update.name] = member
        if known is None or known.state is not state or known.incarnation != update.incarnation:
            self.unreported_changes.append(update)
        self._updates.put(update)

    @staticmethod
    def _is_same_suspicion(known: Member, update: Update) -> bool:
        """Return whether the update suspects a member that is already suspected in the same incarnation."""
        is_suspicion = known.state == update.state == MemberState.SUSPECT
        return is_suspicion and update.incarnation == known.incarnation

    def _add_suspecter(self, known: Member, update: Update) -> None:
        """Record the reporter of a suspicion, and queue the update if this reporter was not recorded yet."""
        if (
            update.reporter
            and update.reporter not in known.suspecters
            and len(known.suspecters) < MAX_SUSPECTERS
        ):
            known.suspecters.add(update.reporter)
            self._updates.put(update)

    def _refute(self, update: Update) -> None:
        """Refute an update that calls this member suspect or dead, or names a later incarnation of it."""
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
        """Count a message to the address `to`, and return it with queued updates attached."""
        self.metrics.sent += 1
        updates = self._updates.take(len(self.table.by_name) + 1)
        return Send(to, msgspec.structs.replace(message, updates=updates))

    def _sync(self, to: str, is_reply: bool) -> Send:
        """Return a Sync with this member and a random sample of the table.

        The sample includes dead members, so that the receiver does not revive them.
        """
        self.metrics.sent += 1
        names = sorted(self.table.by_name)
        sampled_names = self._random.sample(names, min(self.timing.sync_members, len(names)))
        sample = [self.table.by_name[name].as_update() for name in sampled_names]
        return Send(to, Sync(is_reply, [self._own_update(), *sample]))
