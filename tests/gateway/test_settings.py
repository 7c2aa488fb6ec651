"""Parsing a process's settings file."""

import tempfile

import msgspec
import pytest

from lapisgrade.gateway import settings
from lapisgrade.gateway.errors import InvalidInputError

SECOND = 1_000_000


VALID = {
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


def read(**overrides):
    with tempfile.NamedTemporaryFile("wb") as file:
        file.write(msgspec.json.encode({**VALID, **overrides}))
        file.flush()
        return settings.read(file.name)


def test_unknown_fields_and_null_are_ignored():
    read_settings = read()
    assert (read_settings.datadir, read_settings.slo.retry_window, read_settings.peers[0]) == (
        "",
        10 * SECOND,
        ("10.1.0.5", 8407),
    )
    assert str(read_settings.internal_address(1)) == "10.1.0.5:7661"


def test_each_error_is_reported_with_its_place(subtests: pytest.Subtests):
    for override, message in (
        ({"Heartbeat": "soon"}, "'soon' is not a time such as 1500ms or 2.5s"),
        ({"Peers": ["10.1.0.5"]}, "'10.1.0.5' is not an address such as 10.0.0.4:8407"),
        ({"Caps": {"Nofile": "many"}}, "'many' is not of the kind int"),
        ({"Hostname": None}, "hostname"),
    ):
        with subtests.test(override), pytest.raises(InvalidInputError) as caught:
            read(**override)
        assert message in str(caught.value)
        assert "\n" not in str(caught.value)
