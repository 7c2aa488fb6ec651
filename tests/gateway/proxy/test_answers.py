"""Answers and their owners, on sockets before unruly servers, and wrong versions that must be found."""

from contextlib import ExitStack
from unittest import mock

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.answers import MUTANTS, Found, Try, play

pytestmark = pytest.mark.usefixtures("silent_logging")


@pytest.mark.parametrize("seed", range(3))
async def test_a_response_ends_its_own_request_and_non_idempotent_requests_run_once(
    seed: int, loopback_network: LoopbackNetwork
) -> None:
    found = await play(seed, loopback_network.number)
    assert found.wrong() == []
    statuses = [each.status for each in found.tries.values()]
    assert statuses.count(200) > 50


@pytest.mark.parametrize("name", MUTANTS)
async def test_each_wrong_version_is_found(name: str, loopback_network: LoopbackNetwork) -> None:
    with ExitStack() as stack:
        for where, what, bad in MUTANTS[name]:
            stack.enter_context(mock.patch.object(where, what, bad))
        found = await play(9, loopback_network.number)
        assert len(found.wrong()) > 0, f"{name} was not found"


def test_each_kind_of_violation_is_reported(subtests: pytest.Subtests) -> None:
    good = Try(True, 200, b"/claim/1 a", True)
    for one, ran, arrived in (
        (good, 2, 2),
        (Try(True, 503), 1, 1),
        (Try(False, 200, b"/stock/1 b", True), 1, 1),
        (Try(False, 200, b"/stock/1 a", False), 1, 1),
        (good, 0, 1),
        (Try(False, 502), 1, 3),
    ):
        with subtests.test(one=one, ran=ran):
            found = Found({"a": one})
            found.ran["a"], found.arrived["a"] = ran, arrived
            assert len(found.wrong()) == 1
    found = Found({"a": good})
    found.ran["a"] = found.arrived["a"] = 1
    assert found.wrong() == []
    found.arrived["z"] = 1
    assert found.wrong() == ["z came to a server, and no client sent it"]
