"""Encoded configuration versions, and the changes to them in the replicated log."""

from random import Random

import msgspec
import pytest

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode, encode
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import ConfigurationChange, NewVersion, encode_command
from lapisgrade.gateway.controller.configuration_feed import MAX_TEXTS, ConfigurationFeed
from lapisgrade.gateway.controller.state import SavedState
from lapisgrade.gateway.controller.state_machine import PreparedChange, StateMachine
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.membership.partial_view import PartialView
from lapisgrade.gateway.proxy.watch_target import WatchTarget
from lapisgrade.lab.capacity import sample_change, sample_configuration


def text(routes: int, ver: int = 7) -> bytes:
    return msgspec.json.encode(sample_configuration(routes, 5, ver))


def test_any_text_is_rebuilt_exactly_from_any_base() -> None:
    random = Random(4)
    pieces = [b"},{", b'{"Name":"a', b"1", b"}]", b"[", b""]
    for _ in range(400):
        old, new = (b"".join(random.choices(pieces, k=random.randrange(12))) for _ in range(2))
        assert decode(encode(9, new, 7, old), old) == new
        assert decode(encode(9, new)) == new


def test_a_change_is_small_whatever_the_size_of_the_configuration() -> None:
    sizes = []
    for routes in (100, 2000):
        state_machine = StateMachine()
        state_machine.apply(
            1,
            encode_command(
                ConfigurationChange(True, msgspec.json.encode({**sample_configuration(routes, 5), "Base": 0}))
            ),
        )
        sizes.append(len(encode_command(state_machine.prepare(sample_change(7)).command)))
    assert max(sizes) < 400
    assert abs(sizes[0] - sizes[1]) < 40


def test_a_different_base_under_the_same_number_is_detected() -> None:
    old, new, other = text(20), text(21, 8), text(19)
    with pytest.raises(InvalidInputError):
        decode(encode(8, new, 7, old), other)


def test_malformed_encoded_versions_are_rejected(subtests: pytest.Subtests) -> None:
    good = encode(8, text(3))
    bomb = encode(8, b"0" * (9 * 1024 * 1024))
    for bad in (
        msgspec.structs.replace(good, data=good.data[:-9]),
        msgspec.structs.replace(good, data=b"none"),
        msgspec.structs.replace(good, base=7),
        msgspec.structs.replace(good, digest=b"x" * 16),
        EncodedVersion(8, 7, good.digest, encode(1, msgspec.msgpack.encode([(0, 1 << 40)])).data),
        bomb,
    ):
        with subtests.test(bad=bad.digest), pytest.raises(InvalidInputError):
            decode(bad, b"")


def test_each_version_is_sent_as_a_delta_to_the_receivers_version() -> None:
    feed, texts = ConfigurationFeed(), {ver: text(30 + ver, ver) for ver in range(1, 5)}
    chain = feed.chain(texts, 0)
    assert [encoded.base for encoded in chain.values()] == [0, 1, 2, 3]
    assert [encoded.base for encoded in feed.chain(texts, 2).values()] == [2, 3]
    decoded = b""
    for ver, encoded_version in chain.items():
        decoded = decode(encoded_version, decoded)
        assert decoded == texts[ver]


def test_a_version_is_sent_complete_once_its_base_is_forgotten() -> None:
    feed = ConfigurationFeed()
    for ver in range(1, MAX_TEXTS + 4):
        feed.version(ver, text(3, ver), 0)
    assert feed.version(MAX_TEXTS + 3, text(3, MAX_TEXTS + 3), 1).base == 0


class VersionLog:
    """A state machine with one applied configuration change, `first`."""

    def __init__(self) -> None:
        self.state_machine = StateMachine()
        self.first = ConfigurationChange(True, msgspec.json.encode({**sample_configuration(5, 2), "Base": 0}))
        self.state_machine.apply(1, encode_command(self.state_machine.prepare(self.first).command))


@pytest.fixture
def version_log() -> VersionLog:
    return VersionLog()


