"""The state machine: configuration changes in the order of the log, and snapshots."""

import msgspec
import pytest
from support.configurations import STOCK_RULE, VALID_CONFIGURATION, with_action, with_fields, with_rule

from lapisgrade.gateway.controller.commands import (
    ConfigurationChange,
    ServerLeaving,
    ServerSnapshot,
    encode_command,
)
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.registry import Server


class Operator:
    """An operator whose changes are applied to a state machine in the order of sending."""

    def __init__(self) -> None:
        self.state_machine, self.index = StateMachine(), 0

    def send(self, body: dict | bytes, replaces_all: bool = True) -> tuple[int, str]:
        """Apply a change; return the status and the reason of a refusal."""
        self.index += 1
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        result = self.state_machine.apply(self.index, encode_command(ConfigurationChange(replaces_all, data)))
        return result.status, result.reason

    def configuration(self) -> dict:
        return msgspec.json.decode(self.state_machine.state.configuration)


def test_a_configuration_is_stored_as_it_was_sent():
    operator = Operator()
    assert operator.send(VALID_CONFIGURATION) == (200, "")
    assert operator.configuration() == {
        name: value for name, value in VALID_CONFIGURATION.items() if name != "Base"
    }


def test_the_second_of_two_changes_with_the_same_base_is_rejected():
    operator = Operator()
    operator.send(VALID_CONFIGURATION)
    results = [
        operator.send(with_fields(Ver=9, Base=7)),
        operator.send(with_fields(Ver=11, Base=7)),
        # A duplicate of the accepted change, from an operator that did not get the reply.
        operator.send(with_fields(Ver=9, Base=7)),
        operator.send(with_fields(Ver=11, Base=9)),
    ]
    assert results == [(200, ""), (412, "version 9 is in force, not 7"), (200, ""), (200, "")]


def test_a_reformatted_change_is_recognized_as_a_duplicate():
    operator = Operator()
    operator.send(VALID_CONFIGURATION)
    reordered = dict(reversed(VALID_CONFIGURATION.items()))
    assert operator.send(reordered) == (200, "")
    assert operator.send(with_fields(Tenants=None)) == (412, "version 7 is not above 7, which is in force")


def test_each_kind_of_invalid_configuration_is_rejected_with_the_reason(subtests: pytest.Subtests):
    operator = Operator()
    operator.send(with_fields(Ver=3))
    truncated = msgspec.json.encode(VALID_CONFIGURATION)[:-9]
    split = [{"Svc": "garantie", "Wt": 0}, {"Svc": "reports", "Wt": 0}]
    cases = {
        "cut short": (truncated, "the body is not whole JSON"),
        "unknown service": (with_action(Svc="nobody"), "route r-stock: service 'nobody' is not in Pools"),
        "no time-out": (with_action(Timeout="0ms"), "Timeout is 0, not above 0"),
        "weight below 0": (
            with_action(Svc="", Split=[{"Svc": "reports", "Wt": -1}]),
            "Wt is -1, below 0",
        ),
        "no weight": (with_action(Svc="", Split=split), "the weights of Split add up to 0"),
        "bare prefix": (with_rule(Match={"Pfx": "stock/"}), "'stock/' does not begin with a slash"),
        "old version": (with_fields(Ver=3, Base=3, Tenants=[]), "version 3 is not above 3"),
        "a name twice": (with_rule(Name="r-claim"), "a route stands twice: 'r-claim'"),
        "a number as text": (with_fields(Ver="7"), "Ver and Base are whole numbers"),
    }
    for name, (body, expected) in cases.items():
        with subtests.test(name):
            if isinstance(body, dict) and name not in ("old version",):
                body = {**body, "Base": 3}
            status, reason = operator.send(body)
            assert status == 400
            assert expected in reason
    assert operator.state_machine.state.version == 3


def test_the_reason_for_a_duplicate_key_does_not_contain_the_key():
    tenants = [{"Name": "a", "Apikeys": ["secret"]}, {"Name": "b", "Apikeys": ["secret"]}]
    assert Operator().send(with_fields(Tenants=tenants)) == (400, "a key stands twice")


def test_an_update_changes_and_removes_only_the_named_items():
    operator = Operator()
    operator.send(VALID_CONFIGURATION)
    new = {**STOCK_RULE, "Name": "r-new", "Match": {"Pfx": "/new/"}}
    change = {
        "Ver": 9,
        "Base": 7,
        "Del": {"Routes": ["r-claim"]},
        "Upsert": {
            "Ports": [{"Vhost": "a.example", "Policy": [{**STOCK_RULE, "Prio": 0}, new]}],
            "Tenants": [{"Name": "port", "Apikeys": ["k3"]}],
        },
    }
    assert operator.send(change, replaces_all=False) == (200, "")
    current = operator.configuration()
    assert current["Ports"] == [{"Vhost": "a.example", "Policy": [{**STOCK_RULE, "Prio": 0}, new]}]
    assert [tenant["Name"] for tenant in current["Tenants"]] == ["sfax", "port"]
    assert (current["Ver"], current["Pools"]) == (9, VALID_CONFIGURATION["Pools"])
    assert operator.send(change, replaces_all=False) == (200, "")


def test_a_snapshot_restores_the_state():
    operator, restored = Operator(), StateMachine()
    operator.send(VALID_CONFIGURATION)
    operator.state_machine.apply(2, encode_command(ServerLeaving("i-1", False)))
    operator.state_machine.apply(
        3, encode_command(ServerSnapshot([Server("i-2", "garantie", "10.0.0.1:80", "z", 2, "up", 4)]))
    )
    restored.load(operator.state_machine.dump())
    assert restored.state == operator.state_machine.state


def test_all_13_000_servers_of_a_large_deployment_can_leave_at_once():
    state_machine = StateMachine()
    for number in range(13_000):
        state_machine.apply(number, encode_command(ServerLeaving(f"i-{number}", number % 2 == 0)))
    assert len(state_machine.state.departed_servers) == 13_000
    restored = StateMachine()
    restored.load(state_machine.dump())
    assert restored.state == state_machine.state
