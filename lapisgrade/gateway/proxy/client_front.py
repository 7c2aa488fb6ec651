"""Clients' connections: what they send becomes a routed request, or is refused at once."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.router import RoutedRequest, Router
from lapisgrade.net.client_connection import ClientConnection
from lapisgrade.net.client_listener import ClientListener
from lapisgrade.net.http import MalformedMessageError
from lapisgrade.net.http import Message as Http

SOON = 0.2  # s after which one comes back whose version is about to be in force


class Process(Protocol):
    """What the front needs of the proxy that it works for."""

    counts: Counter[str]
    host: ProxyHost
    router: Router
    said: Callable[[str], None]


class ClientFront(ClientListener):
    """Clients' connections, in the system's own wording."""

    READINESS_TARGET = b"\0"  # readiness has an address of its own

    def __init__(self, proxy: Process, most: int) -> None:
        host = proxy.host
        super().__init__(host.enqueue, host.now, proxy.said, proxy.counts, None, most)
        self._proxy = proxy

    def parse_request(self, client: ClientConnection, message: Http) -> RoutedRequest | None:
        now, fields = self._now(), message.headers()

        def refuse(status: int, more: bytes = b"") -> None:
            client.respond_at_once(status, more, close=message.last)

        target, host = message.head.target, fields.get(b"host", b"")
        scheme, _, key = fields.get(upstream_protocol.KEY, b"").partition(b" ")
        key = key.strip() if scheme.lower() == b"bearer" else b""
        found = self._proxy.router.entry(
            now, host.decode("latin-1"), target.decode("latin-1"), key.decode("latin-1")
        )
        if found == 503:
            self._proxy.counts["answered: not in force yet"] += 1
            return refuse(503, b"Retry-After: %.1f\r\n" % SOON)
        if isinstance(found, int):
            return refuse(found)
        rule, tenant = found
        request_id, told = (
            fields.get(upstream_protocol.TRY_ID, b""),
            fields.get(upstream_protocol.DEADLINE, b""),
        )
        if not 0 < len(request_id) <= 256:
            raise MalformedMessageError("a request without an id")
        if request_id in self.open_request_ids:  # its answer might go to the wrong one
            return refuse(409)
        left = (
            min(int(told) * 1000, rule.action.timeout)
            if told.isdigit() and len(told) < 10
            else (int(rule.action.timeout))
        )
        return RoutedRequest(
            customer=tenant.name if tenant else "",
            plan=None,
            category=None,
            units=1.0,
            arrived_us=now,
            ends_us=now + max(1000, left - 12_000),
            gateways=1,
            rule=rule,
            tenant=tenant,
            svc=self._proxy.router.split.choose(rule),
            handle=upstream_protocol.Passing(
                client,
                message.head.method,
                target,
                host,
                request_id,
                None,
                message.body,
                upstream_protocol.passed(message, upstream_protocol.OURS),
                tenant.name.encode() if tenant else b"",
            ),
        )
