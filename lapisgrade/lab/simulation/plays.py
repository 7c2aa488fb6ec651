"""Plays of the control plane's worst days: drawn by seed, or one of the named courses. `play` runs one."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

from lapisgrade.lab.simulation.clients import Limiter, Operation, Operator
from lapisgrade.lab.simulation.cluster import Cluster, Machine
from lapisgrade.lab.simulation.linearizability import UNANSWERED, Event, TooLarge, first_wrong
from lapisgrade.lab.simulation.virtual_loop import SECOND, VirtualLoop
from lapisgrade.gateway.consensus import compaction, replication, snapshots

SYNC = 4.0  # s that a machine counts as lost after it is back
COMMIT = 0.5  # s in which an entry that is under way at a play's end reaches all
CALM = 8.0  # s without troubles at a play's end
SLOW_LINK = 250_000.0  # bytes a second: 2 Mbit/s


class Play:
    """A cluster, operators, limiters, and what befalls them. `wrong` says what broke."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        tolerate: int = 1,
        operators: int = 3,
        routes: int = 3,
        pause: float = 0.4,
    ) -> None:
        self.random = Random(seed)
        self.loop = VirtualLoop(Random(seed + 1))
        self.cluster = Cluster(self.loop, size)
        self.size, self.tolerate = size, tolerate
        self.history: list[Operation] = []
        self.operators = [Operator(self.cluster, i, self.history, routes, pause) for i in range(operators)]
        self.limiters = [Limiter(self.cluster, i) for i in range(2)]
        for client in (*self.operators, *self.limiters):
            client.begin(client.work())

    # ---- losses

    def lost(self) -> list[Machine]:
        """Machines that count as lost now."""
        now = self.loop.now_us
        return [each for each in self.cluster.machines.values() if not each.removed and each.lost_until > now]

    def victim(self) -> Machine | None:
        """A machine that may be lost now: often the leader, None where no more may be."""
        lost = self.lost()
        if len(lost) >= self.tolerate:
            return None
        others = [each for each in self.cluster.running() if each not in lost and not each.removed]
        leader = self.cluster.leader()
        if leader in others and self.random.random() < 0.4:
            return leader
        return self.random.choice(others) if others else None

    def lose(self, machine: Machine, seconds: float) -> None:
        machine.lost_until = self.loop.now_us + round((seconds + SYNC) * SECOND)

    def later(self, seconds: float, call: Callable, *args: object) -> None:
        self.loop.after(round(seconds * SECOND), None, call, *args)

    # ---- troubles

    def crash(self, power: bool = False, wipe: bool = False) -> None:
        machine = self.victim()
        if machine is None:
            return
        down = self.random.choice((0.05, 0.5, 1.5, 4.0))
        self.lose(machine, down)
        machine.kill(power or wipe, wipe)
        self.later(down, machine.start)

    def crash_all(self, power: bool, wipe_one: bool = False) -> None:
        """All at once; their disks stay, but for one where that may be lost."""
        wiped = self.victim() if wipe_one else None
        if wiped is not None:
            self.lose(wiped, 1.0)
        for machine in self.cluster.running():
            machine.kill(power, machine is wiped)
            self.later(0.2 + self.random.random(), machine.start)

    def cut(self, one_way: bool = False) -> None:
        machine = self.victim()
        if machine is None:
            return
        seconds = self.random.choice((0.3, 1.2, 3.0, 20.0))
        self.lose(machine, seconds)
        if one_way and self.random.random() < 0.5:
            others = [each for each in self.cluster.machines if each != machine.name]
            self.cluster.cut(others, one_way=True)  # it isn't reached, but heard
        else:
            self.cluster.cut([machine.name], one_way)
        self.later(seconds, self.cluster.heal)

    def freeze(self) -> None:
        machine = self.victim()
        if machine is not None:
            seconds = self.random.choice((0.2, 0.6, 2.0, 8.0))
            self.lose(machine, seconds)
            machine.freeze(seconds)

    def stall(self, full: bool) -> None:
        machine = self.victim()
        if machine is None:
            return
        seconds = self.random.choice((0.3, 2.0, 5.0))
        self.lose(machine, seconds)
        if full:
            self.cluster.say(f"{machine.name}: its disk is full for {seconds} s")
            machine.disk.full = True
            self.later(seconds, setattr, machine.disk, "full", False)
        else:
            self.cluster.say(f"{machine.name}: its disk stalls for {seconds} s")
            machine.disk.stalled_until = self.loop.now_us + round(seconds * SECOND)

    def slow_link(self) -> None:
        machine = self.victim()
        if machine is not None:
            self.cluster.say(f"{machine.name}: a slow link for 5 s")
            self.lose(machine, 5.0)
            self.cluster.network.rates[machine.ip] = SLOW_LINK
            self.later(5.0, self.cluster.network.rates.pop, machine.ip, None)

    def restart(self) -> None:
        """In order: told to end, and started again with its disk."""
        machine = self.victim()
        if machine is None:
            return
        self.lose(machine, 1.5)
        machine.stop()
        self.later(1.2, self._start_again, machine)

    def _start_again(self, machine: Machine) -> None:
        if not machine.removed and not machine.running:
            machine.start()

    def replace(self, planned: bool) -> None:
        """One goes for good, and an empty one comes elsewhere; planned: the new one first."""
        machine = self.victim()
        if machine is None:
            return
        self.lose(machine, 60.0)
        new = self.cluster.add()
        wait = self.random.choice((0.3, 1.0, 2.5))
        if planned:
            new.start()
            self.later(wait, self._remove, machine, new, True)
        else:
            self._remove(machine, new, False)
            self.later(wait, new.start)

    def _remove(self, machine: Machine, successor: Machine, in_order: bool) -> None:
        self.lose(successor, 1.0 if in_order else 3.0)
        if in_order:
            machine.stop()
            self.later(1.5, self._take_away, machine)
        else:
            self._take_away(machine)

    def _take_away(self, machine: Machine) -> None:
        self.cluster.say(f"{machine.name} is taken away")
        if machine.process is not None:
            machine.process.alive = False
        machine.removed = True
        self.cluster.seeds = [each.ip for each in self.cluster.machines.values() if not each.removed][:3]

    def come_back(self) -> None:
        """One whose place was taken comes back with its old disk."""
        gone = [each for each in self.cluster.machines.values() if each.removed]
        if gone:
            machine = self.random.choice(gone)
            machine.removed = False
            machine.lost_until = 0
            machine.start()

    TROUBLES = (
        ("crash", {}),
        ("crash", {"power": True}),
        ("crash", {"wipe": True}),
        ("crash_all", {"power": False}),
        ("crash_all", {"power": True}),
        ("crash_all", {"power": True, "wipe_one": True}),
        ("cut", {}),
        ("cut", {"one_way": True}),
        ("freeze", {}),
        ("stall", {"full": False}),
        ("stall", {"full": True}),
        ("slow_link", {}),
        ("restart", {}),
        ("replace", {"planned": True}),
        ("replace", {"planned": False}),
        ("come_back", {}),
    )

    # ---- a course

    def begin(self) -> bool:
        """Until the first leader has taken a change, and no machine counts as new any more."""
        begun = self.loop.run_until(lambda: bool(self.cluster.invariants.versions), 6.0)
        self.loop.run_for(SYNC)
        return begun

    def draw(self, troubles: int = 8) -> None:
        """Troubles one after another, some of them close together or right after an acknowledgement."""
        for _ in range(troubles):
            kind, more = self.random.choice(self.TROUBLES)
            if self.random.random() < 0.3:
                acked = self.acknowledged()
                self.loop.run_until(lambda acked=acked: self.acknowledged() > acked, 2.0, 0.0005)
            getattr(self, kind)(**more)
            self.loop.run_for(self.random.choice((0.02, 0.4, 1.5, 4.0)))

    def acknowledged(self) -> int:
        """Changes that were acknowledged so far."""
        return sum(each.kind == "change" and each.status == 200 for each in self.history)

    def end(self) -> None:
        """A calm end, and what must hold then."""
        calm = self.loop.now_us + round(25 * SECOND)
        while self.lost() and self.loop.now_us < calm:
            self.loop.run_for(0.5)
        self.cluster.heal()
        for machine in self.cluster.machines.values():
            machine.disk.full = False
            if not machine.running and not machine.removed:
                machine.start()
        self.loop.run_for(CALM)
        self._expect_service()
        for operator in self.operators:
            operator.process.alive = False
        self.loop.run_for(2.0)
        self.loop.run_until(self.cluster.invariants.caught_up, COMMIT)
        self.cluster.invariants.at_rest()
        self.check()
        self.loop.finish(self.cluster.processes)

    def _expect_service(self) -> None:
        """Orders are acknowledged, and all limiters follow."""
        before = self.acknowledged()
        if not self.loop.run_until(lambda: self.acknowledged() > before, 5.0):
            self.cluster.invariants.break_("no order is acknowledged after a calm time")
        since = self.loop.now_us
        for limiter in self.limiters:
            if not self.loop.run_until(lambda limiter=limiter: limiter.fresh_us > since, 4.0):
                self.cluster.invariants.break_(f"limiter {limiter.number} hears nothing after a calm time")

    def check(self) -> None:
        """The history of orders and reads against the log's own."""
        invariants = self.cluster.invariants
        for wrong in self.loop.errors[:3]:
            invariants.break_(f"a process broke off: {wrong}")
        for each in self.history:
            if each.kind != "change" or each.returned is None:
                continue
            taken = each.ver in invariants.versions and self._is_of(each, invariants.versions[each.ver][1])
            if each.status == 200 and not taken:
                invariants.break_(f"version {each.ver} was acknowledged and is not in the log")
            if each.status != 200 and taken:
                invariants.break_(f"version {each.ver} was refused ({each.status}) and is in the log")
        try:
            at = first_wrong([event(each) for each in self.history])
            if at is not None:
                invariants.break_(f"orders and reads up to {at / SECOND:.3f} s can't be explained")
        except TooLarge:
            pass

    @staticmethod
    def _is_of(operation: Operation, text: bytes) -> bool:
        """Whether a version's text has the mark of that order."""
        at = operation.text.find(b"mark-")
        mark = operation.text[at : operation.text.index(b'"', at)]
        return mark + b'"' in text

    @property
    def wrong(self) -> list[str]:
        return self.cluster.invariants.wrong

    @property
    def is_wrong(self) -> bool:
        """Whether an invariant was broken."""
        return bool(self.wrong)

    def transcript(self, lines: int = 30) -> list[str]:
        """What led to the first thing that was wrong."""
        said = self.cluster.said
        at = next((i for i, line in enumerate(said) if "WRONG" in line), len(said) - 1)
        return said[max(0, at - lines) : at + 1]


