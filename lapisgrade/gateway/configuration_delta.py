"""Delta encoding of configuration versions, for processes that have an earlier version. No I/O.

A version is JSON text of many small items, few of which differ between versions. The text is split into
pieces between its items. A delta lists runs of pieces of the earlier text and the text of new pieces, and
rebuilds the new text exactly, whatever fields the operator sent. A digest of the result detects a different
base with the same version number. The encoded data is compressed (RFC 1950).

A text that `decode` would refuse for its size must not be sent or stored. Whoever proposes a version calls
`check_decodable` first, so that the limits are the reader's own, also those on the encoded form.
"""

import zlib
from hashlib import blake2b

import msgspec

from lapisgrade.gateway import configuration
from lapisgrade.gateway.errors import ConfigurationError, OversizedVersionError

PIECE_SEPARATOR = b"},{"
FASTEST_LEVEL = 1  # zlib level; higher levels save a tenth of the bytes, but their processor time costs more
DIGEST_BYTES = 16
# Maximum size of a text that can be decoded however it is encoded: alone, or as the only piece of a delta.
MAX_TEXT_BYTES = configuration.MAX_BYTES - 64

Operation = tuple[int, int] | bytes  # a run of the base's pieces (first, count), or a new piece
_OPERATIONS = msgspec.msgpack.Decoder(list[Operation])


class EncodedVersion(msgspec.Struct, array_like=True, frozen=True):
    """One version of the configuration, encoded.

    Attributes:
        version: The version number.
        base: The version that `data` is a delta to; 0 if it is the complete text.
        digest: Digest of the version's text.
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
    """Return a version encoded as a delta to `base`, or completely if there is no base.

    The delta is not larger than one that contains the complete text as a single piece.
    """
    plain = _make_delta(base_text, text) if base else text
    return EncodedVersion(version, base, digest_of(text), zlib.compress(plain, FASTEST_LEVEL))


def decode(
    encoded: EncodedVersion, base_text: bytes = b"", max_bytes: int = configuration.MAX_BYTES
) -> bytes:
    """Return the version's text.

    Args:
        encoded: The encoded version.
        base_text: The text of the version `encoded.base`.
        max_bytes: Maximum size of the text, with one separator, and of the uncompressed delta.

    Raises:
        OversizedVersionError: The text or the delta is larger than `max_bytes`.
        ConfigurationError: The data is malformed, or is a delta to another base.
    """
    try:
        plain = _decompress(encoded, max_bytes)
        text = _apply_delta(encoded.version, base_text, plain, max_bytes) if encoded.base else plain
    except (zlib.error, msgspec.MsgspecError, IndexError) as error:
        raise ConfigurationError(
            f"configuration version {encoded.version} can't be decoded: {error}"
        ) from None
    if digest_of(text) != encoded.digest:
        raise ConfigurationError(
            f"configuration version {encoded.version}: digest mismatch, decoded on a different base"
        )
    return text


def check_decodable(encoded: EncodedVersion, text: bytes, base_text: bytes) -> None:
    """Check that every process that has the base can decode the version to `text`.

    Raises:
        OversizedVersionError: The text or the delta is larger than `configuration.MAX_BYTES`.
        ConfigurationError: The version can't be decoded.
    """
    if decode(encoded, base_text) != text:
        raise ConfigurationError(f"configuration version {encoded.version} can't be encoded")


def _oversized_error(version: int, max_bytes: int) -> OversizedVersionError:
    return OversizedVersionError(f"configuration version {version} is larger than {max_bytes} bytes")


def _decompress(encoded: EncodedVersion, max_bytes: int) -> bytes:
    """Return the uncompressed data; raises zlib.error or ConfigurationError."""
    inflate = zlib.decompressobj()
    plain = inflate.decompress(encoded.data, max_bytes)
    if inflate.unconsumed_tail:
        raise _oversized_error(encoded.version, max_bytes)
    if not inflate.eof:
        raise ConfigurationError(f"configuration version {encoded.version} is truncated")
    return plain


def _make_delta(old: bytes, new: bytes) -> bytes:
    """Return the encoded operations that produce the new text from the old one."""
    old_pieces = old.split(PIECE_SEPARATOR)
    index_of_piece = {piece: index for index, piece in enumerate(old_pieces)}
    operations: list[Operation] = []
    first, count = 0, 0  # the current run of pieces in the old text
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
    delta = msgspec.msgpack.encode(operations)
    if len(delta) <= len(new):
        return delta
    single_piece: list[Operation] = [new]
    return msgspec.msgpack.encode(single_piece)


def _apply_delta(version: int, old: bytes, delta: bytes, max_bytes: int) -> bytes:
    """Return the new text.

    Raises:
        IndexError: A run is outside the old text.
        OversizedVersionError: The new text and one separator are larger than `max_bytes`.
        msgspec.MsgspecError: The operations can't be decoded.
    """
    old_pieces = old.split(PIECE_SEPARATOR)
    pieces: list[bytes] = []
    size = 0
    for operation in _OPERATIONS.decode(delta):
        part = [operation] if isinstance(operation, bytes) else _run_of(old_pieces, *operation)
        size += sum(map(len, part)) + len(part) * len(PIECE_SEPARATOR)
        if size > max_bytes:
            raise _oversized_error(version, max_bytes)
        pieces += part
    return PIECE_SEPARATOR.join(pieces)


def _run_of(pieces: list[bytes], first: int, count: int) -> list[bytes]:
    if first < 0 or count < 0 or first + count > len(pieces):
        raise IndexError("a run of the delta is outside the base text")
    return pieces[first : first + count]
