"""All keys of configurations, settings files and calls are accepted, and unknown keys are ignored.

Guards against a parser that rejects a complete configuration, or a start, because of one unknown key.
"""

import copy
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lapisgrade.gateway import api, configuration, settings
from lapisgrade.gateway.cli import configuration_check
from lapisgrade.gateway.configuration import Mode
from lapisgrade.gateway.controller.commands import ConfigurationChange, encode_command
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.merge import fields as merge_fields

SPLIT_ROUTE = {
    "Name": "r-split",
    "Mode": "idem",
    "Target_time": "602.5ms",
    "Prio": 0,
    "Public": True,
    "Match": {"Pfx": "/split/"},
    "Action": {
        "Split": [{"Svc": "stock", "Wt": 90}, {"Svc": "ledger", "Wt": 0}, {"Svc": "archive", "Wt": 0.5}],
        "Timeout": "1500ms",
        "Tries": 3,
    },
}
KEYED_ROUTE = {
    "Name": "r-keyed",
    "Mode": "keyed",
    "Target_time": "2s",
    "Prio": 1,
    "Public": False,
    "Match": {"Pfx": "/order/"},
    "Action": {"Svc": "ledger", "Timeout": "2.5s", "Tries": 2},
}
MUTATING_ROUTE = {**KEYED_ROUTE, "Name": "r-mutate", "Mode": "mutate", "Match": {"Pfx": "/note/"}}
CONFIGURATION: dict[str, Any] = {
    "Ver": 12,
    "Base": 0,
    "Caps": {"HdrBytes": 16384, "BodyBytes": 1048576, "Hdr": "3000ms", "Idle": "15s"},
    "Tenants": [
        {"Name": "tunis", "Apikeys": ["key-1", "key-2"], "Prio": 0, "RateS": 12.5, "Burst": 40},
        {"Name": "bizerte", "Apikeys": ["key-3"], "RateS": 0},
        {"Name": "gafsa", "Apikeys": []},
    ],
    "Ports": [
        {"Vhost": "one.example", "Policy": [SPLIT_ROUTE, KEYED_ROUTE]},
        {"Vhost": "two.example", "Policy": [MUTATING_ROUTE]},
    ],
    "Pools": [
        {"Name": "stock", "Hcheck": "/alive", "Maxconn": 90, "Proto": "h1", "Tls": False, "Dedup": False},
        {"Name": "ledger", "Hcheck": "/alive", "Maxconn": 90, "Proto": "h1", "Tls": False, "Dedup": True},
        {"Name": "archive"},
    ],
}
SETTINGS: dict[str, Any] = {
    "Hostname": "edge-north-1",
    "Role": "proxy",
    "Size": "edge",
    "Serves": ["edge", "ctl"],
    "Ip": "10.0.0.7",
    "Az": "north",
    "Rgn": "inland",
    "Zones": {"north": "inland", "south": "coast"},
    "Bind": {"Http": "10.0.0.7:8405", "Readyz": "10.0.0.7:8406", "Ctl": "10.0.0.7:8407"},
    "Portrange": [7600, 7615],
    "Peers": ["10.0.0.7:8407"],
    "Bootstrap": True,
    "Quorum": True,
    "Caps": {"Cpu": 0.5, "Ncpu": 2, "MemMb": 200, "Nofile": 475, "NetMbps": 2.0, "DiskMb": 64},
    "Datadir": "/data",
    "Discovery": "registry",
    "Entry": "vip",
    "Heartbeat": "1500ms",
    "Invariants": ["base", "keys"],
    "Faults": {"Nodes": 2, "Zones": 0, "Regions": 0},
    "Slo": {
        **{"PeerLag": "3s", "Reuse": "2s", "Contact": "5s", "Ack": "6s", "Sync": "6s", "Drain": "3s"},
        **{"Grace": "6s", "Loss": "200ms", "Apply": "3s", "Revert": "250ms", "Skew": "10s", "Recover": "15s"},
        **{"Revoked": False, "Revoke": "5s", "RetryRatio": 0.2, "RetryWindow": "10s", "RetryExtra": 176},
        **{"KeyWin": "45s", "QuotaWin": "5s", "QuotaExcess": 0.1, "QuotaExtra": 20},
    },
}
HEARTBEAT = {
    **{"Svc": "stock", "Addr": "10.0.1.9:8080", "Az": "north", "Ver": "v7", "Slots": 4, "State": "up"},
    **{"Warmup_time": "0ms", "Seq": 4},
}
CALLS = (
    *("servers.heartbeat", "servers.deregister"),
    *("conf.replace", "conf.update", "conf.show", "conf.status"),
    *("conf.draft", "conf.drafts", "conf.settle", "conf.close"),
)
OBJECTS_OF_A_CONFIGURATION = (
    (),
    ("Caps",),
    ("Tenants", 0),
    ("Ports", 0),
    ("Ports", 0, "Policy", 0),
    ("Ports", 0, "Policy", 0, "Match"),
    ("Ports", 0, "Policy", 0, "Action"),
    ("Ports", 0, "Policy", 0, "Action", "Split", 0),
    ("Pools", 0),
)
OBJECTS_OF_SETTINGS = ((), ("Bind",), ("Caps",), ("Slo",), ("Faults",))
# Values of the unknown keys: one of each JSON type.
LATER_VALUES = (None, True, 7, 0.5, "text", ["text", 7], {"Of": {"a": "later"}})


