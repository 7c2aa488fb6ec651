"""Small deployments on loopback, each on its own network."""

import contextlib
from collections.abc import AsyncIterator

from lapisgrade.gateway.local_cluster import LocalCluster
from support.loopback_network import reserve_loopback_network


@contextlib.asynccontextmanager
async def local_cluster() -> AsyncIterator[LocalCluster]:
    """Run three machines, each with a controller and a proxy, without servers and configuration."""
    with reserve_loopback_network() as network:
        async with LocalCluster(net=network.number) as cluster:
            yield cluster


@contextlib.asynccontextmanager
async def serving_cluster(configuration: dict | None = None, **server_options) -> AsyncIterator[LocalCluster]:
    """Run a cluster with one server and a configuration (default: the sample); every proxy knows both."""
    async with local_cluster() as cluster:
        yield await cluster.start_serving(configuration, **server_options)
