"""The limiter's host and its pool of connections to servers, with the system's answers and manners."""

from collections.abc import Callable

from lapisgrade.decide.fleet import Attempt
from lapisgrade.gateway import SECOND
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.interface import Answer
from lapisgrade.net import front, hops
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptFinished, ClientDisconnected
from lapisgrade.net.host import Host
from lapisgrade.net.http import Message as Http

BAD_GATEWAY = 502  # what a server may have run, and has no good answer


class ProxyHost(Host):
    """The limiter's host, with the system's answers."""

    load = staticmethod(upstream_protocol.parse_load)
    changed: Callable[[], None]  # what is out has changed

    def deliver(self, client: front.Client, message: Http) -> None:
        client.answer(
            message.head.status_code,
            message.body,
            message.size,
            upstream_protocol.forwarded_headers(message, upstream_protocol.HOP_BY_HOP_HEADERS),
        )

    def worded(self, answer: Answer) -> tuple[int, bytes]:
        # One whose generator broke off has no status of its own, and may have run.
        status = getattr(answer, "status", BAD_GATEWAY)
        if answer.come_back_us <= 0:
            return status, b""
        return status, b"Retry-After: %.3f\r\n" % (answer.come_back_us / SECOND)

    def send(self, hop) -> None:
        super().send(hop)
        self.changed()

    def _landed(self, event: AttemptFinished) -> None:
        if event.reason is CloseReason.ERROR_RESPONSE:
            event.attempt.operation.handle.failure = event.message
        super()._landed(event)
        self.changed()

    def answer(self, operation: RoutedRequest, answer: Answer) -> None:
        """A final answer of our own; where a server's own failure is all there is, that one, as it came."""
        handle = operation.handle
        if handle.failure is None or handle.client is None or self.worded(answer)[0] != BAD_GATEWAY:
            return super().answer(operation, answer)
        del self.owed[handle]
        self.deliver(handle.client, handle.failure)

    def _left(self, event: ClientDisconnected) -> None:
        super()._left(event)
        self.pool.left(event.operation)


class Pool(hops.Pool):
    """The limiter's connections to servers; what a client no longer waits for is called off."""

    idle_connections: IdleConnections

    def send(self, hop: Attempt) -> None:
        """As the limiter's, but on no connection that has rested for longer than is trusted."""
        now, operation = self.now(), hop.operation
        idle = self._idle.get(hop.server.address, [])
        while idle and not idle[-1].usable():
            idle[-1].end(CloseReason.IDLE)
        if idle:
            rested = now - idle[-1].idle_from
            if self.idle_connections.is_trusted(now, operation.service, rested, operation.is_idempotent):
                self.idle_connections.on_reuse(hop, rested)
            else:
                self.counts["connections not trusted"] += len(idle)
                for link in list(idle):  # the others have rested for longer
                    link.end(CloseReason.IDLE)
        super().send(hop)

    def left(self, operation: RoutedRequest) -> None:
        for hop in [each for each in self._links if each.operation is operation]:
            self.cancel(hop)
