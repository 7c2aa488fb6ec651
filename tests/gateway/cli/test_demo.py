"""`system-demo`: all requests are served; failed ones are reported."""

import contextlib
import functools
import io

import pytest
from support.loopback_network import LoopbackNetwork

from lapisgrade.gateway.cli import demo
from lapisgrade.gateway.local_cluster import LocalCluster


def test_unserved_requests_are_reported_with_reason_and_proxy() -> None:
    load = demo.LoadResult()
    load.add(0.25, "m2", TimeoutError())
    load.add(0.5, "m1", TimeoutError())
    assert load.failure_lines() == [
        "  not served: 2 with TimeoutError (no complete response), the first after 0.25 s at proxy m2"
    ]


async def test_the_demo_serves_every_request_in_five_runs(
    loopback_network: LoopbackNetwork, monkeypatch: pytest.MonkeyPatch, logging_disabled: None
) -> None:
    cluster = functools.partial(LocalCluster, net=loopback_network.number)
    monkeypatch.setattr(demo, "LocalCluster", cluster)
    for _ in range(5):
        lines: list[str] = []
        with contextlib.redirect_stderr(io.StringIO()):
            status = await demo.run_demo(1.0, lines.append)
        assert status == 0, "\n".join(lines)