def with_unknown_keys(original: dict, place: tuple) -> dict:
    """Return a copy with keys of a later release at the given place."""
    changed = copy.deepcopy(original)
    item = changed
    for step in place:
        item = item[step]
    item.update({f"Later{number}": value for number, value in enumerate(LATER_VALUES)})
    return changed


def send(state_machine: StateMachine, body: dict, replaces_all: bool) -> tuple[int, str]:
    change = ConfigurationChange(replaces_all, msgspec.json.encode(body))
    result = state_machine.apply(state_machine.state.version + 1, encode_command(change))
    return result.status, result.reason


def read_settings(folder: Path, raw: dict) -> settings.Settings:
    path = folder / "node.json"
    path.write_bytes(msgspec.json.encode(raw))
    return settings.read(str(path))


def test_a_configuration_with_all_known_keys_is_accepted_and_read_back_unchanged():
    state_machine = StateMachine()
    assert send(state_machine, CONFIGURATION, True) == (200, "")
    shown = msgspec.json.decode(state_machine.state.configuration)
    assert shown == {name: value for name, value in CONFIGURATION.items() if name != "Base"}
    assert configuration_check.check_text(msgspec.json.encode(CONFIGURATION))[0] == []
    assert merge_fields.from_fields(merge_fields.to_fields(shown), shown) == shown


@pytest.mark.parametrize("mode", list(Mode))
def test_a_route_of_each_mode_is_accepted(mode: Mode):
    route = {**KEYED_ROUTE, "Mode": mode.value}
    read = configuration.read({**CONFIGURATION, "Ports": [{"Vhost": "one.example", "Policy": [route]}]})
    assert read.ports[0].policy[0].mode is mode


@pytest.mark.parametrize("services", ["Pools", "Svcs"])
def test_a_change_of_named_items_with_all_known_keys_is_accepted(services: str):
    state_machine = StateMachine()
    send(state_machine, CONFIGURATION, True)
    upsert = {
        "Ports": [{"Vhost": "three.example", "Policy": [{**KEYED_ROUTE, "Name": "r-new"}]}],
        "Tenants": [{"Name": "sousse", "Apikeys": ["key-4"], "Prio": 2, "RateS": 9, "Burst": 9}],
        "Caps": {"HdrBytes": 8192},
        services: [{"Name": "ledger", "Maxconn": 40, "Dedup": False}, {"Name": "more"}],
    }
    delete = {"Routes": ["r-mutate"], "Tenants": ["gafsa"]}
    change = {"Ver": 15, "Base": 12, "Upsert": upsert, "Del": delete}
    assert send(state_machine, change, False) == (200, "")
    read = configuration.read(msgspec.json.decode(state_machine.state.configuration))
    assert [(pool.name, pool.maxconn, pool.dedup) for pool in read.pools][1] == ("ledger", 40, False)
    assert [port.vhost for port in read.ports] == ["one.example", "three.example"]


@pytest.mark.parametrize("place", OBJECTS_OF_A_CONFIGURATION, ids=str)
def test_unknown_keys_in_a_configuration_are_accepted_and_stored(place: tuple):
    state_machine = StateMachine()
    sent = with_unknown_keys(CONFIGURATION, place)
    assert send(state_machine, sent, True) == (200, "")
    shown = msgspec.json.decode(state_machine.state.configuration)
    assert shown == {name: value for name, value in sent.items() if name != "Base"}
    assert merge_fields.from_fields(merge_fields.to_fields(shown), shown) == shown
    assert configuration.read(shown) == configuration.read(CONFIGURATION)


def test_settings_with_all_known_keys_are_accepted(tmp_path: Path):
    read = read_settings(tmp_path, SETTINGS)
    assert (read.hostname, read.az, read.datadir, read.heartbeat) == (
        "edge-north-1",
        "north",
        "/data",
        1_500_000,
    )
    assert (read.slo.key_win, read.slo.contact, read.slo.retry_extra) == (45_000_000, 5_000_000, 176)
    slo_without_key_window = {name: value for name, value in SETTINGS["Slo"].items() if name != "KeyWin"}
    assert read_settings(tmp_path, {**SETTINGS, "Slo": slo_without_key_window}).slo.key_win == 60_000_000


@pytest.mark.parametrize("place", OBJECTS_OF_SETTINGS, ids=str)
def test_unknown_keys_in_settings_are_ignored(tmp_path: Path, place: tuple):
    read = read_settings(tmp_path, with_unknown_keys(SETTINGS, place))
    assert read == read_settings(tmp_path, SETTINGS)


@pytest.mark.parametrize("name", CALLS)
def test_each_call_is_accepted(name: str):
    parsed = api.parse_call("POST", f"/-/rpc?call={name}&of=i-7f")
    assert isinstance(parsed, api.ParsedCall)
    assert parsed.call.name == name


def test_the_control_api_has_exactly_the_listed_calls():
    assert sorted(api.CALLS_BY_NAME) == sorted(CALLS)


@pytest.mark.parametrize("state", ["up", "drain"])
def test_a_heartbeat_with_all_known_and_with_unknown_keys_is_accepted(state: str):
    body = msgspec.json.encode({**with_unknown_keys(HEARTBEAT, ()), "State": state})
    server = api.parse_heartbeat("i-7f", body)
    assert (server.service, server.state.name.lower(), server.slots) == ("stock", state, 4)
