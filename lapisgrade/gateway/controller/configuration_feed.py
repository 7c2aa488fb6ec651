"""Encodes versions of the configuration for proxies, as deltas on a version that they have. Pure.

Deltas are made once for all proxies that have the same version. The texts of the last few versions are kept,
for proxies that lag; a proxy that lags further is sent the whole text.
"""

from typing import Any

from lapisgrade.gateway.configuration_delta import EncodedVersion, encode

MAX_TEXTS = 12  # versions whose text is kept: the most that can be staged at once, and a few before
MAX_ENCODED = 48  # encoded versions that are kept


class ConfigurationFeed:
    """The last versions, and what was encoded of them."""

    def __init__(self) -> None:
        self._texts: dict[int, bytes] = {}  # by version
        self._encoded: dict[tuple[int, int], EncodedVersion] = {}  # by version and base

    def version(self, version: int, text: bytes, base: int) -> EncodedVersion:
        """Return that version as a delta on the version `base`; whole where that is 0 or forgotten."""
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

    def chain(self, texts: dict[int, bytes], base: int) -> dict[int, EncodedVersion]:
        """Return all versions of `texts` after `base`, in order, each a delta on the one before."""
        encoded = {}
        for version, text in texts.items():
            if version > base:
                encoded[version] = self.version(version, text, base)
                base = version
        return encoded


def _drop_oldest(table: dict[Any, Any], limit: int) -> None:
    while len(table) > limit:
        del table[next(iter(table))]
