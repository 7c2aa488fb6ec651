"""Changes of named items of a configuration."""

from typing import Any

import pytest

from lapisgrade.gateway.configuration_change import apply_change, digest
from lapisgrade.gateway.errors import ConfigurationError


def rule(name: str, prefix: str = "/") -> dict[str, Any]:
    return {"Name": name, "Match": {"Pfx": prefix}, "Action": {"Svc": "a", "Timeout": "1s"}}


CURRENT = {
    "Ver": 1,
    "Extra": {"kept": True},
    "Ports": [
        {"Vhost": "one", "Policy": [rule("r-1"), rule("r-2")]},
        {"Vhost": "two", "Policy": [rule("r-3")]},
    ],
    "Pools": [{"Name": "a"}, {"Name": "b"}],
}


def names(configuration: dict[str, Any]) -> dict[str, list[str]]:
    return {port["Vhost"]: [route["Name"] for route in port["Policy"]] for port in configuration["Ports"]}


def test_an_empty_change_changes_only_the_version():
    assert apply_change(CURRENT, {"Ver": 2}) == {**CURRENT, "Ver": 2}


def test_an_existing_route_is_replaced_in_place_and_a_new_one_is_appended():
    ports = [{"Vhost": "one", "Policy": [rule("r-1", "/new/"), rule("r-4")]}]
    changed = apply_change(CURRENT, {"Ver": 2, "Upsert": {"Ports": ports}})
    assert names(changed) == {"one": ["r-1", "r-2", "r-4"], "two": ["r-3"]}
    assert changed["Ports"][0]["Policy"][0]["Match"] == {"Pfx": "/new/"}


def test_a_route_that_is_upserted_at_another_host_moves_there():
    ports = [{"Vhost": "two", "Policy": [rule("r-1")]}]
    changed = apply_change(CURRENT, {"Ver": 2, "Upsert": {"Ports": ports}})
    assert names(changed) == {"one": ["r-2"], "two": ["r-3", "r-1"]}


@pytest.mark.parametrize("key", ["Routes", "Ports", "Policy"])
def test_routes_are_removed_by_name_and_hosts_without_routes_disappear(key):
    changed = apply_change(CURRENT, {"Ver": 2, "Del": {key: ["r-2", {"Name": "r-3"}]}})
    assert names(changed) == {"one": ["r-1"]}


@pytest.mark.parametrize("key", ["Pools", "Svcs"])
def test_services_are_upserted_and_removed_under_either_key(key):
    change = {"Ver": 2, "Upsert": {key: [{"Name": "b", "Maxconn": 7}, {"Name": "c"}]}, "Del": {key: ["a"]}}
    assert apply_change(CURRENT, change)["Pools"] == [{"Name": "b", "Maxconn": 7}, {"Name": "c"}]


def test_the_first_tenant_creates_the_list_of_tenants():
    assert "Tenants" not in apply_change(CURRENT, {"Ver": 2, "Del": {"Tenants": ["t"]}})
    changed = apply_change(CURRENT, {"Ver": 2, "Upsert": {"Tenants": [{"Name": "t"}]}})
    assert changed["Tenants"] == [{"Name": "t"}]


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"Upsert": [1]}, "Upsert and Del are objects"),
        ({"Upsert": {"Ports": "x"}}, "Ports is not a list of objects"),
        ({"Upsert": {"Ports": [{"Policy": []}]}}, "an item of Ports has no Vhost"),
        ({"Upsert": {"Ports": [{"Vhost": "one", "Policy": [{}]}]}}, "an item of Policy has no Name"),
        ({"Upsert": {"Pools": [{}]}}, "an item of Pools has no Name"),
        ({"Del": {"Tenants": "t"}}, "Tenants is not a list of names"),
    ],
)
def test_a_malformed_change_is_rejected(change, message):
    with pytest.raises(ConfigurationError) as caught:
        apply_change(CURRENT, {"Ver": 2, **change})
    assert str(caught.value) == message


def test_the_current_configuration_is_not_changed():
    before = repr(CURRENT)
    ports = [{"Vhost": "two", "Policy": [rule("r-1"), rule("r-5")]}]
    apply_change(
        CURRENT, {"Ver": 2, "Upsert": {"Ports": ports, "Pools": [{"Name": "c"}]}, "Del": {"Routes": ["r-2"]}}
    )
    assert repr(CURRENT) == before


def test_the_digest_is_independent_of_formatting():
    assert digest(b'{"a": 1, "b": [2]}') == digest(b'{"b":[2],"a":1}')
    assert digest(b'{"a": 1}') != digest(b'{"a": 2}')
