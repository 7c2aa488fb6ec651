"""Encodes configuration versions for proxies, as deltas from a version that they have. Pure.

A delta is computed once and cached for all proxies that have the same version. The texts of the last few
versions are stored for proxies that lag behind; a proxy that lags further is sent the full text.
"""

from typing import Any

from lapisgrade.gateway import rpc_connection
from lapisgrade.gateway.configuration_delta import EncodedVersion, encode

MAX_TEXTS = 12  # stored texts: those of all staged versions (MAX_STAGED_VERSIONS), and a few older ones
MAX_ENCODED = 48  # cached deltas and full texts
# Maximum size of the encoded versions in one reply. Three quarters of a frame: the rest is for the servers.
MAX_REPLY_BYTES = rpc_connection.MAX_FRAME_BYTES * 3 // 4


class ConfigurationFeed:
    """The texts of the last versions, and a cache of their encoded forms."""

    def __init__(self) -> None:
        self._texts: dict[int, bytes] = {}  # by version
        self._encoded: dict[tuple[int, int], EncodedVersion] = {}  # by version and base

    def version(self, version: int, text: bytes, base: int) -> EncodedVersion:
        """Return a version as a delta from the version `base`; in full if `base` is 0 or not stored.

        Args:
            version: The version to encode; its text is stored as the base of later deltas.
            text: The configuration of that version, as JSON.
            base: The newest version that the proxy has.
        """
        if self._texts.get(version) != text:
            self._texts.pop(version, None)
            self._texts[version] = text
            _drop_oldest(self._texts, MAX_TEXTS)
        base_text = self._texts.get(base)
        if base_text is None:
            base = 0
            base_text = b""
        encoded = self._encoded.get((version, base))
        if encoded is None:
            encoded = encode(version, text, base, base_text)
            self._encoded[version, base] = encoded
            _drop_oldest(self._encoded, MAX_ENCODED)
        return encoded

    def chain(
        self, texts: dict[int, bytes], base: int, max_bytes: int = MAX_REPLY_BYTES
    ) -> dict[int, EncodedVersion]:
        """Return the versions in `texts` after `base`, in order, each as a delta from the previous one.

        The chain ends before its data exceeds `max_bytes`; the proxy requests the rest on top of it.
        """
        encoded: dict[int, EncodedVersion] = {}
        size = 0
        for version, text in texts.items():
            if version <= base:
                continue
            delta = self.version(version, text, base)
            size += len(delta.data)
            if size > max_bytes:
                break
            encoded[version] = delta
            base = version
        return encoded


def _drop_oldest(table: dict[Any, Any], limit: int) -> None:
    """Remove the entries that were inserted first, until `limit` entries are left."""
    while len(table) > limit:
        del table[next(iter(table))]
