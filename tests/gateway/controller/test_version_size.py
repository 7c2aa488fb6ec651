"""The size limit of a configuration version: what is committed can be applied, stored and read back."""

import asyncio
import contextlib
import itertools
import string
from http import HTTPStatus
from pathlib import Path
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from support.configurations import VALID_CONFIGURATION, with_fields
from support.local_clusters import serving_cluster

from lapisgrade.gateway import configuration
from lapisgrade.gateway.cli.disk_report import DiskReport
from lapisgrade.gateway.configuration_delta import PIECE_SEPARATOR, check_decodable, decode, encode
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, SnapshotRecord
from lapisgrade.gateway.controller.commands import (
    Activate,
    ConfigurationChange,
    MergeDraft,
    NewVersion,
    encode_command,
)
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.controller.state_machine import PreparedChange, StateMachine
from lapisgrade.gateway.errors import OversizedVersionError, UnreadableLogError
from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.local_cluster import SAMPLE, LocalCluster
from lapisgrade.gateway.merge.three_way import Draft, make_draft
from lapisgrade.gateway.proxy.version_rollout import VersionRollout
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.routing.route_versions import RouteVersions
from lapisgrade.gateway.rpc_messages import WatchReply
from lapisgrade.gateway.storage.log_store import LogStore

MIB = 1024 * 1024
VOTERS = {"first": "10.0.0.1:7660"}


def service(name: str, size: int) -> dict:
    """Return a service with a note of that many bytes, a field that only the operator knows."""
    return {"Name": name, "Note": "n" * size}


def replacement(note_bytes: int, version: int = 7, base: int = 0) -> ConfigurationChange:
    """Return a change that puts a valid configuration with a note of that size."""
    pools = [*VALID_CONFIGURATION["Pools"], service("noted", note_bytes)]
    return ConfigurationChange(True, msgspec.json.encode(with_fields(Ver=version, Base=base, Pools=pools)))


def update(version: int, base: int, *services: dict) -> ConfigurationChange:
    body = {"Ver": version, "Base": base, "Upsert": {"Pools": services}}
    return ConfigurationChange(False, msgspec.json.encode(body))


def state_machine_with(note_bytes: int) -> StateMachine:
    """Return a state machine whose newest version, 7, has a note of that size."""
    state_machine = StateMachine()
    prepared = state_machine.prepare(replacement(note_bytes))
    assert prepared.command is not None
    assert state_machine.apply(1, encode_command(prepared.command)).status == HTTPStatus.OK
    return state_machine


def entry_of_an_earlier_release(state: State, change: ConfigurationChange, text: bytes) -> bytes:
    """Return the log entry for a version that an earlier release committed without checking its size."""
    version = msgspec.json.decode(change.body)["Ver"]
    return encode_command(
        NewVersion(change.digest, encode(version, text, state.version, state.configuration))
    )


def test_a_small_update_that_takes_the_configuration_over_the_limit_is_refused_before_it_is_proposed():
    state_machine = state_machine_with(configuration.MAX_BYTES - 2000)
    prepared = state_machine.prepare(update(8, 7, service("added", 3000)))
    assert prepared.command is None
    assert prepared.result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    assert f"at most {configuration.MAX_BYTES} are accepted" in prepared.result.reason
    assert state_machine.prepare(update(8, 7, service("added", 300))).result.status == HTTPStatus.OK
    assert state_machine.prepare(update(8, 7, service("noted", 1))).result.status == HTTPStatus.OK


def test_a_configuration_that_grows_over_the_limit_when_it_is_encoded_again_is_refused():
    pools = VALID_CONFIGURATION["Pools"]
    body = msgspec.json.encode(with_fields(Pools=[*pools, {"Name": "noted", "Notes": "@"}]))
    body = body.replace(b'"@"', b"[" + b",".join([b"1e15"] * MIB) + b"]")  # stored as 1000000000000000.0
    assert len(body) < configuration.MAX_BYTES
    prepared = StateMachine().prepare(ConfigurationChange(True, body))
    assert prepared.command is None
    assert prepared.result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@pytest.mark.parametrize("base", [0, 7])
