"""Drafts: edits on both sides of a partition, merged after it heals, and the output of the operator tool."""

import asyncio
import os
import shutil
from unittest import mock

import msgspec
import pytest
from support.local_clusters import serving_cluster

from lapisgrade.gateway.cli.drafts import DraftClient
from lapisgrade.gateway.controller import drafts
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.http_client import post_to_any
from lapisgrade.gateway.local_cluster import CONTROL_PORT, SAMPLE, LocalCluster, Partition
from lapisgrade.gateway.settings import Address
from lapisgrade.lab.partitions import rejoin

POOLS = [*SAMPLE["Pools"], {"Name": "reparation"}]
TWO_SERVICES = {**SAMPLE, "Pools": POOLS}
claim_rule_edit = rejoin.claim_rule_edit


def edit(**fields) -> bytes:
    """Return an edit of the rule r-claim, as JSON."""
    return msgspec.json.encode(claim_rule_edit(**fields))


def draft_client(site: LocalCluster, name: str, lines: list[str]) -> DraftClient:
    return DraftClient([Address((site.ip[name], CONTROL_PORT))], lines.append)


async def send_draft(
    site: LocalCluster, name: str, text: bytes, author: str = "amel"
) -> tuple[int, list[str]]:
    """Send a draft to one machine's controller; return the exit code and the printed lines."""
    lines: list[str] = []
    return await draft_client(site, name, lines).send(text, author), lines


async def kill_other_controllers(site: LocalCluster, name: str) -> None:
    """Kill all controllers except that of `name`, and wait until that one doesn't lead."""
    for other in [other for other in site.controllers if other != name]:
        await site.kill(site.controllers[other])
    await site.until(lambda: not site.controllers[name].consensus.is_leader())


async def wait_for_version(site: LocalCluster, version: int) -> None:
    """Wait until every proxy has activated the version."""
    await site.until(lambda: all(proxy.active_version == version for proxy in site.proxies.values()))


def claim_rule(site: LocalCluster, name: str):
    """Return the rule r-claim in the active configuration of one machine's proxy."""
    table = site.proxies[name].router.route_versions.active
    return next(rule for rule in table.configuration.ports[0].policy if rule.name == "r-claim")


async def test_edits_of_one_route_on_both_sides_are_both_kept_and_reported() -> None:
    async with serving_cluster(TWO_SERVICES) as site:
        await kill_other_controllers(site, "m3")
        status, lines = await send_draft(site, "m3", edit(Action={"Svc": "reparation"}))
        draft_id = lines[0].split()[1]
        assert (status, lines) == (
            0,
            [
                f"draft {draft_id} on version 1: kept on 1 disk, not in force",
                "  warning: no other controller stored a copy: if this disk is lost, so is the draft",
            ],
        )
        lines = []
        assert await draft_client(site, "m3", lines).print_drafts() == 0
        assert lines == [
            "no leader is reachable: drafts that were merged elsewhere are not listed",
            f"{draft_id} by amel at m3 on version 1: kept, not in force",
            "  Routes/r-claim/Action/Svc",
        ]
        assert claim_rule(site, "m3").action.svc == "garantie"
        # On the other side of the partition, an acknowledged change edits the same route.
        await site.kill(site.controllers["m3"])
        for name in ("m1", "m2"):
            await site.start_controller(name)
        change = {"Ver": 4, "Base": 1, **claim_rule_edit(Action={"Timeout": "1500ms"}, Prio=0)}
        while await site.put(change, "conf.update") != 200:
            await asyncio.sleep(0.02)
        await site.start_controller("m3")
        await wait_for_version(site, 5)
        for name in site.names:
            rule = claim_rule(site, name)
            assert (rule.action.svc, rule.action.timeout, rule.prio) == ("reparation", 1_500_000, 0)
        lines = []
        assert await draft_client(site, "m1", lines).print_drafts() == 0
        assert lines == [f"{draft_id} by amel at m3 on version 1: merged completely"]
        await site.until(lambda: not site.controllers["m3"].draft_delivery.stored())


async def test_conflicting_fields_are_reported_and_can_be_settled_or_dropped() -> None:
    async with serving_cluster(TWO_SERVICES) as site:
        await kill_other_controllers(site, "m3")
        _, lines = await send_draft(site, "m3", edit(Prio=3, Action={"Svc": "reparation"}))
        draft_id = lines[0].split()[1]
        _, lines = await send_draft(site, "m3", edit(Mode="idem", Prio=5), "badr")
        other_id = lines[0].split()[1]
        await site.kill(site.controllers["m3"])
        for name in ("m1", "m2"):
            await site.start_controller(name)
        change = {"Ver": 4, "Base": 1, **claim_rule_edit(Prio=0)}
        while await site.put(change, "conf.update") != 200:
            await asyncio.sleep(0.02)
        await site.start_controller("m3")
        await site.until(lambda: len(site.controllers["m2"].state_machine.open_drafts()) == 2)
        lines = []
        client = draft_client(site, "m2", lines)
        assert await client.print_drafts() == 1
        assert sorted(lines) == sorted(
            [
                f"{draft_id} by amel at m3 on version 1: merged in part",
                "  Routes/r-claim/Prio: has 0, wants 3: acknowledged since",
                f"{other_id} by badr at m3 on version 1: merged in part",
                "  Routes/r-claim/Prio: has 0, wants 5: acknowledged since",
            ]
        )
        assert await client.settle(draft_id) == 0
        await site.until(lambda: all(claim_rule(site, name).prio == 3 for name in site.names))
        rule = claim_rule(site, "m1")
        assert (rule.action.svc, rule.mode) == ("reparation", "idem")
        assert await client.drop(other_id) == 0
        assert await client.drop(other_id) == 1
        assert lines[-3:] == [
            f"draft {draft_id}: its conflicting fields are applied",
            f"draft {other_id}: closed",
            "answered 404: no such draft is open",
        ]
        assert await client.print_drafts() == 0


