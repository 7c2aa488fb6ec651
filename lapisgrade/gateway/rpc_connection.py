"""Frames of RPC messages, and one TCP connection that carries them.

A frame is its length (4 bytes, big-endian), then a MessagePack array of a number and one message. A call has
a number above 0, and its reply has the same number; a message without a reply has the number 0. The
connection of a peer that sends anything else is closed.

A message of a type that only a later release knows can't be decoded. As its number can be, only that message
is dropped, up to `MAX_UNREADABLE_MESSAGES` per connection. Such a call is answered with nil: it did not run.
Releases without the nil reply close the connection when they receive one.
"""

import asyncio
import logging
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import msgspec

from lapisgrade.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("rpc")

MAX_FRAME_BYTES = 16 * 1024 * 1024  # fits a configuration of many thousand routes
# Limit of the write buffer, which grows if the peer does not read; the connection is closed beyond it.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
READ_BYTES = 65_536  # maximum size of one read from a socket
ACKNOWLEDGEMENT_TIMEOUT_MS = 1500  # TCP_USER_TIMEOUT: data unacknowledged for this long closes the connection
MAX_UNREADABLE_MESSAGES = 512  # per connection; the next one closes it
MAX_LOGGED_CHARACTERS = 200  # maximum logged length of a decoding error, which may quote the message
LENGTH_BYTES = 4

_ENCODED_NIL = msgspec.msgpack.encode(None)
_unreadable_log = RateLimitedLog("rpc", log.warning)
_oversized_log = RateLimitedLog("rpc", log.error)


class UnreadableMessage(msgspec.Struct, frozen=True):
    """Replaces a message that matches no type of the union.

    Attributes:
        is_refusal: Whether the peer could not decode the call with this number and did not run it.
        error: The decoding error.
    """

    is_refusal: bool
    error: str


def detect_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection soon after its peer becomes unreachable, as in a partition."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Codec:
    """Encodes and decodes frames whose messages belong to one union."""

    def __init__(self, union: Any) -> None:
        """Create a codec for messages of the types in `union`."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[int, union])
        self._untyped_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])

    def encode(self, number: int, message: Any) -> bytes:
        """Return the frame of a numbered message."""
        data = self._encoder.encode((number, message))
        return struct.pack(">I", len(data)) + data

    def decode(self, buffer: bytearray) -> list[tuple[int, Any]]:
        """Return the complete frames at the start of the buffer, and remove them from it.

        Messages that can't be decoded are returned as `UnreadableMessage`.

        Raises:
            ValueError: A frame is longer than `MAX_FRAME_BYTES`.
            msgspec.MsgspecError: The bytes are not a frame.
        """
        frames: list[tuple[int, Any]] = []
        offset = 0
        while len(buffer) - offset >= LENGTH_BYTES:
            start = offset + LENGTH_BYTES
            size = int.from_bytes(buffer[offset:start], "big")
            if size > MAX_FRAME_BYTES:
                raise ValueError("RPC frame is longer than MAX_FRAME_BYTES")
            if len(buffer) - start < size:
                break
            frames.append(self._decode_frame(bytes(buffer[start : start + size])))
            offset = start + size
        del buffer[:offset]
        return frames

    def _decode_frame(self, data: bytes) -> tuple[int, Any]:
        try:
            return self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            number, message = self._untyped_decoder.decode(data)
            return number, UnreadableMessage(bytes(message) == _ENCODED_NIL, str(error))


class Connection(asyncio.Protocol):
    """One connection, on the calling or the called side.

    Attributes:
        transport: The transport; None until the connection is established.
        open_calls: Number of calls of the peer that are not answered yet.
    """

    def __init__(
        self,
        codec: Codec,
        on_frame: Callable[["Connection", int, Any], None],
        on_close: Callable[["Connection"], None],
    ) -> None:
        """Call `on_frame` with each number and message, and `on_close` when the connection is closed.

        A message that can't be decoded is passed to `on_frame` as `UnreadableMessage`.
        """
        self._codec = codec
        self._on_frame = on_frame
        self._on_close = on_close
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.open_calls = 0
        self._unreadable_messages = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options (asyncio callback)."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # attribute of asyncio's selector transports
        detect_dead_peer(transport)

    def data_received(self, data: bytes) -> None:
        """Decode the complete frames and pass them to `on_frame` (asyncio callback)."""
        self._buffer += data
        try:
            for number, message in self._codec.decode(self._buffer):
                if isinstance(message, UnreadableMessage) and not self._tolerates(message):
                    self.abort()
                    return
                self._on_frame(self, number, message)
        except (ValueError, msgspec.MsgspecError):
            self.abort()

    def _tolerates(self, message: UnreadableMessage) -> bool:
        """Count a message that can't be decoded; return False if the connection sent too many of them."""
        self._unreadable_messages += 1
        if self._unreadable_messages == 1 and self.transport is not None:
            peer = self.transport.get_extra_info("peername")
            description = (
                "it can't decode a call from here and did not run it"
                if message.is_refusal
                else ascii(message.error[:MAX_LOGGED_CHARACTERS])
            )
            _unreadable_log.write(
                f"{peer}: dropped a message of another release, not logging further ones of this connection: "
                f"{description}"
            )
        return self._unreadable_messages <= MAX_UNREADABLE_MESSAGES

    def connection_lost(self, exc: Exception | None) -> None:
        """Call `on_close` (asyncio callback)."""
        self._on_close(self)

    def send(self, number: int, message: Any) -> bool:
        """Write one frame; return False if the connection is closed or the peer does not read.

        A message that is longer than the peer accepts is dropped and logged, as the peer would close the
        connection. Its call times out.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()
            return False
        frame = self._codec.encode(number, message)
        if len(frame) - LENGTH_BYTES > MAX_FRAME_BYTES:
            _oversized_log.write(
                f"dropped a {type(message).__name__} of {len(frame)} bytes: too long to be sent"
            )
            return True
        self.transport.write(frame)
        return True

    def refuse(self, number: int) -> bool:
        """Reply with nil to a call that can't be decoded; return False as `send` does."""
        return self.send(number, None)

    def abort(self) -> None:
        """Close the connection immediately; unsent data is lost."""
        if self.transport is not None:
            self.transport.abort()
