"""What servers and operators are answered, and what a disk keeps: approved transcripts of whole exchanges."""

import os
import tempfile
import unittest
from unittest import mock

import msgspec

from lapisgrade.gateway import api, settings, configuration
from lapisgrade.gateway.storage.log_store import Damaged, LogStore, packed, unpacked
from lapisgrade.gateway.controller.state_machine import (
    Change,
    StateMachine,
    ServerSnapshot,
    ServerLeaving,
    encoded,
)
from lapisgrade.gateway.registry import Server, Registry

SECOND = 1_000_000
RULE = {
    "Name": "r-stock",
    "Mode": "idem",
    "Target_time": "400ms",
    "Prio": 2,
    "Public": False,
    "Match": {"Pfx": "/stock/"},
    "Action": {"Svc": "garantie", "Timeout": "2500ms", "Tries": 2},
}
CLAIM = {
    "Name": "r-claim",
    "Mode": "mutate",
    "Match": {"Pfx": "/stock/claim/"},
    "Action": {"Split": [{"Svc": "garantie", "Wt": 9}, {"Svc": "reports", "Wt": 1}], "Timeout": "3s"},
}
WHOLE = {
    "Ver": 7,
    "Base": 0,
    "Caps": {"HdrBytes": 16384, "BodyBytes": 65536, "Hdr": "3000ms", "Idle": "15000ms"},
    "Tenants": [{"Name": "sfax", "Apikeys": ["k1", "k2"], "Prio": 1, "RateS": 81, "Burst": 81}],
    "Ports": [{"Vhost": "a.example", "Policy": [RULE, CLAIM]}],
    "Pools": [{"Name": "garantie", "Hcheck": "/healthz", "Maxconn": 130}, {"Name": "reports"}],
}


def changed(**over) -> dict:
    return {**WHOLE, **over}


def with_rule(**over) -> dict:
    return changed(Ports=[{"Vhost": "a.example", "Policy": [{**RULE, **over}, CLAIM]}])


def with_action(**over) -> dict:
    return with_rule(Action={**RULE["Action"], **over})


class Read(unittest.TestCase):
    def test_every_field_of_the_protocol_s_names_is_read_and_none_left_at_its_default(self):
        made = configuration.read(with_rule(Prio=2, Public=True)).ports[0].policy[0]
        self.assertEqual(
            (made.name, made.mode, made.target_time, made.prio, made.public, made.match.pfx),
            ("r-stock", "idem", 400_000, 2, True, "/stock/"),
        )
        self.assertEqual(
            (made.action.timeout, made.action.tries, made.action.svc), (2_500_000, 2, "garantie")
        )
        whole = configuration.read(changed())
        self.assertEqual(
            (whole.caps.hdr_bytes, whole.caps.body_bytes, whole.caps.hdr, whole.caps.idle),
            (16384, 65536, 3_000_000, 15_000_000),
        )
        self.assertEqual(
            (whole.tenants[0].rate_s, whole.tenants[0].burst, whole.tenants[0].prio), (81, 81, 1)
        )
        beat = {
            "Svc": "a", "Addr": "10.0.0.1:80", "Az": "z", "Ver": "v1", "Slots": 4, "State": "up",
            "Warmup_time": "900ms", "Seq": 4,
        }  # fmt: skip
        server, _ = api.beat("i-1", msgspec.json.encode(beat))
        self.assertEqual(
            (server.svc, server.address, server.zone, server.slots, server.seq, server.warm_us),
            ("a", "10.0.0.1:80", "z", 4, 4, 900_000),
        )


class Operator:
    """Sends changes, one after another, as the log would order them."""

    def __init__(self) -> None:
        self.state_machine, self.index = StateMachine(), 0

    def send(self, body: dict | bytes, whole: bool = True) -> tuple[int, str]:
        self.index += 1
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        answer = self.state_machine.take(self.index, encoded(Change(whole, data)))
        return answer.status, answer.wrong

    def shown(self) -> dict:
        return msgspec.json.decode(self.state_machine.state.conf)


