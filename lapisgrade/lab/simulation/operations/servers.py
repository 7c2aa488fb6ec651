"""Servers that record every run of a keyed request, and respond correctly, late, incorrectly or not at all.

A pool replaces a proxy's connections. It encodes requests, and parses and classifies responses, with the
production code (`upstream_protocol`) but without sockets.
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

MIN_DELAY_US, MAX_DELAY_US = 300, 5_000  # network delay between a proxy and a server
MIN_SERVICE_TIME_US, MAX_SERVICE_TIME_US = 5_000, 400_000  # duration of a run
MAX_EXTRA_DELAY_US = 3 * SECOND  # maximum delay of a late request or response
MAX_BODY_BYTES = 300
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
MISDIRECTED_REQUEST = 421


class Behaviour(Enum):
    """The way a server handles a request."""

    ANSWER = auto()
    FAIL = auto()  # run it, and respond 500
    ANSWER_WITHOUT_SEAL = auto()  # run it, and respond in violation of the protocol
    REJECT = auto()  # respond 503 with Not-Run
    MISDIRECTED = auto()  # respond 421
    REFUSE_CONNECTION = auto()
    LOSE_ANSWER = auto()  # run it, and break the connection without a response
    ANSWER_LATE = auto()  # run it, and respond late
    START_LATE = auto()  # receive the request late


BEHAVIOUR_WEIGHTS = {
    Behaviour.ANSWER: 70,
    Behaviour.FAIL: 4,
    Behaviour.ANSWER_WITHOUT_SEAL: 2,
    Behaviour.REJECT: 7,
    Behaviour.MISDIRECTED: 2,
    Behaviour.REFUSE_CONNECTION: 4,
    Behaviour.LOSE_ANSWER: 5,
    Behaviour.ANSWER_LATE: 4,
    Behaviour.START_LATE: 4,
}
REJECTION_STATUSES = {Behaviour.REJECT: SERVICE_UNAVAILABLE, Behaviour.MISDIRECTED: MISDIRECTED_REQUEST}


class PoolOwner(Protocol):
    """The proxy that a pool belongs to, with its process, host and simulation."""

    process: Process
    host: Any
    simulation: Any


class RecordingServers:
    """All servers of the simulation, which record their runs in the history.

    Attributes:
        run_count: Number of runs so far.
        always_succeeds: Whether all requests succeed.
        is_overloaded: Whether all requests are rejected; takes precedence.
    """

    def __init__(self, loop: VirtualLoop, history: OperationHistory) -> None:
        self.loop = loop
        self.random = loop.random
        self.history = history
        self.run_count = 0
        self.always_succeeds = False
        self.is_overloaded = False

    def draw_behaviour(self) -> Behaviour:
        """Return the behaviour for the next request."""
        if self.is_overloaded:
            return Behaviour.REJECT
        if self.always_succeeds:
            return Behaviour.ANSWER
        return self.random.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]

    def run(self, request: Message, behaviour: Behaviour) -> bytes:
        """Record the run of a request; return the response."""
        status = INTERNAL_SERVER_ERROR if behaviour is Behaviour.FAIL else OK
        self.run_count += 1
        headers = request.headers()
        operation = headers[b"tenant"].decode(), headers[b"op-key"].decode()
        try_id, seal = headers[b"try-id"].decode(), f"seal-{self.run_count}"
        body = f"run {self.run_count} of {operation}".encode().ljust(self.random.randrange(MAX_BODY_BYTES))
        request_body = b"".join(bytes(each) for each in request.body)
        self.history.on_run(Run(operation, try_id, self.loop.now_us, request_body, status, body, seal))
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
        """Do nothing; `RecordingServers` receives all attempts, without a network address."""

    def send(self, attempt: Any) -> None:
        """Send an attempt to its server."""
        self._in_flight.add(attempt)
        self._proxy.simulation.on_request_sent(self._proxy, attempt)
        behaviour = self._servers.draw_behaviour()
        if behaviour is Behaviour.REFUSE_CONNECTION:
            return self._close_after(MAX_DELAY_US, attempt, CloseReason.CONNECTION_REFUSED)
        time_left_us = max(1, attempt.operation.deadline_us - attempt.sent_us)
        self._close_after(time_left_us, attempt, CloseReason.TIMED_OUT)
        request = self._encode_request(attempt, time_left_us / SECOND)
        delay_us = self._delay_us()
        if behaviour is Behaviour.START_LATE:
            delay_us = self._servers.random.randrange(MAX_EXTRA_DELAY_US)
        self._loop.schedule(delay_us, None, self._on_request, attempt, request, behaviour)

    def cancel(self, attempt: Any) -> None:
        """Close the connection of an attempt; its request still arrives at the server."""
        self._close(attempt, CloseReason.CANCELLED)

    def cancel_operation(self, operation: Any) -> None:
        """Cancel all attempts of an operation."""
        for attempt in [each for each in self._in_flight if each.operation is operation]:
            self.cancel(attempt)

    def _encode_request(self, attempt: Any, seconds_left: float) -> Message:
        """Return the request as the server parses it."""
        body = b"".join(bytes(each) for each in attempt.operation.handle.body)
        message = MessageParser(h11.SERVER).feed(self._protocol.encode_head(attempt, seconds_left) + body)
        assert message is not None
        return message

    def _delay_us(self) -> int:
        return self._servers.random.randrange(MIN_DELAY_US, MAX_DELAY_US)

    def _on_request(self, attempt: Any, request: Message, behaviour: Behaviour) -> None:
        """Handle a request that arrives at its server."""
        if behaviour in REJECTION_STATUSES:
            try_id = request.headers()[b"try-id"]
            head = b"Try-Id: %b\r\nNot-Run: 1\r\n" % try_id
            return self._answer_after(0, attempt, encode_response(REJECTION_STATUSES[behaviour], b"", head))
        response = self._servers.run(request, behaviour)
        service_time_us = self._servers.random.randrange(MIN_SERVICE_TIME_US, MAX_SERVICE_TIME_US)
        if behaviour is Behaviour.LOSE_ANSWER:
            return self._close_after(service_time_us, attempt, CloseReason.CONNECTION_LOST)
        if behaviour is Behaviour.ANSWER_LATE:
            service_time_us += self._servers.random.randrange(MAX_EXTRA_DELAY_US)
        self._answer_after(service_time_us, attempt, response)

    def _answer_after(self, delay_us: int, attempt: Any, response: bytes) -> None:
        self._loop.schedule(
            delay_us + self._delay_us(), self._proxy.process, self._on_response, attempt, response
        )

    def _on_response(self, attempt: Any, response: bytes) -> None:
        message = MessageParser(h11.CLIENT).feed(response)
        assert message is not None
        self._close(attempt, self._protocol.classify(attempt, message), message)

    def _close_after(self, delay_us: int, attempt: Any, reason: CloseReason) -> None:
        self._loop.schedule(delay_us, self._proxy.process, self._close, attempt, reason)

    def _close(self, attempt: Any, reason: CloseReason, message: Message | None = None) -> None:
        """Report the end of an attempt to the host, once."""
        if attempt not in self._in_flight:
            return
        self._in_flight.discard(attempt)
        self._proxy.host.enqueue(AttemptClosed(attempt, reason, message))
