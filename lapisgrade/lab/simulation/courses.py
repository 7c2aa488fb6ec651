"""Named courses: the operators' worst days one by one, each drawn in its timing by a seed."""

from collections.abc import Callable

from lapisgrade.lab.simulation.cluster import Machine
from lapisgrade.lab.simulation.plays import Play, drawn, limits
from lapisgrade.lab.simulation.virtual_loop import SECOND

LONG = 20.0  # s that a controller is cut off on the operators' days
AWAY = 20.0  # s that a member is away; some hundred changes
CAUGHT_UP = 4.0  # s in which it catches up while changes go on


def _begun(seed: int, size: int = 3, tolerate: int = 1, pause: float = 0.1, operators: int = 2) -> Play:
    play = Play(seed, size, tolerate, operators, pause=pause)
    if not play.begin():
        play.cluster.invariants.break_("no change is taken after the start")
    play.loop.run_for(play.random.random())
    return play


def _leader_and_others(play: Play) -> tuple[Machine, list[Machine]]:
    play.loop.run_until(play.cluster.established, 6.0)
    leader = play.cluster.leader() or play.cluster.running()[0]
    others = [each for each in play.cluster.running() if each is not leader]
    play.random.shuffle(others)
    return leader, others


def _cut_pairs(play: Play, ones: list[Machine], others: list[Machine]) -> None:
    cuts = {(a.ip, b.ip) for a in ones for b in others if a is not b}
    play.cluster.network.cuts |= cuts | {(b, a) for a, b in cuts}


def leader_cut(seed: int) -> Play:
    """A leader is cut off for 20 s, both ways or one way, while orders and questions come to both sides; and
    in short: with replies that come late, with a follower that is started again, all from all."""
    play = _begun(seed)
    for _ in range(3):
        kind = play.random.choice((_cut_long, _cut_and_restart, _late_replies, _half_cut, _all_from_all))
        kind(play)
        play.cluster.network.delays.clear()
        play.cluster.heal()
        play.loop.run_for(0.3 + play.random.random())
    play.end()
    return play


def _cut_long(play: Play) -> None:
    leader, others = _leader_and_others(play)
    way = play.random.randrange(3)
    if way == 1:  # it hears nobody
        play.cluster.cut([each.name for each in others], one_way=True)
    else:
        play.cluster.cut([leader.name], one_way=way == 2)
    play.loop.run_for(play.random.choice((1.0, 3.0, LONG)))


def _cut_and_restart(play: Play) -> None:
    """The leader's lease rests on one follower, which is started again and then hears the other one only."""
    leader, (first, *rest) = _leader_and_others(play)
    _cut_pairs(play, [leader], rest)
    play.loop.run_for(0.1 + 0.3 * play.random.random())
    _cut_pairs(play, [leader], [first])
    first.kill()
    first.start()
    play.loop.run_for(1.0)


def _late_replies(play: Play) -> None:
    """What the followers answer comes so late that it is out of date as it arrives."""
    leader, others = _leader_and_others(play)
    late = round((0.2 + 0.18 * play.random.random()) * SECOND)
    play.cluster.network.delays = {(each.ip, leader.ip): late for each in others}
    play.loop.run_for(0.5)
    play.cluster.cut([leader.name])
    play.loop.run_for(1.2)


def _half_cut(play: Play) -> None:
    """One follower hears the leader and the other doesn't; what the first one answers comes late."""
    leader, (first, *rest) = _leader_and_others(play)
    late = round((0.1 + 0.1 * play.random.random()) * SECOND)
    play.cluster.network.delays = {(first.ip, leader.ip): late}
    _cut_pairs(play, [leader], rest)
    play.loop.run_for(2.0)


def _all_from_all(play: Play) -> None:
    """Nobody hears anybody for about as long as an election waits, several times."""
    for _ in range(6):
        machines = play.cluster.running()
        _cut_pairs(play, machines, machines)
        play.loop.run_for(0.25 + 0.5 * play.random.random())
        play.cluster.heal()
        play.loop.run_for(0.02 + 0.2 * play.random.random())


def orders_resent(seed: int) -> Play:
    """Eight operators at once; most answers are lost; leaders change and all are started anew meanwhile."""
    with limits(play_log := 6 + seed % 3 * 20, 400):
        play = _begun(seed, play_log % 2 + 3, pause=0.2, operators=8)
        for operator in play.operators:
            operator.ack_lost = 0.6
            operator.repeats = 0.5
        for turn in range(4):
            play.loop.run_for(1.0 + play.random.random())
            if turn % 2:
                _stall_all(play)
                continue
            trouble = play.random.choice(("crash", "crash_all", "cut", "restart"))
            getattr(play, trouble)(**({"power": True} if trouble == "crash_all" else {}))
        play.end()
    return play


