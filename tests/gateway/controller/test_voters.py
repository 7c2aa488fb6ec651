"""How many voters there are, which losses they tolerate, and what an operator sees of it."""

import asyncio
import math
import shutil
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import attrs
import pytest
from support.loopback_network import reserve_loopback_network

from lapisgrade.gateway.cli.operator_client import OperatorClient
from lapisgrade.gateway.consensus.fault_tolerance import ToleratedFaults, VoterLocation, assess
from lapisgrade.gateway.controller import quorum_monitor
from lapisgrade.gateway.local_cluster import CONTROL_PORT, SAMPLE, LocalCluster
from lapisgrade.gateway.settings import Address, Faults, Settings

DEPLOY_FILE = Path(__file__).parents[3] / "deploy" / "system.toml"


@dataclass(frozen=True)
class Deployment:
    """The machines of each zone, how many of them have a disk, and how many of these may be lost at once."""

    machines_per_zone: tuple[int, ...]
    disks_per_zone: int
    nodes: int


DEPLOYMENTS = {
    "obr-passerelle": Deployment((5, 4, 5), 1, 1),
    "ccsan-lagos-gate": Deployment((4, 4, 4), 1, 1),
    "obr-passerelle-grown, -shared": Deployment((30, 30, 36), 2, 2),
    "obr-passerelle-grown, -shared, small": Deployment((7, 7, 7), 2, 2),
    "ccsan-lagos-gate-grown, -shared": Deployment((19, 18, 15, 16), 2, 2),
    "ccsan-lagos-gate-grown, -shared, small": Deployment((6, 6, 5, 5), 2, 2),
    "obr-passerelle-large": Deployment((43, 40, 44, 37, 36), 1, 2),
    "obr-passerelle-large, small": Deployment((4, 4, 5, 4, 4), 1, 2),
    "ccsan-lagos-gate-large": Deployment((33, 33, 34, 30, 33, 37), 1, 2),
    "ccsan-lagos-gate-large, small": Deployment((4, 4, 4, 4, 4, 4), 1, 2),
}


class CustomCluster(LocalCluster):
    """A cluster with other settings: changed fields of all machines, and machines without a disk."""

    def __init__(
        self, fields: Mapping[str, object], without_disk: tuple[str, ...] = (), **options: int
    ) -> None:
        super().__init__(**options)
        self.fields = dict(fields)
        self.without_disk = without_disk

    def settings(self, name: str) -> Settings:
        settings = attrs.evolve(super().settings(name), **self.fields)
        return attrs.evolve(settings, datadir="", quorum=False) if name in self.without_disk else settings

    async def put_until_acknowledged(self, body: dict) -> None:
        async with asyncio.timeout(20.0):
            while await self.put(body) != 200:
                await asyncio.sleep(0.02)

    def voter_hosts(self, name: str) -> set[str]:
        """Return the hosts of the voters, as one controller knows them."""
        addresses = self.controllers[name].consensus.voter_addresses()
        return {address.rpartition(":")[0] for address in addresses}

    async def until_voters(self, count: int) -> None:
        """Wait until a leader is established and all nodes know that many voters."""
        await self.until(
            lambda: (
                any(each.consensus.is_leader() for each in self.controllers.values())
                and {len(each.node.voters) for each in self.controllers.values() if each.node} == {count}
            )
        )


# Guards against a controller role that is missing on machines with a disk, so that too few of them vote.
@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_each_machine_with_a_disk_votes_and_a_majority_is_left_after_the_losses_in_faults(name: str) -> None:
    deployment = DEPLOYMENTS[name]
    share = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["controller"]["share"]
    controllers = [math.ceil(share * machines) for machines in deployment.machines_per_zone]
    voters = [min(count, deployment.disks_per_zone) for count in controllers]
    assert voters == [deployment.disks_per_zone] * len(controllers)
    locations = {str(number): VoterLocation() for number in range(sum(voters))}
    report = assess(locations, ToleratedFaults(nodes=deployment.nodes))
    assert report.is_sufficient
    assert 2 * (report.voters - deployment.nodes) > report.voters


