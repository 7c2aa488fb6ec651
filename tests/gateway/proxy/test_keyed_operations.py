"""A keyed operation runs once, whichever proxy gets its repeats, on three machines on loopback."""

import asyncio
import contextlib
import copy
from collections.abc import AsyncIterator
from unittest import mock

import pytest
from support.local_clusters import serving_cluster

from lapisgrade.gateway.local_cluster import SAMPLE, LocalCluster
from lapisgrade.gateway.operations.table import MAX_KEY_BYTES
from lapisgrade.gateway.proxy import process
from lapisgrade.net.http import Message

KEY = "key-of-sfax"  # the API key
KEYED = copy.deepcopy(SAMPLE)
KEYED["Ports"][0]["Policy"][1]["Mode"] = "keyed"
KEYED["Ports"][0]["Policy"][1]["Action"]["Timeout"] = "6000ms"
LONG_DEADLINE = {"Deadline-Ms": "6000"}
SHORT_DEADLINE = {"Deadline-Ms": "2000"}


@contextlib.asynccontextmanager
async def keyed_cluster(work_s: float = 0.01) -> AsyncIterator[LocalCluster]:
    """Run a cluster with a keyed route /claim/ and one server that takes `work_s` seconds per request."""
    async with serving_cluster(KEYED, work_s=work_s) as site:
        yield site


async def claim(site: LocalCluster, machine: str, key: str, **options: str) -> Message:
    """Send a request with the operation key to a machine's proxy; `options` as for `LocalCluster.get`."""
    return await site.get(machine, "/claim/1", KEY, method="POST", **{"Op-Key": key, **options})


def status(message: Message) -> int:
    return message.head.status_code


def run_count(site: LocalCluster) -> int:
    return sum(server.run_counts.total() for server in site.servers.values())


async def test_repeats_through_any_proxy_get_the_first_response_with_their_own_request_id() -> None:
    async with keyed_cluster() as site:
        first = await claim(site, "m1", "k1", id="first")
        for number, machine in enumerate(("m1", "m2", "m3")):
            repeat = await claim(site, machine, "k1", id=f"repeat-{number}")
            assert (status(repeat), b"".join(repeat.body)) == (200, b"".join(first.body))
            assert repeat.headers()[b"server-seal"] == first.headers()[b"server-seal"]
            assert repeat.headers()[b"try-id"] == f"repeat-{number}".encode()
        assert run_count(site) == 1
        await claim(site, "m2", "k2")
        assert run_count(site) == 2


async def test_repeats_meanwhile_wait_for_the_first_or_are_told_that_it_runs() -> None:
    async with keyed_cluster(work_s=4.0) as site:
        first = asyncio.create_task(claim(site, "m1", "k", **LONG_DEADLINE))
        await site.until(lambda: site.servers["i-1"].running)
        short_requests = [claim(site, machine, "k", **SHORT_DEADLINE) for machine in site.names]
        long_requests = [claim(site, machine, "k", **LONG_DEADLINE) for machine in site.names * 2]
        statuses = [
            status(response) for response in await asyncio.gather(*short_requests, first, *long_requests)
        ]
        assert (statuses, run_count(site)) == ([409] * 3 + [200] * 7, 1)


async def test_repeats_get_a_servers_error_response_and_502_after_a_lost_connection() -> None:
    async with keyed_cluster() as site:
        server = site.servers["i-1"]
        for fault, expected in (("failing", 500), ("cut", 502)):
            server.fault = fault
            assert status(await claim(site, "m1", fault)) == expected
            server.fault = ""
            statuses = [status(await claim(site, machine, fault)) for machine in site.names]
            assert statuses == [expected] * 3
        assert run_count(site) == 2


async def test_a_run_completes_after_its_client_disconnects_and_shutdown_waits_for_it() -> None:
    async with keyed_cluster(work_s=0.8) as site:
        proxy, server = site.proxies["m1"], site.servers["i-1"]
        first = asyncio.create_task(claim(site, "m1", "k"))
        await site.until(lambda: server.running)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await site.until(lambda: not proxy.host.unanswered)
        with (
            mock.patch.object(process, "SHUTDOWN_ACCEPT_S", 0.0),
            mock.patch.object(process, "SHUTDOWN_POLL_S", 0.0),
        ):
            proxy.end()
            repeat = await claim(site, "m2", "k")
        assert (status(repeat), run_count(site), server.abandoned_after_s) == (200, 1, {})


async def test_a_key_is_not_run_again_after_its_proxy_was_restarted() -> None:
    async with keyed_cluster() as site:
        await claim(site, "m1", "k")
        await site.kill(site.proxies["m1"])
        await site.start_proxy("m1")
        await site.until(lambda: site.proxies["m1"].ready)
        assert [status(await claim(site, machine, "k")) for machine in site.names] == [502] * 3
        assert run_count(site) == 1


async def test_a_claim_after_the_loss_of_a_leader_is_recorded_by_the_next_one() -> None:
    async with keyed_cluster() as site:
        await claim(site, "m1", "before")
        await site.kill(
            next(controller for controller in site.controllers.values() if controller.node.is_leader)
        )
        during = await claim(site, "m1", "during")
        assert status(during) == 200
        assert [status(await claim(site, "m2", key)) for key in ("before", "during")] == [200, 200]
        assert run_count(site) == 2


async def test_without_a_leader_a_keyed_request_is_answered_503_and_does_not_run() -> None:
    async with keyed_cluster() as site:
        for controller in list(site.controllers.values())[:2]:
            await site.kill(controller)
        rejected = await claim(site, "m1", "k", tries=1)
        assert (status(rejected), b"retry-after" in rejected.headers(), run_count(site)) == (503, True, 0)


@pytest.mark.parametrize("keys", [[], [""], ["a", "b"], ["x" * (MAX_KEY_BYTES + 1)]])
async def test_a_keyed_request_without_one_usable_key_is_answered_400(keys: list[str]) -> None:
    async with keyed_cluster() as site:
        fields = "".join(f"Op-Key: {key}\r\n" for key in keys)
        reader, writer = await asyncio.open_connection(*site.http_address("m1"))
        writer.write(
            f"POST /claim/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: t\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: 0\r\n{fields}\r\n".encode()
        )
        assert (await reader.readline()).startswith(b"HTTP/1.1 400 ")
        writer.close()
        assert run_count(site) == 0


async def test_a_mutate_request_with_a_valid_key_runs_once() -> None:
    async with serving_cluster(SAMPLE, work_s=0.01) as site:  # its route /claim/ has mode mutate
        first = await claim(site, "m1", "k", id="first")
        repeat = await claim(site, "m2", "k", id="repeat")
        assert repeat.headers()[b"server-seal"] == first.headers()[b"server-seal"]
        assert run_count(site) == 1
        oversized = await claim(site, "m1", "k" * (MAX_KEY_BYTES + 1))
        assert status(oversized) == 200  # treated as a request without a key
