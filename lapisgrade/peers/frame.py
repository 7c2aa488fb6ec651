"""Frames: a version, the sender and one message, encoded as msgpack by msgspec. No I/O.

A codec supports any msgspec struct with a list `updates`, or a union of such structs. If a frame exceeds the
size of a datagram, entries are dropped from the end of `updates`. Frames come from untrusted senders: an
invalid frame raises `FrameError` with a short reason, never an exception of msgspec.
"""

from typing import Any, Generic, TypeVar

import msgspec

from lapisgrade.errors import LapisgradeError

FRAME_VERSION = 1
MAX_FRAME_BYTES = 1400  # per datagram; below the usual path MTU, so that datagrams are not fragmented
MAX_NAME_LENGTH = 64  # characters
MessageT = TypeVar("MessageT")


class Frame(msgspec.Struct, Generic[MessageT], array_like=True, frozen=True):
    """The encoded structure."""

    version: int
    name: str  # of the sender
    incarnation: int  # of the sender; distinguishes successive processes with the same name
    message: MessageT


class FrameError(LapisgradeError, ValueError):
    """The bytes are not a valid frame; the message gives a short reason without quoting the bytes."""


_ENCODER = msgspec.msgpack.Encoder()
_FIELDS_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])


class Codec:
    """Encodes and decodes frames for one union of message types."""

    def __init__(self, union: Any) -> None:
        """Prepare a codec for the struct type, or union of struct types, `union`."""
        self._decoder = msgspec.msgpack.Decoder(Frame[union])

    def encode(self, name: str, incarnation: int, message: Any) -> bytes:
        """Encode a frame; drops entries of `updates` from the end until it fits into one datagram."""
        while True:
            data = _ENCODER.encode(Frame(FRAME_VERSION, name, incarnation, message))
            if len(data) <= MAX_FRAME_BYTES or not message.updates:
                return data
            excess_bytes = len(data) - MAX_FRAME_BYTES
            dropped = max(1, excess_bytes * len(message.updates) // len(data))
            message = msgspec.structs.replace(message, updates=message.updates[:-dropped])

    def decode(self, data: bytes) -> Frame[Any]:
        """Decode a frame.

        Raises:
            FrameError: The bytes are not a valid frame of this version.
        """
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(f"longer than {MAX_FRAME_BYTES} bytes")
        try:
            frame = self._decoder.decode(data)
        except msgspec.MsgspecError:
            raise FrameError(_decode_failure_reason(data)) from None
        if frame.version != FRAME_VERSION:
            raise FrameError(f"version {frame.version} is not supported, only {FRAME_VERSION}")
        if not 0 < len(frame.name) <= MAX_NAME_LENGTH or frame.incarnation < 0:
            raise FrameError("name or incarnation out of range")
        return frame


def _decode_failure_reason(data: bytes) -> str:
    """Return why the bytes can't be decoded. Other versions share only the first field, the version."""
    try:
        version = msgspec.msgpack.decode(_FIELDS_DECODER.decode(data)[0])
    except (msgspec.MsgspecError, IndexError):
        return "not a frame"
    if isinstance(version, int) and not isinstance(version, bool) and version != FRAME_VERSION:
        return f"version {version} is not supported, only {FRAME_VERSION}"
    return "not a frame"
