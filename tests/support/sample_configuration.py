"""The sample configuration, and helpers to edit it."""

import copy

import msgspec

from lapisgrade.gateway.local_cluster import SAMPLE

SAMPLE_CONFIGURATION = {name: value for name, value in SAMPLE.items() if name != "Base"}

STOCK_ROUTE, CLAIM_ROUTE = 0, 1  # indexes of the routes in the sample's policy


def edited_configuration(edit) -> bytes:
    """Return the sample as JSON after `edit(configuration, rules)`; `rules` are those of its only host."""
    configuration = copy.deepcopy(SAMPLE_CONFIGURATION)
    edit(configuration, configuration["Ports"][0]["Policy"])
    return msgspec.json.encode(configuration)


def action_of(rules: list, route: int = CLAIM_ROUTE) -> dict:
    """Return the action of the rule at index `route`."""
    return rules[route]["Action"]


def set_split(rules: list, **weights) -> None:
    """Replace the claim route's service by a split with these weights, by service."""
    del action_of(rules)["Svc"]
    action_of(rules)["Split"] = [{"Svc": service, "Wt": weight} for service, weight in weights.items()]
