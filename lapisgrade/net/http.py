"""Reads HTTP/1.1 messages out of a stream of bytes.

h11 parses the head and the framing of the body; the body itself stays slices of what was read, so that a
forwarded body is not copied. `MessageParser` does no I/O: whoever reads the connection feeds it.
"""

import re
from dataclasses import dataclass

import h11

from lapisgrade.errors import LapisgradeError

MAX_BODY_BYTES = 65_536  # the limit of the limiter's protocol
MAX_HEAD_BYTES = 16_384  # of a start line with its header fields
# A h11 client takes a response also where no request has passed through it, but no interim one (1xx). A bare
# request before those is all that it needs; without one, a response costs a third less to read.
_PRIMING_REQUEST = h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")])
_FINAL_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [2-9]")


class MalformedMessageError(LapisgradeError):
    """What came is not the protocol; `status` is what a client is answered."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Message:
    """One complete request or response."""

    head: h11.Request | h11.Response
    body: list[memoryview | bytes]
    size: int  # bytes of body
    trailing_data: bytes  # read already, but part of the next message
    closes_connection: bool  # nothing may follow on this connection (RFC 9112, section 9.3)

    def headers(self) -> dict[bytes, bytes]:
        """The header fields by lower-case name; the last of each name counts."""
        return {name.lower(): value for name, value in self.head.headers.raw_items()}


class MessageParser:
    """Takes in what is read until one message is complete; each message has a parser of its own."""

    __slots__ = ("_awaits_response", "_body", "_head", "_machine", "_max_body_bytes", "_size")

    def __init__(
        self, role: type, max_body_bytes: int = MAX_BODY_BYTES, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        """`role` is ours: `h11.SERVER` reads a request, `h11.CLIENT` a response."""
        self._machine = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self._max_body_bytes = max_body_bytes
        self._awaits_response = role is h11.CLIENT
        self._head: h11.Request | h11.Response | None = None
        self._body: list[memoryview | bytes] = []
        self._size = 0

    def feed(self, chunk: bytes) -> Message | None:
        """Take in one read, empty at the end of the stream.

        Returns:
            The message once it is complete, None before.

        Raises:
            MalformedMessageError: It is no message, its body is too long, or the stream ended inside it.
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
                    raise MalformedMessageError("the connection ended inside a message")
        except h11.RemoteProtocolError as error:
            raise MalformedMessageError(str(error), error.error_status_hint) from None

    def expects_continue(self) -> bool:
        """Whether the peer waits for 100 Continue before it sends the body (RFC 9110, section 10.1.1)."""
        return self._machine.they_are_waiting_for_100_continue

    def _check_framing(self, head: h11.Request | h11.Response) -> None:
        """Refuse a body with two lengths, or with one that is too long.

        Two lengths may hide another message in a body (RFC 9112, sections 6.1 and 11.2: request smuggling).
        """
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and (b"content-length" in names or head.http_version < b"1.1"):
            raise MalformedMessageError("the body has two lengths")
        if any(
            name == b"content-length" and int(value) > self._max_body_bytes for name, value in head.headers
        ):
            raise MalformedMessageError("the body is too long", 413)

    def _append_body(self, chunk: bytes, data: bytes) -> None:
        """Keep a part of the body: the slice of the read that h11 has just passed over."""
        size = len(data)
        self._size += size
        if self._size > self._max_body_bytes:
            raise MalformedMessageError("the body is too long", 413)
        end = len(chunk) - len(self._machine.trailing_data[0])
        self._body.append(memoryview(chunk)[end - size : end])
