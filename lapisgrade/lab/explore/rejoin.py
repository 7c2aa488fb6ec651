"""Drafts explored: handed in under kills, cuts and one emptied disk at a time. None is lost that was on two
disks, none is merged twice, and every controller comes to the same configuration: what the rule makes of the
set."""

from collections.abc import Callable
from random import Random

import msgspec

from lapisgrade.lab.explore.defects import Defects
from lapisgrade.lab.explore.cluster import Cluster
from lapisgrade.lab.explore.log import first_wrong
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge.fields import to_fields
from lapisgrade.gateway.merge.three_way import Draft, make_draft, merge_drafts
from lapisgrade.gateway.controller.commands import ConfigurationChange, MergeDraft, encode_command
from lapisgrade.gateway.controller.state_machine import StateMachine

UNIT = "entries"
NAMES = "abc"
TURNS, CALM = 16, 5  # turns of a play, the last of them without faults


class Chance(Random):
    """Configurations and edits by chance, all of them valid."""

    def split(self) -> dict:
        names = self.sample("abc", self.randrange(1, 4))
        if len(names) == 1:
            return {"Svc": names[0]}
        return {"Split": [{"Svc": each, "Wt": self.randrange(1, 4)} for each in names]}

    def rule(self, name: str) -> dict:
        return {
            "Name": name,
            "Mode": self.choice(["idem", "mutate"]),
            "Prio": self.randrange(3),
            "Match": {"Pfx": f"/{name}/{self.randrange(2)}/"},
            "Action": {**self.split(), "Timeout": f"{self.randrange(1, 3)}s"},
        }

    def conf(self) -> dict:
        rules = [self.rule(f"r{i}") for i in range(4) if self.random() < 0.8]
        return {
            "Ver": self.randrange(1, 9),
            "Ports": [{"Vhost": "h", "Policy": rules}] if rules else [],
            "Pools": [{"Name": each} for each in "abc"],
            "Tenants": [
                {"Name": f"t{i}", "Apikeys": [f"k{i}{j}" for j in range(self.randrange(1, 3))]}
                for i in range(2)
            ],
        }

    def change(self) -> dict:
        rules = [self.rule(f"r{self.randrange(6)}") for _ in range(self.randrange(3))]
        rules = list({each["Name"]: each for each in rules}.values())
        keys = [f"k{i}{j}" for i in (0,) for j in range(3) if self.random() < 0.6]
        made: dict = {"Upsert": {"Ports": [{"Vhost": self.choice("hg"), "Policy": rules}]}, "Del": {}}
        if self.random() < 0.4:
            made["Upsert"]["Tenants"] = [{"Name": "t0", "Apikeys": keys, "RateS": self.randrange(3)}]
        if self.random() < 0.3:
            made["Del"]["Routes"] = [f"r{self.randrange(6)}"]
        if self.random() < 0.2:
            made["Del"]["Svcs"] = [self.choice("abc")]
        return made

    def drafts(self, conf: dict, count: int) -> list[Draft]:
        made: list[Draft] = []
        while len(made) < count:
            try:
                made.append(make_draft(conf, self.change(), f"editor {len(made)}", "m"))
            except InvalidInputError:
                continue
        return made


class Holders:
    """Which controllers keep a draft on disk. A controller drops it once a leader says that the log has it,
    not before."""

    EARLY = False  # a defect: it drops what it has handed in

    def __init__(self, drafts: list[Draft], chance: Chance) -> None:
        # Each on two disks of its side; one may be emptied at any time.
        self.of = {each.id: set(chance.sample(NAMES, 2)) for each in drafts}

    def emptied(self, name: str) -> None:
        for holders in self.of.values():
            if len(holders) > 1:  # no more disks are lost at once than may be
                holders.discard(name)

    def hand(self, cluster: Cluster, draft: Draft, holder: str) -> None:
        """One controller offers one draft to whoever leads, where it reaches it."""
        data, leader = encode_command(MergeDraft(draft)), cluster.leader()
        if (
            not leader
            or cluster.controllers[holder] is None
            or {(holder, leader), (leader, holder)} & cluster.cut
        ):
            return
        if data in cluster.acked or self.EARLY:
            self.of[draft.id].discard(holder)
        cluster.propose(data)


def play(seed: int) -> Cluster:
    chance, cluster = Chance(seed), Cluster(seed)
    cluster.run(2)
    ground = chance.conf()
    first = encode_command(ConfigurationChange(True, msgspec.json.encode({**ground, "Base": 0})))
    while first not in cluster.acked:
        cluster.propose(first)
        cluster.run(0.5)
    drafts = chance.drafts(ground, 4)
    holders = Holders(drafts, chance)
    for turn in range(TURNS):
        victim = chance.choice([*NAMES, cluster.leader() or "a", cluster.leader() or "a"])
        fault = chance.choice(("kill", "wipe", "cut", "one way", "calm")) if turn < TURNS - CALM else "calm"
        for each in drafts:
            for holder in sorted(holders.of[each.id]):
                if chance.random() < 0.6:
                    holders.hand(cluster, each, holder)
        cluster.run(chance.random() * 0.002)  # what was handed in is on its way as the fault comes
        others = [each for each in NAMES if each != victim]
        match fault:
            case "kill" | "wipe":
                cluster.kill(victim, fault == "wipe")
                if fault == "wipe":
                    holders.emptied(victim)
            case "cut" | "one way":
                cluster.say(f"{victim} is cut off" + ("" if fault == "cut" else ", one way"))
                cluster.cut = {(victim, each) for each in others}
                cluster.cut |= {(each, victim) for each in others} if fault == "cut" else set()
        cluster.run(chance.random())
        cluster.cut = set()
        for each in NAMES:
            if cluster.controllers[each] is None:
                cluster.start(each, identity=f"{each}{cluster.lives[each]}")
        cluster.run(1 + chance.random())
    cluster.run(2)
    check(cluster, ground, drafts)
    return cluster


def check(cluster: Cluster, ground: dict, drafts: list[Draft]) -> None:
    wanted, outcomes = merge_drafts(ground, drafts)
    for name, taken in cluster.taken.items():
        state_machine = StateMachine()
        for index, data in enumerate(taken, 1):
            state_machine.apply(index, data)
        state = state_machine.state
        if lost := {each.id for each in drafts} - set(state.merged_draft_ids):
            cluster.break_(f"{name}: a draft that was kept is lost: {sorted(lost)}")
        elif (
            to_fields(msgspec.json.decode(state.configuration)) != to_fields(wanted)
            or state.outcomes != outcomes
        ):
            cluster.break_(f"{name}: the drafts came to something else")


def _as_they_came(self: Draft) -> tuple:
    return ()


DEFECTS: Defects = {
    "drops-early": (Holders, "EARLY", True),
    "order-of-arrival": (Draft, "rank", property(_as_they_came)),
}


def explore(
    seeds: range, name: str = "", say: Callable[[str], None] = lambda cluster: None
) -> tuple[int, int]:
    """Play each seed; the entries that were acknowledged, and the first seed that went wrong, -1 for none."""
    return first_wrong(seeds, DEFECTS, name, say, play)
