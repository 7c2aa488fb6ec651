"""What the leader sends fits into frames: log entries, versions for proxies, and forwarded replies."""

from http import HTTPStatus
from random import Random
from types import SimpleNamespace

import msgspec
from support.configurations import with_fields

from lapisgrade.gateway import configuration, rpc_messages
from lapisgrade.gateway.configuration_delta import decode
from lapisgrade.gateway.consensus.messages import AppendEntries, Entry
from lapisgrade.gateway.consensus.replication import MAX_APPEND_BYTES, MAX_ENTRY_BYTES
from lapisgrade.gateway.controller.call_forwarding import MAX_FORWARDED_BYTES, CallForwarder
from lapisgrade.gateway.controller.commands import (
    ConfigurationChange,
    ServerLeaving,
    ServerSnapshot,
    encode_command,
)
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver, ConsensusObserver
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.registry import Server
from lapisgrade.gateway.rpc_connection import LENGTH_BYTES, MAX_FRAME_BYTES, Codec
from lapisgrade.gateway.rpc_messages import ForwardCall, ForwardCallReply

FRAMES = Codec(rpc_messages.Message)


def frame_size(message: object) -> int:
    return len(FRAMES.encode(1, message)) - LENGTH_BYTES


def with_random_note(version: int, size: int) -> ConfigurationChange:
    """Return a change to a configuration with a note of that size, which can't be compressed well."""
    note = Random(version).randbytes(size // 2).hex()
    body = with_fields(
        Ver=version, Base=version - 1, Pools=[{"Name": "garantie", "Note": note}, {"Name": "reports"}]
    )
    return ConfigurationChange(True, msgspec.json.encode(body))


def test_the_largest_entry_fits_into_a_frame_with_those_before_it():
    small = Entry(1, 9, b"s" * (MAX_APPEND_BYTES // 4))
    entries = [small] * 4 + [Entry(2, 9, b"e" * MAX_ENTRY_BYTES)]
    assert frame_size(AppendEntries(9, "i" * 64, "a" * 64, "f" * 64, 1, 1, 1, 1, entries)) <= MAX_FRAME_BYTES


def test_the_largest_accepted_version_fits_into_an_entry_of_the_log():
    prepared = StateMachine().prepare(with_random_note(1, configuration.MAX_BYTES - 1000))
    assert prepared.result.status == HTTPStatus.OK
    assert len(encode_command(prepared.command)) < MAX_ENTRY_BYTES


def test_a_proxy_that_lacks_many_large_versions_receives_them_in_several_replies():
    """All of them in one reply would be longer than a frame, so the proxy would never receive any."""
    state_machine, watch = StateMachine(), Watch(1_000_000, 0)
    for version in range(1, 8):
        prepared = state_machine.prepare(with_random_note(version, configuration.MAX_BYTES - 1000))
        state_machine.apply(version, encode_command(prepared.command))
    state_machine.state.activate(2)
    state = state_machine.state
    texts: dict[int, bytes] = {0: b""}
    while max(texts) < 7:
        newest = max(texts)
        request = rpc_messages.WatchRequest("a", "p", "1", "z", 0, "1+", 9, 0, staged_version=newest)
        reply = watch.reply_if_changed(0, request, state, [])
        assert frame_size(reply) <= MAX_FRAME_BYTES
        if reply.active_configuration is not None:
            active = reply.active_configuration
            texts[active.version] = decode(active, texts[active.base])
        for version, encoded in reply.staged_versions.items():
            texts[version] = decode(encoded, texts[encoded.base])
        assert max(texts) > newest
        assert reply.lacks_versions == (max(texts) < 7)
    assert {version: texts[version] for version in state.staged_versions} == state.staged_versions


class RecordingNode:
    """A consensus node that records what is proposed."""

    address = "10.0.0.1:1"

    def __init__(self) -> None:
        self.proposed: list[bytes] = []

    def propose(self, data: bytes, announces_commit: bool = True) -> None:
        self.proposed.append(data)


async def test_commands_too_large_for_the_log_are_not_appended():
    node = RecordingNode()
    driver = ConsensusDriver(
        StateMachine(),
        lambda *sent: None,
        lambda: 0,
        ControllerMetrics(),
        ConsensusObserver(),
        lambda error: None,
    )
    driver.start(node, SimpleNamespace(), SimpleNamespace())
    servers = [Server(f"i-{number}", "s" * 3000, "10.0.0.1:80", "z", 1, "up", 1) for number in range(5000)]
    driver.propose_all([ServerSnapshot(servers), ServerLeaving("i-1", True)])
    assert node.proposed == [encode_command(ServerLeaving("i-1", True))]
    result = await driver.propose(b"x" * (MAX_ENTRY_BYTES + 1))
    assert result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    assert len(node.proposed) == 1


async def test_a_reply_too_long_to_be_forwarded_is_an_error_and_the_longest_one_fits():
    bodies = [b"b" * MAX_FORWARDED_BYTES, b"b" * (MAX_FORWARDED_BYTES + 1)]

    async def execute(call: str, subject: str, body: bytes) -> ForwardCallReply:
        return ForwardCallReply(HTTPStatus.OK, bodies.pop(0))

    leader, calls = SimpleNamespace(is_leader=lambda: True), SimpleNamespace(execute=execute)
    forwarder = CallForwarder(leader, calls, SimpleNamespace(), SimpleNamespace(), lambda: 0)
    longest = await forwarder.execute_as_leader(ForwardCall("conf.drafts", "", b""))
    assert longest.status == HTTPStatus.OK
    assert frame_size(longest) <= MAX_FRAME_BYTES
    too_long = await forwarder.execute_as_leader(ForwardCall("conf.drafts", "", b""))
    assert too_long.status == HTTPStatus.INTERNAL_SERVER_ERROR
