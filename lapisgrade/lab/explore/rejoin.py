"""Exploration of drafts that are submitted under crashes, partitions and one wiped disk at a time.

No draft that was on two disks is lost, no draft is merged twice, and every controller reaches the
configuration that `merge.three_way` computes from all drafts.
"""

from collections.abc import Iterator
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway.controller.commands import ConfigurationChange, MergeDraft, encode_command
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge.fields import to_fields
from lapisgrade.gateway.merge.three_way import Draft, make_draft, merge_drafts
from lapisgrade.lab.explore.cluster import Cluster
from lapisgrade.lab.explore.defects import Defect, Defects
from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing
from lapisgrade.lab.explore.log import CRASHES

UNIT = "entries"
NAMES = "abc"
ROUNDS = 16
CALM_ROUNDS = 5  # number of rounds without faults at the end
DRAFT_COUNT = 4
SUBMISSION_RATE = 0.6  # probability that a holder submits a draft in a round
FAULTS = ("kill", "wipe", "isolate", "isolate one way", "none")

JsonObject = dict[str, Any]


class ConfigurationRandom(Random):
    """A source of random valid configurations and changes."""

    def split(self) -> JsonObject:
        """Return the services of a route: one, or several with weights."""
        names = self.sample("abc", self.randrange(1, 4))
        if len(names) == 1:
            return {"Svc": names[0]}
        return {"Split": [{"Svc": service, "Wt": self.randrange(1, 4)} for service in names]}

    def rule(self, name: str) -> JsonObject:
        """Return a route of that name."""
        return {
            "Name": name,
            "Mode": self.choice(["idem", "mutate", "keyed"]),
            "Prio": self.randrange(3),
            "Match": {"Pfx": f"/{name}/{self.randrange(2)}/"},
            "Action": {**self.split(), "Timeout": f"{self.randrange(1, 3)}s"},
        }

    def configuration(self) -> JsonObject:
        """Return a complete configuration."""
        rules = [self.rule(f"r{i}") for i in range(4) if self.random() < 0.8]
        return {
            "Ver": self.randrange(1, 9),
            "Ports": [{"Vhost": "h", "Policy": rules}] if rules else [],
            "Pools": [{"Name": service} for service in "abc"],
            "Tenants": [
                {"Name": f"t{i}", "Apikeys": [f"k{i}{j}" for j in range(self.randrange(1, 3))]}
                for i in range(2)
            ],
        }

    def change(self) -> JsonObject:
        """Return a change of named items, which may not apply to a given configuration."""
        rules = [self.rule(f"r{self.randrange(6)}") for _ in range(self.randrange(3))]
        rules = list({rule["Name"]: rule for rule in rules}.values())
        keys = [f"k{i}{j}" for i in (0,) for j in range(3) if self.random() < 0.6]
        change: JsonObject = {"Upsert": {"Ports": [{"Vhost": self.choice("hg"), "Policy": rules}]}, "Del": {}}
        if self.random() < 0.4:
            change["Upsert"]["Tenants"] = [{"Name": "t0", "Apikeys": keys, "RateS": self.randrange(3)}]
        if self.random() < 0.3:
            change["Del"]["Routes"] = [f"r{self.randrange(6)}"]
        if self.random() < 0.2:
            change["Del"]["Svcs"] = [self.choice("abc")]
        return change

    def drafts(self, base: JsonObject, count: int) -> list[Draft]:
        """Return `count` drafts that apply to a configuration."""
        drafts: list[Draft] = []
        while len(drafts) < count:
            try:
                drafts.append(make_draft(base, self.change(), f"editor {len(drafts)}", "m"))
            except InvalidInputError:
                continue
        return drafts


class DraftHolders:
    """The controllers that keep each draft on disk.

    A controller drops a draft only once the leader has acknowledged that it is in the log.
    """

    DROPS_EARLY = False  # defect: a controller drops a draft when it submits it

    def __init__(self, drafts: list[Draft], random: ConfigurationRandom) -> None:
        """Keep each draft on two disks, one of which may be wiped at any time.

        Args:
            drafts: The drafts.
            random: Selects the holders of each draft.
        """
        self.by_draft = {draft.id: set(random.sample(NAMES, 2)) for draft in drafts}

    def on_disk_wiped(self, name: str) -> None:
        """Remove a controller with a wiped disk from the holders of all drafts."""
        for holders in self.by_draft.values():
            if len(holders) > 1:  # at most one of a draft's two disks may be wiped
                holders.discard(name)

    def submit(self, cluster: Cluster, draft: Draft, holder: str) -> None:
        """Have a controller send a draft to the leader, if it reaches the leader."""
        command, leader = encode_command(MergeDraft(draft)), cluster.leader()
        is_blocked = {(holder, leader), (leader, holder)} & cluster.blocked_links
        if not leader or cluster.nodes[holder] is None or is_blocked:
            return
        if command in cluster.acknowledged or self.DROPS_EARLY:
            self.by_draft[draft.id].discard(holder)
        cluster.propose(command)


