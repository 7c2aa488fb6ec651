"""How a configuration travels to one that has an earlier version: pure.

A version is JSON text of many small items, of which a change touches few. The text is cut between its items,
and a delta names runs of pieces of the earlier text and spells out what is new: it rebuilds the new text to
the byte, whatever fields the operator sent. A digest of the result guards against a base that only bears the
same number. What is spelt out is compressed (RFC 1950).
"""

import zlib
from hashlib import blake2b

import msgspec

from lapisgrade.gateway import configuration
from lapisgrade.gateway.errors import ConfigurationError

_BETWEEN_ITEMS = b"},{"
_QUICK = 1  # zlib's fastest level: a processor's time is dearer than a tenth of the bytes
DIGEST = 16  # bytes

Operation = tuple[int, int] | bytes  # a run of pieces of the base (first, count), or a new piece
_OPERATIONS = msgspec.msgpack.Decoder(list[Operation])


class EncodedVersion(msgspec.Struct, array_like=True, frozen=True):
    """One version of the configuration on its way. `base` is the version that `data` is a delta on, 0 where
    it is whole."""

    ver: int
    base: int
    digest: bytes  # of the version's text
    data: bytes  # compressed


def digest_of(text: bytes) -> bytes:
    return blake2b(text, digest_size=DIGEST).digest()


def encode(ver: int, text: bytes, base: int = 0, base_text: bytes = b"") -> EncodedVersion:
    """The version as a delta on `base`; whole without one."""
    plain = _difference(base_text, text) if base else text
    return EncodedVersion(ver, base, digest_of(text), zlib.compress(plain, _QUICK))


def decode(encoded: EncodedVersion, base_text: bytes = b"") -> bytes:
    """Return the version's text.

    Raises:
        ConfigurationError: It isn't one, or is no delta on that base.
    """
    try:
        inflate = zlib.decompressobj()
        plain = inflate.decompress(encoded.data, configuration.MAX_BYTES)
        if not inflate.eof:
            raise ConfigurationError(f"version {encoded.ver} is too long")
        text = _patched(base_text, plain) if encoded.base else plain
    except (zlib.error, msgspec.MsgspecError, IndexError) as wrong:
        raise ConfigurationError(f"version {encoded.ver} can't be read: {wrong}") from None
    if digest_of(text) != encoded.digest:
        raise ConfigurationError(f"version {encoded.ver} does not come out as it was")
    return text


def _difference(old: bytes, new: bytes) -> bytes:
    pieces = old.split(_BETWEEN_ITEMS)
    places = {piece: at for at, piece in enumerate(pieces)}
    operations: list[Operation] = []
    run, count = 0, 0
    for piece in new.split(_BETWEEN_ITEMS):
        if count and run + count < len(pieces) and pieces[run + count] == piece:
            count += 1
            continue
        if count:
            operations.append((run, count))
        run, count = places.get(piece, -1), 1
        if run < 0:
            operations.append(piece)
            count = 0
    if count:
        operations.append((run, count))
    return msgspec.msgpack.encode(operations)


def _patched(old: bytes, delta: bytes) -> bytes:
    pieces, out, size = old.split(_BETWEEN_ITEMS), [], 0
    for operation in _OPERATIONS.decode(delta):
        if isinstance(operation, bytes):
            part = [operation]
        else:
            first, count = operation
            if first < 0 or count < 0 or first + count > len(pieces):
                raise IndexError("a run lies outside of the base")
            part = pieces[first : first + count]
        size += sum(map(len, part)) + len(part) * len(_BETWEEN_ITEMS)
        if size > configuration.MAX_BYTES:
            raise IndexError("it is too long")
        out += part
    return _BETWEEN_ITEMS.join(out)
