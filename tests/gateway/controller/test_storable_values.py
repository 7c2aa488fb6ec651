"""Values that JSON allows but MessagePack or a reader doesn't are refused, or stored readably."""

import asyncio
import contextlib
import math
from collections.abc import Callable
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from support.configurations import VALID_CONFIGURATION, with_fields
from support.local_clusters import local_cluster

from lapisgrade.gateway import api, configuration
from lapisgrade.gateway.configuration_delta import encode
from lapisgrade.gateway.configuration_values import MAX_DEPTH, MAX_INTEGER
from lapisgrade.gateway.controller.commands import (
    ConfigurationChange,
    MergeDraft,
    ServerSnapshot,
    encode_command,
)
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import ConfigurationError, InvalidInputError
from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.local_cluster import LocalCluster
from lapisgrade.gateway.merge.three_way import Draft, make_draft
from lapisgrade.gateway.proxy.version_rollout import VersionRollout
from lapisgrade.gateway.routing.route_versions import RouteVersions
from lapisgrade.gateway.rpc_messages import WatchReply

BEYOND_64_BITS = 2**64


def nested(depth: int) -> list:
    """Return a list with that many levels."""
    value: list = []
    for _ in range(depth - 1):
        value = [value]
    return value


def noted(note: Any, version: int = 7, base: int = 0) -> dict:
    """Return a valid configuration with a field that only the operator knows."""
    return with_fields(
        Ver=version, Base=base, Pools=[*VALID_CONFIGURATION["Pools"], {"Name": "n", "Note": note}]
    )


def replacement(body: dict) -> ConfigurationChange:
    return ConfigurationChange(True, msgspec.json.encode(body))


def at_stack_depth(depth: int, function: Callable[[], Any]) -> Any:
    """Return the result of a function that is called with that many frames below it."""
    return at_stack_depth(depth - 1, function) if depth else function()


@pytest.mark.parametrize("depth", [10, MAX_DEPTH - 3, MAX_DEPTH - 2, 300, 700, 900])
def test_an_accepted_configuration_is_read_at_any_depth_of_the_readers_stack(depth: int):
    prepared = StateMachine().prepare(replacement(noted(nested(depth))))
    assert (prepared.command is None) == (depth > MAX_DEPTH - 3)  # the note is on the fourth level
    if prepared.command is None:
        assert prepared.result.status == HTTPStatus.BAD_REQUEST
        return
    state_machine = StateMachine()
    state_machine.apply(1, encode_command(prepared.command))
    text = state_machine.state.configuration
    assert at_stack_depth(500, lambda: configuration.read(msgspec.json.decode(text))).ver == 7


@pytest.mark.parametrize(
    "body",
    [
        noted(BEYOND_64_BITS),
        noted([{"deep": -BEYOND_64_BITS}]),
        noted(0, version=BEYOND_64_BITS),
        noted(0, version=MAX_INTEGER + 1),
    ],
)
def test_integers_that_the_log_cannot_hold_are_refused(body: dict):
    prepared = StateMachine().prepare(replacement(body))
    assert (prepared.result.status, prepared.command) == (HTTPStatus.BAD_REQUEST, None)


def test_the_largest_version_is_stored_and_a_draft_merged_on_top_of_it():
    state_machine, restored = StateMachine(), StateMachine()
    prepared = state_machine.prepare(replacement(noted(0, version=MAX_INTEGER)))
    state_machine.apply(1, encode_command(prepared.command))
    current = msgspec.json.decode(state_machine.state.configuration)
    draft = make_draft(current, {"Upsert": {"Pools": [{"Name": "n", "Note": 1}]}}, "amel", "m3")
    assert state_machine.apply(2, encode_command(MergeDraft(draft))).status == HTTPStatus.OK
    restored.load(state_machine.dump())
    assert restored.state.version == MAX_INTEGER + 1


def test_a_conflict_with_an_integer_that_an_earlier_release_accepted_does_not_prevent_snapshots():
    """The conflict holds the present value, which the draft itself does not have."""
    state_machine, restored = StateMachine(), StateMachine()
    state_machine.apply(1, encode_command(replacement(noted(1))))
    current = msgspec.json.decode(state_machine.state.configuration)
    draft = make_draft(current, {"Upsert": {"Pools": [{"Name": "n", "Note": 2}]}}, "amel", "m3")
    state_machine.apply(2, encode_command(replacement(noted(BEYOND_64_BITS, 8, 7))))
    assert state_machine.apply(3, encode_command(MergeDraft(draft))).status == HTTPStatus.OK
    restored.load(state_machine.dump())
    _, outcome = restored.open_drafts()[draft.id]
    assert outcome.conflicts[0].current_value == str(BEYOND_64_BITS)


