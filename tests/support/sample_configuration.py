"""The sample configuration, and edits of it."""

import copy

import msgspec

from lapisgrade.gateway.local_cluster import SAMPLE

CONF = {name: each for name, each in SAMPLE.items() if name != "Base"}


STOCK, CLAIM = 0, 1


def conf(edit) -> bytes:
    """The sample, edited."""
    made = copy.deepcopy(CONF)
    edit(made, made["Ports"][0]["Policy"])
    return msgspec.json.encode(made)


def action(rules: list, which: int = CLAIM) -> dict:
    return rules[which]["Action"]


def split(rules: list, **wt) -> None:
    del action(rules)["Svc"]
    action(rules)["Split"] = [{"Svc": name, "Wt": each} for name, each in wt.items()]