class Configurations(unittest.TestCase):
    def test_it_is_read_back_as_it_was_put(self):
        operator = Operator()
        self.assertEqual(operator.send(WHOLE), (200, ""))
        self.assertEqual(operator.shown(), {name: each for name, each in WHOLE.items() if name != "Base"})

    def test_two_operators_on_one_base(self):
        operator = Operator()
        operator.send(WHOLE)
        transcript = [
            operator.send(changed(Ver=9, Base=7)),
            operator.send(changed(Ver=11, Base=7)),
            operator.send(changed(Ver=9, Base=7)),  # the winner, unsure, sends the same again
            operator.send(changed(Ver=11, Base=9)),
        ]
        self.assertEqual(transcript, [(200, ""), (412, "version 9 is in force, not 7"), (200, ""), (200, "")])

    def test_the_same_change_laid_out_another_way_is_the_same(self):
        operator = Operator()
        operator.send(WHOLE)
        again = dict(reversed(WHOLE.items()))
        self.assertEqual(operator.send(again), (200, ""))
        self.assertEqual(
            operator.send(changed(Tenants=None)), (412, "version 7 is not above 7, which is in force")
        )

    def test_each_kind_of_invalid_configuration_is_refused_with_what_is_wrong(self):
        operator = Operator()
        operator.send(changed(Ver=3))
        cut = msgspec.json.encode(WHOLE)[:-9]
        split = [{"Svc": "garantie", "Wt": 0}, {"Svc": "reports", "Wt": 0}]
        cases = {
            "cut short": (cut, "the body is not whole JSON"),
            "unknown service": (with_action(Svc="nobody"), "route r-stock: service 'nobody' is not in Pools"),
            "no time-out": (with_action(Timeout="0ms"), "Timeout is 0, not above 0"),
            "weight below 0": (
                with_action(Svc="", Split=[{"Svc": "reports", "Wt": -1}]),
                "Wt is -1, below 0",
            ),
            "no weight": (with_action(Svc="", Split=split), "the weights of Split add up to 0"),
            "bare prefix": (with_rule(Match={"Pfx": "stock/"}), "'stock/' does not begin with a slash"),
            "old version": (changed(Ver=3, Base=3, Tenants=[]), "version 3 is not above 3"),
            "a name twice": (with_rule(Name="r-claim"), "a route stands twice: 'r-claim'"),
            "a number as text": (changed(Ver="7"), "Ver and Base are whole numbers"),
        }
        for name, (body, words) in cases.items():
            with self.subTest(name):
                if isinstance(body, dict) and name not in ("old version",):
                    body = {**body, "Base": 3}
                status, wrong = operator.send(body)
                self.assertEqual(status, 400)
                self.assertIn(words, wrong)
        self.assertEqual(operator.state_machine.state.ver, 3)

    def test_a_key_is_never_told(self):
        twice = [{"Name": "a", "Apikeys": ["secret"]}, {"Name": "b", "Apikeys": ["secret"]}]
        self.assertEqual(Operator().send(changed(Tenants=twice)), (400, "a key stands twice"))

    def test_named_items_are_changed_and_removed_and_the_rest_stays(self):
        operator = Operator()
        operator.send(WHOLE)
        new = {**RULE, "Name": "r-new", "Match": {"Pfx": "/new/"}}
        change = {
            "Ver": 9,
            "Base": 7,
            "Del": {"Routes": ["r-claim"]},
            "Upsert": {
                "Ports": [{"Vhost": "a.example", "Policy": [{**RULE, "Prio": 0}, new]}],
                "Tenants": [{"Name": "port", "Apikeys": ["k3"]}],
            },
        }
        self.assertEqual(operator.send(change, whole=False), (200, ""))
        shown = operator.shown()
        self.assertEqual(shown["Ports"], [{"Vhost": "a.example", "Policy": [{**RULE, "Prio": 0}, new]}])
        self.assertEqual([each["Name"] for each in shown["Tenants"]], ["sfax", "port"])
        self.assertEqual((shown["Ver"], shown["Pools"]), (9, WHOLE["Pools"]))
        self.assertEqual(operator.send(change, whole=False), (200, ""))

    def test_a_state_goes_through_a_snapshot(self):
        operator, other = Operator(), StateMachine()
        operator.send(WHOLE)
        operator.state_machine.take(2, encoded(ServerLeaving("i-1", False)))
        operator.state_machine.take(
            3, encoded(ServerSnapshot([Server("i-2", "garantie", "10.0.0.1:80", "z", 2, "up", 4)]))
        )
        other.load(operator.state_machine.dump())
        self.assertEqual(other.state, operator.state_machine.state)


