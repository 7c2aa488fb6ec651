"""A client connection, which processes one request at a time.

              part of a request                the request is complete
    NO_REQUEST ────────────> RECEIVING ──────────────────────────────> AWAITING_RESPONSE
        ^  └──────────────────────────────────────────────────────────────────^  │
        ├───────────────────────────┘ immediate response: 4xx, 503, readiness    │
        └────────────────────────────────────────────────────────────────────────┘ responded, or disconnected

Pipelined requests (RFC 9112, section 9.3.2) are buffered unparsed while a request awaits its response.
"""

import asyncio
import traceback
from enum import Enum, auto
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from lapisgrade.interface import Operation
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection import READ_BYTES
from lapisgrade.net.events import ClientDisconnected, RequestReceived
from lapisgrade.net.http import MAX_BODY_BYTES, MalformedMessageError, Message, MessageParser
from lapisgrade.net.request_limits import RequestLimits

if TYPE_CHECKING:
    from lapisgrade.net.client_listener import ClientListener

MAX_UNREAD_BYTES = 4 * MAX_BODY_BYTES  # maximum size of responses buffered for a client that does not read
MAX_PIPELINED_REQUESTS = 2  # of the maximum size; bytes beyond that end the connection
_OK = 200
_REQUEST_TIMEOUT = 408
_SERVICE_UNAVAILABLE = 503
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_PHRASES = {each.value: each.phrase.encode() for each in HTTPStatus}


class ClientState(Enum):
    """State of the current request; see the diagram above."""

    NO_REQUEST = auto()
    RECEIVING = auto()
    AWAITING_RESPONSE = auto()


