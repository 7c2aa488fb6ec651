"""Connections whose descriptors have numbers above 1,023, the highest that `select` takes."""

import contextlib
import os
import resource
from collections.abc import Iterator

import pytest
from support.event_loop import on_limiter_loop
from support.limiter_site import LimiterSite

USED_DESCRIPTORS = 1_100
NEEDED_DESCRIPTORS = USED_DESCRIPTORS + 100


@contextlib.contextmanager
def used_descriptors() -> Iterator[None]:
    """Hold so many descriptors that the next ones have numbers above 1,023."""
    if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < NEEDED_DESCRIPTORS:
        pytest.skip(f"the limit of open files is below {NEEDED_DESCRIPTORS}")
    held = [os.open(os.devnull, os.O_RDONLY)]
    try:
        held += [os.dup(held[0]) for _ in range(USED_DESCRIPTORS - 1)]
        yield
    finally:
        for descriptor in held:
            os.close(descriptor)


# Guards against requests that are never answered once more than 1,023 descriptors are in use.
@on_limiter_loop
async def test_requests_are_answered_and_idle_connections_reused_above_1023_descriptors():
    with used_descriptors():
        async with LimiterSite(servers=1) as site:
            for number in range(6):
                assert (await site.request("non_idempotent", f"{number}"))[0] == 200
            assert len(site.servers[0].writers) == 1  # one connection, reused
            assert not site.service.metrics.handler_failures


@on_limiter_loop
async def test_addresses_are_updated_above_1023_descriptors():
    """As when servers drain, or a new leader sends the complete list of servers."""
    with used_descriptors():
        async with LimiterSite(servers=1) as site:
            assert (await site.request("non_idempotent", "1"))[0] == 200
            pool = site.service.host.pool
            for address in (*pool.addresses.values(), None):
                pool.update_addresses(dict.fromkeys(pool.addresses, address))
            assert not pool.addresses
