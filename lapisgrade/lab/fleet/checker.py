"""What a history shows: rules broken over all processes, and the figures of docs/lab-fleet.md. Pure: events
in, `Findings` out; no clock, no I/O, and no memory of operations past their time.

What only the limiter knows is not seen here: a hop counts from its arrival at the server, a list from the
agent's answer. `AFTER_US` is the leeway for that, and for a busy machine: it is far longer than either takes,
and far shorter than what a defect shows. A limiter that was killed or stopped answers for nothing that it
held then.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from lapisgrade.interface import Category, DeduplicationScope, Plan, RepeatSafety
from lapisgrade.lab import quota
from lapisgrade.lab.fleet import history as h
from lapisgrade.settings import flatten, read_categories, read_plans, read_server_rules

SECOND = 1_000_000
GRACE_US = 500_000  # the protocol's figure: past its time an answer is late for so long, then it is lost
AFTER_US = 1 * SECOND  # between what a limiter does and what is seen of it elsewhere
BIN_US = 100_000  # of the series: goodput and calls are counted in bins of this
FULL_SHARE, FULL_US = 0.95, 2 * SECOND  # full service: this share of the goodput before, over this long
BEFORE_US = 5 * SECOND  # "before the fault" is this long, or what there is
MOST_KEPT = 200  # breaches kept in full; the rest are counted
ENDS = ("finished", "turned back", "given up", "broken", "none")
CALLS = ("counter", "discovery", "servers", "connections")


class Breach(msgspec.Struct):
    """`rule` is 1, 2, 3, 5, or 0 for a bound that the scenario states."""

    rule: int
    what: str
    op: str = ""
    at_s: float = 0.0


class FaultSeen(msgspec.Struct):
    """A fault in s from the play's start, and s until full service after its end; None: not within the
    play."""

    what: str
    target: str
    began_s: float
    ended_s: float
    full_service_s: float | None = None


class Findings(msgspec.Struct):
    """All that was found in one play."""

    name: str = ""
    seed: int = 0
    limiters: int = 0
    seconds: float = 0.0
    ends: dict[str, int] = msgspec.field(default_factory=lambda: dict.fromkeys(ENDS, 0))
    exempt: int = 0  # of these, tries whose limiter was killed or stopped while it held them, without answer
    broken: int = 0
    breaches: list[Breach] = []
    quotas: dict[str, dict[str, float]] = {}  # by plan: figures of lab/quota.py
    over: dict[str, float] = {}  # by customer: worst units over in any window
    over_bound: float | None = None
    faults: list[FaultSeen] = []
    # by kind of call: the highest 100 ms after the first fault, over the mean
    stampede: dict[str, float] = {}
    staleness_s: float = 0.0  # the longest after a server's leaving that a hop came to it
    goodput: list[int] = []  # finished in each bin
    calls: dict[str, list[int]] = {}  # in each bin
    share: dict[int, int] = {}  # tries by limiter

    @property
    def ok(self) -> bool:
        return not self.broken


@dataclass(slots=True)
class Try:
    """One try of an operation, while it can still go wrong."""

    sent: h.Sent
    answered: h.Answered | None = None
    came: list[h.Came] = field(default_factory=list)
    hurt: bool = False  # its limiter was killed or stopped while it may have held it


@dataclass(slots=True)
class Down:
    """A limiter's process: whether it is up, and whether it is stopped."""

    down: bool = False
    paused: bool = False
    resumed: int = 0  # when it last went on


