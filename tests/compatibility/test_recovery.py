"""A cluster starts on the folders of a cluster of revision 761b3d6, and shows the same to operators.

The third controller's folder has two drafts, which were kept while it could reach no leader: they are merged
once there is one.
"""

import asyncio
import contextlib
import json
import shutil
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from support.loopback_network import wait_for_loopback_network

from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.local_cluster import LocalCluster

DATA = Path(__file__).parent / "data"
WITHIN_S = 20.0
NET = 161  # the loopback network that the stored controllers know each other by
STORED = json.loads((DATA / "dump" / "m3-conf.txt").read_text().partition("\n")[2])
STATUS_KEYS = [
    *("Newest", "InForce", "EverAccepted", "LastRefused"),
    *("Proxies", "Servers", "Leader", "Term", "Voters", "Operations"),
]
PROXY_KEYS = ["Name", "Az", "At", "Life", "Core", "Leaving", "Held", "InForce", "HeardMs"]
KEPT_DRAFT_KEYS = ["Id", "By", "At", "Base", "State", "Fields"]
MERGED_DRAFT_KEYS = ["Id", "By", "At", "Base", "State", "Stands", "Aside", "Wrong"]


async def call(cluster: LocalCluster, name: str, body: Any = None, controller: int = 0) -> tuple[int, Any]:
    """One of the operators' calls: the HTTP status, and what the body says."""
    sent = b"" if body is None else json.dumps(body).encode()
    reply = await send_request(cluster.control_addresses[controller], "POST", f"/-/rpc?call={name}", sent)
    return reply.head.status_code, json.loads(b"".join(reply.body))


async def call_until(cluster: LocalCluster, name: str, accept, body: Any = None) -> Any:
    """The body of the first answer with status 200 that is accepted."""
    deadline = time.monotonic() + WITHIN_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, TimeoutError):  # it may not listen yet
            status, said = await call(cluster, name, body)
            if status == 200 and accept(said):
                return said
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{name} was not answered as expected")


async def run_command(*arguments: str) -> tuple[int, str]:
    """An operator's command as a program: its exit code, and what it printed."""
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lapisgrade.gateway", *arguments, stdout=asyncio.subprocess.PIPE
    )
    printed, _ = await program.communicate()
    return program.returncode, printed.decode()


@contextlib.asynccontextmanager
async def recovered_cluster() -> AsyncIterator[LocalCluster]:
    with wait_for_loopback_network(NET) as network:
        cluster = LocalCluster(net=network.number)
        shutil.copytree(DATA / "stored" / "cluster", cluster.folder, dirs_exist_ok=True)
        async with cluster:
            yield cluster


def control_option(cluster: LocalCluster) -> str:
    """The operators' option that names every controller."""
    return "--ctl=" + ",".join(f"{host}:{port}" for host, port in cluster.control_addresses)


async def test_stored_configuration_and_drafts_come_into_force_and_are_shown_as_before():
    async with recovered_cluster() as cluster:
        drafts = await call_until(
            cluster, "conf.drafts", lambda said: len(said["Drafts"]) == 2 and said["Leader"]
        )
        assert list(drafts) == ["Leader", "Newest", "Drafts"]
        merged = await call_until(
            cluster, "conf.drafts", lambda said: [each["State"] for each in said["Drafts"]] == ["stands"] * 2
        )
        assert [list(each) for each in merged["Drafts"]] == [MERGED_DRAFT_KEYS] * 2
        assert sorted(each["By"] for each in merged["Drafts"]) == ["amel", "badr"]
        _, shown = await call(cluster, "conf.show")
        claim = STORED["Ports"][0]["Policy"][1]
        claim["Action"]["Svc"], claim["Prio"] = "reparation", 4
        assert shown == {**STORED, "Ver": 17}

        await cluster.start_server("garantie")  # i-1, of which the stored log says that it is gone
        await cluster.start_server("garantie")
        status = await call_until(
            cluster,
            "conf.status",
            lambda said: (
                said["Servers"]
                and [each["InForce"] for each in said["Proxies"]] == [17] * 3
                and said["InForce"] == 17
            ),
        )
        assert list(status) == STATUS_KEYS
        assert (status["Newest"], status["InForce"]) == (17, 17)
        assert [list(each) for each in status["Proxies"]] == [PROXY_KEYS] * 3
        assert [each["Name"] for each in status["Proxies"]] == ["m1", "m2", "m3"]
        assert [[type(value) for value in each.values()] for each in status["Proxies"]] == [
            [str, str, str, str, bool, bool, int, int, int]
        ] * 3
        assert status["Servers"] == {"garantie": {"Up": 1, "Slots": 4}}
        assert [list(each) for each in status["Voters"]] == [["Id", "At", "HeardMs"]] * 3
        assert [each["Id"] for each in status["Voters"]] == [f"first-127.{NET}.0.{i}" for i in (1, 2, 3)]
        assert [type(status["Leader"]), type(status["Term"])] == [str, int]

        code, printed = await run_command("status", control_option(cluster), "--json")
        assert code == 0
        assert list(json.loads(printed)) == STATUS_KEYS
        assert [list(each) for each in json.loads(printed)["Proxies"]] == [PROXY_KEYS] * 3
        code, printed = await run_command("drafts", control_option(cluster), "--json")
        assert code == 0
        assert json.loads(printed) == merged
        code, printed = await run_command("show", control_option(cluster))
        assert (code, json.loads(printed)) == (0, shown)


async def test_draft_kept_without_a_leader_is_told_by_these_keys():
    async with recovered_cluster() as cluster:
        await call_until(
            cluster, "conf.drafts", lambda said: [each["State"] for each in said["Drafts"]] == ["stands"] * 2
        )
        last = cluster.controllers["m3"]
        await cluster.until(lambda: last.state_machine.state.version == 17)
        for name in ("m1", "m2"):
            await cluster.kill(cluster.controllers[name])
        body = {"Base": 17, "By": "chedli", "Upsert": {"Pools": [{"Name": "bilan"}]}}
        async with asyncio.timeout(WITHIN_S):
            while (await call(cluster, "conf.drafts"))[1]["Leader"]:
                await asyncio.sleep(0.05)
        status, kept = await call(cluster, "conf.draft", body)
        assert (status, list(kept)) == (202, ["Id", "Base", "Disks", "InForce"])
        assert (kept["Base"], kept["Disks"], kept["InForce"]) == (17, 1, False)
        code, printed = await run_command(
            "drafts", control_option(cluster).partition(",")[0].replace("0.1:", "0.3:"), "--json"
        )
        drafts = json.loads(printed)
        assert (code, drafts["Leader"], drafts["Newest"]) == (0, False, 17)
        assert [list(each) for each in drafts["Drafts"]] == [KEPT_DRAFT_KEYS]
        assert drafts["Drafts"][0]["Fields"] == ["Pools/bilan"]


async def test_refusals_are_told_by_these_keys(subtests: pytest.Subtests):
    async with recovered_cluster() as cluster:
        await call_until(cluster, "conf.show", lambda said: True)
        for name, body, status in (
            ("conf.nothing", None, 404),
            ("conf.replace", [], 400),
            ("conf.settle", {"Id": "0123456789ab"}, 404),
            ("conf.update", {"Ver": 99, "Base": 1}, 412),
        ):
            with subtests.test(call=name):
                answer = await call(cluster, name, body)
                assert (answer[0], list(answer[1])) == (status, ["Err"])
        assert await call(cluster, "servers.deregister&of=i-9") == (200, {})
