"""Servers that record every run of a keyed request, and that answer well, late, wrongly or not at all.

A pool stands for a proxy's connections. It writes the real request head, reads the servers' real responses
and has them judged by the real protocol (`upstream_protocol`), without sockets.
"""

from enum import Enum, auto
from typing import Any, Protocol

import h11

from lapisgrade.gateway.http_server import encode_response
from lapisgrade.gateway.routing.upstream_protocol import UpstreamProtocol
from lapisgrade.lab.simulation.operations.history import OK, OperationHistory, Run
from lapisgrade.lab.simulation.virtual_loop import SECOND, Process, VirtualLoop
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed
from lapisgrade.net.http import Message, MessageParser

MIN_WAY_US, MAX_WAY_US = 300, 5_000  # between a proxy and a server
MIN_WORK_US, MAX_WORK_US = 5_000, 400_000
MAX_LATE_US = 3 * SECOND  # that a request stays on its way, or an answer is late
MAX_BODY_BYTES = 300
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
MISDIRECTED_REQUEST = 421


class Behaviour(Enum):
    """What a server does with a request."""

    ANSWER = auto()
    FAIL = auto()  # runs it, and answers 500
    ANSWER_WITHOUT_SEAL = auto()  # runs it, and its answer is none of the protocol
    TURN_AWAY = auto()  # 503 with Not-Run
    MISDIRECTED = auto()  # 421
    REFUSE_CONNECTION = auto()
    LOSE_ANSWER = auto()  # runs it, and the connection breaks
    ANSWER_LATE = auto()
    START_LATE = auto()  # the request is on its way for long


BEHAVIOUR_WEIGHTS = {
    Behaviour.ANSWER: 70,
    Behaviour.FAIL: 4,
    Behaviour.ANSWER_WITHOUT_SEAL: 2,
    Behaviour.TURN_AWAY: 7,
    Behaviour.MISDIRECTED: 2,
    Behaviour.REFUSE_CONNECTION: 4,
    Behaviour.LOSE_ANSWER: 5,
    Behaviour.ANSWER_LATE: 4,
    Behaviour.START_LATE: 4,
}
TURNED_AWAY = {Behaviour.TURN_AWAY: SERVICE_UNAVAILABLE, Behaviour.MISDIRECTED: MISDIRECTED_REQUEST}


class PoolOwner(Protocol):
    """The proxy that a pool belongs to."""

    process: Process
    host: Any
    simulation: Any


class RecordingServers:
    """All servers of the simulation; runs go into the history."""

    def __init__(self, loop: VirtualLoop, history: OperationHistory) -> None:
        self.loop = loop
        self.random = loop.random
        self.history = history
        self.run_count = 0
        self.is_calm = False  # all requests are answered well
        self.is_overloaded = False  # all are turned away

    def draw_behaviour(self) -> Behaviour:
        """Return what happens to the next request."""
        if self.is_overloaded:
            return Behaviour.TURN_AWAY
        if self.is_calm:
            return Behaviour.ANSWER
        return self.random.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]

    def run(self, request: Message, behaviour: Behaviour) -> bytes:
        """Begin to work on a request; return the response."""
        status = INTERNAL_SERVER_ERROR if behaviour is Behaviour.FAIL else OK
        self.run_count += 1
        headers = request.headers()
        operation = headers[b"tenant"].decode(), headers[b"op-key"].decode()
        try_id, seal = headers[b"try-id"].decode(), f"seal-{self.run_count}"
        body = f"run {self.run_count} of {operation}".encode().ljust(self.random.randrange(MAX_BODY_BYTES))
        asked = b"".join(bytes(each) for each in request.body)
        self.history.on_run(Run(operation, try_id, self.loop.now_us, asked, status, body, seal))
        has_seal = status == OK and behaviour is not Behaviour.ANSWER_WITHOUT_SEAL
        seal_line = f"Server-Seal: {seal}\r\n" if has_seal else ""
        return encode_response(status, body, f"Try-Id: {try_id}\r\n{seal_line}".encode())


