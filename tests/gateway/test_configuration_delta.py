"""Versions on their way: deltas rebuild a text to the byte, and a wrong base or a lie is told."""

import unittest
from random import Random

import msgspec

from lapisgrade.lab.capacity import changed, sample_configuration
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode, encode
from lapisgrade.gateway.controller.configuration_feed import MAX_TEXTS, ConfigurationFeed
from lapisgrade.gateway.proxy.watch_target import WatchTarget
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import ConfigurationChange, NewVersion, encode_command
from lapisgrade.gateway.controller.state import SavedState
from lapisgrade.gateway.controller.state_machine import PreparedChange, StateMachine
from lapisgrade.gateway.membership.partial_view import PartialView


def text(routes: int, ver: int = 7) -> bytes:
    return msgspec.json.encode(sample_configuration(routes, 5, ver))


class Deltas(unittest.TestCase):
    def test_any_two_texts_are_rebuilt_to_the_byte(self) -> None:
        chance = Random(4)
        pieces = [b"},{", b'{"Name":"a', b"1", b"}]", b"[", b""]
        for _ in range(400):
            old, new = (b"".join(chance.choices(pieces, k=chance.randrange(12))) for _ in range(2))
            self.assertEqual(decode(encode(9, new, 7, old), old), new)
            self.assertEqual(decode(encode(9, new)), new)

    def test_a_change_is_small_however_large_the_configuration(self) -> None:
        sizes = []
        for routes in (100, 2000):
            state_machine = StateMachine()
            state_machine.apply(
                1,
                encode_command(
                    ConfigurationChange(
                        True, msgspec.json.encode({**sample_configuration(routes, 5), "Base": 0})
                    )
                ),
            )
            sizes.append(len(encode_command(state_machine.prepare(changed(7)).command)))
        self.assertLess(max(sizes), 400)
        self.assertLess(abs(sizes[0] - sizes[1]), 40)

    def test_another_base_under_the_same_number_is_told(self) -> None:
        old, new, other = text(20), text(21, 8), text(19)
        with self.assertRaises(InvalidInputError):
            decode(encode(8, new, 7, old), other)

    def test_what_is_no_version_is_told(self) -> None:
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
            with self.subTest(bad=bad.digest), self.assertRaises(InvalidInputError):
                decode(bad, b"")


class Feed(unittest.TestCase):
    def test_each_version_goes_as_a_delta_on_what_the_reader_has(self) -> None:
        feed, texts = ConfigurationFeed(), {ver: text(30 + ver, ver) for ver in range(1, 5)}
        chain = feed.chain(texts, 0)
        self.assertEqual([each.base for each in chain.values()], [0, 1, 2, 3])
        self.assertEqual([each.base for each in feed.chain(texts, 2).values()], [2, 3])
        held = b""
        for ver, encoded_version in chain.items():
            held = decode(encoded_version, held)
            self.assertEqual(held, texts[ver])

    def test_it_goes_whole_where_the_base_is_not_known_any_more(self) -> None:
        feed = ConfigurationFeed()
        for ver in range(1, MAX_TEXTS + 4):
            feed.version(ver, text(3, ver), 0)
        self.assertEqual(feed.version(MAX_TEXTS + 3, text(3, MAX_TEXTS + 3), 1).base, 0)