def event(operation: Operation) -> Event:
    answered = operation.returned is not None
    return Event(
        operation.kind,
        operation.called,
        operation.returned if answered else UNANSWERED,
        operation.ver,
        operation.base,
        operation.status == 200 if answered else None,
    )


@contextmanager
def limits(most_log: int, piece: int, most_sent: int = replication.MAX_APPEND_BYTES) -> Iterator[None]:
    """Have snapshots come after so many entries and travel in pieces of so many bytes, and messages hold so
    many bytes of entries."""
    before = compaction.MAX_LOG_ENTRIES, snapshots.CHUNK_BYTES, replication.MAX_APPEND_BYTES
    compaction.MAX_LOG_ENTRIES, snapshots.CHUNK_BYTES, replication.MAX_APPEND_BYTES = (
        most_log,
        piece,
        most_sent,
    )
    try:
        yield
    finally:
        compaction.MAX_LOG_ENTRIES, snapshots.CHUNK_BYTES, replication.MAX_APPEND_BYTES = before


def drawn(seed: int) -> Play:
    """A play whose size and troubles the seed draws."""
    draw = Random(seed)
    size, tolerate = draw.choice(((3, 1), (3, 1), (4, 1), (5, 1), (6, 2), (8, 2)))
    with limits(draw.choice((6, 24, 128)), draw.choice((300, 65_536))):
        one = Play(seed, size, tolerate, pause=draw.choice((0.1, 0.4)))
        if not one.begin():
            one.cluster.invariants.break_("no change is taken after the start")
        one.draw(draw.randrange(4, 10))
        one.end()
    return one
