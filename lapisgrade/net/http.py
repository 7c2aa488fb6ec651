"""Parses HTTP/1.1 messages from a byte stream.

h11 parses the head and the framing of the body. The body is kept as slices of the received chunks, so that a
forwarded body is not copied. `MessageParser` does no I/O: the reader of the connection feeds it.
"""

import re
from dataclasses import dataclass

import h11

from lapisgrade.errors import LapisgradeError

MAX_BODY_BYTES = 65_536  # limit set by the limiter's protocol
MAX_HEAD_BYTES = 16_384  # start line and header fields
# An h11 client connection accepts a final response without having sent a request, but not an interim response
# (1xx). This minimal request is therefore passed to h11 only before an interim response: parsing a response
# without it costs a third less.
_PRIMING_REQUEST = h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")])
_FINAL_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [2-9]")


class MalformedMessageError(LapisgradeError):
    """The received data violates the protocol; `status` is the HTTP status for the client."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Message:
    """One complete request or response."""

    head: h11.Request | h11.Response
    body: list[memoryview | bytes]  # slices of the body
    size: int  # total bytes of the body
    trailing_data: bytes  # already read, but part of the next message
    closes_connection: bool  # no further message may follow on this connection (RFC 9112, section 9.3)

    def headers(self) -> dict[bytes, bytes]:
        """Return the header fields by lower-case name; the last field of a name wins."""
        return {name.lower(): value for name, value in self.head.headers.raw_items()}


class MessageParser:
    """Parses one message from the chunks that are read; each message needs its own parser."""

    __slots__ = (
        "_awaits_response",
        "_body",
        "_head",
        "_machine",
        "_max_body_bytes",
        "_max_head_bytes",
        "_role",
        "_size",
    )

    def __init__(
        self, role: type, max_body_bytes: int = MAX_BODY_BYTES, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        """Create a parser.

        Args:
            role: The local role: `h11.SERVER` parses a request, `h11.CLIENT` a response.
            max_body_bytes: Maximum size of the body.
            max_head_bytes: Maximum size of the start line and the header fields.
        """
        self._machine = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self._role = role
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._awaits_response = role is h11.CLIENT
        self._head: h11.Request | h11.Response | None = None
        self._body: list[memoryview | bytes] = []
        self._size = 0

    def feed(self, chunk: bytes) -> Message | None:
        """Process the data of one read; empty data marks the end of the stream.

        Returns:
            The message once it is complete, None before.

        Raises:
            MalformedMessageError: The data is not an HTTP message, its body is too long, or the stream ended
                before the message was complete.
        """
        machine = self._machine
        if self._awaits_response:
            self._awaits_response = False
            if not _FINAL_STATUS_LINE.match(chunk):
                machine.send(_PRIMING_REQUEST)
                machine.send(h11.EndOfMessage())
        try:
            machine.receive_data(chunk)
            while True:
                event = machine.next_event()
                kind = type(event)
                if kind is h11.EndOfMessage:
                    closes_connection = machine.their_state is not h11.DONE
                    return Message(
                        self._head, self._body, self._size, machine.trailing_data[0], closes_connection
                    )
                if kind is h11.Data:
                    self._append_body(chunk, event.data)
                elif kind in (h11.Request, h11.Response):
                    self._check_framing(event)
                    self._head = event
                elif kind is h11.NEED_DATA:
                    return None
                elif kind is not h11.InformationalResponse:
                    raise MalformedMessageError("connection closed before the message was complete")
        except h11.RemoteProtocolError as error:
            raise MalformedMessageError(str(error), error.error_status_hint) from None

    def raise_limits(self, max_body_bytes: int, max_head_bytes: int) -> None:
        """Raise the limits for the rest of the message; lower values change nothing."""
        self._max_body_bytes = max(self._max_body_bytes, max_body_bytes)
        if max_head_bytes <= self._max_head_bytes or self._head is not None:
            return
        self._max_head_bytes = max_head_bytes
        received = self._machine.trailing_data[0]  # h11 consumes nothing before the head is complete
        self._machine = h11.Connection(self._role, max_incomplete_event_size=max_head_bytes)
        self._machine.receive_data(received)

    def expects_continue(self) -> bool:
        """Return whether the peer waits for 100 Continue to send the body (RFC 9110, section 10.1.1)."""
        return self._machine.they_are_waiting_for_100_continue

    def _check_framing(self, head: h11.Request | h11.Response) -> None:
        """Reject a body with conflicting lengths or a declared length that is too large.

        Conflicting lengths allow request smuggling: a second message hidden in a body (RFC 9112, sections 6.1
        and 11.2).
        """
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and (b"content-length" in names or head.http_version < b"1.1"):
            raise MalformedMessageError(
                "Transfer-Encoding is not allowed together with Content-Length or in HTTP/1.0"
            )
        if any(
            name == b"content-length" and int(value) > self._max_body_bytes for name, value in head.headers
        ):
            raise MalformedMessageError(
                f"Content-Length exceeds the limit of {self._max_body_bytes} bytes", 413
            )

    def _append_body(self, chunk: bytes, data: bytes) -> None:
        """Keep a part of the body, as the slice of the chunk that h11 has just parsed."""
        size = len(data)
        self._size += size
        if self._size > self._max_body_bytes:
            raise MalformedMessageError(f"body exceeds the limit of {self._max_body_bytes} bytes", 413)
        end = len(chunk) - len(self._machine.trailing_data[0])
        self._body.append(memoryview(chunk)[end - size : end])