class Versions(unittest.TestCase):
    """What the log holds of a change, and what becomes of the same one again."""

    def setUp(self) -> None:
        self.state_machine = StateMachine()
        self.first = ConfigurationChange(True, msgspec.json.encode({**sample_configuration(5, 2), "Base": 0}))
        self.state_machine.apply(1, encode_command(self.state_machine.prepare(self.first).command))

    def test_two_that_were_judged_on_one_base_are_not_both_taken(self) -> None:
        one, other = (
            self.state_machine.prepare(
                ConfigurationChange(False, msgspec.json.encode({"Ver": ver, "Base": 7}))
            ).command
            for ver in (8, 9)
        )
        self.assertEqual(self.state_machine.apply(2, encode_command(one)), ApplyResult(200))
        self.assertEqual(self.state_machine.apply(3, encode_command(other)).status, 412)
        self.assertEqual(self.state_machine.apply(4, encode_command(one)), ApplyResult(200))  # the same again
        self.assertEqual(self.state_machine.state.ver, 8)

    def test_two_under_one_number_are_told_apart(self) -> None:
        bodies = [{"Ver": 8, "Base": 7, "Upsert": {"Pools": [{"Name": name}]}} for name in ("x", "y")]
        changes = [ConfigurationChange(False, msgspec.json.encode(body)) for body in bodies]
        one, other = (self.state_machine.prepare(change).command for change in changes)
        self.assertEqual(self.state_machine.apply(2, encode_command(one)), ApplyResult(200))
        self.assertEqual(self.state_machine.apply(3, encode_command(other)).status, 412)
        self.assertEqual(self.state_machine.prepare(changes[0]).result, ApplyResult(200))
        self.assertEqual(self.state_machine.prepare(changes[1]).result.status, 412)

    def test_one_that_was_taken_is_known_after_hundreds_of_others_a_snapshot_and_in_other_clothes(
        self,
    ) -> None:
        for ver in range(8, 900):
            change = ConfigurationChange(False, msgspec.json.encode({"Ver": ver, "Base": ver - 1}))
            self.state_machine.apply(ver, encode_command(self.state_machine.prepare(change).command))
        again = StateMachine()
        again.load(self.state_machine.dump())
        respelt = msgspec.json.format(msgspec.json.encode({"Base": 8, "Ver": 9}), indent=2)
        self.assertEqual(again.prepare(ConfigurationChange(False, respelt)), PreparedChange(ApplyResult(200)))
        self.assertEqual(again.prepare(self.first), PreparedChange(ApplyResult(200)))
        self.assertEqual(
            again.prepare(ConfigurationChange(True, respelt)).result.status, 412
        )  # that one is another kind

    def test_one_too_long_ago_gets_no_clear_answer(self) -> None:
        state = self.state_machine.state
        state.forgotten, state.ver = 700, 900
        old = ConfigurationChange(False, msgspec.json.encode({"Ver": 650, "Base": 649}))
        self.assertEqual(self.state_machine.prepare(old).result.status, 504)

    def test_a_snapshot_holds_one_text_and_the_others_as_deltas(self) -> None:
        for ver in range(8, 14):
            change = ConfigurationChange(False, msgspec.json.encode({"Ver": ver, "Base": ver - 1}))
            self.state_machine.apply(ver, encode_command(self.state_machine.prepare(change).command))
        data, state = self.state_machine.dump(), self.state_machine.state
        self.assertLess(len(data), 2 * len(state.conf))
        again = StateMachine()
        again.load(data)
        self.assertEqual(again.state, state)
        self.assertIsInstance(msgspec.msgpack.decode(data, type=SavedState), SavedState)

    def test_a_snapshot_of_the_program_before_is_read(self) -> None:
        again = StateMachine()
        again.load(msgspec.msgpack.encode(self.state_machine.state))
        self.assertEqual(again.state, self.state_machine.state)

    def test_what_the_log_holds_is_what_the_operator_sent(self) -> None:
        self.assertEqual(msgspec.json.decode(self.state_machine.state.conf), sample_configuration(5, 2))
        self.assertIsInstance(self.state_machine.prepare(changed(7)).command, NewVersion)


class Reader(unittest.TestCase):
    def news(self, term: int) -> rpc_messages.WatchReply:
        return rpc_messages.WatchReply(True, "", [], 3, None, f"{term}+")

    def test_nothing_of_an_earlier_term_is_taken(self) -> None:
        watch_target = WatchTarget(Random(1), PartialView("127.0.0.1:1", "z", Random(1), 0), ["127.0.0.2:1"])
        watch_target.next(0)
        self.assertTrue(watch_target.on_reply(1, self.news(5)))
        watch_target.next(2)
        self.assertFalse(watch_target.on_reply(3, self.news(4)))  # it was cut off, and does not know it yet
        watch_target.next(4)
        self.assertTrue(watch_target.on_reply(5, self.news(6)))


if __name__ == "__main__":
    unittest.main()
