"""How a configuration travels to a process that has an earlier version. Pure.

A version is JSON text of many small items, of which a change touches few. The text is cut into pieces between
its items, and a delta names runs of pieces of the earlier text and spells out what is new: it rebuilds the
new text to the byte, whatever fields the operator sent. A digest of the result guards against a base that
only bears the same number. What is sent is compressed (RFC 1950).
"""

import zlib
from hashlib import blake2b

import msgspec

from lapisgrade.gateway import configuration
from lapisgrade.gateway.errors import ConfigurationError

PIECE_SEPARATOR = b"},{"
FASTEST_LEVEL = 1  # of zlib: a processor's time is dearer than a tenth of the bytes
DIGEST_BYTES = 16

Operation = tuple[int, int] | bytes  # a run of pieces of the base (first, count), or a new piece
_OPERATIONS = msgspec.msgpack.Decoder(list[Operation])


class EncodedVersion(msgspec.Struct, array_like=True, frozen=True):
    """One version of the configuration, encoded.

    Attributes:
        version: Its number.
        base: The version that `data` is a delta on; 0 where it is complete.
        digest: Of the version's text.
        data: The compressed text or delta.
    """

    version: int
    base: int
    digest: bytes
    data: bytes


def digest_of(text: bytes) -> bytes:
    """Return the digest of a version's text."""
    return blake2b(text, digest_size=DIGEST_BYTES).digest()


def encode(version: int, text: bytes, base: int = 0, base_text: bytes = b"") -> EncodedVersion:
    """Return a version as a delta on `base`; complete without one."""
    plain = _make_delta(base_text, text) if base else text
    return EncodedVersion(version, base, digest_of(text), zlib.compress(plain, FASTEST_LEVEL))


def decode(encoded: EncodedVersion, base_text: bytes = b"") -> bytes:
    """Return the version's text.

    Raises:
        ConfigurationError: It isn't one, or is no delta on that base.
    """
    try:
        inflate = zlib.decompressobj()
        plain = inflate.decompress(encoded.data, configuration.MAX_BYTES)
        if not inflate.eof:
            raise ConfigurationError(f"version {encoded.version} is too long")
        text = _apply_delta(base_text, plain) if encoded.base else plain
    except (zlib.error, msgspec.MsgspecError, IndexError) as error:
        raise ConfigurationError(f"version {encoded.version} can't be read: {error}") from None
    if digest_of(text) != encoded.digest:
        raise ConfigurationError(f"version {encoded.version} does not come out as it was")
    return text


def _make_delta(old: bytes, new: bytes) -> bytes:
    """Return the operations that make the new text of the old one, encoded."""
    old_pieces = old.split(PIECE_SEPARATOR)
    index_of_piece = {piece: index for index, piece in enumerate(old_pieces)}
    operations: list[Operation] = []
    first, count = 0, 0  # the run that is being gathered
    for piece in new.split(PIECE_SEPARATOR):
        if count and first + count < len(old_pieces) and old_pieces[first + count] == piece:
            count += 1
            continue
        if count:
            operations.append((first, count))
        first, count = index_of_piece.get(piece, -1), 1
        if first < 0:
            operations.append(piece)
            count = 0
    if count:
        operations.append((first, count))
    return msgspec.msgpack.encode(operations)


def _apply_delta(old: bytes, delta: bytes) -> bytes:
    """Return the new text.

    Raises:
        IndexError: The operations fit no such text, or make one that is too long.
        msgspec.MsgspecError: They can't be decoded.
    """
    old_pieces = old.split(PIECE_SEPARATOR)
    pieces: list[bytes] = []
    size = 0
    for operation in _OPERATIONS.decode(delta):
        part = [operation] if isinstance(operation, bytes) else _run_of(old_pieces, *operation)
        size += sum(map(len, part)) + len(part) * len(PIECE_SEPARATOR)
        if size > configuration.MAX_BYTES:
            raise IndexError("it is too long")
        pieces += part
    return PIECE_SEPARATOR.join(pieces)


def _run_of(pieces: list[bytes], first: int, count: int) -> list[bytes]:
    if first < 0 or count < 0 or first + count > len(pieces):
        raise IndexError("a run lies outside of the base")
    return pieces[first : first + count]
