"""A proxy receives a version that it can't decode, for example with a mode that its release does not have."""

from support.local_clusters import serving_cluster

from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway.local_cluster import SAMPLE

KEY = "key-of-sfax"


def raise_configuration_error(_) -> None:
    raise ConfigurationError("'later' is no mode")


async def test_servers_and_members_are_updated_despite_an_invalid_version(logging_disabled):
    async with serving_cluster() as site:
        proxy = site.proxies["m3"]
        proxy.updates.versions._read = raise_configuration_error
        assert await site.put({**SAMPLE, "Ver": 2, "Base": 1}) == 200
        await site.until(lambda: proxy.updates.versions.requests_full_version)
        await site.start_server("garantie")
        await site.until(lambda: "i-2" in proxy.servers, timeout_s=5.0)
        assert proxy.active_version == 1
        assert (await site.get("m3", "/stock/1", KEY)).head.status_code == 200
        await site.kill(site.proxies["m1"])
        await site.until(lambda: "m1" not in proxy.quota_owner.proxies, timeout_s=10.0)
