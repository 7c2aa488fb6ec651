"""A cluster recovers from the data folders of revision 761b3d6 and gives operators the same output.

The third controller's folder contains two drafts, stored while no leader was reachable; they are merged once
a leader is elected.
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
TIMEOUT_S = 20.0  # maximum time for the cluster to reach an expected state, in seconds
NET = 161  # number of the loopback network in the addresses stored in the controllers' data
STORED = json.loads((DATA / "dump" / "m3-conf.txt").read_text().partition("\n")[2])
STATUS_KEYS = [
    *("Newest", "InForce", "EverAccepted", "LastRefused"),
    *("Proxies", "Servers", "Leader", "Term", "Voters", "Faults", "Operations"),
]
PROXY_KEYS = ["Name", "Az", "At", "Life", "Core", "Leaving", "Held", "InForce", "HeardMs"]
STORED_DRAFT_KEYS = ["Id", "By", "At", "Base", "State", "Fields"]
MERGED_DRAFT_KEYS = ["Id", "By", "At", "Base", "State", "Stands", "Aside", "Wrong"]


async def call(cluster: LocalCluster, name: str, body: Any = None, controller: int = 0) -> tuple[int, Any]:
    """Make an operator call; return the HTTP status and the decoded body."""
    request_body = b"" if body is None else json.dumps(body).encode()
    reply = await send_request(
        cluster.control_addresses[controller], "POST", f"/-/rpc?call={name}", request_body
    )
    return reply.head.status_code, json.loads(b"".join(reply.body))


async def call_until(cluster: LocalCluster, name: str, is_expected, body: Any = None) -> Any:
    """Repeat an operator call until the response has status 200 and the expected body; return the body."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, TimeoutError):  # the controller may not listen yet
            status, response = await call(cluster, name, body)
            if status == 200 and is_expected(response):
                return response
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{name}: no response had status 200 and the expected body")


async def run_command(*arguments: str) -> tuple[int, str]:
    """Run an operator command as a program and return its exit code and standard output."""
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lapisgrade.gateway", *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await program.communicate()
    return program.returncode, output.decode()


@contextlib.asynccontextmanager
async def recovered_cluster() -> AsyncIterator[LocalCluster]:
    with wait_for_loopback_network(NET) as network:
        cluster = LocalCluster(net=network.number)
        shutil.copytree(DATA / "stored" / "cluster", cluster.folder, dirs_exist_ok=True)
        async with cluster:
            yield cluster


def control_option(cluster: LocalCluster) -> str:
    """Return the command line option with the addresses of all controllers."""
    return "--ctl=" + ",".join(f"{host}:{port}" for host, port in cluster.control_addresses)


async def test_stored_configuration_and_drafts_become_active_and_are_reported_unchanged():
    async with recovered_cluster() as cluster:
        drafts = await call_until(
            cluster, "conf.drafts", lambda response: len(response["Drafts"]) == 2 and response["Leader"]
        )
        assert list(drafts) == ["Leader", "Newest", "Drafts"]
        merged = await call_until(
            cluster,
            "conf.drafts",
            lambda response: [draft["State"] for draft in response["Drafts"]] == ["stands"] * 2,
        )
        assert [list(draft) for draft in merged["Drafts"]] == [MERGED_DRAFT_KEYS] * 2
        assert sorted(draft["By"] for draft in merged["Drafts"]) == ["amel", "badr"]
        _, shown = await call(cluster, "conf.show")
        claim = STORED["Ports"][0]["Policy"][1]
        claim["Action"]["Svc"], claim["Prio"] = "reparation", 4
        assert shown == {**STORED, "Ver": 17}

        await cluster.start_server("garantie")  # i-1, which the stored log marks as gone
        await cluster.start_server("garantie")
        status = await call_until(
            cluster,
            "conf.status",
            lambda response: (
                response["Servers"]
                and [proxy["InForce"] for proxy in response["Proxies"]] == [17] * 3
                and response["InForce"] == 17
            ),
        )
        assert list(status) == STATUS_KEYS
        assert (status["Newest"], status["InForce"]) == (17, 17)
        assert [list(proxy) for proxy in status["Proxies"]] == [PROXY_KEYS] * 3
        assert [proxy["Name"] for proxy in status["Proxies"]] == ["m1", "m2", "m3"]
        assert [[type(value) for value in proxy.values()] for proxy in status["Proxies"]] == [
            [str, str, str, str, bool, bool, int, int, int]
        ] * 3
        assert status["Servers"] == {"garantie": {"Up": 1, "Slots": 4}}
        assert [list(voter) for voter in status["Voters"]] == [["Id", "At", "HeardMs"]] * 3
        assert [voter["Id"] for voter in status["Voters"]] == [f"first-127.{NET}.0.{i}" for i in (1, 2, 3)]
        assert [type(status["Leader"]), type(status["Term"])] == [str, int]

        exit_code, output = await run_command("status", control_option(cluster), "--json")
        assert exit_code == 0
        assert list(json.loads(output)) == STATUS_KEYS
        assert [list(proxy) for proxy in json.loads(output)["Proxies"]] == [PROXY_KEYS] * 3
        exit_code, output = await run_command("drafts", control_option(cluster), "--json")
        assert exit_code == 0
        assert json.loads(output) == merged
        exit_code, output = await run_command("show", control_option(cluster))
        assert (exit_code, json.loads(output)) == (0, shown)


async def test_keys_of_a_draft_stored_without_a_leader_are_unchanged():
    async with recovered_cluster() as cluster:
        await call_until(
            cluster,
            "conf.drafts",
            lambda response: [draft["State"] for draft in response["Drafts"]] == ["stands"] * 2,
        )
        third = cluster.controllers["m3"]
        await cluster.until(lambda: third.state_machine.state.version == 17)
        for name in ("m1", "m2"):
            await cluster.kill(cluster.controllers[name])
        body = {"Base": 17, "By": "chedli", "Upsert": {"Pools": [{"Name": "bilan"}]}}
        async with asyncio.timeout(TIMEOUT_S):
            while (await call(cluster, "conf.drafts"))[1]["Leader"]:
                await asyncio.sleep(0.05)
        status, stored = await call(cluster, "conf.draft", body)
        assert (status, list(stored)) == (202, ["Id", "Base", "Disks", "InForce"])
        assert (stored["Base"], stored["Disks"], stored["InForce"]) == (17, 1, False)
        exit_code, output = await run_command(
            "drafts", control_option(cluster).partition(",")[0].replace("0.1:", "0.3:"), "--json"
        )
        drafts = json.loads(output)
        assert (exit_code, drafts["Leader"], drafts["Newest"]) == (0, False, 17)
        assert [list(draft) for draft in drafts["Drafts"]] == [STORED_DRAFT_KEYS]
        assert drafts["Drafts"][0]["Fields"] == ["Pools/bilan"]


async def test_keys_of_error_responses_are_unchanged(subtests: pytest.Subtests):
    async with recovered_cluster() as cluster:
        await call_until(cluster, "conf.show", lambda _: True)
        for name, body, status in (
            ("conf.nothing", None, 404),
            ("conf.replace", [], 400),
            ("conf.settle", {"Id": "0123456789ab"}, 404),
            ("conf.update", {"Ver": 99, "Base": 1}, 412),
        ):
            with subtests.test(call=name):
                response = await call(cluster, name, body)
                assert (response[0], list(response[1])) == (status, ["Err"])
        assert await call(cluster, "servers.deregister&of=i-9") == (200, {})