@pytest.mark.parametrize(
    ("zones", "faults", "required"),
    [
        ("", ToleratedFaults(), 1),
        ("aabbcc", ToleratedFaults(nodes=2), 5),
        ("abc", ToleratedFaults(nodes=2), 5),
        ("aabbcc", ToleratedFaults(zones=1), 5),
        ("aaabbc", ToleratedFaults(zones=1), 7),
        ("aabbcc", ToleratedFaults(zones=2), 9),
        ("aabbcc", ToleratedFaults(regions=1), 9),
        ("aabbccdddd", ToleratedFaults(nodes=1, zones=1), 9),
        ("???", ToleratedFaults(zones=1), 7),
    ],
)
def test_the_worst_fault_decides_how_many_voters_are_needed(
    zones: str, faults: ToleratedFaults, required: int
) -> None:
    region = {"a": "north", "b": "north", "c": "south", "d": "east", "?": ""}
    voters = {str(number): VoterLocation(zone.strip("?"), region[zone]) for number, zone in enumerate(zones)}
    report = assess(voters, faults)
    assert report.required_voters == required
    assert report.is_sufficient == (len(zones) >= required)


# Guards against the loss of an acknowledged version when two of six disks are emptied.
async def test_a_version_is_read_back_after_two_of_six_disks_were_emptied_and_all_processes_killed() -> None:
    with reserve_loopback_network() as network:
        async with CustomCluster({}, machines=6, voters=6, net=network.number) as site:
            await site.put_until_acknowledged(SAMPLE)
            await site.until_voters(6)
            await site.put_until_acknowledged({**SAMPLE, "Ver": 7, "Base": 1})
            for controller in list(site.controllers.values()):
                await site.kill(controller)
            for name in site.voters[:2]:
                shutil.rmtree(Path(site.folder) / name)
            for name in site.voters:
                await site.start_controller(name)
            await site.until_voters(6)
            versions = {each.state_machine.state.version for each in site.controllers.values()}
            assert versions == {7}


async def test_an_operator_sees_that_the_voters_cannot_tolerate_the_losses_in_faults(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quorum_monitor, "WARNING_DELAY_US", 0)
    monkeypatch.setattr(quorum_monitor, "CHECK_INTERVAL_S", 0.05)
    with reserve_loopback_network() as network:
        fields = {"faults": Faults(nodes=2)}
        async with CustomCluster(fields, machines=4, voters=3, net=network.number) as site:
            await site.put_until_acknowledged(SAMPLE)
            await site.until(
                lambda: (
                    all(site.proxies[name].quota_owner.fencing_token for name in site.names)
                    and len(site.proxies["m1"].quota_owner.proxies) == 4
                )
            )
            lines: list[str] = []
            client = OperatorClient([Address((site.ip["m1"], CONTROL_PORT))], lines.append)
            _, status = await client.fetch_newest()
            assert status["Faults"] == {
                **{"Nodes": 2, "Zones": 0, "Regions": 0},
                **{"Needed": 5, "Sufficient": False, "WithoutVoter": ["m4"]},
            }
            await client.print_status()
            assert lines[1] == (
                "  3 voters, 5 are needed: a loss that Faults allows leaves no majority, and what was "
                "acknowledged can't be read"
            )
            assert lines[2] == "  machines with a disk but without a voter: m4"
            await site.until(lambda: "5 voters are needed" in caplog.text)
            assert sum(each.metrics.insufficient_voters for each in site.controllers.values()) == 1
            for controller in site.controllers.values():  # as SIGHUP does
                controller.reload(attrs.evolve(controller.settings, faults=Faults(nodes=1)))
            _, status = await client.fetch_newest()
            assert status["Faults"]["Sufficient"]


async def test_a_cluster_starts_though_one_of_its_first_voters_has_no_disk() -> None:
    with reserve_loopback_network() as network:
        async with CustomCluster({}, ("m2",), machines=4, voters=4, net=network.number) as site:
            await site.put_until_acknowledged(SAMPLE)
            with_disk = {site.ip[name] for name in ("m1", "m3", "m4")}
            await site.until(
                lambda: {host for name in ("m1", "m3", "m4") for host in site.voter_hosts(name)} == with_disk
            )


# Guards against a controller without a disk that finds no leader once its seeds have none either.
async def test_a_controller_without_a_disk_follows_the_leader_after_its_seeds_lost_theirs() -> None:
    with reserve_loopback_network() as network:
        async with CustomCluster({}, ("m4", "m5"), machines=5, voters=5, net=network.number) as site:
            await site.put_until_acknowledged(SAMPLE)
            await site.until_voters(3)
            caller = site.controllers["m4"]
            assert (await caller.forwarder.forward("conf.show", "", b"")).status == 200
            seeds = (Address((site.ip["m4"], CONTROL_PORT)), Address((site.ip["m5"], CONTROL_PORT)))
            caller.reload(attrs.evolve(caller.settings, peers=seeds))
            leader = next(each for each in site.controllers.values() if each.consensus.is_leader())
            await site.kill(leader)
            async with asyncio.timeout(10.0):
                while (await caller.forwarder.forward("conf.show", "", b"")).status != 200:
                    await asyncio.sleep(0.02)
