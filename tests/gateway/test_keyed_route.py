"""Routes of mode `keyed`, end-to-end on a small system on loopback."""

import asyncio
from http import HTTPStatus

from support.local_clusters import local_cluster

from lapisgrade.gateway.local_cluster import SAMPLE, LocalCluster

KEY = "key-of-sfax"
STOCK, CLAIM = SAMPLE["Ports"][0]["Policy"]
KEYED = {
    **SAMPLE,
    "Ports": [{"Vhost": "a.example", "Policy": [STOCK, {**CLAIM, "Mode": "keyed"}]}],
    "Pools": [{**SAMPLE["Pools"][0], "Dedup": True}],
}


async def put_first(site: LocalCluster, configuration: dict) -> int:
    """Put a configuration until a leader replies; return the status of the reply."""
    async with asyncio.timeout(20.0):
        while True:
            status = await site.put(configuration)
            if 0 < status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return status
            await asyncio.sleep(0.02)


async def test_a_configuration_with_a_keyed_route_and_a_service_with_dedup_is_served():
    async with local_cluster() as site:
        await site.start_server("garantie")
        assert await put_first(site, KEYED) == HTTPStatus.OK
        await site.until(lambda: all(proxy.ready and proxy.servers for proxy in site.proxies.values()))
        stock = await site.get("m1", "/stock/1", KEY)
        claim = await site.get("m2", "/claim/1", KEY, method="POST", **{"Op-Key": "k-1"})
        assert [stock.head.status_code, claim.head.status_code] == [HTTPStatus.OK] * 2
        assert b"".join(claim.body) == b"garantie /claim/1"