class Schedule:
    """Rounds of draft submissions with a fault in each, then rounds without faults."""

    def __init__(self, seed: int) -> None:
        """Commit a first configuration, and create drafts based on it."""
        self.random = ConfigurationRandom(seed)
        self.cluster = Cluster(seed)
        self.cluster.run(2)
        self.base = self.random.configuration()
        self._commit_base()
        self.drafts = self.random.drafts(self.base, DRAFT_COUNT)
        self.holders = DraftHolders(self.drafts, self.random)

    def run(self) -> Cluster:
        """Run all rounds, check the outcome, and return the cluster."""
        for number in range(ROUNDS):
            self._run_round(is_calm=number >= ROUNDS - CALM_ROUNDS)
        self.cluster.run(2)
        check(self.cluster, self.base, self.drafts)
        return self.cluster

    def _commit_base(self) -> None:
        command = encode_command(ConfigurationChange(True, msgspec.json.encode({**self.base, "Base": 0})))
        while command not in self.cluster.acknowledged:
            self.cluster.propose(command)
            self.cluster.run(0.5)

    def _run_round(self, is_calm: bool) -> None:
        cluster, random = self.cluster, self.random
        victim = random.choice([*NAMES, cluster.leader() or "a", cluster.leader() or "a"])
        fault = "none" if is_calm else random.choice(FAULTS)
        self._submit_some_drafts()
        cluster.run(random.random() * 0.002)  # the fault occurs while submissions are in flight
        match fault:
            case "kill" | "wipe":
                cluster.kill(victim, fault == "wipe")
                if fault == "wipe":
                    self.holders.on_disk_wiped(victim)
            case "isolate" | "isolate one way":
                cluster.isolate(victim, NAMES, one_way=fault == "isolate one way")
        cluster.run(random.random())
        cluster.blocked_links = set()
        cluster.restart_stopped(NAMES)
        cluster.run(1 + random.random())

    def _submit_some_drafts(self) -> None:
        for draft in self.drafts:
            for holder in sorted(self.holders.by_draft[draft.id]):
                if self.random.random() < SUBMISSION_RATE:
                    self.holders.submit(self.cluster, draft, holder)


def simulate(seed: int) -> Cluster:
    """Run the schedule of a seed."""
    return Schedule(seed).run()


def check(cluster: Cluster, base: JsonObject, drafts: list[Draft]) -> None:
    """Check that each node has merged all drafts, with the configuration and outcomes of `merge_drafts`."""
    expected, outcomes = merge_drafts(base, drafts)
    for name, commands in cluster.applied.items():
        state_machine = StateMachine()
        for index, data in enumerate(commands, 1):
            state_machine.apply(index, data)
        state = state_machine.state
        if lost := {draft.id for draft in drafts} - set(state.merged_draft_ids):
            cluster.report_violation(f"{name}: drafts are lost: {sorted(lost)}")
        elif (
            to_fields(msgspec.json.decode(state.configuration)) != to_fields(expected)
            or state.outcomes != outcomes
        ):
            cluster.report_violation(f"{name}: configuration or outcomes differ from the merge of all drafts")


def _sort_key_of_arrival(self: Draft) -> tuple[()]:
    """Drafts are merged in the order of their arrival."""
    return ()


DEFECTS: Defects = {
    "drops-early": Defect(DraftHolders, "DROPS_EARLY", True),
    "order-of-arrival": Defect(Draft, "sort_key", property(_sort_key_of_arrival)),
}


def _simulations(seed: int) -> Iterator[tuple[str, Cluster]]:
    yield f"seed {seed}", simulate(seed)


EXPLORATION = Exploration(DEFECTS, _simulations, lambda cluster: len(cluster.acknowledged), CRASHES)


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts the entries that were acknowledged."""
    return EXPLORATION.run(seeds, defect, print_line)
