"""Reports this proxy's requests in flight by server, and unhealthy servers, to the neighbours."""

import asyncio
import contextlib

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.subsets import REPORT_INTERVAL_US
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address

BATCH_DELAY_S = 0.006  # changes within this time are sent in one report


class LoadReporter:
    """Sends a report shortly after each change, and periodically when there are no changes."""

    def __init__(self, context: ProxyContext, router: Router, rpc: RpcEndpoint) -> None:
        self._context = context
        self._router = router
        self._rpc = rpc
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    def close(self) -> None:
        """Send no further reports."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()

    def on_change(self) -> None:
        """Schedule a report; changes within the batch delay share one report."""
        if self._is_closed:
            return
        loop = asyncio.get_running_loop()
        if self._timer is None or self._timer.when() - loop.time() > BATCH_DELAY_S:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.call_later(BATCH_DELAY_S, self._send)

    def _send(self) -> None:
        # Repeated without changes, so that neighbours can treat a proxy without reports as terminated.
        self._timer = asyncio.get_running_loop().call_later(REPORT_INTERVAL_US / SECOND, self._send)
        hostname = self._context.settings.hostname
        report = rpc_messages.ProxyLoads(hostname, self._router.in_flight(), self._router.unhealthy_servers())
        for neighbour in self._router.subsets.neighbours.values():
            with contextlib.suppress(ValueError):  # an earlier release may have listed an invalid address
                self._rpc.post(parse_address(neighbour), report)
