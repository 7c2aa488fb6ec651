"""Frames of RPC messages, and one TCP connection that carries them.

A frame is its length (4 bytes, big-endian), then a MessagePack array of a number and one message. A call has
a number above 0, and its reply has the same number; 0 is a message without a reply. A peer that sends
anything else loses its connection.

A message of a later release can't be read. It is told apart from what is no frame by its number, and costs
that one message alone, up to `MAX_UNREADABLE_MESSAGES` on a connection. A call is answered with nil: it did
not run. A release from before nil closes the connection at that reply, as this side did before.
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

MAX_FRAME_BYTES = 16 * 1024 * 1024  # a configuration of many thousand routes
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # that wait for a peer that does not read; its connection is closed then
READ_BYTES = 65_536  # at once
ACKNOWLEDGEMENT_TIMEOUT_MS = 1500  # without one from the peer's machine a connection is closed
MAX_UNREADABLE_MESSAGES = 512  # of one connection; it is closed at the next one
MAX_LOGGED_CHARACTERS = 200  # of what is wrong with a message, which may quote it
LENGTH_BYTES = 4

_ENCODED_NIL = msgspec.msgpack.encode(None)
_unreadable_log = RateLimitedLog("rpc", log.warning)


class UnreadableMessage(msgspec.Struct, frozen=True):
    """Stands for a message that is of no type in the union.

    Attributes:
        is_refusal: The other side can't read the call with this number, and did not run it.
        error: What is wrong with it.
    """

    is_refusal: bool
    error: str


def detect_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Have the system close a connection soon whose other machine is gone (guards against partitions)."""
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
    """Frames whose messages are of one union."""

    def __init__(self, union: Any) -> None:
        """Carry messages of the types in `union`."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[int, union])
        self._form_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])

    def encode(self, number: int, message: Any) -> bytes:
        """Return the frame of a numbered message."""
        data = self._encoder.encode((number, message))
        return struct.pack(">I", len(data)) + data

    def decode(self, buffer: bytearray) -> list[tuple[int, Any]]:
        """Return the complete frames at the buffer's start, and remove them from it.

        Messages that can't be read are returned as `UnreadableMessage`.

        Raises:
            ValueError: They are no frames; also msgspec's errors.
        """
        frames: list[tuple[int, Any]] = []
        offset = 0
        while len(buffer) - offset >= LENGTH_BYTES:
            start = offset + LENGTH_BYTES
            size = int.from_bytes(buffer[offset:start], "big")
            if size > MAX_FRAME_BYTES:
                raise ValueError("a frame too long")
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
            number, message = self._form_decoder.decode(data)
            return number, UnreadableMessage(bytes(message) == _ENCODED_NIL, str(error))


class Connection(asyncio.Protocol):
    """One connection, on either side.

    Attributes:
        transport: The transport; None until the connection is there.
        open_calls: Calls of the other side that were not answered yet.
    """

    def __init__(
        self,
        codec: Codec,
        on_frame: Callable[["Connection", int, Any], None],
        on_close: Callable[["Connection"], None],
    ) -> None:
        """Call `on_frame` with each number and message, and `on_close` once the connection is closed.

        A message that can't be read is passed on as `UnreadableMessage`.
        """
        self._codec = codec
        self._on_frame = on_frame
        self._on_close = on_close
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.open_calls = 0
        self._unreadable_messages = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over (asyncio's callback)."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # of asyncio's selector transports
        detect_dead_peer(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are complete (asyncio's callback)."""
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
        """Count a message that can't be read; False where there were too many (guards against floods)."""
        self._unreadable_messages += 1
        if self._unreadable_messages == 1 and self.transport is not None:
            peer = self.transport.get_extra_info("peername")
            what = (
                "refuses a call that it can't read"
                if message.is_refusal
                else ascii(message.error[:MAX_LOGGED_CHARACTERS])
            )
            _unreadable_log.write(f"{peer}: a message of another release; more are not logged: {what}")
        return self._unreadable_messages <= MAX_UNREADABLE_MESSAGES

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection is closed (asyncio's callback)."""
        self._on_close(self)

    def send(self, number: int, message: Any) -> bool:
        """Write one frame; False where the other side is gone or does not read."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()
            return False
        self.transport.write(self._codec.encode(number, message))
        return True

    def refuse(self, number: int) -> bool:
        """Reply to a call that can't be read; False as for `send`."""
        return self.send(number, None)

    def abort(self) -> None:
        """Close the connection at once; what was not sent is lost."""
        if self.transport is not None:
            self.transport.abort()