def test_whatever_version_is_proposed_at_the_limit_is_applied_and_read_back(base: int):
    random = Random(5)
    overhead = len(
        msgspec.json.encode(with_fields(Pools=[*VALID_CONFIGURATION["Pools"], service("noted", 0)]))
    )
    accepted = 0
    for _ in range(24):
        state_machine = state_machine_with(10) if base else StateMachine()
        size = configuration.MAX_BYTES - overhead + random.randrange(-30, 30)
        prepared = state_machine.prepare(replacement(size, 8, base))
        if prepared.command is None:
            assert prepared.result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            continue
        accepted += 1
        assert state_machine.apply(2, encode_command(prepared.command)).status == HTTPStatus.OK
        restored = StateMachine()
        restored.load(state_machine.dump())
        assert restored.state == state_machine.state
        assert restored.state.version == 8
    assert 0 < accepted < 24


def test_a_delta_is_never_larger_than_the_text_that_it_encodes():
    """References to pieces of three bytes, which have a separator of three bytes, take up to seven bytes."""
    pieces = [bytes(letters) for letters in itertools.product(string.ascii_letters.encode(), repeat=3)]
    old = PIECE_SEPARATOR.join(pieces)
    far_pieces = pieces[65_536:]  # whose positions take five bytes
    new = PIECE_SEPARATOR.join(Random(2).choices(far_pieces, k=configuration.MAX_BYTES * 2 // 13))
    assert len(new) < configuration.MAX_BYTES
    check_decodable(encode(8, new, 7, old), new, old)


def test_an_entry_of_an_earlier_release_over_the_limit_has_no_effect_and_the_entries_after_it_do():
    state_machine = state_machine_with(configuration.MAX_BYTES - 2000)
    state = state_machine.state
    change = update(8, 7, service("added", 3000))
    text = state_machine.validate(change).configuration
    result = state_machine.apply(2, entry_of_an_earlier_release(state, change, text))
    assert result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    assert result.reason == f"configuration version 8 is larger than {configuration.MAX_BYTES} bytes"
    assert state.version == 7
    later = state_machine.prepare(update(8, 7, service("noted", 1)))  # acknowledged by the earlier release
    assert state_machine.apply(3, encode_command(later.command)).status == HTTPStatus.OK
    assert state.version == 8


def test_a_version_that_was_encoded_on_another_state_stops_the_controller():
    state_machine = state_machine_with(10)
    other = PIECE_SEPARATOR.join([b"a long piece of another text", b"and another one"])
    command = NewVersion(b"digest", encode(8, other + b"}", 7, other))
    with pytest.raises(UnreadableLogError, match=r"^cannot apply log entry 2: configuration version 8"):
        state_machine.apply(2, encode_command(command))
    assert state_machine.state.version == 7


def test_a_malformed_snapshot_is_reported_as_an_unreadable_log():
    data = state_machine_with(10).dump()
    staged = data.rindex(encode(7, b"", 7, b"").data[:2])  # zlib's header of the last encoded version
    with pytest.raises(UnreadableLogError, match=r"^cannot decode the log's snapshot"):
        StateMachine().load(data[:staged] + b"??" + data[staged + 2 :])


def test_versions_over_the_limit_in_a_snapshot_of_an_earlier_release_are_read():
    state = state_machine_with(10).state
    large = msgspec.json.encode(with_fields(Ver=8, Pools=[service("garantie", 9 * MIB), {"Name": "reports"}]))
    state.stage(large, 8)
    state_machine, restored = StateMachine(), StateMachine()
    state_machine.state = state
    restored.load(state_machine.dump())
    assert restored.state == state
    shrunk = restored.prepare(update(9, 8, service("garantie", 1)))
    assert restored.apply(3, encode_command(shrunk.command)).status == HTTPStatus.OK
    grown = restored.prepare(update(10, 9, service("garantie", 9 * MIB)))
    assert grown == PreparedChange(grown.result)


def test_a_stored_version_is_limited_too():
    bomb = encode(8, b"0" * (configuration.MAX_STORED_BYTES + 1))
    with pytest.raises(OversizedVersionError):
        decode(bomb, b"", configuration.MAX_STORED_BYTES)


def test_a_dump_reads_the_disk_of_a_controller_that_ended_at_a_version_over_the_limit(tmp_path: Path):
    """Its snapshot has version 7; the entries after it are 8, over the limit, and another 8, acknowledged."""
    state_machine = state_machine_with(configuration.MAX_BYTES - 2000)
    snapshot = state_machine.dump()
    refused = update(8, 7, service("added", 3000))
    text = state_machine.validate(refused).configuration
    acknowledged = state_machine.prepare(update(8, 7, service("noted", 1))).command
    entries = [
        Entry(6, 2, entry_of_an_earlier_release(state_machine.state, refused, text)),
        Entry(7, 2, encode_command(acknowledged)),
    ]
    records = [
        SnapshotRecord("first", 1, "first", 5, 1, VOTERS, snapshot, []),
        HardState(2, "first"),
        EntriesRecord(entries),
    ]
    log_store = LogStore(str(tmp_path))
    log_store.recover()
    log_store.start_generation(msgspec.msgpack.encode(records[0]))
    log_store.append([msgspec.msgpack.encode(record) for record in records[1:]])
    log_store.close()
    report = DiskReport(str(tmp_path))
    assert report.summary()[3].startswith("newest version 8,")
    assert report.history[0] == (
        "entry 6, term 2: a change was refused: 413 "
        f"configuration version 8 is larger than {configuration.MAX_BYTES} bytes"
    )
    assert report.history[1] == "entry 7, term 2: version 8 on 7 was accepted"


def draft_of(state_machine: StateMachine, name: str, note_bytes: int) -> Draft:
    """Return a draft that adds a service with a note of that size to the newest version."""
    current = msgspec.json.decode(state_machine.state.configuration)
    return make_draft(current, {"Upsert": {"Pools": [service(name, note_bytes)]}}, "amel", "m3")


def test_a_draft_that_takes_the_configuration_over_the_limit_is_refused_before_it_is_proposed():
    state_machine = state_machine_with(configuration.MAX_BYTES - 50_000)
    before = state_machine.dump()
    result = state_machine.check_draft(draft_of(state_machine, "added", 100_000))
    assert result.status == HTTPStatus.CONFLICT  # with which a draft stays on the disk that has it
    assert f"at most {configuration.MAX_BYTES} are accepted" in result.reason
    assert state_machine.check_draft(draft_of(state_machine, "added", 10_000)).status == HTTPStatus.OK
    assert state_machine.dump() == before


def test_drafts_that_exceed_the_limit_together_are_read_back():
    """Both are proposed before either is merged; earlier releases proposed any draft."""
    state_machine, restored = state_machine_with(configuration.MAX_BYTES - 150_000), StateMachine()
    drafts = [draft_of(state_machine, name, 100_000) for name in ("one", "other")]
    assert [state_machine.check_draft(draft).status for draft in drafts] == [200, 200]
    for index, draft in enumerate(drafts):
        assert state_machine.apply(2 + index, encode_command(MergeDraft(draft))).status == HTTPStatus.OK
    assert len(state_machine.state.configuration) > configuration.MAX_BYTES
    restored.load(state_machine.dump())
    assert restored.state == state_machine.state
    restored.apply(4, encode_command(Activate(9)))
    shrunk = restored.prepare(update(10, 9, service("noted", 1)))
    assert restored.apply(5, encode_command(shrunk.command)).status == HTTPStatus.OK
    assert restored.state.version == 10


def test_a_proxy_reads_a_version_over_the_limit_that_an_earlier_release_stored():
    text = msgspec.json.encode({**SAMPLE, "Ver": 2, "Pools": [{**SAMPLE["Pools"][0], "Note": "n" * 9 * MIB}]})
    activated: list[RouteTable] = []
    router = SimpleNamespace(route_versions=RouteVersions(), activate=activated.append)
    rollout = VersionRollout(router, SimpleNamespace(apply_limits=lambda caps: None))
    rollout.apply(WatchReply(True, active_version=2, active_configuration=encode(2, text)))
    assert [table.version for table in activated] == [2]


async def shown_configuration(cluster: LocalCluster) -> dict:
    """Return the newest configuration, once a controller answers."""
    async with asyncio.timeout(20.0):
        while True:
            for address in cluster.control_addresses:
                with contextlib.suppress(OSError, TimeoutError):  # the controller may not listen yet
                    reply = await send_request(address, "POST", "/-/rpc?call=conf.show")
                    if reply.head.status_code == HTTPStatus.OK:
                        return msgspec.json.decode(b"".join(reply.body))
            await asyncio.sleep(0.05)


async def test_a_configuration_that_grew_to_the_limit_is_read_back_after_all_controllers_were_killed():
    note = configuration.MAX_BYTES - len(msgspec.json.encode(SAMPLE)) - 2000
    large = {**SAMPLE, "Ver": 2, "Base": 1, "Pools": [*SAMPLE["Pools"], service("noted", note)]}
    async with serving_cluster() as cluster:
        while await cluster.put(large) != HTTPStatus.OK:
            await asyncio.sleep(0.05)
        growth = {"Ver": 3, "Base": 2, "Upsert": {"Pools": [service("added", 3000)]}}
        async with asyncio.timeout(20.0):
            while not (status := await cluster.put(growth, "conf.update")):
                await asyncio.sleep(0.05)
        assert status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        for name in list(cluster.controllers):
            await cluster.kill(cluster.controllers[name])
        for name in cluster.voters:
            await cluster.start_controller(name)
        assert (await shown_configuration(cluster))["Ver"] == 2


async def test_a_draft_over_the_limit_stays_on_its_disk_until_the_configuration_has_shrunk(
    caplog: pytest.LogCaptureFixture,
):
    note = configuration.MAX_BYTES - len(msgspec.json.encode(SAMPLE)) - 50_000
    large = {**SAMPLE, "Ver": 2, "Base": 1, "Pools": [*SAMPLE["Pools"], service("noted", note)]}
    async with serving_cluster() as cluster:
        while await cluster.put(large) != HTTPStatus.OK:
            await asyncio.sleep(0.05)
        await cluster.until(lambda: cluster.controllers["m3"].state_machine.state.version == 2)
        for name in ("m1", "m2"):
            await cluster.kill(cluster.controllers[name])
        await cluster.until(lambda: not cluster.controllers["m3"].consensus.is_leader())
        draft = {"By": "amel", "Base": 2, "Upsert": {"Pools": [service("added", 100_000)]}}
        assert await cluster.put(draft, "conf.draft") == HTTPStatus.ACCEPTED
        delivery = cluster.controllers["m3"].draft_delivery
        for name in ("m1", "m2"):
            await cluster.start_controller(name)
        await cluster.until(lambda: cluster.controllers["m3"].node.leader)
        await cluster.until(lambda: "leader rejected draft" in caplog.text)
        assert len(delivery.stored()) == 1
        assert (await shown_configuration(cluster))["Ver"] == 2
        removal = {"Ver": 3, "Base": 2, "Del": {"Pools": ["noted"]}}
        async with asyncio.timeout(20.0):
            while await cluster.put(removal, "conf.update") != HTTPStatus.OK:
                await asyncio.sleep(0.05)
        await cluster.until(lambda: not delivery.stored())
        shown = await shown_configuration(cluster)
        assert (shown["Ver"], shown["Pools"][-1]["Name"]) == (4, "added")
