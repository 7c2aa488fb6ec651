"""One frame: a version, who sends it, and one message, as msgspec msgpack. Pure.

A codec is made for any msgspec struct or union of them. What a message carries along, as its list `updates`,
is left out from the end as far as a datagram can't hold it. A frame that can't be read raises `FrameError`
with one plain reason, never an exception of the library: it came from anybody.
"""

from typing import Any, Generic, TypeVar

import msgspec

from lapisgrade.errors import LapisgradeError

FRAME_VERSION = 1
MAX_FRAME_BYTES = 1400  # of one datagram: under the smallest usual path's packet, so that none is cut in two
MAX_NAME_LENGTH = 64  # characters
MessageT = TypeVar("MessageT")


class Frame(msgspec.Struct, Generic[MessageT], array_like=True, frozen=True):
    """What goes over the wire. The incarnation tells apart the processes of one name."""

    version: int
    name: str
    incarnation: int
    message: MessageT


class FrameError(LapisgradeError, ValueError):
    """Bytes that are no frame of ours; the message says why, in a few words that do not repeat them."""


_ENCODER = msgspec.msgpack.Encoder()
_FIELDS_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])


class Codec:
    """Frames of one union of messages."""

    def __init__(self, union: Any) -> None:
        self._decoder = msgspec.msgpack.Decoder(Frame[union])

    def encode(self, name: str, incarnation: int, message: Any) -> bytes:
        """The frame's bytes, in one datagram."""
        while True:
            data = _ENCODER.encode(Frame(FRAME_VERSION, name, incarnation, message))
            if len(data) <= MAX_FRAME_BYTES or not message.updates:
                return data
            over = len(data) - MAX_FRAME_BYTES
            fewer = max(1, over * len(message.updates) // len(data))
            message = msgspec.structs.replace(message, updates=message.updates[:-fewer])

    def decode(self, data: bytes) -> Frame[Any]:
        """The frame in these bytes; FrameError where they hold none that this version reads."""
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError("longer than a datagram of ours")
        try:
            frame = self._decoder.decode(data)
        except msgspec.MsgspecError:
            raise FrameError(_decode_failure_reason(data)) from None
        if frame.version != FRAME_VERSION:
            raise FrameError(f"version {frame.version}, not {FRAME_VERSION}")
        if not 0 < len(frame.name) <= MAX_NAME_LENGTH or frame.incarnation < 0:
            raise FrameError("a name or incarnation out of range")
        return frame


def _decode_failure_reason(data: bytes) -> str:
    """Return why the bytes can't be read; another version may differ in all but its first field."""
    try:
        version = msgspec.msgpack.decode(_FIELDS_DECODER.decode(data)[0])
    except (msgspec.MsgspecError, IndexError):
        return "not a frame"
    if isinstance(version, int) and not isinstance(version, bool) and version != FRAME_VERSION:
        return f"version {version}, not {FRAME_VERSION}"
    return "not a frame"
