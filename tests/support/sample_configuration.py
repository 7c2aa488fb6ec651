"""The sample configuration, and edits of it."""

import copy

import msgspec

from lapisgrade.gateway.local_cluster import SAMPLE

SAMPLE_CONFIGURATION = {name: each for name, each in SAMPLE.items() if name != "Base"}


STOCK_ROUTE, CLAIM_ROUTE = 0, 1


def edited_configuration(edit) -> bytes:
    """The sample, edited."""
    made = copy.deepcopy(SAMPLE_CONFIGURATION)
    edit(made, made["Ports"][0]["Policy"])
    return msgspec.json.encode(made)


def action_of(rules: list, which: int = CLAIM_ROUTE) -> dict:
    return rules[which]["Action"]


def set_split(rules: list, **wt) -> None:
    del action_of(rules)["Svc"]
    action_of(rules)["Split"] = [{"Svc": name, "Wt": each} for name, each in wt.items()]