class RecordedPool:
    """One proxy's connections to the servers."""

    def __init__(self, servers: RecordingServers, proxy: PoolOwner) -> None:
        self._servers = servers
        self._proxy = proxy
        self._loop = servers.loop
        self._protocol = UpstreamProtocol()
        self._in_flight: set[Any] = set()

    def update_addresses(self, addresses: dict) -> None:
        """Ignore the servers' addresses."""

    def send(self, attempt: Any) -> None:
        """Write an attempt to its server."""
        self._in_flight.add(attempt)
        self._proxy.simulation.on_request_sent(self._proxy, attempt)
        behaviour = self._servers.draw_behaviour()
        if behaviour is Behaviour.REFUSE_CONNECTION:
            return self._close_after(MAX_WAY_US, attempt, CloseReason.CONNECTION_REFUSED)
        left_us = max(1, attempt.operation.deadline_us - attempt.sent_us)
        self._close_after(left_us, attempt, CloseReason.TIMED_OUT)
        request = self._encode_request(attempt, left_us / SECOND)
        way_us = self._way_us()
        if behaviour is Behaviour.START_LATE:
            way_us = self._servers.random.randrange(MAX_LATE_US)
        self._loop.schedule(way_us, None, self._on_request, attempt, request, behaviour)

    def cancel(self, attempt: Any) -> None:
        """Close the connection of an attempt; its request is written, and still arrives."""
        self._close(attempt, CloseReason.CANCELLED)

    def cancel_operation(self, operation: Any) -> None:
        """Cancel all attempts of an operation."""
        for attempt in [each for each in self._in_flight if each.operation is operation]:
            self.cancel(attempt)

    def _encode_request(self, attempt: Any, seconds_left: float) -> Message:
        body = b"".join(bytes(each) for each in attempt.operation.handle.body)
        message = MessageParser(h11.SERVER).feed(self._protocol.encode_head(attempt, seconds_left) + body)
        assert message is not None
        return message

    def _way_us(self) -> int:
        return self._servers.random.randrange(MIN_WAY_US, MAX_WAY_US)

    def _on_request(self, attempt: Any, request: Message, behaviour: Behaviour) -> None:
        """A request arrives at its server."""
        if behaviour in TURNED_AWAY:
            try_id = request.headers()[b"try-id"]
            head = b"Try-Id: %b\r\nNot-Run: 1\r\n" % try_id
            return self._answer_after(0, attempt, encode_response(TURNED_AWAY[behaviour], b"", head))
        response = self._servers.run(request, behaviour)
        work_us = self._servers.random.randrange(MIN_WORK_US, MAX_WORK_US)
        if behaviour is Behaviour.LOSE_ANSWER:
            return self._close_after(work_us, attempt, CloseReason.CONNECTION_LOST)
        if behaviour is Behaviour.ANSWER_LATE:
            work_us += self._servers.random.randrange(MAX_LATE_US)
        self._answer_after(work_us, attempt, response)

    def _answer_after(self, delay_us: int, attempt: Any, response: bytes) -> None:
        self._loop.schedule(
            delay_us + self._way_us(), self._proxy.process, self._on_response, attempt, response
        )

    def _on_response(self, attempt: Any, response: bytes) -> None:
        message = MessageParser(h11.CLIENT).feed(response)
        assert message is not None
        self._close(attempt, self._protocol.classify(attempt, message), message)

    def _close_after(self, delay_us: int, attempt: Any, reason: CloseReason) -> None:
        self._loop.schedule(delay_us, self._proxy.process, self._close, attempt, reason)

    def _close(self, attempt: Any, reason: CloseReason, message: Message | None = None) -> None:
        """Tell the host of an attempt's end, once."""
        if attempt not in self._in_flight:
            return
        self._in_flight.discard(attempt)
        self._proxy.host.enqueue(AttemptClosed(attempt, reason, message))
