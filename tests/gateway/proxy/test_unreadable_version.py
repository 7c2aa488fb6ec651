"""A proxy that is told of a version that it can't read, as one of a release before a new mode."""

from support.local_clusters import serving_cluster

from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway.local_cluster import SAMPLE

KEY = "key-of-sfax"


def refuse(_) -> None:
    raise ConfigurationError("'later' is no mode")


async def test_a_version_that_a_proxy_cannot_read_does_not_keep_servers_and_members_from_it(silent_logging):
    async with serving_cluster() as site:
        proxy = site.proxies["m3"]
        proxy.updates.versions._read = refuse
        assert await site.put({**SAMPLE, "Ver": 2, "Base": 1}) == 200
        await site.until(lambda: proxy.updates.versions.requests_full_version)
        await site.start_server("garantie")
        await site.until(lambda: "i-2" in proxy.servers, within=5.0)
        assert proxy.active_version == 1
        assert (await site.get("m3", "/stock/1", KEY)).head.status_code == 200
        await site.kill(site.proxies["m1"])
        await site.until(lambda: "m1" not in proxy.quota_owner.proxies, within=10.0)
