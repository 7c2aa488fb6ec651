"""Responses reach only their own requests, on sockets with misbehaving servers; mutants must be detected."""

from contextlib import ExitStack
from unittest import mock

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.lab.answers import MUTANTS, ClientRequest, Findings, run_requests

pytestmark = pytest.mark.usefixtures("logging_disabled")


@pytest.mark.parametrize("seed", range(3))
async def test_a_response_ends_its_own_request_and_non_idempotent_requests_run_once(
    seed: int, loopback_network: LoopbackNetwork
) -> None:
    findings = await run_requests(seed, loopback_network.number)
    assert findings.violations() == []
    statuses = [request.status for request in findings.tries.values()]
    assert statuses.count(200) > 50


@pytest.mark.parametrize("name", MUTANTS)
async def test_each_mutant_is_detected(name: str, loopback_network: LoopbackNetwork) -> None:
    with ExitStack() as stack:
        for owner, attribute, replacement in MUTANTS[name]:
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        findings = await run_requests(9, loopback_network.number)
        assert len(findings.violations()) > 0, f"{name} was not detected"


def test_each_kind_of_violation_is_reported(subtests: pytest.Subtests) -> None:
    valid = ClientRequest(True, 200, b"/claim/1 a", True)
    for record, ran, arrived in (
        (valid, 2, 2),
        (ClientRequest(True, 503), 1, 1),
        (ClientRequest(False, 200, b"/stock/1 b", True), 1, 1),
        (ClientRequest(False, 200, b"/stock/1 a", False), 1, 1),
        (valid, 0, 1),
        (ClientRequest(False, 502), 1, 3),
    ):
        with subtests.test(record=record, ran=ran):
            findings = Findings({"a": record})
            findings.ran["a"], findings.arrived["a"] = ran, arrived
            assert len(findings.violations()) == 1
    findings = Findings({"a": valid})
    findings.ran["a"] = findings.arrived["a"] = 1
    assert findings.violations() == []
    findings.arrived["z"] = 1
    assert findings.violations() == ["z came to a server, and no client sent it"]
