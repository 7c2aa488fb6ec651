"""One limiter's view of which limiters live: pure, fed messages and a clock, handing out messages and a
time to wake.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, in a shuffled round; one that does not
answer is probed through a few others; one that nobody reaches is suspected, and dead once nothing refuted
that in time. News of this rides on the probes and their answers. Lifeguard (Dadgar, Phillips, Currey
2017): a member that misses answers thinks less of its own health, and is slower to judge; a suspicion runs
out sooner the more members share it.

Whoever hosts a `Members` hands it each message with `heard`, calls `due` at `wakes_us` or later, and sends
what both return. Times are whole microseconds of its own clock; nothing here needs clocks to agree. Chance
comes from the `random.Random` that is handed in: the same events give the same messages.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

import msgspec

SECOND = 1_000_000


class State(IntEnum):
    """Of one incarnation, the later overrides the earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class News(msgspec.Struct, array_like=True, frozen=True):
    """What one member says of another. `by` is who suspects it; news of death names who said so first."""

    name: str
    address: str
    incarnation: int
    state: int
    by: str = ""


class Ping(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """Answer this. `name` is who is meant: a process that took over an address does not answer for the
    last."""

    number: int
    name: str
    news: list[News] = []


class Ask(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Probe that member for me, and pass its answer on."""

    number: int
    name: str
    address: str
    news: list[News] = []


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """I live, or the one you asked about does. `missed` says that an asked-for probe got no answer in
    time."""

    number: int
    missed: bool = False
    news: list[News] = []


class Sync(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """A part of what I know; tell me yours, unless this is the answer already."""

    answer: bool
    news: list[News] = []


Message = Ping | Ask | Ack | Sync


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in us. With the defaults a member of ten is found dead within a second or two."""

    period_us: int = 200_000  # between probes
    answer_us: int = 80_000  # a probe unanswered so long is asked of others; below the period
    others: int = 3  # members that are asked to probe instead
    suspicion: float = 4.0  # periods x log10 of the members (1 at least): the least that a suspicion lasts
    slowest: float = 6.0  # times the least: a suspicion that nobody shares lasts that
    worst_health: int = 8  # Lifeguard's bound on the own health's count
    spread: float = 4.0  # times log10 of the members: how often a piece of news is passed on
    news_a_message: int = 8  # pieces; a datagram holds them
    sync_us: int = 2 * SECOND  # between full exchanges, a slice of the table each
    slice: int = 24  # members in one exchange
    forget_us: int = 120 * SECOND  # a dead member is tried now and then for so long: halves meet again


@dataclass(slots=True)
class Member:
    """One other limiter as this one sees it."""

    name: str
    address: str
    incarnation: int
    state: State
    since_us: int  # when it came to this state, here
    suspects: set[str] = field(default_factory=set)  # who suspects it, as far as heard


@dataclass(slots=True)
class Probe:
    """A probe under way."""

    target: str
    number: int
    asks_at_us: int  # when others are asked; past that, 0
    ends_us: int
    asked: int = 0
    missed: int = 0  # of those asked, who said that they got no answer either


@dataclass(slots=True)
class Relayed:
    """A probe made for another."""

    asker: str  # address
    number: int  # the asker's
    says_missed_at_us: int


@dataclass(frozen=True, slots=True)
class Send:
    to: str  # address
    message: Message


MOST_MEMBERS = 10_000  # a flood of names made up holds no more of us
MOST_RELAYED = 64  # probes for others under way at once
MOST_NAME = 64  # characters


class Members:
    """`alive()` is who is thought to live, this one among them; `changed` holds what changed since it was
    read."""

    def __init__(
        self,
        name: str,
        address: str,
        incarnation: int,
        now_us: int,
        random: Random,
        pace: Pace | None = None,
    ) -> None:
        """`incarnation` must be higher than in any earlier life of the name, as a start time in ms is."""
        self.name, self.address, self.incarnation = name, address, incarnation
        self.pace, self.random, self.now = pace or Pace(), random, now_us
        self.members: dict[str, Member] = {}
        self.health = 0  # 0 well; each missed answer makes it worse
        self.changed: list[News] = []
        self.counts = dict.fromkeys(("sent", "heard", "refuted", "suspected", "died", "strange"), 0)
        self._round: list[str] = []
        self._probe: Probe | None = None
        self._relayed: dict[int, Relayed] = {}
        self._number = random.getrandbits(31)
        self._news: dict[str, tuple[News, int]] = {}  # what is passed on, and how often it was
        self._next_probe = now_us + round(random.random() * self.pace.period_us)
        self._next_sync = now_us + round(random.random() * self.pace.sync_us)
        self._seeds: list[str] = []

    # ---- what the host does

    def join(self, addresses: list[str]) -> list[Send]:
        """Meet the members at these addresses; again now and then until one has answered."""
        self._seeds = [each for each in addresses if each != self.address]
        return [self._sync(each, False) for each in self._seeds]

    def alive(self) -> list[str]:
        """Names of the members that live or are only suspected, this one among them, in order."""
        live = [each.name for each in self.members.values() if each.state is not State.DEAD]
        return sorted([self.name, *live])

    @property
    def wakes_us(self) -> int:
        """When `due` is to be called next, at the latest."""
        times = [self._next_probe, self._next_sync]
        if self._probe is not None:
            times.append(self._probe.asks_at_us or self._probe.ends_us)
        times += [each.says_missed_at_us for each in self._relayed.values()]
        times += [self._ends(each) for each in self.members.values() if each.state is State.SUSPECT]
        return min(times)

    def due(self, now_us: int) -> list[Send]:
        """The clock has come to `now_us`."""
        self.now = max(self.now, now_us)
        out = self._probing()
        for member in list(self.members.values()):
            if member.state is State.SUSPECT and self.now >= self._ends(member):
                self._learn(News(member.name, member.address, member.incarnation, State.DEAD, self.name))
            elif member.state is State.DEAD and self.now - member.since_us > self.pace.forget_us:
                del self.members[member.name]
                self._news.pop(member.name, None)
        for number, each in list(self._relayed.items()):
            if self.now >= each.says_missed_at_us:
                del self._relayed[number]
                out.append(self._send(each.asker, Ack(each.number, True)))
        if self.now >= self._next_sync:
            self._next_sync = self.now + self._spread_out(self.pace.sync_us)
            # Dead ones too, and seeds never met: two halves of a partition that is healed meet this way, and
            # two groups whose seeds were not up yet when they started.
            known = [each.address for each in self.members.values()]
            unmet = [each for each in self._seeds if each not in known]
            places = unmet if unmet and (not known or self.random.random() < 0.5) else known
            if places:
                out.append(self._sync(self.random.choice(places), False))
        return out

    def heard(self, now_us: int, source: str, message: Message) -> list[Send]:
        """A message came from the address `source`."""
        self.now = max(self.now, now_us)
        self.counts["heard"] += 1
        said = self.incarnation
        for each in message.news[: max(self.pace.news_a_message, self.pace.slice) + 1]:
            self._learn(each)
        if isinstance(message, Ping):
            return [self._send(source, Ack(message.number))] if message.name == self.name else []
        if isinstance(message, Ask):
            return self._ask(source, message)
        if isinstance(message, Ack):
            return self._ack(message)
        # One that holds us dead hears at once that we live: halves that meet again need no second round.
        return [self._sync(source, True)] if not message.answer or self.incarnation != said else []

    # ---- probing

    def _probing(self) -> list[Send]:
        out: list[Send] = []
        probe = self._probe
        if probe is not None and probe.asks_at_us and self.now >= probe.asks_at_us:
            probe.asks_at_us = 0
            target = self.members.get(probe.target)
            others = [
                each
                for each in self.members.values()
                if each.state is State.ALIVE and each.name != probe.target
            ]
            if target is not None:
                for other in self.random.sample(others, min(self.pace.others, len(others))):
                    probe.asked += 1
                    out.append(self._send(other.address, Ask(probe.number, target.name, target.address)))
                # Once more itself: one lost datagram is no sign.
                out.append(self._send(target.address, Ping(probe.number, target.name)))
        if probe is not None and self.now >= probe.ends_us:
            self._probe = None
            target = self.members.get(probe.target)
            # Those asked who did not even say that they got no answer: it is this member that is cut off or
            # slow.
            silent = probe.asked - probe.missed
            self._feel(silent if probe.asked else 1)
            # Where others suspect it already, this is a voice more.
            if target is not None and target.state is not State.DEAD:
                self._learn(News(target.name, target.address, target.incarnation, State.SUSPECT, self.name))
        if self.now >= self._next_probe:
            self._next_probe = self.now + self._slowed(self.pace.period_us)
            target = self._next()
            if target is not None and self._probe is None:
                self._number = (self._number + 1) % (1 << 31)
                self._probe = Probe(
                    target.name,
                    self._number,
                    self.now + self._slowed(self.pace.answer_us),
                    self.now + self._slowed(self.pace.period_us),
                )
                out.append(self._send(target.address, Ping(self._number, target.name)))
        return out

    def _next(self) -> Member | None:
        """The next of a shuffled round over those not dead: each is probed once a round."""
        while True:
            if not self._round:
                live = (each.name for each in self.members.values() if each.state is not State.DEAD)
                self._round = sorted(live)
                self.random.shuffle(self._round)
                if not self._round:
                    return None
            member = self.members.get(self._round.pop())
            if member is not None and member.state is not State.DEAD:
                return member

    def _ask(self, source: str, message: Ask) -> list[Send]:
        if len(self._relayed) >= MOST_RELAYED:
            return []
        self._number = (self._number + 1) % (1 << 31)
        wait = self.pace.answer_us * 4 // 5  # its word must come before the asker's time is up
        self._relayed[self._number] = Relayed(source, message.number, self.now + wait)
        return [self._send(message.address, Ping(self._number, message.name))]

    def _ack(self, message: Ack) -> list[Send]:
        relayed = self._relayed.pop(message.number, None)
        if relayed is not None:
            return [self._send(relayed.asker, Ack(relayed.number))]
        probe = self._probe
        if probe is not None and message.number == probe.number:
            if message.missed:
                probe.missed += 1
            else:
                self._probe = None
                self._feel(-1)
        return []

    # ---- health and time

    def _feel(self, worse: int) -> None:
        self.health = max(0, min(self.pace.worst_health, self.health + worse))

    def _slowed(self, us: int) -> int:
        return us * (1 + self.health)

    def _spread_out(self, us: int) -> int:
        return round(us * (0.5 + self.random.random()))

    def _tenfold(self) -> float:
        return max(1.0, math.log10(max(1, len(self.members) + 1)))

    def _ends(self, member: Member) -> int:
        """When a suspicion becomes a death, here: the sooner the more share it (Lifeguard)."""
        pace = self.pace
        least = pace.suspicion * self._tenfold() * pace.period_us
        wanted = max(1, min(pace.others, len(self.members) - 2))  # others' voices that make it certain
        shared = math.log(len(member.suspects)) / math.log(wanted + 1) if member.suspects else 0.0
        lasts = max(least, least * (pace.slowest - (pace.slowest - 1) * shared))
        return member.since_us + round(lasts)

    # ---- news

    def _learn(self, news: News) -> None:
        """Take in what somebody says of a member."""
        if not 0 < len(news.name) <= MOST_NAME or news.state not in (0, 1, 2) or news.incarnation < 0:
            self.counts["strange"] += 1
            return
        if news.name == self.name:
            self._of_us(news)
            return
        old = self.members.get(news.name)
        if old is None:
            if news.state == State.DEAD or len(self.members) >= MOST_MEMBERS:
                return  # nothing is known that it could end
        elif old.state == news.state == State.SUSPECT and news.incarnation == old.incarnation:
            if news.by and news.by not in old.suspects and len(old.suspects) < MOST_RELAYED:
                old.suspects.add(news.by)
                self._pass_on(news)
            return
        elif (news.incarnation, news.state) <= (old.incarnation, old.state):
            return
        state = State(news.state)
        member = Member(news.name, news.address, news.incarnation, state, self.now)
        if state is State.SUSPECT:
            member.suspects.add(news.by)
            self.counts["suspected"] += 1
        elif state is State.DEAD:
            self.counts["died"] += 1
        self.members[news.name] = member
        if old is None or old.state is not state or old.incarnation != news.incarnation:
            self.changed.append(news)
        self._pass_on(news)

    def _of_us(self, news: News) -> None:
        """Somebody thinks ill of us, or speaks of an earlier life: say louder that we live."""
        ill = news.state != State.ALIVE and news.incarnation >= self.incarnation
        if not ill and news.incarnation <= self.incarnation:
            return
        # A lie may name any incarnation: one that leaves no room above it is not followed.
        if news.incarnation >= (1 << 62):
            self.counts["strange"] += 1
            return
        self.incarnation = news.incarnation + 1
        self.counts["refuted"] += 1
        self._feel(1)
        self._pass_on(self._self())

    def _self(self) -> News:
        return News(self.name, self.address, self.incarnation, State.ALIVE)

    def _pass_on(self, news: News) -> None:
        # One voice of a suspicion is passed on in place of another: what is known of a member is one piece of
        # news.
        self._news[news.name] = (news, 0)

    def _told(self) -> list[News]:
        """The news for one message: what was passed on least, first."""
        times = math.ceil(self.pace.spread * self._tenfold())
        chosen = sorted(self._news, key=lambda name: (self._news[name][1], name))[: self.pace.news_a_message]
        told = []
        for name in chosen:
            news, passed = self._news[name]
            told.append(news)
            if passed + 1 >= times:
                del self._news[name]
            else:
                self._news[name] = (news, passed + 1)
        return told

    def _send(self, to: str, message: Ping | Ask | Ack) -> Send:
        self.counts["sent"] += 1
        return Send(to, msgspec.structs.replace(message, news=self._told()))

    def _sync(self, to: str, answer: bool) -> Send:
        """Ourselves, and a slice of the table drawn by chance; dead ones too, so that an old name is not
        revived."""
        self.counts["sent"] += 1
        known = sorted(self.members)
        picked = self.random.sample(known, min(self.pace.slice, len(known)))
        table = [self._as_news(self.members[name]) for name in picked]
        return Send(to, Sync(answer, [self._self(), *table]))

    @staticmethod
    def _as_news(member: Member) -> News:
        by = min(member.suspects, default="")
        return News(member.name, member.address, member.incarnation, member.state, by)


def detection_us(pace: Pace, members: int, lost: float = 0.0, slow: int = 0) -> dict[str, float]:
    """The stated bounds of docs/design/membership.md, in us, for a member that dies among `members`, where
    a share `lost` of datagrams is lost and no live member's health is worse than `slow`.

    `suspected`: some member's round has come to it, at the latest; `known`: every live member that hears
    what is passed on holds it dead.
    """
    period = pace.period_us * (1 + slow)
    suspected = (2 * members - 3) * period + period
    least = pace.suspicion * max(1.0, math.log10(members)) * pace.period_us
    spreads = math.ceil(math.log(members) / math.log(2 - lost)) * period + pace.period_us
    return {"suspected": suspected, "known": suspected + pace.slowest * least + spreads}