class Checker:
    """`see` each event by time, then `end`."""

    def __init__(self) -> None:
        self.found = Findings()
        self._categories: dict[str, Category] = {}
        self._plans: dict[str, Plan] = {}
        self._begun = self._ended = 0
        self._grace_us = self._leeway_us = 0
        self._tries: dict[str, Try] = {}
        self._due: deque[tuple[int, str]] = deque()  # (when it can go, op); nearly by time
        # by origin: hops that ran, as long as a repeat would count
        self._effects: dict[str, list[h.Came]] = {}
        self._forget: deque[tuple[int, str]] = deque()
        # Tries that a stopped limiter may still read when it goes on, long after their clients have left.
        self._excused: set[str] = set()
        self._lives: dict[int, Down] = {}
        self._told: dict[tuple[int, str], h.Told] = {}
        self._left: dict[str, int] = {}  # server: since when it is leaving or gone
        self._ceilings: dict[str, quota.Store] = {}
        self._quotas: dict[str, quota.Quota] = {}
        self._plan_of: dict[str, str] = {}
        self._open_faults: dict[tuple[str, str], FaultSeen] = {}
        self._see = {
            h.Begin: self._begin,
            h.Sent: self._sent,
            h.Answered: self._answered,
            h.Came: self._came,
            h.Fact: self._fact,
            h.Told: self._tell,
            h.Fault: self._fault,
            h.Life: self._life,
            h.End: self._end,
            h.Counted: lambda event: self._call("counter", event.at),
            h.Asked: lambda event: self._call("discovery", event.at),
            h.Opened: lambda event: self._call("connections", event.at),
        }

    def see(self, event: h.Event) -> None:
        while self._due and self._due[0][0] <= event.at:
            self._let_go(self._due.popleft()[1])
        while self._forget and self._forget[0][0] <= event.at:
            self._effects.pop(self._forget.popleft()[1], None)
        self._see[type(event)](event)

    def end(self) -> Findings:
        """Everything has been seen."""
        while self._due:
            self._let_go(self._due.popleft()[1])
        found = self.found
        found.over = {name: each.over for name, each in self._quotas.items()}
        for plan in self._plans:
            mine = [each for name, each in self._quotas.items() if self._plan_of[name] == plan]
            if mine:
                found.quotas[plan] = quota.summary(mine, found.seconds)
        worst = max(found.over, key=found.over.get, default="")
        if found.over_bound is not None and worst and found.over[worst] > found.over_bound:
            what = f"customer {worst} got {found.over[worst]:.1f} units over in a window"
            what += f", the stated bound is {found.over_bound:.1f}"
            found.broken += 1
            found.breaches.insert(0, Breach(0, what, "", found.seconds))  # first: never among those left out
        bins = max(1, ((self._ended or self._begun) - self._begun) // BIN_US)
        for series in (found.goodput, *found.calls.values()):
            del series[bins:]
            series.extend([0] * (bins - len(series)))
        self._after_faults(bins)
        return found

    # ---- figures

    def _after_faults(self, bins: int) -> None:
        found = self.found
        if not found.faults:
            return
        first = min(bins, int(min(each.began_s for each in found.faults) * SECOND / BIN_US))
        since = max(0, first - BEFORE_US // BIN_US)
        before = found.goodput[since:first]
        mean, width = sum(before) / max(1, len(before)), FULL_US // BIN_US
        for fault in found.faults:
            starts = -(-int(fault.ended_s * SECOND) // BIN_US)
            for at in range(starts, bins - width + 1):
                if sum(found.goodput[at : at + width]) >= FULL_SHARE * mean * width:
                    fault.full_service_s = max(0.0, at * BIN_US / SECOND - fault.ended_s)
                    break
        for kind, series in found.calls.items():
            usual = sum(series[since:first]) / max(1, first - since)
            found.stampede[kind] = max(series[first:], default=0) / usual if usual else 0.0

    def _count(self, series: list[int], at: int) -> None:
        place = (at - self._begun) // BIN_US
        if self._begun and place >= 0 and not (self._ended and at > self._ended):
            series.extend([0] * (place + 1 - len(series)))
            series[place] += 1

    def _call(self, kind: str, at: int) -> None:
        self._count(self.found.calls.setdefault(kind, []), at)

    def _breach(self, rule: int, what: str, op: str, at: int) -> None:
        self.found.broken += 1
        if len(self.found.breaches) < MOST_KEPT:
            self.found.breaches.append(Breach(rule, what, op, (at - self._begun) / SECOND))

    # ---- events

    def _begin(self, event: h.Begin) -> None:
        found, info = self.found, flatten(event.settings)
        found.name, found.seed, found.limiters = event.name, event.seed, event.limiters
        found.seconds, found.over_bound = event.seconds, event.over_bound
        found.calls = {kind: [] for kind in CALLS}  # what came before the play is not counted
        self._categories = {each.name: each for each in read_categories(info)}
        self._plans = {each.name: each for each in read_plans(info)}
        self._begun, self._grace_us = event.at, read_server_rules(info).drain_grace_us
        self._leeway_us = AFTER_US + event.leeway_us

    def _sent(self, event: h.Sent) -> None:
        self._tries[event.op] = each = Try(event)
        life = self._lives.get(event.limiter)
        each.hurt = life is not None and (life.down or life.paused)
        self._due.append((event.ends + GRACE_US + self._leeway_us, event.op))
        self.found.share[event.limiter] = self.found.share.get(event.limiter, 0) + 1
        self._quota(event).asked(event.units, event.at)

    def _quota(self, sent: h.Sent) -> quota.Quota:
        kept = self._quotas.get(sent.customer)
        if kept is None:
            plan = self._plans[sent.plan]
            kept = self._quotas[sent.customer] = quota.Quota(plan.rate, plan.burst, self._begun)
            self._plan_of[sent.customer] = sent.plan
        return kept

    def _answered(self, event: h.Answered) -> None:
        each = self._tries.get(event.op)
        if each is None:
            return
        if each.answered is not None:
            self._breach(1, "a second final answer", event.op, event.at)
            return
        each.answered = event
        if event.how == "finished":
            self._count(self.found.goodput, event.at)
            self._quota(each.sent).let_in(each.sent.units, event.at)

    def _came(self, event: h.Came) -> None:
        self._call("servers", event.at)
        if event.server in self._left:
            stale_s = (event.at - self._left[event.server]) / SECOND
            self.found.staleness_s = max(self.found.staleness_s, stale_s)
        each = self._tries.get(event.op)
        if each is None:
            if event.op not in self._excused:
                what = f"sent to {event.server} long after its time, or never taken"
                self._breach(1, what, event.op, event.at)
            return
        answered, sent = each.answered, each.sent
        over = min(answered.at if answered is not None else sent.ends, sent.ends)
        if event.at > over + self._leeway_us and not each.hurt:
            self._breach(1, f"sent to {event.server} {event.at - over} us after its end", event.op, event.at)
        self._late(each, event)
        if not each.came:
            self._ceiling(sent, event.at)
        each.came.append(event)
        if event.ran:
            self._ran(each, event)

    def _ran(self, each: Try, event: h.Came) -> None:
        """Rule 2, over all tries of one operation of a client."""
        sent, category = each.sent, self._categories[each.sent.category]
        if category.repeat_safety is RepeatSafety.IDEMPOTENT:
            return
        effects = self._effects.get(sent.origin)
        if effects is None:
            effects = self._effects[sent.origin] = []
            keep = category.timeout_us * 4 + category.deduplication_window_us + self._leeway_us
            self._forget.append((event.at + keep, sent.origin))
        effects.append(event)
        if len(effects) < 2:
            return
        first = effects[0]
        if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
            self._breach(2, f"ran at {first.server} and again at {event.server}", event.op, event.at)
        elif (
            category.deduplication_scope is DeduplicationScope.ALL
            and event.at > first.at + category.deduplication_window_us + self._leeway_us
        ):
            self._breach(
                2,
                f"ran at {first.server}, and again at {event.server} when its key was forgotten",
                event.op,
                event.at,
            )

    def _late(self, each: Try, event: h.Came) -> None:
        """Rule 3."""
        told = self._told.get((each.sent.limiter, event.server))
        if told is None or told.state == "in_service":
            return
        life = self._lives.get(each.sent.limiter, Down())
        if life.paused or life.resumed > told.at:
            return  # it was stopped in between: it read the list when it went on
        if event.at > told.at + self._grace_us + self._leeway_us:
            self._breach(
                3,
                f"sent to {event.server} {event.at - told.at} us after limiter "
                f"{each.sent.limiter} was told that it is {told.state}",
                event.op,
                event.at,
            )

    def _ceiling(self, sent: h.Sent, at: int) -> None:
        """Rule 5: the first hop of each try takes its units."""
        plan = self._plans[sent.plan]
        if plan.rate_limit_per_s <= 0:
            return
        store = self._ceilings.get(sent.customer)
        if store is None:
            # The slack, and what came late by the leeway, is room below nothing.
            room = plan.rate_limit_slack + plan.rate_limit_per_s * (self._leeway_us - AFTER_US) / SECOND
            full = plan.rate_limit_burst + room
            store = self._ceilings[sent.customer] = quota.Store(
                plan.rate_limit_per_s, full, full, self._begun
            )
        if not store.take(sent.units, at):
            self._breach(
                5, f"the ceiling of customer {sent.customer} was passed by more than its slack", sent.op, at
            )
            store.level -= sent.units

    def _fact(self, event: h.Fact) -> None:
        if event.state == "in_service":
            self._left.pop(event.server, None)
        else:
            self._left.setdefault(event.server, event.at)

    def _tell(self, event: h.Told) -> None:
        old = self._told.get((event.limiter, event.server))
        # Told again of what it knows, or that one that drains is gone, it still knows since the first time.
        if old is None or event.state == "in_service" or old.state == "in_service":
            self._told[event.limiter, event.server] = event

    def _fault(self, event: h.Fault) -> None:
        at_s = (event.at - self._begun) / SECOND
        key = event.what, event.target
        if event.on:
            seen = self._open_faults[key] = FaultSeen(event.what, event.target, at_s, at_s)
            self.found.faults.append(seen)
        elif key in self._open_faults:
            self._open_faults.pop(key).ended_s = at_s

    def _life(self, event: h.Life) -> None:
        life = self._lives.setdefault(event.limiter, Down())
        if event.what in ("killed", "ended"):
            life.down = True
        elif event.what == "up":
            life.down = life.paused = False
            for key in [key for key in self._told if key[0] == event.limiter]:
                del self._told[key]
        elif event.what == "paused":
            life.paused = True
        elif event.what == "resumed":
            life.paused, life.resumed = False, event.at
        if life.down or life.paused:
            for each in self._tries.values():
                if each.sent.limiter == event.limiter and each.answered is None:
                    each.hurt = True

    def _end(self, event: h.End) -> None:
        self._ended = event.at

    def _let_go(self, op: str) -> None:
        """Its time and all leeway are over: what can be said of it now is final."""
        each = self._tries.pop(op, None)
        if each is None:
            return
        if each.hurt:
            self._excused.add(op)
        how = each.answered.how if each.answered is not None else "none"
        self.found.ends[how] += 1
        sent, category = each.sent, self._categories[each.sent.category]
        if how in ("none", "broken"):
            if each.hurt:
                self.found.exempt += 1
            else:
                what = "no answer in time" if how == "none" else "its connection ended without an answer"
                self._breach(1, f"{what} (limiter {sent.limiter})", op, sent.ends)
        if (
            how == "turned back"
            and category.repeat_safety is RepeatSafety.NON_IDEMPOTENT
            and any(c.ran for c in each.came)
        ):
            self._breach(2, f"turned back after it ran at {each.came[0].server}", op, each.answered.at)


def check(events) -> Findings:
    """The findings of a whole history, by time."""
    checker = Checker()
    for event in events:
        checker.see(event)
    return checker.end()