class ClientConnection:
    """A connection accepted by the listener. `run` reads it until it closes."""

    __slots__ = (
        "_close_reason",
        "_closes_after_response",
        "_listener",
        "_operation",
        "_parser",
        "_pipelined",
        "_pipelined_limits",
        "_receiving_since_s",
        "_request_timer",
        "_writer",
        "is_over_limit",
        "limits",
        "state",
    )

    def __init__(self, listener: "ClientListener", writer: asyncio.StreamWriter) -> None:
        """Create the connection of an accepted socket; `run` reads it."""
        self._listener = listener
        self._writer = writer
        self._parser: MessageParser | None = None  # of the current request, from its first byte on
        self._pipelined = b""  # received while a request awaits its response
        self._pipelined_limits = listener.limits  # the largest since the first of these bytes
        self._closes_after_response = False
        self._request_timer: asyncio.TimerHandle | None = None  # active while RECEIVING
        self._receiving_since_s = 0.0  # start of RECEIVING, on the loop's clock
        self._operation: Operation | None = None  # set while AWAITING_RESPONSE
        self._close_reason = CloseReason.CLIENT_DISCONNECTED  # unless it is closed locally
        self.state = ClientState.NO_REQUEST
        # Of the current request, or of the current time without one: the largest since it began, as far as
        # this connection has looked.
        self.limits = listener.limits
        self.is_over_limit = False  # requests are rejected because there are too many connections

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Process received data until the client disconnects or the connection is closed locally."""
        try:
            while chunk := await reader.read(READ_BYTES):
                self._receive(chunk)
        except OSError:
            pass  # reset by the client
        finally:
            if self.state is ClientState.AWAITING_RESPONSE:
                self._listener.enqueue(ClientDisconnected(self._detach_operation()))
            self._end_receiving()
            self._writer.close()
            self._listener.on_closed(self, self._close_reason)

    def close(self, reason: CloseReason) -> None:
        """Close after the write buffer is flushed; `run` then returns."""
        self._close_reason = reason
        self._listener.mark_busy(self)
        self._writer.close()

    def abort(self, reason: CloseReason) -> None:
        """Close immediately and discard the write buffer.

        A lost peer never reads it, and the connection would keep its file descriptor.
        """
        self._close_reason = reason
        self._listener.mark_busy(self)
        self._writer.transport.abort()

    def _on_request_timer(self) -> None:
        """Handle the time-out of a partial request, unless the limit was raised in the meantime."""
        timeout_s = self.limits.raised_to(self._listener.limits).request_timeout_s
        loop = asyncio.get_running_loop()
        due_s = self._receiving_since_s + timeout_s
        if loop.time() < due_s:
            self._request_timer = loop.call_at(due_s, self._on_request_timer)
        else:
            self.on_request_timeout()

    def on_request_timeout(self) -> None:
        """Close a connection without a complete request in time; silent or slow peers use up descriptors."""
        if self.state is ClientState.RECEIVING:
            self._end_receiving()
            self.respond_at_once(_REQUEST_TIMEOUT, close=True, reason=CloseReason.TIMED_OUT)
        else:
            self.close(CloseReason.TIMED_OUT)

    def respond(
        self, status: int, body: list[memoryview | bytes], size: int, header_lines: bytes = b""
    ) -> None:
        """Write the final response to the current request, and process the next pipelined request."""
        self._detach_operation()
        pipelined, self._pipelined = self._pipelined, b""
        try:
            self._write_response(status, body, size, header_lines, close=self._closes_after_response)
        except Exception:
            self.abort(CloseReason.MALFORMED)
            raise
        self._await_next_request()
        if pipelined:
            self._begin_request(self._pipelined_limits.raised_to(self._listener.limits))
            self._receive(pipelined)

    def respond_at_once(
        self,
        status: int,
        header_lines: bytes = b"",
        *,
        close: bool,
        reason: CloseReason = CloseReason.ANSWERED,
    ) -> None:
        """Write an empty response to a request that is not forwarded.

        Args:
            status: The status code.
            header_lines: Additional header fields, each line terminated by CRLF.
            close: Whether to close the connection after the response.
            reason: The close reason for the metrics.
        """
        self._write_response(status, [], 0, header_lines, close=close, reason=reason)

    def _write_response(
        self,
        status: int,
        body: list[memoryview | bytes],
        size: int,
        header_lines: bytes,
        *,
        close: bool,
        reason: CloseReason = CloseReason.ANSWERED,
    ) -> None:
        close = close or self._listener.closes_after_response
        connection_line = b"Connection: close\r\n" if close else b""  # RFC 9112, section 9.6
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            status,
            _REASON_PHRASES.get(status, b""),
            size,
            header_lines,
            connection_line,
        )
        self._writer.writelines([head, *body])
        self._listener.metrics.responses[status] += 1
        if self._writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort(CloseReason.TIMED_OUT)  # bounds memory: the peer sends requests but reads no responses
        elif close:
            self.close(reason)

    def _receive(self, chunk: bytes) -> None:
        """Process received requests one by one, until one has to wait for its response."""
        while chunk and self.state is not ClientState.AWAITING_RESPONSE and not self._writer.is_closing():
            try:
                message = self._current_parser().feed(chunk)
                if message is None:
                    return self._on_partial_request()
                self._end_receiving()
                self._on_request(message)
                chunk = message.trailing_data
            except MalformedMessageError as error:
                self._listener.log(f"invalid client request answered with status {error.status}: {error}")
                return self._listener.reject_malformed(self, error)
            except Exception:
                self._listener.log_failure(f"a client's request failed: {traceback.format_exc()}")
                self._listener.metrics.handler_failures += 1
                # It was not passed on, which 503 promises.
                return self.respond_at_once(_SERVICE_UNAVAILABLE, close=True, reason=CloseReason.MALFORMED)
        if chunk and self.state is ClientState.AWAITING_RESPONSE:
            self._store_pipelined(chunk)

    def _store_pipelined(self, chunk: bytes) -> None:
        current = self._listener.limits
        self._pipelined_limits = self._pipelined_limits.raised_to(current) if self._pipelined else current
        self._pipelined += chunk
        if len(self._pipelined) > MAX_PIPELINED_REQUESTS * self._pipelined_limits.max_request_bytes:
            self.abort(CloseReason.MALFORMED)  # bounds memory; `run` then reports the disconnect

    def _current_parser(self) -> MessageParser:
        """Return the parser of the current request, with the listener's present limits if they are larger."""
        current = self._listener.limits
        if self._parser is None:
            self._begin_request(current)
        elif self.limits is not current:
            self.limits = self.limits.raised_to(current)
            self._parser.raise_limits(self.limits.max_body_bytes, self.limits.max_head_bytes)
        return self._parser

    def _begin_request(self, limits: RequestLimits) -> None:
        """Create the parser of a request whose first byte was received under these limits."""
        self.limits = limits
        self._parser = MessageParser(h11.SERVER, limits.max_body_bytes, limits.max_head_bytes)

    def _on_partial_request(self) -> None:
        self._listener.mark_receiving(self)
        if self.state is ClientState.NO_REQUEST:
            self.state = ClientState.RECEIVING
            loop = asyncio.get_running_loop()
            self._receiving_since_s = loop.time()
            self._request_timer = loop.call_later(self.limits.request_timeout_s, self._on_request_timer)
        if self._parser.expects_continue():
            self._writer.write(_CONTINUE)

    def _end_receiving(self) -> None:
        """Stop the request timer: the request is complete, or the connection is closing."""
        if self.state is ClientState.RECEIVING:
            self.state = ClientState.NO_REQUEST
            self._request_timer.cancel()

    def _on_request(self, message: Message) -> None:
        listener = self._listener
        if message.head.target == listener.READINESS_TARGET:
            status = _SERVICE_UNAVAILABLE if listener.is_draining else _OK
            self.respond_at_once(status, close=message.closes_connection)
            return self._await_next_request()
        if self.is_over_limit:
            return self.respond_at_once(_SERVICE_UNAVAILABLE, close=True, reason=CloseReason.REJECTED)
        operation = listener.parse_request(self, message)
        if operation is None:
            return self._await_next_request()  # already answered
        listener.open_request_ids.add(operation.handle.request_id)
        self._operation = operation
        self._closes_after_response = message.closes_connection
        self.state = ClientState.AWAITING_RESPONSE
        listener.mark_busy(self)
        listener.enqueue(RequestReceived(operation))

    def _detach_operation(self) -> Operation:
        """Clear the current operation and return it; its request no longer awaits a response."""
        operation, self._operation = self._operation, None
        self.state = ClientState.NO_REQUEST
        operation.handle.client = None
        self._listener.open_request_ids.discard(operation.handle.request_id)
        return operation

    def _await_next_request(self) -> None:
        """Mark the connection as idle until the next request; the previous one has its response."""
        self._parser = None
        self.limits = self._listener.limits
        if not self._writer.is_closing():
            self._listener.mark_idle(self)