def test_only_one_of_two_changes_to_the_same_base_is_applied(version_log: VersionLog) -> None:
    one, other = (
        version_log.state_machine.prepare(
            ConfigurationChange(False, msgspec.json.encode({"Ver": ver, "Base": 7}))
        ).command
        for ver in (8, 9)
    )
    assert version_log.state_machine.apply(2, encode_command(one)) == ApplyResult(200)
    assert version_log.state_machine.apply(3, encode_command(other)).status == 412
    assert version_log.state_machine.apply(4, encode_command(one)) == ApplyResult(200)  # repeated
    assert version_log.state_machine.state.version == 8


def test_two_changes_with_the_same_version_number_are_distinguished(version_log: VersionLog) -> None:
    bodies = [{"Ver": 8, "Base": 7, "Upsert": {"Pools": [{"Name": name}]}} for name in ("x", "y")]
    changes = [ConfigurationChange(False, msgspec.json.encode(body)) for body in bodies]
    one, other = (version_log.state_machine.prepare(change).command for change in changes)
    assert version_log.state_machine.apply(2, encode_command(one)) == ApplyResult(200)
    assert version_log.state_machine.apply(3, encode_command(other)).status == 412
    assert version_log.state_machine.prepare(changes[0]).result == ApplyResult(200)
    assert version_log.state_machine.prepare(changes[1]).result.status == 412


def test_an_applied_change_is_recognized_after_hundreds_of_others_a_snapshot_and_reformatted(
    version_log: VersionLog,
) -> None:
    for ver in range(8, 900):
        change = ConfigurationChange(False, msgspec.json.encode({"Ver": ver, "Base": ver - 1}))
        version_log.state_machine.apply(
            ver, encode_command(version_log.state_machine.prepare(change).command)
        )
    restored = StateMachine()
    restored.load(version_log.state_machine.dump())
    reformatted = msgspec.json.format(msgspec.json.encode({"Base": 8, "Ver": 9}), indent=2)
    assert restored.prepare(ConfigurationChange(False, reformatted)) == PreparedChange(ApplyResult(200))
    assert restored.prepare(version_log.first) == PreparedChange(ApplyResult(200))
    # Version 9 was a change of named items, this one replaces the whole configuration.
    assert restored.prepare(ConfigurationChange(True, reformatted)).result.status == 412


def test_a_change_of_a_forgotten_version_is_answered_504(version_log: VersionLog) -> None:
    state = version_log.state_machine.state
    state.forgotten_version, state.version = 700, 900
    old = ConfigurationChange(False, msgspec.json.encode({"Ver": 650, "Base": 649}))
    assert version_log.state_machine.prepare(old).result.status == 504


def test_a_snapshot_stores_one_full_text_and_deltas(version_log: VersionLog) -> None:
    for ver in range(8, 14):
        change = ConfigurationChange(False, msgspec.json.encode({"Ver": ver, "Base": ver - 1}))
        version_log.state_machine.apply(
            ver, encode_command(version_log.state_machine.prepare(change).command)
        )
    data, state = version_log.state_machine.dump(), version_log.state_machine.state
    assert len(data) < 2 * len(state.configuration)
    restored = StateMachine()
    restored.load(data)
    assert restored.state == state
    assert isinstance(msgspec.msgpack.decode(data, type=SavedState), SavedState)


def test_a_snapshot_of_an_earlier_release_is_loaded(version_log: VersionLog) -> None:
    restored = StateMachine()
    restored.load(msgspec.msgpack.encode(version_log.state_machine.state))
    assert restored.state == version_log.state_machine.state


def test_the_log_stores_what_the_operator_sent(version_log: VersionLog) -> None:
    assert msgspec.json.decode(version_log.state_machine.state.configuration) == sample_configuration(5, 2)
    assert isinstance(version_log.state_machine.prepare(sample_change(7)).command, NewVersion)


def watch_reply(term: int) -> rpc_messages.WatchReply:
    return rpc_messages.WatchReply(True, "", [], 3, None, f"{term}+")


def test_updates_of_an_earlier_term_are_ignored() -> None:
    watch_target = WatchTarget(Random(1), PartialView("127.0.0.1:1", "z", Random(1), 0), ["127.0.0.2:1"])
    watch_target.next(0)
    assert watch_target.on_reply(1, watch_reply(5))
    watch_target.next(2)
    assert not watch_target.on_reply(3, watch_reply(4))  # from a deposed leader that was isolated
    watch_target.next(4)
    assert watch_target.on_reply(5, watch_reply(6))