class Routes(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_that_begins_the_path(self):
        table = configuration.Table(
            configuration.read({name: each for name, each in WHOLE.items() if name != "Base"})
        )
        asked = ["/stock/2f", "/stock/claim/1?x=/stock/", "/stockroom", "/", "/stock/claim"]
        found = [rule.name if (rule := table.route("A.example", path)) else None for path in asked]
        self.assertEqual(found, ["r-stock", "r-claim", None, None, "r-stock"])
        self.assertIsNone(table.route("b.example", "/stock/"))
        self.assertEqual(table.keys["k2"].name, "sfax")


GOOD = {
    "Hostname": "edge-1",
    "Ip": "10.1.0.5",
    "Az": "usine",
    "Bind": {"Http": "10.1.0.5:8405"},
    "Portrange": [7660, 7675],
    "Peers": ["10.1.0.5:8407"],
    "Datadir": None,
    "Unheard": {"of": 1},
    "Slo": {"RetryWindow": "10s", "QuotaExcess": 0.1},
    "Caps": {"Nofile": 4100, "Cpu": 0.75},
}


class Settings(unittest.TestCase):
    def read(self, **over):
        with tempfile.NamedTemporaryFile("wb") as file:
            file.write(msgspec.json.encode({**GOOD, **over}))
            file.flush()
            return settings.read(file.name)

    def test_unknown_fields_and_null_are_passed_over(self):
        told = self.read()
        self.assertEqual(
            (told.datadir, told.slo.retry_window, told.peers[0]), ("", 10 * SECOND, ("10.1.0.5", 8407))
        )
        self.assertEqual(str(told.inner(1)), "10.1.0.5:7661")

    def test_each_mistake_is_told_with_its_place(self):
        for over, words in (
            ({"Heartbeat": "soon"}, "'soon' is not a time such as 1500ms or 2.5s"),
            ({"Peers": ["10.1.0.5"]}, "'10.1.0.5' is not an address such as 10.0.0.4:8407"),
            ({"Caps": {"Nofile": "many"}}, "'many' is not of the kind int"),
            ({"Hostname": None}, "hostname"),
        ):
            with self.subTest(over), self.assertRaises(settings.Bad) as caught:
                self.read(**over)
            self.assertIn(words, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))