async def test_a_draft_survives_the_loss_of_the_disk_it_was_sent_to() -> None:
    async with serving_cluster(TWO_SERVICES) as site:
        while not site.controllers["m3"].node.leader:
            await asyncio.sleep(0.02)
        # All controllers are up, but none may serve as the leader; drafts are stored nevertheless.
        for controller in site.controllers.values():
            controller.consensus.is_leader = lambda: False
        with mock.patch.object(drafts, "COPY_TIMEOUT_S", 5.0):  # for a busy test machine
            status, lines = await send_draft(site, "m3", edit(Prio=0))
        assert (status, lines[0].split(": ")[1]) == (0, "kept on 3 disks, not in force")
        await kill_other_controllers(site, "m1")
        await site.kill(site.controllers["m1"])
        shutil.rmtree(os.path.join(site.folder, "m3"))
        for name in ("m1", "m2"):
            await site.start_controller(name)
        await wait_for_version(site, 2)
        assert claim_rule(site, "m2").prio == 0


async def test_drafts_of_three_partitions_are_merged_after_a_leader_failure() -> None:
    async with serving_cluster(TWO_SERVICES) as site:
        partition = Partition(site)
        partition.isolate("m1"), partition.isolate("m2"), partition.isolate("m3")
        await site.until(
            lambda: not any(controller.consensus.is_leader() for controller in site.controllers.values())
        )
        edits = {"m1": edit(Prio=4), "m2": edit(Action={"Svc": "reparation"}), "m3": edit(Mode="idem")}
        for name, text in edits.items():
            assert (await send_draft(site, name, text, name))[0] == 0
        assert {proxy.active_version for proxy in site.proxies.values()} == {1}
        partition.isolated.clear()
        await site.until(
            lambda: any(controller.state_machine.state.drafts for controller in site.controllers.values())
        )
        leader = next(
            name for name, controller in site.controllers.items() if controller.consensus.is_established
        )
        await site.kill(site.controllers[leader])
        await site.start_controller(leader)

        def is_merged(name: str) -> bool:
            rule = claim_rule(site, name)
            return (rule.prio, rule.action.svc, rule.mode) == (4, "reparation", "idem")

        await site.until(lambda: all(is_merged(name) for name in site.names))
        await site.until(
            lambda: not any(controller.draft_delivery.stored() for controller in site.controllers.values())
        )
        assert len(site.controllers[leader].state_machine.state.merged_draft_ids) == 3


async def test_a_partition_that_recurs_during_the_merge_merges_once() -> None:
    async with serving_cluster(TWO_SERVICES) as site:
        partition = Partition(site)
        partition.isolate("m3")
        await site.until(lambda: any(site.controllers[name].consensus.is_leader() for name in ("m1", "m2")))
        await send_draft(site, "m3", edit(Action={"Svc": "reparation"}))
        change = {"Ver": 4, "Base": 1, **claim_rule_edit(Prio=0)}
        controllers = [(site.ip[name], CONTROL_PORT) for name in ("m1", "m2")]
        while await post_to_any(controllers, "/-/rpc?call=conf.update", msgspec.json.encode(change)) != 200:
            await asyncio.sleep(0.02)
        partition.isolated.clear()
        await site.until(
            lambda: any(controller.state_machine.state.drafts for controller in site.controllers.values())
        )
        partition.isolate("m3")
        await site.until(lambda: site.proxies["m1"].active_version == site.proxies["m2"].active_version == 5)
        assert (claim_rule(site, "m1").prio, claim_rule(site, "m1").action.svc) == (0, "reparation")
        partition.isolated.clear()
        await wait_for_version(site, 5)
        await site.until(lambda: not site.controllers["m3"].draft_delivery.stored())
        assert {controller.state_machine.state.version for controller in site.controllers.values()} == {5}


async def test_invalid_drafts_are_rejected_with_the_reason() -> None:
    async with serving_cluster(TWO_SERVICES) as site:
        for text, reason in (
            (edit(Action={"Svc": "nowhere"}), "service 'nowhere' is not in Pools"),
            (edit(), "nothing would change"),
            (edit(Mode="never"), "'never' is no mode"),
            (b'{"Upsert": 3}', "Upsert and Del are objects"),
        ):
            status, lines = await send_draft(site, "m2", text)
            assert status == 1
            assert reason in lines[0]
        for text in (b"{", b"[]", b'{"Ver": 3}'):
            with pytest.raises(InvalidInputError):
                await send_draft(site, "m2", text)
        body = msgspec.json.encode({"Base": 7, "By": "x", **claim_rule_edit(Prio=0)})
        assert await post_to_any(site.control_addresses[:1], "/-/rpc?call=conf.draft", body) == 412
        for body, status in ((b"{", 400), (b"[]", 400), (b'{"Base":1}', 400)):
            assert await post_to_any(site.control_addresses[:1], "/-/rpc?call=conf.draft", body) == status
        assert not any(controller.draft_delivery.stored() for controller in site.controllers.values())