def _stall_all(play: Play) -> None:
    """All disks stand still for longer than an operator waits: what is asked then is taken, but late."""
    for machine in play.cluster.running():
        machine.disk.stalled_until = play.loop.now_us + round((1.0 + play.random.random()) * SECOND)
    play.loop.run_for(2.5)


def second_loss(seed: int) -> Play:
    """A loss right after a repair or a replacement, at each of its steps."""
    size, tolerate = SIZES[seed // len(STEPS) % len(SIZES)]
    with limits(6 if seed % 3 else 128, 300):
        return _steps(_begun(seed, size, tolerate), STEPS[seed % len(STEPS)], 5.0)


def _steps(play: Play, step: Callable[[Play], None], pause: float) -> Play:
    """The same step three times, with so many seconds for the repair between."""
    for _ in range(3):
        step(play)
        play.cluster.heal()
        for machine in play.cluster.machines.values():
            machine.disk.slow = 1.0
            if not machine.running and not machine.removed:
                machine.start()
        play.loop.run_for(pause)
    play.end()
    return play


def _on_disk(play: Play, machine: Machine) -> bool:
    """Whether the newest committed entry is on that machine's disk."""
    index = max(play.cluster.invariants.entries, default=0)
    return index == 0 or machine.disk.has_synced(index, play.cluster.invariants.entries[index].term)


def _wiped_after_ack(play: Play) -> None:
    """All lose power right after an acknowledgement, one that holds it loses its disk, and of the rest those
    without it come first. One has a slow disk, so there is one without it."""
    _, others = _leader_and_others(play)
    others[0].disk.slow = 50.0
    acked = play.acknowledged()
    play.loop.run_until(lambda: play.acknowledged() > acked, 3.0, 0.0003)
    machines = play.cluster.running()
    holding = [each for each in machines if _on_disk(play, each)]
    wiped = play.random.choice(holding or machines)
    for machine in machines:
        machine.disk.slow = 1.0
        machine.kill(power=True, wipe=machine is wiped)
    for machine in machines:
        late = machine in holding and machine is not wiped
        play.later(0.2 + 0.3 * play.random.random() + (1.2 if late else 0.0), machine.start)
    play.loop.run_for(4.0)


def _newcomers_on_one_side(play: Play) -> None:
    """Two new machines offer themselves, and with the leader are cut off from all others at that moment."""
    leader, others = _leader_and_others(play)
    new = [play.cluster.add(), play.cluster.add()]
    seeds, play.cluster.seeds = play.cluster.seeds, [leader.ip]
    for machine in new:
        machine.start()
    node = leader.controller.node
    play.loop.run_until(lambda: not node.is_leader or set(node.followers) > set(node.voters), 1.0, 0.001)
    _cut_pairs(play, [leader, *new], others)
    play.loop.run_for(2.0 + 2 * play.random.random())
    play.cluster.seeds = seeds


def _slow_changes(play: Play) -> None:
    """All answers come late, so that a change of voters is under way for long; two new machines wait, and at
    times the leader is lost meanwhile."""
    leader, others = _leader_and_others(play)
    machines = [leader, *others]
    late = round((0.1 + 0.15 * play.random.random()) * SECOND)
    play.cluster.network.delays = {(a.ip, leader.ip): late for a in others}
    if play.random.random() < 0.5:
        play.cluster.network.delays = {
            (a.ip, b.ip): late // 2 for a in machines for b in machines if a is not b
        }
        leader.kill()
        play.later(0.4, leader.start)
    for _ in range(2):
        play.cluster.add().start()
    play.loop.run_for(3.0)
    play.cluster.network.delays = {}


def _lagging_partner(play: Play) -> None:
    """One's disk stands still while the others go on; then one of those is cut off, and a new one comes."""
    _, (behind, *rest) = _leader_and_others(play)
    behind.disk.stalled_until = play.loop.now_us + 6 * SECOND
    play.loop.run_for(0.5)
    _cut_pairs(play, rest[: len(rest) // 2 + 1], play.cluster.running())
    play.loop.run_for(1.7)
    play.cluster.add().start()
    play.loop.run_for(3.0)


def _joint_loss(play: Play) -> None:
    """One is emptied and comes back while others are cut off: no more than the live may be counted on."""
    _leader, others = _leader_and_others(play)
    wiped, *rest = others
    away = rest[: len(others) // 2]
    _cut_pairs(play, away, play.cluster.running())
    wiped.kill(wipe=True)
    play.loop.run_for(0.3)
    wiped.start()
    play.loop.run_for(1.0 + 2 * play.random.random())


def _replaced_twice(play: Play) -> None:
    """One is replaced as planned, and the leader is lost at a step of it."""
    play.replace(planned=True)
    play.loop.run_for(2.5 * play.random.random())
    leader, _ = _leader_and_others(play)
    leader.kill(power=True)
    play.later(0.5, leader.start)
    play.loop.run_for(4.0)


STEPS = (_wiped_after_ack, _newcomers_on_one_side, _joint_loss, _replaced_twice, _lagging_partner)
SIZES = ((3, 1), (4, 1), (5, 1), (6, 2), (8, 2))  # voters, and how many may be lost at once


def churn(seed: int) -> Play:
    """Five members that hear some others only, others every moment, and an entry in each message: leaders
    with entries of several terms that nobody has committed."""
    with limits(1 << 30, 300, 1):
        play = _begun(seed, 5, 2, pause=0.05, operators=3)
        for _ in range(24):
            machines = play.cluster.running()
            play.random.shuffle(machines)
            some = play.random.randrange(1, 4)
            _cut_pairs(play, machines[:some], machines[some:])
            play.loop.run_for(0.02 + 0.9 * play.random.random())
            if play.random.random() < 0.5:
                play.cluster.network.cuts = set()
        play.end()
    return play


def hundreds_of_changes(seed: int) -> Play:
    """A member is away for hundreds of changes, or on a slow link, and comes back while they go on."""
    with limits(16, 500):
        play = _begun(seed, pause=0.05, operators=4)
        for operator in play.operators:
            operator.ack_lost, operator.routes = 0.0, 12
        _, (member, *_) = _leader_and_others(play)
        member.kill(power=seed % 2 == 0, wipe=seed % 4 == 3)
        play.loop.run_for(AWAY)
        member.start()
        if seed % 3 == 0:
            play.cluster.network.rates = {each.ip: 250_000.0 for each in play.cluster.running()}
        if not play.loop.run_until(lambda: _caught_up(play, member), CAUGHT_UP):
            play.cluster.invariants.break_(f"{member.name} has not caught up in {CAUGHT_UP} s")
        play.loop.run_for(0.5)
        for machine in play.cluster.running():  # the others stand still: it may lead only with one of them
            if machine is not member and machine is play.cluster.leader():
                machine.freeze(3.0)
        play.loop.run_for(4.0)
        play.end()
    return play


def _caught_up(play: Play, machine: Machine) -> bool:
    """Whether it has all but what is under way."""
    leader = play.cluster.leader()
    if leader is None or machine.controller.node is None:
        return False
    return leader.controller.node.commit_index - machine.controller.node.commit_index <= 8


def unsynced(seed: int) -> Play:
    """Slow disks, processes that are killed between a write and its sync, and then a loss of power."""
    step = (_killed_before_sync, _voted_before_sync)[seed % 2]
    return _steps(_begun(seed), step, 2.0)


def _killed_before_sync(play: Play) -> None:
    """One of two is killed between write and sync, and starts again with a disk that stalls."""
    _, (first, *rest) = _leader_and_others(play)
    _cut_pairs(play, rest, play.cluster.running())
    first.disk.slow = 40.0
    play.loop.run_for(0.3 + 0.2 * play.random.random())
    first.kill()
    first.disk.stalled_until = play.loop.now_us + SECOND // 4
    first.start()
    play.loop.run_for(0.3)
    first.disk.stalled_until = play.loop.now_us + SECOND
    play.loop.run_for(0.9)


def _voted_before_sync(play: Play) -> None:
    """One votes with a slow disk, loses power, and is asked for its vote in the same term again."""
    leader, (first, *rest) = _leader_and_others(play)
    term = leader.controller.node.term
    _cut_pairs(play, [leader], play.cluster.running())
    first.disk.slow = 60.0
    play.loop.run_until(
        lambda: any(each.controller.node.is_leader for each in rest if each.controller.node.term > term),
        2.5,
        0.0005,
    )
    first.kill(power=True)
    first.disk.slow = 1.0
    play.cluster.network.cuts = set()
    _cut_pairs(play, rest, play.cluster.running())
    first.start()
    play.loop.run_for(2.5)


def one_step(step: Callable[[Play], None], pause: float) -> Callable[[int], Play]:
    """A course of that step alone, on three members."""
    return lambda seed: _steps(_begun(seed), step, pause)


COURSES: dict[str, Callable[[int], Play]] = {
    "drawn": drawn,
    "wiped-after-ack": one_step(_wiped_after_ack, 5.0),
    "newcomers": one_step(_newcomers_on_one_side, 3.0),
    "slow-changes": one_step(_slow_changes, 2.0),
    "lagging-partner": one_step(_lagging_partner, 3.0),
    "vote-unsynced": one_step(_voted_before_sync, 2.0),
    "leader-cut": leader_cut,
    "orders-resent": orders_resent,
    "second-loss": second_loss,
    "churn": churn,
    "hundreds-of-changes": hundreds_of_changes,
    "unsynced": unsynced,
}