def test_a_peers_draft_with_values_that_proxies_cannot_read_changes_nothing():
    """The configuration has an integer that an earlier release accepted, which prevents no other draft."""
    state_machine = StateMachine()
    state_machine.apply(1, encode_command(replacement(noted(BEYOND_64_BITS))))
    current = msgspec.json.decode(state_machine.state.configuration)
    tenant = {**current["Tenants"][0], "RateS": 5}
    draft = make_draft(current, {"Upsert": {"Tenants": [tenant]}}, "amel", "m3")
    assert state_machine.check_draft(draft).status == HTTPStatus.OK

    def with_value(value: Any) -> Draft:
        changes = [msgspec.structs.replace(draft.changes[0], new_value=value)]
        return msgspec.structs.replace(draft, changes=changes)

    assert state_machine.check_draft(with_value(nested(MAX_DEPTH))).status == HTTPStatus.BAD_REQUEST
    for number in (math.nan, math.inf):  # JSON has neither
        assert state_machine.check_draft(with_value(number)).status == HTTPStatus.OK
        state_machine.apply(2, encode_command(MergeDraft(with_value(number))))
        outcome = state_machine.open_drafts()[draft.id][1]
        assert outcome.error
        assert state_machine.state.version == 7


def test_a_draft_on_an_integer_that_an_earlier_release_accepted_is_refused():
    current = noted(BEYOND_64_BITS)
    with pytest.raises(InvalidInputError, match="64 bits"):
        make_draft(current, {"Upsert": {"Pools": [{"Name": "n", "Note": 2}]}}, "amel", "m3")


@pytest.mark.parametrize("field", ["Seq", "Slots"])
@pytest.mark.parametrize("number", [4, MAX_INTEGER, MAX_INTEGER + 1, BEYOND_64_BITS])
def test_each_accepted_heartbeat_can_be_written_to_the_log(field: str, number: int):
    heartbeat = {"Svc": "a", "Addr": "10.0.0.1:80", "Seq": 4, "Slots": 4, field: number}
    is_accepted = number <= MAX_INTEGER
    refusal = contextlib.nullcontext() if is_accepted else pytest.raises(InvalidInputError, match=field)
    with refusal:
        server = api.parse_heartbeat("i-1", msgspec.json.encode(heartbeat))
        assert encode_command(ServerSnapshot([server]))


def test_a_proxy_reports_a_version_that_is_nested_too_deeply_and_goes_on():
    text = msgspec.json.encode(noted(nested(900)))
    router = SimpleNamespace(route_versions=RouteVersions(), activate=lambda table: None)
    rollout = VersionRollout(router, SimpleNamespace(apply_limits=lambda caps: None))
    reply = WatchReply(True, active_version=7, active_configuration=encode(7, text))
    with pytest.raises(ConfigurationError, match="version 7 is nested too deeply"):
        at_stack_depth(500, lambda: rollout.apply(reply))


async def status_of(cluster: LocalCluster, call: str, body: bytes) -> int:
    """Make a call at one controller after another until there is a leader; return the status."""
    async with asyncio.timeout(20.0):
        while True:
            for address in cluster.control_addresses:
                reply = await send_request(address, "POST", f"/-/rpc?call={call}", body)
                if reply.head.status_code != HTTPStatus.SERVICE_UNAVAILABLE:
                    return reply.head.status_code
            await asyncio.sleep(0.05)


async def test_each_call_with_such_values_is_answered_and_the_leader_stays():
    deep = b"[" * 1900 + b"]" * 1900
    large_number = msgspec.json.encode(noted(BEYOND_64_BITS))
    heartbeat = b'{"Svc":"a","Addr":"10.0.0.1:80","Seq":18446744073709551616}'
    async with local_cluster() as cluster:
        while await cluster.put(VALID_CONFIGURATION) != HTTPStatus.OK:
            await asyncio.sleep(0.05)
        calls = ["conf.replace", "conf.update", "conf.draft", "conf.settle", "conf.close"]
        answers = {call: await status_of(cluster, call, deep) for call in calls}
        assert answers == dict.fromkeys(calls, HTTPStatus.BAD_REQUEST)
        assert await status_of(cluster, "conf.replace", large_number) == HTTPStatus.BAD_REQUEST
        assert await status_of(cluster, "conf.draft", large_number) == HTTPStatus.BAD_REQUEST
        for body in (deep, heartbeat):
            assert await status_of(cluster, "servers.heartbeat&of=i-9", body) == HTTPStatus.BAD_REQUEST
        assert await status_of(cluster, "conf.replace", msgspec.json.encode(noted(0, 8, 7))) == HTTPStatus.OK
