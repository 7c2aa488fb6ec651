"""The controllers' log explored: what was acknowledged stays, whoever is killed, cut or emptied, and all
logs say the same. No more disks are lost at once than may be; all may lose power beside it."""

from collections.abc import Callable
from random import Random

import msgspec

from lapisgrade.lab.explore.defects import Defects, switched
from lapisgrade.lab.explore.cluster import Cluster
from lapisgrade.gateway.consensus.follower import Follower
from lapisgrade.gateway.consensus.messages import AppendEntries, AppendEntriesReply
from lapisgrade.gateway.consensus.replication import Replication

UNIT = "changes"
MOST_SAID = 24  # lines that are told of what led to the first thing that was wrong


def play(seed: int, names: str = "abc", faults: int = 8) -> Cluster:
    """Changes under faults, one fault at a time, and a calm end."""
    chance, cluster = Random(seed), Cluster(seed, names)
    cluster.run(2)
    number = 0
    for _ in range(faults):
        victim = chance.choice([*names, cluster.leader() or names[0]])
        kind = chance.choice(("kill", "wipe", "cut", "one way", "all", "all and a wipe"))
        for _ in range(chance.randrange(1, 5)):
            cluster.propose(b"%d" % (number := number + 1))
            cluster.run(chance.random() * chance.choice((0.02, 0.005)))
        others = [each for each in names if each != victim]
        if kind == "all and a wipe":  # right after an acknowledgement
            cluster.propose(last := b"%d" % (number := number + 1))
            for _ in range(100):
                if last not in cluster.acked:
                    cluster.run(0.0003)
        if kind in ("all", "all and a wipe"):
            for each in names:
                cluster.kill(each, kind != "all" and each == victim)
        elif kind in ("kill", "wipe"):
            cluster.kill(victim, kind == "wipe")
        else:
            cluster.say(f"{victim} is cut off" + ("" if kind == "cut" else ", one way"))
            cluster.cut = {(victim, each) for each in others}
            cluster.cut |= {(each, victim) for each in others} if kind == "cut" else set()
        for _ in range(chance.randrange(4)):
            cluster.run(chance.random())
            cluster.propose(b"%d" % (number := number + 1))
        cluster.cut = set()
        for each in names:
            if cluster.controllers[each] is None:
                cluster.start(each, identity=f"{each}{cluster.lives[each]}")
        cluster.run(4)
    cluster.run(3)
    check(cluster)
    return cluster


def check(cluster: Cluster) -> None:
    """All logs say the same, and all that was acknowledged is in them."""
    if not cluster.leader():
        return cluster.break_("nobody leads after a calm end")
    leader = cluster.controllers[cluster.leader()]
    held = [
        each.data
        for each in leader.log.entries[: leader.commit_index - leader.log.snapshot_index]
        if each.data
    ]
    for data, (name, term) in cluster.acked.items():
        if data not in held:
            cluster.break_(f"{data!r} was acknowledged by {name} in term {term} and is gone")
    for name, controller in cluster.controllers.items():
        mine = [
            each.data
            for each in controller.log.entries[: controller.commit_index - controller.log.snapshot_index]
            if each.data
        ]
        if mine != held[: len(mine)]:
            cluster.break_(f"{name} has another log")


_kill = Cluster.kill


def _lying(self: Cluster, name: str, wipe: bool = False) -> None:
    """A disk that says that all is on it, and loses the last of it with the power."""
    _kill(self, name, wipe)
    self.disk[name] = self.disk[name][:1] if len(self.disk[name]) < 5 else self.disk[name][:-4]


def _alone(self: Replication) -> None:
    """A leader commits what is on its own disk."""
    state = self.state
    if state.durable_index > state.commit_index and state.log.term_at(state.durable_index) == state.term:
        state.commit_up_to(state.durable_index)
        self.send_to_all(heartbeat=True)


def _unwritten(self: Follower, message: AppendEntries) -> None:
    """A follower acknowledges what is not on its disk yet."""
    state = self.state
    if message.term == state.term and message.leader == state.leader:
        reply = AppendEntriesReply(
            state.term, state.identity, state.address, True, self.agreed_index, message.sent_us
        )
        state.send(message.address, reply)


DEFECTS: Defects = {
    "lying-disk": (Cluster, "kill", _lying),
    "commits-alone": (Replication, "advance_commit", _alone),
    "says-before-written": (Follower, "acknowledge", _unwritten),
}


def explore(
    seeds: range, name: str = "", say: Callable[[str], None] = lambda cluster: None
) -> tuple[int, int]:
    """Play each seed; the changes that were acknowledged, and the first seed that went wrong, -1 for none."""
    return first_wrong(seeds, DEFECTS, name, say, play)


def first_wrong(
    seeds: range, defects: Defects, name: str, say: Callable[[str], None], play: Callable[[int], Cluster]
) -> tuple[int, int]:
    count = 0
    with switched(defects, name):
        for seed in seeds:
            try:
                cluster = play(seed)
            except (KeyError, IndexError, msgspec.MsgspecError) as wrong:  # a core that broke off
                say(f"seed {seed}: WRONG: {type(wrong).__name__}")
                return count, seed
            count += len(cluster.acked)
            if cluster.wrong:
                at = next(i for i, each in enumerate(cluster.said) if "WRONG" in each)
                say(f"seed {seed}:")
                for each in cluster.said[max(0, at - MOST_SAID) : at + 1]:
                    say(each)
                return count, seed
    return count, -1
