"""Reports of refused configuration changes: status, log and metrics."""

import asyncio
import logging

import msgspec
import pytest
from support.configurations import VALID_CONFIGURATION, with_fields, with_rule
from support.local_clusters import local_cluster

from lapisgrade.gateway import configuration
from lapisgrade.gateway.cli.operator_client import OperatorClient
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.refused_changes import MAX_REASON_LENGTH, RefusedChanges
from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway.local_cluster import CONTROL_PORT, LocalCluster
from lapisgrade.gateway.settings import Address

UNKNOWN_MODE = with_rule(Mode="sometimes")


async def printed_status(site: LocalCluster) -> list[str]:
    """Return the lines that the command `status` prints."""
    lines: list[str] = []
    await OperatorClient([Address((site.ip["m1"], CONTROL_PORT))], lines.append).print_status()
    return lines


async def put_until(site: LocalCluster, body: dict, status: int) -> None:
    """Send a complete configuration until it is answered with `status`; at first there is no leader."""
    async with asyncio.timeout(20.0):
        while await site.put(body) != status:
            await asyncio.sleep(0.02)


async def test_status_and_log_tell_that_no_configuration_was_accepted_and_why(caplog):
    caplog.set_level(logging.WARNING, "controller")
    async with local_cluster() as site:
        await put_until(site, UNKNOWN_MODE, 400)
        lines = await printed_status(site)
        assert lines[:2] == [
            "newest version 0, in force 0",
            "  no configuration was ever accepted: every request gets 503",
        ]
        assert lines[2].startswith(
            "  last refused change: conf.replace, 400, 0 s ago: 'sometimes' is no mode"
        )
        logged = [
            message for message in caplog.messages if message.startswith("conf.replace refused with 400: ")
        ]
        assert len(logged) == 1
        counters = [controller.metrics.changes_refused for controller in site.controllers.values()]
        assert [dict(counter) for counter in counters if counter] == [{"conf.replace 400": 1}]
        await put_until(site, VALID_CONFIGURATION, 200)
        assert await site.put({"Ver": 9, "Base": 3}, "conf.update") == 412
        lines = await printed_status(site)
        assert "conf.update, 412, 0 s ago: version 7 is in force, not 3" in "".join(lines)
        assert not [line for line in lines if "ever accepted" in line]


async def test_a_duplicate_of_an_applied_change_is_not_counted_as_refused():
    async with local_cluster() as site:
        await put_until(site, VALID_CONFIGURATION, 200)
        assert await site.put(VALID_CONFIGURATION) == 200
        assert not any(controller.metrics.changes_refused for controller in site.controllers.values())


def test_the_last_refused_change_is_stored_with_a_single_line_reason_of_limited_length():
    lines: list[str] = []
    refused = RefusedChanges(ControllerMetrics(), lines.append)
    refused.record("conf.update", ApplyResult(412, "version 7 is in force, not 3"), 1_000_000)
    refused.record("conf.replace", ApplyResult(400, "many\nlines " * MAX_REASON_LENGTH), 2_000_000)
    assert refused.last is not None
    report = refused.last.report(5_000_000)
    assert (report["Call"], report["Status"], report["AgoMs"]) == ("conf.replace", 400, 3000)
    assert len(report["Reason"]) == MAX_REASON_LENGTH
    assert [line.count("\n") for line in lines] == [0, 0]
    assert len(lines[1]) < MAX_REASON_LENGTH + 50


@pytest.mark.parametrize(
    "tenants",
    [
        [{"Name": "sfax", "Apikeys": [9183475610293]}],
        [{"Name": "sfax", "Apikeys": [["9183475610293"]]}],
        [{"Name": "sfax", "Apikeys": ["9183475610293", "9183475610293"]}],
        [{"Name": "sfax", "Apikeys": ["9183475610293"], "RateS": -1}],
    ],
)
def test_the_reason_of_a_refused_change_contains_no_api_key(tenants):
    with pytest.raises(ConfigurationError) as caught:
        configuration.read(with_fields(Tenants=tenants))
    assert "9183475610293" not in str(caught.value)


def test_the_status_of_a_controller_of_an_older_release_is_printed():
    older = msgspec.json.decode(b'{"Newest":0,"InForce":0,"Proxies":[],"Servers":{}}')
    lines: list[str] = []

    class OlderClient(OperatorClient):
        async def fetch_newest(self):
            return {}, older

    asyncio.run(OlderClient([], lines.append).print_status())
    assert lines == ["newest version 0, in force 0"]