class Disk(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def path(self, number: int) -> str:
        return os.path.join(self.folder.name, f"log-{number}.dat")

    def filled(self) -> LogStore:
        log_store = LogStore(self.folder.name)
        self.assertEqual(log_store.recover(), [])
        log_store.renew(b"begin")
        log_store.append([b"a" * 700, b"b"])
        return log_store

    def test_what_was_appended_is_recovered_without_the_index(self):
        self.filled()
        for name in os.listdir(self.folder.name):
            if not name.endswith(".dat"):
                os.remove(os.path.join(self.folder.name, name))
        self.assertEqual(LogStore(self.folder.name).recover(), [b"begin", b"a" * 700, b"b"])

    def test_every_torn_end_gives_a_beginning(self):
        self.filled()
        with open(self.path(1), "rb") as file:
            whole = file.read()
        for size in range(0, len(whole), 37):
            records, _ = unpacked(whole[:size])
            self.assertEqual(records, [b"begin", b"a" * 700, b"b"][: len(records)])

    def test_a_gap_below_what_was_surely_there_is_damage_and_above_it_a_torn_end(self):
        log_store = self.filled()
        log_store.append([b"c"])
        with open(self.path(1), "r+b") as file:
            file.seek(512 + 40)
            file.write(b"?")
        with self.assertRaises(Damaged):
            LogStore(self.folder.name).recover()
        torn = bytearray().join(
            each.ljust(512, b"\0")
            for each in (packed(1, 0, b"x"), packed(2, 1, b"y")[:-1] + b"?", packed(3, 1, b"z"))
        )
        self.assertEqual(unpacked(bytes(torn)), ([b"x"], 1))

    def test_a_new_generation_counts_only_once_it_is_whole(self):
        log_store = self.filled()
        with mock.patch("os.fsync", side_effect=OSError("no space")), self.assertRaises(OSError):
            log_store.renew(b"begin again")
        with open(self.path(2), "r+b") as file:
            file.truncate(20)
        self.assertEqual(LogStore(self.folder.name).recover(), [b"begin", b"a" * 700, b"b"])
        log_store.renew(b"third")
        self.assertEqual(LogStore(self.folder.name).recover(), [b"third"])
        self.assertFalse(os.path.exists(self.path(1)))


def beat(
    registry: Registry,
    now: float,
    name: str = "i-1",
    seq: int = 1,
    state: str = "up",
    at: str = "10.0.0.1:80",
):
    registry.beat(int(now * SECOND), Server(name, "garantie", at, "z", 2, state, seq))


class Register(unittest.TestCase):
    def told(self, registry: Registry, turn: int = 0) -> dict[str, str]:
        return {each.id: each.state for each in registry.since(0, turn)}

    def test_a_server_is_lost_after_some_beats_and_only_once_a_round_was_heard(self):
        registry = Registry(SECOND, 0)
        registry.known(0, [Server("i-9", "garantie", "10.0.0.9:80", "z", 2, "up", 7)])
        beat(registry, 0.1)
        registry.due(2 * SECOND)
        self.assertEqual(self.told(registry), {"i-9": "up", "i-1": "up"})
        beat(registry, 3.0, seq=2)
        registry.due(4 * SECOND)
        self.assertEqual(self.told(registry), {"i-9": "lost", "i-1": "up"})

    def test_a_late_beat_and_one_after_the_end_change_nothing(self):
        registry = Registry(SECOND, 0)
        beat(registry, 0.1, seq=5)
        registry.left(SECOND, "i-1", False)
        beat(registry, 1.2, seq=4, at="10.0.0.2:80")
        beat(registry, 1.3, seq=6)
        self.assertEqual(self.told(registry), {"i-1": "drain"})
        registry.left(2 * SECOND, "i-1", True)
        beat(registry, 2.1, seq=7)
        self.assertEqual(self.told(registry), {"i-1": "gone"})

    def test_an_address_passes_to_its_newest_life(self):
        registry = Registry(SECOND, 0)
        beat(registry, 0.1)
        beat(registry, 1.0, name="i-2")
        self.assertEqual(self.told(registry), {"i-1": "gone", "i-2": "up"})

    def test_a_late_beat_brings_no_lost_server_back(self):
        registry = Registry(SECOND, 0)
        beat(registry, 0.1, seq=5)
        beat(registry, 3.0, name="i-2", at="10.0.0.2:80")
        registry.due(4 * SECOND)
        beat(registry, 4.5, seq=4)
        self.assertEqual(self.told(registry)["i-1"], "lost")
        beat(registry, 4.6, seq=6)
        self.assertEqual(self.told(registry)["i-1"], "up")

    def test_a_late_beat_of_an_unknown_life_takes_no_address_from_another_service(self):
        registry = Registry(SECOND, 0)
        registry.beat(SECOND, Server("i-2", "reports", "10.0.0.1:80", "z", 2, "up", 1))
        beat(registry, 1.5, name="i-1", seq=90)  # of one that ended before a new leader came
        self.assertEqual(self.told(registry), {"i-2": "up"})
        beat(registry, 3.5, name="i-3")  # the other one was not heard since: it has ended
        self.assertEqual(self.told(registry), {"i-2": "gone", "i-3": "up"})

    def test_all_servers_of_a_large_deployment_may_leave_at_once(self):
        state_machine = StateMachine()
        for number in range(13_000):
            state_machine.take(number, encoded(ServerLeaving(f"i-{number}", number % 2 == 0)))
        self.assertEqual(len(state_machine.state.left), 13_000)
        again = StateMachine()
        again.load(state_machine.dump())
        self.assertEqual(again.state, state_machine.state)

    def test_a_call_that_is_none_is_refused(self):
        asked = [
            ("POST", "/-/rpc?call=servers.heartbeat&of=i-1"),
            ("GET", "/-/rpc?call=conf.show"),
            ("POST", "/-/rpc?call=conf.drop"),
            ("POST", "/other"),
            ("POST", "/-/rpc?call=servers.deregister"),
        ]
        found = [each if isinstance(each := api.called(*one), int) else each[0].name for one in asked]
        self.assertEqual(found, ["servers.heartbeat", 405, 404, 404, 400])
        with self.assertRaises(settings.Bad):
            api.beat("i-1", b'{"Svc":"garantie","Addr":"10.0.0.1:80","Seq":"4"}')


if __name__ == "__main__":
    unittest.main()
