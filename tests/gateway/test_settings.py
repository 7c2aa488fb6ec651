"""Reading a process's settings file."""

import tempfile
import unittest

import msgspec

from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway import settings

SECOND = 1_000_000


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
        self.assertEqual(str(told.internal_address(1)), "10.1.0.5:7661")

    def test_each_mistake_is_told_with_its_place(self):
        for over, words in (
            ({"Heartbeat": "soon"}, "'soon' is not a time such as 1500ms or 2.5s"),
            ({"Peers": ["10.1.0.5"]}, "'10.1.0.5' is not an address such as 10.0.0.4:8407"),
            ({"Caps": {"Nofile": "many"}}, "'many' is not of the kind int"),
            ({"Hostname": None}, "hostname"),
        ):
            with self.subTest(over), self.assertRaises(InvalidInputError) as caught:
                self.read(**over)
            self.assertIn(words, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
